"""What each organisation lately had of a service, against its share.

See Also
--------
bilberryridge.decisions.fair_queue : puts the organisations in turn.
"""

import collections
import math

import attrs

ACTIVE_S = 10.0
USAGE_WINDOW_S = 30.0
OVER_SHARE_RATIO = 3.0
MAX_ORGANISATIONS = 4096
"""More than can wait at once, so that one without a request waiting can be dropped."""


@attrs.define
class Usage:
    """Server time given out lately, fading."""

    amount: float = 0.0
    updated_s: float = 0.0

    def add(self, now_s: float, cost: float) -> None:
        """Count what was given out now; negative for what was taken back."""
        self.amount = self.at(now_s) + cost
        self.updated_s = max(now_s, self.updated_s)

    def at(self, now_s: float) -> float:
        """What is left of it now."""
        return self.amount * math.exp(
            -max(now_s - self.updated_s, 0.0) / USAGE_WINDOW_S
        )


@attrs.define
class Share:
    """One organisation's part in a queue; lists are by class, quick then long.

    Parameters
    ----------
    weight : float
    active_s : float
        When it last asked.
    finish : list of float
        Virtual time at which what it was given is worked off.
    backlog : list of float
        Work that waits.
    """

    weight: float
    active_s: float
    finish: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    backlog: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    usage: Usage = attrs.field(factory=Usage)


class Shares:
    """The organisations that lately asked for a service.

    At the bound the one that asked longest ago and has nothing waiting is dropped.
    """

    def __init__(self) -> None:
        self._shares: collections.OrderedDict[str, Share] = collections.OrderedDict()
        self._usage = Usage()
        self._weight = 0.0

    def __len__(self) -> int:
        return len(self._shares)

    def find(self, organisation: str) -> Share | None:
        """The organisation's share, if it lately asked."""
        return self._shares.get(organisation)

    def activate(self, now_s: float, organisation: str, weight: float) -> Share:
        """The organisation's share, made when new."""
        share = self._shares.get(organisation)
        if share is None:
            self.drop_idle(now_s)
            share = self._shares[organisation] = Share(weight, now_s)
            self._weight += weight
        share.active_s = now_s
        self._shares.move_to_end(organisation)
        return share

    def record_usage(self, now_s: float, organisation: str, cost: float) -> None:
        """Count server time given to the organisation."""
        self._usage.add(now_s, cost)
        share = self._shares.get(organisation)
        if share is not None:
            share.usage.add(now_s, cost)

    def is_over(self, now_s: float, organisation: str) -> bool:
        """Whether it lately had far more than its share while others asked."""
        self.drop_idle(now_s)
        share = self._shares.get(organisation)
        if share is None or len(self._shares) < 2:
            return False
        fair = share.weight / max(self._weight, share.weight)
        return share.usage.at(now_s) > OVER_SHARE_RATIO * fair * self._usage.at(now_s)

    def others_fraction(self, now_s: float, organisation: str) -> float:
        """The part of the server time given out lately that others had."""
        share = self._shares.get(organisation)
        total = self._usage.at(now_s)
        if share is None or total <= 0.0:
            return 1.0
        return min(max(1.0 - share.usage.at(now_s) / total, 0.0), 1.0)

    def drop_idle(self, now_s: float) -> None:
        """Drop the organisations that no longer ask."""
        while self._shares:
            name, share = next(iter(self._shares.items()))
            is_waiting = any(share.backlog)
            is_idle = not is_waiting and now_s - share.active_s > ACTIVE_S
            if not is_idle and len(self._shares) < MAX_ORGANISATIONS:
                return
            if is_waiting:
                self._shares.move_to_end(name)
            else:
                del self._shares[name]
                self._weight -= share.weight
