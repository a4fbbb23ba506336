"""Answers of a backend server that never end, on our own interface."""

import threading
import time

import pytest

from bilberryridge.decisions import events
from bilberryridge.transport import attempt
from bilberryridge.transport.tests import rig, scripted_backend
from bilberryridge.transport.tests.scripted_backend import STREAM_HEAD, chunk

CHAT = ("POST", "/v1/chat/completions", rig.chat_body())
LOOKUP = ("GET", "/services/desk/stock?item=1", b"")
SENT_FOR_S = 15.0
BLOCK_BYTES = 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

# Name, request, what is sent first, what is repeated without end.
SHAPES = [
    ("head", LOOKUP, HEAD, b"X-Field: x\r\n"),
    ("head line", LOOKUP, HEAD + b"X-Field: ", b"x"),
    ("informational", LOOKUP, b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    ("noise", LOOKUP, b"", b"\0"),
    ("trailers", LOOKUP, CHUNKED_HEAD + b"1\r\n6\r\n0\r\n", b"X-Field: x\r\n"),
    ("chunk extension", LOOKUP, CHUNKED_HEAD + b"1;", b"x"),
    ("body", LOOKUP, CHUNKED_HEAD, chunk(b"x" * 60_000)),
    ("body without length", LOOKUP, HEAD + b"\r\n", b"x"),
    ("error body", LOOKUP, CHUNKED_HEAD.replace(b"200", b"500"), chunk(b"x")),
    ("event", CHAT, STREAM_HEAD, chunk(b"data: " + b"x" * 1_000)),
    ("comments", CHAT, STREAM_HEAD, chunk(b": still here\n\n")),
    ("content", CHAT, STREAM_HEAD, scripted_backend.delta("a" * 60_000)),
]


@pytest.mark.parametrize(
    ("call", "begin", "repeated"),
    [shape[1:] for shape in SHAPES],
    ids=[shape[0] for shape in SHAPES],
)
def test_answer_without_end_is_closed_within_its_bound(call, begin, repeated):
    n_sent = 0
    block = repeated * max(1, BLOCK_BYTES // len(repeated))

    def script(turn):
        nonlocal n_sent
        end_s = time.monotonic() + SENT_FOR_S
        try:
            turn.sock.sendall(begin)
            while time.monotonic() < end_s:
                turn.sock.sendall(block)
                n_sent += len(block)
        finally:
            turn.close()

    def read():
        caller = running.caller()
        caller.send(*call)
        while caller.sock.recv(BLOCK_BYTES):
            pass

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address)
        with rig.open_rig(node) as running:
            thread = threading.Thread(target=read, daemon=True)
            thread.start()
            ended = node.wait_for(events.AttemptEnded)
    assert ended.result is events.AttemptResult.LOST
    assert n_sent < 2 * attempt.MAX_ANSWER_BYTES
