"""Room at a brittle backend server, for the open requests of all daemons together.

Such a server falls over if it turns away more than a number of requests in a second.
Each daemon may use an equal part of what the server runs at once, so that none waits,
and more while the sum leaves room. It knows the open requests of the others by their
load reports, a tenth of a second late. A request that is turned away all the same
lowers both for all daemons.
"""

import math

MAX_BRITTLE_PER_S = 1_000.0
"""Above that number no server of today's sizes falls over."""
CLOSED_S = 0.15
"""Time after a turned-away request in which nothing is sent; the load reports take 0.1
s."""
LOWERED_FACTOR = 0.85
"""Factor on the room with each turned-away request."""
MIN_FACTOR = 0.2
RECOVERED_PER_S = 0.1
"""Part of the room that is regained each second without a turned-away request."""
N_UNNAMED = 4
"""Answers in a row to one daemon without a number that end it: single ones may be those
of a fault, or of what stands between."""
HOLD_S = 1.0
"""Time after which an answer that names no number ends it: answers on several
connections overtake each other."""


class ServerRoom:
    """Room at one start of a backend server, as one daemon knows it.

    Attributes
    ----------
    brittle_per_s : float or None
        Requests turned away within a second that the server bears; None if it isn't
        brittle.
    answered_per_s : float or None
        The same in the last answer that this daemon got from the server.
    n_unreported : int
        Requests of this daemon turned away since its last load report.

    Examples
    --------
    >>> room = ServerRoom()
    >>> room.is_open(10.0, n_open=500, n_own_open=9, n_slots=6, n_daemons=3)
    True
    >>> room.record_named(3.0, 10.0)
    True
    >>> [room.is_open(10.0, n, n_own_open=2, n_slots=6, n_daemons=3) for n in (3, 4)]
    [True, False]
    >>> room.is_open(10.0, n_open=6, n_own_open=1, n_slots=6, n_daemons=3)
    True
    >>> room.record_turned_away(1, 11.0)
    >>> [room.is_open(now_s, 0, 0, 6, 3) for now_s in (11.1, 11.2)]
    [False, True]
    """

    def __init__(self) -> None:
        self.brittle_per_s: float | None = None
        self.answered_per_s: float | None = None
        self.n_unreported = 0
        self._named_s = -math.inf
        self._n_unnamed = 0
        self._turned_away_s = -math.inf
        self._factor = 1.0

    def is_open(
        self, now_s: float, n_open: int, n_own_open: int, n_slots: int, n_daemons: int
    ) -> bool:
        """Return whether a request may be sent.

        Parameters
        ----------
        now_s : float
        n_open : int
            Open requests there of all daemons, as far as known.
        n_own_open : int
            Those of this daemon.
        n_slots : int
            Requests that the server runs at once.
        n_daemons : int
            Daemons that may send to it.
        """
        if self.brittle_per_s is None:
            return True
        if now_s < self._turned_away_s + CLOSED_S:
            return False
        factor = self._recovered(now_s)
        if n_own_open < int(factor * n_slots / n_daemons):
            return True
        # Each of the others may send one more before this daemon hears of it.
        n_crossing = min(n_daemons - 1, n_slots // 2)
        if self.brittle_per_s < n_daemons:
            n_crossing = max(n_crossing, n_slots // 3)
        return n_open < max(1, int(factor * (n_slots - n_crossing)))

    def record_named(self, per_s: float, now_s: float) -> bool:
        """Record that the server is brittle; return whether that is new."""
        if per_s > MAX_BRITTLE_PER_S:
            return False
        self._named_s = now_s
        self._n_unnamed = 0
        is_new = per_s != self.brittle_per_s
        self.brittle_per_s = per_s
        return is_new

    def record_unnamed(self, sent_s: float, now_s: float, n_answers: int = 1) -> bool:
        """Record answers that don't say so; return whether they end it.

        Parameters
        ----------
        sent_s : float
            When the request of the earliest was sent.
        now_s : float
        n_answers : int
        """
        if self.brittle_per_s is None or sent_s < self._named_s:
            return False
        self._n_unnamed += n_answers
        if self._n_unnamed < N_UNNAMED or now_s < self._named_s + HOLD_S:
            return False
        self.brittle_per_s = None
        return True

    def record_turned_away(self, n_requests: int, now_s: float) -> None:
        """Count requests that the server had no room for, of any daemon."""
        if self.brittle_per_s is None:
            return
        lowered = self._recovered(now_s) * LOWERED_FACTOR**n_requests
        self._factor = max(MIN_FACTOR, lowered)
        self._turned_away_s = now_s

    def _recovered(self, now_s: float) -> float:
        if self._turned_away_s == -math.inf:
            return 1.0
        regained = RECOVERED_PER_S * (now_s - self._turned_away_s)
        return min(1.0, self._factor + regained)
