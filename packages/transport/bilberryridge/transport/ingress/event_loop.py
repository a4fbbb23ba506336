"""Event loop: sockets and timers of one thread."""

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
"""Interval at which the loop checks its stop flag at the latest."""


class Ready(Protocol):
    """Handler of a registered socket, held in its selector key."""

    def on_ready(self, key: selectors.SelectorKey, mask: int) -> None:
        """Handle a readiness event of the socket."""


class EventLoop:
    """Waits for sockets and timers; all methods must be called on its thread."""

    def __init__(self, selector: selectors.BaseSelector):
        self.selector = selector
        self.timer_queue = timers.TimerQueue()
        self.n_errors = 0
        self._is_stopped = False

    def now_s(self) -> float:
        """Return the monotonic time."""
        return time.monotonic()

    def boot_s(self) -> float:
        """Return the time since boot, which counts suspensions of the VM."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def after(self, seconds: float, action: timers.Action) -> timers.Timer:
        """Run an action once after a delay."""
        return self.timer_queue.at(self.now_s() + seconds, action)

    def every(self, interval_s: float, action: timers.Action) -> None:
        """Run an action repeatedly."""

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
        """Wait for the next socket or timer and run the handlers that are due."""
        wait_s = self.timer_queue.timeout_s(self.now_s(), MAX_WAIT_S)
        for key, mask in self.selector.select(wait_s):
            self._run_guarded(functools.partial(key.data.on_ready, key, mask))
        self._run_guarded(lambda: self.timer_queue.run_due(self.now_s()))

    def _run_guarded(self, action: Callable[[], None]) -> None:
        """Run an action; log an unexpected error, which would end all connections."""
        try:
            action()
        except Exception:
            self.n_errors += 1
            LOGGER.exception("unforeseen error in a handler")


@contextlib.contextmanager
def open_loop() -> Iterator[EventLoop]:
    """Open a loop; its selector is closed on exit."""
    with selectors.DefaultSelector() as selector:
        yield EventLoop(selector)
