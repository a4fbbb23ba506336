"""Recent usage of a service by each organisation, compared with its fair share.

See Also
--------
bilberryridge.decisions.fair_queue : schedules the organisations.
"""

import collections
import math

import attrs

ACTIVE_S = 10.0
"""Time after its last request from which an organisation without waiting requests is
inactive."""
USAGE_WINDOW_S = 30.0
"""Time constant of the decay of the recent usage."""
OVER_SHARE_RATIO = 3.0
"""Ratio of usage to fair share above which an organisation is over its share."""
MAX_ORGANISATIONS = 4096
"""More than can have waiting requests at once, so that an idle one can be dropped."""


@attrs.define
class Usage:
    """Exponentially decaying sum of server time."""

    amount: float = 0.0
    updated_s: float = 0.0

    def add(self, now_s: float, cost: float) -> None:
        """Add server time; negative to undo an earlier addition."""
        self.amount = self.at(now_s) + cost
        self.updated_s = max(now_s, self.updated_s)

    def at(self, now_s: float) -> float:
        """Return the decayed sum at a time."""
        return self.amount * math.exp(
            -max(now_s - self.updated_s, 0.0) / USAGE_WINDOW_S
        )


@attrs.define
class Share:
    """State of one organisation in a queue; lists are by class, quick then long.

    Parameters
    ----------
    weight : float
    active_s : float
        Time of its last request.
    finish : list of float
        Virtual finish time of its latest request.
    backlog : list of float
        Waiting work, in seconds of server time.
    usage : Usage
        Server time that it was recently given.
    """

    weight: float
    active_s: float
    finish: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    backlog: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    usage: Usage = attrs.field(factory=Usage)


class Shares:
    """Organisations that recently sent requests for a service.

    At the bound the least recently active one without waiting requests is dropped.
    """

    def __init__(self) -> None:
        self._shares: collections.OrderedDict[str, Share] = collections.OrderedDict()
        self._usage = Usage()
        self._weight = 0.0

    def __len__(self) -> int:
        return len(self._shares)

    def find(self, organisation: str) -> Share | None:
        """Return the organisation's state, or None if it was not recently active."""
        return self._shares.get(organisation)

    def activate(self, now_s: float, organisation: str, weight: float) -> Share:
        """Mark the organisation as active and return its state, created if new."""
        share = self._shares.get(organisation)
        if share is None:
            self.drop_idle(now_s)
            share = self._shares[organisation] = Share(weight, now_s)
            self._weight += weight
        share.active_s = now_s
        self._shares.move_to_end(organisation)
        return share

    def record_usage(self, now_s: float, organisation: str, cost: float) -> None:
        """Add server time given to the organisation."""
        self._usage.add(now_s, cost)
        share = self._shares.get(organisation)
        if share is not None:
            share.usage.add(now_s, cost)

    def is_over(self, now_s: float, organisation: str) -> bool:
        """Whether it recently used far more than its share while others were active."""
        self.drop_idle(now_s)
        share = self._shares.get(organisation)
        if share is None or len(self._shares) < 2:
            return False
        fair = share.weight / max(self._weight, share.weight)
        return share.usage.at(now_s) > OVER_SHARE_RATIO * fair * self._usage.at(now_s)

    def others_fraction(self, now_s: float, organisation: str) -> float:
        """Fraction of recent server time that other organisations used."""
        share = self._shares.get(organisation)
        total = self._usage.at(now_s)
        if share is None or total <= 0.0:
            return 1.0
        return min(max(1.0 - share.usage.at(now_s) / total, 0.0), 1.0)

    def drop_idle(self, now_s: float) -> None:
        """Drop the organisations that are no longer active."""
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
