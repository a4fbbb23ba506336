"""Keep this daemon's entry in the store, as long as it lives."""

import logging
from collections.abc import Callable
from typing import Protocol

from bilberryridge.store import follower

LOGGER = logging.getLogger("bilberryridge")

TTL_S = 6.0
"""Of the lease. A daemon that was killed must be forgotten within 8 s; links show it
sooner."""
KEEP_INTERVAL_S = 1.8
"""Between renewals: two may be lost before the lease lapses."""
RETRY_S = 0.5
"""After a failed call; the entry is to be back within a second of the store."""

OnLease = Callable[[int | follower.CallFailure], None]
OnDone = Callable[[bool | follower.CallFailure], None]


class LeaseWriter(Protocol):
    """Calls on leases of a store; the answer comes later, on the same thread."""

    def grant(self, ttl_s: float, on_answer: OnLease) -> None:
        """Make a lease; answers its id."""

    def renew(self, lease: int, on_answer: OnDone) -> None:
        """Renew a lease; answers whether it still ran."""

    def put(self, key: str, value: bytes, lease: int, on_answer: OnDone) -> None:
        """Set a key that goes with the lease; answers whether the lease still ran."""

    def revoke(self, lease: int, on_answer: OnDone) -> None:
        """End a lease and remove its keys."""


class Registration:
    """This daemon's entry.

    Parameters
    ----------
    writer : LeaseWriter
    clock : follower.Clock
    key : str
    value : bytes
    """

    def __init__(
        self, writer: LeaseWriter, clock: follower.Clock, key: str, value: bytes
    ):
        self._writer = writer
        self._clock = clock
        self._key = key
        self._value = value
        self._lease = 0
        self._is_put = False
        self._is_rewriting = False
        self._is_ended = False

    def start(self) -> None:
        """Register."""
        if not self._is_ended:
            self._writer.grant(TTL_S, self._on_granted)

    def revoke(self) -> None:
        """Take the entry away at once: no caller is to be sent here any more."""
        self._is_ended = True
        if self._lease:
            self._writer.revoke(self._lease, self._on_ended)

    def restore_if_missing(self, is_present: bool) -> None:
        """Write the entry again if the store has lost it under a lease that runs."""
        is_due = self._is_put and not is_present and not self._is_ended
        if is_due and not self._is_rewriting:
            LOGGER.info("the own entry is missing in the store")
            self._is_rewriting = True
            self._writer.put(self._key, self._value, self._lease, self._on_rewritten)

    def _on_granted(self, answer: int | follower.CallFailure) -> None:
        if isinstance(answer, follower.CallFailure):
            self._clock.after(RETRY_S, self.start)
            return
        self._lease = answer
        self._is_put = False
        self._writer.put(self._key, self._value, self._lease, self._on_put)

    def _on_put(self, answer: bool | follower.CallFailure) -> None:
        if self._is_ended:
            self._writer.revoke(self._lease, self._on_ended)
        elif answer is True:
            self._is_put = True
            LOGGER.info("registered", extra={"key": self._key, "lease": self._lease})
            self._clock.after(KEEP_INTERVAL_S, self._keep)
        else:
            # The call may still take effect; the same value once more does no harm.
            self._clock.after(RETRY_S, self.start)

    def _on_rewritten(self, answer: bool | follower.CallFailure) -> None:
        # If the lease has ended, the next renewal shows it and starts anew.
        self._is_rewriting = False

    def _keep(self) -> None:
        if not self._is_ended:
            self._writer.renew(self._lease, self._on_kept)

    def _on_kept(self, answer: bool | follower.CallFailure) -> None:
        if answer is False:
            LOGGER.info("the lease has ended", extra={"lease": self._lease})
            self.start()
            return
        pause_s = KEEP_INTERVAL_S if answer is True else RETRY_S
        self._clock.after(pause_s, self._keep)

    def _on_ended(self, answer: bool | follower.CallFailure) -> None:
        if isinstance(answer, follower.CallFailure):
            LOGGER.info("the lease could not be ended", extra={"detail": answer.detail})
