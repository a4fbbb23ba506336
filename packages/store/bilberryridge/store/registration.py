"""Keep this daemon's entry in the store while the daemon runs."""

import logging
from collections.abc import Callable
from typing import Any, Protocol

from bilberryridge.store import follower, store_era

LOGGER = logging.getLogger("bilberryridge")

LEASE_TTL_S = 6.0
"""A killed daemon must disappear from the store within 8 s; links detect it sooner."""
RENEWAL_INTERVAL_S = 1.8
"""Interval of renewals: two of them may be lost before the lease expires."""
FOLLOWING_RENEWAL_INTERVAL_S = 0.6
"""Interval of a daemon that follows the store itself: its renewals show that the store
answers while a watch waits, which tells a watch that was cut from an outage."""
MIN_REGISTERED_S = 0.8
"""Time after which an entry that was written is visible here."""
RETRY_DELAY_S = 0.5
"""Wait after a failed call; the entry must be registered again within 1 s after the
store has recovered."""

OnLease = Callable[[int | follower.CallFailure], None]
OnResult = Callable[[bool | follower.CallFailure], None]


class LeaseWriter(Protocol):
    """Lease calls of a store; `on_answer` is called later, on the same thread."""

    def grant(self, ttl_s: float, on_answer: OnLease) -> None:
        """Create a lease; `on_answer` takes its id."""

    def renew(self, lease: int, on_answer: OnResult) -> None:
        """Renew a lease; `on_answer` takes whether it was still valid."""

    def put(self, key: str, value: bytes, lease: int, on_answer: OnResult) -> None:
        """Set a key attached to a lease; `on_answer` takes whether that was valid."""

    def revoke(self, lease: int, on_answer: OnResult) -> None:
        """Revoke a lease and remove its keys."""


class Registration:
    """Registers this daemon's entry under a lease and renews the lease.

    Parameters
    ----------
    writer : LeaseWriter
    clock : follower.Clock
    key : str
        Key of the entry.
    value : bytes
        Encoded entry.
    eras : EraMonitor
    is_following : Callable
        Returns whether this daemon follows the store itself.
    on_contact : Callable
        Called when the store has answered.
    """

    def __init__(
        self,
        writer: LeaseWriter,
        clock: follower.Clock,
        key: str,
        value: bytes,
        eras: store_era.EraMonitor,
        is_following: Callable[[], bool] = lambda: False,
        on_contact: Callable[[], None] = lambda: None,
    ):
        self._writer = writer
        self._clock = clock
        self._key = key
        self._value = value
        self._lease = 0
        self._is_registered = False
        self._is_rewriting = False
        self._is_revoked = False
        self._n_starts = 0
        self._registered_s = 0.0
        self._is_following = is_following
        self._on_contact = on_contact
        eras.subscribe(self._on_era)

    def start(self) -> None:
        """Create a lease and write the entry."""
        self._n_starts += 1
        if not self._is_revoked:
            self._writer.grant(LEASE_TTL_S, self._unless_restarted(self._on_granted))

    def revoke(self) -> None:
        """Remove the entry at once, so that no new callers are sent to this daemon."""
        self._is_revoked = True
        if self._lease:
            self._writer.revoke(self._lease, self._on_revoked)

    def restore_if_missing(self, is_present: bool) -> None:
        """Write the entry again if it is missing although its lease is valid."""
        is_missing = self._is_registered and not is_present and not self._is_revoked
        registered_for_s = self._clock.now_s() - self._registered_s
        if registered_for_s < MIN_REGISTERED_S:
            return
        if is_missing and not self._is_rewriting:
            LOGGER.info("this daemon's entry is missing in the store")
            self._is_rewriting = True
            self._writer.put(self._key, self._value, self._lease, self._on_rewritten)

    def _on_era(self, before: int, era: int) -> None:
        if before and self._n_starts:
            # The restored store has no lease that is younger than its copy.
            LOGGER.info("registering again", extra={"era": era, "lease": self._lease})
            self.start()

    def _unless_restarted(self, on_answer: Callable[[Any], None]) -> Any:
        """Return a callback that drops an answer from before the last start."""
        n_starts = self._n_starts

        def on_current_answer(answer: Any) -> None:
            if n_starts == self._n_starts:
                on_answer(answer)

        return on_current_answer

    def _schedule_renewal(self, delay_s: float) -> None:
        n_starts = self._n_starts

        def renew() -> None:
            if n_starts == self._n_starts and not self._is_revoked:
                on_renewed = self._unless_restarted(self._on_renewed)
                self._writer.renew(self._lease, on_renewed)

        self._clock.after(delay_s, renew)

    def _schedule_start(self) -> None:
        restart = self._unless_restarted(lambda _: self.start())
        self._clock.after(RETRY_DELAY_S, lambda: restart(None))

    def _on_granted(self, answer: int | follower.CallFailure) -> None:
        if isinstance(answer, follower.CallFailure):
            self._schedule_start()
            return
        self._lease = answer
        self._is_registered = False
        on_put = self._unless_restarted(self._on_put)
        self._writer.put(self._key, self._value, self._lease, on_put)

    def _on_put(self, answer: bool | follower.CallFailure) -> None:
        if self._is_revoked:
            self._writer.revoke(self._lease, self._on_revoked)
        elif answer is True:
            self._is_registered = True
            self._registered_s = self._clock.now_s()
            LOGGER.info("registered", extra={"key": self._key, "lease": self._lease})
            self._schedule_renewal(self._renewal_interval_s())
        else:
            # The call may still take effect; writing the same value twice is harmless.
            self._schedule_start()

    def _on_rewritten(self, answer: bool | follower.CallFailure) -> None:
        # If the lease has ended, the next renewal fails and registers again.
        self._is_rewriting = False

    def _on_renewed(self, answer: bool | follower.CallFailure) -> None:
        if answer is False:
            LOGGER.info("the lease has ended", extra={"lease": self._lease})
            self.start()
            return
        if answer is True:
            self._on_contact()
            self._schedule_renewal(self._renewal_interval_s())
        else:
            self._schedule_renewal(RETRY_DELAY_S)

    def _renewal_interval_s(self) -> float:
        if self._is_following():
            return FOLLOWING_RENEWAL_INTERVAL_S
        return RENEWAL_INTERVAL_S

    def _on_revoked(self, answer: bool | follower.CallFailure) -> None:
        if isinstance(answer, follower.CallFailure):
            LOGGER.info(
                "the lease could not be revoked", extra={"detail": answer.detail}
            )
