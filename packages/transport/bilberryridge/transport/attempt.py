"""One attempt of a request: a libcurl transfer whose answer goes to an exchange."""

import time
from typing import Protocol

import pycurl

from bilberryridge.core import outcomes
from bilberryridge.decisions import effects, events
from bilberryridge.transport import (
    answers,
    attempt_results,
    completeness,
    exchange,
    headers,
    outgoing,
    timers,
)
from bilberryridge.utilities import transfers

MAX_STORED_BODY_BYTES = 16_384
MAX_ANSWER_BYTES = 64 << 20
"""Size limit of the body of an answer; a faulty server may send without end."""
EVENT_STREAM = "text/event-stream"
OK = 200
FIRST_ERROR = 300
ABORT_TRANSFER = -1
"""Return value of a callback on which libcurl aborts the transfer and closes its
connection."""


class Owner(Protocol):
    """Callbacks of an attempt."""

    def on_committed(self, current: "Attempt", waited_s: float) -> None:
        """The answer is committed; `waited_s` is the time since the start."""

    def on_paused(self, current: "Attempt") -> None:
        """The attempt is paused because the caller reads too slowly."""

    def on_ended(self, current: "Attempt", ended: events.AttemptEnded) -> None:
        """The attempt has ended; called once, and never after `Attempt.abandon`."""


