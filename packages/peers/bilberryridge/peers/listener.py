"""The socket on which a daemon accepts connections of other daemons."""

import contextlib
import selectors
import socket
from collections.abc import Iterator

from bilberryridge.utilities import addresses, metrics

BACKLOG = 128


class Listener:
    """A listening socket that can be paused; its selector key's data is this object.

    Parameters
    ----------
    sock : socket.socket
    selector : selectors.BaseSelector
    counts : Metrics
    """

    def __init__(
        self,
        sock: socket.socket,
        selector: selectors.BaseSelector,
        counts: metrics.Metrics,
    ):
        self._sock = sock
        self._selector = selector
        self._counts = counts
        self._is_paused = True
        self.resume()

    def accept(self) -> socket.socket | None:
        """Accept a connection; return None if there is none."""
        try:
            return self._sock.accept()[0]
        except BlockingIOError:
            return None
        except OSError:
            # Without free file descriptors the socket stays readable, and the selector
            # would wake the task continuously.
            self._counts.count("peer_accepts_failed")
            self.pause()
            return None

    def pause(self) -> None:
        """Accept no connections until `resume`."""
        if not self._is_paused:
            self._selector.unregister(self._sock)
            self._is_paused = True

    def resume(self) -> None:
        """Accept connections."""
        if self._is_paused:
            self._selector.register(self._sock, selectors.EVENT_READ, self)
            self._is_paused = False


@contextlib.contextmanager
def open_listener(
    address: str, selector: selectors.BaseSelector, counts: metrics.Metrics
) -> Iterator[Listener]:
    """Listen at ``host:port``; the socket is closed at the end."""
    host, port = addresses.split(address)
    with socket.create_server((host, port), backlog=BACKLOG) as sock:
        sock.setblocking(False)
        yield Listener(sock, selector, counts)
