"""One open request: connects its caller with its current attempt."""

import logging
from collections.abc import Callable

import attrs
import h11

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import effects, events
from bilberryridge.transport import connection, errors, headers, limits, problems
from bilberryridge.transport.ingress import (
    attempt,
    connection_pool,
    dialect,
    event_loop,
    event_stream,
    relay_envelope,
    upstream,
)
from bilberryridge.utilities import addresses

LOGGER = logging.getLogger("bilberryridge")

Post = Callable[[events.Event], None]
"""Takes events for the node."""


class Exchange:
    """A request, its current attempt and the connection of its caller.

    Parameters
    ----------
    loop : EventLoop
    pool : Pool
    wire : Dialect
    post : Callable
        Takes events for the node.
    conn : Connection
        Connection of the caller.
    head : Head
    body : bytes
    reservation : limits.Reservation
        Bytes reserved for the body; released when the request ends.
    request_id : str
    held_limit : ByteLimit
        Of the bytes of all answers that are held until they are complete.
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        pool: connection_pool.Pool,
        wire: dialect.Dialect,
        post: Post,
        conn: connection.Connection,
        head: dialect.Head,
        body: bytes,
        reservation: limits.Reservation,
        request_id: str,
        held_limit: limits.ByteLimit,
    ):
        self.request_id = request_id
        self.head = head
        self._loop = loop
        self._pool = pool
        self._wire = wire
        self._post = post
        self._conn: connection.Connection | None = conn
        self._body = body
        self._reservation = reservation
        self._held_limit = held_limit
        self._attempt: attempt.Attempt | None = None
        self._origin: ingress.StreamOrigin | None = None
        self._is_relaying = False
        self._last_event_id = ""
        self._is_committed = False
        self._has_passed_data = False

    @property
    def conn(self) -> connection.Connection | None:
        """The caller's connection; None once answered or disconnected."""
        return self._conn

    # Effects of the node.

    def send_to_server(self, effect: effects.SendToServer) -> None:
        """Send the request to a backend server."""
        record = effect.server
        self._is_relaying = False
        self._origin = None
        if effect.is_start_known:
            self._origin = ingress.StreamOrigin(record.service, record.version)
        fields = self._wire.fields_for_server(self.head, effect, self._last_event_id)
        self._send(
            effect,
            addresses.split(effect.server.address),
            fields,
            self._wire.read_answer,
            effect.needs_fresh_conn,
        )

    def send_to_peer(self, effect: effects.SendToPeer) -> None:
        """Send the request to a daemon of another region."""
        self._origin = None
        self._is_relaying = True
        envelope = relay_envelope.Envelope(
            self.request_id,
            effect.remaining_s,
            effect.table_version,
            effect.origin,
            effect.key_digest or b"",
        )
        fields = (
            *self._wire.fields_for_peer(self.head, effect, self._last_event_id),
            (headers.ENVELOPE, relay_envelope.encode(envelope)),
        )
        address = addresses.split(effect.entry.relay_address)
        self._send(effect, address, fields, self._read_relayed_answer, False)

    def cancel_attempt(self) -> None:
        """Close the attempt's connection."""
        if self._attempt is not None:
            self._attempt.cancel()
            self._attempt = None

    def detach(self) -> None:
        """Drop the caller; the attempt continues and its answer is discarded."""
        self._conn = None

    def pass_answer(self) -> None:
        """Send the held answer to the caller."""
        assert self._attempt is not None
        assert self._attempt.head is not None
        head, body = self._attempt.head, bytes(self._attempt.body)
        self._answer(head.status, head.fields, body)

    def refuse(self, refusal: outcomes.Refusal, is_server_reached: bool) -> None:
        """Answer the request with a refusal and close the exchange.

        Parameters
        ----------
        refusal : Refusal
        is_server_reached : bool
            See `effects.Refuse`; told to another daemon, not to a caller.
        """
        fields = (
            *self._wire.refusal_fields(refusal),
            (headers.OUTCOME, refusal.outcome.value),
        )
        if self._conn is not None and self._conn.is_relay:
            value = headers.encode_flag(is_server_reached)
            fields = (*fields, (headers.SERVER_REACHED, value))
        body = problems.body_of(refusal, self.request_id)
        fields = (*fields, ("Content-Length", str(len(body))))
        self._answer(refusal.status, fields, body)

    def abort(self) -> None:
        """Abort a stream so that it doesn't look complete."""
        if self._conn is not None:
            self._conn.abort()
        self.close()

    def close(self) -> None:
        """Cancel the attempt and release the request's resources."""
        self.cancel_attempt()
        self._reservation.release()
        self._conn = None

    # Callback of the caller's connection.

    def on_drained(self) -> None:
        """Resume the attempt: the caller reads again."""
        if self._attempt is not None and self._attempt.conn is not None:
            self._attempt.conn.resume()

    # Callbacks of the attempt.

    def match_answer(self, fields: headers.Fields) -> upstream.Match:
        """See `attempt.Owner`."""
        answer_id = self._wire.answer_id(fields)
        if not answer_id:
            # Daemons send no other answers, and name no id in refusals of their own.
            return upstream.Match.OWN if self._is_relaying else upstream.Match.UNKNOWN
        is_own = answer_id == self._wire.answer_id(self.head.fields)
        return upstream.Match.OWN if is_own else upstream.Match.OTHER

    def on_server_said(self, said: events.ServerSaid) -> None:
        """See `attempt.Owner`."""
        self._post(said)

    def on_begun(self, source: attempt.Attempt) -> None:
        """See `attempt.Owner`."""
        began = events.AttemptBegan(
            self.request_id,
            source.id,
            source.is_passed_through,
            source.head.origin if source.head else None,
        )
        self._post(began)

    def on_went_on(self, source: attempt.Attempt) -> None:
        """See `attempt.Owner`."""
        self._post(events.AttemptWentOn(self.request_id, source.id))

    def on_silent(self, source: attempt.Attempt) -> None:
        """See `attempt.Owner`."""
        self._post(events.AttemptSilent(self.request_id, source.id))

    def on_events(self, source: attempt.Attempt, complete: event_stream.Events) -> None:
        """See `attempt.Owner`."""
        self._commit(source)
        self._has_passed_data = self._has_passed_data or complete.has_data
        if complete.last_id is not None:
            self._last_event_id = complete.last_id
        if self._conn is None:
            return
        self._conn.send(complete.data)
        if self._conn.is_full and source.conn is not None:
            source.conn.pause()

    def on_ended(self, source: attempt.Attempt, ended: events.AttemptEnded) -> None:
        """See `attempt.Owner`."""
        if ended.result is events.AttemptResult.ANSWERED and source.is_passed_through:
            self._commit(source)
            if self._conn is not None:
                self._conn.finish()
                self._conn = None
        ended = attrs.evolve(
            ended,
            is_committed=self._is_committed,
            is_held=not source.is_passed_through,
            is_position_known=not self._has_passed_data or bool(self._last_event_id),
        )
        self._post(ended)

    def _commit(self, source: attempt.Attempt) -> None:
        """Send the head of the first server that streams, unless a head was sent."""
        if self._is_committed:
            return
        self._is_committed = True
        assert source.head is not None
        if self._conn is not None:
            fields = headers.without(source.head.fields, "content-length")
            if self._conn.is_relay and self._origin is not None:
                text = relay_envelope.encode_origin(self._origin)
                fields = (*fields, (headers.STREAM_ORIGIN, text))
            self._conn.start_answer(source.head.status, fields)

    def _read_relayed_answer(
        self, status: int, fields: headers.Fields
    ) -> dialect.AnswerHead:
        head = self._wire.read_relayed_answer(status, fields)
        text = headers.find(fields, headers.STREAM_ORIGIN)
        if not text:
            return head
        try:
            origin = relay_envelope.decode_origin(text)
        except errors.EnvelopeError as exc:
            LOGGER.warning("no origin of a relayed stream", extra={"detail": str(exc)})
            return head
        return attrs.evolve(head, origin=origin)

    def _send(
        self,
        effect: effects.SendToServer | effects.SendToPeer,
        address: addresses.Address,
        fields: headers.Fields,
        read_answer: dialect.ReadAnswer,
        needs_fresh_conn: bool,
    ) -> None:
        source = attempt.Attempt(
            self._loop,
            self,
            self.request_id,
            effect.attempt_id,
            read_answer,
            effect.is_stream,
            effect.first_byte_timeout_s,
            effect.stall_timeout_s,
            effect.n_answer_tokens,
            self._held_limit,
        )
        self._attempt = source
        fields = (*fields, *self._length_fields())
        answer_id = self._wire.answer_id(self.head.fields)
        source.conn = self._pool.send_request(
            address,
            self.head.method,
            self.head.target,
            fields,
            self._body,
            source,
            needs_fresh_conn,
            answer_id,
            # On another connection, nothing would tell its answer from earlier ones.
            needs_new_conn=not (answer_id or self._is_relaying),
        )

    def _length_fields(self) -> headers.Fields:
        has_length = bool(headers.find(self.head.fields, "content-length"))
        is_chunked = bool(headers.find(self.head.fields, "transfer-encoding"))
        if self._body or has_length or is_chunked:
            return (("Content-Length", str(len(self._body))),)
        return ()

    def _answer(self, status: int, fields: headers.Fields, body: bytes) -> None:
        conn, self._conn = self._conn, None
        self.close()
        if conn is None:
            return
        if not headers.find(fields, "content-length"):
            fields = (*fields, ("Content-Length", str(len(body))))
        try:
            conn.start_answer(status, fields)
            if body and self.head.method != "HEAD":
                conn.send(body)
            conn.finish()
        except h11.LocalProtocolError as exc:
            LOGGER.error("an answer can't be written", extra={"detail": str(exc)})
            conn.abort()
