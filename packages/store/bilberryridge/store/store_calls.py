"""Store calls on the selector of the platform task."""

import time
from collections.abc import Callable
from typing import TypeVar

import pycurl
from returns import result

from bilberryridge.decisions import events
from bilberryridge.store import calls, etcd, settings
from bilberryridge.utilities import metrics

T = TypeVar("T")

Post = Callable[[events.Event], None]


class StoreCalls:
    """Makes calls and reports when the store becomes reachable or unreachable.

    Parameters
    ----------
    cfg : PlatformSettings
    http_calls : Calls
    post : callable
        Takes events.
    counts : Metrics
    """

    def __init__(
        self,
        cfg: settings.PlatformSettings,
        http_calls: calls.Calls,
        post: Post,
        counts: metrics.Metrics,
    ):
        self._cfg = cfg
        self._http_calls = http_calls
        self._post = post
        self._counts = counts
        self._is_reachable: bool | None = None

    def start(
        self,
        kind: str,
        path: str,
        body: bytes,
        decode: Callable[[bytes], T],
        on_result: Callable[[result.Result[T, etcd.StoreFailure]], None],
        timeout_s: float | None = None,
    ) -> pycurl.Curl:
        """Start a call; `on_result` takes its classified result.

        Parameters
        ----------
        kind : str
            Label in the metrics.
        path : str
        body : bytes
        decode : callable
            Decodes the body of a successful answer or raises `AnswerError`.
        on_result : callable
        timeout_s : float, optional
            By default that of the settings.
        """

        def on_ended(call_result: calls.CallResult) -> None:
            store_result = etcd.classify_result(call_result, decode)
            self.report_reachability(isinstance(store_result, result.Success))
            on_result(store_result)

        self._counts.count("store_calls", (kind,))
        call = self._make_call(kind, path, body, timeout_s or self._cfg.call_timeout_s)
        return self._http_calls.start(call, on_ended)

    def start_stream(
        self,
        kind: str,
        path: str,
        body: bytes,
        on_data: calls.OnData,
        on_result: calls.OnResult,
    ) -> pycurl.Curl:
        """Start a call whose answer is an endless stream."""
        self._counts.count("store_calls", (kind,))
        call = self._make_call(kind, path, body, 0.0)
        return self._http_calls.start_stream(call, on_data, on_result)

    def cancel(self, curl: pycurl.Curl) -> None:
        """Cancel a call."""
        self._http_calls.cancel(curl)

    def report_reachability(self, is_reachable: bool) -> None:
        """Post an event if the reachability of the store has changed."""
        if is_reachable != self._is_reachable:
            self._is_reachable = is_reachable
            self._post(events.StoreReachable(is_reachable))

    def _make_call(
        self, kind: str, path: str, body: bytes, timeout_s: float
    ) -> calls.Call:
        return calls.Call(
            kind=kind,
            method="POST",
            url=self._cfg.store_endpoint + path,
            body=body,
            timeout_s=timeout_s,
            source_host=self._cfg.source_host,
        )


def now_s() -> float:
    """Return the monotonic time used by the task's timers."""
    return time.monotonic()
