"""Table of open requests: connects callers with the node's events and effects."""

import secrets
from collections.abc import Callable

from bilberryridge.core import outcomes, requests
from bilberryridge.decisions import effects, events
from bilberryridge.transport import (
    attempt,
    connection,
    errors,
    exchange,
    forwarding,
    headers,
    relay_mac,
    request_reader,
    routes,
    settings,
    timers,
)
from bilberryridge.utilities import metrics, transfers

REQUEST_ID_BYTES = 16
BUSY_RETRY_S = 1.0
_RESULT = events.AttemptResult


class Exchanges:
    """Open requests by id; all methods must be called on the edge's thread.

    Parameters
    ----------
    cfg : settings.EdgeSettings
    post : Callable
        Takes events for the node.
    counters : metrics.Metrics
    pool : transfers.Transfers
    timer_queue : timers.TimerQueue
    """

    def __init__(
        self,
        cfg: settings.EdgeSettings,
        post: Callable[[events.Event], None],
        counters: metrics.Metrics,
        pool: transfers.Transfers,
        timer_queue: timers.TimerQueue,
    ):
        self._cfg = cfg
        self._post = post
        self._counters = counters
        self._pool = pool
        self._timer_queue = timer_queue
        self._open: dict[str, exchange.Exchange] = {}
        self._by_conn: dict[connection.Connection, exchange.Exchange] = {}
        self._handlers: dict[type, Callable] = {
            effects.SendAttempt: self._send,
            effects.CancelAttempt: self._cancel,
            effects.Refuse: self._refuse,
            effects.PassAnswer: self._pass_answer,
            effects.AnswerStored: self._answer_stored,
            effects.AnswerEntry: self._answer_entry,
            effects.AnswerModels: self._answer_models,
        }

    def __len__(self) -> int:
        return len(self._open)

    def carry_out(self, effect: effects.Effect) -> None:
        """Carry out an effect of the node."""
        self._handlers[type(effect)](effect)

    # Callbacks of connections.

    def on_head(self, conn: connection.Connection, head: routes.Head) -> None:
        """Refuse a relayed request without a MAC before its body is read."""
        if conn.is_relay:
            relay_mac.require(head)

    def on_request(
        self, conn: connection.Connection, received: request_reader.ReceivedRequest
    ) -> None:
        """Open an exchange and report the request to the node."""
        head, body = received.head, received.body
        if conn.is_relay:
            request_id, envelope = relay_mac.verify(self._cfg.shared_key, head, body)
        else:
            request_id, envelope = secrets.token_hex(REQUEST_ID_BYTES), None
        ex = exchange.Exchange(request_id, conn, head, received.reservation)
        self._by_conn[conn] = ex
        if request_id in self._open:
            self._refuse_duplicate(ex)
            return
        self._open[request_id] = ex
        if head.endpoint == routes.ENTRY:
            self._post(events.EntryAsked(request_id, head.caller_digest))
        elif head.endpoint == routes.MODELS:
            self._post(events.ModelsAsked(request_id, head.caller_digest))
        else:
            self._accept_request(ex, body, envelope)

    def on_bad_input(
        self, conn: connection.Connection, refusal: outcomes.Refusal
    ) -> None:
        """Refuse invalid input."""
        self._counters.count("edge_bad_input", (refusal.reason.value,))
        ex = self._by_conn.get(conn)
        if ex is None:
            head = routes.Head("", "", "", "", (), "")
            ex = exchange.Exchange(secrets.token_hex(REQUEST_ID_BYTES), conn, head)
        ex.refuse(refusal)
        self._remove(ex)

    def on_caller_gone(self, conn: connection.Connection) -> None:
        """The caller disconnected: stop its attempt if allowed and inform the node."""
        ex = self._by_conn.pop(conn, None)
        if ex is None:
            return
        ex.is_caller_gone = True
        self._counters.count("edge_callers_gone")
        if ex.req is not None:
            self._post(events.CallerGone(ex.request_id))
        current = ex.attempt
        if current is None:
            self._remove(ex)
        elif not current.effect.is_at_most_once:
            # An at-most-once request continues, so that a retry finds its outcome.
            current.abandon()
            self._report_ended(current.effect, _RESULT.CANCELLED)
            self._remove(ex)

    def on_drained(self, conn: connection.Connection) -> None:
        """Resume the attempt of a caller that reads again."""
        ex = self._by_conn.get(conn)
        if ex is not None and ex.attempt is not None:
            ex.attempt.resume()

    # Effects of the node.

    def _send(self, effect: effects.SendAttempt) -> None:
        ex = self._open.get(effect.request_id)
        if (
            ex is None
            or ex.req is None
            or ex.is_caller_gone
            or ex.attempt
            or ex.is_committed
        ):
            self._counters.count("edge_attempts_dropped")
            self._report_ended(effect, _RESULT.NOT_SENT)
            return
        ex.held_answer = None
        ex.attempt = attempt.Attempt(
            effect,
            forwarding.forwarded_request(effect, ex, self._cfg.shared_key),
            ex,
            self._cfg.max_held_bytes,
            self._pool,
            self._timer_queue,
            self,
        )
        ex.attempt.start()

    def _cancel(self, effect: effects.CancelAttempt) -> None:
        ex = self._open.get(effect.request_id)
        if ex is None or ex.attempt is None:
            return
        if ex.attempt.effect.attempt != effect.attempt:
            return
        ex.attempt.abandon()
        ex.attempt = None
        if ex.is_caller_gone:
            self._remove(ex)

    def _refuse(self, effect: effects.Refuse) -> None:
        ex = self._open.get(effect.request_id)
        if ex is None:
            return
        is_stream = ex.is_streamed
        if ex.attempt is not None:
            is_stream = ex.attempt.is_stream
            ex.attempt.abandon()
            ex.attempt = None
        self._counters.count("edge_refusals", (effect.refusal.reason.value,))
        if ex.is_committed:
            ex.abort(effect.refusal, is_stream)
        else:
            ex.refuse(effect.refusal)
        self._remove(ex)

    def _pass_answer(self, effect: effects.PassAnswer) -> None:
        ex = self._open.get(effect.request_id)
        if ex is None:
            return
        if ex.held_answer is None:
            detail = "the backend server's answer could not be kept"
            reason, outcome = outcomes.Reason.BACKEND_FAILED, outcomes.Outcome.UNKNOWN
            ex.refuse(outcomes.Refusal(reason, outcome, detail))
        else:
            ex.answer(
                ex.held_answer.status, ex.held_answer.headers, ex.held_answer.body
            )
        self._remove(ex)

    def _answer_stored(self, effect: effects.AnswerStored) -> None:
        answer = effect.answer
        self._answer(effect.request_id, answer.status, answer.headers, answer.body)

    def _answer_entry(self, effect: effects.AnswerEntry) -> None:
        body = routes.entry_body(effect)
        self._answer(effect.request_id, 200, routes.JSON_FIELDS, body)

    def _answer_models(self, effect: effects.AnswerModels) -> None:
        body = routes.models_body(effect)
        self._answer(effect.request_id, 200, routes.JSON_FIELDS, body)

    def _answer(
        self, request_id: str, status: int, fields: headers.Fields, body: bytes
    ) -> None:
        ex = self._open.get(request_id)
        if ex is not None:
            ex.answer(status, fields, body)
            self._remove(ex)

    # Callbacks of attempts.

    def on_committed(self, current: attempt.Attempt, waited_s: float) -> None:
        """Report to the node that the answer is committed."""
        effect = current.effect
        self._counters.observe_s("edge_first_content_s", (), waited_s)
        self._post(events.AttemptBegan(effect.request_id, effect.attempt, waited_s))

    def on_paused(self, current: attempt.Attempt) -> None:
        """Count a pause for a caller that reads too slowly."""
        self._counters.count("edge_pauses")

    def on_ended(self, current: attempt.Attempt, ended: events.AttemptEnded) -> None:
        """Report the result and close the exchange if no attempt can follow."""
        ex = current.exchange
        ex.attempt = None
        self._counters.count("edge_attempts", (ended.result.value,))
        if ended.is_committed or ex.is_caller_gone:
            self._remove(ex)
        self._post(ended)

    # Helpers.

    def _accept_request(
        self, ex: exchange.Exchange, body: bytes, envelope: requests.Envelope | None
    ) -> None:
        try:
            ex.req, ex.body = routes.read_request(
                ex.head, body, ex.request_id, envelope
            )
        except errors.BadRequestError:
            self._open.pop(ex.request_id, None)
            raise
        self._post(events.RequestArrived(ex.req))

    def _refuse_duplicate(self, ex: exchange.Exchange) -> None:
        """Refuse a request whose id is already open; the open one is unaffected."""
        self._counters.count("edge_twins_refused")
        reason, outcome = outcomes.Reason.BUSY, outcomes.Outcome.UNKNOWN
        detail = "a request with this id is open here"
        ex.refuse(outcomes.Refusal(reason, outcome, detail, BUSY_RETRY_S))
        self._remove(ex)

    def _report_ended(
        self, effect: effects.SendAttempt, result: events.AttemptResult
    ) -> None:
        self._post(events.AttemptEnded(effect.request_id, effect.attempt, result))

    def _remove(self, ex: exchange.Exchange) -> None:
        ex.drop_body()
        if self._open.get(ex.request_id) is ex:
            del self._open[ex.request_id]
        if self._by_conn.get(ex.conn) is ex:
            del self._by_conn[ex.conn]
