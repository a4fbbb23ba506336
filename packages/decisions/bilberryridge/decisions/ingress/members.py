"""Which daemons are there: the store's register, with open links as witnesses."""

import attrs

from bilberryridge.core import ingress

LINGER_S = 3.0
"""How long a daemon whose registration lapsed in an outage of the store still counts:
it registers again within a second of the store's return."""
DEAD_S = 6.0
"""A registered daemon with which no link can be opened is left out this long."""


@attrs.define
class _Member:
    entry: ingress.EntryVm
    is_registered: bool = True
    is_linked: bool = False
    missing_s: float | None = None
    unheard_until_s: float = 0.0


class Members:
    """The daemons of the deployment, other than this one."""

    def __init__(self, local_entry: ingress.EntryVm):
        self.local_entry = local_entry
        self._by_name: dict[str, _Member] = {}

    def update(
        self, entries: tuple[ingress.EntryVm, ...], is_settled: bool, now_s: float
    ) -> None:
        """Take over the register."""
        registered = {e.name: e for e in entries if e.name != self.local_entry.name}
        for name, entry in registered.items():
            member = self._by_name.get(name)
            if member is None or member.entry.incarnation != entry.incarnation:
                if member is None or not member.is_linked:
                    self._by_name[name] = _Member(entry)
                continue
            member.is_registered = True
            member.missing_s = None
        for name, member in self._by_name.items():
            if name not in registered and member.missing_s is None:
                member.is_registered = False
                member.missing_s = now_s if not is_settled else now_s - LINGER_S

    def link_up(self, entry: ingress.EntryVm) -> None:
        """A link to the daemon is open."""
        if entry.name == self.local_entry.name:
            return
        member = self._by_name.get(entry.name)
        if member is None or member.entry != entry:
            is_registered = member is not None and member.is_registered
            member = self._by_name[entry.name] = _Member(entry, is_registered)
        member.is_linked = True
        member.unheard_until_s = 0.0

    def link_down(self, name: str, incarnation: str, now_s: float) -> bool:
        """The link ended, or none can be opened; return whether that is news."""
        member = self._by_name.get(name)
        if member is None or incarnation not in ("", member.entry.incarnation):
            return False
        is_news = member.is_linked or now_s >= member.unheard_until_s
        member.is_linked = False
        member.unheard_until_s = now_s + DEAD_S
        return is_news

    def alive(self, now_s: float) -> list[ingress.EntryVm]:
        """Return the other daemons that are believed to serve."""
        return [m.entry for m in self._by_name.values() if _is_alive(m, now_s)]

    def link_targets(self, now_s: float) -> list[ingress.EntryVm]:
        """Return the daemons that a link should lead to."""
        return [
            m.entry
            for m in self._by_name.values()
            if m.is_linked or m.is_registered or _is_lingering(m, now_s)
        ]

    def forget_gone(self, now_s: float) -> None:
        """Drop those that are neither registered nor linked for long."""
        for name, member in list(self._by_name.items()):
            is_missing = member.missing_s is not None
            if is_missing and not member.is_linked and not _is_lingering(member, now_s):
                del self._by_name[name]

    def linked(self) -> list[ingress.EntryVm]:
        """Return the daemons that a link is open to."""
        return [m.entry for m in self._by_name.values() if m.is_linked]

    def place_in_region(self, now_s: float) -> tuple[int, int]:
        """Return this daemon's place among those of its region, and their number."""
        region = self.local_entry.region
        names = [e.name for e in self.link_targets(now_s) if e.region == region]
        return sum(name < self.local_entry.name for name in names), 1 + len(names)

    def n_all(self, now_s: float) -> int:
        """Return how many daemons there are, this one included."""
        return 1 + len(self.link_targets(now_s))


def _is_lingering(member: _Member, now_s: float) -> bool:
    return member.missing_s is None or now_s - member.missing_s < LINGER_S


def _is_alive(member: _Member, now_s: float) -> bool:
    if member.is_linked:
        return True
    if now_s < member.unheard_until_s:
        return False
    return member.is_registered or _is_lingering(member, now_s)
