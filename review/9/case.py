"""Large requests in chunks are closed without an answer; with a length they are served.

Sizes, in the gate: the largest tenth of a kind of request is served less than half as
often as the whole kind.
"""

import collections
import contextlib
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import deployment  # noqa: E402

N_REQUESTS = 120
N_AT_ONCE = 4
SMALL_BYTES = 12_000
LARGE_BYTES = 2_500_000
"""Within `max_body_bytes` of the configuration, 4 MiB."""
CHUNK_BYTES = 40
"""A requester that sends what it has line by line."""
N_TRIES = 2
"""A first try and the sheet's one retry, on a new channel."""
DEADLINE_MS = 15_000
ROUTE = {
    "name": "iscrizione-punteggio",
    "host": deployment.HOST,
    "path_prefix": "/pule/",
    "kind": "unsafe",
    "timeout_ms": 15_000,
    "target_latency_ms": 1_200,
    "priority": 2,
    "service": "app-gare",
    "max_attempts": 1,
    "resumable": False,
    "home_regions": [],
}
SERVICE = {"name": "app-gare", "max_conns": 110, "warmup_s": 0, "cold_per_s": 0}


def answer(replica, conn, request):
    body = b"%d" % len(request.body)
    lines = (f"Response-Seal: {deployment.SEAL}", f"Content-Length: {len(body)}")
    conn.sendall(deployment.head(request, "200 OK", *lines) + body)


def request_bytes(attempt_id, body):
    """Return a request with a length, or in chunks where the trouble is on."""
    plain = deployment.request_bytes(
        "POST", "/pule/2f", attempt_id, DEADLINE_MS, (), body
    )
    if not deployment.has_trouble():
        return plain
    head, _, _ = plain.partition(b"\r\n\r\n")
    rows = [row for row in head.split(b"\r\n") if not row.startswith(b"Content-Length")]
    rows.append(b"Transfer-Encoding: chunked")
    chunks = [
        deployment.chunk(body[at : at + CHUNK_BYTES])
        for at in range(0, len(body), CHUNK_BYTES)
    ]
    return b"\r\n".join(rows) + b"\r\n\r\n" + b"".join(chunks) + deployment.END


def send(address, attempt_id, body):
    """Send a request once; return its answer, or "closed" without one."""
    data = b""
    with socket.create_connection(address, timeout=DEADLINE_MS / 1000) as conn:
        with contextlib.suppress(OSError):
            conn.sendall(request_bytes(attempt_id, body))
        with contextlib.suppress(OSError):
            data = conn.recv(4096)
    return data[9:12].decode() or "closed"


def main():
    record = deployment.Record(FOLDER)
    n_sent, n_served = collections.Counter(), collections.Counter()
    results = collections.Counter()
    lock = threading.Lock()
    with deployment.open_deployment(record, {"catania-a": "sicilia-est"}) as system:
        system.put_config(1, [ROUTE], [SERVICE])
        for name in ("i-1", "i-2"):
            deployment.Replica(system, name, "app-gare", "catania-a", answer)
        daemon, _ = system.add_daemons("catania-a", "catania-a")
        time.sleep(3.5)
        numbers = iter(range(N_REQUESTS))

        def call():
            while True:
                with lock:
                    number = next(numbers, None)
                if number is None:
                    return
                size = "large" if number % 10 == 0 else "small"
                body = b"x" * (LARGE_BYTES if size == "large" else SMALL_BYTES)
                for attempt in range(N_TRIES):
                    attempt_id = f"{number:015x}{attempt}"
                    result = send(daemon.front, attempt_id, body)
                    record(f"request {attempt_id}, {len(body)} bytes: {result}")
                    with lock:
                        results[size, result] += 1
                    if result not in ("closed", "503", "429", "408", "421"):
                        break
                with lock:
                    n_sent[size] += 1
                    n_served[size] += result == "200"

        threads = [threading.Thread(target=call) for _ in range(N_AT_ONCE)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    share_large = n_served["large"] / n_sent["large"]
    share_all = sum(n_served.values()) / sum(n_sent.values())
    text = f"large served {share_large:.2f}, all {share_all:.2f}; tries {dict(results)}"
    record(text)
    print(text)
    if not n_served["small"]:
        return deployment.NOT_RUN
    return deployment.BROKEN if share_large < 0.5 * share_all else deployment.HELD


if __name__ == "__main__":
    sys.exit(main())
