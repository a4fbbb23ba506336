"""One play: arrivals, daemons, servers, and what callers saw."""

import random
from collections.abc import Mapping

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import events as node_events
from bilberryridge.decisions.ingress import node, state
from bilberryridge.standins.ingress_play import callers, daemons, servers
from bilberryridge.standins.queueing import events

SETTLE_S = 15.0
"""Time after the last arrival in which answers still come."""
PEAK, IDLE = 2.3, 0.3
"""A region's requests at its peak and besides, against its mean."""
PEAK_S, CYCLE_S = 14.0, 34.0
"""Length of a region's peak, and from one to the next."""
N_PLAIN_SLOTS = 6


@attrs.frozen
class Region:
    """A region of the deployment.

    Parameters
    ----------
    name : str
    n_daemons, n_engines, n_plain : int
    per_s : float
        Mean requests of its callers.
    peak_at_s : float
    """

    name: str
    n_daemons: int
    n_engines: int
    n_plain: int
    per_s: float
    peak_at_s: float


REGIONS = (
    Region("ontario", 3, 6, 1, 45.4, 0.0),
    Region("michigan", 2, 4, 1, 36.3, 10.0),
    Region("ohio", 2, 2, 1, 27.2, 22.0),
)
"""Of a deployment of a growers' cooperative, with seven entry VMs."""
GROWN = (
    Region("ontario", 9, 23, 2, 185.0, 0.0),
    Region("michigan", 7, 14, 2, 141.0, 10.0),
    Region("ohio", 6, 8, 2, 112.0, 22.0),
)
"""The same grown, with a third of its daemons: these take the most time to play."""


@attrs.frozen
class Load:
    """What a play is put through.

    Parameters
    ----------
    x : float
        Times the usual requests.
    length_s : float
    regions : tuple of Region
    groups : tuple of Group
    """

    x: float = 1.0
    length_s: float = 34.0
    regions: tuple[Region, ...] = REGIONS
    groups: tuple[callers.Group, ...] = callers.GROUPS


def run(load: Load, seed: int, choose: state.PlacementRule | None = None) -> "Played":
    """Play a load once.

    Parameters
    ----------
    load : Load
    seed : int
        Decides arrivals and requests, the same for all rules.
    choose : callable or None
        The rule of placement; None for the product's.
    """
    loop = events.Loop()
    records = _records(load)
    used_s: dict[str, dict[str, float]] = {r.name: {} for r in load.regions}
    by_id = {r.id: _server(loop, r, used_s[r.domain]) for r in records}
    by_name = _daemons(loop, load, by_id, seed, choose)
    _introduce(by_name, records, table_of(load.groups))
    for daemon in by_name.values():
        loop.every(daemons.TICK_S, daemon.tick, load.length_s + SETTLE_S)
    seen = _arrivals(loop, load, by_name, seed)
    loop.run()
    engines = [s for s in by_id.values() if isinstance(s, servers.EngineModel)]
    return Played(seen, engines)


@attrs.define
class Played:
    """What came of a play."""

    seen: list[callers.Seen]
    engines: list[servers.EngineModel]

    @property
    def part_earned(self) -> float:
        """What callers got of all that was to be had."""
        n_all = sum(item.group.worth for item in self.seen)
        return sum(item.earned for item in self.seen) / n_all

    @property
    def n_read_again(self) -> int:
        """Tokens of shared prompt parts read though an engine of the region had."""
        return sum(engine.n_read_again for engine in self.engines)

    @property
    def n_fetched(self) -> int:
        """Tokens of prompt parts that an engine fetched from another."""
        return sum(engine.n_fetched for engine in self.engines)

    def of(self, group: str) -> list[callers.Seen]:
        """Return what the callers of one group saw."""
        return [item for item in self.seen if item.group.name == group]


def _records(load: Load) -> tuple[ingress.BackendServer, ...]:
    records = []
    for region in load.regions:
        for n in range(region.n_engines):
            name = f"{region.name}-engine-{n}"
            n_slots = daemons.ENGINE.n_slots
            records.append(
                ingress.BackendServer(name, "model", name, region.name, n_slots)
            )
        for n in range(region.n_plain):
            name = f"{region.name}-plain-{n}"
            records.append(
                ingress.BackendServer(name, "desk", name, region.name, N_PLAIN_SLOTS)
            )
    return tuple(records)


