"""Small stand-ins for the platform of the users' pages, on loopback, one event loop.

The store, the replicas and the requesters run in this process; the daemons of the
project are started as processes with the command of `deploy/system.toml`. Only the
standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HOST = "ficu95.example"
MODEL, DESK = "huvo11a", "wuno96b"
CONTACT_S = 5.0
BOUNDS = {
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
"""The bounds of `sites/gare-muratori.toml`."""
ZONES = {
    "catania-a": "sicilia-est",
    "palermo-a": "sicilia-ovest",
    "reggio-a": "calabria",
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
ENGINE = {
    "slots": 64,
    "kv_capacity": 447575,
    "kv_token_bytes": 18432,
    "link_speed_mbps": 370000.0,
    "moves": True,
    "backups": True,
    "stride": 6,
    "most": 12,
    "pin_ms": 4000.0,
    "hold_ms": 2000.0,
    "handle_s": 5.0,
    "models": [{"name": "m"}],
}


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._start_s

    def write(self, what, **fields):
        rows = [f"{name}={value}" for name, value in fields.items()]
        self._file.write(f"{self.now_s():8.3f} {what} {' '.join(rows)}\n")

    def close(self):
        self._file.close()


async def read_head(reader):
    """Read a head; return its first line and its fields, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    fields = {}
    while True:
        row = (await reader.readline()).decode("latin-1")
        if not row.strip():
            break
        name, _, value = row.partition(":")
        fields[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), fields


def reset(writer):
    """Reset a channel."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
    writer.transport.abort()


class Store:
    """The platform's metadata store: revisions, leases, watches.

    Attributes
    ----------
    is_down : bool
        Whether it answers 503 to all; leases pause.
    """

    def __init__(self, host, record):
        self._host = host
        self._record = record
        self._items = {}
        self._log = []
        self.revision = 1
        self._leases = {}
        self._n_leases = 0
        self._changed = asyncio.Event()
        self.is_down = False
        self._n_cuts = 0

    def cut_watches(self):
        """Cut the watches that are waiting: their channels are closed."""
        self._n_cuts += 1
        self._wake()

    def set_down(self, is_down):
        """Go down, or come back."""
        self.is_down = is_down
        self._record.write("store is down" if is_down else "store is back")
        self._wake()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"
        self._expiry = asyncio.create_task(self._expire())

    async def stop(self):
        self._expiry.cancel()
        self._server.close()

    def put(self, key, value, lease=0):
        """Write a key as the operator or a replica does."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        self._items[key] = (value, self.revision, lease)
        self._log.append((self.revision, key))
        self._wake()
        return self.revision

    def remove(self, key):
        if key in self._items:
            self.revision += 1
            del self._items[key]
            self._log.append((self.revision, key))
            self._wake()

    def _wake(self):
        event, self._changed = self._changed, asyncio.Event()
        event.set()

    async def _expire(self):
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, (ends_s, ttl_s) in list(self._leases.items()):
                if self.is_down:
                    self._leases[lease] = (ends_s + now_s - before_s, ttl_s)
                elif now_s >= ends_s:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key, (_, _, key_lease) in list(self._items.items()):
            if key_lease == lease:
                self.remove(key)

    def _row(self, key):
        value, revision, lease = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": revision,
            "lease": lease,
        }

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ")
                body = await reader.readexactly(int(head[1].get("content-length", 0)))
                status, answer = 503, {}
                if not self.is_down:
                    status, answer = await self._answer(method, target, body)
                if self.is_down:
                    status, answer = 503, {}
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    async def _answer(self, method, target, body):
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        document = json.loads(body) if body else {}
        if path == "/api/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            page = keys[:500]
            rows = [self._row(key) for key in page]
            more = len(keys) > len(page)
            return 200, {"items": rows, "has_more": more, "at": self.revision}
        if path == "/api/kv-key":
            key = query["key"]
            if key not in self._items:
                return 404, {"at": self.revision}
            return 200, {**self._row(key), "at": self.revision}
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._write(document)
        if path == "/api/kv-lease":
            self._n_leases += 1
            ttl_s = document["ttl_ms"] / 1000
            self._leases[self._n_leases] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": self._n_leases, "ttl_ms": document["ttl_ms"]}
        lease = int(path.rpartition("/")[2] or 0)
        if lease not in self._leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        _, ttl_s = self._leases[lease]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"ttl_ms": int(ttl_s * 1000)}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        ends_s = time.monotonic() + int(query["wait_ms"]) / 1000
        n_cuts = self._n_cuts
        while True:
            if n_cuts != self._n_cuts:
                self._record.write("store cuts a watch")
                raise ConnectionResetError("the watch is cut")
            keys = {k: r for r, k in self._log if r > after and k.startswith(prefix)}
            left_s = ends_s - time.monotonic()
            if keys or left_s <= 0 or self.is_down:
                break
            event = self._changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(event.wait(), left_s)
        rows = [
            self._row(key)
            if key in self._items
            else {"key": key, "revision": revision, "deleted": True}
            for key, revision in keys.items()
        ]
        rows.sort(key=lambda row: row["revision"])
        return 200, {"events": rows, "at": self.revision}

    def _write(self, document):
        for row in document.get("expect_rev", ()):
            item = self._items.get(row["key"])
            if (item[1] if item else 0) != row["revision"]:
                rows = [r["key"] for r in document["expect_rev"]]
                found = [self._row(key) for key in rows if key in self._items]
                return 412, {"items": found}
        for row in document.get("writes", ()):
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        for row in document.get("writes", ()):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in document.get("remove", ()):
            self.remove(key)
        return 200, {"revision": self.revision}


