"""The peers task: control connections to other daemons on one selector.

See Also
--------
bilberryridge.peers.sessions : what the connections carry.
bilberryridge.peers.table : which connections lead to which daemon.
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
"""How long the task goes on after `close` to send what waits."""
MAX_UNPROVEN = 64
"""Accepted connections that have not proven themselves yet."""

PeersSettings = settings.PeersSettings
DISCARDED = metrics.NullMetrics()


@attrs.frozen
class Close:
    """End the task."""


Message = effects.ConnectPeers | effects.SendPeerMessage | Close


class Peers:
    """The peers task; made by `open_peers`.

    `put` and `close` are for any thread, `run` is for the one that owns the sockets.
    """

    def __init__(
        self,
        cfg: settings.PeersSettings,
        post: Callable[[events.Event], None],
        counts: metrics.Metrics,
        random_state: random.Random,
        box: mailbox.Mailbox[Message],
        selector: selectors.BaseSelector,
        door: listener.Listener,
    ):
        self._cfg = cfg
        self._counts = counts
        self._box = box
        self._selector = selector
        self._listener = door
        self._table = table.Table(cfg, post, counts)
        self._sessions = sessions.Sessions(cfg, post, counts, self._table)
        self._dialling = dialling.Dialling(cfg, random_state)
        self._conns: set[connection.Connection] = set()
        self._next_timers_s = 0.0
        self._close_by_s: float | None = None
        self._handlers: dict[type, Callable] = {
            effects.ConnectPeers: self._connect_peers,
            effects.SendPeerMessage: self._send_peer,
            Close: self._begin_close,
        }
        box.register(selector)

    def put(self, effect: effects.ConnectPeers | effects.SendPeerMessage) -> None:
        """Hand the task an effect."""
        self._box.put(effect)

    def close(self) -> None:
        """Let `run` send what waits, close the connections and return."""
        self._box.put(Close())

    def run(self) -> None:
        """Serve the connections until `close`."""
        while not self._is_done():
            for key, mask in self._selector.select(TIMER_INTERVAL_S):
                self._on_ready(key, mask)
            for message in self._box.take_all():
                self._handlers[type(message)](message)
            # After the reads: data may have waited while the process was paused.
            self._run_timers(time.monotonic())
            if self._close_by_s is not None:
                self._close_drained(time.monotonic())

    def release(self) -> None:
        """Close every socket."""
        for conn in self._conns:
            conn.close()

    def _is_done(self) -> bool:
        if self._close_by_s is None:
            return False
        return not self._conns or time.monotonic() >= self._close_by_s

    def _on_ready(self, key: selectors.SelectorKey, mask: int) -> None:
        if isinstance(key.data, connection.Connection):
            self._serve(key.data, mask)
        elif key.data is self._listener:
            self._accept()

    def _serve(self, conn: connection.Connection, mask: int) -> None:
        now_s = time.monotonic()
        try:
            if conn.stage is connection.Stage.CONNECTING:
                self._finish_connect(conn, now_s)
            elif mask & selectors.EVENT_READ:
                received = conn.receive(now_s)
                for other in self._sessions.on_events(conn, received, now_s):
                    self._update(other, now_s)
        except connection.ConnectionLostError:
            self._lose(conn, now_s)
        self._update(conn, now_s)

    def _finish_connect(self, conn: connection.Connection, now_s: float) -> None:
        error = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise connection.ConnectionLostError("not connected")
        self._sessions.begin(conn, now_s)

    def _update(self, conn: connection.Connection, now_s: float) -> None:
        """Send what can be sent, and bring selector and table up to date."""
        if conn.stage is connection.Stage.CLOSED:
            return
        try:
            conn.flush(now_s)
            while conn.has_room and self._table.pump(conn):
                conn.flush(now_s)
        except connection.ConnectionLostError:
            self._lose(conn, now_s)
            return
        if conn.stage in (connection.Stage.CLOSING, connection.Stage.RETIRING):
            self._leave(conn, now_s)
        if self._selector.get_key(conn.sock).events != conn.mask:
            self._selector.modify(conn.sock, conn.mask, conn)

    def _lose(
        self, conn: connection.Connection, now_s: float, is_reset: bool = False
    ) -> None:
        """Close a connection that is broken or has nothing more to say."""
        self._counts.count("peer_connections_ended", (conn.stage.value,))
        self._conns.discard(conn)
        self._selector.unregister(conn.sock)
        if is_reset:
            conn.abort()
        else:
            conn.close()
        self._leave(conn, now_s)
        if conn.is_dialled and conn.identity is None:
            self._dialling.on_ended(conn.target_vm, 0.0, now_s)

    def _leave(self, conn: connection.Connection, now_s: float) -> None:
        """Take a connection out of the table; another one may take over."""
        lasted_s = self._table.remove(conn, now_s)
        if conn.identity is None:
            return
        if lasted_s is not None:
            self._dialling.on_ended(conn.identity.vm, lasted_s, now_s)
        other = self._table.conn_of(conn.identity.vm)
        if other is not None:
            self._update(other, now_s)

    def _accept(self) -> None:
        sock = self._listener.accept()
        if sock is None:
            return
        stages = [conn.stage for conn in self._conns if not conn.is_dialled]
        if stages.count(connection.Stage.PROVING) >= MAX_UNPROVEN:
            self._counts.count("peer_handshakes_refused", ("too_many",))
            sock.close()
            return
        proto = connection.server_protocol()
        self._add(connection.Connection(sock, proto, time.monotonic()))

    def _dial(self, vm: str, address: str, now_s: float) -> None:
        own_host, _port = addresses.split(self._cfg.peer_address)
        host, port = addresses.split(address)
        try:
            sock = connection.dial(own_host, host, port)
        except connection.ConnectionLostError:
            self._dialling.on_ended(vm, 0.0, now_s)
            return
        proto = sessions.client_protocol(host, port)
        self._add(connection.Connection(sock, proto, now_s, target_vm=vm))

    def _add(self, conn: connection.Connection) -> None:
        self._conns.add(conn)
        self._selector.register(conn.sock, conn.mask, conn)

    def _connect_peers(self, effect: effects.ConnectPeers) -> None:
        now_s = time.monotonic()
        self._dialling.replace(effect.vms, now_s)
        for conn in list(self._conns):
            if conn.is_dialled and conn.target_vm not in self._dialling:
                conn.fail(frames.CloseCode.NORMAL_CLOSURE, "not wanted", now_s)
                self._update(conn, now_s)
        self._dial_due(now_s)

    def _send_peer(self, effect: effects.SendPeerMessage) -> None:
        self._table.queue(effect.vm, effect.revision, effect.body)
        conn = self._table.conn_of(effect.vm)
        if conn is not None:
            self._update(conn, time.monotonic())

    def _begin_close(self, _message: Close) -> None:
        now_s = time.monotonic()
        self._close_by_s = now_s + DRAIN_TIMEOUT_S
        self._dialling.replace((), now_s)
        self._listener.pause()

    def _close_drained(self, now_s: float) -> None:
        """While the task ends: close the connections for which nothing waits."""
        for conn in list(self._conns):
            if conn.stage is connection.Stage.RETIRING:
                continue
            if not self._table.has_waiting(conn):
                conn.retire(frames.CloseCode.GOING_AWAY, "stopping", now_s)
                self._update(conn, now_s)

    def _dial_due(self, now_s: float) -> None:
        busy = {conn.target_vm for conn in self._conns}
        for vm, address in self._dialling.due(now_s, busy):
            if vm not in self._table:
                self._dial(vm, address, now_s)

    def _run_timers(self, now_s: float) -> None:
        if now_s < self._next_timers_s:
            return
        self._next_timers_s = now_s + TIMER_INTERVAL_S
        for conn in list(self._conns):
            self._check_time(conn, now_s)
        if self._close_by_s is None:
            self._listener.resume()
        self._dial_due(now_s)

    def _check_time(self, conn: connection.Connection, now_s: float) -> None:
        if conn.is_overdue(self._cfg, now_s):
            cause = f"{conn.stage.value} for too long"
            if conn.stage is connection.Stage.OPEN:
                cause = "silent"
            self._counts.count("peer_connections_failed", (cause,))
            self._lose(conn, now_s, is_reset=True)
        elif conn.is_quiet(self._cfg, now_s):
            conn.send_keepalive()
            self._update(conn, now_s)


@contextlib.contextmanager
def open_peers(
    cfg: settings.PeersSettings,
    post: Callable[[events.Event], None],
    counts: metrics.Metrics = DISCARDED,
    random_state: random.Random | None = None,
) -> Iterator[Peers]:
    """Listen at the peer address and make the task; close its sockets at the end.

    Parameters
    ----------
    cfg : PeersSettings
    post : callable
        Puts `PeerUp`, `PeerDown` and `PeerSaid` into the control task's mailbox.
    counts : Metrics, optional
    random_state : random.Random, optional
        Source of the jitter between tries to connect.
    """
    with contextlib.ExitStack() as stack:
        selector = stack.enter_context(selectors.DefaultSelector())
        door = stack.enter_context(
            listener.open_listener(cfg.peer_address, selector, counts)
        )
        box = stack.enter_context(mailbox.open_mailbox())
        peers = Peers(
            cfg,
            post,
            counts,
            random_state or random.Random(),
            box,
            selector,
            door,
        )
        stack.callback(peers.release)
        yield peers
