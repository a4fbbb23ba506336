"""Listening sockets of the edge task."""

import contextlib
import selectors
import socket
from typing import Protocol

from bilberryridge.transport import settings

BACKLOG = 1024
MAX_ACCEPTS_AT_ONCE = 64


class Owner(Protocol):
    """What a listener tells the edge task."""

    def on_accepted(self, sock: socket.socket, address: str, is_relay: bool) -> None:
        """Take a new connection."""

    def pause_accepting(self, source: "Listener") -> None:
        """Leave new connections waiting for a moment."""


class Listener:
    """A listening socket.

    Parameters
    ----------
    sock : socket.socket
        Not blocking.
    is_relay : bool
        Whether other daemons ask here.
    owner : Owner
    """

    def __init__(self, sock: socket.socket, is_relay: bool, owner: Owner):
        self.sock = sock
        self._is_relay = is_relay
        self._owner = owner

    def on_ready(self, _key: selectors.SelectorKey, _mask: int) -> None:
        """Accept what is waiting."""
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
    """Make a listening socket that doesn't block."""
    sock = socket.create_server(address, backlog=BACKLOG)
    sock.setblocking(False)
    return sock
