"""Splits a stream into complete events as its bytes are received.

References
----------
The `text/event-stream` format of the HTML living standard, section 9.2.
"""

import re

import attrs

from bilberryridge.transport import errors
from bilberryridge.transport.ingress import answer_bounds

# A blank line: a line end after a line end. What follows a carriage return is waited
# for, as it may be the second half of a line end, unless the line before ends with one.
_END = re.compile(rb"\r(?:\r\n|\r)|(?:\r\n|\n)(?:\r\n|\n|\r(?=[^\n]))")
_MAX_END_BYTES = 4
_ID = re.compile(rb"(?:^|[\r\n])id(?:: ?([^\r\n]*))?(?=[\r\n])")
_DATA = re.compile(rb"(?:^|[\r\n])data(?=[:\r\n])")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_FIELD_VALUE = re.compile(
    r"[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?"
)


@attrs.frozen
class Events:
    """Complete events of a stream.

    Parameters
    ----------
    data : bytes
        The events, byte for byte.
    last_id : str or None
        Id that the last event with an id field sets: empty if the field is empty or
        can't be sent in a header field, None if no event has one.
    n_events : int
    has_data : bool
        Whether any has a data field; others are no events to the caller.
    """

    data: bytes
    last_id: str | None = None
    n_events: int = 0
    has_data: bool = False


class EventSplitter:
    """Splits off complete events and holds back an incomplete one.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    Events(data=b'id: 1\\ndata: a\\n\\n', last_id='1', n_events=1, has_data=True)
    >>> splitter.incomplete
    b'id: 2\\nda'
    >>> splitter.is_inside_event
    True
    """

    def __init__(self) -> None:
        self._held = bytearray()
        self._is_at_start = True
        self._is_line_end_split = False

    @property
    def incomplete(self) -> bytes:
        """Bytes held back."""
        return bytes(self._held)

    @property
    def n_held_bytes(self) -> int:
        """Number of bytes held back."""
        return len(self._held)

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
        if self._is_line_end_split and data:
            self._is_line_end_split = False
            if data[:1] == b"\n":
                following = self.feed(data[1:])
                return attrs.evolve(following, data=b"\n" + following.data)
        # The bytes held before have no event's end, but may have the start of one.
        search_from = max(0, len(self._held) - _MAX_END_BYTES + 1)
        self._held += data
        received = self._held
        ends = [match.end() for match in _END.finditer(received, search_from)]
        complete = bytes(received[: ends[-1]]) if ends else b""
        del received[: len(complete)]
        if len(received) > answer_bounds.MAX_EVENT_BYTES:
            raise errors.AnswerBoundError(f"{len(received)} bytes without an event")
        self._is_line_end_split = not received and complete.endswith(b"\r")
        fields = complete
        if self._is_at_start and complete:
            self._is_at_start = False
            fields = complete.removeprefix(_BYTE_ORDER_MARK)
        has_data = _DATA.search(fields) is not None
        return Events(complete, _last_id(fields), len(ends), has_data)


def _last_id(fields: bytes) -> str | None:
    ids = [event_id for event_id in _ID.findall(fields) if b"\0" not in event_id]
    if not ids:
        return None
    last_id = ids[-1].decode("latin-1")
    return last_id if _FIELD_VALUE.fullmatch(last_id) else ""