class Attempt:
    """An attempt, from its start to its report in `Owner.on_ended`.

    Parameters
    ----------
    effect : effects.SendAttempt
    outgoing_req : outgoing.OutgoingRequest
    ex : exchange.Exchange
        Receives the answer.
    max_held_bytes : int
        Largest part of an answer that is held back before it is committed.
    pool : transfers.Transfers
    timer_queue : timers.TimerQueue
    owner : Owner
    """

    def __init__(
        self,
        effect: effects.SendAttempt,
        outgoing_req: outgoing.OutgoingRequest,
        ex: exchange.Exchange,
        max_held_bytes: int,
        pool: transfers.Transfers,
        timer_queue: timers.TimerQueue,
        owner: Owner,
    ):
        self.effect = effect
        self.exchange = ex
        self.is_paused = False
        self._outgoing_req = outgoing_req
        self._max_held_bytes = max_held_bytes
        self._pool = pool
        self._timer_queue = timer_queue
        self._owner = owner
        self._head = answers.AnswerHead()
        self._stream: completeness.EventStream | None = None
        self._held = bytearray()
        self._has_body = False
        self._n_bytes = 0
        self._may_have_been_sent = False
        self._is_crossed = False
        self._is_timed_out = False
        self._is_committed = False
        self._started_s = time.monotonic()
        self._curl = outgoing.make_curl(outgoing_req)
        self._curl.setopt(pycurl.PREREQFUNCTION, self._on_prereq)
        self._curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        self._curl.setopt(pycurl.WRITEFUNCTION, self._on_body)
        self._first_byte_timer = timer_queue.at(
            outgoing_req.first_byte_deadline_s, self._on_first_byte_late
        )

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events that ends with a marker."""
        return self._stream is not None

    def start(self) -> None:
        """Send the request."""
        self._pool.add(self._curl, self._on_done)

    def resume(self) -> None:
        """Resume after a pause."""
        if self.is_paused:
            self.is_paused = False
            self._pool.resume(self._curl)

    def abandon(self) -> None:
        """Abort the attempt and close its connection without a report."""
        self._first_byte_timer.cancel()
        self._pool.remove(self._curl)

    def _on_prereq(self, *_addresses: object) -> int:
        """Check the deadline right before the first byte is sent.

        A second call for an at-most-once request is a retry of libcurl; abort it.
        """
        is_second = self._may_have_been_sent and self._outgoing_req.is_at_most_once
        if is_second or time.monotonic() >= self._outgoing_req.deadline_s:
            self._is_timed_out = not is_second
            return pycurl.PREREQFUNC_ABORT
        self._may_have_been_sent = True
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: bytes) -> int | None:
        self._head.feed(line)
        if not self._head.is_complete or self._has_body:
            return None
        echoed = self._head.find(headers.REQUEST_ID)
        if echoed and echoed != self.effect.request_id:
            self._is_crossed = True
            return ABORT_TRANSFER
        return None

    def _on_body(self, chunk: bytes) -> int | None:
        if self._is_committed:
            if self.exchange.is_full:
                self.is_paused = True
                self._owner.on_paused(self)
                return pycurl.WRITEFUNC_PAUSE
            self._n_bytes += len(chunk)
            if self._n_bytes > MAX_ANSWER_BYTES:
                return ABORT_TRANSFER
            if self._stream is not None:
                chunk = self._stream.feed(chunk)
            self.exchange.pass_on(chunk)
            return None
        if not self._has_body:
            self._on_first_byte()
        return self._hold_back(chunk)

    def _on_first_byte(self) -> None:
        self._has_body = True
        self._first_byte_timer.cancel()
        is_events = self._head.find("content-type").lower().startswith(EVENT_STREAM)
        if self.exchange.is_streamed and is_events and self._head.status == OK:
            self._stream = completeness.EventStream(self.effect.has_content)

    def _hold_back(self, chunk: bytes) -> int | None:
        """Hold the answer back until it can be committed."""
        if self._stream is not None:
            self._held += self._stream.feed(chunk)
            if self._stream.is_begun:
                self._commit()
                return None
        else:
            self._held += chunk
        if len(self._held) <= self._max_held_bytes:
            return None
        if self._stream is not None or attempt_results.is_failure(self._head.status):
            return ABORT_TRANSFER
        self._commit()
        return None

    def _commit(self) -> None:
        fields = headers.forwarded_answer_fields(
            self._head.fields, self._is_from_daemon
        )
        if self._stream is not None:
            fields = headers.without(fields, exchange.LENGTH)
        self._is_committed = True
        self._owner.on_committed(self, time.monotonic() - self._started_s)
        self.exchange.begin(self._head.status, fields)
        self.exchange.pass_on(bytes(self._held))
        self._held.clear()

    @property
    def _is_from_daemon(self) -> bool:
        return self.effect.envelope is not None

    def _on_first_byte_late(self) -> None:
        self._pool.remove(self._curl)
        self._is_timed_out = True
        self._end(is_complete=False)

    def _on_done(self, _curl: pycurl.Curl, errno: int, _text: str) -> None:
        self._first_byte_timer.cancel()
        if self._stream is not None:
            is_complete = self._stream.is_ended
        else:
            is_complete = errno == 0 and answers.is_end_marked(
                self._outgoing_req.method, self._head.status, self._head.fields
            )
        if errno == pycurl.E_OPERATION_TIMEDOUT and not is_complete:
            self._is_timed_out = True
        if self._end(is_complete) not in attempt_results.COMPLETE_ANSWERS:
            outgoing.shut_down_connection(self._curl)

    def _end(self, is_complete: bool) -> events.AttemptResult:
        result = attempt_results.classify(self._observations(is_complete))
        answer = None
        if self._is_committed:
            self._end_committed(result)
        elif self._head.is_complete and is_complete and not self._is_crossed:
            answer = self._end_held(result)
        is_stored = (
            self.effect.is_at_most_once and result is events.AttemptResult.COMPLETE
        )
        ended = events.AttemptEnded(
            request_id=self.effect.request_id,
            attempt=self.effect.attempt,
            result=result,
            status=self._head.status,
            is_committed=self.exchange.is_committed,
            retry_after_s=answers.retry_after_s(self._head.find(headers.RETRY_AFTER)),
            answer=self._stored_answer(answer) if is_stored else None,
            n_output_tokens=self._n_output_tokens(),
        )
        self._owner.on_ended(self, ended)
        return result

    def _end_committed(self, result: events.AttemptResult) -> None:
        if result is events.AttemptResult.COMPLETE:
            self.exchange.finish()
            return
        stream = self._stream
        refusal = outcomes.Refusal(
            outcomes.Reason.ANSWER_LOST,
            outcomes.Outcome.UNKNOWN,
            "the answer was cut on its way",
        )
        has_reported_error = (
            self._is_from_daemon and stream is not None and stream.is_refused
        )
        self.exchange.abort(refusal, stream is not None and not has_reported_error)

    def _end_held(self, result: events.AttemptResult) -> events.StoredAnswer:
        """Send the complete answer, or hold a failure until the node decides."""
        fields = headers.forwarded_answer_fields(
            self._head.fields, self._is_from_daemon
        )
        answer = events.StoredAnswer(self._head.status, fields, bytes(self._held))
        if result is events.AttemptResult.COMPLETE:
            self._owner.on_committed(self, time.monotonic() - self._started_s)
            self.exchange.answer(answer.status, answer.headers, answer.body)
        elif result in (events.AttemptResult.FAILED, events.AttemptResult.REFUSED):
            self.exchange.held_answer = answer
        return answer

    def _stored_answer(self, answer: events.StoredAnswer | None) -> events.StoredAnswer:
        """The answer as stored for retries, without a body that is too large."""
        if answer is None:
            fields = headers.forwarded_answer_fields(
                self._head.fields, self._is_from_daemon
            )
            answer = events.StoredAnswer(self._head.status, fields, b"")
        elif len(answer.body) <= MAX_STORED_BODY_BYTES:
            fields = headers.without(answer.headers, exchange.LENGTH)
            return events.StoredAnswer(answer.status, fields, answer.body)
        fields = headers.without(answer.headers, exchange.LENGTH)
        fields = (*fields, (headers.BODY_KEPT, "no"))
        return events.StoredAnswer(answer.status, fields, b"")

    def _observations(self, is_complete: bool) -> attempt_results.AttemptObservations:
        return attempt_results.AttemptObservations(
            may_have_been_sent=self._may_have_been_sent,
            is_timed_out=self._is_timed_out,
            is_caller_slow=self.is_paused or self.exchange.is_full,
            is_crossed=self._is_crossed,
            is_complete=is_complete,
            is_blank=self._is_blank(),
            status=self._head.status,
            outcome=self._head.find(headers.OUTCOME),
            is_from_daemon=self._is_from_daemon,
            is_at_most_once=self.effect.is_at_most_once,
        )

    def _is_blank(self) -> bool:
        if not self.effect.has_content or self._is_committed:
            return False
        if self._outgoing_req.method == "HEAD" or self._head.status >= FIRST_ERROR:
            return False
        if self._stream is not None:
            return not self._stream.is_begun
        return completeness.is_blank(self._held, self.exchange.is_model)

    def _n_output_tokens(self) -> int:
        if self._stream is not None:
            return self._stream.n_events
        if self.exchange.is_model and self._held:
            return completeness.n_tokens(self._held)
        return 0