class Replica:
    """A sound replica; subclasses and attributes change what it does.

    Attributes
    ----------
    answer : coroutine function
        Answers a request: `(replica, request_line, fields, body, writer)`; returns
        whether the channel lives on.
    more_rows : tuple of str
        Header lines that all its answers have besides.
    runs : list of (float, str)
        Time and `Attempt-Id` of each request that it began to run.
    """

    heartbeat_s = 1.2

    def __init__(self, id, service, zone, host, store, record, slots, answer):
        self.id, self.service, self.zone, self.slots = id, service, zone, slots
        self._host, self._store, self.record = host, store, record
        self.answer = answer
        self.runs = []
        self.state = "ready"
        self.extra = {}
        self.more_rows = ()
        self._writers = set()
        self._server = None
        self._beats = None
        self._sequence = 0
        self._port = 0
        self.n_running = 0

    async def start(self):
        """Start the process: listen and register."""
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=1 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{self._port}"
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(self.heartbeat_s)

    def register(self):
        if self._store.is_down:
            return
        self._sequence += 1
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "stage": "prefill_decode",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self._sequence,
            "born": self.born,
            **self.extra,
        }
        self._store.put(f"servers/{self.id}", row)

    def stop_beats(self):
        """Write nothing more to the store."""
        self._beats.cancel()

    def crash(self):
        """End at once: all channels are reset, the port is closed, no word is said."""
        self.record.write("replica crashes", id=self.id)
        if self._beats:
            self._beats.cancel()
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while head := await read_head(reader):
                line, fields = head
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if not await self._serve_one(line, fields, body, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, line, fields, body, writer):
        expected = fields.get("expect-instance")
        if expected and expected != self.id:
            writer.write(self.head(fields, "421 Misdirected Request", 0))
            await writer.drain()
            return True
        self.n_running += 1
        try:
            return await self.answer(self, line, fields, body, writer)
        finally:
            self.n_running -= 1

    def ran(self, fields, note=""):
        """Record that a request begins to run."""
        attempt_id = fields.get("attempt-id", "")
        self.runs.append((self.record.now_s(), attempt_id))
        self.record.write("replica runs", id=self.id, request=attempt_id, note=note)

    def head(self, fields, status, length, *rows):
        """Return the head of an answer; a length of None means chunks."""
        lines = [
            f"HTTP/1.1 {status}",
            f"Attempt-Id: {fields.get('attempt-id', '')}",
            f"Instance-Id: {self.id}",
            f"Server-Load: {self.n_running},0,{self.slots}",
            *self.more_rows,
            *rows,
        ]
        if length is None:
            lines.append("Transfer-Encoding: chunked")
        else:
            lines.append(f"Content-Length: {length}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class Answer:
    """What a requester got."""

    def __init__(self):
        self.sent_s = 0.0
        self.status = 0
        self.fields = {}
        self.body = b""
        self.is_complete = False
        self.ended_s = None
        self.how = ""
        self.last_s = 0.0


class Requester:
    """Sends requests as the pages say and reads the whole answer."""

    def __init__(self, record):
        self.record = record

    async def send(
        self, address, method, path, attempt_id, timeout_s, body=b"", gap_s=None, **more
    ):
        """Send a request on a new channel; give up after the time budget or a gap."""
        answer = Answer()
        host, _, port = address.rpartition(":")
        rows = {
            "Host": HOST,
            "Attempt-Id": attempt_id,
            "Deadline-Ms": str(int(timeout_s * 1000)),
            **{name.replace("_", "-"): str(value) for name, value in more.items()},
        }
        if body or method == "POST":
            rows["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
        answer.sent_s = answer.last_s = self.record.now_s()
        self.record.write("requester sends", request=attempt_id, to=address, path=path)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port), limit=1 << 20), 1.0
            )
        except (OSError, asyncio.TimeoutError) as exc:
            return self._end(answer, attempt_id, f"no channel: {exc!r}")
        ends_s = answer.sent_s + timeout_s
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            await self._read(reader, answer, ends_s, gap_s, attempt_id)
        except asyncio.TimeoutError:
            self._end(answer, attempt_id, "requester gave up")
        except (OSError, asyncio.IncompleteReadError) as exc:
            self._end(answer, attempt_id, f"channel ended: {type(exc).__name__}")
        finally:
            writer.close()
        return answer

    async def _read(self, reader, answer, ends_s, gap_s, attempt_id):
        async def timed(coroutine):
            left_s = ends_s - self.record.now_s()
            if gap_s is not None:
                gap_left_s = answer.last_s + gap_s - self.record.now_s()
                left_s = min(left_s, gap_left_s)
            return await asyncio.wait_for(coroutine, max(0.001, left_s))

        head = await timed(read_head(reader))
        if head is None:
            self._end(answer, attempt_id, "channel closed without an answer")
            return
        answer.status, answer.fields = int(head[0].split()[1]), head[1]
        if "content-length" in answer.fields:
            answer.body = await timed(
                reader.readexactly(int(answer.fields["content-length"]))
            )
        elif answer.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await timed(reader.readuntil(b"\r\n"))) or b"0", 16)
                data = await timed(reader.readexactly(size + 2))
                answer.last_s = self.record.now_s()
                if not size:
                    break
                answer.body += data[:-2]
        answer.is_complete = True
        self._end(answer, attempt_id, "complete")

    def _end(self, answer, attempt_id, how):
        answer.ended_s, answer.how = self.record.now_s(), how
        self.record.write(
            "requester ends",
            request=attempt_id,
            status=answer.status,
            bytes=len(answer.body),
            took_s=round(answer.ended_s - answer.sent_s, 3),
            how=how.replace(" ", "-"),
        )
        return answer


