"""Results of attempts for each fault of a backend server.

A scripted backend server produces the fault and counts requests; the answer is checked
at the caller.
"""

import json
import socket
import threading

import pytest

from bilberryridge.decisions import effects, events
from bilberryridge.transport.tests import rig, scripted_backend
from bilberryridge.transport.tests.scripted_backend import (
    DONE,
    LAST_CHUNK,
    STREAM_HEAD,
    delta,
    event,
    plain,
)

RESULT = events.AttemptResult
CHAT = ("POST", "/v1/chat/completions", rig.chat_body())
PLAIN_CHAT = ("POST", "/v1/chat/completions", rig.chat_body(is_streamed=False))
AT_MOST_ONCE = ("POST", "/services/desk/book", b"maples")
LOOKUP = ("GET", "/services/desk/stock?item=1", b"")

BLANK_CHAT = json.dumps({"choices": [{"message": {"role": "assistant"}}]}).encode()
GOOD_CHAT = json.dumps({"choices": [{"message": {"content": "six"}}]}).encode()
ROLE = event('{"choices":[{"delta":{"role":"assistant","content":""}}]}')
OTHER_ID = b"X-Request-Id: of-another\r\n"
OWN_ERROR = scripted_backend.chunk(b"event: error\ndata: maples\n\n")
OVER_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsix"

# Name, request, whether it is at-most-once, bytes that the server sends before closing,
# result, status at the caller, whether the caller gets a complete answer.
FAULTS = [
    ("whole lookup", LOOKUP, False, plain(b"6"), RESULT.COMPLETE, 200, True),
    ("whole chat", PLAIN_CHAT, False, plain(GOOD_CHAT), RESULT.COMPLETE, 200, True),
    ("client error", LOOKUP, False, plain(b"no", 404), RESULT.COMPLETE, 404, True),
    ("blank lookup", LOOKUP, False, plain(b" "), RESULT.LOST, 502, True),
    ("empty lookup", LOOKUP, False, plain(b""), RESULT.LOST, 502, True),
    ("blank chat", PLAIN_CHAT, False, plain(BLANK_CHAT), RESULT.LOST, 502, True),
    ("short body", LOOKUP, False, OVER_ANSWER, RESULT.LOST, 502, True),
    ("no answer", LOOKUP, False, b"", RESULT.LOST, 502, True),
    ("no length", LOOKUP, False, b"HTTP/1.1 200 OK\r\n\r\n6", RESULT.LOST, 502, True),
    ("no HTTP", LOOKUP, False, b"six\r\n\r\n", RESULT.LOST, 502, True),
    ("crossed", LOOKUP, False, plain(b"6", 200, OTHER_ID), RESULT.LOST, 502, True),
    ("full", LOOKUP, False, plain(b"", 503), RESULT.REFUSED, 503, True),
    ("failed", LOOKUP, False, plain(b"oh", 500), RESULT.FAILED, 500, True),
    ("once: whole", AT_MOST_ONCE, True, plain(b"booked"), RESULT.COMPLETE, 200, True),
    ("once: full", AT_MOST_ONCE, True, plain(b"", 503), RESULT.FAILED, 503, True),
    ("once: 429", AT_MOST_ONCE, True, plain(b"", 429), RESULT.FAILED, 429, True),
    ("once: no answer", AT_MOST_ONCE, True, b"", RESULT.LOST, 502, True),
    ("once: short", AT_MOST_ONCE, True, OVER_ANSWER, RESULT.LOST, 502, True),
    ("stream", CHAT, False, [ROLE, delta("a"), DONE], RESULT.COMPLETE, 200, True),
    ("blank stream", CHAT, False, [ROLE, DONE], RESULT.LOST, 502, True),
    ("cut before content", CHAT, False, [ROLE], RESULT.LOST, 502, True),
    ("cut after content", CHAT, False, [delta("a")], RESULT.LOST, 200, False),
    ("own error, cut", CHAT, False, [delta("a"), OWN_ERROR], RESULT.LOST, 200, False),
    ("no end marker", CHAT, False, [delta("a"), LAST_CHUNK], RESULT.LOST, 200, False),
    ("marker in text", CHAT, False, [delta("data: [DONE]")], RESULT.LOST, 200, False),
]


@pytest.mark.parametrize("case", FAULTS, ids=[case[0] for case in FAULTS])
def test_each_fault_gives_its_result(case):
    _name, call, is_at_most_once, sent, result, status, is_whole = case
    is_stream = isinstance(sent, list)
    if is_stream:
        sent = STREAM_HEAD + b"".join(sent)
        sent += LAST_CHUNK if DONE in sent else b""

    def script(turn):
        turn.send(sent)
        turn.close()

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address, is_at_most_once=is_at_most_once)
        with rig.open_rig(node) as running:
            answer = running.caller().request(*call)
            ended = node.wait_for(events.AttemptEnded)
    assert ended.result is result
    assert (answer.status, answer.is_whole) == (status, is_whole)
    assert backend.n_requests(call[0]) == 1
    if is_stream and not is_whole:
        last = answer.body.rstrip(b"\n").rpartition(b"\n\n")[2]
        assert last.startswith(b"event: error\n")
        assert b"urn:bilberryridge:problem:answer-lost" in last
        assert b"\ndata: [DONE]" not in answer.body


