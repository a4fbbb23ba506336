"""The queue of one service: start-time fair queueing in two classes.

See Also
--------
bilberryridge.decisions.admission : the queues of all services and their bounds.

References
----------
P. Goyal, H. Vin and H. Cheng, "Start-Time Fair Queueing", IEEE/ACM Transactions on
Networking 5 (5), 1997.
"""

import collections
import heapq
import math

import attrs

from bilberryridge.core import requests

LONG_FLOOR = 0.2
ACTIVE_S = 10.0
RATE_WINDOW_S = 3.0
PRIOR_TIME_S = 0.5
PRIOR_WAIT_S = 1.0
PRIOR_FADES_S = 1.0
LEAST_PRIOR_TIME_S = 0.1
OVER_SHARE_RATIO = 1.1
MAX_ORGANISATIONS = 4096


@attrs.frozen
class Waiting:
    """A request that waits for its turn.

    Parameters
    ----------
    request_id, service, organisation : str
    weight : float
        The organisation's.
    priority : requests.Priority
    deadline_s : float
        Monotonic time after which it need not be sent.
    cost : float
        Expected server time, in seconds.
    """

    request_id: str
    service: str
    organisation: str
    weight: float
    priority: requests.Priority
    deadline_s: float
    cost: float = 1.0


@attrs.define(eq=False)
class Entry:
    """A request in the queue with its place."""

    item: Waiting
    tag: float
    number: int
    is_removed: bool = False
    credit: float = 0.0
    served: float = 0.0


@attrs.define
class _Share:
    weight: float
    active_s: float
    finish: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    backlog: list[float] = attrs.field(factory=lambda: [0.0, 0.0])
    usage: float = 0.0
    usage_s: float = 0.0

    def note_usage(self, now_s: float, cost: float) -> None:
        self.usage = _faded(self.usage, now_s - self.usage_s, ACTIVE_S) + cost
        self.usage_s = max(now_s, self.usage_s)


@attrs.define
class _Class:
    heap: list[tuple[float, int, Entry]] = attrs.field(factory=list)
    n_waiting: int = 0
    virtual: float = 0.0
    backlog: float = 0.0
    weight: float = 0.0
    served: float = 0.0

    def head(self) -> Entry | None:
        while self.heap and self.heap[0][2].is_removed:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def push(self, entry: Entry) -> None:
        heapq.heappush(self.heap, (entry.tag, entry.number, entry))

    def compact(self) -> None:
        if len(self.heap) > 2 * self.n_waiting + 16:
            self.heap = [place for place in self.heap if not place[2].is_removed]
            heapq.heapify(self.heap)


