"""Registration of this entry VM in the platform's directory for clients.

References
----------
Consul HTTP API, ``/v1/agent/service``.
"""

import json

from returns import result

from bilberryridge.store import calls, settings, timers
from bilberryridge.utilities import metrics

SERVICE = "bilberryridge-entry"
REGISTER_PATH = "/v1/agent/service/register"
DEREGISTER_PATH = "/v1/agent/service/deregister/"
HTTP_OK = 200
RETRY_DELAY_S = 1.0


def register_call(cfg: settings.PlatformSettings) -> calls.Call:
    """Return the call that registers the entry VM; `cfg.entry` must be set."""
    assert cfg.entry is not None
    host, _, port = cfg.entry.address.rpartition(":")
    body = {
        "ID": cfg.entry.vm,
        "Name": SERVICE,
        "Address": host,
        "Port": int(port),
        "Meta": {"domain": cfg.entry.domain, "region": cfg.entry.region},
    }
    return _put_call(cfg, REGISTER_PATH, json.dumps(body).encode())


def deregister_call(cfg: settings.PlatformSettings) -> calls.Call:
    """Return the call that deregisters the entry VM; `cfg.entry` must be set."""
    assert cfg.entry is not None
    return _put_call(cfg, DEREGISTER_PATH + cfg.entry.vm, b"")


def _put_call(cfg: settings.PlatformSettings, path: str, body: bytes) -> calls.Call:
    return calls.Call(
        kind="directory",
        method="PUT",
        url=cfg.list_endpoint + path,
        body=body,
        timeout_s=cfg.call_timeout_s,
        source_host=cfg.source_host,
    )


class Registrar:
    """Keeps the entry VM registered until `leave`.

    Parameters
    ----------
    cfg : PlatformSettings
    http_calls : Calls
    task_timers : Timers
    counts : Metrics
    """

    def __init__(
        self,
        cfg: settings.PlatformSettings,
        http_calls: calls.Calls,
        task_timers: timers.Timers,
        counts: metrics.Metrics,
    ):
        self._cfg = cfg
        self._http_calls = http_calls
        self._timers = task_timers
        self._counts = counts
        self._is_leaving = False
        self._is_done = cfg.entry is None
        self._timer: timers.Timer | None = None

    @property
    def is_done(self) -> bool:
        """Whether the entry VM has been deregistered, or was never to be registered."""
        return self._is_done

    def start(self, now_s: float) -> None:
        """Register now and periodically, since the directory may lose the entry.

        After `leave` it deregisters instead.
        """
        if self._cfg.entry is None:
            return
        call = deregister_call if self._is_leaving else register_call
        is_leaving = self._is_leaving
        self._http_calls.start(
            call(self._cfg),
            lambda call_result: self._on_result(call_result, is_leaving, now_s),
        )

    def leave(self, now_s: float) -> None:
        """Deregister the entry VM."""
        if self._is_leaving or self._cfg.entry is None:
            return
        self._is_leaving = True
        self._schedule(now_s)

    def _on_result(
        self, call_result: calls.CallResult, is_leaving: bool, began_s: float
    ) -> None:
        is_ok = isinstance(call_result, result.Success)
        is_ok = is_ok and call_result.unwrap().status == HTTP_OK
        if not is_ok:
            self._counts.count("directory_calls_failed")
        if is_leaving != self._is_leaving:
            # A registration ended after `leave`. The directory may process it after the
            # deregistration, so that is sent again.
            self._schedule(began_s)
        elif is_leaving:
            self._is_done = is_ok
            if not is_ok:
                self._schedule(began_s + RETRY_DELAY_S)
        else:
            wait_s = self._cfg.directory_interval_s if is_ok else RETRY_DELAY_S
            self._schedule(began_s + wait_s)

    def _schedule(self, due_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._timers.at(due_s, lambda: self.start(due_s))
