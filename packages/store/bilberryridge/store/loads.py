"""Reading of the load reports of backend servers.

References
----------
Prometheus text-based exposition format.
"""

import math
import random
import re
import time
from collections.abc import Callable

import attrs
import pycurl
from returns import result

from bilberryridge.decisions import effects, events
from bilberryridge.store import calls, settings, timers
from bilberryridge.utilities import metrics

METRICS_PATH = "/metrics"
MAX_REPORT_BYTES = 4 * 1024 * 1024
MAX_REQUESTS = 10**6
HTTP_OK = 200

_SAMPLE = re.compile(
    rb"^(?:vllm:num|service)_requests_(running|waiting)"
    rb"(?:\{[^\n]*\})?[ \t]+([0-9eE+.-]+)",
    re.MULTILINE,
)


@attrs.frozen
class Load:
    """Number of running and waiting requests, summed over a server's models."""

    n_running: int
    n_waiting: int


def decode_report(body: bytes) -> Load | None:
    """Return the load in a report, or None if it is missing or invalid.

    Examples
    --------
    >>> decode_report(b'vllm:num_requests_running{model_name="m"} 3.0\\n'
    ...               b'vllm:num_requests_waiting{model_name="m"} 1.0\\n')
    Load(n_running=3, n_waiting=1)
    >>> decode_report(b"service_requests_running 1")
    """
    sums = {b"running": 0.0, b"waiting": 0.0}
    found = set()
    for name, value in _SAMPLE.findall(body):
        try:
            sums[name] += float(value)
        except ValueError:
            return None
        found.add(name)
    if len(found) < len(sums):
        return None
    if not all(math.isfinite(n) and 0 <= n <= MAX_REQUESTS for n in sums.values()):
        return None
    return Load(int(sums[b"running"]), int(sums[b"waiting"]))


@attrs.define
class PolledServer:
    """State of a server that is polled at an interval.

    Parameters
    ----------
    address : str
    timer : Timer or None
    curl : pycurl.Curl or None
        Read in flight.
    """

    address: str
    timer: timers.Timer | None = None
    curl: pycurl.Curl | None = None


class LoadReader:
    """Polls the load reports of a set of servers, spread over the interval.

    Parameters
    ----------
    cfg : PlatformSettings
    http_calls : Calls
    task_timers : Timers
    post : callable
        Takes events.
    counts : Metrics
    random_state : random.Random
    """

    def __init__(
        self,
        cfg: settings.PlatformSettings,
        http_calls: calls.Calls,
        task_timers: timers.Timers,
        post: Callable[[events.Event], None],
        counts: metrics.Metrics,
        random_state: random.Random,
    ):
        self._cfg = cfg
        self._http_calls = http_calls
        self._timers = task_timers
        self._post = post
        self._counts = counts
        self._random_state = random_state
        self._polled: dict[str, PolledServer] = {}

    @property
    def interval_s(self) -> float:
        """Time between two reads of one server; longer if there are many servers."""
        max_reads_per_s = self._cfg.max_load_reads_per_s
        return max(self._cfg.load_interval_s, len(self._polled) / max_reads_per_s)

    def replace(self, effect: effects.ReadLoads, now_s: float) -> None:
        """Replace the set of polled servers."""
        requested = dict(effect.servers)
        for server, polled in list(self._polled.items()):
            if requested.get(server) != polled.address:
                self._stop(server, polled)
        for server, address in requested.items():
            if server not in self._polled:
                self._polled[server] = PolledServer(address)
                wait_s = self._random_state.uniform(0, self._cfg.load_interval_s)
                self._read_at(server, now_s + wait_s)

    def _stop(self, server: str, polled: PolledServer) -> None:
        del self._polled[server]
        if polled.timer is not None:
            polled.timer.cancel()
        if polled.curl is not None:
            self._http_calls.cancel(polled.curl)

    def _read_at(self, server: str, due_s: float) -> None:
        timer = self._timers.at(due_s, lambda: self._read(server, due_s))
        self._polled[server].timer = timer

    def _read(self, server: str, due_s: float) -> None:
        # The time-out does not exceed the interval, so that no two reads overlap. Reads
        # missed while the process was paused are not repeated.
        next_due_s = max(due_s + self.interval_s, time.monotonic())
        self._read_at(server, next_due_s)
        polled = self._polled[server]
        if polled.curl is not None:
            return
        call = calls.Call(
            kind="load",
            method="GET",
            url=f"http://{polled.address}{METRICS_PATH}",
            timeout_s=min(self._cfg.call_timeout_s, self._cfg.load_interval_s),
            max_answer_bytes=MAX_REPORT_BYTES,
            source_host=self._cfg.source_host,
        )
        polled.curl = self._http_calls.start(
            call, lambda call_result: self._on_result(server, call_result)
        )

    def _on_result(self, server: str, call_result: calls.CallResult) -> None:
        self._polled[server].curl = None
        load = None
        if (
            isinstance(call_result, result.Success)
            and call_result.unwrap().status == HTTP_OK
        ):
            load = decode_report(call_result.unwrap().body)
        if load is None:
            self._counts.count("loads_unread")
            self._post(events.LoadRead(server, is_answering=False))
        else:
            self._post(events.LoadRead(server, load.n_running, load.n_waiting))
