"""Checks whether an answer is complete and has content.

See Also
--------
bilberryridge.transport.attempt : feeds answers as they are received.
"""

from bilberryridge.utilities import untrusted

END_MARKER = b"data: [DONE]"
MAX_EVENT_BYTES = 1 << 20
_LONGEST_END = b"\r\n\r\n"
_DATA = b"data:"
_ERROR = b"event: error"


class EventStream:
    """Splits a stream into complete events; detects its first content and its end.

    Parameters
    ----------
    has_content : bool
        Whether content, rather than any event, is needed to commit to the stream.

    Attributes
    ----------
    is_ended : bool
        Whether the end marker was received.
    is_begun : bool
        Whether the first content was received.
    is_refused : bool
        Whether the last event so far is an error event.
    n_events : int
        Number of events with data, without the end marker.

    Examples
    --------
    >>> stream = EventStream(has_content=False)
    >>> stream.feed(b"data: 1\\n\\ndata: [DO")
    b'data: 1\\n\\n'
    >>> stream.feed(b"NE]\\n\\n"), stream.is_ended, stream.n_events
    (b'data: [DONE]\\n\\n', True, 1)
    """

    __slots__ = (
        "_has_content",
        "_held",
        "is_begun",
        "is_ended",
        "is_refused",
        "n_events",
    )

    def __init__(self, has_content: bool):
        self._has_content = has_content
        self._held = bytearray()
        self.is_begun = False
        self.is_ended = False
        self.is_refused = False
        self.n_events = 0

    def feed(self, chunk: bytes) -> bytes:
        """Append a part of the stream; return the events that are now complete."""
        chunk = self._take_complete(chunk)
        if not chunk:
            return chunk
        self.n_events += chunk.count(_DATA)
        if b"[DONE]" in chunk:
            self._look_for_end(chunk)
        self.is_refused = _ERROR in chunk and _is_error(chunk)
        if not self.is_begun:
            self.is_begun = self._is_content(chunk)
        return chunk

    def _take_complete(self, chunk: bytes) -> bytes:
        """Hold back an incomplete last event of at most `MAX_EVENT_BYTES`."""
        # The bytes held before have no event's end, but may have the start of one.
        search_from = max(0, len(self._held) - len(_LONGEST_END) + 1)
        self._held += chunk
        ends = (b"\n\n", _LONGEST_END)
        starts = ((self._held.rfind(end, search_from), len(end)) for end in ends)
        complete = max((at + length for at, length in starts if at >= 0), default=0)
        if not complete and len(self._held) > MAX_EVENT_BYTES:
            complete = len(self._held)
        taken = bytes(self._held[:complete])
        del self._held[:complete]
        return taken

    def _look_for_end(self, events: bytes) -> None:
        # JSON escapes line breaks: a marker within a text is never a separate line.
        for line in events.splitlines():
            if line.rstrip() == END_MARKER:
                self.is_ended = True
                self.n_events -= 1

    def _is_content(self, events: bytes) -> bool:
        lines = [line for line in events.splitlines() if line.startswith(_DATA)]
        texts = [line[len(_DATA) :].strip() for line in lines]
        if not self._has_content:
            return bool(texts)
        return any(has_delta_content(text) for text in texts)


def _is_error(events: bytes) -> bool:
    """Whether the last event is an error."""
    last = events.rstrip(b"\r\n").replace(b"\r\n", b"\n").rpartition(b"\n\n")[2]
    return last.startswith(_ERROR)


def _choices_of(text: bytes | bytearray) -> list[dict]:
    try:
        answer = untrusted.load_json(text)
    except ValueError:
        return []
    choices = answer.get("choices") if isinstance(answer, dict) else None
    if not isinstance(choices, list):
        return []
    return [choice for choice in choices if isinstance(choice, dict)]


def has_delta_content(text: bytes) -> bool:
    """Whether the data of a stream event has any content.

    Examples
    --------
    >>> has_delta_content(b'{"choices":[{"delta":{"role":"assistant","content":""}}]}')
    False
    >>> has_delta_content(b'{"choices":[{"delta":{"content":"a"}}]}')
    True
    """
    for choice in _choices_of(text):
        delta = choice.get("delta")
        if isinstance(delta, dict) and any(
            value for key, value in delta.items() if key != "role"
        ):
            return True
        if choice.get("text"):
            return True
    return False


def is_blank(body: bytes | bytearray, is_model: bool) -> bool:
    """Whether an answer that is not a stream has no content.

    Examples
    --------
    >>> is_blank(b" ", False), is_blank(b'{"choices":[]}', True), is_blank(b"0", False)
    (True, True, False)
    """
    if not is_model:
        return not body.strip()
    for choice in _choices_of(body):
        message = choice.get("message")
        if isinstance(message, dict) and any(
            value for key, value in message.items() if key != "role"
        ):
            return False
        if choice.get("text"):
            return False
    return True


def n_tokens(body: bytes | bytearray) -> int:
    """Token count stated in a model's answer; 0 if there is none."""
    try:
        n = untrusted.load_json(body)["usage"]["completion_tokens"]
    except (ValueError, KeyError, TypeError):
        return 0
    return n if isinstance(n, int) else 0
