"""Connection of one caller, HTTP/1.1 with keep-alive.

Its methods never block: output that the socket doesn't accept at once is buffered,
and `Connection.is_full` asks the source of the answer to pause.
"""

import contextlib
import enum
import selectors
import socket
import struct
import time
from collections.abc import Callable

import h11
from werkzeug import http

from bilberryridge.core import outcomes
from bilberryridge.transport import (
    answers,
    connection_owner,
    errors,
    headers,
    limits,
    output,
    refusals,
    request_reader,
    routes,
    settings,
    timers,
)

READ_BYTES = 65_536
LINGER_S = 1.0
MAX_PIPELINED_BYTES = 65_536
CHUNKED = b"\r\ntransfer-encoding: chunked\r\n"
LENGTH = b"\r\ncontent-length: "
RESET_ON_CLOSE, CLOSE_IN_ORDER = struct.pack("ii", 1, 0), struct.pack("ii", 0, 0)
"""Values of SO_LINGER."""


class Phase(enum.Enum):
    """State of a connection: what it waits for or does."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWERING = "answering"
    DISCARDING = "discarding"
    """The answer was sent before the request's body was read to its end."""
    LINGERING = "lingering"
    CLOSED = "closed"


class Connection:
    """A caller's connection; all methods must be called on its selector's thread.

    Parameters
    ----------
    sock : socket.socket
        Non-blocking; the connection closes it.
    address : str
        IP address of the caller.
    is_relay : bool
        Whether it was accepted on the relay port.
    cfg : settings.EdgeSettings
    selector : selectors.BaseSelector
    timer_queue : timers.TimerQueue
    body_limit : limits.ByteLimit
        Limit on the request bodies of all connections together.
    owner : connection_owner.Owner
    read_head : Callable
        Parses a request's head for the interface that is served.
    read_cfg : Callable or None
        Returns the settings in force, which hold from the next request on; None if
        `cfg` always holds.
    """

    def __init__(
        self,
        sock: socket.socket,
        address: str,
        is_relay: bool,
        cfg: settings.EdgeSettings,
        selector: selectors.BaseSelector,
        timer_queue: timers.TimerQueue,
        body_limit: limits.ByteLimit,
        owner: connection_owner.Owner,
        read_head: request_reader.ReadHead = routes.read_head,
        read_cfg: Callable[[], settings.EdgeSettings] | None = None,
    ):
        self.address = address
        self.is_relay = is_relay
        self.phase = Phase.HEAD
        self._sock = sock
        self._cfg = cfg
        self._read_cfg = read_cfg
        self._selector = selector
        self._timer_queue = timer_queue
        self._owner = owner
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=cfg.max_head_bytes
        )
        self._reader = request_reader.RequestReader(
            self._http, cfg, body_limit, read_head
        )
        self._output = output.OutputBuffer(sock, selector, self, self._on_broken)
        self._timer: timers.Timer | None = None
        self._is_stopping = False
        self._is_answer_finished = False
        self._is_chunked = False
        self._is_end_marked = True
        self._is_aborted = False
        self._is_body_unread = False
        self._is_advancing = False
        selector.register(sock, selectors.EVENT_READ, self)
        self._set_timer(cfg.head_deadline_s, self.close)

    @property
    def is_full(self) -> bool:
        """Whether the caller reads so slowly that the source must pause."""
        return len(self._output) > self._cfg.max_buffered_bytes

    @property
    def has_output(self) -> bool:
        """Whether output for the caller is buffered."""
        return bool(self._output)

    def on_ready(self, _key: selectors.SelectorKey, mask: int) -> None:
        """Handle a readiness event of the socket."""
        if mask & selectors.EVENT_WRITE and self.phase is not Phase.CLOSED:
            self._flush()
        if mask & selectors.EVENT_READ and self.phase is not Phase.CLOSED:
            self._read()

    def answer_early(self) -> None:
        """Let the current request be answered although its body was not read.

        Called within `connection_owner.Owner.on_head`. The body is discarded and the
        connection kept, unless the caller waits to be told to send it: whether it
        still does would not be known.
        """
        if self._http.they_are_waiting_for_100_continue:
            self._is_stopping = True
        self.phase = Phase.ANSWERING
        self._is_body_unread = True
        self._clear_timer()
        self._reader.discard_body()

    def start_answer(self, status: int, fields: headers.Fields) -> None:
        """Send the head of an answer."""
        if self._is_stopping or self.phase is not Phase.ANSWERING:
            fields = (*headers.without(fields, "connection"), ("Connection", "close"))
        reason = http.HTTP_STATUS_CODES.get(status, "")
        answer = h11.Response(
            status_code=status,
            headers=headers.encode(fields),
            reason=reason.encode(),
        )
        head = self._http.send(answer) or b""
        self._is_chunked = CHUNKED in head.lower()
        has_no_body = status in answers.BODILESS_STATUSES
        has_framing = self._is_chunked or LENGTH in head.lower()
        self._is_end_marked = has_framing or has_no_body
        if not self._is_end_marked:
            # An orderly close would end the answer, also if this process is killed.
            self._set_linger(RESET_ON_CLOSE)
        self._write(head)

    def send(self, data: bytes) -> None:
        """Send a non-empty part of the answer's body."""
        if self._is_chunked:
            # Checking each streamed token in h11 would take a third of the edge's time.
            self._write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._write(self._http.send(h11.Data(data=data)) or b"")

    def finish(self) -> None:
        """End the answer; the connection may then serve the next request."""
        self._write(self._http.send(h11.EndOfMessage()) or b"")
        self._is_answer_finished = True
        if not self._output:
            self._finish_cycle()

    def abort(self) -> None:
        """Close without ending the answer, after the buffered output is sent."""
        self._http.send_failed()
        self._is_aborted = True
        self._is_answer_finished = True
        if not self._output:
            self._finish_cycle()

    def stop(self) -> None:
        """Close at once if idle, else after the current answer."""
        self._is_stopping = True
        if self.phase is Phase.IDLE or self._has_received_nothing():
            self.close()

    def close_after_answer(self) -> None:
        """Serve the current or the next request, then close."""
        self._is_stopping = True

    def close(self) -> None:
        """Close at once."""
        if self.phase is Phase.CLOSED:
            return
        self.phase = Phase.CLOSED
        self._clear_timer()
        self._selector.unregister(self._sock)
        self._sock.close()
        self._output.drop()
        self._reader.drop()
        self._owner.on_closed(self)

    def _apply_settings(self) -> None:
        """Let the settings in force hold for the next request."""
        if self._read_cfg is None:
            return
        before, self._cfg = self._cfg, self._read_cfg()
        if self._cfg is before:
            return
        is_between = not self._http.trailing_data[0]
        if is_between and self._cfg.max_head_bytes != before.max_head_bytes:
            self._http = h11.Connection(
                h11.SERVER, max_incomplete_event_size=self._cfg.max_head_bytes
            )
        self._reader.apply_settings(self._http, self._cfg)

    def _has_received_nothing(self) -> bool:
        return self.phase is Phase.HEAD and not self._http.trailing_data[0]

    def _read(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._on_end_of_input()
            return
        if self.phase is Phase.LINGERING:
            return
        if self.phase is Phase.IDLE or self._has_received_nothing():
            self._apply_settings()
        self._http.receive_data(data)
        if self.phase is Phase.IDLE:
            self.phase = Phase.HEAD
            self._set_timer(self._cfg.head_deadline_s, self._on_receive_timeout)
        elif self.phase is Phase.HEAD and self._timer is not None:
            self._timer.replace(self._on_receive_timeout)
        elif self._is_body_unread:
            self._discard()
            return
        elif self.phase is Phase.ANSWERING and self._is_pipelining_too_much():
            self._on_end_of_input()
        self._advance()

    def _is_pipelining_too_much(self) -> bool:
        return len(self._http.trailing_data[0]) > MAX_PIPELINED_BYTES

    def _on_end_of_input(self) -> None:
        if self.phase is Phase.ANSWERING and not self._is_answer_finished:
            self._owner.on_caller_gone(self)
        self.close()

    def _advance(self) -> None:
        """Process the parsed input; errors of the caller are answered here."""
        if self._is_advancing:
            # A request was answered as it was read; the loop below goes on.
            return
        self._is_advancing = True
        try:
            while self.phase in (Phase.HEAD, Phase.BODY) and self._process_next():
                pass
        except errors.BadRequestError as exc:
            self._refuse(exc)
        finally:
            self._is_advancing = False

    def _process_next(self) -> bool:
        """Process the parser's next event; return whether there may be another."""
        step = self._reader.read_next()
        if step is request_reader.Step.HEAD:
            self.phase = Phase.BODY
            self._set_timer(self._cfg.body_deadline_s, self._on_receive_timeout)
            # It may answer at once, which may even begin the next request.
            self._owner.on_head(self, self._reader.head)
        elif step is request_reader.Step.END:
            self._process_end()
        elif step is request_reader.Step.CLOSED:
            self.close()
        elif step is request_reader.Step.MORE_NEEDED:
            self._send_continue()
            return False
        return True

    def _discard(self) -> None:
        """Discard what was received of the body of a request answered early."""
        step = request_reader.Step.BODY
        try:
            while step is request_reader.Step.BODY:
                step = self._reader.read_next()
        except errors.BadRequestError:
            step = request_reader.Step.CLOSED
        if step is request_reader.Step.MORE_NEEDED:
            return
        self._is_body_unread = False
        if step is request_reader.Step.CLOSED:
            self._is_stopping = True
        if self.phase is Phase.DISCARDING:
            self._finish_cycle()

    def _process_end(self) -> None:
        self._clear_timer()
        self.phase = Phase.ANSWERING
        received = self._reader.take_request()
        try:
            self._owner.on_request(self, received)
        except errors.BadRequestError:
            received.reservation.release()
            raise

    def _send_continue(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(interim) or b"")

    def _refuse(self, exc: errors.BadRequestError) -> None:
        outcome = refusals.refusal_outcome(self._reader.fields)
        refusal = outcomes.Refusal(exc.reason, outcome, exc.detail, exc.retry_after_s)
        self._reader.drop()
        self._clear_timer()
        self._owner.on_bad_input(self, refusal)

    def _on_receive_timeout(self) -> None:
        what = "head" if self.phase is Phase.HEAD else "body"
        detail = f"the request's {what} did not come in time"
        self._refuse(errors.BadRequestError(outcomes.Reason.TOO_SLOW, detail))

    def _finish_cycle(self) -> None:
        """After an answer, start the next request or close."""
        self._is_answer_finished = False
        if self._is_body_unread and not self._is_stopping:
            self._discard()
        if self._is_body_unread and not self._is_stopping:
            self.phase = Phase.DISCARDING
            self._set_timer(self._cfg.body_deadline_s, self.close)
            return
        if not self._is_end_marked:
            if self._is_aborted:
                self.close()
                return
            self._set_linger(CLOSE_IN_ORDER)
        states = {self._http.our_state, self._http.their_state}
        if self._is_stopping or states != {h11.DONE}:
            self._linger()
            return
        self._http.start_next_cycle()
        self._reader.begin_next()
        self._apply_settings()
        self.phase = Phase.IDLE
        self._set_timer(self._cfg.idle_deadline_s, self.close)
        if self._http.trailing_data[0]:
            self.phase = Phase.HEAD
            self._set_timer(self._cfg.head_deadline_s, self._on_receive_timeout)
            self._advance()

    def _set_linger(self, option: bytes) -> None:
        # A broken socket is noticed at the next write.
        with contextlib.suppress(OSError):
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def _linger(self) -> None:
        """Discard input for a moment before closing.

        Closing with unread input makes the kernel send a reset, which could destroy
        the answer before the caller reads it.
        """
        self.phase = Phase.LINGERING
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._set_timer(LINGER_S, self.close)

    def _write(self, data: bytes) -> None:
        if self._output.write(data):
            self._set_timer(self._cfg.idle_deadline_s, self._on_end_of_input)

    def _flush(self) -> None:
        was_full = self.is_full
        if self._output.flush():
            self._set_timer(self._cfg.idle_deadline_s, self._on_end_of_input)
        if not self._output:
            self._clear_timer()
            if self._is_answer_finished:
                self._finish_cycle()
                return
        if was_full and not self.is_full:
            self._owner.on_drained(self)

    def _on_broken(self) -> None:
        # Deferred: within a transfer's callback the transfer can't be removed.
        self._timer_queue.at(time.monotonic(), self._on_end_of_input)

    def _set_timer(self, after_s: float, action: timers.Action) -> None:
        self._clear_timer()
        self._timer = self._timer_queue.at(time.monotonic() + after_s, action)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
