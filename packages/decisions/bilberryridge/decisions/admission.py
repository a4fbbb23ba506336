"""Admission control of one daemon: queueing, dispatch order and immediate refusal.

Each service has two classes. Quick requests go before long ones, which have a
guaranteed minimum. Within a class, start-time fair queueing divides the capacity among
organisations by weight, and the share of an idle organisation goes to the others.
Decisions use local state only; no daemon asks another.

References
----------
P. Goyal, H. Vin and H. Cheng, "Start-Time Fair Queueing", IEEE/ACM Transactions on
Networking 5 (5), 1997.
"""

import collections
import heapq
import random

import attrs

from bilberryridge.core import outcomes, requests
from bilberryridge.decisions import fair_queue

MAX_QUEUED = 2000
MAX_QUEUED_PER_ORGANISATION = 100
MAX_TAKEN = 256
"""Bound on the taken requests whose position is kept for `Admission.put_back`."""
MAX_QUICK_WAIT_S = 5.0
"""Expected wait above which a quick request is refused."""
MAX_LONG_WAIT_S = 60.0
"""Expected wait above which a long request is refused."""
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
RETRY_JITTER = 0.5
WAIT_SAFETY = 1.5
"""Factor by which the time left must exceed the expected wait."""
LONG_RESERVE = 0.2
"""Fraction of the slots that long requests may not use, unless their class is due its
minimum."""
OVER_SHARE_RESERVE = 0.7
"""Fraction of the slots that an organisation above its share may not use, times the
fraction of recent server time that the others used."""


WaitingRequest = fair_queue.WaitingRequest


@attrs.frozen
class Queued:
    """The request was queued; those in `displaced` were removed, to be refused."""

    displaced: tuple[WaitingRequest, ...] = ()


@attrs.frozen
class Refused:
    """The request is refused without queueing.

    Parameters
    ----------
    reason : outcomes.Reason
    retry_after_s : float
        Time after which the caller may try again, jittered.
    detail : str
    """

    reason: outcomes.Reason
    retry_after_s: float
    detail: str


