"""A replica whose entry is removed gets requests for seconds as waiting watches are cut.

DRAIN: requests reach it later than drain_ms after the store has removed its entry.
"""

import collections
import contextlib
import os
import pathlib
import selectors
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import deployment  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_S, DRAIN_S = 5.0, 3.0
CUTS_S = (-0.8, 1.0, 2.8)
"""When the watches that wait are cut, from the removal of the entry."""
SERVES_S = 9.0
"""Time for which the replica goes on serving."""
REQUESTS_PER_S = 40.0
DEADLINE_MS = 3_000
ROUTE = {
    "name": "iscrizione-punteggio",
    "host": deployment.HOST,
    "path_prefix": "/pule/",
    "kind": "unsafe",
    "timeout_ms": 1_500,
    "target_latency_ms": 300,
    "priority": 2,
    "service": "app-gare",
    "max_attempts": 1,
    "resumable": False,
    "home_regions": [],
}
SERVICE = {"name": "app-gare", "max_conns": 110, "warmup_s": 0, "cold_per_s": 0}


class StoreProxy:
    """Passes calls on to the store; can cut the watches that wait."""

    def __init__(self, host, store_address, record):
        store_host, _, port = store_address.rpartition(":")
        self._store = (store_host, int(port))
        self._record = record
        self._waiting = set()
        self._listener = socket.create_server((host, 0), backlog=64)
        self.address = "%s:%d" % self._listener.getsockname()[:2]
        threading.Thread(target=self._accept, daemon=True).start()

    def cut_watches(self):
        """Cut the watches that wait, or the next one within a second."""
        end_s = time.monotonic() + 1.0
        while not self._waiting and time.monotonic() < end_s:
            time.sleep(0.01)
        waiting, self._waiting = self._waiting, set()
        for near in waiting:
            with contextlib.suppress(OSError):
                near.shutdown(socket.SHUT_RDWR)
        self._record(f"the store cuts {len(waiting)} waiting watches")

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            threading.Thread(target=self._pass, args=(near,), daemon=True).start()

    def _pass(self, near):
        with contextlib.suppress(OSError), near:
            with socket.create_connection(self._store) as far:
                with selectors.DefaultSelector() as selector:
                    selector.register(near, selectors.EVENT_READ, far)
                    selector.register(far, selectors.EVENT_READ, near)
                    while self._pass_some(near, selector):
                        pass

    def _pass_some(self, near, selector):
        for key, _ in selector.select():
            data = key.fileobj.recv(65_536)
            if not data:
                return False
            if key.fileobj is near and data.startswith(b"GET /api/kv-watch"):
                self._waiting.add(near)
            else:
                self._waiting.discard(near)
            key.data.sendall(data)
        return True


def answer(replica, conn, request):
    replica.reached_s.append(time.monotonic())
    time.sleep(0.015)
    body = b"x" * 800
    lines = (f"Response-Seal: {deployment.SEAL}", f"Content-Length: {len(body)}")
    conn.sendall(deployment.head(request, "200 OK", *lines) + body)


def main():
    record = deployment.Record(FOLDER)
    counts = collections.Counter()
    with deployment.open_deployment(record, {"reggio-a": "calabria"}) as system:
        proxy = StoreProxy(system.host(0, 2), system.store_address, record)
        system.store_address = proxy.address
        system.put_config(1, [ROUTE], [SERVICE])
        replicas = []
        for name in ("i-1", "i-2"):
            replica = deployment.Replica(system, name, "app-gare", "reggio-a", answer)
            replica.reached_s = []
            replicas.append(replica)
        [daemon] = system.add_daemons("reggio-a")
        time.sleep(CONTACT_S)
        is_over = threading.Event()

        def send(number):
            attempt_id = f"{number:016x}"
            data = deployment.request_bytes(
                "POST", f"/pule/{number:x}", attempt_id, DEADLINE_MS
            )
            result = "no answer"
            with contextlib.suppress(OSError):
                with socket.create_connection(daemon.front, timeout=4.0) as conn:
                    conn.sendall(data)
                    result = conn.recv(4096)[9:12].decode() or result
            record(f"request {attempt_id}: {result}")
            counts[result] += 1

        def send_all():
            number = 0
            while not is_over.wait(1 / REQUESTS_PER_S):
                number += 1
                threading.Thread(target=send, args=(number,), daemon=True).start()

        threading.Thread(target=send_all, daemon=True).start()
        removed_s = time.monotonic() + 2.0
        cuts_s = CUTS_S if HAS_TROUBLE else ()
        actions = [(removed_s + at_s, proxy.cut_watches) for at_s in cuts_s]
        # It never reports `draining`, and goes on serving.
        actions.append((removed_s, replicas[0].remove_entry))
        for at_s, act in sorted(actions, key=lambda action: action[0]):
            time.sleep(max(0.0, at_s - time.monotonic()))
            act()
        time.sleep(max(0.0, removed_s + SERVES_S - time.monotonic()))
        is_over.set()
        reached_s = [at_s - removed_s for at_s in replicas[0].reached_s]
    late_s = [at_s for at_s in reached_s if at_s > DRAIN_S]
    text = (
        f"{len(late_s)} requests later than {DRAIN_S} s after the removal, the last "
        f"{max(reached_s, default=0.0):.2f} s after it; answers {dict(counts)}"
    )
    record(text)
    print(text)
    if not any(at_s < 0 for at_s in reached_s):
        return deployment.NOT_RUN
    return deployment.BROKEN if late_s else deployment.HELD


if __name__ == "__main__":
    sys.exit(deployment.run(main))
