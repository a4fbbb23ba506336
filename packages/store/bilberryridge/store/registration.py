"""Keep this daemon's entry in the store while the daemon runs."""

import logging
from collections.abc import Callable
from typing import Protocol

from bilberryridge.store import follower

LOGGER = logging.getLogger("bilberryridge")

LEASE_TTL_S = 6.0
"""A killed daemon must disappear from the store within 8 s; links detect it sooner."""
RENEWAL_INTERVAL_S = 1.8
"""Interval of renewals: two of them may be lost before the lease expires."""
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
    """

    def __init__(
        self, writer: LeaseWriter, clock: follower.Clock, key: str, value: bytes
    ):
        self._writer = writer
        self._clock = clock
        self._key = key
        self._value = value
        self._lease = 0
        self._is_registered = False
        self._is_rewriting = False
        self._is_revoked = False

    def start(self) -> None:
        """Create a lease and write the entry."""
        if not self._is_revoked:
            self._writer.grant(LEASE_TTL_S, self._on_granted)

    def revoke(self) -> None:
        """Remove the entry at once, so that no new callers are sent to this daemon."""
        self._is_revoked = True
        if self._lease:
            self._writer.revoke(self._lease, self._on_revoked)

    def restore_if_missing(self, is_present: bool) -> None:
        """Write the entry again if it is missing although its lease is valid."""
        is_missing = self._is_registered and not is_present and not self._is_revoked
        if is_missing and not self._is_rewriting:
            LOGGER.info("this daemon's entry is missing in the store")
            self._is_rewriting = True
            self._writer.put(self._key, self._value, self._lease, self._on_rewritten)

    def _on_granted(self, answer: int | follower.CallFailure) -> None:
        if isinstance(answer, follower.CallFailure):
            self._clock.after(RETRY_DELAY_S, self.start)
            return
        self._lease = answer
        self._is_registered = False
        self._writer.put(self._key, self._value, self._lease, self._on_put)

    def _on_put(self, answer: bool | follower.CallFailure) -> None:
        if self._is_revoked:
            self._writer.revoke(self._lease, self._on_revoked)
        elif answer is True:
            self._is_registered = True
            LOGGER.info("registered", extra={"key": self._key, "lease": self._lease})
            self._clock.after(RENEWAL_INTERVAL_S, self._renew)
        else:
            # The call may still take effect; writing the same value twice is harmless.
            self._clock.after(RETRY_DELAY_S, self.start)

    def _on_rewritten(self, answer: bool | follower.CallFailure) -> None:
        # If the lease has ended, the next renewal fails and registers again.
        self._is_rewriting = False

    def _renew(self) -> None:
        if not self._is_revoked:
            self._writer.renew(self._lease, self._on_renewed)

    def _on_renewed(self, answer: bool | follower.CallFailure) -> None:
        if answer is False:
            LOGGER.info("the lease has ended", extra={"lease": self._lease})
            self.start()
            return
        delay_s = RENEWAL_INTERVAL_S if answer is True else RETRY_DELAY_S
        self._clock.after(delay_s, self._renew)

    def _on_revoked(self, answer: bool | follower.CallFailure) -> None:
        if isinstance(answer, follower.CallFailure):
            LOGGER.info(
                "the lease could not be revoked", extra={"detail": answer.detail}
            )