def test_stream_reaches_the_caller_byte_for_byte():
    text = b'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n'

    def script(turn):
        turn.send(STREAM_HEAD)
        for byte in text:
            turn.send(scripted_backend.chunk(bytes([byte])))
        turn.send(LAST_CHUNK)

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address)
        with rig.open_rig(node) as running:
            answer = running.caller().request(*CHAT)
    assert (answer.body, answer.is_whole) == (text, True)
    assert node.wait_for(events.AttemptEnded).n_output_tokens == 1


def test_request_without_a_connection_is_not_sent():
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = "{}:{}".format(*closed.getsockname())
    node = rig.Node(address, is_at_most_once=True)
    with rig.open_rig(node) as running:
        answer = running.caller().request(*AT_MOST_ONCE)
        assert node.wait_for(events.AttemptEnded).result is RESULT.NOT_SENT
    assert answer.status == 503
    assert answer.fields["bilberryridge-outcome"] == "not_run"
    assert answer.fields["retry-after"] == "2"


def test_nothing_is_sent_after_the_deadline():
    with scripted_backend.open_backend(lambda turn: None) as backend:
        node = rig.Node(backend.address, deadline_s=-1.0, is_at_most_once=True)
        with rig.open_rig(node) as running:
            running.caller().request(*AT_MOST_ONCE)
            assert node.wait_for(events.AttemptEnded).result is RESULT.NOT_SENT
        assert backend.n_requests("POST") == 0


def test_at_most_once_request_is_not_resent_when_an_idle_connection_is_dead():
    def script(turn):
        if turn.method == "GET":
            turn.send(plain(b"6"))
        else:
            turn.close()

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address)
        with rig.open_rig(node) as running:
            caller = running.caller()
            caller.request(*LOOKUP)
            node.is_at_most_once = True
            assert caller.request(*AT_MOST_ONCE).status == 502
            assert node.wait_for(events.AttemptEnded, 2).result is RESULT.LOST
        assert backend.n_requests("POST") == 1


def test_connection_of_a_late_answer_is_not_reused():
    is_late = threading.Event()

    def script(turn):
        if turn.target == "/late":
            is_late.wait(rig.GENEROUS_S)
            turn.send(plain(b"late"))
        else:
            turn.send(plain(turn.target.encode()))

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address)
        with rig.open_rig(node) as running:
            caller = running.caller()
            assert caller.request("GET", "/services/desk/a").body == b"/a"
            node.first_byte_s = 0.2
            assert caller.request("GET", "/services/desk/late").status == 502
            assert node.wait_for(events.AttemptEnded, 2).result is RESULT.TIMED_OUT
            node.first_byte_s = rig.GENEROUS_S
            is_late.set()
            for n in range(5):
                body = caller.request("GET", f"/services/desk/{n}").body
                assert body == b"/%d" % n


# Name, bytes sent at once, bytes sent after the first-byte deadline, result.
FIRST_BYTES = [
    ("silent", b"", plain(b"6"), RESULT.TIMED_OUT),
    ("head only", plain(b"6")[:-1], b"6", RESULT.TIMED_OUT),
    ("first byte in time", plain(b"six")[:-1], b"x", RESULT.COMPLETE),
]


@pytest.mark.parametrize("case", FIRST_BYTES, ids=[case[0] for case in FIRST_BYTES])
def test_first_byte_deadline_applies_only_to_the_first_byte(case):
    _name, at_once, later, result = case
    first_byte_s = 1.0

    def script(turn):
        turn.send(at_once)
        threading.Event().wait(first_byte_s * 1.5)
        turn.send(later)

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address, first_byte_s=first_byte_s)
        with rig.open_rig(node) as running:
            running.caller().request(*LOOKUP)
            assert node.wait_for(events.AttemptEnded).result is result


GOOD_STREAM = STREAM_HEAD + delta("a") + DONE + LAST_CHUNK
BLANK_STREAM = STREAM_HEAD + ROLE + DONE + LAST_CHUNK
ENDLESS_STREAM = STREAM_HEAD + delta("a") + LAST_CHUNK

