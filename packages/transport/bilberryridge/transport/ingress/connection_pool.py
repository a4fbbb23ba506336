"""Pool of client connections to backend servers, daemons and the store."""

import math
from collections.abc import Callable

from bilberryridge.transport import headers
from bilberryridge.transport.ingress import event_loop, upstream
from bilberryridge.utilities import addresses

MAX_FRESH_IDLE_S = 1.0
"""Longest idle time of a connection for a request that must not be repeated."""
MIN_RESTART_S = 1.0
"""Time that a server takes at least to end and start again."""
PROCESS_END_S = 0.05
"""Time within which the kernel closes all sockets of a process that ends; the port may
be the last."""
MAX_IDLE_PER_ADDRESS = 16
"""Except in extreme peaks, a daemon has fewer concurrent requests at one server."""


class Pool:
    """Idle connections by address, and all open ones.

    Parameters
    ----------
    loop : EventLoop
    on_reached : callable
        Called with an address as a connection is made to which, since the connection
        before, another start of a server may listen there. Nothing was sent yet.
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        on_reached: Callable[[addresses.Address], None] = lambda address: None,
    ):
        self._loop = loop
        self._on_reached = on_reached
        self._established: dict[addresses.Address, set[upstream.Connection]] = {}
        self._left_s: dict[addresses.Address, float] = {}
        self._idle: dict[addresses.Address, list[upstream.Connection]] = {}
        self._open: set[upstream.Connection] = set()
        self.n_opened = 0

    def send_request(
        self,
        address: addresses.Address,
        method: str,
        target: str,
        fields: headers.Fields,
        body: bytes,
        sink: upstream.Sink,
        needs_fresh_conn: bool = False,
        answer_id: str = "",
        needs_new_conn: bool = False,
    ) -> upstream.Connection:
        """Send a request on an idle or a new connection.

        A second attempt has the id of the first, so that it goes on another connection:
        an answer there is not one to the first.
        """
        conn = None
        if not needs_new_conn:
            conn = self._take_idle(address, needs_fresh_conn, answer_id)
        conn = conn or self._open_new(address)
        conn.send_request(method, target, fields, body, sink, answer_id)
        return conn

    def probe(
        self, address: addresses.Address, on_ended: Callable[[bool], None]
    ) -> None:
        """Open a connection; report whether that succeeded, and keep it."""
        self._open_new(address).probe(on_ended)

    def check_process(
        self, conn: upstream.Connection, on_checked: Callable[[bool], None]
    ) -> None:
        """Report whether the process that has ended a connection may still run.

        It doesn't if a new connection is refused, as its port is closed, and no other
        one lasts. A path on which new connections fail otherwise tells nothing.
        """

        def probe() -> None:
            probing = self._open_new(conn.address)
            probing.probe(lambda is_connected: on_probed(probing, is_connected))

        def on_probed(probing: upstream.Connection, is_connected: bool) -> None:
            others = self._established.get(conn.address, set()) - {conn}
            has_lasting = any(not other.has_ended() for other in others)
            on_checked(is_connected or not probing.is_refused or has_lasting)

        self._loop.after(PROCESS_END_S, probe)

    def on_idle(self, conn: upstream.Connection) -> None:
        """Keep a connection for the next request."""
        idle_conns = self._idle.setdefault(conn.address, [])
        if len(idle_conns) >= MAX_IDLE_PER_ADDRESS:
            conn.close()
            return
        conn.idle_since_s = self._loop.now_s()
        idle_conns.append(conn)

    def on_connected(self, conn: upstream.Connection) -> None:
        """Report an address to which no connection had lasted until now."""
        others = self._established.setdefault(conn.address, set())
        has_lasted = any(not other.is_stale() for other in others)
        others.add(conn)
        left_s = self._left_s.pop(conn.address, -math.inf)
        has_just_left = self._loop.now_s() - left_s < MIN_RESTART_S
        if not has_lasted and not has_just_left:
            self._on_reached(conn.address)

    def on_closed(self, conn: upstream.Connection) -> None:
        """Remove a connection that is being closed."""
        self._open.discard(conn)
        self._record_closed(conn)
        idle_conns = self._idle.get(conn.address)
        if idle_conns and conn in idle_conns:
            idle_conns.remove(conn)

    def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = self._loop.now_s()
        for address, left_s in list(self._left_s.items()):
            if now_s - left_s >= MIN_RESTART_S:
                del self._left_s[address]
        for idle_conns in list(self._idle.values()):
            for conn in list(idle_conns):
                if now_s - conn.idle_since_s > conn.max_idle_s:
                    conn.close()

    def close(self) -> None:
        """Close all connections."""
        for conn in list(self._open):
            conn.cancel()

    def _record_closed(self, conn: upstream.Connection) -> None:
        """Record when the last connection to an address was closed by this side."""
        others = self._established.get(conn.address)
        if others is None or conn not in others:
            return
        others.discard(conn)
        if others:
            return
        del self._established[conn.address]
        if conn.is_ended_in_order or not conn.is_stale():
            self._left_s[conn.address] = self._loop.now_s()

    def _take_idle(
        self, address: addresses.Address, needs_fresh_conn: bool, answer_id: str
    ) -> upstream.Connection | None:
        idle_conns = self._idle.get(address, [])
        now_s = self._loop.now_s()
        for conn in reversed(idle_conns[:]):
            if conn.has_carried(answer_id):
                continue
            idle_conns.remove(conn)
            idle_s = now_s - conn.idle_since_s
            idle_limit_s = (
                min(conn.max_idle_s, MAX_FRESH_IDLE_S)
                if needs_fresh_conn
                else conn.max_idle_s
            )
            if idle_s <= idle_limit_s and not conn.is_stale():
                return conn
            conn.close()
        return None

    def _open_new(self, address: addresses.Address) -> upstream.Connection:
        self.n_opened += 1
        conn = upstream.Connection(self._loop, address, self)
        self._open.add(conn)
        return conn
