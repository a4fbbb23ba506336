"""Open requests at one backend server, with incrementally updated totals.

Placement looks at every server of a service for each request; summing the shares of all
daemons each time would cost servers times daemons.
"""

import attrs

from bilberryridge.decisions.ingress import load_messages

Key = tuple[str, int]
"""Request id and attempt id."""


@attrs.define
class OpenAttempt:
    """An open attempt of this daemon at a server.

    Parameters
    ----------
    n_pending_tokens : int
        Prompt tokens still to be prefilled; 0 once the answer has begun.
    n_memory_tokens : int
        Engine memory that the request needs when it ends.
    is_urgent : bool
    sent_s, expected_s : float
        When it was sent, and the estimated time to its first byte.
    has_begun : bool
    pace : float
        Pace of the server by which `expected_s` was estimated.
    """

    n_pending_tokens: int
    n_memory_tokens: int
    is_urgent: bool
    sent_s: float
    expected_s: float
    has_begun: bool = False
    pace: float = 1.0


@attrs.define
class Sums:
    """Totals of open requests and their tokens, as in `load_messages.ServerShare`."""

    n_open: int = 0
    n_pending_tokens: int = 0
    n_urgent_tokens: int = 0
    n_memory_tokens: int = 0

    def add(self, share: load_messages.ServerShare, sign: int = 1) -> None:
        """Add another daemon's share, or subtract it if `sign` is -1."""
        self.n_open += sign * share.n_open
        self.n_pending_tokens += sign * share.n_pending_tokens
        self.n_urgent_tokens += sign * share.n_urgent_tokens
        self.n_memory_tokens += sign * share.n_memory_tokens

    def add_attempt(self, attempt: OpenAttempt, sign: int = 1) -> None:
        """Add an attempt of this daemon, or subtract it if `sign` is -1."""
        self.n_open += sign
        self.n_memory_tokens += sign * attempt.n_memory_tokens
        self.add_pending(attempt, sign)

    def add_pending(self, attempt: OpenAttempt, sign: int) -> None:
        """Add the pending tokens of an attempt, or subtract them if `sign` is -1."""
        self.n_pending_tokens += sign * attempt.n_pending_tokens
        if attempt.is_urgent:
            self.n_urgent_tokens += sign * attempt.n_pending_tokens


class OpenWork:
    """The open requests of all daemons of the region at one server.

    Attributes
    ----------
    local_attempts : dict of Key to OpenAttempt
        Attempts of this daemon.
    peer_shares : dict of str to ServerShare
        Shares reported by other daemons, by VM name.
    local_sums, sums : Sums
        Totals of this daemon and of all daemons; read-only.
    worst_failure_rate : float
        Highest failure rate reported by another daemon.
    unreachable_vms : set of str
        Daemons that report that they have lost their path to the server.

    Examples
    --------
    >>> work = OpenWork()
    >>> work.begin(("a", 1), OpenAttempt(1_000, 1_500, True, 0.0, expected_s=0.1))
    >>> share = load_messages.ServerShare(n_open=2, n_pending_tokens=500)
    >>> work.set_share("vm-2", share)
    >>> work.sums
    Sums(n_open=3, n_pending_tokens=1500, n_urgent_tokens=1000, n_memory_tokens=1500)
    >>> work.mark_begun(("a", 1)).has_begun
    True
    >>> work.sums.n_pending_tokens
    500
    """

    def __init__(self) -> None:
        self.local_attempts: dict[Key, OpenAttempt] = {}
        self._waiting: dict[Key, OpenAttempt] = {}
        self.peer_shares: dict[str, load_messages.ServerShare] = {}
        self.local_sums = Sums()
        self.sums = Sums()
        self.worst_failure_rate = 0.0
        self.unreachable_vms: set[str] = set()

    @property
    def oldest_waiting(self) -> OpenAttempt | None:
        """The first sent of this daemon's attempts without a first byte."""
        return next(iter(self._waiting.values()), None)

    def begin(self, key: Key, attempt: OpenAttempt) -> None:
        """Add an attempt of this daemon."""
        self.end(key)
        self.local_attempts[key] = attempt
        self._waiting[key] = attempt
        self.local_sums.add_attempt(attempt)
        self.sums.add_attempt(attempt)

    def mark_begun(self, key: Key) -> OpenAttempt | None:
        """Mark an attempt's prompt as prefilled; None if unknown or marked before."""
        attempt = self.local_attempts.get(key)
        if attempt is None or attempt.has_begun:
            return None
        self.local_sums.add_pending(attempt, -1)
        self.sums.add_pending(attempt, -1)
        attempt.has_begun = True
        self._waiting.pop(key, None)
        attempt.n_pending_tokens = 0
        return attempt

    def end(self, key: Key) -> None:
        """Remove an attempt of this daemon."""
        attempt = self.local_attempts.pop(key, None)
        self._waiting.pop(key, None)
        if attempt is not None:
            self.local_sums.add_attempt(attempt, -1)
            self.sums.add_attempt(attempt, -1)

    def set_share(self, vm: str, share: load_messages.ServerShare) -> None:
        """Set another daemon's share."""
        before = self.peer_shares.get(vm)
        if before is not None:
            self.sums.add(before, -1)
        self.peer_shares[vm] = share
        self.sums.add(share)
        if share.is_unreachable:
            self.unreachable_vms.add(vm)
        else:
            self.unreachable_vms.discard(vm)
        self._update_worst_failure_rate(before, share.failure_rate)

    def remove_share(self, vm: str) -> None:
        """Remove another daemon's share."""
        before = self.peer_shares.pop(vm, None)
        self.unreachable_vms.discard(vm)
        if before is not None:
            self.sums.add(before, -1)
        self._update_worst_failure_rate(before, 0.0)

    def share(
        self,
        parts: tuple[tuple[str, int], ...],
        failure_rate: float,
        n_sent_tokens: int,
    ) -> load_messages.ServerShare:
        """Return this daemon's share, to be reported to other daemons."""
        sums = self.local_sums
        return load_messages.ServerShare(
            sums.n_open,
            sums.n_pending_tokens,
            sums.n_urgent_tokens,
            sums.n_memory_tokens,
            parts,
            failure_rate,
            n_sent_tokens,
        )

    def _update_worst_failure_rate(
        self, before: load_messages.ServerShare | None, failure_rate: float
    ) -> None:
        """Look at all shares only where the worst one has fallen."""
        if failure_rate >= self.worst_failure_rate:
            self.worst_failure_rate = failure_rate
        elif before is not None and before.failure_rate >= self.worst_failure_rate:
            rates = [share.failure_rate for share in self.peer_shares.values()]
            self.worst_failure_rate = max(rates, default=0.0)
