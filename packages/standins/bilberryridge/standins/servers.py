"""Run many fake backend servers in one process.

``python -m bilberryridge.standins.servers --config FILE`` with lists `engines` and
`plain` of the fields of `engine.Settings` and `plain.Settings` in the file.
"""

import asyncio
from typing import Any

import cattrs

from bilberryridge.standins import configs, engine, plain


async def run(cfg: dict[str, Any]) -> None:
    """Serve until cancelled."""
    engines = cattrs.structure(cfg.get("engines") or [], list[engine.Settings])
    plains = cattrs.structure(cfg.get("plain") or [], list[plain.Settings])
    async with asyncio.TaskGroup() as tasks:
        for engine_cfg in engines:
            tasks.create_task(engine.Engine(engine_cfg).run())
        for plain_cfg in plains:
            tasks.create_task(plain.PlainServer(plain_cfg).run())


def main() -> None:
    """Run the servers of the configuration file."""
    asyncio.run(run(configs.read_argument()))


if __name__ == "__main__":
    main()
