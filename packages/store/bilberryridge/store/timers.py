"""Timers of a task."""

import heapq
import itertools
from collections.abc import Callable

import attrs


@attrs.define(order=True)
class Timer:
    """A scheduled function; created by `Timers.at`.

    Parameters
    ----------
    due_s : float
        Monotonic time.
    number : int
        Orders timers that are due at the same time.
    run : callable
    is_cancelled : bool
    """

    due_s: float
    number: int
    run: Callable[[], object] = attrs.field(order=False)
    is_cancelled: bool = attrs.field(default=False, order=False)

    def cancel(self) -> None:
        """Cancel the timer."""
        self.is_cancelled = True


class Timers:
    """The timers of one task.

    Examples
    --------
    >>> timers, ran = Timers(), []
    >>> later = timers.at(2.0, lambda: ran.append("b"))
    >>> timer = timers.at(1.0, lambda: ran.append("a"))
    >>> timers.timeout_s(0.5, longest_s=9.0)
    0.5
    >>> timers.run_due(1.5)
    >>> later.cancel()
    >>> timers.run_due(3.0)
    >>> ran
    ['a']
    """

    def __init__(self) -> None:
        self._waiting: list[Timer] = []
        self._numbers = itertools.count()

    def at(self, due_s: float, run: Callable[[], object]) -> Timer:
        """Run a function at a monotonic time."""
        timer = Timer(due_s, next(self._numbers), run)
        heapq.heappush(self._waiting, timer)
        return timer

    def timeout_s(self, now_s: float, longest_s: float) -> float:
        """Return how long the task may wait for the next timer, at most `longest_s`."""
        if not self._waiting:
            return longest_s
        return min(longest_s, max(0.0, self._waiting[0].due_s - now_s))

    def run_due(self, now_s: float) -> None:
        """Run the timers that are due."""
        while self._waiting and self._waiting[0].due_s <= now_s:
            timer = heapq.heappop(self._waiting)
            if not timer.is_cancelled:
                timer.run()
