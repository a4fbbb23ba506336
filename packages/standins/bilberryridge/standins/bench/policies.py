"""Baseline policies for choosing a backend server, compared with the system.

A baseline runs in the load process. It connects to backend servers directly, counts the
outstanding requests of its own region's callers, and refuses nothing.

References
----------
M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
Transactions on Parallel and Distributed Systems 12 (10), 2001.
"""

import collections
import itertools
import random
from collections.abc import Callable, Sequence

OURS = "ours"
RANDOM = "random"
ROUND_ROBIN = "round robin"
FEWEST = "fewest outstanding"
TWO_CHOICES = "two choices"
BASELINES = (RANDOM, ROUND_ROBIN, FEWEST, TWO_CHOICES)

Pick = Callable[[Sequence[str]], str]


class Outstanding:
    """Number of requests without a complete answer, by server."""

    def __init__(self) -> None:
        self._n: collections.Counter[str] = collections.Counter()

    def begin(self, server: str) -> None:
        """Count a request as outstanding."""
        self._n[server] += 1

    def end(self, server: str) -> None:
        """Count a request as ended."""
        self._n[server] -= 1

    def __getitem__(self, server: str) -> int:
        return self._n[server]


def make_pick(
    policy: str, outstanding: Outstanding, random_state: random.Random
) -> Pick:
    """Return a function that picks one of several servers.

    Examples
    --------
    >>> outstanding = Outstanding()
    >>> outstanding.begin("a")
    >>> make_pick(FEWEST, outstanding, random.Random(1))(["a", "b"])
    'b'
    """
    turns = itertools.count(random_state.randrange(1000))

    def pick_in_turn(servers: Sequence[str]) -> str:
        return servers[next(turns) % len(servers)]

    def pick_fewest(servers: Sequence[str]) -> str:
        least = min(outstanding[name] for name in servers)
        return random_state.choice([n for n in servers if outstanding[n] == least])

    def pick_of_two(servers: Sequence[str]) -> str:
        return pick_fewest(random_state.sample(servers, min(2, len(servers))))

    picks: dict[str, Pick] = {
        RANDOM: random_state.choice,
        ROUND_ROBIN: pick_in_turn,
        FEWEST: pick_fewest,
        TWO_CHOICES: pick_of_two,
    }
    return picks[policy]
