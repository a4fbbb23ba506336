"""Rate limit that a backend server names for all daemons together.

Each daemon counts its own requests and those that the other daemons report, and sends
only while the total is within the rate. Daemons that send at the same moment don't know
of each other's request yet; the excess is made up for before the next one is sent. Each
daemon keeps to about twice its recent part of the requests, and waits for a random time
that is longer the more daemons there are, which bounds that excess.
"""

import math

import attrs

BURST_S = 0.5
MIN_BURST = 2.0
"""Time for which the rate may be saved up, and fewest requests that may be sent at
once."""
MAX_EXCESS_S = 4.0
"""Longest pause to make up for an excess, in time at the named rate. Daemons that know
no limits may exceed it for longer."""
MIN_REQUESTS_PER_S = 0.25
"""Lowest rate in use: only an answer can tell that a server takes more again."""
HOLD_S = 1.0
"""Time for which a limit holds at least: answers on several connections overtake each
other."""
UNNAMED_S = 4.0
MIN_UNNAMED, MAX_UNNAMED = 1, 4
"""Answers in a row without a limit that show nothing: as many as a server gives in that
time at the rate, between these bounds."""
N_RELEASED = 24
"""Further answers without a limit after which there is none."""
RELEASE_GAIN = 2.0
"""Requests that each of them lets follow, so that their number doubles with each answer
time while no limit is named."""
N_AT_ONCE, AT_ONCE_S = 3.0, 5.0
"""Requests that daemons may send before they know of each other's: some, and those of
that time at the named rate."""
RECENT_S = 5.0
"""Time constant of the daemon's part of the requests."""
PART_GAIN = 2.0
"""Multiple of that part up to which the daemon may send."""


@attrs.frozen
class Senders:
    """The daemons that may send to a server, as one of them knows them.

    Parameters
    ----------
    n_daemons : int
    weight : float
        Number of daemons for each one that can be heard.
    delay_s : float
        Time until the others know of a request.
    draw : float
        Random number, 0 to 1.
    """

    n_daemons: int = 1
    weight: float = 1.0
    delay_s: float = 0.0
    draw: float = 0.0


ALONE = Senders()


@attrs.define
class _Backlog:
    """Requests sent that the rate has not yet made up for."""

    n_requests: float = 0.0
    counted_s: float = 0.0

    def add(self, n_requests: float, now_s: float, rate: float) -> None:
        elapsed_s = now_s - self.counted_s
        n_before = max(0.0, self.n_requests - rate * elapsed_s)
        self.n_requests = max(0.0, n_before + n_requests)
        self.counted_s = now_s

    def opens_s(self, rate: float, n_burst: float) -> float:
        n_over = self.n_requests + 1 - n_burst
        return self.counted_s + max(0.0, n_over) / rate


