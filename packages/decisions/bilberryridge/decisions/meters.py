"""How fast waiting requests are placed, measured while some wait."""

import math

import attrs

PRIOR_TIME_S = 5.0
PRIOR_WAIT_S = 1.0
MIN_WORK_S = 1e-9


@attrs.define
class Meter:
    """Work placed a second while requests wait for their turn.

    Parameters
    ----------
    window_s : float
        Waiting time over which what was seen fades.
    served : float
        Work placed.
    time_s : float
        Time in which requests waited.
    seen_s : float
        The same, not fading.
    """

    window_s: float
    served: float = 0.0
    time_s: float = 0.0
    observed_s: float = 0.0

    def record_time(self, elapsed_s: float) -> None:
        """Count time in which a request waited."""
        decay = math.exp(-elapsed_s / self.window_s)
        self.time_s = self.time_s * decay + elapsed_s
        self.served *= decay
        self.observed_s += elapsed_s

    def time_for(self, work: float) -> float:
        """How long it takes to place the work; a guess when little was seen yet.

        Examples
        --------
        >>> Meter(window_s=5.0, served=8.0, time_s=4.0, observed_s=60.0).time_for(6.0)
        3.0
        """
        if work < MIN_WORK_S:
            return 0.0
        prior_s = max(PRIOR_TIME_S - self.observed_s, 0.0)
        served = max(self.served, 0.0) + prior_s * work / PRIOR_WAIT_S
        if served < MIN_WORK_S:
            return math.inf
        return work * (self.time_s + prior_s) / served
