"""The callers' port and the relay port."""

import socket
import threading
import time

import pytest

from bilberryridge.core import requests
from bilberryridge.decisions import effects, events
from bilberryridge.transport import envelope
from bilberryridge.transport.tests import rig, scripted_backend
from bilberryridge.transport.tests.scripted_backend import (
    DONE,
    LAST_CHUNK,
    STREAM_HEAD,
    delta,
    plain,
)

LIMITS = {
    "max_head_bytes": 4096,
    "max_body_bytes": 1000,
    "head_deadline_s": 0.3,
    "body_deadline_s": 0.3,
}
HOST = b"Host: a\r\n"
POST = b"POST /services/desk/a HTTP/1.1\r\n" + HOST
CHAT = b"POST /v1/chat/completions HTTP/1.1\r\n" + HOST
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def sized(head: bytes, body: bytes) -> bytes:
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


# If the head can't be parsed, there may be an idempotency key and an earlier attempt.
BAD_INPUTS = [
    ("huge head", POST + b"X-A: " + b"x" * 5000, 413, "too-large", "unknown"),
    (
        "huge body declared",
        POST + b"Content-Length: 1001\r\n\r\n",
        413,
        "too-large",
        "not_run",
    ),
    (
        "huge body in chunks",
        POST + CHUNKED + b"\r\n" + scripted_backend.chunk(b"x" * 600) * 2,
        413,
        "too-large",
        "not_run",
    ),
    ("slow head", POST, 408, "too-slow", "unknown"),
    ("slow body", POST + b"Content-Length: 5\r\n\r\nab", 408, "too-slow", "not_run"),
    ("bad chunk", POST + CHUNKED + b"\r\nzz\r\n", 400, "bad-request", "not_run"),
    (
        "two lengths",
        POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        400,
        "bad-request",
        "unknown",
    ),
    (
        "length and chunks",
        POST + CHUNKED + b"Content-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n",
        400,
        "bad-request",
        "not_run",
    ),
    ("no HTTP", b"hello\r\n\r\n", 400, "bad-request", "unknown"),
    ("no host", b"GET /v1/models HTTP/1.1\r\n\r\n", 400, "bad-request", "unknown"),
    (
        "unknown path",
        b"GET /x HTTP/1.1\r\n" + HOST + b"\r\n",
        404,
        "unknown-service",
        "not_run",
    ),
    (
        "escape from a service",
        b"GET /services/%2e%2e/x HTTP/1.1\r\n" + HOST + b"\r\n",
        404,
        "unknown-service",
        "not_run",
    ),
    (
        "method",
        b"PUT /v1/models HTTP/1.1\r\n" + HOST + b"\r\n",
        400,
        "bad-request",
        "not_run",
    ),
    ("no JSON", sized(CHAT, b"{"), 400, "bad-request", "not_run"),
    ("no model", sized(CHAT, b'{"messages":[]}'), 400, "bad-request", "not_run"),
    ("deep JSON", sized(CHAT, b"[" * 999), 400, "bad-request", "not_run"),
]


@pytest.mark.parametrize("case", BAD_INPUTS, ids=[case[0] for case in BAD_INPUTS])
def test_bad_input_is_refused_and_counted_and_not_forwarded(case):
    _name, sent, status, reason, outcome = case
    node = rig.Node("127.0.0.1:1")
    with rig.open_rig(node, **LIMITS) as running:
        caller = running.caller()
        caller.send_raw(sent)
        answer = caller.read()
        assert running.counters.counts == {("edge_bad_input", reason): 1}
    assert (answer.status, answer.is_whole) == (status, True)
    assert answer.problem["type"] == "urn:bilberryridge:problem:" + reason
    assert answer.problem["outcome"] == answer.fields["bilberryridge-outcome"]
    assert answer.problem["outcome"] == outcome
    assert node.seen == []


ENVELOPE = requests.Envelope(("a",), "growers", 5.0, 7, True, "b/1")


def relay_fields(target: str, body: bytes, key: bytes, request_id: str = "r1"):
    encoded = envelope.encode(ENVELOPE)
    code = envelope.mac(key, encoded, request_id, "POST", target, body)
    return [
        ("X-Request-Id", request_id),
        ("Bilberryridge-Envelope", encoded),
        ("Bilberryridge-Envelope-Mac", code),
    ]


TARGET = "/services/desk/a"
VALID_MAC = relay_fields(TARGET, b"ab", rig.SHARED_KEY)
NO_VALID_MAC = [
    ("nothing", [], b"ab"),
    ("another key", relay_fields(TARGET, b"ab", b"other"), b"ab"),
    ("another body", VALID_MAC, b"ac"),
    ("another target", relay_fields("/services/x", b"ab", rig.SHARED_KEY), b"ab"),
    ("another id", [("X-Request-Id", "r2"), *VALID_MAC[1:]], b"ab"),
    ("no proof", VALID_MAC[:2], b"ab"),
]


