"""How many connections callers may hold."""

import collections


class ConnectionLimits:
    """Connections in all and from each address.

    Parameters
    ----------
    max_connections, max_per_address : int

    Examples
    --------
    >>> limits = ConnectionLimits(3, 1)
    >>> limits.refusal("127.0.0.1"), limits.refusal("127.0.0.1")
    ('', 'address')
    >>> limits.release("127.0.0.1")
    >>> limits.refusal("127.0.0.1")
    ''
    """

    def __init__(self, max_connections: int, max_per_address: int):
        self._max_connections = max_connections
        self._max_per_address = max_per_address
        self._n_by_address: collections.Counter[str] = collections.Counter()
        self._n_connections = 0

    def refusal(self, address: str) -> str:
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