def _free_ports(host, n):
    """Return the first of n free ports in a row."""
    for _ in range(200):
        first = random.randint(20_000, 50_000)
        socks = []
        try:
            for port in range(first, first + n):
                sock = socket.socket()
                socks.append(sock)
                sock.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
    raise CannotRun("no free ports")


class Daemon:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, name, zone, host, ports, folder, store_address, seeds):
        self.name, self.host = name, host
        self._ports = ports
        self._folder = folder
        self.process = None
        listen = {
            "front": f"{host}:{ports}",
            "ready": f"{host}:{ports + 1}",
            "control": f"{host}:{ports + 2}",
            "directory": f"{host}:{ports + 3}",
        }
        self.front = listen["front"]
        self.control = listen["control"]
        self.settings = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": host,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": listen,
            "port_range": [ports + 4, ports + 19],
            "seeds": seeds,
            "bootstrap": True,
            "fault_counted": False,
            "limits": {"cpu_share": 0.537, "cpu_cores": 2, "memory_mb": 300},
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 1},
            "timing_bounds": BOUNDS,
            "platform": {"address": store_address, "form": "kv"},
        }

    async def start(self):
        path = pathlib.Path(self._folder) / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        log = open(pathlib.Path(self._folder) / f"{self.name}.log", "ab")
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env["BILBERRYRIDGE_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "platform/gateway.py", cwd=ROOT, env=env, stdout=log,
                stderr=log,
            )
        ready = self.settings["listen"]["ready"]
        for _ in range(200):
            if await _status(ready, "/api/ready") == 200:
                return
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} has ended")
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} isn't ready")

    def signal(self, signum):
        self.process.send_signal(signum)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()

    def log_lines(self):
        path = pathlib.Path(self._folder) / f"{self.name}.log"
        rows = []
        for line in path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows


async def _status(address, target):
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return 0
    try:
        writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = await asyncio.wait_for(read_head(reader), 2.0)
        return int(head[0].split()[1]) if head else 0
    except (OSError, asyncio.TimeoutError):
        return 0
    finally:
        writer.close()


class Deployment:
    """A store, replicas and daemons on a loopback subnet."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self._subnet = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
        self.store = Store(f"{self._subnet}.1", record)
        self.replicas, self.daemons = [], []

    async def start(self, config):
        await self.store.start()
        self.store.put("op/config", config)

    async def add_replica(self, id, service, zone, slots, answer, extra=None):
        host = f"{self._subnet}.{100 + len(self.replicas)}"
        replica = Replica(
            id, service, zone, host, self.store, self.record, slots, answer
        )
        replica.extra = dict(extra or {})
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def start_daemons(self, *zones):
        for zone in zones:
            number = len(self.daemons) + 1
            host = f"{self._subnet}.{10 + number}"
            ports = _free_ports(host, 20)
            self.daemons.append(
                Daemon(
                    f"front-{zone}-{number}", zone, host, ports, self.folder,
                    self.store.address, [],
                )
            )
        seeds = [daemon.control for daemon in self.daemons[:3]]
        for daemon in self.daemons:
            daemon.settings["seeds"] = seeds
        await asyncio.gather(*(daemon.start() for daemon in self.daemons))

    async def stop(self):
        for daemon in self.daemons:
            await daemon.stop()
        for replica in self.replicas:
            replica.crash()
        await self.store.stop()


def route(name, kind, service, **changes):
    row = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 2,
        "service": service,
        "max_attempts": 1,
        "sticky": kind == "stream",
        "resumable": False,
        "home_regions": [],
    }
    return {**row, **changes}


def config(version, routes, limits=LIMITS):
    services = [
        {
            "name": MODEL, "health_path": "/health", "max_conns": 370,
            "protocol": "h1", "tls": False, "warmup_s": 3.0, "cold_per_s": 2.5,
            "engine": ENGINE,
        },
        {
            "name": DESK, "health_path": "/health", "max_conns": 110,
            "protocol": "h1", "tls": False, "warmup_s": 0.0, "cold_per_s": 0.0,
        },
    ]
    return {
        "version": version, "routes": routes, "services": services, "limits": limits,
    }


def run_case(folder, play):
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    `play(deployment, record, has_trouble)` returns whether the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write("case begins", trouble=int(has_trouble))

    async def main():
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(record, temporary)
            try:
                return await asyncio.wait_for(
                    play(deployment, record, has_trouble), 110.0
                )
            finally:
                await deployment.stop()
                await asyncio.sleep(0.1)
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for daemon in deployment.daemons:
                        source = pathlib.Path(temporary) / f"{daemon.name}.log"
                        target = pathlib.Path(keep) / source.name
                        target.write_bytes(source.read_bytes())

    # Channels that are open at the end complain when the loop is gone.
    sys.unraisablehook = lambda unraisable: None
    try:
        is_broken = asyncio.run(main())
    except (CannotRun, OSError, asyncio.TimeoutError) as exc:
        record.write("could not run", why=repr(exc))
        record.close()
        print(f"could not run: {exc!r}")
        return 2
    record.write("rule is broken" if is_broken else "rule holds")
    record.close()
    print("rule is broken" if is_broken else "rule holds")
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit("this file is a library of the cases")
