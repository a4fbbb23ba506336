"""One simulation run: arrivals, daemons, servers and the outcomes of requests."""

import random
from collections.abc import Mapping

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import events as node_events
from bilberryridge.decisions.ingress import node, state
from bilberryridge.standins.ingress_play import callers, daemons, paces, servers
from bilberryridge.standins.queueing import events

DRAIN_S = 15.0
"""Simulated time after the last arrival, for open requests to end."""
PEAK_FACTOR, OFF_PEAK_FACTOR = 2.3, 0.3
"""Request rate of a region at and outside its peak, as multiples of its mean rate."""
PEAK_S, CYCLE_S = 14.0, 34.0
"""Length of a region's peak, and time from the start of one peak to the next."""
N_PLAIN_SLOTS = 6


@attrs.frozen
class Region:
    """A region of the deployment.

    Parameters
    ----------
    name : str
    n_daemons, n_engines, n_plain_servers : int
    requests_per_s : float
        Mean request rate of its callers.
    peak_start_s : float
        Start of a peak.
    """

    name: str
    n_daemons: int
    n_engines: int
    n_plain_servers: int
    requests_per_s: float
    peak_start_s: float


REGIONS = (
    Region("ontario", 3, 6, 1, 45.4, 0.0),
    Region("michigan", 2, 4, 1, 36.3, 10.0),
    Region("ohio", 2, 2, 1, 27.2, 22.0),
)
"""Regions of a growers' cooperative, with seven entry VMs."""
GROWN_REGIONS = (
    Region("ontario", 9, 23, 2, 185.0, 0.0),
    Region("michigan", 7, 14, 2, 141.0, 10.0),
    Region("ohio", 6, 8, 2, 112.0, 22.0),
)
"""Grown deployment of the same cooperative, with a third of the real number of daemons:
these take most of the run time of the simulation."""

LARGE_REGIONS = (
    Region("ontario", 67, 30, 2, 200.0, 4.0),
    Region("michigan", 58, 18, 2, 183.0, 14.0),
    Region("ohio", 70, 10, 2, 183.0, 26.0),
)
"""Large deployment of the same cooperative, with all of its daemons."""
UNEVEN_REGIONS = (
    Region("ontario", 8, 12, 3, 75.0, 0.0),
    Region("michigan", 6, 8, 3, 56.0, 10.0),
    Region("ohio", 4, 4, 3, 37.0, 22.0),
)
"""A sixth of a deployment whose servers differ in pace, with so many plain servers that
a region has one of each pace."""


@attrs.frozen
class Outage:
    """A time in which servers are away, after which they start again.

    Parameters
    ----------
    servers : frozenset of str
    from_s, until_s : float
    slow_s : float
        Time after their return for which they are slow.
    """

    servers: frozenset[str]
    from_s: float
    until_s: float
    slow_s: float = 0.0


REGISTERED_WITHIN_S = 0.2
"""Time until all daemons know of a server's new start."""


@attrs.frozen
class Load:
    """Load of a run.

    Parameters
    ----------
    load_factor : float
        Multiple of the usual request rate.
    length_s : float
        Simulated time in which requests arrive.
    regions : tuple of Region
    groups : tuple of Group
    unevenness : Unevenness or None
        None if all servers work as fast as usual.
    outage : Outage or None
    """

    load_factor: float = 1.0
    length_s: float = 34.0
    regions: tuple[Region, ...] = REGIONS
    groups: tuple[callers.Group, ...] = callers.GROUPS
    unevenness: paces.Unevenness | None = None
    outage: Outage | None = None


