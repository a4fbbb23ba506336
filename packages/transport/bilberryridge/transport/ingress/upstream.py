"""Client connections to backend servers, other daemons and the store.

libcurl, which `bilberryridge.transport.attempt` uses, resends a request by itself if a
reused connection turns out to be closed. That is wrong for a request that must run at
most once. Here a request is sent once, and it is known whether any byte of it was sent.

References
----------
RFC 9112, HTTP/1.1.
"""

import array
import collections
import enum
import errno
import fcntl
import selectors
import socket
import termios
from collections.abc import Callable
from typing import Protocol

import h11

from bilberryridge.core import silence
from bilberryridge.transport import answers, headers
from bilberryridge.transport.ingress import event_loop
from bilberryridge.utilities import addresses, untrusted

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.4
"""Covers a one-way delay of at most 0.13 s and one retransmission after 0.2 s."""
USER_TIMEOUT_MS = round(1_000 * silence.LOST_SILENCE_S)
"""Time after which unacknowledged data ends the connection. On Linux it also decides
when keep-alive probes give up."""
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_COUNT = 1, 1, 2
"""TCP keep-alive probes, which detect a dead peer while an answer is awaited."""
MAX_IDLE_S = 10.0
"""Longest idle time of a connection, unless the server states a shorter one."""
IDLE_MARGIN_S = 1.0
"""Subtracted from the idle time that the server states, which it measures itself."""
MAX_SKIPPED_ANSWERS = 3
"""Answers to earlier requests that are skipped before the connection is closed."""
MAX_SKIPPED_BYTES = 1 << 20
"""Bytes of their bodies that are skipped before the connection is closed."""
N_CARRIED = 100
"""Requests of a connection whose ids are remembered; a second attempt follows soon."""
MAX_INFORMATIONAL_ANSWERS = 10
UPLOAD_CHECK_S = 0.02
"""Interval of the question whether the rest of an upload was taken, of which no event
tells."""
MAX_EVENTS_PER_TURN = 100
"""Parts of an answer that are handled before other connections have their turn; one
takes some 20 us."""


class Failure(enum.Enum):
    """Why a request got no complete answer."""

    NOT_SENT = "not sent"
    LOST = "lost"
    SILENT = "silent"
    """The connection ended as nothing was heard of the other side."""
    SPOILED = "spoiled"
    OVER_BOUND = "over bound"
    """More was sent than any answer can have."""


class Match(enum.Enum):
    """Whether an answer belongs to the request that was sent."""

    OWN = "own"
    OTHER = "other"
    UNKNOWN = "unknown"
    """It doesn't say; on a connection with earlier requests it may be one of theirs."""


def _failure_of(exc: OSError) -> Failure:
    return Failure.SILENT if exc.errno == errno.ETIMEDOUT else Failure.LOST


