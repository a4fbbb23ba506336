"""One attempt of an exchange: receives the answer and reports the result."""

from typing import Protocol

from bilberryridge.core import progress
from bilberryridge.decisions.ingress import events
from bilberryridge.transport import errors, headers, limits, timers
from bilberryridge.transport.ingress import (
    answer_bounds,
    dialect,
    event_loop,
    event_stream,
    upstream,
)

FIRST_ERROR_STATUS = 300

_RESULT_BY_FAILURE = {
    upstream.Failure.NOT_SENT: events.AttemptResult.NOT_SENT,
    upstream.Failure.LOST: events.AttemptResult.LOST,
    upstream.Failure.SILENT: events.AttemptResult.LOST,
    upstream.Failure.SPOILED: events.AttemptResult.SPOILED,
    upstream.Failure.OVER_BOUND: events.AttemptResult.SPOILED,
}
_RESULT_BY_KIND = {
    dialect.AnswerKind.ANSWER: events.AttemptResult.ANSWERED,
    dialect.AnswerKind.NOT_RUN: events.AttemptResult.NOT_RUN,
    dialect.AnswerKind.MISDIRECTED: events.AttemptResult.NOT_RUN,
    dialect.AnswerKind.UNVERIFIED: events.AttemptResult.SPOILED,
}


class Owner(Protocol):
    """Callbacks of an attempt, implemented by its exchange."""

    def match_answer(self, fields: headers.Fields) -> upstream.Match:
        """Return whether an answer belongs to the request."""

    def on_server_said(self, said: events.ServerSaid) -> None:
        """The head of an answer tells something of its server."""

    def on_begun(self, attempt: "Attempt") -> None:
        """The first bytes of an answer were received."""

    def on_went_on(self, attempt: "Attempt") -> None:
        """The answer has gone on for a while after it began."""

    def on_silent(self, attempt: "Attempt") -> None:
        """Nothing of the answer was received in time; the attempt goes on."""

    def on_events(self, attempt: "Attempt", complete: event_stream.Events) -> None:
        """Forward complete events of a stream."""

    def on_ended(self, attempt: "Attempt", ended: events.AttemptEnded) -> None:
        """Report the result to the node; end the answer of a complete stream."""


