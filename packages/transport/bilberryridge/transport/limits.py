"""Limits on callers' connections and on the bytes of their request bodies."""

import collections


class ConnectionLimits:
    """Counts open connections against a total and a per-address limit.

    Parameters
    ----------
    max_connections, max_per_address : int
        Connections in total, and from one address.

    Examples
    --------
    >>> limits = ConnectionLimits(3, 1)
    >>> limits.acquire("127.0.0.1"), limits.acquire("127.0.0.1")
    ('', 'address')
    >>> limits.release("127.0.0.1")
    >>> limits.acquire("127.0.0.1")
    ''
    """

    def __init__(self, max_connections: int, max_per_address: int):
        self._max_connections = max_connections
        self._max_per_address = max_per_address
        self._n_by_address: collections.Counter[str] = collections.Counter()
        self._n_connections = 0

    def acquire(self, address: str) -> str:
        """Count a connection; return the limit that rejects it, empty if none does.

        A rejected connection isn't counted.
        """
        if self._n_connections >= self._max_connections:
            return "all"
        if self._n_by_address[address] >= self._max_per_address:
            return "address"
        self._n_connections += 1
        self._n_by_address[address] += 1
        return ""

    def release(self, address: str) -> None:
        """Stop counting a connection that was acquired."""
        self._n_connections -= 1
        self._n_by_address[address] -= 1
        if self._n_by_address[address] <= 0:
            del self._n_by_address[address]


class ByteLimit:
    """Limit on the bytes of all its reservations together.

    Parameters
    ----------
    max_bytes : int
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.n_bytes = 0


class Reservation:
    """Bytes that one request has reserved of a `ByteLimit`.

    Parameters
    ----------
    limit : ByteLimit

    Examples
    --------
    >>> limit = ByteLimit(10)
    >>> first, second = Reservation(limit), Reservation(limit)
    >>> first.reserve(6), second.reserve(6)
    (True, False)
    >>> first.release()
    >>> second.reserve(6), limit.n_bytes
    (True, 6)
    """

    def __init__(self, limit: ByteLimit):
        self._limit = limit
        self._n_bytes = 0

    def reserve(self, n_bytes: int) -> bool:
        """Reserve more bytes; return whether the limit allows it."""
        if self._limit.n_bytes + n_bytes > self._limit.max_bytes:
            return False
        self._limit.n_bytes += n_bytes
        self._n_bytes += n_bytes
        return True

    def resize(self, n_bytes: int) -> bool:
        """Reserve so many bytes in all; return whether the limit allows it."""
        if n_bytes > self._n_bytes:
            return self.reserve(n_bytes - self._n_bytes)
        self._limit.n_bytes -= self._n_bytes - n_bytes
        self._n_bytes = n_bytes
        return True

    def release(self) -> None:
        """Return all reserved bytes; may be called repeatedly."""
        self._limit.n_bytes -= self._n_bytes
        self._n_bytes = 0
