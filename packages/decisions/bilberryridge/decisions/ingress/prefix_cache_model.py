"""Which prompt parts a model engine keeps, by what it was sent."""

import collections
import math
from collections.abc import Iterable

from bilberryridge.core import ingress


class PrefixCacheModel:
    """The parts that one engine is believed to keep, least recently used first.

    Parameters
    ----------
    max_tokens : int
        Tokens that are kept at the most.

    Examples
    --------
    >>> cache = PrefixCacheModel(100)
    >>> a, b = ingress.PromptPart("a", 60), ingress.PromptPart("b", 30)
    >>> cache.note([a, b], now_s=1.0)
    >>> [cache.n_cached_tokens(parts) for parts in ([a, b], [b], [b, a])]
    [90, 30, 90]
    >>> cache.n_cached_tokens([a, b], noted_by_s=0.9)
    0
    >>> cache.note([ingress.PromptPart("c", 50)], now_s=2.0)
    >>> cache.n_cached_tokens([a, b])
    0
    """

    def __init__(self, max_tokens: int):
        self.max_tokens = max_tokens
        self._rows: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._n_tokens = 0

    def n_cached_tokens(
        self, parts: Iterable[ingress.PromptPart], noted_by_s: float = math.inf
    ) -> int:
        """Return the tokens of the leading parts that need not be read again.

        Parameters
        ----------
        parts : iterable of PromptPart
        noted_by_s : float
            What was first sent there later doesn't count: it may not be read yet.
        """
        n_tokens = 0
        for part in parts:
            row = self._rows.get(part.id)
            if row is None or row[1] > noted_by_s:
                break
            n_tokens += part.n_tokens
        return n_tokens

    def note(self, parts: Iterable[ingress.PromptPart], now_s: float) -> None:
        """Take over the parts of a prompt that was sent there."""
        for part in parts:
            n_before, since_s = self._rows.pop(part.id, (0, now_s))
            self._n_tokens += part.n_tokens - n_before
            self._rows[part.id] = (part.n_tokens, since_s)
        while self._n_tokens > self.max_tokens and self._rows:
            self._n_tokens -= self._rows.popitem(last=False)[1][0]

    def clear(self) -> None:
        """Forget everything: the engine has started anew."""
        self._rows.clear()
        self._n_tokens = 0