def run(
    load: Load, seed: int, choose: state.PlacementRule | None = None
) -> "PlayResult":
    """Simulate a load once.

    Parameters
    ----------
    load : Load
    seed : int
        Of all random draws; arrivals and requests are the same for all rules.
    choose : callable or None
        The placement rule; None for the production one.
    """
    event_loop = events.Loop()
    records = _records(load)
    last_used_s: dict[str, dict[str, float]] = {r.name: {} for r in load.regions}
    servers_by_id = {
        r.id: _new_server(
            event_loop, r, last_used_s[r.domain], _pace(load, r, index, seed)
        )
        for index, r in enumerate(records)
    }
    daemons_by_name = _daemons(event_loop, load, servers_by_id, seed, choose)
    _connect_daemons(daemons_by_name, records, table_of(load.groups))
    for daemon in daemons_by_name.values():
        event_loop.every(daemons.TICK_S, daemon.tick, load.length_s + DRAIN_S)
    if load.outage is not None:
        _schedule_outage(
            event_loop, load.outage, records, servers_by_id, daemons_by_name, seed
        )
    outcomes = _schedule_arrivals(event_loop, load, daemons_by_name, seed)
    event_loop.run()
    engines = [s for s in servers_by_id.values() if isinstance(s, servers.EngineModel)]
    return PlayResult(outcomes, engines, servers_by_id)


@attrs.define
class PlayResult:
    """Result of a run."""

    outcomes: list[callers.Outcome]
    engines: list[servers.EngineModel]
    servers_by_id: dict[str, servers.Server] = attrs.field(factory=dict)

    @property
    def earned_fraction(self) -> float:
        """Fraction of the total worth of all requests that was earned."""
        total_worth = sum(item.group.worth for item in self.outcomes)
        return sum(item.earned for item in self.outcomes) / total_worth

    @property
    def n_recomputed_tokens(self) -> int:
        """Prompt tokens of parts prefilled soon after another use in the region."""
        return sum(engine.n_recomputed_tokens for engine in self.engines)

    @property
    def n_fetched_tokens(self) -> int:
        """Prompt tokens whose cached prefix an engine fetched from another engine."""
        return sum(engine.n_fetched_tokens for engine in self.engines)

    def of_group(self, group: str) -> list[callers.Outcome]:
        """Return the outcomes of one group's requests."""
        return [item for item in self.outcomes if item.group.name == group]


def _records(load: Load) -> tuple[ingress.BackendServer, ...]:
    records = []
    for region in load.regions:
        for n in range(region.n_engines):
            name = f"{region.name}-engine-{n}"
            n_slots = daemons.ENGINE.n_slots
            records.append(
                ingress.BackendServer(name, "model", name, region.name, n_slots)
            )
        for n in range(region.n_plain_servers):
            name = f"{region.name}-plain-{n}"
            records.append(
                ingress.BackendServer(name, "desk", name, region.name, N_PLAIN_SLOTS)
            )
    return tuple(records)


def _new_server(
    event_loop: events.Loop,
    record: ingress.BackendServer,
    last_used_s: dict[str, float],
    pace: paces.Pace,
) -> servers.Server:
    if record.service == "model":
        return servers.EngineModel(event_loop, servers.EngineSpeed(), last_used_s, pace)
    return servers.PlainModel(event_loop, record.n_slots, pace)


def _pace(
    load: Load, record: ingress.BackendServer, index: int, seed: int
) -> paces.Pace:
    if load.unevenness is None:
        return paces.STEADY
    random_state = random.Random(f"{seed}-pace-{record.id}")
    length_s = load.length_s + DRAIN_S
    return paces.Pace(load.unevenness, index, random_state, length_s)