@pytest.mark.parametrize("case", NO_VALID_MAC, ids=[case[0] for case in NO_VALID_MAC])
def test_relay_port_refuses_requests_without_a_valid_mac(case):
    _name, fields, body = case
    node = rig.Node("127.0.0.1:1")
    with rig.open_rig(node) as running:
        caller = rig.Caller(running.edge.relay_address)
        assert caller.request("POST", TARGET, body, fields).status == 401
    assert node.seen == []


def test_relayed_request_keeps_its_id_and_loses_its_token():
    def script(turn):
        turn.send(plain(b"booked", 200, b"Bilberryridge-Outcome: not_run\r\n"))

    with scripted_backend.open_backend(script) as backend:
        inner = rig.Node(backend.address)
        with rig.open_rig(inner) as second:
            relay = "{}:{}".format(*second.edge.relay_address)
            outer = rig.Node(relay, envelope=ENVELOPE)
            with rig.open_rig(outer) as first:
                token = [("Authorization", "Bearer t"), ("Idempotency-Key", "k")]
                answer = first.caller().request("POST", TARGET, b"ab", token)
    sent_on = inner.wait_for(events.RequestArrived).req
    arrived = outer.wait_for(events.RequestArrived).req
    assert (answer.status, answer.body) == (200, b"booked")
    assert "bilberryridge-outcome" not in answer.fields
    assert sent_on.envelope == ENVELOPE
    assert sent_on.request_id == arrived.request_id == answer.fields["x-request-id"]
    assert sent_on.body_digest == arrived.body_digest
    assert (arrived.caller_digest != "", sent_on.caller_digest) == (True, "")
    assert sent_on.trace_parent[:35] == arrived.trace_parent[:35]
    (turn,) = backend.turns
    assert (turn.target, turn.body) == ("/a", b"ab")
    assert turn.fields["idempotency-key"] == "k"
    assert not any(name.startswith("bilberryridge") for name in turn.fields)
    assert "authorization" not in turn.fields


def test_id_of_an_open_relayed_request_is_refused_and_the_first_keeps_it():
    node = rig.Node("127.0.0.1:1", is_responding=False)
    with rig.open_rig(node) as running:
        first, second = (rig.Caller(running.edge.relay_address) for _ in range(2))
        first.send("POST", TARGET, b"ab", VALID_MAC)
        node.wait_for(events.RequestArrived)
        duplicate = second.request("POST", TARGET, b"ab", VALID_MAC)
        assert (duplicate.status, duplicate.problem["outcome"]) == (503, "unknown")
        running.edge.put(effects.Refuse("r1", rig.NOT_RUN))
        assert first.read().problem["request_id"] == "r1"


def test_entry_models_and_stored_answers_come_from_the_node():
    node = rig.Node("127.0.0.1:1", is_responding=False)
    with rig.open_rig(node) as running:
        caller = running.caller()
        caller.send("GET", "/v1/entry", fields=[("Authorization", "Bearer t")])
        asked = node.wait_for(events.EntryAsked)
        vm = effects.EntryVm("vm", "d", "r", "127.0.0.1:8080")
        entry = effects.AnswerEntry(asked.request_id, (vm,), 3.0, "p", 2.0)
        running.edge.put(entry)
        assert caller.read().problem == {
            "entry_vms": [
                {
                    "vm": "vm",
                    "domain": "d",
                    "region": "r",
                    "url": "http://127.0.0.1:8080",
                }
            ],
            "holds_s": 3.0,
            "key_prefix": "p",
            "key_prefix_holds_s": 2.0,
        }
        caller.parser.start_next_cycle()
        caller.send("GET", "/v1/models")
        asked = node.wait_for(events.ModelsAsked)
        running.edge.put(effects.AnswerModels(asked.request_id, ("m",)))
        assert [model["id"] for model in caller.read().problem["data"]] == ["m"]
        caller.parser.start_next_cycle()
        caller.send("POST", TARGET, b"ab")
        arrived = node.wait_for(events.RequestArrived)
        stored = events.StoredAnswer(201, (("X-A", "b"),), b"booked")
        running.edge.put(effects.AnswerStored(arrived.req.request_id, stored))
        answer = caller.read()
        assert (answer.status, answer.fields["x-a"], answer.body) == (
            201,
            "b",
            b"booked",
        )


