"""Open requests: connects callers with the node's events and effects."""

import collections
import logging
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    crash_reports,
    effects,
    events,
    node,
    stream_origins,
)
from bilberryridge.transport import (
    connection,
    errors,
    headers,
    limits,
    request_reader,
)
from bilberryridge.transport.ingress import (
    answer_bounds,
    connection_pool,
    dialect,
    event_loop,
    exchange,
    relay_envelope,
    request_content,
    responder,
)
from bilberryridge.utilities import addresses, metrics

LOGGER = logging.getLogger("bilberryridge")
MAX_LOGGED_ID_CHARS = 80

SendPeerMessage = Callable[[str, effects.PeerMessage], Any]
"""Sends a message to the daemon on a VM, given its name."""
StoreReport = Callable[[crash_reports.Report], None]
"""Writes a report to the store."""
StoreStreams = Callable[[tuple[stream_origins.StreamRecord, ...]], None]
"""Writes streams that began here to the store."""


class Gateway:
    """Owns the node, passes events to it and carries out its effects.

    Parameters
    ----------
    loop : EventLoop
    pool : Pool
    wire : Dialect
    ingress_node : Node
    send_peer_message : Callable
        Sends a message to another daemon.
    store_report, store_streams : Callable
        Write to the store what outlives this daemon.
    check_store : Callable
        Asks the store for all changes until now; the answer is posted.
    counters : Metrics
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        pool: connection_pool.Pool,
        wire: dialect.Dialect,
        ingress_node: node.Node,
        send_peer_message: SendPeerMessage,
        store_report: StoreReport,
        store_streams: StoreStreams,
        check_store: Callable[[], None],
        counters: metrics.Metrics,
    ):
        self.node = ingress_node
        self._loop = loop
        self._pool = pool
        self._wire = wire
        self._send_message = send_peer_message
        self._store_report = store_report
        self._counters = counters
        self._exchanges: dict[str, exchange.Exchange] = {}
        self._by_conn: dict[connection.Connection, exchange.Exchange] = {}
        self._read_heads: dict[connection.Connection, ingress.Request] = {}
        self._arrived_s: dict[str, float] = {}
        self._logged_ids: dict[str, str] = {}
        self._organisations: dict[str, str] = {}
        self._n_requests = 0
        self._held_limit = limits.ByteLimit(answer_bounds.MAX_TOTAL_HELD_BYTES)
        self._queued_events: collections.deque[events.Event] = collections.deque()
        self._is_handling = False
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            effects.SendToServer: self._send_to_server,
            effects.SendToPeer: self._send_to_peer,
            effects.ProbeServer: self._probe_server,
            effects.CancelAttempt: self._cancel_attempt,
            effects.DetachCaller: self._detach,
            effects.PassAnswer: self._pass_answer,
            effects.Refuse: self._refuse,
            effects.AbortStream: self._abort_stream,
            effects.SendPeerMessage: self._send_peer_message,
            effects.StoreReport: lambda effect: self._store_report(effect.report),
            effects.StoreStreams: lambda effect: store_streams(effect.streams),
            effects.CheckStore: lambda effect: check_store(),
            effects.LogTakeUp: self._log_take_up,
            effects.LogStateChange: self._log_state_change,
            effects.CountQuota: self._count_quota,
        }

    @property
    def n_open_requests(self) -> int:
        """Number of open requests."""
        return len(self._exchanges)

    def post(self, event: events.Event) -> None:
        """Pass an event to the node, after the events that are queued already."""
        self._queued_events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._queued_events:
                self._handle(self._queued_events.popleft())
        finally:
            self._is_handling = False

    # Callbacks of callers' connections; see `connection_owner.Owner`.

    def on_head(self, conn: connection.Connection, head: dialect.Head) -> None:
        """See `connection_owner.Owner`."""
        if not self.node.names_organisations:
            return
        req = self._read_request(conn, head)
        now_s, boot_s = self._loop.now_s(), self._loop.boot_s()
        refused = self.node.refuse_head(now_s, req, boot_s)
        if refused is None:
            self._read_heads[conn] = req
            return
        conn.answer_early()
        request_id = self._next_id()
        reservation = limits.Reservation(self._held_limit)
        self._open(conn, head, b"", reservation, attrs.evolve(req, id=request_id))
        self._refuse(attrs.evolve(refused, request_id=request_id))

    def on_request(
        self, conn: connection.Connection, received: request_reader.ReceivedRequest
    ) -> None:
        """See `connection_owner.Owner`."""
        head: dialect.Head = received.head
        req = self._read_heads.pop(conn, None) or self._read_request(conn, head)
        digest = req.key_digest if self.node.names_organisations else b""
        content_id = request_content.content_id(head, received.body, digest)
        req = attrs.evolve(req, id=self._next_id(), content_id=content_id)
        self._open(conn, head, received.body, received.reservation, req)
        self.post(events.RequestArrived(req))

    def _read_request(
        self, conn: connection.Connection, head: dialect.Head
    ) -> ingress.Request:
        req = self._wire.read_request(head, "")
        return _with_envelope(req, head) if conn.is_relay else req

    def _next_id(self) -> str:
        self._n_requests += 1
        return str(self._n_requests)

    def _open(
        self,
        conn: connection.Connection,
        head: dialect.Head,
        body: bytes,
        reservation: limits.Reservation,
        req: ingress.Request,
    ) -> None:
        request_id = req.id
        ex = exchange.Exchange(
            self._loop,
            self._pool,
            self._wire,
            self.post,
            conn,
            head,
            body,
            reservation,
            request_id,
            self._held_limit,
        )
        self._exchanges[request_id] = ex
        self._by_conn[conn] = ex
        self._arrived_s[request_id] = self._loop.now_s()
        self._logged_ids[request_id] = req.caller_request_id[:MAX_LOGGED_ID_CHARS]
        self._counters.count("ingress_requests", (_kind_of(req),))

    def on_bad_input(
        self, conn: connection.Connection, refusal: outcomes.Refusal
    ) -> None:
        """See `connection_owner.Owner`."""
        self._counters.count("ingress_bad_input", (refusal.reason.value,))
        LOGGER.info(
            "bad input",
            extra={"reason": refusal.reason.value, "detail": refusal.detail},
        )
        fields = self._wire.refusal_fields(refusal)
        responder.refuse_input(conn, refusal, fields)

    def on_caller_gone(self, conn: connection.Connection) -> None:
        """See `connection_owner.Owner`."""
        ex = self._by_conn.pop(conn, None)
        if ex is not None and ex.conn is conn:
            self._log("caller gone", ex.request_id, {})
            ex.detach()
            self.post(events.CallerGone(ex.request_id))
            self._close_if_finished(ex.request_id)

    def on_drained(self, conn: connection.Connection) -> None:
        """See `connection_owner.Owner`."""
        ex = self._by_conn.get(conn)
        if ex is not None and ex.conn is conn:
            ex.on_drained()

    def on_closed(self, conn: connection.Connection) -> None:
        """See `connection_owner.Owner`."""
        self._by_conn.pop(conn, None)
        self._read_heads.pop(conn, None)

    def _handle(self, event: events.Event) -> None:
        if isinstance(event, events.AttemptEnded):
            self._log_ended(event)
        elif isinstance(event, events.AttemptSilent):
            self._counters.count("ingress_silent_attempts")
            self._log("attempt silent", event.request_id, {"attempt": event.attempt_id})
        now_s, boot_s = self._loop.now_s(), self._loop.boot_s()
        cancelled = []
        for effect in self.node.handle(now_s, event, boot_s):
            self._effect_handlers[type(effect)](effect)
            if isinstance(effect, effects.CancelAttempt):
                cancelled.append(effect.request_id)
        # A request without a caller ends with its attempt and gets no answer.
        for request_id in cancelled:
            self._close_if_finished(request_id)
        if isinstance(event, events.AttemptEnded | events.CallerGone):
            self._close_if_finished(event.request_id)

    def _close_if_finished(self, request_id: str) -> None:
        if request_id in self.node.state.open_requests:
            return
        ex = self._exchanges.get(request_id)
        if ex is not None:
            self._remove(ex, "served")

    def _remove(self, ex: exchange.Exchange, outcome: str) -> None:
        self._exchanges.pop(ex.request_id, None)
        ex.close()
        arrived_s = self._arrived_s.pop(ex.request_id, None)
        self._logged_ids.pop(ex.request_id, None)
        organisation = self._organisations.pop(ex.request_id, "")
        if organisation:
            labels = (organisation, outcome)
            self._counters.count("ingress_organisation_requests", labels)
        if arrived_s is not None:
            took_s = self._loop.now_s() - arrived_s
            self._counters.observe_s("ingress_request_s", (outcome,), took_s)

    # Effects.

    def _send_to_server(self, effect: effects.SendToServer) -> None:
        record = effect.server
        where = {"server": record.id, "address": record.address}
        self._log_send("send to server", effect, where)
        self._exchanges[effect.request_id].send_to_server(effect)

    def _send_to_peer(self, effect: effects.SendToPeer) -> None:
        where = {"peer": effect.entry.name, "version": effect.table_version}
        self._log_send("send to peer", effect, where)
        self._exchanges[effect.request_id].send_to_peer(effect)

    def _probe_server(self, effect: effects.ProbeServer) -> None:
        record = effect.server

        def on_ended(is_connected: bool) -> None:
            ended = events.ProbeEnded(record.id, record.start_time_ms, is_connected)
            self.post(ended)

        self._counters.count("ingress_probes")
        self._pool.probe(addresses.split(record.address), on_ended)

    def _cancel_attempt(self, effect: effects.CancelAttempt) -> None:
        self._log("cancel", effect.request_id, {"attempt": effect.attempt_id})
        self._exchanges[effect.request_id].cancel_attempt()

    def _detach(self, effect: effects.DetachCaller) -> None:
        self._exchanges[effect.request_id].detach()

    def _pass_answer(self, effect: effects.PassAnswer) -> None:
        ex = self._exchanges[effect.request_id]
        ex.pass_answer()

    def _refuse(self, effect: effects.Refuse) -> None:
        refusal = effect.refusal
        log_fields = {
            "reason": refusal.reason.value,
            "outcome": refusal.outcome.value,
            "retry_after_s": refusal.retry_after_s and round(refusal.retry_after_s, 2),
            **effect.log_fields,
        }
        self._log("refuse", effect.request_id, log_fields)
        self._record_organisation(effect.request_id, effect.log_fields)
        self._counters.count("ingress_refused", (refusal.reason.value,))
        if "admitted" in effect.log_fields:
            self._counters.count("ingress_rationed")
        ex = self._exchanges[effect.request_id]
        ex.refuse(refusal, effect.is_server_reached)
        self._remove(ex, refusal.reason.value)

    def _abort_stream(self, effect: effects.AbortStream) -> None:
        self._log("cut stream", effect.request_id, dict(effect.log_fields))
        self._counters.count("ingress_streams_cut")
        ex = self._exchanges[effect.request_id]
        ex.abort()
        self._remove(ex, "cut")

    def _send_peer_message(self, effect: effects.SendPeerMessage) -> None:
        self._send_message(effect.vm, effect.message)

    def _log_take_up(self, effect: effects.LogTakeUp) -> None:
        log_fields = dict(effect.log_fields)
        self._counters.count("ingress_take_ups", (log_fields["origin_from"],))
        self._log("take up stream", effect.request_id, log_fields)

    def _count_quota(self, effect: effects.CountQuota) -> None:
        name, counts = effect.organisation, effect.counts
        for result, n_requests, n_tokens in (
            ("taken", counts.n_taken, counts.n_tokens_taken),
            ("refused", counts.n_refused, counts.n_tokens_refused),
        ):
            labels = (name, result)
            self._counters.count("ingress_quota_requests", labels, n_requests)
            self._counters.count("ingress_quota_units", labels, round(n_tokens))
        self._counters.count(
            "ingress_quota_requests", (name, "given back"), counts.n_given_back
        )

    def _log_state_change(self, effect: effects.LogStateChange) -> None:
        extra = {"subject": effect.subject, **effect.log_fields}
        cause = effect.log_fields.get("cause")
        if cause is not None:
            self._counters.count("ingress_servers_put_aside", (cause,))
        if effect.subject == "slow start":
            step = effect.log_fields["step"]
            self._counters.count("ingress_slow_starts", (step,))
        LOGGER.info("%s", effect.change, extra=extra)

    # Logs.

    def _log_send(
        self,
        log_message: str,
        effect: effects.SendToServer | effects.SendToPeer,
        where: dict[str, Any],
    ) -> None:
        log_fields = {
            "attempt": effect.attempt_id,
            **where,
            "left_s": round(effect.remaining_s, 3),
            **effect.log_fields,
        }
        self._log(log_message, effect.request_id, log_fields)
        self._record_organisation(effect.request_id, effect.log_fields)
        self._counters.count("ingress_sends", (log_message,))

    def _record_organisation(
        self, request_id: str, log_fields: Mapping[str, Any]
    ) -> None:
        organisation = log_fields.get("organisation")
        if organisation:
            self._organisations[request_id] = organisation

    def _log_ended(self, event: events.AttemptEnded) -> None:
        log_fields: dict[str, Any] = {
            "attempt": event.attempt_id,
            "result": event.result.value,
            "status": event.status,
            "events": event.n_events,
            "first_s": round(event.first_s, 3),
            "took_s": round(event.took_s, 3),
        }
        if event.load is not None:
            load = event.load
            log_fields["load"] = [load.n_running, load.n_waiting, load.n_slots]
            if load.pace is not None:
                log_fields["stated_pace"] = load.pace
        if event.limit_per_s is not None:
            log_fields["limit_per_s"] = event.limit_per_s
        if event.longest_gap_s:
            log_fields["longest_gap_s"] = round(event.longest_gap_s, 3)
        if event.detail:
            log_fields["detail"] = event.detail
        if not event.is_end_marked:
            log_fields["end_marked"] = False
        if event.n_incomplete_bytes:
            log_fields["incomplete_bytes"] = event.n_incomplete_bytes
        if event.is_over_bound:
            self._counters.count("ingress_answers_over_bound")
        self._log("attempt ended", event.request_id, log_fields)
        self._counters.count("ingress_attempts", (event.result.value,))

    def _log(
        self, log_message: str, request_id: str, log_fields: dict[str, Any]
    ) -> None:
        arrived_s = self._arrived_s.get(request_id, self._loop.now_s())
        extra = {
            "request": self._logged_ids.get(request_id, ""),
            "own_id": request_id,
            "after_s": round(self._loop.now_s() - arrived_s, 3),
            **log_fields,
        }
        LOGGER.info(log_message, extra=extra)


def _with_envelope(req: ingress.Request, head: dialect.Head) -> ingress.Request:
    try:
        envelope = relay_envelope.decode(headers.find(head.fields, headers.ENVELOPE))
    except errors.EnvelopeError as exc:
        reason = outcomes.Reason.UNAUTHENTICATED
        raise errors.BadRequestError(reason, str(exc)) from exc
    return attrs.evolve(
        req,
        caller_timeout_s=min(req.caller_timeout_s, envelope.remaining_s),
        is_relayed=True,
        table_version=envelope.table_version,
        origin=envelope.origin,
        # Fields of the caller that a daemon of an older build forwards prove nothing.
        key_digest=envelope.key_digest,
    )


def _kind_of(req: ingress.Request) -> str:
    return "relayed" if req.is_relayed else "own"
