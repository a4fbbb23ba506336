"""Whether an answer is whole and not blank.

See Also
--------
bilberryridge.transport.attempt : feeds the parts of an answer as they come in.
"""

import json

END_MARKER = b"data: [DONE]"
MAX_EVENT_BYTES = 1 << 20
_DATA = b"data:"
_ERROR = b"event: error"


class EventStream:
    """Cuts a stream into whole events and looks for its first content and its end.

    Parameters
    ----------
    has_content : bool
        Whether it takes content, rather than any event, to commit to the stream.

    Attributes
    ----------
    is_ended : bool
        Whether the end marker came in.
    is_begun : bool
        Whether content came in.
    is_refused : bool
        Whether the last event so far says that the stream can't be finished.
    n_events : int
        Events with data, the end marker left out.

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
        self._held = b""
        self.is_begun = False
        self.is_ended = False
        self.is_refused = False
        self.n_events = 0

    def feed(self, chunk: bytes) -> bytes:
        """Take a part of the stream; return the whole events that are there now."""
        if self._held:
            chunk = self._held + chunk
            self._held = b""
        if not chunk.endswith(b"\n\n"):
            chunk = self._hold_tail(chunk)
        if not chunk:
            return chunk
        self.n_events += chunk.count(_DATA)
        if b"[DONE]" in chunk:
            self._look_for_end(chunk)
        self.is_refused = _ERROR in chunk and _is_error(chunk)
        if not self.is_begun:
            self.is_begun = self._is_content(chunk)
        return chunk

    def _hold_tail(self, chunk: bytes) -> bytes:
        """Hold back the event that isn't whole yet."""
        end = chunk.rfind(b"\n\n") + 2
        if b"\r\n\r\n" in chunk:
            end = max(end, chunk.rfind(b"\r\n\r\n") + 4)
        if end < 2 and len(chunk) <= MAX_EVENT_BYTES:
            end = 0
        elif end < 2:
            end = len(chunk)
        self._held = chunk[end:]
        return chunk[:end]

    def _look_for_end(self, events: bytes) -> None:
        # Within a JSON text line breaks are escaped, so only a line of its own counts.
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
        answer = json.loads(text)
    except ValueError:
        return []
    choices = answer.get("choices") if isinstance(answer, dict) else None
    if not isinstance(choices, list):
        return []
    return [choice for choice in choices if isinstance(choice, dict)]


def has_delta_content(text: bytes) -> bool:
    """Whether an event of a stream carries any content.

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
    """Whether a plain answer has no content.

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
    """Tokens that a plain answer of a model says it has; 0 when it doesn't."""
    try:
        n = json.loads(body)["usage"]["completion_tokens"]
    except (ValueError, KeyError, TypeError):
        return 0
    return n if isinstance(n, int) else 0
