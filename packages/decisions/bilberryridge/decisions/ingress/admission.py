"""How much of the offered work a region's servers take, and whose.

All daemons of a region report the work that callers offer them. From the sum, each
computes the same division of the servers' capacity: first a minimum for each route,
then the priorities in their order, and within a priority max-min shares of the
organisations. What exceeds the division is refused as it arrives. The capacity is the
nominal one times a factor, which follows the queueing time at the servers.

Nothing is refused while the offered work fits into the capacity.
"""

import enum
import math
from collections.abc import Iterable, Mapping
from typing import TypeVar

import attrs

TARGET_FRACTION = 0.5
"""Median queueing time at the servers that is aimed at, as a fraction of the shortest
latency goal of the urgent or of the other routes. With less, engines are idle between
requests; with more, requests that wait at slow servers are late."""
START_ROOM = -0.25
"""Room (see `Queueing`) below which requests begin to be refused. Pauses of single
servers and short bursts leave more room. It ends when what is offered fits again: if it
ended with short queues, all that is offered would come at once, many times over."""
PROPORTIONAL_GAIN = 0.35
"""Change of the capacity for a queueing time that exceeds the target by itself."""
INTEGRAL_GAIN_PER_S = 0.08
"""The same of the lasting factor, in a second."""
MAX_EXCESS = 1.0
"""Bound of the relative excess of the queueing time over the target."""
MIN_FACTOR, MAX_FACTOR = 0.4, 2.0
"""Bounds of the lasting factor."""
FLOW_AVERAGING_S = 0.4
"""Time constant of the average of the work offered by route and priority: the admitted
work follows a step within 2 s."""
SHARER_AVERAGING_S = 4.0
"""The same of the work offered by each organisation, which may send a few requests a
second: with a shorter one, most of its requests would come when it had none lately."""
DIVISION_INTERVAL_S = 0.1
"""Interval of the division, that of load reports."""
REPORT_INTERVAL_S = 0.4
"""Interval of reports of the offered work."""
REPORT_STALE_S = 2.0
"""Age from which on a report no longer counts; four in a row may be lost."""
MIN_ROUTE_FRACTION = 0.05
"""Part of the capacity that a route gets before others of more urgent priority."""
MAX_ROWS = 64
"""Rows of one report, the largest; it stays below 3 kB."""
MIN_WORK_PER_S = 1e-4
"""Smaller averages are dropped."""


@attrs.frozen
class Queueing:
    """Median queueing time at the servers of a service.

    Parameters
    ----------
    urgent_s, other_s : float
        For a request of the highest priority, and for others.
    urgent_target_s, other_target_s : float
        What is aimed at.
    """

    urgent_s: float
    other_s: float
    urgent_target_s: float
    other_target_s: float

    def room(self, is_urgent_only: bool) -> float:
        """Return what is left to the target: 1 for all of it, negative beyond it.

        Parameters
        ----------
        is_urgent_only : bool
            Whether hardly others than urgent requests are admitted.
        """
        room = 1.0 - self.urgent_s / self.urgent_target_s
        if not is_urgent_only:
            room = min(room, 1.0 - self.other_s / self.other_target_s)
        return max(-MAX_EXCESS, room)


class Standing(enum.Enum):
    """In what order the requests of an organisation are admitted."""

    RETURNED = 0
    """Its caller was refused before and has come back."""
    NEW = 1
    RELAYED = 2
    """The region's own callers of the same priority go first."""


@attrs.frozen(cache_hash=True)
class Flow:
    """Requests of one route, priority and standing.

    Parameters
    ----------
    service, route : str
    priority : int
    standing : Standing
    """

    service: str
    route: str
    priority: int
    standing: Standing


@attrs.frozen(cache_hash=True)
class Sharer:
    """Whom shares within a priority are for.

    Parameters
    ----------
    service : str
    priority : int
    name : str
        Of the organisation, or of the route where there are none.
    """

    service: str
    priority: int
    name: str


@attrs.frozen
class Offered:
    """Work that callers offer to one daemon, in servers that it would keep busy.

    Parameters
    ----------
    flows : tuple of (Flow, float)
    sharers : tuple of (Sharer, float)
    """

    flows: tuple[tuple[Flow, float], ...] = ()
    sharers: tuple[tuple[Sharer, float], ...] = ()


@attrs.frozen
class Division:
    """Admitted fractions of one service's requests; 1 for what is not in it.

    Parameters
    ----------
    of_flow : mapping of Flow to float
    of_sharer : mapping of Sharer to float
        Relative to that of all sharers of the priority.
    """

    of_flow: Mapping[Flow, float] = attrs.field(factory=dict)
    of_sharer: Mapping[Sharer, float] = attrs.field(factory=dict)

    def fraction(self, flow: Flow, sharer: Sharer) -> float:
        """Return the fraction of such requests that is admitted."""
        fraction = self.of_flow.get(flow, 1.0)
        if flow.standing is Standing.RELAYED:
            return fraction
        return min(1.0, fraction * self.of_sharer.get(sharer, 1.0))


