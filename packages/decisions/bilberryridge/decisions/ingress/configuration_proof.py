"""Until when the configuration in force counts as the newest.

Where the deployment bounds the time for which a revoked key may be accepted, a daemon
accepts keys only while it has proof, younger than the bound less a margin, that its
configuration was the newest one. All times are of a clock that counts the time for
which the VM was suspended.

See Also
--------
bilberryridge.decisions.proof_renewal : when and where the proof is renewed.
"""

import math
import random

import attrs

from bilberryridge.core import ingress

MARGIN_FRACTION = 0.1
"""Fraction of the bound kept back for the way of an accepted request to its server,
which takes up to 0.2 s between regions, and for the drift of clocks."""
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.2, 1.0
"""A proof that was just lost is usually renewed within a few calls of 4 ms; one that
stays lost needs the store, which is asked about once a second."""
RETRY_AFTER_FRACTION = 0.5
"""Retry-After as a fraction of the time since the proof was lost."""
RETRY_AFTER_JITTER = 0.5
"""Largest deviation of a Retry-After, so that callers don't return together."""


def is_needed(
    table: ingress.RoutingTable, route: ingress.Route, req: ingress.Request
) -> bool:
    """Return whether a request may be accepted only with proof.

    A relayed request was accepted by the daemon that its caller is connected to.
    """
    has_key = bool(table.organisations) and bool(req.key_digest)
    return has_key and not route.is_public and not req.is_relayed


@attrs.frozen
class Change:
    """The proof was lost, or is there again.

    Parameters
    ----------
    is_proven : bool
    age_s : float or None
        Age of the proof that is there, or of the last one; None if there was none.
    source : str
        Where that proof came from.
    after_s : float
        Time for which the state before lasted.
    """

    is_proven: bool
    age_s: float | None
    source: str
    after_s: float


class ConfigurationProof:
    """The newest proof that this daemon has.

    Parameters
    ----------
    bound_s : float or None
        Time after which a revoked key is no longer accepted; None if the deployment
        sets no such bound, so that no proof is needed.

    Examples
    --------
    >>> proof = ConfigurationProof(5.0)
    >>> proof.is_valid(100.0)
    False
    >>> proof.record(99.0, "store")
    >>> proof.is_valid(103.4), proof.is_valid(103.6)
    (True, False)
    """

    def __init__(self, bound_s: float | None):
        self.bound_s = bound_s
        self._proven_s = -math.inf
        self._source = ""
        self._was_valid: bool | None = None
        self._changed_s = 0.0

    def set_bound(self, bound_s: float | None) -> None:
        """Set the bound, as read again from the settings."""
        if bound_s != self.bound_s:
            self.bound_s, self._was_valid = bound_s, None

    def record(self, proven_s: float, source: str) -> None:
        """Record that the configuration in force was the newest one at a time."""
        if proven_s > self._proven_s:
            self._proven_s, self._source = proven_s, source

    def age_s(self, boot_s: float) -> float | None:
        """Return the age of the newest proof; None if there was none."""
        return None if math.isinf(self._proven_s) else boot_s - self._proven_s

    def is_valid(self, boot_s: float) -> bool:
        """Return whether keys may be accepted."""
        if self.bound_s is None:
            return True
        return boot_s - self._proven_s < self.bound_s * (1.0 - MARGIN_FRACTION)

    def take_change(self, boot_s: float) -> Change | None:
        """Return whether the proof was lost or came back since the last call."""
        is_valid = self.is_valid(boot_s)
        if self.bound_s is None or is_valid == self._was_valid:
            return None
        after_s = 0.0 if self._was_valid is None else boot_s - self._changed_s
        self._was_valid, self._changed_s = is_valid, boot_s
        return Change(is_valid, self.age_s(boot_s), self._source, after_s)

    def retry_after_s(self, boot_s: float, random_state: random.Random) -> float:
        """Return when a caller that is refused without proof should return."""
        lost_for_s = boot_s - self._changed_s if self._was_valid is False else 0.0
        mean_s = RETRY_AFTER_FRACTION * lost_for_s
        mean_s = min(max(mean_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        low, high = 1.0 - RETRY_AFTER_JITTER, 1.0 + RETRY_AFTER_JITTER
        return mean_s * random_state.uniform(low, high)
