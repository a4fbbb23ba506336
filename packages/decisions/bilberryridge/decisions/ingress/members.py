"""The daemons of the deployment, from registrations in the store and open links."""

import attrs

from bilberryridge.core import ingress

LAPSE_GRACE_S = 3.0
"""How long a daemon whose registration lapsed during a store outage is still considered
registered; it registers again within a second of the store's recovery."""
REMOVAL_INTERVAL_S = 1.0
"""Interval of the search for daemons that are gone for longer; they count as not
serving before."""
UNREACHABLE_S = 6.0
"""How long a registered daemon counts as not serving after its link closed or failed to
open."""


@attrs.define
class _Member:
    entry: ingress.EntryVm
    is_registered: bool = True
    is_linked: bool = False
    unregistered_s: float | None = None
    unreachable_until_s: float = 0.0


class Members:
    """The daemons of the deployment except this one.

    Parameters
    ----------
    local_entry : EntryVm
        This daemon.
    """

    def __init__(self, local_entry: ingress.EntryVm):
        self.local_entry = local_entry
        self._by_name: dict[str, _Member] = {}
        self._removed_s = float("-inf")

    def update(
        self, entries: tuple[ingress.EntryVm, ...], is_settled: bool, now_s: float
    ) -> None:
        """Apply the list of registered daemons.

        Parameters
        ----------
        entries : tuple of EntryVm
        is_settled : bool
            False while a missing registration may only have lapsed during a store
            outage.
        now_s : float
        """
        registered = {e.name: e for e in entries if e.name != self.local_entry.name}
        for name, entry in registered.items():
            member = self._by_name.get(name)
            if member is None or member.entry.incarnation != entry.incarnation:
                if member is None or not member.is_linked:
                    self._by_name[name] = _Member(entry)
                continue
            member.is_registered = True
            member.unregistered_s = None
        for name, member in self._by_name.items():
            if name not in registered and member.unregistered_s is None:
                member.is_registered = False
                member.unregistered_s = (
                    now_s if not is_settled else now_s - LAPSE_GRACE_S
                )

    def link_up(self, entry: ingress.EntryVm) -> None:
        """Record that a link to a daemon was opened."""
        if entry.name == self.local_entry.name:
            return
        member = self._by_name.get(entry.name)
        if member is None or member.entry != entry:
            is_registered = member is not None and member.is_registered
            member = self._by_name[entry.name] = _Member(entry, is_registered)
        member.is_linked = True
        member.unreachable_until_s = 0.0

    def link_down(self, name: str, incarnation: str, now_s: float) -> bool:
        """Record that a link closed or failed to open; return whether this is new."""
        member = self._by_name.get(name)
        if member is None or incarnation not in ("", member.entry.incarnation):
            return False
        is_new = member.is_linked or now_s >= member.unreachable_until_s
        member.is_linked = False
        member.unreachable_until_s = now_s + UNREACHABLE_S
        return is_new

    def alive(self, now_s: float) -> list[ingress.EntryVm]:
        """Return the other daemons that are assumed to be serving."""
        return [m.entry for m in self._by_name.values() if _is_alive(m, now_s)]

    def link_targets(self, now_s: float) -> list[ingress.EntryVm]:
        """Return the daemons to which a link should be kept."""
        return [
            m.entry
            for m in self._by_name.values()
            if m.is_linked or m.is_registered or _is_in_grace(m, now_s)
        ]

    def remove_expired(self, now_s: float) -> None:
        """Remove daemons without a link whose registration ended long ago."""
        if now_s - self._removed_s < REMOVAL_INTERVAL_S:
            return
        self._removed_s = now_s
        for name, member in list(self._by_name.items()):
            is_unregistered = member.unregistered_s is not None
            if (
                is_unregistered
                and not member.is_linked
                and not _is_in_grace(member, now_s)
            ):
                del self._by_name[name]

    def linked(self) -> list[ingress.EntryVm]:
        """Return the daemons with an open link."""
        return [m.entry for m in self._by_name.values() if m.is_linked]

    def linked_in_region(self) -> list[ingress.EntryVm]:
        """Return the daemons of this region with an open link."""
        region = self.local_entry.region
        return [entry for entry in self.linked() if entry.region == region]

    def index_in_region(self, now_s: float) -> tuple[int, int]:
        """Return this daemon's index among those of its region, and their number."""
        region = self.local_entry.region
        names = [e.name for e in self.link_targets(now_s) if e.region == region]
        return sum(name < self.local_entry.name for name in names), 1 + len(names)

    def reach_weight(self, now_s: float) -> float:
        """Return the region's daemons for each one that this daemon can hear."""
        region = self.local_entry.region
        n_heard = 1 + sum(entry.region == region for entry in self.linked())
        return self.index_in_region(now_s)[1] / n_heard

    def n_daemons(self, now_s: float) -> int:
        """Return the number of daemons, including this one."""
        return 1 + len(self.link_targets(now_s))


def _is_in_grace(member: _Member, now_s: float) -> bool:
    return (
        member.unregistered_s is None or now_s - member.unregistered_s < LAPSE_GRACE_S
    )


def _is_alive(member: _Member, now_s: float) -> bool:
    if member.is_linked:
        return True
    if now_s < member.unreachable_until_s:
        return False
    return member.is_registered or _is_in_grace(member, now_s)
