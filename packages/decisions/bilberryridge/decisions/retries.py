"""Budget for retries as a fraction of first attempts, for each service."""

import random

import attrs

RATIO = 0.1
N_INITIAL = 2.0
N_BURST = 20.0
MAX_SERVICES = 256
RATE_WEIGHT = 0.1
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
JITTER = 0.5
OVERFLOW_SERVICE = ""


@attrs.define
class _Bucket:
    n_tokens: float
    first_attempt_s: float | None = None
    interval_s: float = 1.0


class RetryBudget:
    """A token bucket per service that first attempts fill and retries drain.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first attempt.
    n_initial : float
        Retries allowed before any first attempt.
    n_burst : float
        Capacity of the bucket, in retries.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.1, n_initial=1.0)
    >>> budget.may_retry(0.0, "order-desk"), budget.may_retry(0.0, "order-desk")
    (True, False)
    """

    def __init__(
        self,
        ratio: float = RATIO,
        n_initial: float = N_INITIAL,
        n_burst: float = N_BURST,
    ):
        self._ratio = ratio
        self._n_initial = n_initial
        self._n_burst = n_burst
        self._buckets: dict[str, _Bucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def on_first_attempt(self, now_s: float, service: str) -> None:
        """Add the retry allowance of the first attempt of a request."""
        bucket = self._bucket(service)
        bucket.n_tokens = min(bucket.n_tokens + self._ratio, self._n_burst)
        if bucket.first_attempt_s is not None:
            interval_s = now_s - bucket.first_attempt_s
            bucket.interval_s += RATE_WEIGHT * (interval_s - bucket.interval_s)
        bucket.first_attempt_s = now_s

    def may_retry(self, now_s: float, service: str) -> bool:
        """Whether a retry may be sent now; if so, its token is taken."""
        bucket = self._bucket(service)
        if bucket.n_tokens < 1.0:
            return False
        bucket.n_tokens -= 1.0
        return True

    def retry_after_s(
        self, now_s: float, service: str, random_state: random.Random
    ) -> float:
        """Time after which a caller may try again after a refused retry, jittered."""
        bucket = self._bucket(service)
        n_missing = max(0.0, 1.0 - bucket.n_tokens)
        after_s = n_missing / self._ratio * bucket.interval_s
        after_s = min(max(after_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        return after_s * random_state.uniform(1.0, 1.0 + JITTER)

    def _bucket(self, service: str) -> _Bucket:
        if service not in self._buckets and len(self._buckets) >= MAX_SERVICES:
            # Services beyond the bound share one bucket.
            service = OVERFLOW_SERVICE
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = self._buckets[service] = _Bucket(self._n_initial)
        return bucket
