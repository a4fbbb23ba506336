"""Output buffer of a connection whose caller may read slowly."""

import selectors
import socket
from collections.abc import Callable


class OutputBuffer:
    """Writes to a caller's socket and buffers what can't be sent at once.

    Parameters
    ----------
    sock : socket.socket
        Non-blocking, and registered for reading.
    selector : selectors.BaseSelector
    key_data : object
        Data of the socket's selector key.
    on_broken : Callable
        Called once when the socket can no longer be written to; later writes are
        discarded.
    """

    def __init__(
        self,
        sock: socket.socket,
        selector: selectors.BaseSelector,
        key_data: object,
        on_broken: Callable[[], None],
    ):
        self._sock = sock
        self._selector = selector
        self._key_data = key_data
        self._on_broken = on_broken
        self._pending = bytearray()
        self._is_awaiting_writable = False
        self._is_broken = False

    def __len__(self) -> int:
        return len(self._pending)

    def write(self, data: bytes) -> bool:
        """Send data; return whether this made an empty buffer non-empty."""
        if self._pending:
            self._pending += data
            return False
        n_written = self._send_some(data)
        if n_written == len(data):
            return False
        self._pending += data[n_written:]
        self._await_writable(True)
        return True

    def flush(self) -> int:
        """Send buffered data; return the number of bytes sent."""
        n_written = self._send_some(self._pending)
        del self._pending[:n_written]
        if not self._pending:
            self._await_writable(False)
        return n_written

    def drop(self) -> None:
        """Discard the buffer and all later writes; the socket is being closed."""
        self._is_broken = True
        self._pending.clear()

    def _send_some(self, data: bytes | bytearray) -> int:
        if self._is_broken:
            return len(data)
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            self._is_broken = True
            self._on_broken()
            return len(data)

    def _await_writable(self, is_wanted: bool) -> None:
        if is_wanted == self._is_awaiting_writable:
            return
        self._is_awaiting_writable = is_wanted
        mask = selectors.EVENT_READ
        if is_wanted:
            mask |= selectors.EVENT_WRITE
        self._selector.modify(self._sock, mask, self._key_data)
