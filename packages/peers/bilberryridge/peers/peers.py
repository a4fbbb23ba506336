"""The peers task: control connections to other daemons on one selector.

See Also
--------
bilberryridge.peers.sessions : Authentication and messages of connections.
bilberryridge.peers.table : Connected daemons and their connections.
"""

import contextlib
import random
import selectors
import socket
import time
from collections.abc import Callable, Iterator

import attrs
from websockets import frames

from bilberryridge.decisions import effects, events
from bilberryridge.peers import (
    connection,
    dialling,
    listener,
    sessions,
    settings,
    table,
)
from bilberryridge.utilities import addresses, mailbox, metrics

TIMER_INTERVAL_S = 0.25
DRAIN_TIMEOUT_S = 2.0
"""How long the task continues after `close` to send queued messages."""
MAX_UNAUTHENTICATED = 64
"""Bound of the accepted connections that are not authenticated yet."""

PeersSettings = settings.PeersSettings
NULL_METRICS = metrics.NullMetrics()


@attrs.frozen
class Close:
    """Message: end the task."""


Message = effects.ConnectPeers | effects.SendPeerMessage | Close


class Peers:
    """The peers task; created by `open_peers`.

    `put` and `close` may be called from any thread, `run` from the thread that owns the
    sockets.
    """

    def __init__(
        self,
        cfg: settings.PeersSettings,
        post: Callable[[events.Event], None],
        counts: metrics.Metrics,
        random_state: random.Random,
        inbox: mailbox.Mailbox[Message],
        selector: selectors.BaseSelector,
        peer_listener: listener.Listener,
    ):
        self._cfg = cfg
        self._counts = counts
        self._inbox = inbox
        self._selector = selector
        self._listener = peer_listener
        self._table = table.PeerTable(cfg, post, counts)
        self._sessions = sessions.Sessions(cfg, post, counts, self._table)
        self._dial_schedule = dialling.DialSchedule(cfg, random_state)
        self._conns: set[connection.Connection] = set()
        self._next_timers_s = 0.0
        self._close_deadline_s: float | None = None
        self._handlers: dict[type, Callable] = {
            effects.ConnectPeers: self._connect_peers,
            effects.SendPeerMessage: self._send_peer,
            Close: self._begin_close,
        }
        inbox.register(selector)

    def put(self, effect: effects.ConnectPeers | effects.SendPeerMessage) -> None:
        """Queue an effect for the task."""
        self._inbox.put(effect)

    def close(self) -> None:
        """Make `run` send the queued messages, close the connections and return."""
        self._inbox.put(Close())

    def run(self) -> None:
        """Process connections and messages until `close`."""
        while not self._is_done():
            for key, mask in self._selector.select(TIMER_INTERVAL_S):
                self._on_ready(key, mask)
            for message in self._inbox.take_all():
                self._handlers[type(message)](message)
            # After the reads: received data may have waited in a pause of the process,
            # and its connection must not count as silent.
            self._run_timers(time.monotonic())
            if self._close_deadline_s is not None:
                self._close_idle_conns(time.monotonic())

    def release(self) -> None:
        """Close the sockets of all connections."""
        for conn in self._conns:
            conn.close()

    def _is_done(self) -> bool:
        if self._close_deadline_s is None:
            return False
        return not self._conns or time.monotonic() >= self._close_deadline_s

    def _on_ready(self, key: selectors.SelectorKey, mask: int) -> None:
        if isinstance(key.data, connection.Connection):
            self._on_conn_ready(key.data, mask)
        elif key.data is self._listener:
            self._accept()

    def _on_conn_ready(self, conn: connection.Connection, mask: int) -> None:
        now_s = time.monotonic()
        try:
            if conn.stage is connection.Stage.CONNECTING:
                self._finish_connect(conn, now_s)
            elif mask & selectors.EVENT_READ:
                received = conn.receive(now_s)
                for other in self._sessions.on_events(conn, received, now_s):
                    self._update(other, now_s)
        except connection.ConnectionLostError:
            self._discard(conn, now_s)
        self._update(conn, now_s)

    def _finish_connect(self, conn: connection.Connection, now_s: float) -> None:
        error = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise connection.ConnectionLostError(f"connect failed with {error}")
        self._sessions.start_handshake(conn, now_s)

    def _update(self, conn: connection.Connection, now_s: float) -> None:
        """Send as much as possible, then update the selector and the table."""
        if conn.stage is connection.Stage.CLOSED:
            return
        try:
            conn.flush(now_s)
            while conn.is_writable and self._table.send_waiting(conn):
                conn.flush(now_s)
        except connection.ConnectionLostError:
            self._discard(conn, now_s)
            return
        if conn.stage in (connection.Stage.CLOSING, connection.Stage.RETIRING):
            self._remove_from_table(conn, now_s)
        if self._selector.get_key(conn.sock).events != conn.mask:
            self._selector.modify(conn.sock, conn.mask, conn)

    def _discard(
        self, conn: connection.Connection, now_s: float, is_reset: bool = False
    ) -> None:
        """Close a broken or finished connection and remove it everywhere."""
        self._counts.count("peer_connections_ended", (conn.stage.value,))
        self._conns.discard(conn)
        self._selector.unregister(conn.sock)
        if is_reset:
            conn.abort()
        else:
            conn.close()
        self._remove_from_table(conn, now_s)
        if conn.is_dialled and conn.identity is None:
            self._dial_schedule.on_ended(conn.target_vm, 0.0, now_s)

    def _remove_from_table(self, conn: connection.Connection, now_s: float) -> None:
        """Remove a connection from the table; another one may take over."""
        lasted_s = self._table.remove(conn, now_s)
        if conn.identity is None:
            return
        if lasted_s is not None:
            self._dial_schedule.on_ended(conn.identity.vm, lasted_s, now_s)
        other = self._table.conn_to(conn.identity.vm)
        if other is not None:
            self._update(other, now_s)

    def _accept(self) -> None:
        sock = self._listener.accept()
        if sock is None:
            return
        stages = [conn.stage for conn in self._conns if not conn.is_dialled]
        if stages.count(connection.Stage.HANDSHAKE) >= MAX_UNAUTHENTICATED:
            self._counts.count("peer_handshakes_refused", ("too_many",))
            sock.close()
            return
        proto = connection.server_protocol()
        self._add(connection.Connection(sock, proto, time.monotonic()))

    def _dial(self, vm: str, address: str, now_s: float) -> None:
        local_host, _port = addresses.split(self._cfg.peer_address)
        host, port = addresses.split(address)
        try:
            sock = connection.dial(local_host, host, port)
        except connection.ConnectionLostError:
            self._dial_schedule.on_ended(vm, 0.0, now_s)
            return
        proto = sessions.client_protocol(host, port)
        self._add(connection.Connection(sock, proto, now_s, target_vm=vm))

    def _add(self, conn: connection.Connection) -> None:
        self._conns.add(conn)
        self._selector.register(conn.sock, conn.mask, conn)

    def _connect_peers(self, effect: effects.ConnectPeers) -> None:
        now_s = time.monotonic()
        self._dial_schedule.replace(effect.vms, now_s)
        for conn in list(self._conns):
            if conn.is_dialled and conn.target_vm not in self._dial_schedule:
                conn.fail(frames.CloseCode.NORMAL_CLOSURE, "not wanted", now_s)
                self._update(conn, now_s)
        self._dial_due(now_s)

    def _send_peer(self, effect: effects.SendPeerMessage) -> None:
        self._table.queue(effect.vm, effect.revision, effect.body)
        conn = self._table.conn_to(effect.vm)
        if conn is not None:
            self._update(conn, time.monotonic())

    def _begin_close(self, _message: Close) -> None:
        now_s = time.monotonic()
        self._close_deadline_s = now_s + DRAIN_TIMEOUT_S
        self._dial_schedule.replace((), now_s)
        self._listener.pause()

    def _close_idle_conns(self, now_s: float) -> None:
        """While the task ends, close the connections without queued messages."""
        for conn in list(self._conns):
            if conn.stage is connection.Stage.RETIRING:
                continue
            if not self._table.has_waiting(conn):
                conn.retire(frames.CloseCode.GOING_AWAY, "stopping", now_s)
                self._update(conn, now_s)

    def _dial_due(self, now_s: float) -> None:
        vms_in_progress = {conn.target_vm for conn in self._conns}
        for vm, address in self._dial_schedule.due_targets(now_s, vms_in_progress):
            if vm not in self._table:
                self._dial(vm, address, now_s)

    def _run_timers(self, now_s: float) -> None:
        if now_s < self._next_timers_s:
            return
        self._next_timers_s = now_s + TIMER_INTERVAL_S
        for conn in list(self._conns):
            self._check_timeouts(conn, now_s)
        if self._close_deadline_s is None:
            self._listener.resume()
        self._dial_due(now_s)

    def _check_timeouts(self, conn: connection.Connection, now_s: float) -> None:
        if conn.is_overdue(self._cfg, now_s):
            cause = f"{conn.stage.value} for too long"
            if conn.stage is connection.Stage.OPEN:
                cause = "silent"
            self._counts.count("peer_connections_failed", (cause,))
            self._discard(conn, now_s, is_reset=True)
        elif conn.is_keepalive_due(self._cfg, now_s):
            conn.send_keepalive()
            self._update(conn, now_s)


@contextlib.contextmanager
def open_peers(
    cfg: settings.PeersSettings,
    post: Callable[[events.Event], None],
    counts: metrics.Metrics = NULL_METRICS,
    random_state: random.Random | None = None,
) -> Iterator[Peers]:
    """Listen at the peer address and create the task; close its sockets at the end.

    Parameters
    ----------
    cfg : PeersSettings
    post : callable
        Puts `PeerUp`, `PeerDown` and `PeerSaid` into the control task's mailbox.
    counts : Metrics, optional
    random_state : random.Random, optional
        Source of the jitter between attempts to connect.
    """
    with contextlib.ExitStack() as stack:
        selector = stack.enter_context(selectors.DefaultSelector())
        peer_listener = stack.enter_context(
            listener.open_listener(cfg.peer_address, selector, counts)
        )
        inbox = stack.enter_context(mailbox.open_mailbox())
        peers = Peers(
            cfg,
            post,
            counts,
            random_state or random.Random(),
            inbox,
            selector,
            peer_listener,
        )
        stack.callback(peers.release)
        yield peers
