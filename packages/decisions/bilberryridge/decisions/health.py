"""Health of a server: failures, slow first bytes, and recovery.

A failing server is ejected for a time that doubles with each repeated ejection. Its
load is then ramped up gradually, because its caches are cold.
"""

import random

import attrs

MAX_CONSECUTIVE_FAILURES = 3
"""Number of consecutive failures at which a server is ejected."""
MAX_FAILURE_RATE = 0.5
FAILURE_RATE_WEIGHT = 0.15
"""Weight of a new sample in the moving average of the failure rate."""
MIN_ENDED_FOR_RATE = 8
"""Ended requests that are needed before the failure rate is used."""
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
BACKOFF_RESET_S = 120.0
"""Time after an ejection from which the next one is short again."""
EJECTION_JITTER = 0.3
RAMP_S = 10.0
"""Time over which the load of a recovered server is ramped up."""
RAMP_START = 0.1
"""Fraction of its slots at which the ramp begins."""
WAIT_WEIGHT = 0.2
"""Weight of a new sample in the moving average of the wait."""
WAIT_HALF_LIFE_S = 10.0
"""Half-life of the excess wait of a server without traffic."""
MIN_WAITS = 3
"""Samples that are needed before the average wait is used."""
SLOW_RATIO = 2.0
"""Factor over the typical wait above which a server counts as slow. With a smaller
one, ordinary differences would starve one of two servers."""


@attrs.define
class Health:
    """Health of one server as seen in this daemon's own traffic."""

    n_consecutive_failures: int = 0
    failure_rate: float = 0.0
    n_ended: int = 0
    ejected_at_s: float = 0.0
    ejected_until_s: float = 0.0
    n_ejections: int = 0
    ramp_from_s: float | None = None
    wait_s: float = 0.0
    n_waits: int = 0
    last_wait_s: float = 0.0

    def is_ejected(self, now_s: float) -> bool:
        """Whether the server is excluded from new requests now."""
        return now_s < self.ejected_until_s

    def record_end(self, now_s: float, is_success: bool) -> bool:
        """Record how a request ended; return whether to eject the server."""
        self.n_ended += 1
        self.failure_rate += FAILURE_RATE_WEIGHT * (
            (not is_success) - self.failure_rate
        )
        if is_success:
            self.n_consecutive_failures = 0
            return False
        self.n_consecutive_failures += 1
        if self.is_ejected(now_s):
            return False
        is_on_trial = self.ramp_fraction(now_s) < 1.0 and self.n_ejections > 0
        is_often_failing = (
            self.n_ended >= MIN_ENDED_FOR_RATE and self.failure_rate > MAX_FAILURE_RATE
        )
        return (
            is_on_trial
            or is_often_failing
            or self.n_consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        )

    def record_success(self, now_s: float, sent_s: float) -> None:
        """Record a success; it ends an ejection if the request was sent after it."""
        if self.is_ejected(now_s) and sent_s >= self.ejected_at_s:
            self.ejected_until_s = self.ramp_from_s = now_s

    def eject(self, now_s: float, random_state: random.Random) -> None:
        """Exclude the server for a jittered time that doubles with each ejection."""
        if now_s - self.ejected_until_s > BACKOFF_RESET_S:
            self.n_ejections = 0
        duration_s = min(FIRST_EJECTION_S * 2.0**self.n_ejections, MAX_EJECTION_S)
        duration_s *= random_state.uniform(1.0 - EJECTION_JITTER, 1.0 + EJECTION_JITTER)
        self.n_ejections += 1
        self.n_consecutive_failures = 0
        self.n_ended = 0
        self.failure_rate = 0.0
        self.ejected_at_s = now_s
        self.n_waits = 0
        self.ejected_until_s = now_s + duration_s
        self.ramp_from_s = self.ejected_until_s

    def record_restart(self, now_s: float) -> None:
        """End any ejection and ramp the load up from now, as after a restart."""
        self.ramp_from_s = now_s
        self.ejected_until_s = min(self.ejected_until_s, now_s)
        self.n_waits = 0

    def ramp_fraction(self, now_s: float) -> float:
        """Fraction of its slots that the server may use now.

        Examples
        --------
        >>> Health(ramp_from_s=0.0).ramp_fraction(5.0)
        0.5
        """
        if self.ramp_from_s is None:
            return 1.0
        fraction = (now_s - self.ramp_from_s) / RAMP_S
        if fraction >= 1.0:
            self.ramp_from_s = None
            return 1.0
        return max(fraction, RAMP_START)

    def record_wait(self, now_s: float, waited_s: float) -> None:
        """Record the time from sending a request to its first byte."""
        if self.n_waits == 0:
            self.wait_s = waited_s
        self.wait_s += WAIT_WEIGHT * (waited_s - self.wait_s)
        self.n_waits += 1
        self.last_wait_s = now_s

    def excess_wait_s(self, now_s: float, typical_s: float) -> float:
        """Wait for a first byte in excess of `typical_s`; decays without traffic."""
        if self.n_waits < MIN_WAITS or self.wait_s <= SLOW_RATIO * typical_s:
            return 0.0
        decay = 0.5 ** ((now_s - self.last_wait_s) / WAIT_HALF_LIFE_S)
        return (self.wait_s - typical_s) * decay
