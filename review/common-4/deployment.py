"""Daemons started with the command of the deploy file, before the project's stand-ins.

The store and its model are the project's own (`store_stand_in`); the settings have the
fields of DEPLOY.md with the figures of the site gare-muratori.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import time

import store_stand_in
from bilberryridge.standins import subnets

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "desk.example"
ZONES = {
    "catania-a": "sicilia-est",
    "palermo-a": "sicilia-ovest",
    "reggio-a": "calabria",
}
MEMORY_MB = 300
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
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def route(name, kind, service, **changes):
    row = {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 1200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "resumable": False,
        "home_regions": [],
    }
    return {**row, **changes}


def stream_route(name, service, **changes):
    more = {"sticky": True, "resumable": True, "gap_aim_ms": 800}
    return route(name, "stream", service, **{**more, **changes})


ENGINE = {
    "slots": 64,
    "kv_capacity": 447575,
    "kv_token_bytes": 18432,
    "link_speed_mbps": 370000.0,
    "stride": 6,
    "models": [{"name": "m"}],
}


def model_service(name="banco-modello"):
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 370,
        "warmup_s": 3.0,
        "cold_per_s": 2.5,
        "engine": ENGINE,
    }


def plain_service(name="app-gare"):
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 110,
        "warmup_s": 0.0,
        "cold_per_s": 0.0,
    }


class Daemon:
    """One daemon process."""

    def __init__(self, process, host, log_path):
        self.process = process
        self.host = host
        self.front = (host, 8144)
        self.log_path = log_path

    def memory_bytes(self):
        """Return what the process itself holds, without its files' pages."""
        text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024
        return 0

    def log(self):
        lines = self.log_path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Deployment:
    """A store and daemons on a loopback subnet of their own."""

    def __init__(self, subnet, stack, folder):
        self.subnet = subnet
        self.stack = stack
        self.folder = folder
        listener = store_stand_in.open_store(f"127.{subnet}.0.1")
        self.store, self.store_address = stack.enter_context(listener)
        self.daemons = {}

    def write_config(self, version, routes, services, **more):
        document = {
            "version": version,
            "routes": list(routes),
            "services": list(services),
            "limits": LIMITS,
            **more,
        }
        self.store.put("op/config", json.dumps(document).encode())

    def server_host(self, number=1):
        return f"127.{self.subnet}.2.{number}"

    def register(self, server_id, address, service, zone="catania-a", **changes):
        row = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000) - 60_000,
            **changes,
        }
        self.store.put(f"servers/{server_id}", json.dumps(row).encode())
        return row

    def start(self, name, zone="catania-a", store_address=None, wait_ready=True):
        number = sorted({*self.daemons, name}).index(name) + 1
        if name in self.daemons:
            host = self.daemons[name].host
        else:
            taken = {daemon.host for daemon in self.daemons.values()}
            host = f"127.{self.subnet}.1.{number}"
            while host in taken:
                number += 1
                host = f"127.{self.subnet}.1.{number}"
        settings = {
            "node_name": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": host,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {
                "front": f"{host}:8144",
                "ready": f"{host}:8140",
                "control": f"{host}:8146",
                "directory": f"{host}:8143",
            },
            "port_range": [7660, 7675],
            "seeds": [f"127.{self.subnet}.1.{n}:8146" for n in (1, 2, 3)],
            "bootstrap": False,
            "fault_counted": True,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": MEMORY_MB,
                "max_fds": 4100,
                "link_speed_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 1},
            "timing_bounds": BOUNDS,
            "platform": {
                "address": store_address or self.store_address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "retention_s": 20,
                "max_value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log_path = self.folder / f"{name}.log"
        log = log_path.open("ab")
        self.stack.callback(log.close)
        kept = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env["BILBERRYRIDGE_CONFIG"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        process = subprocess.Popen(
            ["python3", "platform/gateway.py"], cwd=ROOT, env=env, stdout=log
        )
        self.stack.callback(end, process)
        daemon = self.daemons[name] = Daemon(process, host, log_path)
        if wait_ready:
            wait_until(lambda: is_ready(daemon), 20.0)
        return daemon


def is_ready(daemon):
    import http.client

    conn = http.client.HTTPConnection(daemon.host, 8140, timeout=1.0)
    with contextlib.closing(conn), contextlib.suppress(OSError):
        conn.request("GET", "/api/ready")
        return conn.getresponse().status == 200
    return False


def end(process):
    if process.poll() is None:
        process.send_signal(signal.SIGKILL)
    process.wait()


def wait_until(condition, within_s):
    end_s = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("the case couldn't be set up")
        time.sleep(0.02)


@contextlib.contextmanager
def open_deployment(folder):
    with contextlib.ExitStack() as stack:
        subnet = stack.enter_context(subnets.held_subnet())
        yield Deployment(subnet, stack, pathlib.Path(folder))