def table_of(groups: tuple[callers.Group, ...]) -> ingress.RoutingTable:
    """Return a routing table with one route for each group."""
    routes = tuple(
        ingress.Route(
            name=group.name,
            host=daemons.HOST,
            path_prefix=f"/{group.name}/",
            kind=group.kind,
            shares=(ingress.TrafficShare("model" if group.n_own_tokens else "desk"),),
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
    """Return the entry VM of a region's daemon."""
    name = f"{region.name}-{number}"
    addresses = [f"{name}:{port}" for port in (1, 2, 3)]
    return ingress.EntryVm(name, "i1", region.name, region.name, *addresses)


def _daemons(
    event_loop: events.Loop,
    load: Load,
    servers_by_id: Mapping[str, servers.Server],
    seed: int,
    choose: state.PlacementRule | None,
) -> dict[str, daemons.Daemon]:
    # Each region is one failure domain.
    region_by_domain = {region.name: region.name for region in load.regions}
    daemons_by_name: dict[str, daemons.Daemon] = {}
    for region in load.regions:
        for n in range(region.n_daemons):
            entry = entry_of(region, n)
            name = entry.name
            cfg = state.NodeSettings(entry, region_by_domain)
            ingress_node = node.Node(cfg, random.Random(f"{seed}-{name}"), choose)
            daemons_by_name[name] = daemons.Daemon(
                event_loop, entry, ingress_node, servers_by_id, daemons_by_name
            )
    return daemons_by_name


def _connect_daemons(
    daemons_by_name: Mapping[str, daemons.Daemon],
    records: tuple[ingress.BackendServer, ...],
    table: ingress.RoutingTable,
) -> None:
    entries = tuple(daemon.entry for daemon in daemons_by_name.values())
    for daemon in daemons_by_name.values():
        daemon.handle(node_events.TableRead(table))
        daemon.handle(node_events.EntriesRead(entries))
        daemon.handle(node_events.ServersRead(records))
        for entry in entries:
            if entry != daemon.entry:
                daemon.handle(node_events.LinkUp(entry))


def _schedule_outage(
    event_loop: events.Loop,
    outage: Outage,
    records: tuple[ingress.BackendServer, ...],
    servers_by_id: Mapping[str, servers.Server],
    daemons_by_name: Mapping[str, daemons.Daemon],
    seed: int,
) -> None:
    random_state = random.Random(f"{seed}-outage")
    started = tuple(
        attrs.evolve(r, start_time_ms=1) if r.id in outage.servers else r
        for r in records
    )

    def return_server(server: servers.Server) -> None:
        server.is_away = False
        server.pace.slow_until_s = outage.until_s + outage.slow_s

    for server_id in sorted(outage.servers):
        server = servers_by_id[server_id]
        event_loop.at(outage.from_s, server.go_away)
        event_loop.at(outage.until_s, lambda server=server: return_server(server))  # type: ignore[misc]
    for daemon in daemons_by_name.values():
        known_s = outage.until_s + random_state.uniform(0.0, REGISTERED_WITHIN_S)
        read = node_events.ServersRead(started)
        event_loop.at(known_s, lambda daemon=daemon, read=read: daemon.handle(read))  # type: ignore[misc]


def _schedule_arrivals(
    event_loop: events.Loop,
    load: Load,
    daemons_by_name: Mapping[str, daemons.Daemon],
    seed: int,
) -> list[callers.Outcome]:
    outcomes: list[callers.Outcome] = []
    for region in load.regions:
        random_state = random.Random(f"{seed}-{region.name}")
        entries = [d for d in daemons_by_name.values() if d.entry.region == region.name]
        now_s = 0.0
        while True:
            rate = (
                load.load_factor * region.requests_per_s * _peak_factor(region, now_s)
            )
            now_s += random_state.expovariate(rate)
            if now_s >= load.length_s:
                break
            weights = [group.traffic_weight for group in load.groups]
            group = random_state.choices(load.groups, weights)[0]
            name = f"{region.name}-{len(outcomes)}"
            call = callers.draw_call(group, name, random_state)
            item = callers.Outcome(group, now_s)
            outcomes.append(item)
            caller = callers.Caller(
                event_loop, entries, call, item, name, random.Random(f"{seed}-{name}")
            )
            event_loop.at(now_s, caller.send)
    return outcomes


def _peak_factor(region: Region, now_s: float) -> float:
    since_s = (now_s - region.peak_start_s) % CYCLE_S
    return PEAK_FACTOR if since_s < PEAK_S else OFF_PEAK_FACTOR
