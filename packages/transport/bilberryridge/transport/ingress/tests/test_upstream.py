"""Answers of servers that send without end, over real sockets."""

import contextlib
import socket
import struct
import threading

import pytest

from bilberryridge.core import silence
from bilberryridge.transport.ingress import connection_pool, event_loop, upstream

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OTHERS_ANSWER = HEAD + b"Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "head without an end": (HEAD, b"X-Field: " + b"x" * 100 + b"\r\n"),
    "field without an end": (HEAD + b"X: ", b"x" * 1000),
    "status line without an end": (b"HTTP/1.1 200 ", b"x" * 1000),
    "no answer": (b"", b"\x00" * 1000),
    "chunk extension": (CHUNKED + b"5;", b"x" * 1000),
    "trailers": (CHUNKED + b"0\r\n", b"X-Field: " + b"x" * 100 + b"\r\n"),
    "informational": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "another answer": (OTHERS_ANSWER, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "other answers": (b"", HEAD + b"Id: other\r\nContent-Length: 1\r\n\r\nx"),
}
GENEROUS_S = 20.0
MAX_SENT_BYTES = 8 << 20
"""Beyond the bounds, this may stand in the buffers of the sockets."""


def test_connection_outlives_the_silence_of_a_sound_server():
    with (
        event_loop.open_loop() as loop,
        socket.create_server(("127.0.0.1", 0)) as listener,
    ):
        pool = connection_pool.Pool(loop)
        fields = (("Host", "h"),)
        address = listener.getsockname()
        conn = pool.send_request(address, "GET", "/", fields, b"", Sink())
        user_timeout_ms, idle_s, interval_s, n_probes = (
            conn._sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_USER_TIMEOUT,
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
            )
        )
        pool.close()
    assert user_timeout_ms > 1_000 * silence.SOUND_SILENCE_S
    assert idle_s + n_probes * interval_s > silence.SOUND_SILENCE_S


class Sink:
    def __init__(self):
        self.pieces = []
        self.failure = None
        self.is_complete = False

    def match_answer(self, fields):
        is_other = ("id", "other") in [(n.lower(), v) for n, v in fields]
        return upstream.Match.OTHER if is_other else upstream.Match.OWN

    def on_head(self, status, fields):
        self.status = status

    def on_body(self, data):
        self.pieces.append(data)

    def on_end(self, is_end_marked):
        self.is_complete = True

    def on_failed(self, failure, detail):
        self.failure = failure


@contextlib.contextmanager
def open_server(first, repeated):
    """Send bytes without end to each connection; yield address and bytes sent."""
    n_sent = []

    def serve(listener):
        with contextlib.suppress(OSError):
            sock, _ = listener.accept()
            sock.recv(65_536)
            sock.sendall(first)
            block = repeated * max(1, 65_536 // max(1, len(repeated)))
            while sum(n_sent) < 64 << 20 and repeated:
                n_sent.append(sock.send(block))
            sock.close()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=serve, args=(listener,), daemon=True).start()
        yield listener.getsockname(), n_sent


def request(loop, address):
    sink = Sink()
    pool = connection_pool.Pool(loop)
    conn = pool.send_request(address, "GET", "/x", (("Host", "h"),), b"", sink)
    end_s = loop.now_s() + GENEROUS_S
    while sink.failure is None and not sink.is_complete and loop.now_s() < end_s:
        loop.run_once()
    return sink, conn


@pytest.mark.parametrize("shape", sorted(ENDLESS))
def test_endless_bytes_close_the_connection(shape):
    with (
        open_server(*ENDLESS[shape]) as (address, n_sent),
        event_loop.open_loop() as lp,
    ):
        sink, conn = request(lp, address)
        assert sink.failure in (upstream.Failure.SPOILED, upstream.Failure.OVER_BOUND)
        assert conn.is_closed
        assert sum(n_sent) < MAX_SENT_BYTES


def test_parts_of_an_answer_leave_turns_to_other_connections():
    answer = CHUNKED + b"1\r\nx\r\n" * 2_000 + b"0\r\n\r\n"
    turns = []
    with open_server(answer, b"") as (address, _), event_loop.open_loop() as loop:
        loop.every(0.0, lambda: turns.append(1))
        sink, _ = request(loop, address)
    assert sink.is_complete
    assert b"".join(sink.pieces) == b"x" * 2_000
    assert len(turns) >= 2_000 / upstream.MAX_EVENTS_PER_TURN


class SlowSink(Sink):
    """Pauses the connection with each piece, as a slow caller makes it."""

    def on_body(self, data):
        super().on_body(data)
        self.conn.pause()


