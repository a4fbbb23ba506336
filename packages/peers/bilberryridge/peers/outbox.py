"""Messages that wait for one peer, with a bound.

A new load makes an older one worthless, so the oldest messages about load are dropped
first; when there are none, the oldest of all.
"""

import collections

import attrs

from bilberryridge.core import messages

LOAD_MESSAGES = (messages.Heartbeat, messages.LoadDelta, messages.DomainSummaries)


@attrs.frozen(eq=False)
class Waiting:
    """An encoded message.

    Parameters
    ----------
    kind : str
    encoded : bytes
    is_load : bool
        Whether a newer message of the kind replaces it.
    """

    kind: str
    encoded: bytes
    is_load: bool


class Outbox:
    """A queue of messages.

    Parameters
    ----------
    max_messages, max_bytes : int

    Examples
    --------
    >>> outbox = Outbox(2, 100)
    >>> outbox.put(Waiting("load_delta", b"1", True))
    []
    >>> outbox.put(Waiting("configuration_changes", b"2", False))
    []
    >>> [dropped.kind for dropped in outbox.put(Waiting("heartbeat", b"3", True))]
    ['load_delta']
    """

    def __init__(self, max_messages: int, max_bytes: int):
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._waiting: collections.deque[Waiting] = collections.deque()
        self._n_bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, message: Waiting) -> list[Waiting]:
        """Add a message; return those that were dropped for it."""
        self._waiting.append(message)
        self._n_bytes += len(message.encoded)
        dropped = []
        while self._is_over():
            dropped.append(self._drop_one())
        return dropped

    def take(self) -> Waiting:
        """Take the oldest message; there must be one."""
        message = self._waiting.popleft()
        self._n_bytes -= len(message.encoded)
        return message

    def clear(self) -> list[Waiting]:
        """Drop and return all messages."""
        dropped = list(self._waiting)
        self._waiting.clear()
        self._n_bytes = 0
        return dropped

    def _is_over(self) -> bool:
        if len(self._waiting) > self._max_messages:
            return True
        return self._n_bytes > self._max_bytes

    def _drop_one(self) -> Waiting:
        loads = (message for message in self._waiting if message.is_load)
        dropped = next(loads, self._waiting[0])
        self._waiting.remove(dropped)
        self._n_bytes -= len(dropped.encoded)
        return dropped
