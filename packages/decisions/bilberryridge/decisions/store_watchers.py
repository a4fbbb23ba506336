"""Which daemon of a failure domain follows the store for the others.

Each call to the store is charged and each change would be told to every daemon. So in
each failure domain one daemon, the first by rendezvous hashing, waits for changes and
hands them on over the links. It reports its position several times a second. A daemon
that hears of no position as good as its own follows the store itself, so none is needed
for requests to be served, and cuts, freezes and refusals cost one call more.
"""

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions import rendezvous

REPORT_INTERVAL_S = 0.4
"""Interval of the reports of the daemon that follows the store."""
MAX_AGE_S = 1.6
"""Longest time since the store's last answer to the following daemon, as known here. A
leaving server must get no work 3 s after the store knows; the own call and a pause of
0.2 s come after this time."""
SETTLING_TIME_S = 2.5
"""How long a daemon's report that the store is not settled holds, from the first on.
Servers register again within 2 s after an outage."""
MAX_REPORT_GAP_S = 1.0
"""A report that comes this long after the one before may be about another outage. Two
reports in a row are missing then."""


@attrs.frozen
class StorePosition:
    """How far a daemon that follows the store has come.

    Parameters
    ----------
    era, revision : int
    age_s : float
        Time since the store's last answer to any call of the daemon.
    is_settled : bool
        Whether a missing key was removed, rather than lost in an outage.
    """

    era: int
    revision: int
    age_s: float
    is_settled: bool


@attrs.frozen
class _Report:
    position: StorePosition
    received_s: float


@attrs.frozen
class _Settling:
    """A row of reports that the store is not settled."""

    began_s: float
    reported_s: float


class StoreWatchers:
    """The positions that other daemons of the failure domain have reported.

    Parameters
    ----------
    local_entry : EntryVm
        This daemon.
    """

    def __init__(self, local_entry: ingress.EntryVm):
        self._local_entry = local_entry
        self._reports: dict[str, _Report] = {}
        self._settling: dict[str, _Settling] = {}
        self._ranked: tuple[list[str], bool] = ([], True)

    def record(self, vm: str, position: StorePosition, now_s: float) -> None:
        """Store the position that another daemon reported."""
        self._reports[vm] = _Report(position, now_s)
        settling = self._settling.pop(vm, None)
        self._forget_settled(now_s)
        if position.is_settled:
            return
        if settling is None or now_s - settling.reported_s > MAX_REPORT_GAP_S:
            settling = _Settling(now_s, now_s)
        self._settling[vm] = attrs.evolve(settling, reported_s=now_s)

    def remove(self, vm: str) -> None:
        """Forget the position of a daemon whose link closed.

        What it said of an outage still holds.
        """
        self._reports.pop(vm, None)

    def is_first(self, linked: list[ingress.EntryVm]) -> bool:
        """Return whether this daemon follows the store for the others.

        Parameters
        ----------
        linked : list of EntryVm
            The daemons with an open link.
        """
        local = self._local_entry
        names = [local.name, *(entry.name for entry in self.domain_peers(linked))]
        if names != self._ranked[0]:
            first = rendezvous.ranked(local.domain, names)[0]
            self._ranked = (names, first == local.name)
        return self._ranked[1]

    def domain_peers(self, linked: list[ingress.EntryVm]) -> list[ingress.EntryVm]:
        """Return the linked daemons of the own failure domain."""
        local = self._local_entry
        return [
            entry
            for entry in linked
            if entry.domain == local.domain and entry.name != local.name
        ]

    def is_covered(self, era: int, revision: int, now_s: float) -> bool:
        """Return whether another daemon follows the store up to this daemon's position.

        A report from another era, or ahead of what this daemon holds, shows that it
        must read for itself or ask.
        """
        return any(
            report.position.era == era and report.position.revision <= revision
            for report in self._recent(now_s)
        )

    def known_s(self, era: int, revision: int, now_s: float) -> float:
        """Return as of when a daemon at a position knows all changes of the store.

        It is when the store last answered a daemon that has come no further; negative
        infinity if none has reported.
        """
        return max(
            (
                report.received_s - report.position.age_s
                for report in self._recent(now_s)
                if report.position.era == era and report.position.revision <= revision
            ),
            default=float("-inf"),
        )

    def ahead(self, era: int, revision: int, now_s: float) -> list[str]:
        """Return the daemons that hold changes of the era which this one lacks."""
        return [
            vm
            for vm, report in self._reports.items()
            if report in self._recent(now_s)
            and report.position.era == era
            and report.position.revision > revision
        ]

    def is_settled(self, now_s: float) -> bool:
        """Return whether no daemon's report of an outage holds any more.

        A daemon that reported one may fall silent before the store has settled.
        """
        return all(
            now_s - settling.began_s >= SETTLING_TIME_S
            for settling in self._settling.values()
        )

    def _forget_settled(self, now_s: float) -> None:
        for vm, settling in list(self._settling.items()):
            if now_s - settling.reported_s > SETTLING_TIME_S:
                del self._settling[vm]

    def _recent(self, now_s: float) -> list[_Report]:
        return [
            report
            for report in self._reports.values()
            if now_s - report.received_s + report.position.age_s <= MAX_AGE_S
        ]
