"""When to connect to which daemon."""

import random
from collections.abc import Container

import attrs

from bilberryridge.peers import settings

MIN_JITTER = 0.5
"""A wait is this share of the back-off at the shortest."""
STEADY_S = 5.0
"""A connection that lasted so long starts the back-off anew."""


@attrs.define
class Target:
    """A daemon to keep connected.

    Parameters
    ----------
    address : str
    backoff_s : float
        Before jitter.
    due_s : float
        Monotonic time of the next try.
    """

    address: str
    backoff_s: float
    due_s: float


class Dialling:
    """The daemons to keep connected and the waits between tries.

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
        """Keep exactly these daemons connected."""
        kept = {}
        for vm, address in vms:
            target = self._targets.get(vm)
            if target is None or target.address != address:
                target = Target(address, self._cfg.min_backoff_s, now_s)
            if vm != self._cfg.vm:
                kept[vm] = target
        self._targets = kept

    def due(self, now_s: float, busy: Container[str]) -> list[tuple[str, str]]:
        """Name the daemons to try now, with addresses, but for those in `busy`."""
        return [
            (vm, target.address)
            for vm, target in self._targets.items()
            if target.due_s <= now_s and vm not in busy
        ]

    def on_ended(self, vm: str, lasted_s: float, now_s: float) -> None:
        """Take note that a try failed or that no connection is left.

        Parameters
        ----------
        vm : str
        lasted_s : float
            How long the connection was proven; 0 when it never was.
        now_s : float
        """
        target = self._targets.get(vm)
        if target is None:
            return
        if lasted_s >= STEADY_S:
            target.backoff_s = self._cfg.min_backoff_s
        self._wait(target, now_s)

    def _wait(self, target: Target, now_s: float) -> None:
        share = self._random_state.uniform(MIN_JITTER, 1.0)
        target.due_s = now_s + share * target.backoff_s
        target.backoff_s = min(2 * target.backoff_s, self._cfg.max_backoff_s)