def test_issue_45_connection_paused_at_an_answers_end_serves_the_next_request():
    answer = HEAD + b"Content-Length: 2\r\n\r\nok"

    def serve(listener):
        sock, _ = listener.accept()
        with sock, contextlib.suppress(OSError):
            while sock.recv(65_536):
                sock.sendall(answer)

    with (
        event_loop.open_loop() as loop,
        socket.create_server(("127.0.0.1", 0)) as listener,
    ):
        threading.Thread(target=serve, args=(listener,), daemon=True).start()
        pool = connection_pool.Pool(loop)
        conns = []
        for _ in range(2):
            sink = SlowSink()
            fields = (("Host", "h"),)
            address = listener.getsockname()
            sink.conn = pool.send_request(address, "GET", "/", fields, b"", sink)
            conns.append(sink.conn)
            end_s = loop.now_s() + 2.0
            while not sink.is_complete and loop.now_s() < end_s:
                loop.run_once()
            assert sink.is_complete
        pool.close()
    assert conns[0] is conns[1]


def reset(sock):
    """Close a connection by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def run_until(loop, condition):
    end_s = loop.now_s() + 2.0
    while not condition():
        assert loop.now_s() < end_s
        loop.run_once()


@pytest.mark.parametrize("framing", [b"", b"Content-Length: 8\r\n"])
def test_issue_61_reset_is_no_end_after_another_connection_was_made(framing):
    # The check of the other connections took the error, and the next read found an end.
    sink = Sink()
    with (
        event_loop.open_loop() as loop,
        socket.create_server(("127.0.0.1", 0)) as listener,
    ):
        pool = connection_pool.Pool(loop)
        address = listener.getsockname()
        pool.send_request(address, "GET", "/", (("Host", "h"),), b"", sink)
        sock, _ = listener.accept()
        loop.run_once()
        sock.recv(65_536)
        sock.sendall(HEAD + framing + b"\r\npart")
        run_until(loop, lambda: sink.pieces)
        # A turn without a part of the answer; else its connection would be first.
        turns = []
        loop.after(0.01, lambda: turns.append(1))
        run_until(loop, lambda: turns)
        probed = []
        pool.probe(address, probed.append)
        reset(sock)
        run_until(loop, lambda: probed and (sink.failure or sink.is_complete))
        pool.close()
    assert sink.failure is upstream.Failure.LOST
    assert not sink.is_complete


@contextlib.contextmanager
def open_unframed_answer(body=b""):
    """Yield loop, pool, listener, the server's socket and the sink of its answer."""
    sink = Sink()
    with (
        event_loop.open_loop() as loop,
        socket.create_server(("127.0.0.1", 0)) as listener,
    ):
        pool = connection_pool.Pool(loop)
        fields = (("Host", "h"), ("Content-Length", str(len(body))))
        address = listener.getsockname()
        pool.send_request(address, "POST", "/", fields, body, sink)
        sock, _ = listener.accept()
        with sock:
            loop.run_once()
            sock.sendall(HEAD + b"\r\npart")
            run_until(loop, lambda: sink.pieces)
            yield loop, pool, listener, sock, sink
        pool.close()


def wait_for_end(loop, sink):
    run_until(loop, lambda: sink.failure or sink.is_complete)


def test_issue_61_answer_that_ends_with_its_server_is_lost():
    with open_unframed_answer() as (loop, _, listener, sock, sink):
        # Unread bytes would make its end a reset.
        sock.recv(65_536)
        listener.close()
        sock.close()
        wait_for_end(loop, sink)
    assert sink.failure is upstream.Failure.LOST


def test_answer_that_ends_before_its_server_is_complete():
    with open_unframed_answer() as (loop, _, _, sock, sink):
        sock.recv(65_536)
        sock.close()
        wait_for_end(loop, sink)
    assert sink.is_complete


def test_answer_is_complete_where_only_new_connections_are_refused():
    with open_unframed_answer() as (loop, pool, listener, sock, sink):
        probed = []
        pool.probe(listener.getsockname(), probed.append)
        run_until(loop, lambda: probed)
        other, _ = listener.accept()
        with other:
            listener.close()
            sock.recv(65_536)
            sock.close()
            wait_for_end(loop, sink)
    assert sink.is_complete


def test_issue_61_answer_is_lost_where_a_reset_follows_the_end():
    with open_unframed_answer(b"b" * (16 << 20)) as (loop, _, _, sock, sink):
        # The end comes first, and the rest of the body is answered by a reset.
        sock.shutdown(socket.SHUT_WR)
        loop.run_once()
        reset(sock)
        wait_for_end(loop, sink)
    assert sink.failure is upstream.Failure.LOST
