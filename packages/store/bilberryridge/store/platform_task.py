"""The platform task: store, VM list, directory and load reports on one selector.

See Also
--------
bilberryridge.store.watch : the configuration.
bilberryridge.store.claims : claims in the store.
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

LONGEST_WAIT_S = 5.0
CLOSE_TIMEOUT_S = 1.0
MAX_KEPT_CONNECTIONS = 512

PlatformSettings = settings.PlatformSettings
DirectoryEntry = settings.DirectoryEntry
DISCARDED = metrics.NullMetrics()


@attrs.frozen
class Leave:
    """Take this entry VM out of the directory."""


@attrs.frozen
class Close:
    """End the task."""


Effect = effects.WatchStore | effects.Claim | effects.ReadLoads
Message = Effect | Leave | Close


class Platform:
    """The platform task; made by `open_platform`.

    `put`, `leave` and `close` are for any thread, `run` is for the one that owns the
    sockets.
    """

    def __init__(
        self,
        cfg: settings.PlatformSettings,
        post: Callable[[events.Event], None],
        counts: metrics.Metrics,
        random_state: random.Random,
        box: mailbox.Mailbox[Message],
        selector: selectors.BaseSelector,
        running: transfers.Transfers,
    ):
        self._box = box
        self._selector = selector
        self._running = running
        self._later = timers.Timers()
        self._close_by_s: float | None = None
        http = calls.Calls(running, counts)
        to_store = store_calls.StoreCalls(cfg, http, post, counts)
        later = self._later
        self._watcher = watch.Watcher(cfg, to_store, later, post, counts, random_state)
        self._claimer = claims.Claimer(cfg, to_store, post, counts)
        self._loads = loads.LoadReader(cfg, http, later, post, counts, random_state)
        self._vm_list = vm_list.VmListReader(cfg, http, later, post, counts)
        self._registrar = directory.Registrar(cfg, http, later, counts)
        self._handlers: dict[type, Callable] = {
            effects.WatchStore: self._watcher.follow,
            effects.Claim: self._claimer.claim,
            effects.ReadLoads: self._read_loads,
            Leave: self._leave,
            Close: self._begin_close,
        }
        box.register(selector)

    def put(self, effect: Effect) -> None:
        """Hand the task an effect."""
        self._box.put(effect)

    def leave(self) -> None:
        """Take this entry VM out of the directory; it is not registered again."""
        self._box.put(Leave())

    def close(self) -> None:
        """Let `run` take the VM out of the directory and return."""
        self._box.put(Close())

    def run(self) -> None:
        """Serve the platform's side until `close`."""
        now_s = time.monotonic()
        self._vm_list.start()
        self._registrar.start(now_s)
        while not self._is_done():
            self._wait()
            for message in self._box.take_all():
                self._handlers[type(message)](message)
            self._running.run_due()
            self._later.run_due(time.monotonic())

    def _wait(self) -> None:
        longest_s = self._later.timeout_s(time.monotonic(), LONGEST_WAIT_S)
        for key, mask in self._selector.select(self._running.timeout_s(longest_s)):
            if key.data is self._running:
                self._running.on_ready(key, mask)

    def _is_done(self) -> bool:
        if self._close_by_s is None:
            return False
        return self._registrar.is_done or time.monotonic() >= self._close_by_s

    def _read_loads(self, effect: effects.ReadLoads) -> None:
        self._loads.replace(effect, time.monotonic())

    def _leave(self, _message: Leave) -> None:
        self._registrar.leave(time.monotonic())

    def _begin_close(self, _message: Close) -> None:
        now_s = time.monotonic()
        self._close_by_s = now_s + CLOSE_TIMEOUT_S
        self._later.at(self._close_by_s, lambda: None)
        self._watcher.stop()
        self._registrar.leave(now_s)


@contextlib.contextmanager
def open_platform(
    cfg: settings.PlatformSettings,
    post: Callable[[events.Event], None],
    counts: metrics.Metrics = DISCARDED,
    random_state: random.Random | None = None,
) -> Iterator[Platform]:
    """Make the task, and give up all its calls at the end.

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
        box = stack.enter_context(mailbox.open_mailbox())
        running = stack.enter_context(transfers.open_transfers(selector))
        running.keep_connections(MAX_KEPT_CONNECTIONS)
        yield Platform(
            cfg,
            post,
            counts,
            random_state or random.Random(),
            box,
            selector,
            running,
        )