class Admission:
    """The queues of one daemon.

    Parameters
    ----------
    random_state : random.Random
        Jitters the retry times.
    max_queued, max_queued_per_organisation : int
        Bounds on queued requests over all services.
    """

    def __init__(
        self,
        random_state: random.Random,
        max_queued: int = MAX_QUEUED,
        max_queued_per_organisation: int = MAX_QUEUED_PER_ORGANISATION,
    ):
        self._random_state = random_state
        self._max_queued = max_queued
        self._max_queued_per_organisation = max_queued_per_organisation
        self._queues: dict[str, fair_queue.ServiceQueue] = {}
        self._entries: dict[str, fair_queue.Entry] = {}
        self._n_by_organisation: collections.Counter[str] = collections.Counter()
        self._deadlines: list[tuple[float, str]] = []
        self._taken: collections.OrderedDict[str, fair_queue.Entry]
        self._taken = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def offer(self, now_s: float, item: WaitingRequest) -> Queued | Refused:
        """Queue a request or refuse it."""
        queue = self._queue(item.service)
        wait_s = queue.expected_wait_s(now_s, item)
        n_own = self._n_by_organisation.get(item.organisation, 0)
        if n_own >= self._max_queued_per_organisation:
            return self._refused(
                outcomes.Reason.OVER_SHARE, wait_s, "the organisation's queue is full"
            )
        if wait_s > self._longest_wait_s(now_s, item):
            reason = outcomes.Reason.NO_CAPACITY
            if queue.is_over_share(now_s, item.organisation):
                reason = outcomes.Reason.OVER_SHARE
            return self._refused(reason, wait_s, f"would wait {wait_s:.1f} s")
        displaced: tuple[WaitingRequest, ...] = ()
        if len(self._entries) >= self._max_queued:
            last = self._last_of_largest(n_own)
            if last is None:
                return self._refused(
                    outcomes.Reason.NO_CAPACITY, wait_s, "all queues are full"
                )
            displaced = (last,)
            self.remove(last.request_id)
        self._add(queue.add(now_s, item))
        heapq.heappush(self._deadlines, (_latest_start_s(item), item.request_id))
        return Queued(displaced)

    def take(self, now_s: float, service: str) -> WaitingRequest | None:
        """Remove and return the next request of a service, or None.

        A request that could not be placed is returned with `put_back`.
        """
        queue = self._queues.get(service)
        entry = None if queue is None else queue.take(now_s)
        if entry is None:
            return None
        self._drop(entry.item)
        self._taken[entry.item.request_id] = entry
        if len(self._taken) > MAX_TAKEN:
            self._taken.popitem(last=False)
        return entry.item

    def unblock(self, now_s: float, service: str) -> None:
        """Let `take` return requests that were put back, as there may be room now."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.unblock(now_s)

    def put_back(self, item: WaitingRequest) -> None:
        """Return a request that was taken to its position in the queue."""
        entry = self._taken.pop(item.request_id, None)
        queue = self._queue(item.service)
        if entry is None:
            entry = queue.entry_at_front(item)
            heapq.heappush(self._deadlines, (item.deadline_s, item.request_id))
        queue.put_back(entry)
        self._add(entry)

    def expire(self, now_s: float) -> list[WaitingRequest]:
        """Remove and return the requests that can't complete by their deadline."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, request_id = heapq.heappop(self._deadlines)
            entry = self._entries.get(request_id)
            if entry is not None and _latest_start_s(entry.item) <= now_s:
                expired.append(entry.item)
                self.remove(request_id)
        return expired

    def remove(self, request_id: str) -> None:
        """Remove a request whose caller has left."""
        self._taken.pop(request_id, None)
        entry = self._entries.get(request_id)
        if entry is not None:
            self._drop(entry.item)
            self._queues[entry.item.service].remove(entry)
        if len(self._deadlines) > 2 * len(self._entries) + MAX_TAKEN:
            self._deadlines = [
                (_latest_start_s(entry.item), name)
                for name, entry in self._entries.items()
            ]
            heapq.heapify(self._deadlines)

    def services(self) -> list[str]:
        """Return the services with waiting requests."""
        return [name for name, queue in self._queues.items() if len(queue)]

    def expected_wait_s(self, now_s: float, service: str) -> float:
        """Expected time until all quick requests that wait now are placed."""
        queue = self._queues.get(service)
        return 0.0 if queue is None else queue.backlog_wait_s(now_s)

    def is_over_share(
        self, now_s: float, service: str, organisation: str, weight: float
    ) -> bool:
        """Whether the organisation recently used far more than its fair share."""
        queue = self._queues.get(service)
        return queue is not None and queue.is_over_share(now_s, organisation)

    def reserved_share(self, now_s: float, item: WaitingRequest) -> float:
        """Fraction of each server's slots that a request just taken may not use.

        The reserve keeps slots free from long requests, so that quick ones start
        without waiting, and from organisations above their fair share, so that the
        others do. The latter grows with the fraction of server time that the others
        recently used.
        """
        queue = self._queue(item.service)
        entry = self._taken.get(item.request_id)
        is_due = entry is not None and entry.is_floor_due
        share = 0.0
        if item.priority is requests.Priority.LONG and not is_due:
            share = LONG_RESERVE
        if queue.is_over_share(now_s, item.organisation):
            others_fraction = queue.others_fraction(now_s, item.organisation)
            share = max(share, OVER_SHARE_RESERVE * others_fraction)
        return share

    def _queue(self, service: str) -> fair_queue.ServiceQueue:
        return self._queues.setdefault(service, fair_queue.ServiceQueue())

    def _add(self, entry: fair_queue.Entry) -> None:
        self._entries[entry.item.request_id] = entry
        self._n_by_organisation[entry.item.organisation] += 1

    def _drop(self, item: WaitingRequest) -> None:
        del self._entries[item.request_id]
        self._n_by_organisation[item.organisation] -= 1
        if not self._n_by_organisation[item.organisation]:
            del self._n_by_organisation[item.organisation]

    def _last_of_largest(self, n_own: int) -> WaitingRequest | None:
        """The newest request of the organisation with the most waiting requests.

        None if it has hardly more than `n_own` of them.
        """
        largest, n_largest = self._n_by_organisation.most_common(1)[0]
        if n_largest <= n_own + 1:
            return None
        entries = reversed(self._entries.values())
        return next(e.item for e in entries if e.item.organisation == largest)

    def _longest_wait_s(self, now_s: float, item: WaitingRequest) -> float:
        is_quick = item.priority is requests.Priority.QUICK
        max_wait_s = MAX_QUICK_WAIT_S if is_quick else MAX_LONG_WAIT_S
        left_s = _latest_start_s(item) - now_s
        return min(max_wait_s, left_s / WAIT_SAFETY)

    def _refused(self, reason: outcomes.Reason, wait_s: float, detail: str) -> Refused:
        after_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        after_s *= self._random_state.uniform(1.0, 1.0 + RETRY_JITTER)
        return Refused(reason, after_s, detail)


def _latest_start_s(item: WaitingRequest) -> float:
    return item.deadline_s - item.cost
