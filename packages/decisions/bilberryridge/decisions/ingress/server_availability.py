"""Whether this daemon may send new work to a backend server, by what it met there.

The server's registration in the store is judged elsewhere; both must allow a request.
"""

import collections
import math

FIRST_UNAVAILABLE_S, MAX_UNAVAILABLE_S = 0.5, 4.0
"""How long a server is not used after a failed connection; doubled with each failure up
to the maximum."""
MAX_ASKED_S = 600.0
"""Longest time for which a server that asks to be left alone is."""
TRY_AFTER_S = 30.0
MAX_TRIES = 2
"""In that time a server gets a request each time that `TRY_AFTER_S` has passed, but no
more than `MAX_TRIES`. The answer may ask for a new time; a good one doesn't end it."""
MAX_RETURN_DELAY_S, RETURN_DELAY_FRACTION = 0.5, 0.2
"""Upper bound of the random delay after the time asked for, and fraction of that time:
daemons don't come back at the same moment."""
RAMP_STEP_S = 0.1
RAMP_S = 1.0
"""After that time a server gets one more open request of this daemon each step, until
the ramp ends."""


class Availability:
    """What this daemon has met at one start of one backend server.

    Parameters
    ----------
    is_leaving : bool
        Whether the server has told this daemon that it leaves.

    Attributes
    ----------
    is_leaving : bool
        Never ends; a new start of the server has a new object.
    unavailable_for_s : float
        Length of the latest period without use after a failed connection.

    Examples
    --------
    >>> availability = Availability()
    >>> availability.record_failed_connection(10.0)
    >>> [availability.is_open(now_s) for now_s in (10.4, 10.5)]
    [False, True]
    >>> availability.record_asked_for_time(20.0, 2.0, return_delay_s=0.1)
    True
    >>> availability.is_open(22.05), availability.is_open(22.1), availability.returns_s
    (False, True, 22.1)
    >>> availability.is_open(22.1, n_open=1), availability.is_open(22.25, n_open=1)
    (False, True)
    >>> availability.record_leaving()
    >>> availability.is_open(100.0)
    False
    """

    def __init__(self, is_leaving: bool = False) -> None:
        self.is_leaving = is_leaving
        self.unavailable_for_s = 0.0
        self._unavailable_until_s = -math.inf
        self._asked_until_s = -math.inf
        self._asked_s = 0.0
        self._try_s = math.inf
        self._tried_s: collections.deque[float] = collections.deque(maxlen=MAX_TRIES)

    @property
    def returns_s(self) -> float:
        """When it gets a request again; infinite if it leaves."""
        if self.is_leaving:
            return math.inf
        asked_until_s = min(self._asked_until_s, self._next_try_s)
        return max(self._unavailable_until_s, asked_until_s)

    @property
    def asked_until_s(self) -> float:
        """End of the time that it asked for."""
        return self._asked_until_s

    def is_open(self, now_s: float, n_open: int = 0) -> bool:
        """Return whether new work may be sent.

        Parameters
        ----------
        now_s : float
        n_open : int
            Open requests of this daemon there.
        """
        if self.is_leaving or now_s < self._unavailable_until_s:
            return False
        if now_s >= self._asked_until_s + RAMP_S:
            # Placement asks this of every server for each request.
            return True
        if now_s < self.returns_s:
            return False
        if now_s < self._asked_until_s:
            return n_open == 0
        return not self._is_over_ramp(now_s, n_open)

    @property
    def _next_try_s(self) -> float:
        if len(self._tried_s) < MAX_TRIES:
            return self._try_s
        return max(self._try_s, self._tried_s[0] + self._asked_s)

    def _is_over_ramp(self, now_s: float, n_open: int) -> bool:
        back_for_s = now_s - self._asked_until_s
        return back_for_s < RAMP_S and n_open > int(back_for_s / RAMP_STEP_S)

    def record_leaving(self) -> None:
        """Record that the server leaves."""
        self.is_leaving = True

    def record_success(self) -> None:
        """Record a good answer."""
        self.unavailable_for_s = 0.0

    def record_failed_connection(self, now_s: float) -> None:
        """Record that the server couldn't be reached at its address."""
        self.unavailable_for_s = min(
            MAX_UNAVAILABLE_S, max(FIRST_UNAVAILABLE_S, 2 * self.unavailable_for_s)
        )
        self._unavailable_until_s = now_s + self.unavailable_for_s

    def record_asked_for_time(
        self, now_s: float, for_s: float, return_delay_s: float
    ) -> bool:
        """Record that the server wants nothing for a while; return whether it is new.

        A shorter time doesn't cut short a longer one.

        Parameters
        ----------
        now_s : float
        for_s : float
            At most `MAX_ASKED_S` of it count.
        return_delay_s : float
            Added to it.
        """
        asked_s = min(for_s, MAX_ASKED_S)
        until_s = now_s + asked_s + return_delay_s
        if until_s <= self._asked_until_s:
            return False
        self._asked_until_s = until_s
        self._asked_s = asked_s
        self._try_s = now_s + TRY_AFTER_S
        return True

    def record_sent(self, now_s: float) -> None:
        """Record a request."""
        if now_s < self._asked_until_s:
            self._tried_s.append(now_s)
            self._try_s = now_s + TRY_AFTER_S


def return_delay_s(for_s: float, fraction: float) -> float:
    """Return the delay after a time asked for.

    Parameters
    ----------
    for_s : float
    fraction : float
        Random, 0 to 1.
    """
    longest_s = min(MAX_RETURN_DELAY_S, RETURN_DELAY_FRACTION * for_s)
    return fraction * longest_s
