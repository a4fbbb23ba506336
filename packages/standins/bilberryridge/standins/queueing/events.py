"""Times and callbacks in order."""

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Runs callbacks in order of their time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, time_s: float, call: Callable[[], None]) -> None:
        """Run `call` at `time_s`."""
        heapq.heappush(self._heap, (time_s, next(self._numbers), call))

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run `call` in `delay_s`."""
        self.at(self.now_s + delay_s, call)

    def every(self, interval_s: float, call: Callable[[], None], end_s: float) -> None:
        """Run `call` at each interval until `end_s`."""

        def again() -> None:
            call()
            if self.now_s + interval_s <= end_s:
                self.after(interval_s, again)

        self.after(interval_s, again)

    def run(self) -> None:
        """Run until nothing is left to do."""
        while self._heap:
            self.now_s, _, call = heapq.heappop(self._heap)
            call()
