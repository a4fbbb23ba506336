"""Share of an engine's time spent on prefill, and its effect on streams."""

import math

AVERAGING_TIME_S = 5.0
"""Time constant of the average of sent prompt tokens: a few prompts of one daemon."""
TOKENS_PER_S = 50_000.0
"""Prefill rate of an engine that also generates one token of each stream with every
chunk; without streams, deployments report 57,000."""
DECODE_STEP_S = 0.008
"""Time between two tokens of a stream at half load without prefill."""
MIXED_STEP_S = 0.08
"""Time between two tokens if each step also prefills a chunk of 4,096 prompt tokens."""


class PrefillLoad:
    """Exponentially decaying average of the prompt tokens sent to a server.

    Examples
    --------
    >>> load = PrefillLoad()
    >>> for tick in range(400):
    ...     load.add(5_000, tick / 10)
    >>> 0.9 < load.fraction(39.9) <= 1.1
    True
    >>> load.fraction(79.9) < 0.01
    True
    """

    def __init__(self) -> None:
        self._n_tokens = 0.0
        self._updated_s = 0.0

    def add(self, n_tokens: int, now_s: float) -> None:
        """Record tokens that were sent for prefill."""
        self._n_tokens = self._decayed_tokens(now_s) + n_tokens
        self._updated_s = now_s

    def fraction(self, now_s: float) -> float:
        """Return the fraction of the server's time spent on prefill; may exceed 1."""
        return self._decayed_tokens(now_s) / AVERAGING_TIME_S / TOKENS_PER_S

    def _decayed_tokens(self, now_s: float) -> float:
        return self._n_tokens * math.exp((self._updated_s - now_s) / AVERAGING_TIME_S)


def inter_token_s(fraction: float) -> float:
    """Return the time between two tokens of a stream at that fraction of prefill.

    Examples
    --------
    >>> inter_token_s(0.0), inter_token_s(1.5)
    (0.008, 0.08)
    >>> round(inter_token_s(0.9), 3)
    0.042
    """
    fraction = min(1.0, fraction)
    return 1.0 / (fraction / MIXED_STEP_S + (1.0 - fraction) / DECODE_STEP_S)