def test_pipelined_requests_are_answered_in_order():
    def script(turn):
        turn.send(plain(turn.target.encode()))

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address)
        with rig.open_rig(node) as running:
            caller = running.caller()
            request = b"GET /services/desk/%d HTTP/1.1\r\nHost: a\r\n\r\n"
            caller.send_raw(b"".join(request % n for n in range(5)))
            bodies = []
            for _ in range(5):
                caller.parser.send(
                    rig.h11.Request(method="GET", target="/", headers=[("Host", "a")])
                )
                caller.parser.send(rig.h11.EndOfMessage())
                bodies.append(caller.read().body)
                caller.parser.start_next_cycle()
    assert bodies == [b"/%d" % n for n in range(5)]


def test_connections_over_a_limit_are_refused_until_one_closes():
    node = rig.Node("127.0.0.1:1")
    with rig.open_rig(node, max_connections_per_address=1) as running:
        first, second = running.caller(), running.caller()
        second.send_raw(b"GET /v1/models HTTP/1.1\r\nHost: a\r\n\r\n")
        answer = second.read()
        assert (answer.status, answer.problem["outcome"]) == (503, "not_run")
        keyed = running.caller().request(
            "POST", TARGET, b"ab", [("Idempotency-Key", "k")]
        )
        assert (keyed.status, keyed.problem["outcome"]) == (503, "unknown")
        assert answer.fields["retry-after"] == "1"
        first.sock.close()
        timeout_at_s = time.monotonic() + rig.GENEROUS_S
        while running.caller().request("GET", TARGET).problem["type"].endswith("busy"):
            assert time.monotonic() < timeout_at_s


def test_stop_closes_idle_connections_and_finishes_open_streams():
    may_finish = threading.Event()

    def script(turn):
        if turn.method == "GET":
            turn.send(plain(b"6"))
            return
        turn.send(STREAM_HEAD + delta("a"))
        may_finish.wait(rig.GENEROUS_S)
        turn.send(delta("b") + DONE + LAST_CHUNK)

    with scripted_backend.open_backend(script) as backend:
        node = rig.Node(backend.address)
        with rig.open_rig(node) as running:
            unused, idle, busy = (running.caller() for _ in range(3))
            assert idle.request("GET", TARGET).is_whole
            busy.send("POST", "/v1/chat/completions", rig.chat_body())
            node.wait_for(events.AttemptBegan, 2)
            running.edge.stop_accepting()
            assert unused.sock.recv(1) == b""
            assert idle.sock.recv(1) == b""
            with pytest.raises(ConnectionError):
                socket.create_connection(running.edge.caller_address)
            may_finish.set()
            answer = busy.read()
            assert answer.is_whole
            assert answer.body.endswith(b"data: [DONE]\n\n")
            assert busy.sock.recv(1) == b""


def test_closing_waits_for_a_caller_that_still_reads():
    # Larger than the socket buffers of the kernel, so that the edge must buffer a part.
    body = b"x" * 32_000_000
    node = rig.Node("127.0.0.1:1", is_responding=False)
    with rig.open_rig(node) as running:
        caller = running.caller()
        caller.send("GET", TARGET)
        request_id = node.wait_for(events.RequestArrived).req.request_id
        stored = events.StoredAnswer(200, (), body)
        running.edge.put(effects.AnswerStored(request_id, stored))
        running.edge.close()
        assert caller.read().body == body
        running.running.result(rig.GENEROUS_S)


def test_aborted_relayed_stream_has_one_error_event():
    def script(turn):
        turn.send(STREAM_HEAD + delta("a"))
        turn.close()

    with scripted_backend.open_backend(script) as backend:
        inner = rig.Node(backend.address)
        with rig.open_rig(inner) as second:
            relay = "{}:{}".format(*second.edge.relay_address)
            outer = rig.Node(relay, envelope=ENVELOPE)
            with rig.open_rig(outer) as first:
                target, body = "/v1/chat/completions", rig.chat_body()
                answer = first.caller().request("POST", target, body)
    request_id = outer.wait_for(events.RequestArrived).req.request_id
    assert answer.body.count(b"event: error") == 1
    assert answer.body.count(request_id.encode()) == 1
    assert not answer.is_whole


def read_to_end(sock):
    while sock.recv(65_536):
        pass


def test_aborted_answer_without_chunks_is_reset():
    def script(turn):
        turn.send(STREAM_HEAD + delta("a"))
        turn.close()

    body = rig.chat_body()
    head = f"POST /v1/chat/completions HTTP/1.0\r\nContent-Length: {len(body)}\r\n"
    with (
        scripted_backend.open_backend(script) as backend,
        rig.open_rig(rig.Node(backend.address)) as running,
    ):
        caller = running.caller()
        caller.send_raw(f"{head}Host: a\r\n\r\n".encode() + body)
        with pytest.raises(ConnectionResetError):
            read_to_end(caller.sock)
