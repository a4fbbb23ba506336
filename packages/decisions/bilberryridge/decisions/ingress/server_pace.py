"""How long work takes at a backend server now and lastingly, by its own statements.

A server that shares its machine states how long work takes there at this moment. For
work of milliseconds that is the best estimate. Work of seconds outlasts most such
moments, so it is placed by the lasting pace. What lies between is placed by the mean
over its duration.

Placement multiplies the pace with the measured slowdown, which is learnt as what the
pace leaves unexplained. So a moment that the server states does not spoil it.
"""

import collections
import math

import attrs

STATED_FOR_S = 0.6
"""Time within which a statement loses its weight: servers are slowed for about as long
each time."""
BUCKET_S, N_BUCKETS = 0.5, 24
"""The lasting pace is the median of the latest statement of each of so many intervals
with one. They span 20 times `STATED_FOR_S`, so that moments of 15 in 100 of the time
stay below half of them."""
MIN_PACE, MAX_PACE = 0.25, 8.0
"""Bounds within which a statement counts, so that a false one does not move all work
to or from a server."""
USUAL_PACE = 1.0
MIN_CHANGE = 0.15
"""Relative change of the lasting pace below which the server keeps its part of the
shared prompt parts."""
N_SETTLED = 8
"""Intervals with a statement after which that part follows the lasting pace."""


class Source:
    """Where a statement came from, for the log."""

    NONE = "none"
    SERVER = "server"
    NEIGHBOUR = "neighbour"


@attrs.frozen
class Statement:
    """What a server stated of its pace.

    Parameters
    ----------
    pace : float
        How long work takes, as a multiple of the usual.
    at_s : float
        When the server stated it.
    source : str
        Of `Source`.
    """

    pace: float
    at_s: float
    source: str


class ServerPace:
    """The pace of one start of a backend server, as one daemon knows it.

    Attributes
    ----------
    lasting : float
        The pace without the noise of the moment; 1 for a server that states none.
    statement : Statement or None
        The latest.
    part_pace : float
        The lasting pace by which the server has its part of the shared prompt parts.
        It follows `lasting` in steps.
    is_unreported : bool
        Whether the server has stated `statement` to this daemon since its last load
        report.

    Examples
    --------
    >>> pace = ServerPace()
    >>> for tick in range(10):
    ...     _ = pace.record(1.3, 10.0 + tick, 10.0 + tick)
    >>> pace.record(3.25, 20.0, 20.0), pace.part_pace
    (False, 1.3)
    >>> pace.lasting, round(pace.average(0.03, 20.0), 2), pace.average(0.03, 20.6)
    (1.3, 3.2, 1.3)
    >>> round(pace.average(3.0, 20.0), 2)
    1.5
    """

    def __init__(self) -> None:
        self.lasting = USUAL_PACE
        self.statement: Statement | None = None
        self.part_pace = USUAL_PACE
        self.is_unreported = False
        self._bucket = -1
        # One usual moment to begin with, as the first statement may be of a dip.
        self._by_bucket = collections.deque([USUAL_PACE], N_BUCKETS)

    @property
    def is_stated(self) -> bool:
        """Whether the server has stated its pace."""
        return self.statement is not None

    def age_s(self, now_s: float) -> float:
        """Return the age of the latest statement; infinite if there is none."""
        return math.inf if self.statement is None else now_s - self.statement.at_s

    def record(
        self, pace: float, at_s: float, now_s: float, source: str = Source.SERVER
    ) -> bool:
        """Record a statement; return whether `part_pace` has changed.

        A statement that is older than the latest does not count.

        Parameters
        ----------
        pace, at_s, source
            See `Statement`.
        now_s : float
        """
        at_s = min(at_s, now_s)
        if not pace > 0 or not math.isfinite(at_s):
            return False
        if self.statement is not None and at_s <= self.statement.at_s:
            return False
        pace = min(MAX_PACE, max(MIN_PACE, pace))
        self.statement = Statement(pace, at_s, source)
        self.is_unreported = source == Source.SERVER
        bucket = int(at_s / BUCKET_S)
        if bucket == self._bucket:
            self._by_bucket[-1] = pace
        else:
            self._bucket = bucket
            self._by_bucket.append(pace)
        ordered = sorted(self._by_bucket)
        self.lasting = ordered[(len(ordered) - 1) // 2]
        change = abs(self.lasting - self.part_pace)
        if len(ordered) < N_SETTLED or change < MIN_CHANGE * self.part_pace:
            return False
        # Rounded, so that daemons with slightly different medians agree.
        before, self.part_pace = self.part_pace, round(self.lasting, 1)
        return self.part_pace != before

    def average(self, work_s: float, now_s: float) -> float:
        """Return the mean pace over work that takes a time.

        Parameters
        ----------
        work_s : float
            Duration of the work from now on, or until now.
        now_s : float
        """
        statement = self.statement
        if statement is None:
            return self.lasting
        age_s = now_s - statement.at_s
        if age_s >= STATED_FOR_S:
            return self.lasting
        weight = _mean_weight(max(0.0, age_s), work_s)
        return self.lasting + weight * (statement.pace - self.lasting)


def _mean_weight(age_s: float, work_s: float) -> float:
    """Return the mean weight of a statement of some age over work that begins then."""
    if work_s <= 0:
        return 1.0 - age_s / STATED_FOR_S
    return (_weight_until(age_s + work_s) - _weight_until(age_s)) / work_s


def _weight_until(age_s: float) -> float:
    """Return the integral of the weight, which falls in a straight line, in seconds."""
    age_s = min(STATED_FOR_S, age_s)
    return age_s - age_s * age_s / (2 * STATED_FOR_S)