def divide(
    flows: Mapping[Flow, float], sharers: Mapping[Sharer, float], capacity: float
) -> Division:
    """Divide the capacity of one service.

    Parameters
    ----------
    flows, sharers : mapping
        Work offered in a second.
    capacity : float
        Work that is done in a second.

    Examples
    --------
    >>> urgent, other = (Flow("s", f"r{n}", n, Standing.NEW) for n in (0, 1))
    >>> a, b = Sharer("s", 0, "a"), Sharer("s", 0, "b")
    >>> division = divide({urgent: 8.0, other: 2.0}, {a: 6.0, b: 2.0}, 8.4)
    >>> [round(division.fraction(urgent, x), 2) for x in (a, b)]
    [1.0, 1.0]
    >>> round(division.fraction(other, Sharer("s", 1, "a")), 2)
    0.21
    >>> division = divide({urgent: 8.0, other: 2.0}, {a: 6.0, b: 2.0}, 4.0)
    >>> [round(division.fraction(urgent, x), 2) for x in (a, b)]
    [0.32, 0.95]
    """
    minimum = MIN_ROUTE_FRACTION * capacity
    by_route: dict[str, float] = {}
    for flow, work in flows.items():
        by_route[flow.route] = by_route.get(flow.route, 0.0) + work
    reserved = {route: min(work, minimum) for route, work in by_route.items()}
    left = max(0.0, capacity - sum(reserved.values()))
    of_flow: dict[Flow, float] = {}
    of_sharer: dict[Sharer, float] = {}
    for priority in sorted({flow.priority for flow in flows}):
        members = {flow: w for flow, w in flows.items() if flow.priority == priority}
        routes = {flow.route for flow in members}
        own = sum(reserved[route] for route in routes)
        granted = min(left, max(0.0, sum(members.values()) - own))
        left -= granted
        room = own + granted
        offered = sum(
            w for f, w in members.items() if f.standing is not Standing.RELAYED
        )
        of_sharer |= _of_sharers(sharers, priority, _fraction(room, offered))
        for standing in Standing:
            part = {f: w for f, w in members.items() if f.standing is standing}
            fraction = _fraction(room, sum(part.values()))
            room -= fraction * sum(part.values())
            for flow in part:
                least = reserved[flow.route] / max(MIN_WORK_PER_S, by_route[flow.route])
                of_flow[flow] = max(fraction, least) if len(routes) > 1 else fraction
    return Division(of_flow, of_sharer)


def _of_sharers(
    sharers: Mapping[Sharer, float], priority: int, fraction: float
) -> dict[Sharer, float]:
    """Return each sharer's max-min share of a priority, relative to `fraction`."""
    works = {s: work for s, work in sharers.items() if s.priority == priority}
    if fraction >= 1.0 or fraction <= 0.0:
        return {}
    level = fair_level(works.values(), fraction * sum(works.values()))
    return {
        sharer: min(1.0, level / max(MIN_WORK_PER_S, work)) / fraction
        for sharer, work in works.items()
    }