# Name, request, answer (the connection stays open), result, whether the connection is
# used for the next request.
REUSE_CASES = [
    ("whole", LOOKUP, plain(b"6"), RESULT.COMPLETE, True),
    ("whole stream", CHAT, GOOD_STREAM, RESULT.COMPLETE, True),
    ("client error", LOOKUP, plain(b"no", 404), RESULT.COMPLETE, True),
    ("blank", LOOKUP, plain(b" "), RESULT.LOST, False),
    ("blank chat", PLAIN_CHAT, plain(BLANK_CHAT), RESULT.LOST, False),
    ("blank stream", CHAT, BLANK_STREAM, RESULT.LOST, False),
    ("no end marker", CHAT, ENDLESS_STREAM, RESULT.LOST, False),
    ("crossed", LOOKUP, plain(b"6", 200, OTHER_ID), RESULT.LOST, False),
    ("late", LOOKUP, b"", RESULT.TIMED_OUT, False),
    ("short", LOOKUP, OVER_ANSWER, RESULT.TIMED_OUT, False),
    ("given up", LOOKUP, b"", None, False),
]


@pytest.mark.parametrize("case", REUSE_CASES, ids=[case[0] for case in REUSE_CASES])
def test_only_the_connection_of_a_complete_answer_is_reused(case):
    _name, call, sent, result, is_reused = case

    def script(turn):
        turn.send(sent if len(backend.turns) == 1 else plain(b"next"))

    with scripted_backend.open_backend(script) as backend:
        deadline_s = 1.0 if result is RESULT.TIMED_OUT else rig.GENEROUS_S
        node = rig.Node(backend.address, deadline_s=deadline_s)
        with rig.open_rig(node) as running:
            caller = running.caller()
            caller.send(*call)
            if result is None:
                rig.wait_until(lambda: backend.turns)
                request_id = node.wait_for(events.RequestArrived).req.request_id
                running.edge.put(effects.CancelAttempt(request_id, 1))
                running.edge.put(effects.Refuse(request_id, rig.LOST))
            else:
                assert node.wait_for(events.AttemptEnded).result is result
            node.deadline_s = rig.GENEROUS_S
            caller.read()
            assert running.caller().request(*LOOKUP).body == b"next"
        first, second = backend.turns
        assert (first.n_conn == second.n_conn) == is_reused


def test_timeout_caused_by_a_slow_caller_is_not_counted_against_the_server():
    content = "y" * 50_000

    def script(turn):
        turn.send(STREAM_HEAD + delta(content) * 400)

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address, deadline_s=3.0)
        with rig.open_rig(node) as running:
            caller = running.caller()
            caller.send(*CHAT)
            ended = node.wait_for(events.AttemptEnded)
            assert running.counters.counts[("edge_pauses",)]
            caller.sock.close()
        assert (ended.result, ended.is_committed) == (RESULT.CANCELLED, True)


def test_complete_at_most_once_answer_is_reported_for_retries():
    large = b"x" * 20_000
    for body, stored_body in ((b"booked", b"booked"), (large, b"")):
        with scripted_backend.open_backend(
            lambda turn, sent=body: turn.send(plain(sent))
        ) as backend:
            node = rig.Node(backend.address, is_at_most_once=True)
            with rig.open_rig(node) as running:
                assert running.caller().request(*AT_MOST_ONCE).body == body
                answer = node.wait_for(events.AttemptEnded).answer
        assert (answer.status, answer.body) == (200, stored_body)
        assert (("Bilberryridge-Body-Kept", "no") in answer.headers) == (
            stored_body != body
        )


def test_disconnected_caller_cancels_its_attempt_unless_at_most_once():
    freed = []

    def script(turn):
        if turn.method == "GET":
            freed.append(turn.wait_for_close())
        else:
            node.wait_for(events.CallerGone, 2)
            turn.send(plain(b"booked"))

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address)
        with rig.open_rig(node) as running:
            caller = running.caller()
            caller.send(*LOOKUP)
            rig.wait_until(lambda: backend.turns)
            caller.sock.close()
            ended = node.wait_for(events.AttemptEnded)
            assert ended.result is RESULT.CANCELLED
            rig.wait_until(lambda: freed)
            assert freed == [True]
            node.is_at_most_once = True
            caller = running.caller()
            caller.send(*AT_MOST_ONCE)
            rig.wait_until(lambda: len(backend.turns) == 2)
            caller.sock.close()
            ended = node.wait_for(events.AttemptEnded, 2)
            assert ended.result is RESULT.COMPLETE
            assert ended.answer.body == b"booked"


def test_slow_caller_pauses_its_stream():
    n_events, n_sent = 400, []
    content = "y" * 50_000

    def script(turn):
        turn.send(STREAM_HEAD)
        for _ in range(n_events):
            turn.send(delta(content))
            n_sent.append(1)
        turn.send(DONE + LAST_CHUNK)

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address)
        with rig.open_rig(node) as running:
            caller = running.caller()
            caller.send(*CHAT)
            rig.wait_until(lambda: running.counters.counts.get(("edge_pauses",)))
            assert len(n_sent) < n_events
            answer = caller.read()
    assert answer.is_whole
    assert answer.body.count(content.encode()) == n_events
