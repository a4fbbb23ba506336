"""Open requests at one backend server, with sums that are kept up to date.

Placement looks at every server of a service for a request; adding up what each daemon
has there, each time, would grow with servers times daemons.
"""

import attrs

from bilberryridge.decisions.ingress import load_messages

Key = tuple[str, int]
"""Request id and attempt id."""


@attrs.define
class Work:
    """An open attempt at a server.

    Parameters
    ----------
    n_pending_tokens : int
        Prompt tokens that it must read; 0 once it has begun.
    n_memory_tokens : int
    is_urgent : bool
    sent_s, expected_s : float
        When it was sent and how long its first answer was expected to take.
    has_begun : bool
    """

    n_pending_tokens: int
    n_memory_tokens: int
    is_urgent: bool
    sent_s: float
    expected_s: float
    has_begun: bool = False


@attrs.define
class Sums:
    """Open requests and their tokens, as in `load_messages.ServerShare`."""

    n_open: int = 0
    n_pending_tokens: int = 0
    n_urgent_tokens: int = 0
    n_memory_tokens: int = 0

    def add(self, share: load_messages.ServerShare, sign: int = 1) -> None:
        """Add another daemon's share, or take it away."""
        self.n_open += sign * share.n_open
        self.n_pending_tokens += sign * share.n_pending_tokens
        self.n_urgent_tokens += sign * share.n_urgent_tokens
        self.n_memory_tokens += sign * share.n_memory_tokens

    def add_work(self, work: Work, sign: int = 1) -> None:
        """Add an own attempt, or take it away."""
        self.n_open += sign
        self.n_memory_tokens += sign * work.n_memory_tokens
        self.add_pending(work, sign)

    def add_pending(self, work: Work, sign: int) -> None:
        """Add what an own attempt must still have read, or take it away."""
        self.n_pending_tokens += sign * work.n_pending_tokens
        if work.is_urgent:
            self.n_urgent_tokens += sign * work.n_pending_tokens


class OpenWork:
    """The open requests of all daemons of the region at one server.

    Attributes
    ----------
    own : dict of Key to Work
        Attempts of this daemon.
    others : dict of str to ServerShare
        By daemon.
    own_sums, sums : Sums
        Of this daemon, and of all; only to be read.
    worst_fault : float
        Highest fault rate that another daemon tells.

    Examples
    --------
    >>> work = OpenWork()
    >>> work.begin(("a", 1), Work(1_000, 1_500, True, sent_s=0.0, expected_s=0.1))
    >>> work.take("vm-2", load_messages.ServerShare(n_open=2, n_pending_tokens=500))
    >>> work.sums
    Sums(n_open=3, n_pending_tokens=1500, n_urgent_tokens=1000, n_memory_tokens=1500)
    >>> work.note_begun(("a", 1)).has_begun
    True
    >>> work.sums.n_pending_tokens
    500
    """

    def __init__(self) -> None:
        self.own: dict[Key, Work] = {}
        self.others: dict[str, load_messages.ServerShare] = {}
        self.own_sums = Sums()
        self.sums = Sums()
        self.worst_fault = 0.0

    def begin(self, key: Key, work: Work) -> None:
        """Count an own attempt."""
        self.end(key)
        self.own[key] = work
        self.own_sums.add_work(work)
        self.sums.add_work(work)

    def note_begun(self, key: Key) -> Work | None:
        """Count an own attempt's prompt as read; None when it is known already."""
        work = self.own.get(key)
        if work is None or work.has_begun:
            return None
        self.own_sums.add_pending(work, -1)
        self.sums.add_pending(work, -1)
        work.has_begun = True
        work.n_pending_tokens = 0
        return work

    def end(self, key: Key) -> None:
        """Count an own attempt no more."""
        work = self.own.pop(key, None)
        if work is not None:
            self.own_sums.add_work(work, -1)
            self.sums.add_work(work, -1)

    def take(self, vm: str, share: load_messages.ServerShare) -> None:
        """Take another daemon's share over."""
        self._drop(vm)
        self.others[vm] = share
        self.sums.add(share)
        self._find_worst()

    def forget(self, vm: str) -> None:
        """Drop another daemon's share."""
        self._drop(vm)
        self._find_worst()

    def share(
        self,
        parts: tuple[tuple[str, int], ...],
        failure_rate: float,
        n_sent_tokens: int,
    ) -> load_messages.ServerShare:
        """Return this daemon's part, for the others."""
        own = self.own_sums
        return load_messages.ServerShare(
            own.n_open,
            own.n_pending_tokens,
            own.n_urgent_tokens,
            own.n_memory_tokens,
            parts,
            failure_rate,
            n_sent_tokens,
        )

    def _drop(self, vm: str) -> None:
        before = self.others.pop(vm, None)
        if before is not None:
            self.sums.add(before, -1)

    def _find_worst(self) -> None:
        faults = (share.failure_rate for share in self.others.values())
        self.worst_fault = max(faults, default=0.0)
