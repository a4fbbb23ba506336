import contextlib
import hashlib
import http.client
import json
import socket
import threading

import pytest

from bilberryridge.daemon import metrics, operators, traces

TOKEN = "operators-token"
AUTHORIZED = {"Authorization": f"Bearer {TOKEN}"}


@contextlib.contextmanager
def open_port(is_ready=True, status=lambda: {"revision": 7}, stop=lambda: None):
    recorder = metrics.Metrics(is_strict=True)
    recorder.count("retries", ("lost",))
    explanations = traces.Explanations(now_s=lambda: 2.0)
    explanations.add("r1", "placed", "least loaded")
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    with traces.open_traces("vm-1") as spans:
        spans.begin("r1", "request").end()
        args = (recorder, explanations, spans, status, lambda: is_ready, stop)
        with operators.open_operators("127.0.0.1:0", digest, *args) as address:
            yield address


def send_request(address, method, path, headers=()):
    conn = http.client.HTTPConnection(address, timeout=30)
    with contextlib.closing(conn):
        conn.request(method, path, headers=dict(headers))
        answer = conn.getresponse()
        return answer.status, answer.read().decode()


NEED_TOKEN = [
    ("GET", "/metrics", 200, 'bilberryridge_retries_total{cause="lost"} 1'),
    ("GET", "/v1/status", 200, '"revision": 7'),
    ("GET", "/v1/explain/r1", 200, '"why": "least loaded"'),
    ("GET", "/v1/explain/r2", 404, "Nothing is known"),
    ("POST", "/v1/stop", 202, '"stopping": true'),
]
BAD_TOKENS = [
    {},
    {"Authorization": "Bearer wrong"},
    {"Authorization": f"Basic {TOKEN}"},
    {"Authorization": f"Bearer {TOKEN} "[:-2]},
    {"Authorization": "Bearer "},
]


@pytest.mark.parametrize(("method", "path", "status", "text"), NEED_TOKEN)
def test_answers_need_the_token(method, path, status, text):
    stopped = threading.Event()
    with open_port(stop=stopped.set) as address:
        for headers in BAD_TOKENS:
            assert send_request(address, method, path, headers)[0] == 401
        assert not stopped.is_set()
        answer = send_request(address, method, path, AUTHORIZED)
    assert answer[0] == status
    assert text in answer[1]
    assert stopped.is_set() == (path == "/v1/stop")


def test_explanation_contains_steps_and_spans():
    with open_port() as address:
        answer = json.loads(
            send_request(address, "GET", "/v1/explain/r1", AUTHORIZED)[1]
        )
    assert answer["steps"] == [{"time_s": 2.0, "step": "placed", "why": "least loaded"}]
    assert [(span["vm"], span["name"]) for span in answer["spans"]] == [
        ("vm-1", "request")
    ]


@pytest.mark.parametrize(
    ("method", "path", "is_ready", "status"),
    [
        ("GET", "/livez", False, 200),
        ("GET", "/readyz", True, 200),
        ("GET", "/readyz", False, 503),
        ("GET", "/nothing", True, 404),
        ("GET", "/v1/stop", True, 405),
    ],
)
def test_health_needs_no_token(method, path, is_ready, status):
    with open_port(is_ready) as address:
        assert send_request(address, method, path)[0] == status


def test_error_in_the_status_returns_500_and_the_port_keeps_serving():
    with open_port(status=lambda: 1 / 0) as address:
        assert send_request(address, "GET", "/v1/status", AUTHORIZED)[0] == 500
        assert send_request(address, "GET", "/livez")[0] == 200


def test_connections_over_the_limit_are_closed_at_once(monkeypatch):
    monkeypatch.setattr(operators, "MAX_CONNECTIONS", 3)
    with open_port() as address, contextlib.ExitStack() as stack:
        host, port = address.split(":")
        conns = [
            stack.enter_context(socket.create_connection((host, int(port)), 30))
            for _ in range(5)
        ]
        # The limit is three: two of five idle connections are closed, three stay open.
        assert [conn.recv(1) for conn in conns[3:]] == [b"", b""]
        for conn in conns[:3]:
            conn.sendall(b"GET /livez HTTP/1.0\r\n\r\n")
            assert conn.recv(4) == b"HTTP"
        assert n_threads() <= operators.N_WORKERS + 1


def n_threads():
    return sum("operators" in thread.name for thread in threading.enumerate())


def test_slow_connection_is_shut_down_at_the_deadline(monkeypatch):
    # The timeout of a single read keeps its original length.
    monkeypatch.setattr(operators, "CONNECTION_DEADLINE_S", 0.5)
    with open_port() as address:
        host, port = address.split(":")
        with socket.create_connection((host, int(port)), 30) as conn:
            conn.sendall(b"GET /livez HTTP/1.1\r\n")
            # Sending a byte now and then prevents the timeout of a single read.
            conn.settimeout(0.1)
            assert any(is_closed_after_byte(conn) for _ in range(300))


def is_closed_after_byte(conn):
    try:
        conn.sendall(b"x")
        return not conn.recv(1)
    except TimeoutError:
        return False
    except OSError:
        return True


def test_port_closes_while_a_connection_is_open():
    with open_port() as address:
        host, port = address.split(":")
        conn = socket.create_connection((host, int(port)), 30)
        conn.sendall(b"GET /livez")
        assert send_request(address, "GET", "/livez")[0] == 200
    with conn:
        assert n_threads() == 0
        with pytest.raises(ConnectionRefusedError):
            send_request(address, "GET", "/livez")
