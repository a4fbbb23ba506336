"""Listening addresses and the connections that they accept."""

import socket
from collections.abc import Callable

from bilberryridge.transport import (
    connection,
    connection_owner,
    limits,
    listener,
    request_reader,
    settings,
)
from bilberryridge.transport.ingress import event_loop

ACCEPT_PAUSE_S = 0.2
"""Pause when no file descriptor is free; open requests may end meanwhile."""


class Port:
    """A listening address and its connections.

    At the limit on connections, one that has no complete request is closed for a new
    one: the oldest without a complete head, else without a complete body, also if that
    is discarded, else the oldest idle one.

    Parameters
    ----------
    loop : EventLoop
    address : (str, int)
    owner : connection_owner.Owner
    read_head : Callable
    cfg : Callable
        Returns the settings of a new connection.
    max_connections : int
    is_relay : bool
        Whether it accepts connections of other daemons.
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        address: settings.Address,
        owner: connection_owner.Owner,
        read_head: request_reader.ReadHead,
        cfg: Callable[[], settings.EdgeSettings],
        max_connections: int,
        is_relay: bool = False,
    ):
        self._loop = loop
        self._owner = owner
        self._read_head = read_head
        self._cfg = cfg
        self._max_connections = max_connections
        self._body_limit = limits.ByteLimit(cfg().max_bodies_bytes)
        self._conns: dict[connection.Connection, None] = {}
        self._is_draining = False
        self._listener: listener.Listener | None = listener.Listener(
            listener.listen(address), is_relay, self
        )
        self._listen()

    @property
    def n_connections(self) -> int:
        """Number of open connections."""
        return len(self._conns)

    @property
    def has_output(self) -> bool:
        """Whether output for any caller is buffered."""
        return any(conn.has_output for conn in self._conns)

    def on_accepted(self, sock: socket.socket, address: str, is_relay: bool) -> None:
        """See `listener.Owner`."""
        if len(self._conns) >= self._max_connections:
            self._close_longest_waiting()
        conn = connection.Connection(
            sock,
            address,
            is_relay,
            self._cfg(),
            self._loop.selector,
            self._loop.timer_queue,
            self._body_limit,
            self,
            self._read_head,
            self._cfg,
        )
        self._conns[conn] = None
        if self._is_draining:
            conn.close_after_answer()

    def pause_accepting(self, source: listener.Listener) -> None:
        """See `listener.Owner`."""
        self._loop.selector.unregister(source.sock)
        self._loop.after(ACCEPT_PAUSE_S, self._listen)

    def drain_connections(self) -> None:
        """Close every connection after its next answer, including new ones."""
        self._is_draining = True
        for conn in self._conns:
            conn.close_after_answer()

    def stop_listening(self) -> None:
        """Stop accepting connections, so that callers try another VM at once."""
        if self._listener is not None:
            self._listener.close(self._loop.selector)
            self._listener = None

    def close(self) -> None:
        """Stop listening and close all connections, also those with open requests."""
        self.stop_listening()
        for conn in list(self._conns):
            conn.close()

    # Callbacks of connections; see `connection_owner.Owner`.

    def on_head(self, conn: connection.Connection, head: object) -> None:
        """Check a head before its body is read."""
        self._owner.on_head(conn, head)

    def on_request(
        self, conn: connection.Connection, received: request_reader.ReceivedRequest
    ) -> None:
        """Handle a complete request."""
        self._owner.on_request(conn, received)

    def on_bad_input(self, conn: connection.Connection, refusal: object) -> None:
        """Refuse invalid input."""
        self._owner.on_bad_input(conn, refusal)  # type: ignore[arg-type]

    def on_caller_gone(self, conn: connection.Connection) -> None:
        """Give up the open request of a disconnected caller."""
        self._owner.on_caller_gone(conn)

    def on_drained(self, conn: connection.Connection) -> None:
        """Resume the source of the answer."""
        self._owner.on_drained(conn)

    def on_closed(self, conn: connection.Connection) -> None:
        """Remove a closed connection."""
        self._conns.pop(conn, None)
        self._owner.on_closed(conn)

    def _listen(self) -> None:
        if self._listener is not None:
            key = self._listener
            self._loop.selector.register(key.sock, 1, key)

    def _close_longest_waiting(self) -> None:
        closable = (
            connection.Phase.HEAD,
            connection.Phase.BODY,
            connection.Phase.DISCARDING,
            connection.Phase.IDLE,
        )
        for phase in closable:
            for conn in self._conns:
                if conn.phase is phase:
                    conn.close()
                    return
