"""Whole events of a stream, as its pieces come in.

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
    """Whole events.

    Parameters
    ----------
    data : bytes
        As they came.
    last_id : str
        Id of the last event that has one; empty where none has.
    n_events : int
    """

    data: bytes
    last_id: str
    n_events: int


class EventSplitter:
    """Holds back the part of an event that has not come in whole.

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
        """Take a piece; return the events that it completes."""
        waiting = self.incomplete + data
        end = 0
        last_id = ""
        n_events = 0
        for match in _END.finditer(waiting):
            found = _ID.findall(waiting, end, match.end())
            if found:
                last_id = found[-1].decode("latin-1")
            end = match.end()
            n_events += 1
        self.incomplete = waiting[end:]
        return Events(waiting[:end], last_id, n_events)