class ServiceQueue:
    """The requests of one service that wait at this daemon."""

    def __init__(self) -> None:
        self._classes = (_Class(), _Class())
        self._shares: collections.OrderedDict[str, _Share] = collections.OrderedDict()
        self._total = _Share(0.0, 0.0)
        self._number = 0
        self._long_credit = 0.0
        self._is_blocked = False
        self._noted_s = 0.0
        self._blocked_time_s = 0.0

    def __len__(self) -> int:
        return self._classes[0].n_waiting + self._classes[1].n_waiting

    def tag_for(self, item: Waiting) -> float:
        """The place that a request of the organisation would get now."""
        share = self._shares.get(item.organisation)
        finish = 0.0 if share is None else share.finish[item.priority.value]
        return max(self._classes[item.priority.value].virtual, finish)

    def add(self, now_s: float, item: Waiting) -> Entry:
        """Queue a request behind what its organisation was given already."""
        self._note_time(now_s)
        share = self._share(now_s, item)
        tag = self.tag_for(item)
        share.finish[item.priority.value] = tag + item.cost / item.weight
        self._number += 1
        entry = Entry(item, tag, self._number)
        self._insert(entry, share)
        return entry

    def entry_in_front(self, item: Waiting) -> Entry:
        """A place before all others, for a request that had one."""
        return Entry(item, self._classes[item.priority.value].virtual, 0)

    def put_back(self, entry: Entry) -> None:
        """Return an entry to its place, as if it had never been taken."""
        now_s = self._noted_s
        self._is_blocked = True
        self._classes[entry.item.priority.value].served -= entry.served
        self._long_credit -= entry.credit
        share = self._share(now_s, entry.item)
        share.note_usage(now_s, -entry.item.cost)
        self._total.note_usage(now_s, -entry.item.cost)
        entry.served = entry.credit = 0.0
        self._insert(entry, share)

    def take(self, now_s: float) -> Entry | None:
        """Remove and return the entry whose turn it is."""
        self._note_time(now_s)
        quick, long = (one.head() for one in self._classes)
        entry = quick or long
        if entry is None:
            self._is_blocked = False
            return None
        if quick is not None and long is not None:
            if self._long_credit >= long.item.cost:
                entry = long
                entry.credit = -long.item.cost
            else:
                entry.credit = quick.item.cost * LONG_FLOOR / (1.0 - LONG_FLOOR)
        elif long is None:
            self._long_credit = 0.0
        self._long_credit += entry.credit
        self._charge(now_s, entry)
        return entry

    def remove(self, entry: Entry) -> None:
        """Remove an entry that waits; its organisation is not charged for it."""
        share = self._extract(entry)
        if share is not None:
            item = entry.item
            share.finish[item.priority.value] -= item.cost / item.weight

    def last(self) -> Entry | None:
        """The entry whose turn comes last, of the long class if there is any."""
        for one in reversed(self._classes):
            waiting = [place[2] for place in one.heap if not place[2].is_removed]
            if waiting:
                return max(waiting, key=lambda entry: (entry.tag, entry.number))
        return None

    def expected_wait_s(
        self,
        now_s: float,
        organisation: str,
        weight: float,
        priority: requests.Priority = requests.Priority.QUICK,
    ) -> float:
        """How long a request of the organisation would wait when queued now."""
        self._note_time(now_s)
        one = self._classes[priority.value]
        share = self._shares.get(organisation)
        n_own = 0.0 if share is None else share.backlog[priority.value]
        # Fair queueing bounds what goes before: all that waits, or what the others
        # get while the organisation's own backlog is served.
        weights = max(one.weight + (0.0 if n_own else weight), weight)
        ahead = one.backlog
        if organisation:
            ahead = min(ahead, n_own * weights / weight)
        if priority is requests.Priority.LONG:
            ahead += self._classes[0].backlog
        if ahead <= 0.0:
            return 0.0
        prior_time_s = self._prior_time_s()
        prior = prior_time_s * ahead / PRIOR_WAIT_S
        served = self._served_of(priority)
        rate = (served + prior) / (self._blocked_time_s + prior_time_s)
        return ahead / rate

    def is_over_share(self, now_s: float, organisation: str, weight: float) -> bool:
        """Whether the organisation lately had more than its share while others ask."""
        self._drop_idle(now_s)
        share = self._shares.get(organisation)
        if share is None or len(self._shares) < 2:
            return False
        usage = _faded(share.usage, now_s - share.usage_s, ACTIVE_S)
        total = _faded(self._total.usage, now_s - self._total.usage_s, ACTIVE_S)
        fair = weight / max(self._total.weight, weight)
        return usage > OVER_SHARE_RATIO * fair * total

    def _served_of(self, priority: requests.Priority) -> float:
        quick, long = (one.served for one in self._classes)
        total = quick + long
        if priority is requests.Priority.LONG:
            return max(total - quick, LONG_FLOOR * total)
        return total * (1.0 - LONG_FLOOR) if self._classes[1].n_waiting else total

    def _prior_time_s(self) -> float:
        # The prior grows with the backlog, so beside a whole window of evidence it
        # would hide how far the backlog has outgrown the servers.
        unknown_s = RATE_WINDOW_S - self._blocked_time_s
        share = min(unknown_s / PRIOR_FADES_S, 1.0)
        return max(PRIOR_TIME_S * share, LEAST_PRIOR_TIME_S)

    def _insert(self, entry: Entry, share: _Share) -> None:
        index = entry.item.priority.value
        one = self._classes[index]
        if share.backlog[index] <= 0.0:
            one.weight += share.weight
        share.backlog[index] += entry.item.cost
        one.backlog += entry.item.cost
        one.n_waiting += 1
        entry.is_removed = False
        one.push(entry)

    def _extract(self, entry: Entry) -> _Share | None:
        index = entry.item.priority.value
        one = self._classes[index]
        entry.is_removed = True
        one.n_waiting -= 1
        one.backlog = one.backlog - entry.item.cost if one.n_waiting else 0.0
        one.compact()
        share = self._shares.get(entry.item.organisation)
        if share is None:
            return None
        left = share.backlog[index] - entry.item.cost
        share.backlog[index] = left if left > 1e-9 else 0.0
        if not share.backlog[index]:
            one.weight = one.weight - share.weight if one.n_waiting else 0.0
        return share

    def _charge(self, now_s: float, entry: Entry) -> None:
        item = entry.item
        one = self._classes[item.priority.value]
        heapq.heappop(one.heap)
        share = self._extract(entry)
        one.virtual = max(one.virtual, entry.tag)
        if self._is_blocked:
            entry.served = item.cost
            one.served += item.cost
        if share is not None:
            share.note_usage(now_s, item.cost)
        self._total.note_usage(now_s, item.cost)

    def _share(self, now_s: float, item: Waiting) -> _Share:
        share = self._shares.get(item.organisation)
        if share is None:
            self._drop_idle(now_s)
            share = self._shares[item.organisation] = _Share(item.weight, now_s)
            self._total.weight += item.weight
        share.active_s = now_s
        self._shares.move_to_end(item.organisation)
        return share

    def _drop_idle(self, now_s: float) -> None:
        while self._shares:
            name, share = next(iter(self._shares.items()))
            if any(share.backlog):
                self._shares.move_to_end(name)
                share.active_s = now_s
            is_idle = now_s - share.active_s > ACTIVE_S
            if not is_idle and len(self._shares) < MAX_ORGANISATIONS:
                return
            del self._shares[name]
            self._total.weight -= share.weight

    def _note_time(self, now_s: float) -> None:
        elapsed_s = now_s - self._noted_s
        self._noted_s = max(now_s, self._noted_s)
        if not self._is_blocked or elapsed_s <= 0.0:
            return
        # Only time with requests left waiting tells what the servers can take.
        kept = math.exp(-elapsed_s / RATE_WINDOW_S)
        self._blocked_time_s = self._blocked_time_s * kept + elapsed_s
        for one in self._classes:
            one.served *= kept


def _faded(value: float, elapsed_s: float, window_s: float) -> float:
    return value * math.exp(-max(elapsed_s, 0.0) / window_s)
