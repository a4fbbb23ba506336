"""Split a byte stream into lines."""

MAX_LINE_BYTES = 16 * 1024 * 1024


class Lines:
    r"""Buffers data and returns complete lines.

    Parameters
    ----------
    max_bytes : int, optional
        Bound of the buffered data.

    Examples
    --------
    >>> lines = Lines()
    >>> lines.add(b"one\ntw")
    6
    >>> lines.take()
    [b'one']
    >>> lines.add(b"o\n")
    2
    >>> lines.take()
    [b'two']
    """

    def __init__(self, max_bytes: int = MAX_LINE_BYTES):
        self._max_bytes = max_bytes
        self._data = bytearray()

    def add(self, data: bytes) -> int:
        """Add data; return the number of bytes accepted, 0 if a line is too long."""
        if len(self._data) + len(data) > self._max_bytes:
            return 0
        self._data += data
        return len(data)

    def take(self) -> list[bytes]:
        """Remove and return the complete lines, without empty ones."""
        complete, newline, rest = self._data.rpartition(b"\n")
        if not newline:
            return []
        self._data = bytearray(rest)
        return [bytes(line) for line in complete.split(b"\n") if line.strip()]
