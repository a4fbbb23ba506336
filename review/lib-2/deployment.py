"""A small deployment on loopback: store, replicas, daemons and requesters.

The store is the project's own stand-in. Replicas and requesters are small ones that
speak what PROTOCOL.md says. Daemons are started with the command of the deploy file.
"""

import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [
    str(ROOT / "platform/tests"),
    str(ROOT / "target/deps"),
    *sorted(str(path) for path in (ROOT / "packages").iterdir()),
]

import store_stand_in  # noqa: E402
from bilberryridge.standins import subnets  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
START_S = 20.0
TIMING_BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 5000,
    "ack_ms": 6000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 8000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_slack": 58,
    "cold_overshoot": 1.5,
    "cold_slack": 3,
    "evacuate_ms": 5000,
    "recovery_s": 12,
    "pass_ms": 600,
    "retry_after_s": 10,
    "ttl_max_s": 5,
}
HOST = "gare.example"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


def run(main):
    """Return what a case returns, or `NOT_RUN` if it ends by an error."""
    try:
        return main()
    except Exception:
        traceback.print_exc()
        return NOT_RUN


class Record:
    """Writes what was sent, answered and run to a file, with the time."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def __call__(self, text):
        with self._lock:
            at_s = time.monotonic() - self._start_s
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()


class Request:
    """The head and body of a request as a replica has read it."""

    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body

    @property
    def id(self):
        return self.fields.get("attempt-id", "")

    @property
    def first_event(self):
        return int(self.fields.get("last-event-id") or 0) + 1


class Replica:
    """A replica; `answer(replica, conn, request)` answers one request."""

    def __init__(self, deployment, server_id, service, zone, answer, version="1"):
        self.id, self.answer, self.record = server_id, answer, deployment.record
        self.ran = []
        self._deployment = deployment
        self._listener = socket.create_server((deployment.host(2, 1), 0), backlog=1024)
        host, port = self._listener.getsockname()[:2]
        self.row = {
            "service": service,
            "address": f"{host}:{port}",
            "zone": zone,
            "version": version,
            "slots": 64,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 0,
            "born": int(time.time() * 1000),
        }
        self._lock = threading.Lock()
        self._is_closed = threading.Event()
        self.check_in()
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def check_in(self, **changes):
        with self._lock:
            if self._is_closed.is_set():
                return
            self.row.update(changes)
            self.row["sequence"] += 1
            value = json.dumps(self.row).encode()
            self._deployment.store.put(f"servers/{self.id}", value)
        if changes:
            self.record(f"replica {self.id} writes {changes}")

    def remove_entry(self):
        """Remove the entry; the replica goes on serving."""
        with self._lock:
            self._is_closed.set()
            self._deployment.store.remove(f"servers/{self.id}")
        self.record(f"the entry of replica {self.id} is removed")

    def leave(self):
        """End: the entry is removed and nothing listens any more."""
        self.remove_entry()
        self._listener.close()
        self.record(f"replica {self.id} has left")

    def _beat(self):
        while not self._is_closed.wait(HEARTBEAT_S):
            self.check_in()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError, ValueError), conn:
            reader = conn.makefile("rb")
            while (request := read_request(reader)) is not None:
                if request.fields.get("expect-instance") not in (None, self.id):
                    conn.sendall(head(request, "421 Misdirected", "Content-Length: 0"))
                    continue
                self.ran.append(request.id)
                self.record(
                    f"replica {self.id} runs {request.id} from event "
                    f"{request.first_event}"
                )
                self.answer(self, conn, request)


def read_request(reader):
    line = reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split()
    fields = {}
    while (line := reader.readline().strip()):
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    body = reader.read(int(fields.get("content-length") or 0))
    return Request(method, target, fields, body)


def head(request, status, *lines):
    rows = (f"HTTP/1.1 {status}", f"Attempt-Id: {request.id}", *lines)
    return ("\r\n".join(rows) + "\r\n\r\n").encode()


def stream_head(request):
    return head(
        request,
        "200 OK",
        f"Response-Seal: {SEAL}",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    )


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number):
    return chunk(b"id: %d\ndata: %b\n\n" % (number, b"x" * 44))


END = b"0\r\n\r\n"


class Daemon:
    def __init__(self, deployment, name, zone, number):
        self.name, self.zone = name, zone
        self.host = deployment.host(1, number)
        self._deployment = deployment
        self.process = None
        self.front = (self.host, 8144)

    def start(self):
        deployment = self._deployment
        path = deployment.folder / f"{self.name}.json"
        path.write_text(json.dumps(deployment.settings(self)))
        log = (deployment.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "platform/gateway.py"],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "BILBERRYRIDGE_CONFIG": str(path),
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self._deployment.record(f"daemon {self.name} starts")

    def wait_ready(self):
        end_s = time.monotonic() + START_S
        while not self.is_ready():
            if time.monotonic() > end_s or self.process.poll() is not None:
                raise RuntimeError(f"daemon {self.name} does not start")
            time.sleep(0.05)

    def is_ready(self):
        with contextlib.suppress(OSError):
            with socket.create_connection((self.host, 8140), timeout=1.0) as conn:
                conn.sendall(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return conn.recv(64).split()[1] == b"200"
        return False

    def change_settings(self, **timing_bounds):
        """Change the settings file, of which SIGHUP then tells."""
        path = self._deployment.folder / f"{self.name}.json"
        settings = json.loads(path.read_text())
        settings["timing_bounds"] |= timing_bounds
        path.write_text(json.dumps(settings))

    def send_signal(self, signum):
        self._deployment.record(
            f"daemon {self.name} gets {signal.Signals(signum).name}"
        )
        self.process.send_signal(signum)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    def __init__(self, subnet, stack, folder, record, zones, memory_mb):
        self._subnet, self._stack = subnet, stack
        self.folder, self.record = folder, record
        self.zones, self.memory_mb = zones, memory_mb
        self.daemons = []
        self.store, self.store_address = stack.enter_context(
            store_stand_in.open_store(self.host(0, 1))
        )

    def host(self, net, number):
        return f"127.{self._subnet}.{net}.{number}"

    def put_config(self, version, routes, services):
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.put("op/config", json.dumps(document).encode())
        self.record(f"the operator writes version {version}")

    def add_daemons(self, *zones):
        for zone in zones:
            number = len(self.daemons) + 1
            daemon = Daemon(self, f"front-{zone}-{number}", zone, number)
            self.daemons.append(daemon)
            self._stack.callback(daemon.end)
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            daemon.wait_ready()
        time.sleep(1.5)
        return self.daemons

    def settings(self, daemon):
        ports = {"front": 8144, "ready": 8140, "control": 8146, "directory": 8143}
        return {
            "node_name": daemon.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": daemon.host,
            "zone": daemon.zone,
            "region": self.zones[daemon.zone],
            "zones": self.zones,
            "listen": {key: f"{daemon.host}:{port}" for key, port in ports.items()},
            "port_range": [7660, 7675],
            "seeds": [f"{each.host}:8146" for each in self.daemons[:3]],
            "bootstrap": True,
            "fault_counted": False,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": self.memory_mb,
                "max_fds": 4100,
                "link_speed_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 1},
            "timing_bounds": TIMING_BOUNDS,
            "platform": {
                "address": self.store_address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "retention_s": 20,
                "max_value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }


@contextlib.contextmanager
def open_deployment(record, zones, memory_mb=300):
    """Open an empty deployment; at the end, also by SIGTERM, all daemons are ended."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    with contextlib.ExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        subnet = stack.enter_context(subnets.held_subnet())
        yield Deployment(
            subnet, stack, pathlib.Path(folder), record, zones, memory_mb
        )


def request_bytes(method, target, attempt_id, deadline_ms, fields=(), body=b""):
    rows = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt_id}",
        f"Deadline-Ms: {deadline_ms}",
        *fields,
    ]
    if body or method == "POST":
        rows.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body


def read_stream(conn, patience_s):
    """Read an answer in chunks; return status, event ids and how it ended.

    The end is "complete", "cut" (the channel ended before the last chunk), "silent" (no
    byte for longer than the requester waits) or "no stream".
    """
    conn.settimeout(patience_s)
    data = bytearray()
    end = "cut"
    try:
        while not data.endswith(b"\r\n" + END):
            received = conn.recv(65536)
            if not received:
                break
            data += received
            if b"\r\n\r\n" in data and not data.startswith(b"HTTP/1.1 200"):
                end = "no stream"
                break
        else:
            end = "complete"
    except TimeoutError:
        end = "silent"
    except OSError:
        end = "cut"
    status = int(data[9:12]) if len(data) > 12 else 0
    ids = [
        int(line[4:])
        for line in bytes(data).split(b"\n")
        if line.startswith(b"id: ") and line[4:].strip().isdigit()
    ]
    return status, ids, end
