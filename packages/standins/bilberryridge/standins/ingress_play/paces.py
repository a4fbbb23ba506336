"""Model of how fast servers work that share their machines with others."""

import bisect
import random

import attrs

START_PACE = 4.0
"""Further multiple of a server that returns slow."""


@attrs.frozen
class Unevenness:
    """How the paces of servers differ and change.

    Parameters
    ----------
    lasting_paces : tuple of float
        Time that work takes, as a multiple of the usual; servers take them in turn.
    dip_pace, dip_s, dip_fraction : float
        Further multiple for a while, how long it lasts, and the part of the time in
        which a server has it.
    is_stated : bool
        Whether servers state their pace in answers.
    """

    lasting_paces: tuple[float, ...] = (1.0, 1.0, 1.3)
    dip_pace: float = 2.5
    dip_s: float = 0.6
    dip_fraction: float = 0.15
    is_stated: bool = True


class Pace:
    """Pace of one server over simulated time.

    Parameters
    ----------
    unevenness : Unevenness
    index : int
        Of the server.
    random_state : random.Random
    length_s : float
        Time until which dips are drawn.
    """

    def __init__(
        self,
        unevenness: Unevenness,
        index: int,
        random_state: random.Random,
        length_s: float,
    ):
        paces = unevenness.lasting_paces
        self.lasting = paces[index % len(paces)]
        self.is_stated = unevenness.is_stated
        self.slow_until_s = 0.0
        self._unevenness = unevenness
        self._dips_s: list[float] = []
        fraction = unevenness.dip_fraction
        if fraction <= 0:
            return
        mean_pause_s = unevenness.dip_s * (1 - fraction) / fraction
        now_s = random_state.expovariate(1 / mean_pause_s)
        while now_s < length_s:
            self._dips_s.append(now_s)
            pause_s = random_state.expovariate(1 / mean_pause_s)
            now_s += unevenness.dip_s + pause_s

    def at(self, now_s: float) -> float:
        """Return how long work takes at some time, as a multiple of the usual."""
        index = bisect.bisect_right(self._dips_s, now_s) - 1
        is_dip = index >= 0 and now_s < self._dips_s[index] + self._unevenness.dip_s
        pace = self.lasting * (self._unevenness.dip_pace if is_dip else 1.0)
        return pace * (START_PACE if now_s < self.slow_until_s else 1.0)


STEADY = Pace(Unevenness((1.0,), 1.0, 0.0, 0.0, False), 0, random.Random(0), 0.0)
"""Pace of the servers of the other deployments, which state none."""
