"""One thread's sockets and timers."""

import contextlib
import functools
import logging
import selectors
import time
from collections.abc import Callable, Iterator
from typing import Protocol

from bilberryridge.transport import timers

LOGGER = logging.getLogger("bilberryridge")
MAX_WAIT_S = 1.0
"""The loop looks at its stop flag at least this often."""


class Ready(Protocol):
    """What a registered socket's key holds."""

    def on_ready(self, key: selectors.SelectorKey, mask: int) -> None:
        """Go on with the socket."""


class EventLoop:
    """Waits for sockets and timers; all methods are for its thread."""

    def __init__(self, selector: selectors.BaseSelector):
        self.selector = selector
        self.timer_queue = timers.TimerQueue()
        self.n_errors = 0
        self._is_stopped = False

    def now_s(self) -> float:
        """Return the monotonic time."""
        return time.monotonic()

    def after(self, seconds: float, action: timers.Action) -> timers.Timer:
        """Run an action later."""
        return self.timer_queue.at(self.now_s() + seconds, action)

    def every(self, interval_s: float, action: timers.Action) -> None:
        """Run an action again and again."""

        def run() -> None:
            self.after(interval_s, run)
            action()

        self.after(interval_s, run)

    def stop(self) -> None:
        """Make `run` return."""
        self._is_stopped = True

    def run(self) -> None:
        """Serve until stopped."""
        while not self._is_stopped:
            self.run_once()

    def run_once(self) -> None:
        """Wait for the next socket or timer and serve what is due."""
        wait_s = self.timer_queue.timeout_s(self.now_s(), MAX_WAIT_S)
        for key, mask in self.selector.select(wait_s):
            self._run_guarded(functools.partial(key.data.on_ready, key, mask))
        self._run_guarded(lambda: self.timer_queue.run_due(self.now_s()))

    def _run_guarded(self, action: Callable[[], None]) -> None:
        """Keep one connection's unforeseen error from ending all others."""
        try:
            action()
        except Exception:
            self.n_errors += 1
            LOGGER.exception("unforeseen error in a handler")


@contextlib.contextmanager
def open_loop() -> Iterator[EventLoop]:
    """Make a loop; its selector is closed at the end."""
    with selectors.DefaultSelector() as selector:
        yield EventLoop(selector)
