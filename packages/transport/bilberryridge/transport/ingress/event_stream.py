"""Splits a stream into complete events as its bytes are received.

References
----------
The `text/event-stream` format of the HTML living standard, section 9.2.
"""

import re

import attrs

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
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

    Attributes
    ----------
    incomplete : bytes
        Bytes held back.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    Events(data=b'id: 1\\ndata: a\\n\\n', last_id='1', n_events=1)
    >>> splitter.incomplete
    b'id: 2\\nda'
    """

    def __init__(self) -> None:
        self.incomplete = b""

    def feed(self, data: bytes) -> Events:
        """Append bytes; return the events that are now complete."""
        received = self.incomplete + data
        end = 0
        last_id = ""
        n_events = 0
        for match in _END.finditer(received):
            ids = _ID.findall(received, end, match.end())
            if ids:
                last_id = ids[-1].decode("latin-1")
            end = match.end()
            n_events += 1
        self.incomplete = received[end:]
        return Events(received[:end], last_id, n_events)
