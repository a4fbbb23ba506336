"""Follow the store's changes through outages, lost history and silent connections."""

import logging
import random
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.store import mirror

LOGGER = logging.getLogger("bilberryridge")

WATCH_WAIT_S = 3.5
"""Longest wait of one watch, as each call is priced. A silent connection shows after it
and its margin, within the 5 s after which a daemon counts as in touch again."""
GATHER_S = 0.2
"""Pause after changes, so that those that come together take one call; the tightest
bound, for leaving servers and configuration, is 3 s."""
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 0.5
"""Wait before the next try: short, as what was missed is in force already."""
AWAY_AFTER_S = 0.6
"""Without an answer for so long the store counts as away; its calls take 5 ms."""
SETTLE_S = 2.5
"""After an outage servers register again within 2 s; half a second for the way."""


@attrs.frozen
class CallFailure:
    """A call to the store failed.

    Parameters
    ----------
    detail : str
    is_history_lost : bool
        Whether the store no longer has the changes that were asked for.
    """

    detail: str
    is_history_lost: bool = False


OnChanges = Callable[[mirror.Changes | CallFailure], None]


class StoreReader(Protocol):
    """Reading calls of a store; the answer comes later, on the same thread."""

    def read_all(self, on_answer: OnChanges) -> None:
        """Read all keys."""

    def watch(self, after: int, wait_s: float, on_answer: OnChanges) -> None:
        """Wait for changes after a revision; none in time is no failure."""


class Clock(Protocol):
    """What the follower needs of the loop."""

    def now_s(self) -> float:
        """Return the monotonic time."""

    def after(self, seconds: float, action: Callable[[], None]) -> object:
        """Run an action later."""


@attrs.define
class Health:
    """Whether the store answers.

    Parameters
    ----------
    answered_s : float
        Time of the last answer, or of a wait that is as it should be.
    returned_s : float
        When it last came back.
    """

    answered_s: float = float("-inf")
    returned_s: float = float("-inf")
    is_unavailable: bool = True
    was_there: bool = False


class Follower:
    """Keeps a mirror up to date.

    Parameters
    ----------
    reader : StoreReader
    copy : Mirror
    clock : Clock
    random_state : random.Random
    on_settled : Callable
        Called when what lapsed in an outage has had its time to come back.
    """

    def __init__(
        self,
        reader: StoreReader,
        copy: mirror.Mirror,
        clock: Clock,
        random_state: random.Random,
        on_settled: Callable[[], None],
    ):
        self.health = Health()
        self._reader = reader
        self._copy = copy
        self._clock = clock
        self._random_state = random_state
        self._on_settled = on_settled
        self._n_failures = 0
        self._is_complete = False

    def start(self) -> None:
        """Read all, then follow."""
        self._ask()

    @property
    def is_settled(self) -> bool:
        """Whether keys that are missing are gone for good."""
        now_s = self._clock.now_s()
        return (
            not self.health.is_unavailable
            and now_s - self.health.returned_s >= SETTLE_S
        )

    def _ask(self) -> None:
        if self._is_complete:
            self._reader.watch(self._copy.revision, WATCH_WAIT_S, self._on_watched)
        else:
            self._reader.read_all(self._on_read)

    def _on_read(self, answer: mirror.Changes | CallFailure) -> None:
        if isinstance(answer, CallFailure):
            self._on_failure(answer)
            return
        self._note_answer()
        self._is_complete = True
        self._copy.apply(answer)
        self._ask()

    def _on_watched(self, answer: mirror.Changes | CallFailure) -> None:
        if isinstance(answer, CallFailure):
            self._on_failure(answer)
            return
        self._note_answer()
        self._copy.apply(answer)
        if answer.rows:
            self._clock.after(GATHER_S, self._ask)
        else:
            self._ask()

    def _on_failure(self, failure: CallFailure) -> None:
        if failure.is_history_lost:
            LOGGER.info("the store's history is lost", extra={"detail": failure.detail})
            self._is_complete = False
            self._ask()
            return
        self._n_failures += 1
        if not self.health.is_unavailable:
            self.health.is_unavailable = True
            LOGGER.info("the store is away", extra={"detail": failure.detail})
        backoff_s = self._random_state.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
        self._clock.after(backoff_s, self._ask)

    def _note_answer(self) -> None:
        health = self.health
        now_s = self._clock.now_s()
        health.answered_s = now_s
        if not health.is_unavailable:
            return
        health.is_unavailable = False
        if health.was_there:
            # At the first start nothing can have lapsed that was known before.
            health.returned_s = now_s
            self._clock.after(SETTLE_S + 0.01, self._on_settled)
        health.was_there = True
        LOGGER.info("the store answers", extra={"failures": self._n_failures})
        self._n_failures = 0
