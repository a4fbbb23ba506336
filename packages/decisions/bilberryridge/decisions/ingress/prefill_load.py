"""How much of its time an engine reads prompts, and what streams feel of it."""

import math

FLOW_S = 5.0
"""Time over which the flow of prompt tokens is averaged: a few prompts of a daemon."""
TOKENS_PER_S = 50_000.0
"""Prompt tokens that an engine reads in a second with one token of each stream beside
each chunk; the reports of today's deployments say 57,000 without."""
STEP_S = 0.008
"""Time between two tokens of a stream at half load where no prompt is read."""
CHUNK_STEP_S = 0.08
"""The same where each step reads a chunk of 4,096 tokens of prompts besides."""


class PrefillLoad:
    """Prompt tokens a second that a server is sent, averaged with a decay.

    Examples
    --------
    >>> flow = PrefillLoad()
    >>> for tick in range(400):
    ...     flow.note(5_000, tick / 10)
    >>> 0.9 < flow.part(39.9) <= 1.1
    True
    >>> flow.part(79.9) < 0.01
    True
    """

    def __init__(self) -> None:
        self._n_tokens = 0.0
        self._at_s = 0.0

    def note(self, n_tokens: int, now_s: float) -> None:
        """Count tokens that were sent to be read."""
        self._n_tokens = self._left(now_s) + n_tokens
        self._at_s = now_s

    def part(self, now_s: float) -> float:
        """Return the part of the server's time that reading them takes; may pass 1."""
        return self._left(now_s) / FLOW_S / TOKENS_PER_S

    def _left(self, now_s: float) -> float:
        return self._n_tokens * math.exp((self._at_s - now_s) / FLOW_S)


def inter_token_s(part: float) -> float:
    """Return the time between two tokens of a stream beside that part of reading.

    Examples
    --------
    >>> inter_token_s(0.0), inter_token_s(1.5)
    (0.008, 0.08)
    >>> round(inter_token_s(0.9), 3)
    0.042
    """
    part = min(1.0, part)
    return 1.0 / (part / CHUNK_STEP_S + (1.0 - part) / STEP_S)