class Attempt:
    """A request in flight to one backend server or daemon.

    Parameters
    ----------
    loop : EventLoop
    owner : Owner
    request_id : str
    id : int
    read_head : Callable
        Decodes the head of an answer.
    is_stream : bool
    first_byte_timeout_s : float or None
        Time until the first bytes, of a stream until its first complete event, after
        which the owner is told that there are none; None for never.
    stall_timeout_s : float or None
        Longest time without data, of a stream without a complete event, after them;
        None for no limit.
    n_answer_tokens : int
        Most tokens that the request asks for; 0 if not known.
    held_limit : ByteLimit
        Of the bytes of all held answers.
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        owner: Owner,
        request_id: str,
        id: int,
        read_head: "dialect.ReadAnswer",
        is_stream: bool,
        first_byte_timeout_s: float | None,
        stall_timeout_s: float | None,
        n_answer_tokens: int,
        held_limit: limits.ByteLimit,
    ):
        self.id = id
        self.head: dialect.AnswerHead | None = None
        self.conn: upstream.Connection | None = None
        self.body = bytearray()
        self._loop = loop
        self._owner = owner
        self._request_id = request_id
        self._read_head = read_head
        self._is_stream = is_stream
        self._stall_timeout_s = stall_timeout_s
        self._splitter = event_stream.EventSplitter()
        self._meter = answer_bounds.AnswerMeter(
            n_answer_tokens, limits.Reservation(held_limit)
        )
        self._has_begun = False
        self._progress = progress.AnswerProgress()
        self._sent_s = loop.now_s()
        self._first_s = 0.0
        self._n_events = 0
        self._event_s = 0.0
        self._longest_gap_s = 0.0
        self._has_ended = False
        self._is_over_bound = False
        self._is_end_marked = True
        self._is_disconnected = False
        self._is_silent = False
        self._timer: timers.Timer | None = None
        if first_byte_timeout_s is not None:
            self._timer = loop.after(first_byte_timeout_s, self._on_late)

    @property
    def is_passed_through(self) -> bool:
        """Whether the answer is forwarded as it is received."""
        head = self.head
        if head is None or not self._is_stream:
            return False
        is_answer = head.kind is dialect.AnswerKind.ANSWER
        return is_answer and head.status < FIRST_ERROR_STATUS

    def cancel(self) -> None:
        """Close the connection; the owner gets no further calls."""
        self._end()
        if self.conn is not None:
            self.conn.cancel()

    def match_answer(self, fields: headers.Fields) -> upstream.Match:
        """See `upstream.Sink`."""
        return self._owner.match_answer(fields)

    def on_head(self, status: int, fields: headers.Fields) -> None:
        """See `upstream.Sink`."""
        self.head = self._read_head(status, fields)
        if self.head.is_own_word:
            self._owner.on_server_said(
                events.ServerSaid(
                    self._request_id,
                    self.id,
                    self.head.is_leaving,
                    self.head.asked_s,
                    self.head.limit_per_s,
                    self.head.brittle_per_s,
                    self.head.load,
                    status,
                )
            )
        if self.head.kind is dialect.AnswerKind.UNVERIFIED:
            self._fail(events.AttemptResult.SPOILED, "a success without its seal")
        elif not self.is_passed_through:
            self._begin()
            self._record_progress()

    def on_body(self, data: bytes) -> None:
        """See `upstream.Sink`."""
        if self._has_ended:
            return
        try:
            self._meter.add_piece(len(data))
            if self.is_passed_through:
                self._pass_events(data)
            else:
                self._hold(data)
        except errors.AnswerBoundError as exc:
            self._is_over_bound = True
            self._fail(events.AttemptResult.SPOILED, str(exc))

    def _hold(self, data: bytes) -> None:
        self._meter.hold(self._meter.n_bytes)
        self._set_timer(self._stall_timeout_s)
        self._record_progress()
        self.body += data

    def _pass_events(self, data: bytes) -> None:
        complete = self._splitter.feed(data)
        self._meter.hold_event(self._splitter.n_held_bytes)
        self._meter.add_events(complete.n_events)
        if complete.data:
            # Other bytes don't show that the server still works on the request.
            self._set_timer(self._stall_timeout_s)
            self._begin()
            self._record_progress()
            self._record_gap()
            self._n_events += complete.n_events
            self._owner.on_events(self, complete)

    def _record_progress(self) -> None:
        if self._progress.record(self._loop.now_s()):
            self._owner.on_went_on(self)

    def _record_gap(self) -> None:
        now_s = self._loop.now_s()
        if self._n_events:
            self._longest_gap_s = max(self._longest_gap_s, now_s - self._event_s)
        self._event_s = now_s

    def on_end(self, is_end_marked: bool) -> None:
        """See `upstream.Sink`."""
        if self._has_ended:
            return
        self._is_end_marked = is_end_marked
        assert self.head is not None
        if not self.is_passed_through:
            self._report(_RESULT_BY_KIND[self.head.kind])
        elif self._splitter.is_inside_event:
            self._is_disconnected = not is_end_marked
            self._report(events.AttemptResult.LOST, "ended within an event")
        elif not is_end_marked and self._n_events == 0:
            self._is_disconnected = True
            self._report(events.AttemptResult.LOST, "ended before the first event")
        else:
            self._finish_stream()

    def _finish_stream(self) -> None:
        blank_lines = self._splitter.incomplete
        if blank_lines:
            self._owner.on_events(self, event_stream.Events(blank_lines))
        self._report(events.AttemptResult.ANSWERED)

    def on_failed(self, failure: upstream.Failure, detail: str) -> None:
        """See `upstream.Sink`."""
        if self._has_ended:
            return
        not_run_kinds = (dialect.AnswerKind.NOT_RUN, dialect.AnswerKind.MISDIRECTED)
        if self.head is not None and self.head.kind in not_run_kinds:
            self._report(events.AttemptResult.NOT_RUN, detail)
            return
        self._is_over_bound = failure is upstream.Failure.OVER_BOUND
        self._is_silent = failure is upstream.Failure.SILENT
        self._is_disconnected = failure is upstream.Failure.LOST or self._is_silent
        self._report(_RESULT_BY_FAILURE[failure], detail)

    def _begin(self) -> None:
        if not self._has_begun:
            self._has_begun = True
            self._first_s = self._loop.now_s() - self._sent_s
            self._owner.on_begun(self)

    def _fail(self, result: events.AttemptResult, detail: str) -> None:
        if self.conn is not None:
            self.conn.cancel()
        self._report(result, detail)

    def _on_late(self) -> None:
        if not self._has_ended:
            self._owner.on_silent(self)

    def _on_silence_timeout(self) -> None:
        if not self._has_ended:
            self._is_silent = True
            self._fail(events.AttemptResult.LOST, "silent for too long")

    def _report(self, result: events.AttemptResult, detail: str = "") -> None:
        self._end()
        # The connection may be used by another request from now on.
        self.conn = None
        head = self.head
        is_misdirected = (
            head is not None and head.kind is dialect.AnswerKind.MISDIRECTED
        )
        ended = events.AttemptEnded(
            self._request_id,
            self.id,
            result,
            status=head.status if head else 0,
            is_misdirected=is_misdirected,
            load=head.load if head else None,
            retry_after_s=head.retry_after_s if head else None,
            first_s=self._first_s,
            took_s=self._loop.now_s() - self._sent_s,
            n_events=self._n_events,
            detail=detail,
            is_over_bound=self._is_over_bound,
            is_disconnected=self._is_disconnected,
            is_silent=self._is_silent,
            is_end_marked=self._is_end_marked,
            n_incomplete_bytes=len(self._splitter.incomplete),
            limit_per_s=head.limit_per_s if head else None,
            is_server_reached=head is None or head.is_server_reached,
            longest_gap_s=self._longest_gap_s,
        )
        self._owner.on_ended(self, ended)

    def _end(self) -> None:
        self._has_ended = True
        self._meter.release()
        if self._timer is not None:
            self._timer.cancel()

    def _set_timer(self, timeout_s: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_s is not None:
            self._timer = self._loop.after(timeout_s, self._on_silence_timeout)
