"""One caller's connection, HTTP/1.1 with keep-alive.

The connection is told what to answer and never waits; what the socket doesn't take at
once is buffered, and `Connection.is_full` asks the source to pause.
"""

import enum
import selectors
import socket
import time
from typing import Protocol

import h11
from werkzeug import http

from bilberryridge.core import outcomes
from bilberryridge.transport import errors, headers, routes, settings, timers

READ_BYTES = 65_536
LINGER_S = 1.0
MAX_PIPELINED_BYTES = 65_536
HEAD_TOO_LARGE = 431
CHUNKED = b"\r\ntransfer-encoding: chunked\r\n"


class Phase(enum.Enum):
    """What a connection is waiting for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWERING = "answering"
    LINGERING = "lingering"
    CLOSED = "closed"


class Owner(Protocol):
    """What a connection tells the one that answers."""

    def on_head(self, conn: "Connection", head: routes.Head) -> None:
        """Look at a head before its body; raises `errors.BadRequestError`."""

    def on_request(self, conn: "Connection", head: routes.Head, body: bytes) -> None:
        """Take a whole request; raises `errors.BadRequestError`."""

    def on_bad_input(self, conn: "Connection", refusal: outcomes.Refusal) -> None:
        """Refuse what is no request; the connection is answered and ends."""

    def on_gone(self, conn: "Connection") -> None:
        """Give up the open request: nobody reads its answer."""

    def on_drained(self, conn: "Connection") -> None:
        """Go on after `Connection.is_full`."""

    def on_closed(self, conn: "Connection") -> None:
        """Forget the connection."""


class Connection:
    """A caller's connection; all methods are for the edge's thread.

    Parameters
    ----------
    sock : socket.socket
        Not blocking; owned from here on.
    address : str
        Of the caller.
    is_relay : bool
        Whether it came in on the relay port.
    """

    def __init__(
        self,
        sock: socket.socket,
        address: str,
        is_relay: bool,
        cfg: settings.EdgeSettings,
        selector: selectors.BaseSelector,
        alarms: timers.Timers,
        owner: Owner,
    ):
        self.address = address
        self.is_relay = is_relay
        self.phase = Phase.HEAD
        self._sock = sock
        self._cfg = cfg
        self._selector = selector
        self._alarms = alarms
        self._owner = owner
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=cfg.max_head_bytes
        )
        self._out = bytearray()
        self._body = bytearray()
        self._head: routes.Head | None = None
        self._alarm: timers.Timer | None = None
        self._is_stopping = False
        self._is_finished = False
        self._is_chunked = False
        self._is_watching_writes = False
        self._is_broken = False
        selector.register(sock, selectors.EVENT_READ, self)
        self._set_alarm(cfg.head_deadline_s, self._on_silent)

    @property
    def is_full(self) -> bool:
        """Whether the caller reads so slowly that the source must pause."""
        return len(self._out) > self._cfg.max_buffered_bytes

    @property
    def has_output(self) -> bool:
        """Whether bytes wait for the caller."""
        return bool(self._out)

    def on_ready(self, _key: selectors.SelectorKey, mask: int) -> None:
        """Go on with the socket."""
        if mask & selectors.EVENT_WRITE and self.phase is not Phase.CLOSED:
            self._flush()
        if mask & selectors.EVENT_READ and self.phase is not Phase.CLOSED:
            self._read()

    def start_answer(self, status: int, fields: headers.Fields) -> None:
        """Send the head of an answer."""
        if self._is_stopping or self.phase is not Phase.ANSWERING:
            fields = (*headers.without(fields, "connection"), ("Connection", "close"))
        reason = http.HTTP_STATUS_CODES.get(status, "")
        answer = h11.Response(
            status_code=status, headers=list(fields), reason=reason.encode()
        )
        head = self._http.send(answer) or b""
        self._is_chunked = CHUNKED in head.lower()
        self._write(head)

    def send(self, data: bytes) -> None:
        """Send a part of the answer's body; not empty."""
        if self._is_chunked:
            # For each token h11's checks would cost a third of the edge's time.
            self._write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._write(self._http.send(h11.Data(data=data)) or b"")

    def finish(self) -> None:
        """End the answer; the connection may take the next request."""
        self._write(self._http.send(h11.EndOfMessage()) or b"")
        self._is_finished = True
        if not self._out:
            self._go_on()

    def cut(self) -> None:
        """Close without the answer's end, once what was sent is through."""
        self._http.send_failed()
        self._is_finished = True
        if not self._out:
            self._go_on()

    def stop(self) -> None:
        """Close now if idle, else after the answer."""
        self._is_stopping = True
        if self.phase is Phase.IDLE or self._is_untouched():
            self.close()

    def close(self) -> None:
        """Close at once."""
        if self.phase is Phase.CLOSED:
            return
        self.phase = Phase.CLOSED
        self._clear_alarm()
        self._selector.unregister(self._sock)
        self._sock.close()
        self._out.clear()
        self._owner.on_closed(self)

    def _is_untouched(self) -> bool:
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
        self._http.receive_data(data)
        if self.phase is Phase.IDLE:
            self.phase = Phase.HEAD
            self._set_alarm(self._cfg.head_deadline_s, self._on_slow)
        elif self.phase is Phase.HEAD and self._alarm is not None:
            self._alarm.replace(self._on_slow)
        elif self.phase is Phase.ANSWERING:
            self._bound_pipelined()
        self._advance()

    def _on_end_of_input(self) -> None:
        if self.phase is Phase.ANSWERING and not self._is_finished:
            self._owner.on_gone(self)
        self.close()

    def _bound_pipelined(self) -> None:
        if len(self._http.trailing_data[0]) > MAX_PIPELINED_BYTES:
            self._on_end_of_input()

    def _advance(self) -> None:
        """Take what the parser has; every fault of the caller ends here."""
        try:
            while self.phase in (Phase.HEAD, Phase.BODY) and self._take_next():
                pass
        except h11.RemoteProtocolError as exc:
            self._refuse(_reason_of(exc), str(exc))
        except errors.BadRequestError as exc:
            self._refuse(exc.reason, exc.detail)

    def _take_next(self) -> bool:
        """Take one event; return whether there may be another."""
        event = self._http.next_event()
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._take_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._take_end()
        elif isinstance(event, h11.ConnectionClosed):
            self.close()
        else:
            self._invite_body()
            return False
        return True

    def _take_head(self, event: h11.Request) -> None:
        fields = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        )
        is_chunked = headers.find(fields, "transfer-encoding")
        length = headers.find(fields, "content-length")
        if is_chunked and length:
            raise errors.BadRequestError(
                outcomes.Reason.BAD_REQUEST, "the body has two lengths"
            )
        if length and int(length) > self._cfg.max_body_bytes:
            self._raise_too_large()
        target = event.target.decode("latin-1")
        self._head = routes.read_head(event.method.decode(), target, fields)
        self._owner.on_head(self, self._head)
        self.phase = Phase.BODY
        self._set_alarm(self._cfg.body_deadline_s, self._on_slow)

    def _take_body(self, data: bytes) -> None:
        if len(self._body) + len(data) > self._cfg.max_body_bytes:
            self._raise_too_large()
        self._body += data

    def _raise_too_large(self) -> None:
        detail = f"the body is over {self._cfg.max_body_bytes} bytes"
        raise errors.BadRequestError(outcomes.Reason.TOO_LARGE, detail)

    def _take_end(self) -> None:
        body, self._body = bytes(self._body), bytearray()
        self._clear_alarm()
        self.phase = Phase.ANSWERING
        assert self._head is not None
        self._owner.on_request(self, self._head, body)

    def _invite_body(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(go_on) or b"")

    def _refuse(self, reason: outcomes.Reason, detail: str) -> None:
        refusal = outcomes.Refusal(reason, outcomes.Outcome.NOT_RUN, detail)
        self._clear_alarm()
        self._owner.on_bad_input(self, refusal)

    def _on_silent(self) -> None:
        self.close()

    def _on_slow(self) -> None:
        what = "head" if self.phase is Phase.HEAD else "body"
        self._refuse(
            outcomes.Reason.TOO_SLOW, f"the request's {what} did not come in time"
        )

    def _go_on(self) -> None:
        """After an answer: the next request, or the end."""
        self._is_finished = False
        if self._is_stopping or self._http.our_state is not h11.DONE:
            self._linger()
            return
        if self._http.their_state is not h11.DONE:
            self._linger()
            return
        self._http.start_next_cycle()
        self.phase = Phase.IDLE
        self._set_alarm(self._cfg.idle_deadline_s, self.close)
        if self._http.trailing_data[0]:
            self.phase = Phase.HEAD
            self._set_alarm(self._cfg.head_deadline_s, self._on_slow)
            self._advance()

    def _linger(self) -> None:
        """Read on for a moment: closing with unread input would reset the answer."""
        self.phase = Phase.LINGERING
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._set_alarm(LINGER_S, self.close)

    def _write(self, data: bytes) -> None:
        if self._out:
            self._out += data
            return
        n_sent = self._send_some(data)
        if n_sent < len(data):
            self._out += data[n_sent:]
            self._watch_writes(True)
            self._set_alarm(self._cfg.idle_deadline_s, self._on_stuck)

    def _send_some(self, data: bytes | bytearray) -> int:
        if self._is_broken or self.phase is Phase.CLOSED:
            return len(data)
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            # This may run inside a transfer's callback, where it can't be removed.
            self._is_broken = True
            self._alarms.at(time.monotonic(), self._on_end_of_input)
            return len(data)

    def _flush(self) -> None:
        was_full = self.is_full
        n_sent = self._send_some(self._out)
        del self._out[:n_sent]
        if n_sent:
            self._set_alarm(self._cfg.idle_deadline_s, self._on_stuck)
        if not self._out:
            self._clear_alarm()
            self._watch_writes(False)
            if self._is_finished:
                self._go_on()
                return
        if was_full and not self.is_full:
            self._owner.on_drained(self)

    def _on_stuck(self) -> None:
        self._on_end_of_input()

    def _watch_writes(self, is_wanted: bool) -> None:
        if is_wanted == self._is_watching_writes or self.phase is Phase.CLOSED:
            return
        self._is_watching_writes = is_wanted
        mask = selectors.EVENT_READ
        if is_wanted:
            mask |= selectors.EVENT_WRITE
        self._selector.modify(self._sock, mask, self)

    def _set_alarm(self, after_s: float, action: timers.Action) -> None:
        self._clear_alarm()
        self._alarm = self._alarms.at(time.monotonic() + after_s, action)

    def _clear_alarm(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None


def _reason_of(exc: h11.RemoteProtocolError) -> outcomes.Reason:
    if exc.error_status_hint == HEAD_TOO_LARGE:
        return outcomes.Reason.TOO_LARGE
    return outcomes.Reason.BAD_REQUEST
