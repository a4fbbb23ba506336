"""JSON log lines, one for each change of state."""

import contextlib
import logging
import logging.handlers
import queue
from collections.abc import Iterator
from typing import TextIO

from pythonjsonlogger import json

from bilberryridge.configuration import settings

LOGGER = logging.getLogger("bilberryridge")
MAX_WAITING_LINES = 10_000

LEVELS = {
    settings.LogLevel.DEBUG: logging.DEBUG,
    settings.LogLevel.INFO: logging.INFO,
    settings.LogLevel.WARNING: logging.WARNING,
    settings.LogLevel.ERROR: logging.ERROR,
}


class DroppingHandler(logging.handlers.QueueHandler):
    """Hands lines to the writer's thread and drops them when it lags too far.

    A log reader that has stopped reading must not stop the daemon.
    """

    n_dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.n_dropped += 1


def changed(what: str, subject: str, before: str, after: str) -> None:
    """Log a change of state.

    Parameters
    ----------
    what : str
        Which state, such as ``peer`` or ``server``.
    subject : str
        Whose.
    before, after : str
    """
    fields = {"what": what, "subject": subject, "before": before, "after": after}
    LOGGER.info("%s %s: %s -> %s", what, subject, before, after, extra=fields)


@contextlib.contextmanager
def open_logs(
    level: settings.LogLevel, stream: TextIO, vm: str
) -> Iterator[DroppingHandler]:
    """Write JSON lines to a stream; what is queued is written before the end."""
    formatter = json.JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"vm": vm},
    )
    writer = logging.StreamHandler(stream)
    writer.setFormatter(formatter)
    waiting: queue.Queue[logging.LogRecord] = queue.Queue(MAX_WAITING_LINES)
    handler = DroppingHandler(waiting)
    listener = logging.handlers.QueueListener(waiting, writer)
    LOGGER.setLevel(LEVELS[level])
    LOGGER.propagate = False
    LOGGER.addHandler(handler)
    listener.start()
    try:
        yield handler
    finally:
        LOGGER.removeHandler(handler)
        listener.stop()