def _server(
    loop: events.Loop, record: ingress.BackendServer, used_s: dict[str, float]
) -> servers.Server:
    if record.service == "model":
        return servers.EngineModel(loop, servers.EngineSpeed(), used_s)
    return servers.PlainModel(loop, record.n_slots)


def table_of(groups: tuple[callers.Group, ...]) -> ingress.RoutingTable:
    """Return the routes of the groups and their services."""
    routes = tuple(
        ingress.Route(
            name=group.name,
            host=daemons.HOST,
            path_prefix=f"/{group.name}/",
            kind=group.kind,
            shares=(ingress.TrafficShare("model" if group.n_own else "desk"),),
            timeout_s=group.caller_timeout_s,
            latency_goal_s=group.goal_s,
            priority=group.priority,
            max_attempts=2 if group.priority else 1,
            is_resumable=group.name == "digest",
        )
        for group in groups
    )
    services = {
        "model": ingress.Service("model", engine=daemons.ENGINE),
        "desk": ingress.Service("desk"),
    }
    return ingress.RoutingTable(1, routes, services)


def entry_of(region: Region, number: int) -> ingress.EntryVm:
    """Return the registration of a region's daemon."""
    name = f"{region.name}-{number}"
    addresses = [f"{name}:{port}" for port in (1, 2, 3)]
    return ingress.EntryVm(name, "i1", region.name, region.name, *addresses)


def _daemons(
    loop: events.Loop,
    load: Load,
    by_id: Mapping[str, servers.Server],
    seed: int,
    choose: state.PlacementRule | None,
) -> dict[str, daemons.Daemon]:
    # Failure domains and regions are the same here.
    region_by_domain = {region.name: region.name for region in load.regions}
    by_name: dict[str, daemons.Daemon] = {}
    for region in load.regions:
        for n in range(region.n_daemons):
            entry = entry_of(region, n)
            name = entry.name
            cfg = state.NodeSettings(entry, region_by_domain)
            made = node.Node(cfg, random.Random(f"{seed}-{name}"), choose)
            by_name[name] = daemons.Daemon(loop, entry, made, by_id, by_name)
    return by_name


def _introduce(
    by_name: Mapping[str, daemons.Daemon],
    records: tuple[ingress.BackendServer, ...],
    table: ingress.RoutingTable,
) -> None:
    entries = tuple(daemon.entry for daemon in by_name.values())
    for daemon in by_name.values():
        daemon.handle(node_events.TableRead(table))
        daemon.handle(node_events.EntriesRead(entries))
        daemon.handle(node_events.ServersRead(records))
        for entry in entries:
            if entry != daemon.entry:
                daemon.handle(node_events.LinkUp(entry))


def _arrivals(
    loop: events.Loop, load: Load, by_name: Mapping[str, daemons.Daemon], seed: int
) -> list[callers.Seen]:
    seen: list[callers.Seen] = []
    for region in load.regions:
        random_state = random.Random(f"{seed}-{region.name}")
        entries = [d for d in by_name.values() if d.entry.region == region.name]
        now_s = 0.0
        while True:
            rate = load.x * region.per_s * _shape(region, now_s)
            now_s += random_state.expovariate(rate)
            if now_s >= load.length_s:
                break
            weights = [group.mix for group in load.groups]
            group = random_state.choices(load.groups, weights)[0]
            name = f"{region.name}-{len(seen)}"
            call = callers.draw_call(group, name, random_state)
            item = callers.Seen(group, now_s)
            seen.append(item)
            caller = callers.Caller(
                loop, entries, call, item, name, random.Random(f"{seed}-{name}")
            )
            loop.at(now_s, caller.ask)
    return seen


def _shape(region: Region, now_s: float) -> float:
    since_s = (now_s - region.peak_at_s) % CYCLE_S
    return PEAK if since_s < PEAK_S else IDLE
