"""Rendezvous hashing: every node ranks the same names for a key the same way.

References
----------
D. Thaler and C. Ravishankar, Using Name-Based Mappings to Increase Hit Rates,
IEEE/ACM Transactions on Networking 6(1), 1998.

C. Schindelhauer and G. Schomaker, Weighted Distributed Hash Tables, SPAA 2005.
"""

import hashlib
import math
import zlib
from collections.abc import Iterable, Mapping

MASK = 0xFFFFFFFFFFFFFFFF
MULTIPLIER_A = 0x9E3779B97F4A7C15
MULTIPLIER_B = 0xBF58476D1CE4E5B9


def score(key: str, name: str) -> int:
    """Return the score of a name for a key; the same in every process."""
    digest = hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Rank names for a key, the best first.

    Examples
    --------
    >>> ranked("order-desk", ["a", "b", "c"]) == ranked("order-desk", ["c", "b", "a"])
    True
    """
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)


def ranked_by_weight(key: str, weights: Mapping[str, float]) -> list[str]:
    """Rank names for a key so that each is first for a part of the keys by its weight.

    With equal weights it is the order of `ranked`. A name whose weight changes moves
    only keys to or from itself.

    Examples
    --------
    >>> ranked_by_weight("desk", {"a": 2.0, "b": 2.0}) == ranked("desk", ["a", "b"])
    True
    """

    def weighted(name: str) -> tuple[float, str]:
        fraction = (score(key, name) + 0.5) / (MASK + 1)
        return -weights[name] / math.log(fraction), name

    return sorted(weights, key=weighted, reverse=True)


def seed(name: str) -> int:
    """Return a hash of a name, for `fast_score`; the same in every process."""
    return zlib.crc32(name.encode()) << 16


def fast_score(key: int, name_seed: int) -> int:
    """Return a 64-bit score of a hashed name for a numeric key; faster than `score`."""
    spread = (key ^ name_seed) * MULTIPLIER_A & MASK
    return (spread ^ (spread >> 29)) * MULTIPLIER_B & MASK
