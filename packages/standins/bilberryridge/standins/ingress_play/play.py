"""One simulation run: arrivals, daemons, servers and the outcomes of requests."""

import hashlib
import random
from collections.abc import Mapping
from typing import Protocol

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
RESUMABLE_GROUPS = ("digest", "long")
"""Groups whose streams may go on at another engine."""


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
REGISTERED_WITHIN_S = 0.2
"""Time until all daemons know of a server's new start."""


TALA_REGIONS = (
    Region("ontario", 13, 36, 2, 301.0, 0.0),
    Region("michigan", 8, 22, 2, 230.0, 8.0),
    Region("ohio", 6, 12, 2, 186.0, 16.0),
)
"""The tala deployment, with a third of the real number of daemons."""
AKIBA_REGIONS = (
    Region("ontario", 15, 36, 2, 301.0, 0.0),
    Region("michigan", 10, 22, 2, 230.0, 8.0),
    Region("ohio", 7, 12, 2, 186.0, 16.0),
)
"""The akiba deployment, with a third of the real number of daemons."""


class Demand(Protocol):
    """How the request rate of a region varies."""

    def factor(self, region: Region, now_s: float) -> float:
        """Return the rate as a multiple of the region's mean rate."""


class PeakedDemand:
    """One region after another has its peak."""

    def factor(self, region: Region, now_s: float) -> float:
        """Return the rate as a multiple of the region's mean rate."""
        since_s = (now_s - region.peak_start_s) % CYCLE_S
        return PEAK_FACTOR if since_s < PEAK_S else OFF_PEAK_FACTOR


class MovingDemand:
    """The peak moves to the next region, which had a tenth of its mean, within 2 s.

    Parameters
    ----------
    peak_factor : float
        Rate at the peak, as a multiple of the mean.
    """

    CYCLE_S = 24.0
    MOVING_S = 2.0

    def __init__(self, peak_factor: float):
        # A third of the time at the peak, a third at a tenth; the mean of all is 1.
        self._levels = (peak_factor, 2.9 - peak_factor, 0.1)

    def factor(self, region: Region, now_s: float) -> float:
        """Return the rate as a multiple of the region's mean rate."""
        phase_s = self.CYCLE_S / len(self._levels)
        since_s = (now_s - region.peak_start_s) % self.CYCLE_S
        index = int(since_s / phase_s)
        level, before = self._levels[index], self._levels[index - 1]
        moved = min(1.0, (since_s - index * phase_s) / self.MOVING_S)
        return before + (level - before) * moved


class SteadyDemand:
    """All regions have their mean rate."""

    def factor(self, region: Region, now_s: float) -> float:
        """Return 1."""
        return 1.0


@attrs.frozen
class Organisations:
    """Organisations whose callers send the requests.

    Parameters
    ----------
    n_organisations : int
        0 for none.
    zipf_exponent : float
        Of the distribution of their requests.
    n_at_home : int
        How many of the smallest may be served in one region only.
    surging : int or None
        Index of one that sends more than usual, the largest being 0.
    surge_factor : float
    """

    n_organisations: int = 0
    zipf_exponent: float = 1.0
    n_at_home: int = 0
    surging: int | None = None
    surge_factor: float = 7.5

    @property
    def names(self) -> list[str]:
        """The names, that of the largest first."""
        return [f"organisation-{n}" for n in range(self.n_organisations)]

    @property
    def weights(self) -> list[float]:
        """Relative request rates."""
        return [
            1.0 / (n + 1) ** self.zipf_exponent * self._surge(n)
            for n in range(self.n_organisations)
        ]

    @property
    def rate_factor(self) -> float:
        """Request rate of all, as a multiple of the rate without the surge."""
        if self.surging is None:
            return 1.0
        usual = attrs.evolve(self, surging=None)
        return sum(self.weights) / sum(usual.weights)

    def records(self, regions: tuple[Region, ...]) -> tuple[ingress.Organisation, ...]:
        """Return the organisations as the routing table names them."""
        n_anywhere = self.n_organisations - self.n_at_home
        return tuple(
            ingress.Organisation(
                name,
                frozenset([key_digest(name)]),
                frozenset([regions[index % len(regions)].name])
                if index >= n_anywhere
                else frozenset(),
            )
            for index, name in enumerate(self.names)
        )

    def _surge(self, index: int) -> float:
        return self.surge_factor if index == self.surging else 1.0


def key_digest(organisation: str) -> bytes:
    """Return the digest of an organisation's only key."""
    return hashlib.sha256(organisation.encode()).digest()


