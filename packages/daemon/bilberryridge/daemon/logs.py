"""JSON log lines, one for each state change."""

import contextlib
import logging
import logging.handlers
import queue
from collections.abc import Iterator
from typing import TextIO

from pythonjsonlogger import json

from bilberryridge.configuration import settings

LOGGER = logging.getLogger("bilberryridge")
MAX_QUEUED_RECORDS = 10_000

LEVELS = {
    settings.LogLevel.DEBUG: logging.DEBUG,
    settings.LogLevel.INFO: logging.INFO,
    settings.LogLevel.WARNING: logging.WARNING,
    settings.LogLevel.ERROR: logging.ERROR,
}


class DroppingHandler(logging.handlers.QueueHandler):
    """Passes records to the writer thread; drops them when its queue is full.

    A log reader that stops reading must not block the daemon.
    """

    n_dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.n_dropped += 1


def log_state_change(what: str, subject: str, before: str, after: str) -> None:
    """Log a state change.

    Parameters
    ----------
    what : str
        Kind of the subject, such as ``peer`` or ``server``.
    subject : str
        Name of the peer, server or other item.
    before, after : str
        The states.
    """
    fields = {"what": what, "subject": subject, "before": before, "after": after}
    LOGGER.info("%s %s: %s -> %s", what, subject, before, after, extra=fields)


@contextlib.contextmanager
def open_logs(
    level: settings.LogLevel, stream: TextIO, vm: str
) -> Iterator[DroppingHandler]:
    """Write JSON lines to a stream; flush the queued records at the end."""
    formatter = json.JsonFormatter(
        "%(asctime)s %(levelname)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level"},
        static_fields={"vm": vm},
    )
    writer = logging.StreamHandler(stream)
    writer.setFormatter(formatter)
    pending: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_RECORDS)
    handler = DroppingHandler(pending)
    listener = logging.handlers.QueueListener(pending, writer)
    LOGGER.setLevel(LEVELS[level])
    LOGGER.propagate = False
    LOGGER.addHandler(handler)
    listener.start()
    try:
        yield handler
    finally:
        LOGGER.removeHandler(handler)
        listener.stop()
