"""Estimate of the prompt prefixes in each server's cache, from what it was sent.

Engines evict the least recently used prefixes. For each prefix of a server, the table
counts the blocks sent to the server since, and assumes that the prefix was evicted once
they fill the cache.
"""

import collections
from collections.abc import Sequence

MAX_SERVERS_PER_DIGEST = 4
MAX_SERVERS = 2000
MAX_LENGTHS_CHECKED = 8
CACHE_BLOCKS = 2048

Holders = tuple[tuple[str, int], ...]
"""Servers, each with its count of blocks when the prefix was last sent to it."""


class PrefixTable:
    """Prefix digests and the servers that they were last sent to.

    Parameters
    ----------
    max_entries : int
        Bound on the number of digests; the least recently used is dropped first.
    n_cache_blocks : int
        Assumed capacity of one server's cache, in blocks.

    Examples
    --------
    >>> table = PrefixTable(max_entries=100)
    >>> table.record_sent("s1", (11, 12, 13))
    >>> table.record_sent("s2", (11, 22))
    >>> table.cached_blocks((11, 12, 99))
    {'s1': 2, 's2': 1}
    """

    def __init__(self, max_entries: int, n_cache_blocks: int = CACHE_BLOCKS):
        self._max_entries = max_entries
        self._n_cache_blocks = n_cache_blocks
        self._holders: collections.OrderedDict[int, Holders] = collections.OrderedDict()
        self._n_blocks_sent: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._max_blocks_sent = 0

    def __len__(self) -> int:
        return len(self._holders)

    def record_sent(self, server: str, digests: Sequence[int]) -> None:
        """Record that a prompt was sent to a server.

        Parameters
        ----------
        server : str
        digests : sequence of int
            Digests of the prompt's prefixes, the shortest first.
        """
        n_new = len(digests) - self.cached_blocks(digests).get(server, 0)
        n_blocks_sent = self._n_blocks_sent.get(server)
        if n_blocks_sent is None:
            # Larger than any earlier count by more than a cache, so that entries from
            # before a restart of the server count as evicted.
            n_blocks_sent = self._max_blocks_sent + self._n_cache_blocks + 1
        self._n_blocks_sent[server] = n_blocks_sent + n_new
        self._n_blocks_sent.move_to_end(server)
        self._max_blocks_sent = max(self._max_blocks_sent, n_blocks_sent + n_new)
        self._update(server, n_blocks_sent + n_new, digests)
        while len(self._holders) > self._max_entries:
            self._holders.popitem(last=False)
        if len(self._n_blocks_sent) > MAX_SERVERS:
            self._n_blocks_sent.popitem(last=False)

    def n_cached_blocks(self, server: str, digests: Sequence[int]) -> int:
        """Number of leading blocks of the prompt that the server likely has cached."""
        return self.cached_blocks(digests).get(server, 0)

    def cached_blocks(
        self, digests: Sequence[int], n_daemons: int = 1
    ) -> dict[str, int]:
        """Servers that likely cache a prefix, with their number of leading blocks.

        Parameters
        ----------
        digests : sequence of int
        n_daemons : int
            Number of daemons that are assumed to send as much to these servers as
            this one, itself included.
        """
        n_known_blocks = self._n_known_blocks(digests)
        cached: dict[str, int] = {}
        stride = max(1, n_known_blocks // MAX_LENGTHS_CHECKED)
        for n_blocks in range(n_known_blocks, 0, -stride):
            for server, n_at_last in self._holders.get(digests[n_blocks - 1], ()):
                n_since = self._n_blocks_sent.get(server, 0) - n_at_last
                if 0 <= n_since * n_daemons <= self._n_cache_blocks:
                    cached.setdefault(server, n_blocks)
        return cached

    def forget(self, server: str) -> None:
        """Drop the cached prefixes of a server that restarted or was removed."""
        self._n_blocks_sent.pop(server, None)

    def _update(self, server: str, n_blocks_sent: int, digests: Sequence[int]) -> None:
        # Most digests of a prompt have the same holders; these share one tuple.
        changed: dict[Holders, Holders] = {}
        # The shortest prefix is moved to the end last, so that a long prefix is dropped
        # before the short one that it extends.
        for digest in reversed(digests):
            holders = self._holders.get(digest, ())
            after = changed.get(holders)
            if after is None:
                others = tuple(item for item in holders if item[0] != server)
                after = ((server, n_blocks_sent), *others)[:MAX_SERVERS_PER_DIGEST]
                changed[holders] = after
            self._holders[digest] = after
            self._holders.move_to_end(digest)

    def _n_known_blocks(self, digests: Sequence[int]) -> int:
        low, high = 0, len(digests)
        while low < high:
            middle = (low + high + 1) // 2
            if digests[middle - 1] in self._holders:
                low = middle
            else:
                high = middle - 1
        return low