class Sink(Protocol):
    """Receives the answer to one request."""

    def match_answer(self, fields: headers.Fields) -> Match:
        """Return whether an answer with these fields belongs to the request."""

    def on_head(self, status: int, fields: headers.Fields) -> None:
        """Receive the head."""

    def on_body(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_end(self, is_end_marked: bool) -> None:
        """The answer has ended.

        Parameters
        ----------
        is_end_marked : bool
            False if the end of the connection is all that shows the end, which may be
            that of a server that broke the answer off.
        """

    def on_failed(self, failure: Failure, detail: str) -> None:
        """The request failed without a complete answer."""


class ConnectionOwner(Protocol):
    """Keeps idle connections for later requests."""

    def on_idle(self, conn: "Connection") -> None:
        """Keep the connection for the next request."""

    def on_connected(self, conn: "Connection") -> None:
        """The connection was made; nothing has been sent yet."""

    def on_closed(self, conn: "Connection") -> None:
        """Remove a connection; its socket is closed afterwards."""

    def check_process(
        self, conn: "Connection", on_checked: Callable[[bool], None]
    ) -> None:
        """Report whether the process that has ended a connection may still run."""


class Connection:
    """One connection; sends one request at a time.

    Parameters
    ----------
    loop : EventLoop
    address : (str, int)
    owner : ConnectionOwner
        Gets it back after a complete answer.
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        address: addresses.Address,
        owner: ConnectionOwner,
    ):
        self.address = address
        self.idle_since_s = 0.0
        self.max_idle_s = MAX_IDLE_S
        self.is_closed = False
        self.is_established = False
        self.is_ended_in_order = False
        self.is_refused = False
        self._loop = loop
        self._owner = owner
        self._http = h11.Connection(h11.CLIENT)
        self._request: h11.Request | None = None
        self._sink: Sink | None = None
        self._outgoing = bytearray()
        self._has_sent = False
        self._is_connecting = True
        self._is_paused = False
        self._mask = selectors.EVENT_WRITE
        self._n_skipped = 0
        self._n_skipped_bytes = 0
        self._n_informational = 0
        self._n_requests = 0
        self._carried: collections.deque[str] = collections.deque(maxlen=N_CARRIED)
        self._is_skipping = False
        self._is_end_marked = True
        self._is_parsing_later = False
        self._error: OSError | None = None
        self._is_end_checked = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._connect_timer = loop.after(CONNECT_TIMEOUT_S, self._on_connect_timeout)
        self._on_probed: Callable[[bool], None] | None = None
        self._connect()

    def probe(self, on_ended: Callable[[bool], None]) -> None:
        """Report whether it connects; it is idle then."""
        self._on_probed = on_ended

    def has_carried(self, answer_id: str) -> bool:
        """Return whether an earlier request here had an id; see `send_request`."""
        return bool(answer_id) and answer_id in self._carried

    def send_request(
        self,
        method: str,
        target: str,
        fields: headers.Fields,
        body: bytes,
        sink: Sink,
        answer_id: str = "",
    ) -> None:
        """Send a request; its answer goes to the sink.

        An immediate failure is reported after this call has returned.

        Parameters
        ----------
        method, target : str
        fields : headers.Fields
        body : bytes
        sink : Sink
        answer_id : str
            Id that identifies its answer; empty if it has none.
        """
        self._sink = sink
        self._n_requests += 1
        self._carried.append(answer_id)
        self._has_sent = False
        self._n_skipped_bytes = 0
        self._n_informational = 0
        self._request = h11.Request(
            method=method, target=target, headers=headers.encode(fields)
        )
        self._outgoing += self._http.send(self._request) or b""
        if body:
            self._outgoing += self._http.send(h11.Data(data=body)) or b""
        self._outgoing += self._http.send(h11.EndOfMessage()) or b""
        if not self._is_connecting:
            self._loop.after(0.0, self._flush)

    def cancel(self) -> None:
        """Close; the sink gets no further calls."""
        self._sink = None
        self.close()

    def pause(self) -> None:
        """Stop reading while the receiver is slow."""
        self._is_paused = True
        self._watch()

    def resume(self) -> None:
        """Resume reading."""
        if self._is_end_checked:
            return
        self._is_paused = False
        self._watch()

    def is_stale(self) -> bool:
        """Return whether the peer has closed it or sent data without a request."""
        return self._peek() is not None

    def has_ended(self) -> bool:
        """Return whether the peer has closed it."""
        return self._peek() == b""

    def _peek(self) -> bytes | None:
        """Return a byte that can be read, empty at the end; None if there is none."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError as exc:
            # A socket tells an error once; the next read finds an end in order.
            self._error = exc
            return b""

    def close(self) -> None:
        """Close the socket."""
        if self.is_closed:
            return
        self.is_closed = True
        self._connect_timer.cancel()
        self._owner.on_closed(self)
        if self._mask:
            self._loop.selector.unregister(self._sock)
        self._sock.close()

    def on_ready(self, _key: selectors.SelectorKey, mask: int) -> None:
        """Handle a readiness event of the socket."""
        if self.is_closed:
            # Closed by another handler of the same iteration of the loop.
            return
        if self._is_connecting:
            self._on_connected()
            return
        if mask & selectors.EVENT_WRITE and not self.is_closed:
            self._flush()
        if mask & selectors.EVENT_READ and not self.is_closed:
            self._read()

    def _connect(self) -> None:
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        ):
            self._sock.setsockopt(socket.IPPROTO_TCP, option, value)
        self._loop.selector.register(self._sock, self._mask, self)
        try:
            self._sock.connect(self.address)
        except BlockingIOError:
            pass
        except OSError as exc:
            detail = str(exc)
            self.is_refused = exc.errno == errno.ECONNREFUSED
            self._loop.after(0.0, lambda: self._fail(Failure.NOT_SENT, detail))

    def _on_connect_timeout(self) -> None:
        if self._is_connecting:
            self._fail(Failure.NOT_SENT, "no connection within the connect timeout")

    def _on_connected(self) -> None:
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self.is_refused = error == errno.ECONNREFUSED
            self._fail(Failure.NOT_SENT, f"connect failed with errno {error}")
            return
        self._connect_timer.cancel()
        self._is_connecting = False
        self.is_established = True
        self._owner.on_connected(self)
        self._watch()
        self._flush()
        if self._on_probed is not None:
            self._owner.on_idle(self)
            self._end_probe(is_connected=True)

    def _flush(self) -> None:
        if self.is_closed or not self._outgoing:
            return
        try:
            n_sent = self._sock.send(self._outgoing)
        except BlockingIOError:
            n_sent = 0
        except OSError as exc:
            failure = _failure_of(exc) if self._has_sent else Failure.NOT_SENT
            self._fail(failure, str(exc))
            return
        self._has_sent = self._has_sent or n_sent > 0
        del self._outgoing[:n_sent]
        self._watch()

    def _watch(self) -> None:
        if self.is_closed or self._is_connecting:
            return
        is_reading = not (self._is_paused or self._is_parsing_later)
        mask = selectors.EVENT_READ if is_reading else 0
        if self._outgoing:
            mask |= selectors.EVENT_WRITE
        if mask == self._mask:
            return
        if self._mask:
            self._loop.selector.unregister(self._sock)
        if mask:
            self._loop.selector.register(self._sock, mask, self)
        self._mask = mask

    def _read(self) -> None:
        try:
            if self._error is not None:
                raise self._error
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self._fail(_failure_of(exc), str(exc))
            return
        if self._sink is None:
            # No request is open: the peer closed the connection or sent stray data.
            self.close()
            return
        try:
            self._http.receive_data(data)
            self._handle_events()
        except h11.RemoteProtocolError as exc:
            if not data:
                self._fail(Failure.LOST, "connection closed within an answer")
            else:
                self._fail(Failure.SPOILED, str(exc))

    def _handle_events(self) -> None:
        for _ in range(MAX_EVENTS_PER_TURN):
            is_over = self._sink is None or self.is_closed or self._is_end_checked
            if is_over or not self._handle_next():
                return
        if self._sink is not None and not self.is_closed:
            self._is_parsing_later = True
            self._watch()
            self._loop.after(0.0, self._handle_more)

    def _handle_more(self) -> None:
        """Handle what was received and not parsed in the last turn."""
        self._is_parsing_later = False
        if self.is_closed:
            return
        self._watch()
        try:
            self._handle_events()
        except h11.RemoteProtocolError as exc:
            self._fail(Failure.SPOILED, str(exc))

    def _handle_next(self) -> bool:
        """Handle the next part of an answer; return whether there was a whole one."""
        assert self._sink is not None
        event = self._http.next_event()
        if isinstance(event, h11.Response):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._handle_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._handle_end()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(Failure.LOST, "connection closed without an answer")
        elif isinstance(event, h11.InformationalResponse):
            self._n_informational += 1
            if self._n_informational > MAX_INFORMATIONAL_ANSWERS:
                self._fail(Failure.OVER_BOUND, "too many informational answers")
        else:
            return False
        return True

    def _handle_data(self, data: bytes) -> None:
        assert self._sink is not None
        if not self._is_skipping:
            self._sink.on_body(data)
            return
        self._n_skipped_bytes += len(data)
        if self._n_skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail(Failure.OVER_BOUND, "too long an answer to another request")

    def _handle_head(self, event: h11.Response) -> None:
        fields = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        )
        assert self._sink is not None
        match = self._sink.match_answer(fields)
        if match is Match.UNKNOWN and self._n_requests > 1:
            self._fail(Failure.SPOILED, "an answer to an unknown request")
            return
        self._is_skipping = match is Match.OTHER
        if self._is_skipping:
            self._n_skipped += 1
            if self._n_skipped > MAX_SKIPPED_ANSWERS:
                self._fail(Failure.OVER_BOUND, "too many answers to other requests")
            return
        if answers.has_two_lengths(fields):
            self._fail(Failure.SPOILED, "an answer with two lengths")
            return
        self._update_idle_limit(fields)
        assert self._request is not None
        method = self._request.method.decode("latin-1")
        self._is_end_marked = answers.is_end_marked(method, event.status_code, fields)
        self._sink.on_head(event.status_code, fields)

    def _update_idle_limit(self, fields: headers.Fields) -> None:
        for part in headers.find(fields, "keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            stated_s = untrusted.decimal(value)
            if name.lower() == "timeout" and stated_s is not None:
                self.max_idle_s = min(MAX_IDLE_S, max(0.0, stated_s - IDLE_MARGIN_S))

    def _handle_end(self) -> None:
        if self._is_skipping:
            self._skip_answer()
            return
        if not self._is_end_marked and not self._is_end_checked:
            # The connections of a process that is killed end in order as well.
            self.pause()
            self._is_end_checked = True
            self._owner.check_process(self, self._on_process_checked)
            return
        sink, self._sink = self._sink, None
        assert sink is not None
        is_reusable = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self._outgoing
        )
        if is_reusable:
            # The next request's receiver is another.
            self.resume()
            self._http.start_next_cycle()
            self._n_skipped = 0
            self._owner.on_idle(self)
        else:
            self.is_ended_in_order = self._is_end_marked
            self.close()
        sink.on_end(self._is_end_marked)

    def _on_process_checked(self, may_run: bool) -> None:
        if self.is_closed or self._sink is None:
            return
        error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error or self._error is not None:
            # It follows the end of a server that hasn't read the whole request.
            self._fail(Failure.LOST, "reset after the end of the answer")
        elif not may_run:
            self._fail(Failure.LOST, "the answer ended with its server")
        elif self._outgoing or self._n_unacknowledged() > 0:
            # The server goes on to read the request, or resets the connection.
            self._loop.after(UPLOAD_CHECK_S, lambda: self._on_process_checked(True))
        else:
            self._handle_end()

    def _n_unacknowledged(self) -> int:
        """Return how many bytes the peer's system hasn't acknowledged."""
        n_bytes = array.array("i", [0])
        try:
            fcntl.ioctl(self._sock, termios.TIOCOUTQ, n_bytes)
        except OSError:
            # Not every system tells it; a reset is noticed in any case.
            return 0
        return n_bytes[0]

    def _skip_answer(self) -> None:
        """Continue with the next answer: the last belonged to another request."""
        if self._http.their_state is not h11.DONE:
            self._fail(
                Failure.LOST, "connection closed after an answer to another request"
            )
            return
        rest = self._http.trailing_data[0]
        self._is_skipping = False
        self._http = h11.Connection(h11.CLIENT)
        assert self._request is not None
        # Bring the new parser to its state after sending; the request was sent before.
        fields = [(n, v) for n, v in self._request.headers if n != b"content-length"]
        self._http.send(
            h11.Request(
                method=self._request.method, target=self._request.target, headers=fields
            )
        )
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    def _fail(self, failure: Failure, detail: str) -> None:
        sink, self._sink = self._sink, None
        self.close()
        self._end_probe(is_connected=False)
        if sink is not None:
            sink.on_failed(failure, detail)

    def _end_probe(self, is_connected: bool) -> None:
        on_probed, self._on_probed = self._on_probed, None
        if on_probed is not None:
            on_probed(is_connected)
