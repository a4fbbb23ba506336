"""Bounded prefix cache of a fake engine."""

import collections
import hashlib

BLOCK_BYTES = 256


def chained_digests(prompt: str) -> list[bytes]:
    """Digests of the prompt's prefixes at block boundaries, the shortest first.

    Examples
    --------
    >>> a, b = chained_digests("x" * 600), chained_digests("x" * 512 + "y" * 256)
    >>> len(a), a == b[:2], len(b)
    (2, True, 3)
    """
    data = prompt.encode()
    digests = []
    digest = b""
    for end in range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES):
        digest = hashlib.sha256(digest + data[end - BLOCK_BYTES : end]).digest()[:8]
        digests.append(digest)
    return digests


class PrefixCache:
    """Blocks of prompts; the least recently used are evicted first.

    Parameters
    ----------
    n_blocks : int
    """

    def __init__(self, n_blocks: int):
        self._n_blocks = n_blocks
        self._blocks: collections.OrderedDict[bytes, None] = collections.OrderedDict()

    def n_cached_bytes(self, digests: list[bytes]) -> int:
        """Length of the longest cached prefix, which is marked as used."""
        n_cached_blocks = 0
        for digest in digests:
            if digest not in self._blocks:
                break
            self._blocks.move_to_end(digest)
            n_cached_blocks += 1
        return n_cached_blocks * BLOCK_BYTES

    def add(self, digests: list[bytes]) -> None:
        """Add a prompt's blocks."""
        for digest in digests:
            self._blocks[digest] = None
            self._blocks.move_to_end(digest)
        while len(self._blocks) > self._n_blocks:
            self._blocks.popitem(last=False)

    def clear(self) -> None:
        """Remove all blocks, as a restart does."""
        self._blocks.clear()