@attrs.frozen
class Outage:
    """A part of the engines is deregistered for a time and ends what it has begun.

    Parameters
    ----------
    fraction : float
    start_s, length_s : float
    """

    fraction: float
    start_s: float
    length_s: float


@attrs.frozen
class Restart:
    """Servers lose their work, are away for a time, and start again.

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


@attrs.frozen
class ServerPaces:
    """How unevenly fast the engines are; see `servers.SharedMachinePace`.

    Parameters
    ----------
    slow_fraction, slow_factor : float
        Fraction of the engines that are slower for good, and how much.
    busy_factor, busy_s, busy_fraction : float
    """

    slow_fraction: float = 1 / 3
    slow_factor: float = 1.3
    busy_factor: float = 2.5
    busy_s: float = 0.6
    busy_fraction: float = 0.15


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
    unevenness : Unevenness or ServerPaces or None
        None if all servers work as fast as usual.
    outage : Outage or Restart or None
    demand : Demand
    engine, speed
        Limits and speed of the engines.
    organisations : Organisations
    habits : Habits
        Of the callers.
    has_admission : bool
        Whether the daemons' settings ask for admission.
    """

    load_factor: float = 1.0
    length_s: float = 34.0
    regions: tuple[Region, ...] = REGIONS
    groups: tuple[callers.Group, ...] = callers.GROUPS
    unevenness: paces.Unevenness | ServerPaces | None = None
    outage: Outage | Restart | None = None
    demand: Demand = attrs.field(factory=PeakedDemand)
    engine: ingress.Engine = daemons.ENGINE
    speed: servers.EngineSpeed = attrs.field(factory=servers.EngineSpeed)
    organisations: Organisations = Organisations()
    habits: callers.Habits = callers.HABITS
    has_admission: bool = False


TALA = Load(
    length_s=24.0,
    regions=TALA_REGIONS,
    groups=callers.TALA_GROUPS,
    demand=MovingDemand(2.5),
    engine=ingress.Engine(64, 474_583, 9),
    speed=servers.EngineSpeed(
        n_memory_tokens=474_583, step_s=0.00309, prefill_tokens_per_s=61_800.0
    ),
    unevenness=ServerPaces(),
    organisations=Organisations(16, n_at_home=3),
)
"""Usual load of the tala deployment."""
AKIBA = Load(
    length_s=24.0,
    regions=AKIBA_REGIONS,
    groups=callers.AKIBA_GROUPS,
    demand=MovingDemand(2.8),
    engine=ingress.Engine(16, 511_299, 10),
    speed=servers.EngineSpeed(
        n_slots=16,
        n_memory_tokens=511_299,
        step_s=0.00341,
        prefill_tokens_per_s=112_000.0,
        n_queued=48,
    ),
    unevenness=ServerPaces(),
)
"""Usual load of the akiba deployment."""


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
            event_loop, load, r, last_used_s[r.domain], _pace(load, r, index, seed)
        )
        for index, r in enumerate(records)
    }
    daemons_by_name = _daemons(event_loop, load, servers_by_id, seed, choose)
    table = table_of(load.groups, load.engine, load.organisations.records(load.regions))
    _connect_daemons(daemons_by_name, records, table)
    for daemon in daemons_by_name.values():
        event_loop.every(daemons.TICK_S, daemon.tick, load.length_s + DRAIN_S)
    if isinstance(load.outage, Outage):
        _schedule_outage(event_loop, load.outage, daemons_by_name, records)
    elif load.outage is not None:
        _schedule_restart(
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
            n_slots = load.engine.n_slots
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
    load: Load,
    record: ingress.BackendServer,
    last_used_s: dict[str, float],
    pace: servers.Pace,
) -> servers.Server:
    if record.service == "model":
        return servers.EngineModel(event_loop, load.speed, last_used_s, pace)
    return servers.PlainModel(event_loop, record.n_slots, pace)


def _pace(
    load: Load, record: ingress.BackendServer, index: int, seed: int
) -> servers.Pace:
    unevenness = load.unevenness
    if isinstance(unevenness, paces.Unevenness):
        random_state = random.Random(f"{seed}-pace-{record.id}")
        length_s = load.length_s + DRAIN_S
        return paces.Pace(unevenness, index, random_state, length_s)
    if unevenness is not None and record.service == "model":
        random_state = random.Random(f"{seed}-{record.id}")
        return _shared_machine_pace(unevenness, random_state)
    return paces.STEADY


