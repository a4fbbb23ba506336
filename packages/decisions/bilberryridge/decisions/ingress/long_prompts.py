"""Which servers of a service take the long prompts.

The case is an engine that runs streams with a limit on the pause between two events. A
long prompt stretches each decoding step until it is prefilled, so all streams that run
beside it are late. Long prompts are few but, spread over all engines, reach most
streams. They therefore go to as many servers as their part of the work takes, the same
at all daemons, and other requests to the other servers while these are fast enough.
"""

import math

AVERAGING_TIME_S = 20.0
"""Time constant of the part of the work: a daemon sees a few long prompts in it."""
INITIAL_FRACTION, INITIAL_TOKENS = 0.25, 200_000.0
"""Part of the prompt tokens taken for long prompts at first, and how many tokens that
counts for."""
ROOM_FACTOR = 1.2
"""Servers for long prompts relative to their part of the work: they come unevenly."""
MAX_FRACTION = 0.5
"""Largest part of the servers; beyond it there are too few left to keep apart."""


class LongPrompts:
    """The part of the prefill work of one service that long prompts cause.

    Examples
    --------
    >>> prompts = LongPrompts()
    >>> prompts.n_servers(20, now_s=0.0)
    6
    >>> for tick in range(100):
    ...     prompts.record(20_000, is_long=tick % 5 == 0, now_s=tick / 10)
    >>> prompts.n_servers(20, now_s=10.0), prompts.n_servers(1, now_s=10.0)
    (5, 0)
    """

    def __init__(self) -> None:
        self._n_long_tokens = INITIAL_FRACTION * INITIAL_TOKENS
        self._n_tokens = INITIAL_TOKENS
        self._updated_s: float | None = None

    def record(self, n_tokens: int, is_long: bool, now_s: float) -> None:
        """Record prompt tokens that were sent to a server for prefill."""
        if self._updated_s is not None:
            decay = math.exp((self._updated_s - now_s) / AVERAGING_TIME_S)
            self._n_tokens *= decay
            self._n_long_tokens *= decay
        self._updated_s = now_s
        self._n_tokens += n_tokens
        self._n_long_tokens += n_tokens if is_long else 0

    def n_servers(self, n_usable: int, now_s: float) -> int:
        """Return how many of the usable servers take the long prompts.

        None where there is only one server.
        """
        if n_usable < 2:
            return 0
        fraction = ROOM_FACTOR * self._n_long_tokens / max(1.0, self._n_tokens)
        return max(1, round(min(MAX_FRACTION, fraction) * n_usable))
