"""Timers of one task, kept in a heap."""

import heapq
import itertools
from collections.abc import Callable

Action = Callable[[], None]


class Timer:
    """An action that runs at a monotonic time unless it is cancelled."""

    __slots__ = ("_action",)

    def __init__(self, action: Action):
        self._action: Action | None = action

    def replace(self, action: Action) -> None:
        """Run another action instead, at the same time."""
        self._action = action

    def cancel(self) -> None:
        """Cancel the action."""
        self._action = None

    def fire(self) -> None:
        """Run the action unless it has run or was cancelled."""
        action, self._action = self._action, None
        if action is not None:
            action()


class TimerQueue:
    """All timers of a task; methods must be called on that task's thread.

    Examples
    --------
    >>> timers = TimerQueue()
    >>> late = timers.at(2.0, lambda: print("late"))
    >>> early = timers.at(1.0, lambda: print("early"))
    >>> late.cancel()
    >>> timers.run_due(3.0)
    early
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def at(self, at_s: float, action: Action) -> Timer:
        """Run `action` at the monotonic time `at_s`."""
        timer = Timer(action)
        heapq.heappush(self._heap, (at_s, next(self._order), timer))
        return timer

    def timeout_s(self, now_s: float, max_wait_s: float) -> float:
        """Time until the next timer is due, at most `max_wait_s`."""
        if not self._heap:
            return max_wait_s
        return min(max_wait_s, max(0.0, self._heap[0][0] - now_s))

    def run_due(self, now_s: float) -> None:
        """Run every action that is due."""
        while self._heap and self._heap[0][0] <= now_s:
            timer = heapq.heappop(self._heap)[2]
            timer.fire()
