"""One direction of a simulated network: delay, shared bandwidth and faults."""

import asyncio
import random
from typing import Any

import attrs

BITS_PER_MEGABIT = 1e6
BITS_PER_BYTE = 8


@attrs.define(eq=False)
class Trunk:
    """Delay and bandwidth shared by all traffic in one direction of a trunk.

    Parameters
    ----------
    one_way_ms : float
    jitter_ms : float
        Largest random extra delay.
    megabits_per_s : float
    """

    one_way_ms: float = 0.0
    jitter_ms: float = 0.0
    megabits_per_s: float = 1000.0
    n_bytes: int = 0
    free_at_s: float = 0.0

    def reserve_until_s(self, now_s: float, n_bytes: int) -> float:
        """Reserve transmission time; return when the last byte is sent, in seconds.

        Examples
        --------
        >>> trunk = Trunk(megabits_per_s=8.0)
        >>> trunk.reserve_until_s(0.0, 1_000_000), trunk.reserve_until_s(0.5, 1_000_000)
        (1.0, 2.0)
        """
        self.n_bytes += n_bytes
        transmission_s = (
            n_bytes * BITS_PER_BYTE / (self.megabits_per_s * BITS_PER_MEGABIT)
        )
        self.free_at_s = max(now_s, self.free_at_s) + transmission_s
        return self.free_at_s


class Lane:
    """Path in one direction between two places.

    Parameters
    ----------
    trunk : Trunk
    random_state : random.Random
    """

    def __init__(self, trunk: Trunk, random_state: random.Random):
        self.trunk = trunk
        self._random_state = random_state
        self._open = asyncio.Event()
        self._open.set()
        self._extra_ms = 0.0
        self._loss_probability = 0.0
        self._stall_ms = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the lane passes traffic."""
        return self._open.is_set()

    def set_fault(self, fault: dict[str, Any]) -> None:
        """Set a fault.

        Kinds: ``cut`` and ``half_open`` (data waits until the fault is healed, as with
        TCP's retransmission), ``slow`` (`extra_ms`), ``lossy`` (each chunk is lost with
        `probability` and arrives `stall_ms` later, with all behind it), ``heal``.
        """
        kind = fault["kind"]
        if kind in ("cut", "half_open"):
            self._open.clear()
        elif kind == "slow":
            self._extra_ms = float(fault["extra_ms"])
        elif kind == "lossy":
            self._loss_probability = float(fault["probability"])
            self._stall_ms = float(fault["stall_ms"])
        elif kind == "heal":
            self._extra_ms = self._loss_probability = self._stall_ms = 0.0
            self._open.set()
        else:
            raise ValueError(f"unknown fault {kind!r}")

    def arrival_s(self, now_s: float, n_bytes: int) -> float:
        """Time at which a chunk sent now arrives."""
        delay_ms = self.trunk.one_way_ms + self._extra_ms
        delay_ms += self._random_state.uniform(0.0, self.trunk.jitter_ms)
        if (
            self._loss_probability
            and self._random_state.random() < self._loss_probability
        ):
            delay_ms += self._stall_ms
        return self.trunk.reserve_until_s(now_s, n_bytes) + delay_ms / 1e3

    async def wait_open(self) -> None:
        """Wait until the lane passes traffic."""
        await self._open.wait()
