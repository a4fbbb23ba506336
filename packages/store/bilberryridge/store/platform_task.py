"""The platform task: calls to store, VM list, directory and load reports.

All calls run on one selector.

See Also
--------
bilberryridge.store.watch : Reading and watching the configuration.
bilberryridge.store.claims : Claims in the store.
"""

import contextlib
import random
import selectors
import time
from collections.abc import Callable, Iterator

import attrs

from bilberryridge.decisions import effects, events
from bilberryridge.store import (
    calls,
    claims,
    directory,
    loads,
    settings,
    store_calls,
    timers,
    vm_list,
    watch,
)
from bilberryridge.utilities import mailbox, metrics, transfers

MAX_WAIT_S = 5.0
CLOSE_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 512

PlatformSettings = settings.PlatformSettings
DirectoryEntry = settings.DirectoryEntry
NULL_METRICS = metrics.NullMetrics()


@attrs.frozen
class Leave:
    """Message: remove this entry VM from the directory."""


@attrs.frozen
class Close:
    """Message: end the task."""


Effect = effects.WatchStore | effects.Claim | effects.ReadLoads
Message = Effect | Leave | Close


class Platform:
    """The platform task; created by `open_platform`.

    `put`, `leave` and `close` may be called from any thread, `run` from the thread that
    owns the sockets.
    """

    def __init__(
        self,
        cfg: settings.PlatformSettings,
        post: Callable[[events.Event], None],
        counts: metrics.Metrics,
        random_state: random.Random,
        inbox: mailbox.Mailbox[Message],
        selector: selectors.BaseSelector,
        task_transfers: transfers.Transfers,
    ):
        self._inbox = inbox
        self._selector = selector
        self._transfers = task_transfers
        self._timers = timers.Timers()
        self._close_deadline_s: float | None = None
        http_calls = calls.Calls(task_transfers, counts)
        store_client = store_calls.StoreCalls(cfg, http_calls, post, counts)
        task_timers = self._timers
        self._watcher = watch.Watcher(
            cfg, store_client, task_timers, post, counts, random_state
        )
        self._claimer = claims.Claimer(cfg, store_client, post, counts)
        self._loads = loads.LoadReader(
            cfg, http_calls, task_timers, post, counts, random_state
        )
        self._vm_list = vm_list.VmListReader(cfg, http_calls, task_timers, post, counts)
        self._registrar = directory.Registrar(cfg, http_calls, task_timers, counts)
        self._handlers: dict[type, Callable] = {
            effects.WatchStore: self._watcher.follow,
            effects.Claim: self._claimer.claim,
            effects.ReadLoads: self._read_loads,
            Leave: self._leave,
            Close: self._begin_close,
        }
        inbox.register(selector)

    def put(self, effect: Effect) -> None:
        """Queue an effect for the task."""
        self._inbox.put(effect)

    def leave(self) -> None:
        """Remove this entry VM from the directory; it is not registered again."""
        self._inbox.put(Leave())

    def close(self) -> None:
        """Make `run` remove the VM from the directory and return."""
        self._inbox.put(Close())

    def run(self) -> None:
        """Process messages, timers and transfers until `close`."""
        now_s = time.monotonic()
        self._vm_list.start()
        self._registrar.start(now_s)
        while not self._is_done():
            self._handle_ready_sockets()
            for message in self._inbox.take_all():
                self._handlers[type(message)](message)
            self._transfers.run_due()
            self._timers.run_due(time.monotonic())

    def _handle_ready_sockets(self) -> None:
        max_wait_s = self._timers.timeout_s(time.monotonic(), MAX_WAIT_S)
        for key, mask in self._selector.select(self._transfers.timeout_s(max_wait_s)):
            if key.data is self._transfers:
                self._transfers.on_ready(key, mask)

    def _is_done(self) -> bool:
        if self._close_deadline_s is None:
            return False
        return self._registrar.is_done or time.monotonic() >= self._close_deadline_s

    def _read_loads(self, effect: effects.ReadLoads) -> None:
        self._loads.replace(effect, time.monotonic())

    def _leave(self, _message: Leave) -> None:
        self._registrar.leave(time.monotonic())

    def _begin_close(self, _message: Close) -> None:
        now_s = time.monotonic()
        self._close_deadline_s = now_s + CLOSE_TIMEOUT_S
        self._timers.at(self._close_deadline_s, lambda: None)
        self._watcher.stop()
        self._registrar.leave(now_s)


@contextlib.contextmanager
def open_platform(
    cfg: settings.PlatformSettings,
    post: Callable[[events.Event], None],
    counts: metrics.Metrics = NULL_METRICS,
    random_state: random.Random | None = None,
) -> Iterator[Platform]:
    """Create the task; all its calls are cancelled at the end.

    Parameters
    ----------
    cfg : PlatformSettings
    post : callable
        Puts the task's events into the control task's mailbox.
    counts : Metrics, optional
    random_state : random.Random, optional
        Source of jitter.
    """
    with contextlib.ExitStack() as stack:
        selector = stack.enter_context(selectors.DefaultSelector())
        inbox = stack.enter_context(mailbox.open_mailbox())
        task_transfers = stack.enter_context(transfers.open_transfers(selector))
        task_transfers.set_max_idle_connections(MAX_IDLE_CONNECTIONS)
        yield Platform(
            cfg,
            post,
            counts,
            random_state or random.Random(),
            inbox,
            selector,
            task_transfers,
        )
