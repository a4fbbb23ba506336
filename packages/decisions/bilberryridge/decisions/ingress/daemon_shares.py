"""This daemon's own share of what all daemons divide between them.

The share is one part of as many as there are daemons that may be serving. A daemon
that is no longer seen may be cut off and go on, so it is counted for some time. A
daemon that has just started holds nothing until the shares that its predecessor lent
have ended and all others count it, which they do once they are linked.
"""

from collections.abc import Iterable, Mapping

import attrs

MAX_JOIN_S = 10.0
"""Time after which the daemon of a new VM takes its share though some registered
daemons are not linked and may not count it."""


@attrs.define
class DaemonShares:
    """Counts the daemons that may be serving.

    Parameters
    ----------
    hold_s : float
        Time for which a daemon that is not seen is counted.
    min_join_s : float
        Time after the start in which the daemon holds no share.

    Attributes
    ----------
    has_predecessor : bool
        Whether this VM had a daemon before, so that the others count it already.
    share : float
        This daemon's own share, 0 to 1.
    since_s : float
        Since when it holds one; infinite if it doesn't yet.

    Examples
    --------
    >>> shares = DaemonShares(hold_s=15, min_join_s=2, started_s=0)
    >>> shares.update(["b"], ["b"], now_s=1), shares.update(["b"], ["b"], now_s=2)
    (0.0, 0.5)
    >>> shares.update([], [], now_s=16), shares.update([], [], now_s=18)
    (0.5, 1.0)
    """

    hold_s: float
    min_join_s: float
    started_s: float
    since_s: float = float("inf")
    has_predecessor: bool = False
    share: float = 0.0
    _seen_s: dict[str, float] = attrs.field(factory=dict)
    _updated_s: float = float("-inf")

    @property
    def n_daemons(self) -> int:
        """Daemons that are counted, including this one."""
        return 1 + len(self._seen_s)

    def held_ages_s(self, now_s: float) -> dict[str, float]:
        """Return the daemons counted though not seen, and since when.

        A daemon that starts can know of them only by being told.
        """
        return {
            name: now_s - at_s
            for name, at_s in self._seen_s.items()
            if at_s < self._updated_s
        }

    def learn_held(self, ages_s: Mapping[str, float], now_s: float) -> None:
        """Count daemons that another one counts though it does not see them."""
        for name, age_s in ages_s.items():
            if 0 <= age_s < self.hold_s:
                at_s = max(now_s - age_s, self._seen_s.get(name, float("-inf")))
                self._seen_s[name] = at_s

    def update(self, seen: Iterable[str], linked: Iterable[str], now_s: float) -> float:
        """Return the share as of now.

        Parameters
        ----------
        seen : iterable of str
            The other daemons that are registered or linked.
        linked : iterable of str
        now_s : float
        """
        self._updated_s = now_s
        unlinked = set(seen)
        for name in unlinked:
            self._seen_s[name] = now_s
        for name in linked:
            self._seen_s[name] = now_s
            unlinked.discard(name)
        oldest_s = now_s - self.hold_s
        for name in [n for n, at_s in self._seen_s.items() if at_s <= oldest_s]:
            del self._seen_s[name]
        joining_s = now_s - self.started_s
        is_counted = self.has_predecessor or not unlinked
        is_joined = joining_s >= MAX_JOIN_S or (
            is_counted and joining_s >= self.min_join_s
        )
        if is_joined and self.since_s > now_s:
            self.since_s = now_s
        if self.since_s <= now_s:
            self.share = 1.0 / self.n_daemons
        return self.share
