"""Compares token streams through the edge task with direct streams.

Each run has two token sources and two sets of callers, one pair with the edge between
them. All run at the same time on loopback, each in its own process, so that both pairs
see the same jitter of the machine.

``python -m bilberryridge.standins.stream_load [--streams 450 900] [--seconds 15]``
"""

import argparse
import contextlib
import json
import os
import pathlib
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

PACKAGE = "bilberryridge.standins."
RAMP_S = 4.0
TAIL_S = 0.5
STOP_S = 10.0
FIRST_PORT = 9000
MIB = 1 << 20
STEPS = (450, 900, 1350)


@contextlib.contextmanager
def _running(module: str, *arguments: object) -> Iterator[subprocess.Popen]:
    """Run a process; at the end close its input and wait for its exit."""
    command = [sys.executable, "-m", PACKAGE + module, *map(str, arguments)]
    process = subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    try:
        yield process
    finally:
        assert process.stdin is not None
        process.stdin.close()
        try:
            process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _wait_ready(process: subprocess.Popen) -> None:
    assert process.stdout is not None
    if process.stdout.readline().strip() != "ready":
        raise SystemExit("a process of the run did not start")


def cpu_s(pid: int) -> float:
    """CPU time of a process so far, user and system."""
    after_name = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    fields = after_name.split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run_queue_s(pid: int) -> float:
    """Time that all threads of a process waited for a core while runnable."""
    threads = pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(path.read_text().split()[1]) for path in threads) / 1e9


def rss_bytes(pid: int) -> int:
    """Resident memory of a process."""
    n_pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return n_pages * os.sysconf("SC_PAGE_SIZE")


def _wait_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


def _result_of(process: subprocess.Popen) -> dict[str, Any]:
    assert process.stdout is not None
    return json.loads(process.stdout.read())


def run(n_streams: int, seconds: float, host: str, profile: str = "") -> dict[str, Any]:
    """Run direct and edge streams at once; report on both and the edge's process.

    Parameters
    ----------
    n_streams : int
        Number of direct streams, and of streams through the edge.
    seconds : float
        Duration of the measurement, after the streams have opened.
    host : str
        Loopback address of the run.
    profile : str
        Path of the edge's profile; empty for none.
    """
    direct_source, edge_source, callers, relay = (
        f"{host}:{FIRST_PORT + n}" for n in range(4)
    )
    from_s = time.monotonic() + RAMP_S
    until_s = from_s + seconds
    edge_arguments = [callers, relay, edge_source, *([profile] if profile else [])]
    span = (n_streams, from_s, until_s)
    with contextlib.ExitStack() as stack:

        def start(module: str, *arguments: object) -> subprocess.Popen:
            return stack.enter_context(_running(module, *arguments))

        sources = [
            start("stream_source", x, until_s + TAIL_S)
            for x in (direct_source, edge_source)
        ]
        edge = start("stream_edge", *edge_arguments)
        for process in (*sources, edge):
            _wait_ready(process)
        readers = [start("stream_reader", x, *span) for x in (direct_source, callers)]
        _wait_until(from_s)
        before_s, queued_before_s = cpu_s(edge.pid), run_queue_s(edge.pid)
        _wait_until(until_s)
        cpu_used_s = cpu_s(edge.pid) - before_s
        queued_s = run_queue_s(edge.pid) - queued_before_s
        resident = rss_bytes(edge.pid)
        direct_result, edge_result = (_result_of(reader) for reader in readers)
    return {
        "seconds": seconds,
        "edge_cpu_s": round(cpu_used_s, 2),
        "edge_core_share": round(cpu_used_s / seconds, 3),
        "edge_run_queue_s": round(queued_s, 3),
        "edge_rss_mib": round(resident / MIB, 1),
        "added_p99_ms": _added(direct_result, edge_result, "latency_ms", "p99"),
        "added_gap_p95_ms": _added(
            direct_result, edge_result, "gap_at_caller_ms", "p95"
        ),
        "direct": direct_result,
        "edge": edge_result,
    }


def _added(
    direct_result: dict, edge_result: dict, what: str, percentile: str
) -> float | None:
    if not direct_result[what] or not edge_result[what]:
        return None
    return round(edge_result[what][percentile] - direct_result[what][percentile], 3)


def main() -> None:
    """Run each number of streams and print one JSON line for each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", type=int, nargs="+", default=STEPS)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--host", default="127.77.0.1")
    parser.add_argument("--profile", default="")
    arguments = parser.parse_args()
    for n_streams in arguments.streams:
        result = run(n_streams, arguments.seconds, arguments.host, arguments.profile)
        print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
