"""Event loop of simulated time."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Runs callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Schedule `callback` at `time_s`."""
        heapq.heappush(self._heap, (time_s, next(self._numbers), callback))

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule `callback` after `delay_s`."""
        self.at(self.now_s + delay_s, callback)

    def every(
        self, interval_s: float, callback: Callable[[], None], end_s: float
    ) -> None:
        """Schedule `callback` at each interval until `end_s`."""

        def run_and_repeat() -> None:
            callback()
            if self.now_s + interval_s <= end_s:
                self.after(interval_s, run_and_repeat)

        self.after(interval_s, run_and_repeat)

    def run(self) -> None:
        """Run until no callback is scheduled."""
        while self._heap:
            self.now_s, _, callback = heapq.heappop(self._heap)
            callback()
