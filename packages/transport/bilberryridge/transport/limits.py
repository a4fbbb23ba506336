"""How many connections callers may hold, and how many bytes of their requests."""

import collections


class ConnectionLimits:
    """Connections in all and from each address.

    Parameters
    ----------
    max_connections, max_per_address : int

    Examples
    --------
    >>> limits = ConnectionLimits(3, 1)
    >>> limits.exceeded_limit("127.0.0.1"), limits.exceeded_limit("127.0.0.1")
    ('', 'address')
    >>> limits.release("127.0.0.1")
    >>> limits.exceeded_limit("127.0.0.1")
    ''
    """

    def __init__(self, max_connections: int, max_per_address: int):
        self._max_connections = max_connections
        self._max_per_address = max_per_address
        self._n_by_address: collections.Counter[str] = collections.Counter()
        self._n_connections = 0

    def exceeded_limit(self, address: str) -> str:
        """Take a place for a connection; name the limit that forbids it, if any."""
        if self._n_connections >= self._max_connections:
            return "all"
        if self._n_by_address[address] >= self._max_per_address:
            return "address"
        self._n_connections += 1
        self._n_by_address[address] += 1
        return ""

    def release(self, address: str) -> None:
        """Give a place back."""
        self._n_connections -= 1
        self._n_by_address[address] -= 1
        if self._n_by_address[address] <= 0:
            del self._n_by_address[address]


class ByteLimit:
    """Bytes that many holders may hold together.

    Parameters
    ----------
    max_bytes : int
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.n_bytes = 0


class Reservation:
    """One holder's part of a limit.

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
        """Take so many bytes more, if the limit allows it."""
        if self._limit.n_bytes + n_bytes > self._limit.max_bytes:
            return False
        self._limit.n_bytes += n_bytes
        self._n_bytes += n_bytes
        return True

    def release(self) -> None:
        """Give everything back; may be called again."""
        self._limit.n_bytes -= self._n_bytes
        self._n_bytes = 0
