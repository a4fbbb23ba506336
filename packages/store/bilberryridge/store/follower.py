"""Follow the store's changes across outages, compaction and silent connections."""

import logging
import random
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.store import mirror, store_era

LOGGER = logging.getLogger("bilberryridge")

WATCH_TIMEOUT_S = 3.5
"""Long-poll time-out of one watch: long, because each call to the store is charged. A
silent connection is noticed after this time and the margin of the call, within the 5 s
in which a daemon must be in contact with the store again."""
CHECK_WAIT_S = 0.001
"""Long-poll time-out of a check: the shortest, as it is answered at once. The call
after a failure is a check as well, as a watch would wait for the next change."""
COALESCING_PAUSE_S = 0.2
"""Pause after a watch that returned changes, so that changes made close together take
one call. The strictest bound on the delay, for leaving servers and configuration, is
3 s."""
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 0.5
"""Wait before the next attempt: short, because the changes missed meanwhile are already
in force."""
MIN_OUTAGE_S = 1.0
"""Shortest time without an answer that counts as an outage where a single call has
failed. Servers write every 1.2 s, and three writes have to be missed in a row before
an entry expires."""
SETTLING_TIME_S = 2.5
"""After an outage servers register again within 2 s; 0.5 s allows for network delay."""
WITHHELD_S = 6.5
"""Time after the store came back from an older copy until the values are taken that it
lists and that were replaced or deleted before. An entry that its server does not write
again ends within three intervals of 1.2 s after the settling time."""
COVERED_CHECK_S = 0.2
"""Interval of the question whether another daemon still follows the store for this
one."""
MAX_RESTART_DELAY_S = 0.5
"""Upper bound of the random delay before all keys are read again after lost history or
in a new era, which all daemons notice at the same moment."""


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
        Monotonic time at which the last outage ended. A watch that was cut, though the
        store answers all other calls, is no outage.
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
    eras : EraMonitor
    on_settled : Callable
        Called after an outage, when entries whose leases expired in it have had time to
        be registered again.
    on_new_era : Callable
        Called when the mirror follows a store that came back from an older copy.
    on_advanced : Callable
        Called with the mirror's era and revision before changes of the store.
    is_covered : Callable
        Returns whether another daemon follows the store for this one, so that no call
        is needed.
    """

    def __init__(
        self,
        reader: StoreReader,
        store_mirror: mirror.Mirror,
        clock: Clock,
        random_state: random.Random,
        eras: store_era.EraMonitor,
        on_settled: Callable[[], None],
        on_new_era: Callable[[], None] = lambda: None,
        on_advanced: Callable[[int, int], None] = lambda era, revision: None,
        is_covered: Callable[[], bool] = lambda: False,
    ):
        self.health = Health()
        self._reader = reader
        self._mirror = store_mirror
        self._clock = clock
        self._random_state = random_state
        self._on_settled = on_settled
        self._on_new_era = on_new_era
        self._on_advanced = on_advanced
        self._is_covered = is_covered
        self._n_failures = 0
        self._longest_gap_s = 0.0
        self._n_restarts = 0
        self._is_complete = False
        self._is_restored = False
        eras.subscribe(self._on_era)

    def start(self) -> None:
        """Read all keys, then follow their changes."""
        self._request_changes(self._n_restarts)

    def check(self, on_checked: Callable[[bool], None]) -> None:
        """Ask the store for all changes until now, beside the open watch.

        Parameters
        ----------
        on_checked : Callable
            Called once, with whether the mirror has them.
        """
        n_restarts = self._n_restarts

        def on_answer(answer: mirror.Changes | CallFailure) -> None:
            is_restarted = n_restarts != self._n_restarts
            if isinstance(answer, CallFailure) or is_restarted:
                on_checked(False)
            else:
                self._apply(answer)
                on_checked(True)

        if self._is_complete and not self.health.is_unavailable:
            self._reader.watch(self._mirror.revision, CHECK_WAIT_S, on_answer)
        else:
            self._clock.after(0.0, lambda: on_checked(False))

    @property
    def age_s(self) -> float:
        """Time since the store's last answer; infinite while it is unavailable."""
        if self.health.is_unavailable:
            return float("inf")
        return self._clock.now_s() - self.health.last_answer_s

    def record_contact(self) -> None:
        """Record that the store has answered a call, also another one than a read."""
        now_s = self._clock.now_s()
        gap_s = now_s - self.health.last_answer_s
        self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self.health.last_answer_s = now_s

    @property
    def is_settled(self) -> bool:
        """Whether a missing key was removed, rather than lost in an outage."""
        now_s = self._clock.now_s()
        return (
            not self.health.is_unavailable
            and now_s - self.health.recovered_s >= SETTLING_TIME_S
        )

    def _request_changes(self, n_restarts: int) -> None:
        """Make the next call, unless the following has been restarted meanwhile."""
        if n_restarts != self._n_restarts:
            return
        if not self._is_complete:
            revision = self._mirror.revision
            self._reader.read_all(
                self._unless_restarted(lambda answer: self._on_read(answer, revision))
            )
            return
        if not self.health.is_unavailable and self._is_covered():
            self._schedule(COVERED_CHECK_S)
            return
        on_watched = self._unless_restarted(self._on_watched)
        wait_s = CHECK_WAIT_S
        if not self.health.is_unavailable:
            wait_s = WATCH_TIMEOUT_S
            self._longest_gap_s = 0.0
        self._reader.watch(self._mirror.revision, wait_s, on_watched)

    def _unless_restarted(self, on_answer: OnChanges) -> OnChanges:
        """Return a callback that drops an answer from before a restart."""
        n_restarts = self._n_restarts

        def on_current_answer(answer: mirror.Changes | CallFailure) -> None:
            if n_restarts == self._n_restarts:
                on_answer(answer)

        return on_current_answer

    def _schedule(self, delay_s: float) -> None:
        n_restarts = self._n_restarts
        self._clock.after(delay_s, lambda: self._request_changes(n_restarts))

    def _restart(self) -> None:
        """Read all keys again after a random delay; open calls are ignored."""
        self._n_restarts += 1
        self._is_complete = False
        self._schedule(self._random_state.uniform(0.0, MAX_RESTART_DELAY_S))

    def _on_era(self, before: int, era: int) -> None:
        if before:
            LOGGER.warning(
                "the store came back from a copy",
                extra={"era": era, "before": before, "revision": self._mirror.revision},
            )
            self._is_restored = True
            self._restart()

    def _on_read(
        self, answer: mirror.Changes | CallFailure, revision_before: int
    ) -> None:
        if isinstance(answer, CallFailure):
            self._on_failure(answer)
            return
        self._record_answer()
        era, revision = self._mirror.era, self._mirror.revision
        self._is_complete = True
        # A store that tells no era is known to be restored by its revision.
        if self._is_restored or answer.revision < revision_before:
            self._is_restored = False
            self._follow_restored(answer, revision_before)
        else:
            self._mirror.apply(answer)
        self._on_advanced(era, revision)
        self._request_changes(self._n_restarts)

    def _follow_restored(self, changes: mirror.Changes, revision_before: int) -> None:
        """Follow a store that came back from a copy."""
        # Before the mirror calls back, as entries that are missing now may be restored.
        self._settle()
        if changes.era != self._mirror.era or changes.revision < revision_before:
            self._mirror.enter_era(changes)
        else:
            # A linked daemon has told the new era before.
            self._mirror.apply(changes)
        log_fields = {
            "era": changes.era,
            "revision": changes.revision,
            "withheld": len(self._mirror.withheld),
        }
        LOGGER.warning("following the restored store", extra=log_fields)
        self._clock.after(WITHHELD_S, lambda: self._accept_withheld(changes.era))
        self._on_new_era()

    def _accept_withheld(self, era: int) -> None:
        if self._mirror.era == era:
            self._mirror.accept_withheld()

    def _on_watched(self, answer: mirror.Changes | CallFailure) -> None:
        if isinstance(answer, CallFailure):
            self._on_failure(answer)
            return
        self._apply(answer)
        if answer.updates:
            self._schedule(COALESCING_PAUSE_S)
        else:
            self._request_changes(self._n_restarts)

    def _apply(self, changes: mirror.Changes) -> None:
        self._record_answer()
        era, revision = self._mirror.era, self._mirror.revision
        self._mirror.apply(changes)
        self._on_advanced(era, revision)

    def _on_failure(self, failure: CallFailure) -> None:
        if failure.is_history_lost:
            LOGGER.info("the store's history is lost", extra={"detail": failure.detail})
            self._restart()
            return
        self._n_failures += 1
        detail = {"detail": failure.detail}
        if not self.health.is_unavailable:
            self.health.is_unavailable = True
            LOGGER.info("a call to the store failed", extra=detail)
            # Soon, as the store may only have cut a watch.
            self._schedule(self._random_state.uniform(0.0, MIN_BACKOFF_S))
            return
        if self._n_failures == 2:
            LOGGER.info("the store is away", extra=detail)
        self._schedule(self._random_state.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S))

    def _record_answer(self) -> None:
        health = self.health
        self.record_contact()
        if not health.is_unavailable:
            return
        is_first = not health.was_available
        health.is_unavailable, health.was_available = False, True
        log_fields: dict[str, object] = {"failures": self._n_failures}
        if not is_first:
            # At the first contact no entry was known that can have expired.
            is_outage = self._n_failures > 1 or self._longest_gap_s >= MIN_OUTAGE_S
            unanswered_s = round(self._longest_gap_s, 3)
            log_fields |= {"unanswered_s": unanswered_s, "is_outage": is_outage}
            if is_outage:
                self._settle()
        LOGGER.info("the store answers", extra=log_fields)
        self._n_failures = 0

    def _settle(self) -> None:
        """Count a missing key as removed only after the settling time."""
        self.health.recovered_s = self._clock.now_s()
        self._clock.after(SETTLING_TIME_S + 0.01, self._on_settled)
