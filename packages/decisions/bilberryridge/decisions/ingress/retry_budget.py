"""A retry budget that limits the retries of all daemons together.

Each daemon limits itself to the ratio of its own requests plus an equal share of the
fixed allowance, so daemons need not communicate before a retry.
"""

import collections

RATIO_FRACTION = 0.9
"""Fraction of the ratio's allowance in use; the rest covers time windows that are
aligned differently from this daemon's."""
SLACK_FRACTION = 0.6
"""Fraction of the fixed allowance in use; the rest covers daemons that restart and lose
their counts."""


class RetryBudget:
    """Retry budget of one daemon, for each service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries allowed in one window, for all daemons together.
    window_s : float
        Length of the sliding time window.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.2, slack=5, window_s=10)
    >>> [budget.take("a", now_s, n_daemons=3) for now_s in (0, 0.1, 11)]
    [True, False, True]
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def record_request(self, service: str, now_s: float) -> None:
        """Record the first attempt of a request."""
        self._recent(self._requests, service, now_s).append(now_s)

    def take(
        self, service: str, now_s: float, n_daemons: int, fraction: float = 1.0
    ) -> bool:
        """Count a retry if that fraction of the budget allows it; return whether so."""
        retries = self._recent(self._retries, service, now_s)
        n_requests = len(self._recent(self._requests, service, now_s))
        n_allowed = self.ratio * RATIO_FRACTION * n_requests
        n_allowed += SLACK_FRACTION * self.slack / max(1, n_daemons)
        if len(retries) + 1 > fraction * n_allowed:
            return False
        retries.append(now_s)
        return True

    def _recent(
        self,
        times_by_service: dict[str, collections.deque[float]],
        service: str,
        now_s: float,
    ) -> collections.deque[float]:
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] <= now_s - self.window_s:
            times.popleft()
        return times
