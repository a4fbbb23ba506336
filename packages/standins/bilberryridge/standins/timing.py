"""Measures the time of a call."""

import time
from collections.abc import Callable

N_REPEATS = 5
"""Number of runs; the fastest counts, as slower ones shared the processor."""


def timed(call: Callable[[int], object], n_calls: int) -> float:
    """Microseconds of one call, the minimum of several runs."""
    best_s = float("inf")
    for repeat in range(N_REPEATS):
        began_s = time.process_time()
        for index in range(n_calls):
            call(repeat * n_calls + index)
        best_s = min(best_s, time.process_time() - began_s)
    return best_s / n_calls * 1e6
