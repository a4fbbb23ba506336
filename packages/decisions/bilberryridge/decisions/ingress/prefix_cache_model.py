"""Model of an engine's prefix cache, based on the prompts sent to the engine."""

import collections
import math
from collections.abc import Iterable

from bilberryridge.core import ingress


class PrefixCacheModel:
    """The prompt parts that one engine is assumed to have cached, with LRU eviction.

    Parameters
    ----------
    max_tokens : int
        Capacity of the cache.

    Examples
    --------
    >>> cache = PrefixCacheModel(100)
    >>> a, b = ingress.PromptPart("a", 60), ingress.PromptPart("b", 30)
    >>> cache.add([a, b], now_s=1.0)
    >>> [cache.n_cached_tokens(parts) for parts in ([a, b], [b], [b, a])]
    [90, 30, 90]
    >>> cache.n_cached_tokens([a, b], recorded_by_s=0.9)
    0
    >>> cache.add([ingress.PromptPart("c", 50)], now_s=2.0)
    >>> cache.n_cached_tokens([a, b])
    0
    """

    def __init__(self, max_tokens: int):
        self.max_tokens = max_tokens
        self._entries: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._n_tokens = 0

    def n_cached_tokens(
        self, parts: Iterable[ingress.PromptPart], recorded_by_s: float = math.inf
    ) -> int:
        """Return the number of tokens of the leading parts that are cached.

        Parameters
        ----------
        parts : iterable of PromptPart
        recorded_by_s : float
            Parts first sent after this time are not counted, as their prefill may not
            be complete.
        """
        n_tokens = 0
        for part in parts:
            entry = self._entries.get(part.id)
            if entry is None or entry[1] > recorded_by_s:
                break
            n_tokens += part.n_tokens
        return n_tokens

    def add(self, parts: Iterable[ingress.PromptPart], now_s: float) -> None:
        """Add the parts of a prompt that was sent to the engine."""
        for part in parts:
            n_before, since_s = self._entries.pop(part.id, (0, now_s))
            self._n_tokens += part.n_tokens - n_before
            self._entries[part.id] = (part.n_tokens, since_s)
        while self._n_tokens > self.max_tokens and self._entries:
            self._n_tokens -= self._entries.popitem(last=False)[1][0]

    def clear(self) -> None:
        """Remove all parts, after a restart of the engine."""
        self._entries.clear()
        self._n_tokens = 0
