"""HTTP calls to the platform and for backend servers' load reports.

A `Call` can be made in two ways: blocking (`perform`) or on the selector of a task
(`Calls`). Each call is counted by its kind.
"""

import time
from collections.abc import Callable

import attrs
import pycurl
from returns import result

from bilberryridge.utilities import metrics, transfers

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MS_PER_S = 1000
KEEPALIVE_IDLE_S = 5


@attrs.frozen
class Call:
    """Parameters of one HTTP call.

    Parameters
    ----------
    kind : str
        Label in the metrics.
    method : str
    url : str
    body : bytes
    timeout_s : float
        For the whole call; 0 for an endless stream.
    max_answer_bytes : int
        A call with a longer body fails.
    source_host : str
        Source address of the call; empty for any.
    """

    kind: str
    method: str
    url: str
    body: bytes = b""
    timeout_s: float = 2.0
    max_answer_bytes: int = MAX_ANSWER_BYTES
    source_host: str = ""


@attrs.frozen
class Answer:
    """A complete answer."""

    status: int
    body: bytes


@attrs.frozen
class CallFailed:
    """A call without a complete answer.

    Parameters
    ----------
    is_sent : bool
        Whether any part of the request may have been sent.
    detail : str
    """

    is_sent: bool
    detail: str


CallResult = result.Result[Answer, CallFailed]
OnResult = Callable[[CallResult], None]
OnData = Callable[[bytes], int]
"""Called with a piece of an answer; returns the number of bytes accepted."""


class _BodyBuffer:
    """Buffers the body of an answer up to a maximum size."""

    def __init__(self, max_bytes: int):
        self._max_bytes = max_bytes
        self.data = bytearray()

    def write(self, data: bytes) -> int:
        if len(self.data) + len(data) > self._max_bytes:
            return 0
        self.data += data
        return len(data)


def perform(call: Call, counts: metrics.Metrics) -> CallResult:
    """Make a call and wait for its result."""
    body = _BodyBuffer(call.max_answer_bytes)
    curl = make_curl(call, body.write)
    began_s = time.monotonic()
    try:
        curl.perform()
        call_result = _call_result(curl, 0, "", body)
    except pycurl.error as exc:
        call_result = _call_result(curl, int(exc.args[0]), curl.errstr(), body)
    finally:
        curl.close()
    record_call(counts, call.kind, began_s, call_result)
    return call_result


class Calls:
    """Makes calls on the selector of a task; used only on that task's thread.

    Parameters
    ----------
    task_transfers : Transfers
    counts : Metrics
    """

    def __init__(self, task_transfers: transfers.Transfers, counts: metrics.Metrics):
        self._transfers = task_transfers
        self._counts = counts

    def start(self, call: Call, on_result: OnResult) -> pycurl.Curl:
        """Start a call; `on_result` is called exactly once unless it is cancelled."""
        body = _BodyBuffer(call.max_answer_bytes)
        began_s = time.monotonic()

        def on_done(curl: pycurl.Curl, errno: int, error_text: str) -> None:
            call_result = _call_result(curl, errno, error_text, body)
            record_call(self._counts, call.kind, began_s, call_result)
            on_result(call_result)

        return self._start_transfer(call, body.write, on_done)

    def start_stream(
        self, call: Call, on_data: OnData, on_result: OnResult
    ) -> pycurl.Curl:
        """Start a call whose answer is passed to `on_data` as it arrives."""
        no_body = _BodyBuffer(0)
        began_s = time.monotonic()

        def on_done(curl: pycurl.Curl, errno: int, error_text: str) -> None:
            call_result = _call_result(curl, errno, error_text, no_body)
            record_call(self._counts, call.kind, began_s, call_result)
            on_result(call_result)

        return self._start_transfer(call, on_data, on_done)

    def cancel(self, curl: pycurl.Curl) -> None:
        """Cancel a call and close its connection."""
        self._transfers.remove(curl)

    def _start_transfer(
        self, call: Call, write: Callable, on_done: transfers.OnDone
    ) -> pycurl.Curl:
        curl = make_curl(call, write)
        self._transfers.add(curl, on_done)
        return curl


def make_curl(call: Call, write: Callable) -> pycurl.Curl:
    """Create the libcurl transfer of a call."""
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, call.url)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)
    if call.body:
        curl.setopt(pycurl.POSTFIELDS, call.body)
        curl.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
    if call.source_host:
        curl.setopt(pycurl.INTERFACE, f"host!{call.source_host}")
    curl.setopt(pycurl.WRITEFUNCTION, write)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * MS_PER_S))
    curl.setopt(pycurl.TIMEOUT_MS, int(call.timeout_s * MS_PER_S))
    curl.setopt(pycurl.TCP_KEEPALIVE, 1)
    curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_IDLE_S)
    return curl


def _call_result(
    curl: pycurl.Curl, errno: int, error_text: str, body: _BodyBuffer
) -> CallResult:
    if errno:
        is_sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
        return result.Failure(CallFailed(is_sent, error_text))
    status = curl.getinfo(pycurl.RESPONSE_CODE)
    return result.Success(Answer(status, bytes(body.data)))


def record_call(
    counts: metrics.Metrics, kind: str, began_s: float, call_result: CallResult
) -> None:
    """Record the outcome and duration of a call."""
    outcome = "answered" if isinstance(call_result, result.Success) else "failed"
    counts.count("platform_calls_ended", (kind, outcome))
    counts.observe_s("platform_call_s", (kind,), time.monotonic() - began_s)
