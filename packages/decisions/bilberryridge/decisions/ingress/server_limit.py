"""Rate limit that a backend server names for all daemons together.

Each daemon counts its own requests and those that the other daemons report, and sends
only while the total is within the rate. Daemons that send at the same moment don't know
of each other's request yet; the excess is made up for before the next one is sent. Each
daemon keeps to about twice its recent part of the requests, which bounds that excess.
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
"""Time after which an answer that names no limit ends one: answers on several
connections overtake each other."""
RECENT_S = 5.0
"""Time constant of the daemon's part of the requests."""
PART_GAIN = 2.0
"""Multiple of that part up to which the daemon may send."""


@attrs.define
class _Backlog:
    """Requests sent that the rate has not yet made up for."""

    n_requests: float = 0.0
    counted_s: float = 0.0

    def add(self, n_requests: float, now_s: float, rate: float) -> None:
        elapsed_s = now_s - self.counted_s
        self.n_requests = max(0.0, self.n_requests - rate * elapsed_s) + n_requests
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

    Examples
    --------
    >>> limit = ServerLimit()
    >>> limit.is_open(10.0), limit.record_named(2.0, 10.0)
    (True, True)
    >>> limit.is_open(10.4), limit.is_open(10.5)
    (False, True)
    >>> limit.record_sent(10.5)
    >>> limit.record_sent_by_others(1, 10.6)
    >>> limit.opens_s
    11.5
    >>> limit.record_unnamed(sent_s=10.8, now_s=11.1), limit.is_open(11.1)
    (True, True)
    """

    def __init__(self) -> None:
        self.per_s: float | None = None
        self.answered_per_s: float | None = None
        self.n_unreported = 0
        self._named_s = -math.inf
        self._total = _Backlog()
        self._own = _Backlog()
        self._n_recent_own = 0.0
        self._n_recent = 0.0
        self._recent_s = 0.0
        self._part = 1.0

    @property
    def opens_s(self) -> float:
        """When the next request may be sent; in the past if one may be sent now."""
        if self.per_s is None:
            return -math.inf
        return max(
            self._total.opens_s(self._rate, self._n_burst),
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

    def record_unnamed(self, sent_s: float, now_s: float) -> bool:
        """Record an answer that names no limit; return whether it ends one.

        Parameters
        ----------
        sent_s : float
            When its request was sent; it may be older than the last named limit.
        now_s : float
        """
        is_later = sent_s >= self._named_s and now_s >= self._named_s + HOLD_S
        if self.per_s is None or not is_later:
            return False
        self.per_s = None
        return True

    def record_sent(
        self, now_s: float, weight: float = 1.0, n_daemons: int = 1
    ) -> None:
        """Count a request of this daemon.

        Parameters
        ----------
        now_s : float
        weight : float
            Number of daemons whose requests it stands for.
        n_daemons : int
            Daemons that may send to the server.
        """
        if self.per_s is None:
            return
        self.n_unreported += 1
        self._count_recent(1, 1, now_s)
        own_part = PART_GAIN * self._n_recent_own / self._n_recent
        self._own.add(1, now_s, self._part * self._rate)
        self._part = min(1.0, own_part + 1 / n_daemons)
        self._count(weight, now_s)

    def record_sent_by_others(
        self, n_requests: int, now_s: float, weight: float = 1.0
    ) -> None:
        """Count requests that other daemons report; see `record_sent`."""
        if self.per_s is not None:
            self._count_recent(0, n_requests, now_s)
            self._count(weight * n_requests, now_s)

    @property
    def _rate(self) -> float:
        assert self.per_s is not None
        return max(MIN_REQUESTS_PER_S, self.per_s)

    @property
    def _n_burst(self) -> float:
        return max(MIN_BURST, BURST_S * self._rate)

    @property
    def _n_own_burst(self) -> float:
        return max(1.0, self._part * self._n_burst)

    def _count(self, n_requests: float, now_s: float) -> None:
        self._total.add(n_requests, now_s, self._rate)
        n_max = self._n_burst + MAX_EXCESS_S * self._rate
        self._total.n_requests = min(n_max, self._total.n_requests)

    def _count_recent(self, n_own: int, n_requests: int, now_s: float) -> None:
        decay = math.exp((self._recent_s - now_s) / RECENT_S)
        self._recent_s = now_s
        self._n_recent_own = decay * self._n_recent_own + n_own
        self._n_recent = decay * self._n_recent + n_requests
