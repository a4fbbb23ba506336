"""Follow the store's changes across outages, compaction and silent connections."""

import logging
import random
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.store import mirror

LOGGER = logging.getLogger("bilberryridge")

WATCH_TIMEOUT_S = 3.5
"""Long-poll time-out of one watch: long, because each call to the store is charged. A
silent connection is noticed after this time and the margin of the call, within the 5 s
in which a daemon must be in contact with the store again."""
COALESCING_PAUSE_S = 0.2
"""Pause after a watch that returned changes, so that changes made close together take
one call. The strictest bound on the delay, for leaving servers and configuration, is
3 s."""
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 0.5
"""Wait before the next attempt: short, because the changes missed meanwhile are already
in force."""
UNAVAILABLE_AFTER_S = 0.6
"""Time without an answer after which the store counts as unavailable. Its calls take
5 ms."""
SETTLING_TIME_S = 2.5
"""After an outage servers register again within 2 s; 0.5 s allows for network delay."""


@attrs.frozen
class CallFailure:
    """A call to the store failed.

    Parameters
    ----------
    detail : str
    is_history_lost : bool
        Whether the store has discarded the requested changes (compaction).
    """

    detail: str
    is_history_lost: bool = False


OnChanges = Callable[[mirror.Changes | CallFailure], None]


class StoreReader(Protocol):
    """Read calls of a store; `on_answer` is called later, on the same thread."""

    def read_all(self, on_answer: OnChanges) -> None:
        """Read all keys."""

    def watch(self, after: int, wait_s: float, on_answer: OnChanges) -> None:
        """Wait for changes after a revision.

        Parameters
        ----------
        after : int
            Revision.
        wait_s : float
            Longest wait; without changes the answer is empty, which is not a failure.
        on_answer : callable
        """


class Clock(Protocol):
    """The functions of the event loop that the follower uses."""

    def now_s(self) -> float:
        """Return the monotonic time."""

    def after(self, seconds: float, action: Callable[[], None]) -> object:
        """Run an action later."""


@attrs.define
class Health:
    """Availability of the store.

    Parameters
    ----------
    last_answer_s : float
        Monotonic time of the last successful answer, also an empty one of a watch.
    recovered_s : float
        Monotonic time at which the last outage ended.
    is_unavailable : bool
        Whether the last call failed, or none has been answered yet.
    was_available : bool
        Whether any call has been answered.
    """

    last_answer_s: float = float("-inf")
    recovered_s: float = float("-inf")
    is_unavailable: bool = True
    was_available: bool = False


class Follower:
    """Keeps a mirror up to date.

    Parameters
    ----------
    reader : StoreReader
    store_mirror : Mirror
    clock : Clock
    random_state : random.Random
    on_settled : Callable
        Called after an outage, when entries whose leases expired in it have had time to
        be registered again.
    """

    def __init__(
        self,
        reader: StoreReader,
        store_mirror: mirror.Mirror,
        clock: Clock,
        random_state: random.Random,
        on_settled: Callable[[], None],
    ):
        self.health = Health()
        self._reader = reader
        self._mirror = store_mirror
        self._clock = clock
        self._random_state = random_state
        self._on_settled = on_settled
        self._n_failures = 0
        self._is_complete = False

    def start(self) -> None:
        """Read all keys, then follow their changes."""
        self._request_changes()

    @property
    def is_settled(self) -> bool:
        """Whether a missing key was removed, rather than lost in an outage."""
        now_s = self._clock.now_s()
        return (
            not self.health.is_unavailable
            and now_s - self.health.recovered_s >= SETTLING_TIME_S
        )

    def _request_changes(self) -> None:
        if self._is_complete:
            self._reader.watch(self._mirror.revision, WATCH_TIMEOUT_S, self._on_watched)
        else:
            self._reader.read_all(self._on_read)

    def _on_read(self, answer: mirror.Changes | CallFailure) -> None:
        if isinstance(answer, CallFailure):
            self._on_failure(answer)
            return
        self._record_answer()
        self._is_complete = True
        self._mirror.apply(answer)
        self._request_changes()

    def _on_watched(self, answer: mirror.Changes | CallFailure) -> None:
        if isinstance(answer, CallFailure):
            self._on_failure(answer)
            return
        self._record_answer()
        self._mirror.apply(answer)
        if answer.updates:
            self._clock.after(COALESCING_PAUSE_S, self._request_changes)
        else:
            self._request_changes()

    def _on_failure(self, failure: CallFailure) -> None:
        if failure.is_history_lost:
            LOGGER.info("the store's history is lost", extra={"detail": failure.detail})
            self._is_complete = False
            self._request_changes()
            return
        self._n_failures += 1
        if not self.health.is_unavailable:
            self.health.is_unavailable = True
            LOGGER.info("the store is away", extra={"detail": failure.detail})
        backoff_s = self._random_state.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
        self._clock.after(backoff_s, self._request_changes)

    def _record_answer(self) -> None:
        health = self.health
        now_s = self._clock.now_s()
        health.last_answer_s = now_s
        if not health.is_unavailable:
            return
        health.is_unavailable = False
        if health.was_available:
            # At the first contact no entry was known that can have expired.
            health.recovered_s = now_s
            self._clock.after(SETTLING_TIME_S + 0.01, self._on_settled)
        health.was_available = True
        LOGGER.info("the store answers", extra={"failures": self._n_failures})
        self._n_failures = 0
