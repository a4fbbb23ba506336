"""Bounded queue of messages for one peer.

A new load report supersedes older ones, so the oldest load message is dropped first;
if there is none, the oldest message.
"""

import collections

import attrs

from bilberryridge.core import messages

LOAD_MESSAGES = (messages.Heartbeat, messages.LoadDelta, messages.DomainSummaries)


@attrs.frozen(eq=False)
class QueuedMessage:
    """An encoded message in the queue.

    Parameters
    ----------
    kind : str
    encoded : bytes
    is_load : bool
        Whether it reports load and is superseded by newer reports.
    """

    kind: str
    encoded: bytes
    is_load: bool


class Outbox:
    """A queue of messages.

    Parameters
    ----------
    max_messages, max_bytes : int
        Bounds; messages are dropped when either is exceeded.

    Examples
    --------
    >>> outbox = Outbox(2, 100)
    >>> outbox.put(QueuedMessage("load_delta", b"1", True))
    []
    >>> outbox.put(QueuedMessage("configuration_changes", b"2", False))
    []
    >>> dropped = outbox.put(QueuedMessage("heartbeat", b"3", True))
    >>> [message.kind for message in dropped]
    ['load_delta']
    """

    def __init__(self, max_messages: int, max_bytes: int):
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._waiting: collections.deque[QueuedMessage] = collections.deque()
        self._n_bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, message: QueuedMessage) -> list[QueuedMessage]:
        """Add a message; return the messages dropped to stay within the bounds."""
        self._waiting.append(message)
        self._n_bytes += len(message.encoded)
        dropped = []
        while self._is_over_limit():
            dropped.append(self._drop_oldest())
        return dropped

    def take(self) -> QueuedMessage:
        """Remove and return the oldest message; the queue must not be empty."""
        message = self._waiting.popleft()
        self._n_bytes -= len(message.encoded)
        return message

    def clear(self) -> list[QueuedMessage]:
        """Remove and return all messages."""
        dropped = list(self._waiting)
        self._waiting.clear()
        self._n_bytes = 0
        return dropped

    def _is_over_limit(self) -> bool:
        if len(self._waiting) > self._max_messages:
            return True
        return self._n_bytes > self._max_bytes

    def _drop_oldest(self) -> QueuedMessage:
        loads = (message for message in self._waiting if message.is_load)
        dropped = next(loads, self._waiting[0])
        self._waiting.remove(dropped)
        self._n_bytes -= len(dropped.encoded)
        return dropped
