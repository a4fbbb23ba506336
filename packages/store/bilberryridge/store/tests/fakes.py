"""Threaded fakes of the store's gateway, the VM list, directory and load reports."""

import base64
import collections
import contextlib
import http.server
import itertools
import json
import os
import threading
import time

NET = int(os.environ.get("BILBERRYRIDGE_TEST_NET", 2 + os.getpid() % 200))
DEADLINE_S = 15.0
PREFIX = "/bilberryridge/test/"
_hosts = itertools.count(1)


def new_host():
    return f"127.{NET}.77.{next(_hosts)}"


def wait_for(condition, deadline_s=DEADLINE_S):
    give_up_s = time.monotonic() + deadline_s
    while not condition():
        assert time.monotonic() < give_up_s, "condition did not come true"
        time.sleep(0.005)


class CountingMetrics:
    """Metrics that count in memory."""

    def __init__(self):
        self.counters = collections.Counter()

    def count(self, name, labels=(), n=1):
        self.counters[(name, *labels)] += n

    def observe_s(self, name, labels, seconds):
        pass


def encoded(text):
    return base64.b64encode(text).decode()


def decoded(text):
    return base64.b64decode(text)


class DropConnectionError(Exception):
    """Raised to close the connection without an answer."""


class FakeStore:
    """Subset of the etcd gateway; attributes inject faults."""

    def __init__(self):
        self.lock = threading.RLock()
        self.changed = threading.Condition(self.lock)
        self.keys = {}
        self.history = []
        self.revision = 1
        self.cluster_id = 7
        self.calls = collections.Counter()
        self.is_down = False
        self.slow_s = 0.0
        self.n_lost_answers = 0
        self.n_lost_requests = 0
        self.is_watch_silent = False
        self.compact_revision = 0
        self.watch_epoch = 0
        self.n_watches_opened = 0
        self.stale_copy = None
        self.is_garbled = False
        self.status = 200

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            self._put((PREFIX + key).encode(), value)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            self.revision += 1
            self._delete((PREFIX + key).encode())
            self.changed.notify_all()

    def end_watches(self):
        with self.changed:
            self.watch_epoch += 1
            self.changed.notify_all()

    def answer(self, path, req):
        self.calls[path] += 1
        if self.is_down or self.n_lost_requests:
            self.n_lost_requests = max(0, self.n_lost_requests - 1)
            raise DropConnectionError
        time.sleep(self.slow_s)
        with self.changed:
            answer = {
                "/v3/kv/range": self._range,
                "/v3/kv/txn": self._txn,
                "/v3/lease/grant": self._grant,
                "/v3/lease/keepalive": self._keepalive,
                "/v3/lease/revoke": lambda req: {"header": self._header()},
            }[path](req)
            self.changed.notify_all()
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            raise DropConnectionError
        return b"{nonsense" if self.is_garbled else json.dumps(answer).encode()

    def watch_lines(self, req):
        create = req["create_request"]
        start, end = decoded(create["key"]), decoded(create["range_end"])
        next_revision = int(create["start_revision"])
        epoch, sent = self.watch_epoch, 0
        self.n_watches_opened += 1
        yield {"header": self._header(), "created": True}
        while epoch == self.watch_epoch and not self.is_down:
            with self.changed:
                if self.compact_revision >= next_revision:
                    yield self._compacted()
                    return
                matching = [
                    event
                    for revision, key, event in self.history[sent:]
                    if revision >= next_revision and start <= key < end
                ]
                sent = len(self.history)
                if not matching:
                    self.changed.wait(0.05)
            if matching and not self.is_watch_silent:
                yield {"header": self._header(), "events": matching}

    def _compacted(self):
        compact = str(self.compact_revision)
        header = self._header()
        return {"header": header, "canceled": True, "compact_revision": compact}

    def _header(self):
        return {"cluster_id": str(self.cluster_id), "revision": str(self.revision)}

    def _put(self, key, value):
        before = self.keys.get(key)
        kv = {
            "key": encoded(key),
            "value": encoded(value),
            "mod_revision": str(self.revision),
            "create_revision": before["create_revision"]
            if before
            else str(self.revision),
        }
        self.keys[key] = kv
        self.history.append((self.revision, key, {"kv": kv}))

    def _delete(self, key):
        if self.keys.pop(key, None) is not None:
            kv = {"key": encoded(key), "mod_revision": str(self.revision)}
            self.history.append((self.revision, key, {"type": "DELETE", "kv": kv}))

    def _range(self, req):
        start = decoded(req["key"])
        end = decoded(req["range_end"]) if "range_end" in req else start + b"\0"
        if self.stale_copy is not None:
            header, keys = self.stale_copy
        else:
            header, keys = self._header(), self.keys
        kvs = [kv for key, kv in sorted(keys.items()) if start <= key < end]
        n_matching = len(kvs)
        if req.get("sort_target") == "MOD":
            kvs.sort(key=lambda kv: -int(kv["mod_revision"]))
        kvs = kvs[: int(req.get("limit", n_matching))]
        return {"header": header, "kvs": kvs, "count": str(n_matching)}

    def _txn(self, req):
        is_condition_met = all(
            int(self.keys.get(decoded(c["key"]), {}).get("mod_revision", 0))
            == int(c["mod_revision"])
            for c in req["compare"]
        )
        if not is_condition_met:
            ranges = [self._range(op["request_range"]) for op in req["failure"]]
            responses = [{"response_range": answer} for answer in ranges]
            return {"header": self._header(), "responses": responses}
        self.revision += 1
        for op in req["success"]:
            if "request_put" in op:
                put = op["request_put"]
                self._put(decoded(put["key"]), decoded(put["value"]))
            else:
                self._delete(decoded(op["request_delete_range"]["key"]))
        return {"header": self._header(), "succeeded": True}

    def _grant(self, req):
        return {
            "header": self._header(),
            "ID": "2305843009213693951",
            "TTL": req["TTL"],
        }

    def _keepalive(self, req):
        return {"result": {"header": self._header(), "ID": req["ID"], "TTL": "0"}}


class StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        req = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        fake = self.server.fake
        try:
            if self.path == "/v3/watch":
                self._watch(fake, req)
            else:
                send_answer(self, fake.status, fake.answer(self.path, req))
        except (DropConnectionError, OSError):
            self.close_connection = True

    def _watch(self, fake, req):
        fake.calls[self.path] += 1
        if fake.is_down:
            raise DropConnectionError
        self.close_connection = True
        self.send_response(200)
        self.end_headers()
        for answer in fake.watch_lines(req):
            self.wfile.write(json.dumps({"result": answer}).encode() + b"\n")

    def log_message(self, *args):
        pass


class FakePlatform:
    """The VM list, the directory and load reports; attributes inject faults."""

    def __init__(self):
        self.vms = []
        self.report = b"service_requests_running 2\nservice_requests_waiting 1\n"
        self.status = 200
        self.slow_s = 0.0
        self.registered = {}
        self.n_connections = 0
        self.n_requests = 0


class PlatformHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.server.fake.n_connections += 1

    def do_GET(self):
        fake = self.server.fake
        fake.n_requests += 1
        time.sleep(fake.slow_s)
        body = fake.report
        if self.path == "/v1/health/service/vm":
            body = json.dumps(fake.vms).encode()
        with contextlib.suppress(OSError):
            send_answer(self, fake.status, body)

    def do_PUT(self):
        fake = self.server.fake
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if fake.status == 200 and self.path == "/v1/agent/service/register":
            entry = json.loads(body)
            fake.registered[entry["ID"]] = entry
        elif fake.status == 200:
            fake.registered.pop(self.path.rpartition("/")[2], None)
        send_answer(self, fake.status, b"")

    def log_message(self, *args):
        pass


def send_answer(handler, status, body):
    handler.send_response(status)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


@contextlib.contextmanager
def serve(fake, handler, port):
    host = new_host()
    server = http.server.ThreadingHTTPServer((host, port), handler)
    server.daemon_threads = True
    server.fake = fake
    thread = threading.Thread(target=server.serve_forever, args=(0.02,))
    thread.start()
    try:
        yield f"{host}:{port}"
    finally:
        server.shutdown()
        server.server_close()
        thread.join()
