"""Simulated network links between places on loopback, with fault injection.

``python -m bilberryridge.standins.links --config FILE`` with these in the file:

- `control`: ``host:port``, for ``POST /fault`` and ``GET /bytes``;
- `trunks`: `name`, `one_way_ms`, `jitter_ms`, `megabits_per_s` (per direction);
- `pairs`: `a`, `b` and the `trunk` between these two places;
- `links`: `listen` and `target` (``host:port``), `viewer` and `place`.

A fault has a `kind` (see `lanes.Lane.set_fault`), the places `a` and `b` and, for one
direction only, the sending place `sender`. Kinds ``down`` and ``up`` with a `host`
report that the process there has ended or returned: links to a dead process refuse
connections, as its host would.
"""

import asyncio
import random
from typing import Any

import attrs

from bilberryridge.standins import configs, lanes, link_listener, web

SEED = 1


@attrs.define(eq=False)
class Pair:
    """The network between two places, in both directions."""

    a: str
    b: str
    lanes: dict[str, lanes.Lane]
    """Lane by sending place."""

    accepts_when_cut: bool = False

    @property
    def accepts_connections(self) -> bool:
        """Whether new connections succeed; a handshake needs both directions."""
        return self.accepts_when_cut or all(
            lane.is_open for lane in self.lanes.values()
        )


class Network:
    """All links of one process.

    Parameters
    ----------
    cfg : dict
        Contents of the configuration file.
    """

    def __init__(self, cfg: dict[str, Any]):
        self._control = web.Server(cfg["control"], self._serve)
        self._trunks: dict[str, dict[str, Any]] = {t["name"]: t for t in cfg["trunks"]}
        self._directed_trunks: dict[tuple[str, str], lanes.Trunk] = {}
        self._pairs = {}
        random_state = random.Random(SEED)
        for pair in cfg["pairs"]:
            new_pair = self._pair(pair, random_state)
            self._pairs[frozenset((new_pair.a, new_pair.b))] = new_pair
        self._links = [self._link(link) for link in cfg["links"]]

    async def open(self) -> None:
        """Listen on every link."""
        for _, link in self._links:
            link.open()
        await self._control.open()

    def set_fault(self, fault: dict[str, Any]) -> None:
        """Set a fault, as described in the module's docstring."""
        if fault["kind"] in ("down", "up"):
            self._set_down(fault["host"], fault["kind"] == "down")
            return
        pair = self._pairs[frozenset((fault["a"], fault["b"]))]
        sender = fault.get("sender")
        pair.accepts_when_cut = fault["kind"] == "half_open"
        for name, lane in pair.lanes.items():
            if sender in (None, name):
                lane.set_fault(fault)
        for link_pair, link in self._links:
            if link_pair is pair:
                link.set_reachable(pair.accepts_connections)

    def _set_down(self, host: str, is_down: bool) -> None:
        for _, link in self._links:
            if link.target_host == host:
                link.set_down(is_down)

    def _pair(self, cfg: dict[str, Any], random_state: random.Random) -> Pair:
        lanes_by_sender = {}
        for sender, direction in ((cfg["a"], "a"), (cfg["b"], "b")):
            trunk = self._directed_trunk(
                cfg["trunk"], cfg.get(f"{direction}_end", direction)
            )
            lanes_by_sender[sender] = lanes.Lane(trunk, random_state)
        return Pair(cfg["a"], cfg["b"], lanes_by_sender)

    def _directed_trunk(self, name: str, sending_end: str) -> lanes.Trunk:
        if (name, sending_end) not in self._directed_trunks:
            fields = {k: v for k, v in self._trunks[name].items() if k != "name"}
            self._directed_trunks[name, sending_end] = lanes.Trunk(**fields)
        return self._directed_trunks[name, sending_end]

    def _link(self, cfg: dict[str, Any]) -> tuple[Pair, link_listener.Link]:
        viewer, place = cfg["viewer"], cfg["place"]
        pair = self._pairs[frozenset((viewer, place))]
        outbound, inbound = pair.lanes[viewer], pair.lanes[place]
        link = link_listener.Link(cfg["listen"], cfg["target"], outbound, inbound)
        return pair, link

    async def _serve(self, call: web.Call) -> None:
        if call.path == "/fault":
            self.set_fault(call.json())
            call.respond_json({})
        else:
            trunks = self._directed_trunks.items()
            call.respond_json(
                {f"{n}:{end}": trunk.n_bytes for (n, end), trunk in trunks}
            )


async def run(cfg: dict[str, Any]) -> None:
    """Forward bytes until cancelled."""
    await Network(cfg).open()
    await asyncio.Event().wait()


def main() -> None:
    """Run the links of the configuration file."""
    asyncio.run(run(configs.read_argument()))


if __name__ == "__main__":
    main()
