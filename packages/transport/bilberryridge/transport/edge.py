"""The edge task: callers' sockets and the transfers to backend servers and daemons.

One thread and one selector own every socket, so a stream needs no thread of its own
and no hand-over between threads.

See Also
--------
bilberryridge.transport.exchanges : handles requests and the node's effects.
bilberryridge.transport.connection : connection of one caller.
"""

import contextlib
import selectors
import socket
import time
from collections.abc import Callable, Iterator

import attrs

from bilberryridge.core import outcomes
from bilberryridge.decisions import effects, events
from bilberryridge.transport import (
    connection,
    errors,
    exchanges,
    limits,
    listener,
    request_reader,
    routes,
    settings,
    timers,
)
from bilberryridge.utilities import mailbox, metrics, transfers

EdgeSettings = settings.EdgeSettings

MAX_WAIT_S = 1.0
ACCEPT_PAUSE_S = 0.2
MAX_REFUSED_CONNECTIONS = 64
REFUSED_HEAD_DEADLINE_S = 1.0
FULL_RETRY_S = 1.0


@attrs.frozen
class _StopAccepting:
    """Message: close the listeners and the idle connections."""


@attrs.frozen
class _Close:
    """Message: end the task."""


class Edge:
    """The edge task.

    `put`, `stop_accepting` and `close` may be called from any thread.
    """

    def __init__(
        self,
        cfg: settings.EdgeSettings,
        listeners: tuple[socket.socket, socket.socket],
        inbox: mailbox.Mailbox,
        selector: selectors.BaseSelector,
        pool: transfers.Transfers,
        post: Callable[[events.Event], None],
        counters: metrics.Metrics,
    ):
        self._cfg = cfg
        self._cfg_of_refused = attrs.evolve(
            cfg, head_deadline_s=min(cfg.head_deadline_s, REFUSED_HEAD_DEADLINE_S)
        )
        self._body_limit = limits.ByteLimit(cfg.max_bodies_bytes)
        self._inbox = inbox
        self._selector = selector
        self._pool = pool
        self._counters = counters
        self._timer_queue = timers.TimerQueue()
        self._exchanges = exchanges.Exchanges(
            cfg, post, counters, pool, self._timer_queue
        )
        self._limits = {
            is_relay: limits.ConnectionLimits(cfg.max_connections, n_per_address)
            for is_relay, n_per_address in (
                (False, cfg.max_connections_per_address),
                (True, cfg.max_connections),
            )
        }
        self._conns: set[connection.Connection] = set()
        self._over_limit: set[connection.Connection] = set()
        self._listeners = [
            listener.Listener(sock, is_relay, self)
            for sock, is_relay in zip(listeners, (False, True), strict=True)
        ]
        self._closing_at_s: float | None = None
        self.caller_address: settings.Address = listeners[0].getsockname()[:2]
        self.relay_address: settings.Address = listeners[1].getsockname()[:2]

    def put(self, effect: effects.Effect) -> None:
        """Queue an effect to be carried out by the edge's thread."""
        self._inbox.put(effect)

    def stop_accepting(self) -> None:
        """Close listeners and idle connections; open requests continue."""
        self._inbox.put(_StopAccepting())

    def close(self) -> None:
        """End `run` once all output is sent or the drain deadline passes.

        A second call ends it at once.
        """
        self._inbox.put(_Close())

    def run(self) -> None:
        """Serve until closed."""
        self._inbox.register(self._selector)
        for source in self._listeners:
            self._selector.register(source.sock, selectors.EVENT_READ, source)
        try:
            while not self._is_closed():
                self._run_once()
        finally:
            for conn in list(self._conns):
                conn.close()
            self._close_listeners()

    def on_accepted(self, sock: socket.socket, address: str, is_relay: bool) -> None:
        """Serve a new connection, or refuse its request if a limit is exceeded.

        Above `MAX_REFUSED_CONNECTIONS` of the latter it is closed without an answer.
        """
        refusal = self._limits[is_relay].acquire(address)
        if refusal:
            self._counters.count("edge_connections_refused", (refusal,))
            if len(self._over_limit) >= MAX_REFUSED_CONNECTIONS:
                sock.close()
                return
        conn = connection.Connection(
            sock,
            address,
            is_relay,
            self._cfg_of_refused if refusal else self._cfg,
            self._selector,
            self._timer_queue,
            self._body_limit,
            self,
        )
        self._conns.add(conn)
        if refusal:
            self._over_limit.add(conn)

    def pause_accepting(self, source: listener.Listener) -> None:
        """Stop accepting for a moment, as no file descriptor is free."""
        self._counters.count("edge_accept_paused")
        self._selector.unregister(source.sock)
        at_s = time.monotonic() + ACCEPT_PAUSE_S
        self._timer_queue.at(at_s, lambda: self._accept_again(source))

    # Callbacks of connections.

    def on_head(self, conn: connection.Connection, head: routes.Head) -> None:
        """See `connection_owner.Owner`; refuse a connection over the limit.

        It is refused only now, as the outcome that may be reported depends on the
        head of its request.
        """
        if conn in self._over_limit:
            reason, detail = outcomes.Reason.BUSY, "too many connections are open"
            raise errors.BadRequestError(reason, detail, FULL_RETRY_S)
        self._exchanges.on_head(conn, head)

    def on_request(
        self, conn: connection.Connection, received: request_reader.ReceivedRequest
    ) -> None:
        """See `connection_owner.Owner`."""
        self._exchanges.on_request(conn, received)

    def on_bad_input(
        self, conn: connection.Connection, refusal: outcomes.Refusal
    ) -> None:
        """See `connection_owner.Owner`."""
        self._exchanges.on_bad_input(conn, refusal)

    def on_caller_gone(self, conn: connection.Connection) -> None:
        """See `connection_owner.Owner`."""
        self._exchanges.on_caller_gone(conn)

    def on_drained(self, conn: connection.Connection) -> None:
        """See `connection_owner.Owner`."""
        self._exchanges.on_drained(conn)

    def on_closed(self, conn: connection.Connection) -> None:
        """See `connection_owner.Owner`."""
        self._conns.discard(conn)
        if conn in self._over_limit:
            self._over_limit.discard(conn)
        else:
            self._limits[conn.is_relay].release(conn.address)

    def _run_once(self) -> None:
        now_s = time.monotonic()
        wait_s = self._pool.timeout_s(self._timer_queue.timeout_s(now_s, MAX_WAIT_S))
        for key, mask in self._selector.select(wait_s):
            if key.data is self._inbox:
                self._handle_messages()
            else:
                key.data.on_ready(key, mask)
        self._pool.run_due()
        self._timer_queue.run_due(time.monotonic())

    def _handle_messages(self) -> None:
        for message in self._inbox.take_all():
            if isinstance(message, _StopAccepting):
                self._stop_accepting()
            elif isinstance(message, _Close):
                self._begin_to_close()
            else:
                self._exchanges.carry_out(message)

    def _stop_accepting(self) -> None:
        self._close_listeners()
        for conn in list(self._conns):
            conn.stop()

    def _begin_to_close(self) -> None:
        self._stop_accepting()
        now_s = time.monotonic()
        is_again = self._closing_at_s is not None
        self._closing_at_s = now_s if is_again else now_s + self._cfg.drain_deadline_s

    def _is_closed(self) -> bool:
        if self._closing_at_s is None:
            return False
        if time.monotonic() >= self._closing_at_s:
            return True
        return not any(conn.has_output for conn in self._conns)

    def _accept_again(self, source: listener.Listener) -> None:
        if source in self._listeners:
            self._selector.register(source.sock, selectors.EVENT_READ, source)

    def _close_listeners(self) -> None:
        listeners, self._listeners = self._listeners, []
        for source in listeners:
            source.close(self._selector)


@contextlib.contextmanager
def open_edge(
    cfg: settings.EdgeSettings,
    post: Callable[[events.Event], None],
    counters: metrics.Metrics,
) -> Iterator[Edge]:
    """Open the edge task; its listeners accept connections from now on.

    Parameters
    ----------
    cfg : settings.EdgeSettings
    post : Callable
        Takes events for the node; called from the edge's thread.
    counters : metrics.Metrics

    Yields
    ------
    Edge
        Its `run` is called by one thread and must have returned on exit.
    """
    with contextlib.ExitStack() as stack:
        listeners = (
            stack.enter_context(listener.listen(cfg.caller_address)),
            stack.enter_context(listener.listen(cfg.relay_address)),
        )
        inbox = stack.enter_context(mailbox.open_mailbox())
        selector = stack.enter_context(selectors.DefaultSelector())
        pool = stack.enter_context(transfers.open_transfers(selector))
        yield Edge(cfg, listeners, inbox, selector, pool, post, counters)
