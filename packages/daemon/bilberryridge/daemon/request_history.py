"""Bounded in-memory history of recent requests."""

import collections
import threading
from typing import Generic, TypeVar

import attrs

T = TypeVar("T")

MAX_REQUESTS = 10_000
MAX_BYTES = 8 * 1024 * 1024
MAX_ITEMS_PER_REQUEST = 64
ITEM_OVERHEAD_BYTES = 200


@attrs.define
class _Entry(Generic[T]):
    items: list[T] = attrs.field(factory=list)
    n_bytes: int = 0


class RequestHistory(Generic[T]):
    """Items by request id; the request that was added first is evicted first.

    Safe to use from any thread.

    Parameters
    ----------
    max_requests : int
    max_bytes : int
        Limit for all items, including a fixed overhead for each item.
    max_items : int
        Limit for the items of one request; further items are dropped.

    Examples
    --------
    >>> history = RequestHistory(max_requests=1)
    >>> history.add("a", "first", 5)
    >>> history.add("b", "second", 6)
    >>> history.items("a"), history.items("b")
    ((), ('second',))
    """

    def __init__(
        self,
        max_requests: int = MAX_REQUESTS,
        max_bytes: int = MAX_BYTES,
        max_items: int = MAX_ITEMS_PER_REQUEST,
    ):
        self._max_requests = max_requests
        self._max_bytes = max_bytes
        self._max_items = max_items
        self._lock = threading.Lock()
        self._entries: collections.OrderedDict[str, _Entry[T]]
        self._entries = collections.OrderedDict()
        self._n_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def n_bytes(self) -> int:
        """Size of all items, including the overhead for each item."""
        return self._n_bytes

    def add(self, request_id: str, item: T, n_bytes: int) -> None:
        """Store an item of `n_bytes`; evict the oldest requests over a limit."""
        n_bytes += ITEM_OVERHEAD_BYTES
        with self._lock:
            entry = self._entries.setdefault(request_id, _Entry())
            if len(entry.items) >= self._max_items:
                return
            entry.items.append(item)
            entry.n_bytes += n_bytes
            self._n_bytes += n_bytes
            while self._is_over():
                _, oldest = self._entries.popitem(last=False)
                self._n_bytes -= oldest.n_bytes

    def items(self, request_id: str) -> tuple[T, ...]:
        """Return the items of a request, oldest first."""
        with self._lock:
            entry = self._entries.get(request_id)
            return tuple(entry.items) if entry else ()

    def _is_over(self) -> bool:
        return (
            len(self._entries) > self._max_requests or self._n_bytes > self._max_bytes
        )