def fair_level(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min share: nobody gets more, and all of less demand get theirs.

    Examples
    --------
    >>> fair_level([1.0, 5.0, 9.0], 10.0)
    4.5
    >>> fair_level([1.0, 2.0], 10.0)
    inf
    """
    left = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand >= level and demand > 0:
            return max(0.0, level)
        left -= demand
    return math.inf


def _fraction(part: float, whole: float) -> float:
    return 1.0 if whole <= max(0.0, part) else max(0.0, part / whole)


def _is_urgent_rationed(division: Division) -> bool:
    """Return whether requests of the highest priority are refused."""
    return any(
        flow.priority == 0 and fraction < 1.0
        for flow, fraction in division.of_flow.items()
        if flow.standing is not Standing.RELAYED
    )


@attrs.define
class _Average:
    """Average of the work offered in a second."""

    time_constant_s: float
    work_per_s: float = 0.0
    updated_s: float = 0.0

    def at(self, now_s: float) -> float:
        elapsed_s = now_s - self.updated_s
        return self.work_per_s * math.exp(-elapsed_s / self.time_constant_s)

    def add(self, work: float, now_s: float) -> None:
        self.work_per_s = self.at(now_s) + work / self.time_constant_s
        self.updated_s = now_s


@attrs.define
class _Service:
    """Capacity of one service and how it is divided.

    Parameters
    ----------
    factor : float
        Of the nominal capacity, as the queueing time shows.
    division : Division
    is_rationed : bool
        Whether not everything is admitted.
    """

    factor: float = 1.0
    updated_s: float = -math.inf
    division: Division = Division()
    is_rationed: bool = False


class Admission:
    """Admission of requests by one daemon.

    Examples
    --------
    >>> admission = Admission()
    >>> flow = Flow("model", "chat", 0, Standing.NEW)
    >>> sharer = Sharer("model", 0, "a")
    >>> for n in range(400):
    ...     admission.record(flow, sharer, 0.02, n / 100)
    >>> queueing = Queueing(0.2, 0.2, 0.1, 0.1)
    >>> admission.update("model", queueing, n_daemons=1, capacity=1.0, now_s=4.0)
    True
    >>> 0.3 < admission.fraction(flow, sharer) < 0.36
    True
    """

    def __init__(self) -> None:
        self._flows: dict[Flow, _Average] = {}
        self._sharers: dict[Sharer, _Average] = {}
        self._reported: dict[str, tuple[float, Offered]] = {}
        self._services: dict[str, _Service] = {}
        self.divided_s = -math.inf
        self.reported_s = -math.inf

    def record(self, flow: Flow, sharer: Sharer, work: float, now_s: float) -> None:
        """Record a request that a caller or another region offers."""
        average = self._flows.get(flow)
        if average is None:
            average = self._flows[flow] = _Average(FLOW_AVERAGING_S)
        average.add(work, now_s)
        if flow.standing is Standing.RELAYED:
            return
        average = self._sharers.get(sharer)
        if average is None:
            average = self._sharers[sharer] = _Average(SHARER_AVERAGING_S)
        average.add(work, now_s)

    def fraction(self, flow: Flow, sharer: Sharer) -> float:
        """Return the fraction of such requests that is admitted."""
        service = self._services.get(flow.service)
        if service is None or not service.is_rationed:
            return 1.0
        return service.division.fraction(flow, sharer)

    def is_rationed(self, service: str) -> bool:
        """Return whether not all requests of a service are admitted."""
        return service in self._services and self._services[service].is_rationed

    def factor(self, service: str) -> float:
        """Return a service's capacity by its nominal one."""
        return self._services[service].factor if service in self._services else 1.0

    def update(
        self,
        service_name: str,
        queueing: Queueing,
        n_daemons: int,
        capacity: float,
        now_s: float,
    ) -> bool:
        """Divide a service's capacity; return whether rationing began or ended.

        Parameters
        ----------
        service_name : str
        queueing : Queueing
        n_daemons : int
            Daemons of the region, including this one.
        capacity : float
            Nominal work that its servers do in a second.
        now_s : float
        """
        service = self._services.setdefault(service_name, _Service())
        elapsed_s = min(DIVISION_INTERVAL_S * 2, now_s - service.updated_s)
        service.updated_s = now_s
        before = service.is_rationed
        room = queueing.room(_is_urgent_rationed(service.division))
        change = math.exp(INTEGRAL_GAIN_PER_S * room * elapsed_s)
        if before:
            service.factor = min(MAX_FACTOR, max(MIN_FACTOR, service.factor * change))
        elif room > 0:
            # Otherwise the next overload would begin with what a disturbance has left.
            service.factor = max(service.factor, min(1.0, service.factor * change))
        if not before and room > START_ROOM:
            return False
        flows, sharers = self._offered(service_name, n_daemons, now_s)
        usable = service.factor * capacity * (1.0 + PROPORTIONAL_GAIN * room)
        is_exceeded = sum(flows.values()) > usable
        service.is_rationed = is_exceeded
        service.division = Division()
        if service.is_rationed:
            service.division = divide(flows, sharers, usable)
        return service.is_rationed is not before

    def _offered(
        self, service: str, n_daemons: int, now_s: float
    ) -> tuple[dict[Flow, float], dict[Sharer, float]]:
        """Return the work offered to all daemons of the region in a second.

        Daemons without a recent report are assumed to be offered as much as the mean.
        """
        recent = [
            offered
            for received_s, offered in self._reported.values()
            if now_s - received_s <= REPORT_STALE_S
        ]
        scale = max(1.0, n_daemons / (1 + len(recent)))
        own = self._report(now_s)
        flows: dict[Flow, float] = {}
        sharers: dict[Sharer, float] = {}
        for offered in [own, *recent]:
            for flow, work in offered.flows:
                if flow.service == service:
                    flows[flow] = flows.get(flow, 0.0) + scale * work
            for sharer, work in offered.sharers:
                if sharer.service == service:
                    sharers[sharer] = sharers.get(sharer, 0.0) + scale * work
        return flows, sharers

    def on_report(self, vm: str, offered: Offered, now_s: float) -> None:
        """Take over what another daemon of the region is offered."""
        self._reported[vm] = (now_s, offered)

    def remove_peer(self, vm: str) -> None:
        """Forget what another daemon reported, as its link closed."""
        self._reported.pop(vm, None)

    def take_report(self, now_s: float) -> Offered | None:
        """Return what is offered to this daemon if a report of it is due."""
        if now_s - self.reported_s < REPORT_INTERVAL_S or not self._flows:
            return None
        self.reported_s = now_s
        return self._report(now_s)

    def _report(self, now_s: float) -> Offered:
        return Offered(
            tuple(_rows(self._flows, now_s)), tuple(_rows(self._sharers, now_s))
        )


_Key = TypeVar("_Key", Flow, Sharer)


def _rows(averages: dict[_Key, _Average], now_s: float) -> list[tuple[_Key, float]]:
    """Return the largest averages, and drop those that have become small."""
    rows = []
    for key, average in list(averages.items()):
        work_per_s = round(average.at(now_s), 4)
        if work_per_s < MIN_WORK_PER_S:
            del averages[key]
        else:
            rows.append((key, work_per_s))
    rows.sort(key=lambda row: -row[1])
    return rows[:MAX_ROWS]
