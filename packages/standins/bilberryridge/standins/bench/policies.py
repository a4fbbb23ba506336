"""Which server a request goes to under the baselines that the system is set against.

A baseline runs in the callers' load process. It dials the backend servers itself, knows
what its own region's callers have outstanding there, and refuses nothing.

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
    """Requests without a whole answer yet, by server."""

    def __init__(self) -> None:
        self._n: collections.Counter[str] = collections.Counter()

    def begin(self, server: str) -> None:
        """Note a request sent."""
        self._n[server] += 1

    def end(self, server: str) -> None:
        """Note its end."""
        self._n[server] -= 1

    def __getitem__(self, server: str) -> int:
        return self._n[server]


def make_pick(
    policy: str, outstanding: Outstanding, random_state: random.Random
) -> Pick:
    """Return what picks one of some servers.

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
