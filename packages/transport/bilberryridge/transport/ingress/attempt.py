"""One attempt of an exchange: takes an answer and tells how it ended."""

from typing import Protocol

from bilberryridge.decisions.ingress import events
from bilberryridge.transport import headers, timers
from bilberryridge.transport.ingress import dialect, event_loop, event_stream, upstream

MAX_HELD_BYTES = 8 << 20
"""Of an answer that is held until it is whole."""
FIRST_ERROR_STATUS = 300

_RESULT_BY_FAILURE = {
    upstream.Failure.NOT_SENT: events.AttemptResult.NOT_SENT,
    upstream.Failure.LOST: events.AttemptResult.LOST,
    upstream.Failure.SPOILED: events.AttemptResult.SPOILED,
}
_RESULT_BY_KIND = {
    dialect.AnswerKind.ANSWER: events.AttemptResult.ANSWERED,
    dialect.AnswerKind.NOT_RUN: events.AttemptResult.NOT_RUN,
    dialect.AnswerKind.MISDIRECTED: events.AttemptResult.NOT_RUN,
    dialect.AnswerKind.UNVERIFIED: events.AttemptResult.SPOILED,
}


class Owner(Protocol):
    """The exchange of an attempt."""

    def is_matching_answer(self, fields: headers.Fields) -> bool:
        """Return whether an answer belongs to the request."""

    def on_begun(self, attempt: "Attempt") -> None:
        """The first bytes of an answer are there."""

    def on_events(self, attempt: "Attempt", data: bytes, last_id: str) -> None:
        """Pass whole events of a stream on."""

    def on_ended(self, attempt: "Attempt", ended: events.AttemptEnded) -> None:
        """Tell the node; for a stream that ended whole the answer is complete."""


class Attempt:
    """A request on its way to one other side.

    Parameters
    ----------
    loop : EventLoop
    owner : Owner
    request_id : str
    id : int
    read_head : Callable
        Decodes the head of the other side's answers.
    is_stream : bool
    first_byte_timeout_s, stall_timeout_s : float or None
        Longest silence before and after the first bytes.
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
        self._has_begun = False
        self._sent_s = loop.now_s()
        self._first_s = 0.0
        self._n_events = 0
        self._is_over = False
        self._timer: timers.Timer | None = None
        self._set_timer(first_byte_timeout_s)

    @property
    def is_passed_through(self) -> bool:
        """Whether its answer is passed on as it comes."""
        head = self.head
        if head is None or not self._is_stream:
            return False
        is_answer = head.kind is dialect.AnswerKind.ANSWER
        return is_answer and head.status < FIRST_ERROR_STATUS

    def cancel(self) -> None:
        """Close; nothing more is told."""
        self._end()
        if self.conn is not None:
            self.conn.cancel()

    def is_matching_answer(self, fields: headers.Fields) -> bool:
        """See `upstream.Sink`."""
        return self._owner.is_matching_answer(fields)

    def on_head(self, status: int, fields: headers.Fields) -> None:
        """See `upstream.Sink`."""
        self.head = self._read_head(status, fields)
        if self.head.kind is dialect.AnswerKind.UNVERIFIED:
            self._fail(events.AttemptResult.SPOILED)
        elif not self.is_passed_through:
            self._begin()

    def on_body(self, data: bytes) -> None:
        """See `upstream.Sink`."""
        if self._is_over:
            return
        self._set_timer(self._stall_timeout_s)
        if not self.is_passed_through:
            self.body += data
            if len(self.body) > MAX_HELD_BYTES:
                self._fail(events.AttemptResult.SPOILED)
            return
        found = self._splitter.feed(data)
        if found.data:
            self._begin()
            self._n_events += found.n_events
            self._owner.on_events(self, found.data, found.last_id)

    def on_end(self) -> None:
        """See `upstream.Sink`."""
        if self._is_over:
            return
        if self.is_passed_through and self._splitter.incomplete:
            # Framed to its end all the same: the last bytes belong to the answer.
            self._owner.on_events(self, self._splitter.incomplete, "")
        assert self.head is not None
        self._report(_RESULT_BY_KIND[self.head.kind])

    def on_failed(self, failure: upstream.Failure, detail: str) -> None:
        """See `upstream.Sink`."""
        if self._is_over:
            return
        refused = (dialect.AnswerKind.NOT_RUN, dialect.AnswerKind.MISDIRECTED)
        if self.head is not None and self.head.kind in refused:
            self._report(events.AttemptResult.NOT_RUN)
            return
        self._report(_RESULT_BY_FAILURE[failure])

    def _begin(self) -> None:
        if not self._has_begun:
            self._has_begun = True
            self._first_s = self._loop.now_s() - self._sent_s
            self._owner.on_begun(self)

    def _fail(self, result: events.AttemptResult) -> None:
        if self.conn is not None:
            self.conn.cancel()
        self._report(result)

    def _on_silence_timeout(self) -> None:
        if not self._is_over:
            self._fail(events.AttemptResult.LOST)

    def _report(self, result: events.AttemptResult) -> None:
        self._end()
        # A kept connection may carry another request by now.
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
        )
        self._owner.on_ended(self, ended)

    def _end(self) -> None:
        self._is_over = True
        if self._timer is not None:
            self._timer.cancel()

    def _set_timer(self, timeout_s: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if timeout_s is not None:
            self._timer = self._loop.after(timeout_s, self._on_silence_timeout)
