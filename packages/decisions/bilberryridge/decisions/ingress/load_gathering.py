"""How the daemons of a region tell each other their loads.

Up to `MAX_DIRECT_PEERS` daemons report to each other directly. With more of them, the
reports would be old, or their number would grow with the square of the daemons. So in
each failure domain one daemon, the first by rendezvous hashing, gathers the reports of
its domain, exchanges them with the gathering daemons of the region's other domains, and
hands all of them on. A daemon that hears of no gathering daemon reports directly to all
others, which then also report to it, so that nothing depends on one daemon.
"""

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions import rendezvous
from bilberryridge.decisions.ingress import load_messages

MAX_DIRECT_PEERS = 10
"""Daemons of the region to which a daemon reports directly each 0.1 s."""
GATHERED_INTERVAL_S = 0.08
"""Interval of reports that are gathered: every second tick. Three of these are passed
before a report has reached the daemons of another domain."""
HEARTBEAT_S = 0.4
"""Longest time between two messages of a gathering daemon."""
HEARD_WITHIN_S = 1.0
"""Time without such a message after which a daemon reports directly."""
DIRECT_FOR_S = 1.0
"""How long a daemon that is not covered is reported to directly after its report."""


@attrs.define
class _Gathered:
    """Reports of one daemon that are to be handed on."""

    entry: ingress.EntryVm
    shares: dict[str, load_messages.ServerShare] = attrs.field(factory=dict)

    def add(self, shares: dict[str, load_messages.ServerShare]) -> None:
        for server_id, share in shares.items():
            before = self.shares.get(server_id)
            if before is not None and before.parts:
                share = attrs.evolve(share, parts=(*before.parts, *share.parts))
            self.shares[server_id] = share


@attrs.frozen
class Plan:
    """To whom this daemon reports.

    Parameters
    ----------
    direct : tuple of EntryVm
        Recipients of this daemon's own loads.
    domain : tuple of EntryVm
        Recipients of all gathered loads; empty if this daemon doesn't gather.
    gatherers : tuple of EntryVm
        Recipients of the loads gathered in the own failure domain.
    target : str
        The daemon that hands this one's loads on; empty for none.
    is_gathering : bool
        Whether this daemon hands loads on.
    """

    direct: tuple[ingress.EntryVm, ...]
    domain: tuple[ingress.EntryVm, ...] = ()
    gatherers: tuple[ingress.EntryVm, ...] = ()
    target: str = ""
    is_gathering: bool = False


class LoadGathering:
    """What one daemon knows of the gathering daemons, and what it has gathered.

    Parameters
    ----------
    local_entry : EntryVm
        This daemon.
    """

    def __init__(self, local_entry: ingress.EntryVm):
        self._local = local_entry
        self._gathered: dict[str, _Gathered] = {}
        self._heard_s: dict[str, float] = {}
        self._direct_s: dict[str, float] = {}
        self._handed_on_s = float("-inf")
        self._firsts: tuple[list[str], dict[str, str]] = ([], {})

    def plan(self, peers: list[ingress.EntryVm], now_s: float) -> Plan:
        """Return to whom this daemon reports.

        Parameters
        ----------
        peers : list of EntryVm
            The linked daemons of the region.
        now_s : float
        """
        if len(peers) <= MAX_DIRECT_PEERS:
            return Plan(tuple(peers))
        by_name = {entry.name: entry for entry in peers}
        firsts = self._first_by_domain(peers)
        own_first = firsts[self._local.domain]
        direct = tuple(
            entry for name, entry in by_name.items() if self._is_direct(name, now_s)
        )
        if own_first == self._local.name:
            domain = self._local.domain
            return Plan(
                tuple(e for e in direct if e.domain != domain),
                tuple(e for e in peers if e.domain == domain),
                tuple(by_name[n] for n in firsts.values() if n in by_name),
                own_first,
                is_gathering=True,
            )
        if now_s - self._heard_s.get(own_first, float("-inf")) > HEARD_WITHIN_S:
            return Plan(tuple(peers))
        first = by_name[own_first]
        return Plan((first, *(e for e in direct if e is not first)), target=own_first)

    def record_direct(
        self,
        entry: ingress.EntryVm,
        loads: load_messages.DaemonLoads,
        plan: Plan,
        now_s: float,
    ) -> None:
        """Take a report that came from its own daemon."""
        if plan.is_gathering and entry.domain == self._local.domain:
            self._add(entry, loads.by_server)
        if not loads.is_covered:
            self._direct_s[entry.name] = now_s

    def record_gathered(
        self,
        sender: ingress.EntryVm,
        loads_by_entry: list[tuple[ingress.EntryVm, load_messages.DaemonLoads]],
        plan: Plan,
        now_s: float,
    ) -> None:
        """Take reports that a gathering daemon has handed on."""
        self._heard_s[sender.name] = now_s
        if plan.is_gathering and sender.domain != self._local.domain:
            for entry, loads in loads_by_entry:
                self._add(entry, loads.by_server)

    def take(
        self, own_shares: dict[str, load_messages.ServerShare], now_s: float
    ) -> tuple[load_messages.GatheredLoads | None, load_messages.GatheredLoads | None]:
        """Return what is to be handed on to the own domain and to other gatherers.

        None where there is nothing to tell and no heartbeat is due.
        """
        if own_shares:
            self._add(self._local, own_shares)
        gathered, self._gathered = self._gathered, {}
        if not gathered and now_s - self._handed_on_s < HEARTBEAT_S:
            return None, None
        self._handed_on_s = now_s
        own = [g for g in gathered.values() if g.entry.domain == self._local.domain]
        return _message(list(gathered.values())), _message(own)

    def remove(self, vm: str) -> None:
        """Forget a daemon whose link closed."""
        self._gathered.pop(vm, None)
        self._heard_s.pop(vm, None)
        self._direct_s.pop(vm, None)

    def _add(
        self, entry: ingress.EntryVm, shares: dict[str, load_messages.ServerShare]
    ) -> None:
        self._gathered.setdefault(entry.name, _Gathered(entry)).add(shares)

    def _is_direct(self, vm: str, now_s: float) -> bool:
        return now_s - self._direct_s.get(vm, float("-inf")) <= DIRECT_FOR_S

    def _first_by_domain(self, peers: list[ingress.EntryVm]) -> dict[str, str]:
        entries = [self._local, *peers]
        names = [entry.name for entry in entries]
        if names != self._firsts[0]:
            by_domain: dict[str, list[str]] = {}
            for entry in entries:
                by_domain.setdefault(entry.domain, []).append(entry.name)
            firsts = {
                domain: rendezvous.ranked(f"{domain}/loads", domain_names)[0]
                for domain, domain_names in by_domain.items()
            }
            self._firsts = (names, firsts)
        return self._firsts[1]


def _message(gathered: list[_Gathered]) -> load_messages.GatheredLoads:
    return load_messages.GatheredLoads(
        {
            item.entry.name: load_messages.DaemonReport(
                item.entry.incarnation, load_messages.DaemonLoads(item.shares)
            )
            for item in gathered
        }
    )
