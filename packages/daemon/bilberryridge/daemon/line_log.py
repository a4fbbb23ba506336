"""JSON log lines of a single-threaded daemon: bounded, written without blocking."""

import contextlib
import logging
import os
import time
from collections.abc import Iterator

from pythonjsonlogger import json

from bilberryridge.utilities import metrics

LOGGER = logging.getLogger("bilberryridge")

MAX_PENDING_BYTES = 1 << 20
"""Bytes of lines that are buffered while the reader of the output is slow."""
MAX_LINES_PER_S = 600
"""Three lines per request at 200 requests per second for one daemon."""


class LineHandler(logging.Handler):
    """Buffers lines until they are written; drops lines over a limit.

    Parameters
    ----------
    fd : int
        File descriptor of the output; set to non-blocking mode.
    counters : Metrics
    """

    def __init__(self, fd: int, counters: metrics.Metrics):
        super().__init__()
        self.n_dropped = 0
        self._fd = fd
        self._counters = counters
        self._pending = bytearray()
        self._second = 0
        self._n_lines_in_second = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._n_lines_in_second = second, 0
        self._n_lines_in_second += 1
        is_over = self._n_lines_in_second > MAX_LINES_PER_S
        if is_over or len(self._pending) > MAX_PENDING_BYTES:
            self.n_dropped += 1
            self._counters.count("log_lines_dropped")
            return
        self._pending += self.format(record).encode(errors="replace") + b"\n"

    def write_pending(self) -> None:
        """Write as much as the output accepts without blocking."""
        if not self._pending:
            return
        try:
            n_written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader of the output is closed; the dropped lines show in the metrics.
            self._counters.count("log_lines_dropped", n=self._pending.count(b"\n"))
            self._pending.clear()
            return
        del self._pending[:n_written]


@contextlib.contextmanager
def open_line_log(fd: int, vm: str, counters: metrics.Metrics) -> Iterator[LineHandler]:
    """Log JSON lines to a descriptor; flush the buffered lines at the end."""
    handler = LineHandler(fd, counters)
    handler.setFormatter(
        json.JsonFormatter(
            "%(created)f %(levelname)s %(message)s",
            rename_fields={"created": "time", "levelname": "level"},
            static_fields={"vm": vm},
        )
    )
    LOGGER.setLevel(logging.INFO)
    LOGGER.propagate = False
    LOGGER.addHandler(handler)
    try:
        yield handler
    finally:
        handler.write_pending()
        LOGGER.removeHandler(handler)
