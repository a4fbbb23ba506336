"""Reading of the platform's list of VMs.

References
----------
Consul HTTP API, ``/v1/health/service``.
"""

import time
from collections.abc import Callable

from returns import result

from bilberryridge.decisions import events
from bilberryridge.store import calls, settings, timers
from bilberryridge.utilities import metrics, untrusted

LIST_PATH = "/v1/health/service/vm"
LEAVING_STATUS = "warning"
LIVE_STATUS = "passing"
HTTP_OK = 200


class ListError(ValueError):
    """An answer that is not a list of VMs."""


def decode_list(body: bytes) -> events.VmListRead:
    """Decode the list; VMs that are neither live nor leaving are omitted.

    Raises
    ------
    ListError
        The body is not a list of VMs.

    Examples
    --------
    >>> body = b'[{"Node": {"Node": "a"}, "Checks": [{"Status": "warning"}]}]'
    >>> [(vm, state.value) for vm, state in decode_list(body).states]
    [('a', 'leaving')]
    """
    try:
        entries = [
            (entry["Node"]["Node"], {check["Status"] for check in entry["Checks"]})
            for entry in untrusted.load_json(body)
        ]
    except (ValueError, TypeError, LookupError) as exc:
        raise ListError(repr(exc)) from exc
    states = ((vm, _state(statuses)) for vm, statuses in entries)
    return events.VmListRead(tuple((vm, state) for vm, state in states if state))


def _state(statuses: set[str]) -> events.VmState | None:
    if statuses <= {LIVE_STATUS}:
        return events.VmState.LIVE
    if statuses <= {LIVE_STATUS, LEAVING_STATUS}:
        return events.VmState.LEAVING
    return None


class VmListReader:
    """Reads the list at a fixed interval.

    Parameters
    ----------
    cfg : PlatformSettings
    http_calls : Calls
    task_timers : Timers
    post : callable
        Takes events.
    counts : Metrics
    """

    def __init__(
        self,
        cfg: settings.PlatformSettings,
        http_calls: calls.Calls,
        task_timers: timers.Timers,
        post: Callable[[events.Event], None],
        counts: metrics.Metrics,
    ):
        self._cfg = cfg
        self._http_calls = http_calls
        self._timers = task_timers
        self._post = post
        self._counts = counts
        self._last_body = b""
        self._last_read = events.VmListRead(())

    def start(self) -> None:
        """Read the list now and at every interval."""
        # The time-out does not exceed the interval, so that no two reads overlap.
        self._timers.at(time.monotonic() + self._cfg.list_interval_s, self.start)
        call = calls.Call(
            kind="vm_list",
            method="GET",
            url=self._cfg.list_endpoint + LIST_PATH,
            timeout_s=min(self._cfg.call_timeout_s, self._cfg.list_interval_s),
            source_host=self._cfg.source_host,
        )
        self._http_calls.start(call, self._on_result)

    def _on_result(self, call_result: calls.CallResult) -> None:
        if (
            isinstance(call_result, result.Failure)
            or call_result.unwrap().status != HTTP_OK
        ):
            self._counts.count("vm_lists_unread")
            return
        body = call_result.unwrap().body
        if body != self._last_body:
            try:
                self._last_read = decode_list(body)
            except ListError:
                self._counts.count("vm_lists_bad")
                return
            self._last_body = body
        self._post(self._last_read)
