"""Bytes on their way to a caller that may read slowly."""

import selectors
import socket
from collections.abc import Callable


class OutputBuffer:
    """What a caller's socket doesn't take at once is buffered.

    Parameters
    ----------
    sock : socket.socket
        Not blocking, and registered for reading.
    selector : selectors.BaseSelector
    key_data : object
        Data of the socket's key.
    on_broken : Callable
        Called once when the socket takes nothing any more; what is written from then
        on is dropped.
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
        """Send data; return whether a part of it has to wait behind nothing else."""
        if self._pending:
            self._pending += data
            return False
        n_sent = self._send_some(data)
        if n_sent == len(data):
            return False
        self._pending += data[n_sent:]
        self._await_writable(True)
        return True

    def flush(self) -> int:
        """Send what waits; return how many bytes went."""
        n_sent = self._send_some(self._pending)
        del self._pending[:n_sent]
        if not self._pending:
            self._await_writable(False)
        return n_sent

    def drop(self) -> None:
        """Drop what waits and all that follows; the socket is closed."""
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