def _shared_machine_pace(
    unevenness: ServerPaces, random_state: random.Random
) -> servers.Pace:
    is_slow = random_state.random() < unevenness.slow_fraction
    return servers.SharedMachinePace(
        unevenness.slow_factor if is_slow else 1.0,
        unevenness.busy_factor,
        unevenness.busy_s,
        unevenness.busy_fraction,
        random_state,
    )


def _schedule_outage(
    event_loop: events.Loop,
    outage: Outage,
    daemons_by_name: Mapping[str, daemons.Daemon],
    records: tuple[ingress.BackendServer, ...],
) -> None:
    """Let engines leave and come back; those that leave end what they have begun."""
    engine_ids = [record.id for record in records if record.service == "model"]
    n_kept_of = round(1 / outage.fraction)
    lost = frozenset(engine_ids[::n_kept_of])
    kept = tuple(record for record in records if record.id not in lost)

    def read(servers_read: tuple[ingress.BackendServer, ...]) -> None:
        for daemon in daemons_by_name.values():
            daemon.handle(node_events.ServersRead(servers_read))

    event_loop.at(outage.start_s, lambda: read(kept))
    event_loop.at(outage.start_s + outage.length_s, lambda: read(records))


def table_of(
    groups: tuple[callers.Group, ...],
    engine: ingress.Engine = daemons.ENGINE,
    organisations: tuple[ingress.Organisation, ...] = (),
) -> ingress.RoutingTable:
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
            is_resumable=group.name in RESUMABLE_GROUPS,
        )
        for group in groups
    )
    services = {
        "model": ingress.Service("model", engine=engine),
        "desk": ingress.Service("desk"),
    }
    return ingress.RoutingTable(1, routes, services, organisations=organisations)


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
            cfg = state.NodeSettings(
                entry, region_by_domain, has_admission=load.has_admission
            )
            ingress_node = node.Node(cfg, random.Random(f"{seed}-{name}"), choose)
            daemons_by_name[name] = daemons.Daemon(
                event_loop,
                entry,
                ingress_node,
                servers_by_id,
                daemons_by_name,
                load.engine,
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


def _schedule_restart(
    event_loop: events.Loop,
    restart: Restart,
    records: tuple[ingress.BackendServer, ...],
    servers_by_id: Mapping[str, servers.Server],
    daemons_by_name: Mapping[str, daemons.Daemon],
    seed: int,
) -> None:
    random_state = random.Random(f"{seed}-outage")
    started = tuple(
        attrs.evolve(r, start_time_ms=1) if r.id in restart.servers else r
        for r in records
    )

    def return_server(server: servers.Server) -> None:
        server.is_away = False
        server.pace.slow_until_s = restart.until_s + restart.slow_s

    for server_id in sorted(restart.servers):
        server = servers_by_id[server_id]
        event_loop.at(restart.from_s, server.go_away)
        event_loop.at(restart.until_s, lambda server=server: return_server(server))  # type: ignore[misc]
    for daemon in daemons_by_name.values():
        known_s = restart.until_s + random_state.uniform(0.0, REGISTERED_WITHIN_S)
        read = node_events.ServersRead(started)
        event_loop.at(known_s, lambda daemon=daemon, read=read: daemon.handle(read))  # type: ignore[misc]


def _schedule_arrivals(
    event_loop: events.Loop,
    load: Load,
    daemons_by_name: Mapping[str, daemons.Daemon],
    seed: int,
) -> list[callers.Outcome]:
    outcomes: list[callers.Outcome] = []
    organisations = load.organisations
    names, org_weights = organisations.names, organisations.weights
    for region in load.regions:
        random_state = random.Random(f"{seed}-{region.name}")
        entries = [d for d in daemons_by_name.values() if d.entry.region == region.name]
        now_s = 0.0
        while True:
            rate = (
                load.load_factor
                * organisations.rate_factor
                * region.requests_per_s
                * load.demand.factor(region, now_s)
            )
            now_s += random_state.expovariate(rate)
            if now_s >= load.length_s:
                break
            weights = [group.traffic_weight for group in load.groups]
            group = random_state.choices(load.groups, weights)[0]
            name = f"{region.name}-{len(outcomes)}"
            call = callers.draw_call(group, name, random_state)
            item = callers.Outcome(group, now_s, usage=call.usage)
            if organisations.n_organisations:
                item.organisation = random_state.choices(names, org_weights)[0]
                call = attrs.evolve(call, key_digest=key_digest(item.organisation))
            outcomes.append(item)
            caller = callers.Caller(
                event_loop,
                entries,
                call,
                item,
                name,
                random.Random(f"{seed}-{name}"),
                load.habits,
            )
            event_loop.at(now_s, caller.send)
    return outcomes