class ServerLimit:
    """The rate limit of one start of a backend server, as one daemon knows it.

    Attributes
    ----------
    per_s : float or None
        The limit in force, in requests a second; None for no limit.
    answered_per_s : float or None
        The limit in the last answer that this daemon got from the server.
    n_unreported : int
        Requests that this daemon sent under a limit since its last load report.
    is_naming_unreported : bool
        Whether a later answer to this daemon named the limit.
    n_unnamed_unreported : int
        Answers to this daemon without a limit after that.

    Examples
    --------
    >>> limit = ServerLimit()
    >>> limit.is_open(10.0), limit.record_named(2.0, 10.0)
    (True, True)
    >>> limit.is_open(10.4), limit.is_open(10.5)
    (False, True)
    >>> limit.record_sent(10.5)
    >>> limit.record_sent_by_others(1, 10.6, ALONE)
    >>> limit.opens_s
    11.5
    >>> limit.record_unnamed(sent_s=10.8, now_s=11.1), limit.per_s
    (False, 2.0)
    >>> limit.record_unnamed(sent_s=11.8, now_s=12.1, n_answers=40), limit.per_s
    (True, None)
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.answered_per_s: float | None = None
        self.n_unreported = 0
        self.is_naming_unreported = False
        self.n_unnamed_unreported = 0
        self._named_s = -math.inf
        self._n_unnamed = 0
        self._total = _Backlog()
        self._own = _Backlog()
        self._n_recent_own = 0.0
        self._n_recent = 0.0
        self._recent_s = 0.0
        self._part = 1.0
        self._wait_s = 0.0

    @property
    def opens_s(self) -> float:
        """When the next request may be sent; in the past if one may be sent now."""
        if self.per_s is None:
            return -math.inf
        return max(
            self._total.opens_s(self._rate, self._n_burst) + self._wait_s,
            self._own.opens_s(self._part * self._rate, self._n_own_burst),
        )

    def is_open(self, now_s: float) -> bool:
        """Return whether a request may be sent."""
        return self.per_s is None or now_s >= self.opens_s

    def record_named(self, per_s: float, now_s: float) -> bool:
        """Record that the server names a limit; return whether it is another one.

        Parameters
        ----------
        per_s : float
            Requests a second, 0 or more.
        now_s : float
        """
        self._named_s = now_s
        self._n_unnamed = 0
        if per_s == self.per_s:
            return False
        if self.per_s is None:
            self.per_s = per_s
            self._total = _Backlog(self._n_burst, now_s)
            self._own = _Backlog(0.0, now_s)
            return True
        self._total.add(0.0, now_s, self._rate)
        self._own.add(0.0, now_s, self._part * self._rate)
        self.per_s = per_s
        self._total.n_requests = min(self._total.n_requests, self._n_burst)
        self._own.n_requests = min(self._own.n_requests, self._n_own_burst)
        return True

    def is_outdated(self, sent_s: float) -> bool:
        """Return whether the limit was named after a request was sent."""
        return sent_s < self._named_s

    def record_unnamed(self, sent_s: float, now_s: float, n_answers: int = 1) -> bool:
        """Record answers that name no limit; return whether they end one.

        A server may leave its limit out of an answer, and what stands between may
        answer for it, so that single answers show nothing. Only answers to requests
        that the limit allows can show that there is none, so each of many lets more
        requests follow.

        Parameters
        ----------
        sent_s : float
            When the request of the earliest was sent.
        now_s : float
        n_answers : int
            Of this daemon or of others.
        """
        if self.per_s is None or self.is_outdated(sent_s):
            return False
        n_before = max(self._n_unnamed, self._n_unnamed_tolerated)
        self._n_unnamed += n_answers
        n_released = RELEASE_GAIN * max(0, self._n_unnamed - n_before)
        self._total.add(-n_released, now_s, self._rate)
        self._own.add(-n_released, now_s, self._part * self._rate)
        n_enough = self._n_unnamed_tolerated + N_RELEASED
        if self._n_unnamed < n_enough or now_s < self._named_s + HOLD_S:
            return False
        self.per_s = None
        return True

    def record_sent(self, now_s: float, senders: Senders = ALONE) -> None:
        """Count a request of this daemon."""
        if self.per_s is None:
            return
        self.n_unreported += 1
        self._own.add(1, now_s, self._part * self._rate)
        self._count_recent(1, 1, now_s, senders)
        self._count(1, now_s, senders)

    def record_sent_by_others(
        self, n_requests: int, now_s: float, senders: Senders
    ) -> None:
        """Count requests that other daemons report; see `record_sent`."""
        if self.per_s is not None:
            self._own.add(0, now_s, self._part * self._rate)
            self._count_recent(0, n_requests, now_s, senders)
            self._count(n_requests, now_s, senders)

    @property
    def _rate(self) -> float:
        assert self.per_s is not None
        return max(MIN_REQUESTS_PER_S, self.per_s)

    @property
    def _n_unnamed_tolerated(self) -> int:
        n_answers = math.ceil(UNNAMED_S * self._rate)
        return min(MAX_UNNAMED, max(MIN_UNNAMED, n_answers))

    @property
    def _n_burst(self) -> float:
        return max(MIN_BURST, BURST_S * self._rate)

    @property
    def _n_own_burst(self) -> float:
        return max(1.0, self._part * self._n_burst)

    def _count(self, n_requests: float, now_s: float, senders: Senders) -> None:
        self._total.add(senders.weight * n_requests, now_s, self._rate)
        n_max = self._n_burst + MAX_EXCESS_S * self._rate
        self._total.n_requests = min(n_max, self._total.n_requests)
        self._wait_s = senders.draw * self._longest_wait_s(senders)

    def _longest_wait_s(self, senders: Senders) -> float:
        """Return the longest time to leave the next request to another daemon."""
        others_part = max(0.0, 1.0 - self._part)
        n_at_once = N_AT_ONCE + AT_ONCE_S * self._rate
        return others_part * senders.n_daemons * senders.delay_s / n_at_once

    def _count_recent(
        self, n_own: int, n_requests: int, now_s: float, senders: Senders
    ) -> None:
        decay = math.exp((self._recent_s - now_s) / RECENT_S)
        self._recent_s = now_s
        self._n_recent_own = decay * self._n_recent_own + n_own
        self._n_recent = decay * self._n_recent + n_requests
        own_part = PART_GAIN * self._n_recent_own / self._n_recent
        self._part = min(1.0, own_part + 1 / senders.n_daemons)
