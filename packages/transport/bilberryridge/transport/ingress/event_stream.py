"""Splits a stream into complete events as its bytes are received.

References
----------
The `text/event-stream` format of the HTML living standard, section 9.2.
"""

import re

import attrs

from bilberryridge.transport import errors
from bilberryridge.transport.ingress import answer_bounds

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_END_BYTES = 4
_ID = re.compile(rb"(?:^|\r\n|\n|\r)id: ?([^\r\n]*)")


@attrs.frozen
class Events:
    """Complete events of a stream.

    Parameters
    ----------
    data : bytes
        The events, byte for byte.
    last_id : str
        Id of the last event that has one; empty if none has.
    n_events : int
    """

    data: bytes
    last_id: str
    n_events: int


class EventSplitter:
    """Splits off complete events and holds back an incomplete one.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    Events(data=b'id: 1\\ndata: a\\n\\n', last_id='1', n_events=1)
    >>> splitter.incomplete
    b'id: 2\\nda'
    >>> splitter.is_inside_event
    True
    """

    def __init__(self) -> None:
        self._held = bytearray()

    @property
    def incomplete(self) -> bytes:
        """Bytes held back."""
        return bytes(self._held)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun that isn't complete; blank lines begin none."""
        return bool(self._held.strip(b"\r\n"))

    def feed(self, data: bytes) -> Events:
        """Append bytes; return the events that are now complete.

        Raises
        ------
        errors.AnswerBoundError
            An event is longer than `answer_bounds.MAX_EVENT_BYTES`.
        """
        # The bytes held before have no event's end, but may have the start of one.
        search_from = max(0, len(self._held) - _MAX_END_BYTES + 1)
        self._held += data
        received = self._held
        ends = [match.end() for match in _END.finditer(received, search_from)]
        complete = bytes(received[: ends[-1]]) if ends else b""
        del received[: len(complete)]
        if len(received) > answer_bounds.MAX_EVENT_BYTES:
            raise errors.AnswerBoundError(f"{len(received)} bytes without an event")
        ids = _ID.findall(complete)
        last_id = ids[-1].decode("latin-1") if ids else ""
        return Events(complete, last_id, len(ends))
