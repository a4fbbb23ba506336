"""Which server holds which prompt prefixes in its cache, by what it was sent."""

import collections
from collections.abc import Sequence

MAX_SERVERS_A_DIGEST = 4
MAX_STEPS = 16


class PrefixBook:
    """Prefix digests and the servers that were sent them last.

    Parameters
    ----------
    max_entries : int
        Bound on digests kept; the one used longest ago goes first.

    Examples
    --------
    >>> book = PrefixBook(max_entries=100)
    >>> book.learn("s1", (11, 12, 13))
    >>> book.learn("s2", (11, 22))
    >>> book.best((11, 12, 99))
    {'s1': 2, 's2': 1}
    """

    def __init__(self, max_entries: int):
        self._max_entries = max_entries
        self._servers: collections.OrderedDict[int, tuple[str, ...]]
        self._servers = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._servers)

    def learn(self, server: str, digests: Sequence[int]) -> None:
        """Note that the server has computed the prefixes, the shortest first."""
        # The shortest is the freshest, so that a long prefix is dropped before the
        # short one that it extends.
        for digest in reversed(digests):
            held = self._servers.get(digest, ())
            if not held or held[0] != server:
                others = tuple(name for name in held if name != server)
                held = (server, *others)[:MAX_SERVERS_A_DIGEST]
                self._servers[digest] = held
            self._servers.move_to_end(digest)
        while len(self._servers) > self._max_entries:
            self._servers.popitem(last=False)

    def n_cached_blocks(self, server: str, digests: Sequence[int]) -> int:
        """How many leading blocks of the prompt the server has computed."""
        return self.best(digests).get(server, 0)

    def best(self, digests: Sequence[int]) -> dict[str, int]:
        """The servers that hold a prefix, with the number of leading blocks."""
        n_known = self._n_known(digests)
        found: dict[str, int] = {}
        stride = max(1, n_known // MAX_STEPS)
        for n_blocks in range(n_known, 0, -stride):
            for server in self._servers.get(digests[n_blocks - 1], ()):
                found.setdefault(server, n_blocks)
        return found

    def forget(self, server: str) -> None:
        """Drop a server whose cache is gone."""
        for digest, held in list(self._servers.items()):
            if server not in held:
                continue
            others = tuple(name for name in held if name != server)
            if others:
                self._servers[digest] = others
            else:
                del self._servers[digest]

    def _n_known(self, digests: Sequence[int]) -> int:
        low, high = 0, len(digests)
        while low < high:
            middle = (low + high + 1) // 2
            if digests[middle - 1] in self._servers:
                low = middle
            else:
                high = middle - 1
        return low
