"""Whether this daemon may send new work to a backend server, by what it met there.

The server's registration in the store is judged elsewhere; both must allow a request.
"""

import math

FIRST_UNAVAILABLE_S, MAX_UNAVAILABLE_S = 0.5, 4.0
"""How long a server is not used after a failed connection; doubled with each failure up
to the maximum."""
LEAVING_REPORT_S = 10.0
"""How long another daemon's report that a server leaves is believed: it may be of an
earlier start of the server."""


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
    >>> availability.is_leaving = True
    >>> availability.is_open(100.0)
    False
    """

    def __init__(self, is_leaving: bool = False) -> None:
        self.is_leaving = is_leaving
        self.unavailable_for_s = 0.0
        self._unavailable_until_s = -math.inf
        self._reported_leaving_until_s = -math.inf

    def is_open(self, now_s: float) -> bool:
        """Return whether new work may be sent."""
        return (
            not self.is_leaving
            and now_s >= self._unavailable_until_s
            and now_s >= self._reported_leaving_until_s
        )

    def record_success(self) -> None:
        """Record a good answer."""
        self.unavailable_for_s = 0.0

    def record_failed_connection(self, now_s: float) -> None:
        """Record that the server couldn't be reached at its address."""
        self.unavailable_for_s = min(
            MAX_UNAVAILABLE_S, max(FIRST_UNAVAILABLE_S, 2 * self.unavailable_for_s)
        )
        self._unavailable_until_s = now_s + self.unavailable_for_s

    def record_leaving_report(self, now_s: float) -> None:
        """Record that the server told another daemon that it leaves."""
        self._reported_leaving_until_s = now_s + LEAVING_REPORT_S
