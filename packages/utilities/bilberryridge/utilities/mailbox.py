"""Message queue that wakes a task waiting on a selector."""

import contextlib
import queue
import selectors
import socket
from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

WAKE_READ_BYTES = 4096


class Mailbox(Generic[T]):
    """Messages for one task; any thread may put, only the owner may take.

    Parameters
    ----------
    wake_read, wake_write : socket.socket
        Connected, non-blocking sockets that wake the owner's selector.

    Examples
    --------
    >>> with open_mailbox() as mailbox:
    ...     mailbox.put("a")
    ...     mailbox.put("b")
    ...     mailbox.take_all()
    ['a', 'b']
    """

    def __init__(self, wake_read: socket.socket, wake_write: socket.socket):
        self._messages: queue.SimpleQueue[T] = queue.SimpleQueue()
        self._wake_read = wake_read
        self._wake_write = wake_write

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when a message is waiting."""
        return self._wake_read.fileno()

    def put(self, message: T) -> None:
        """Add a message and wake the owner."""
        self._messages.put(message)
        # A full socket buffer already wakes the owner; a closed socket has no owner.
        with contextlib.suppress(OSError):
            self._wake_write.send(b"\0")

    def take_all(self) -> list[T]:
        """Remove and return all messages, oldest first, without waiting."""
        with contextlib.suppress(BlockingIOError):
            self._wake_read.recv(WAKE_READ_BYTES)
        taken = []
        with contextlib.suppress(queue.Empty):
            while True:
                taken.append(self._messages.get_nowait())
        return taken

    def wait(self, timeout_s: float) -> list[T]:
        """Remove and return all messages; wait at most `timeout_s` for the first."""
        taken = []
        with contextlib.suppress(queue.Empty):
            taken.append(self._messages.get(timeout=max(timeout_s, 0.0)))
        return taken + self.take_all()

    def register(self, selector: selectors.BaseSelector) -> None:
        """Register with a selector; the data of the key is the mailbox."""
        selector.register(self._wake_read, selectors.EVENT_READ, self)


@contextlib.contextmanager
def open_mailbox() -> Iterator[Mailbox]:
    """Create a mailbox; its sockets are closed at the end."""
    wake_read, wake_write = socket.socketpair()
    wake_read.setblocking(False)
    wake_write.setblocking(False)
    with wake_read, wake_write:
        yield Mailbox(wake_read, wake_write)
