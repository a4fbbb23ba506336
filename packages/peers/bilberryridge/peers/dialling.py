"""Schedule of the attempts to connect to other daemons."""

import random
from collections.abc import Container

import attrs

from bilberryridge.peers import settings

MIN_JITTER = 0.5
"""Smallest random factor of the back-off."""
STABLE_CONNECTION_S = 5.0
"""The back-off is reset after a connection that lasted this long."""


@attrs.define
class Target:
    """A daemon to which a connection is kept.

    Parameters
    ----------
    address : str
    backoff_s : float
        Before jitter.
    due_s : float
        Monotonic time of the next attempt.
    """

    address: str
    backoff_s: float
    due_s: float


class DialSchedule:
    """The daemons to which connections are kept, with their next attempts.

    Parameters
    ----------
    cfg : PeersSettings
    random_state : random.Random
    """

    def __init__(self, cfg: settings.PeersSettings, random_state: random.Random):
        self._cfg = cfg
        self._random_state = random_state
        self._targets: dict[str, Target] = {}

    def __contains__(self, vm: str) -> bool:
        return vm in self._targets

    def replace(self, vms: tuple[tuple[str, str], ...], now_s: float) -> None:
        """Replace the set of daemons to which connections are kept."""
        targets = {}
        for vm, address in vms:
            target = self._targets.get(vm)
            if target is None or target.address != address:
                target = Target(address, self._cfg.min_backoff_s, now_s)
            if vm != self._cfg.vm:
                targets[vm] = target
        self._targets = targets

    def due_targets(
        self, now_s: float, vms_in_progress: Container[str]
    ) -> list[tuple[str, str]]:
        """Return the names and addresses to dial now, except `vms_in_progress`."""
        return [
            (vm, target.address)
            for vm, target in self._targets.items()
            if target.due_s <= now_s and vm not in vms_in_progress
        ]

    def on_ended(self, vm: str, lasted_s: float, now_s: float) -> None:
        """Schedule the next attempt after a failed one or a lost last connection.

        Parameters
        ----------
        vm : str
        lasted_s : float
            How long the daemon was connected; 0 if the attempt failed.
        now_s : float
        """
        target = self._targets.get(vm)
        if target is None:
            return
        if lasted_s >= STABLE_CONNECTION_S:
            target.backoff_s = self._cfg.min_backoff_s
        self._schedule_retry(target, now_s)

    def _schedule_retry(self, target: Target, now_s: float) -> None:
        jitter = self._random_state.uniform(MIN_JITTER, 1.0)
        target.due_s = now_s + jitter * target.backoff_s
        target.backoff_s = min(2 * target.backoff_s, self._cfg.max_backoff_s)
