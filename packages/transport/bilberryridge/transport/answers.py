"""Heads of answers, parsed from the lines that libcurl passes."""

from bilberryridge.transport import headers

BODILESS_STATUSES = frozenset([204, 304])


class AnswerHead:
    """The head of an answer, parsed line by line.

    Examples
    --------
    >>> head = AnswerHead()
    >>> for line in (b"HTTP/1.1 200 OK\\r\\n", b"X-A: b\\r\\n", b"\\r\\n"):
    ...     head.feed(line)
    >>> head.is_complete, head.status, head.fields
    (True, 200, (('X-A', 'b'),))
    """

    __slots__ = ("_fields", "is_complete", "status")

    def __init__(self) -> None:
        self.status = 0
        self.is_complete = False
        self._fields: list[tuple[str, str]] = []

    @property
    def fields(self) -> headers.Fields:
        """Header fields received so far."""
        return tuple(self._fields)

    def feed(self, line: bytes) -> None:
        """Parse a line; trailer fields are ignored."""
        if self.is_complete:
            return
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.status = int(text.split()[1])
            self._fields.clear()
        elif text:
            name, _, value = text.partition(":")
            self._fields.append((name.strip(), value.strip()))
        else:
            # An informational head (1xx) is followed by another one.
            self.is_complete = self.status >= 200

    def find(self, name: str) -> str:
        """Value of a field; empty if there is none."""
        return headers.find(self.fields, name)


def is_end_marked(method: str, status: int, fields: headers.Fields) -> bool:
    """Return whether the end of the body is told from a lost connection.

    Parameters
    ----------
    method : str
        Of the request.
    status : int
    fields : tuple of (str, str)
        Of the answer.

    References
    ----------
    RFC 9112, HTTP/1.1, section 6.3.

    Examples
    --------
    >>> is_end_marked("GET", 200, (("Content-Length", "3"),))
    True
    >>> is_end_marked("GET", 200, (("Connection", "close"),))
    False
    """
    if method == "HEAD" or status in BODILESS_STATUSES:
        return True
    if headers.find(fields, "transfer-encoding").lower().endswith("chunked"):
        return True
    return bool(headers.find(fields, "content-length"))


def has_two_lengths(fields: headers.Fields) -> bool:
    """Return whether an answer names a length and is coded for transfer as well.

    The two may differ, and a recipient can't tell which of them is the fault.

    References
    ----------
    RFC 9112, HTTP/1.1, section 6.3.

    Examples
    --------
    >>> has_two_lengths((("Content-Length", "3"), ("Transfer-Encoding", "chunked")))
    True
    """
    is_coded = bool(headers.find(fields, "transfer-encoding"))
    return is_coded and bool(headers.find(fields, "content-length"))


def retry_after_s(text: str) -> float | None:
    """Parse a `Retry-After` in seconds; None for any other value.

    Examples
    --------
    >>> retry_after_s("3"), retry_after_s("soon")
    (3.0, None)
    """
    return float(text) if text.isascii() and text.isdigit() else None
