"""Rate at which waiting requests are placed, measured while some are waiting."""

import math

import attrs

PRIOR_TIME_S = 5.0
"""Observed time from which the prior is no longer used."""
PRIOR_WAIT_S = 1.0
"""Wait that the prior assumes for any work."""
MIN_WORK_S = 1e-9
"""Work below this counts as none."""


@attrs.define
class Meter:
    """Work placed per second while requests are waiting.

    Parameters
    ----------
    window_s : float
        Time constant of the exponential decay of `served` and `time_s`.
    served : float
        Work placed, decaying.
    time_s : float
        Time in which requests waited, decaying.
    observed_s : float
        The same time without decay.
    """

    window_s: float
    served: float = 0.0
    time_s: float = 0.0
    observed_s: float = 0.0

    def record_time(self, elapsed_s: float) -> None:
        """Add time in which a request waited."""
        decay = math.exp(-elapsed_s / self.window_s)
        self.time_s = self.time_s * decay + elapsed_s
        self.served *= decay
        self.observed_s += elapsed_s

    def time_for(self, work: float) -> float:
        """Expected time to place the work; dominated by a prior at first.

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
