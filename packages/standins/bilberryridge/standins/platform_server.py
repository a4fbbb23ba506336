"""Fake platform: the configuration store, the VM list and the directory.

``python -m bilberryridge.standins.platform_server --config FILE`` with `store`, `list`
and `control` (``host:port`` each) and `vms` (state by name) in the file. The control
port takes ``POST /store`` and ``POST /list`` (a fault in JSON, see
`store_server.StoreServer.set_fault` and `list_server.ListServer.set_fault`) and answers
``GET /counts``.
"""

import asyncio
from typing import Any

from bilberryridge.standins import configs, list_server, store_server, web


class Platform:
    """The three listeners of one platform.

    Parameters
    ----------
    cfg : dict
        Contents of the configuration file.
    """

    def __init__(self, cfg: dict[str, Any]):
        self.store = store_server.StoreServer(cfg["store"])
        self.list = list_server.ListServer(cfg["list"], cfg.get("vms") or {})
        self._control = web.Server(cfg["control"], self._serve)

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.store.server.open()
        await self.list.server.open()
        await self._control.open()
        await self.store.run_leases()

    async def _serve(self, call: web.Call) -> None:
        if call.path == "/counts":
            call.respond_json(
                {"store": self.store.status(), "list": self.list.status()}
            )
        elif call.path == "/store":
            await self.store.set_fault(call.json())
            call.respond_json({})
        elif call.path == "/list":
            await self.list.set_fault(call.json())
            call.respond_json({})
        else:
            call.respond_json({}, 404)


def main() -> None:
    """Run the platform of the configuration file."""
    asyncio.run(Platform(configs.read_argument()).run())


if __name__ == "__main__":
    main()
