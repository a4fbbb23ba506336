"""Listening sockets of the edge task."""

import contextlib
import selectors
import socket
from typing import Protocol

from bilberryridge.transport import settings

BACKLOG = 1024
MAX_ACCEPTS_AT_ONCE = 64


class Owner(Protocol):
    """Callbacks of a listener."""

    def on_accepted(self, sock: socket.socket, address: str, is_relay: bool) -> None:
        """Serve a new connection."""

    def pause_accepting(self, source: "Listener") -> None:
        """Stop accepting for a moment: no file descriptor is free."""


class Listener:
    """A listening socket.

    Parameters
    ----------
    sock : socket.socket
        Non-blocking.
    is_relay : bool
        Whether it accepts connections of other daemons.
    owner : Owner
    """

    def __init__(self, sock: socket.socket, is_relay: bool, owner: Owner):
        self.sock = sock
        self._is_relay = is_relay
        self._owner = owner

    def on_ready(self, _key: selectors.SelectorKey, _mask: int) -> None:
        """Accept pending connections, a limited number at a time."""
        for _ in range(MAX_ACCEPTS_AT_ONCE):
            try:
                sock, address = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                self._owner.pause_accepting(self)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._owner.on_accepted(sock, address[0], self._is_relay)

    def close(self, selector: selectors.BaseSelector) -> None:
        """Stop listening."""
        with contextlib.suppress(KeyError):
            selector.unregister(self.sock)
        self.sock.close()


def listen(address: settings.Address) -> socket.socket:
    """Open a non-blocking listening socket."""
    sock = socket.create_server(address, backlog=BACKLOG)
    sock.setblocking(False)
    return sock
