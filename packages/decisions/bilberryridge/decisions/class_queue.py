"""Waiting requests of one class of a service, in one FIFO per organisation."""

import collections
import heapq

import attrs

from bilberryridge.core import requests
from bilberryridge.decisions import meters, shares


@attrs.frozen
class WaitingRequest:
    """A request that waits to be placed.

    Parameters
    ----------
    request_id, service, organisation : str
    weight : float
        Weight of the organisation.
    priority : requests.Priority
    deadline_s : float
        Monotonic time after which the request need not be sent.
    cost : float
        Expected server time in seconds.
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
    """A request in the queue with its position.

    Parameters
    ----------
    item : WaitingRequest
    start_tag : float
        Virtual start time in start-time fair queueing.
    sequence : int
        Order among entries with equal start tags.
    is_in_heap : bool
        Whether it is in the heap as the head of its organisation's FIFO.
    credit : float
        Change of the long class's credit when it was taken.
    is_metered : bool
        Whether its cost was counted by the meter when it was taken.
    virtual_time_before : float
        Virtual time of the class before it was taken.
    """

    item: WaitingRequest
    start_tag: float
    sequence: int
    is_in_heap: bool = False
    credit: float = 0.0
    is_metered: bool = False
    virtual_time_before: float = 0.0

    @property
    def is_floor_due(self) -> bool:
        """Whether it was taken because the long class is due its minimum."""
        return self.credit < 0.0


class ClassQueue:
    """Queue of one class of a service.

    Parameters
    ----------
    meter : meters.Meter
        Measures the rate at which the class is placed.
    """

    def __init__(self, meter: meters.Meter):
        self.meter = meter
        self.n_waiting = 0
        self.virtual_time = 0.0
        self.backlog = 0.0
        self.weight = 0.0
        self._fifos: dict[str, collections.deque[Entry]] = {}
        self._heap: list[tuple[float, int, Entry]] = []
        self._blocked: set[str] = set()
        self._blocked_s = 0.0
        self._blocked_heads: list[Entry] = []

    def head(self, now_s: float) -> Entry | None:
        """Return the next entry, skipping organisations that are blocked now."""
        if now_s != self._blocked_s:
            self.unblock(now_s)
        while self._heap:
            entry = self._heap[0][2]
            fifo = self._fifos.get(entry.item.organisation)
            is_first = fifo is not None and fifo[0] is entry
            if is_first and entry.item.organisation not in self._blocked:
                return entry
            heapq.heappop(self._heap)
            entry.is_in_heap = False
            if is_first:
                self._blocked_heads.append(entry)
        return None

    def block(self, now_s: float, organisation: str) -> None:
        """Skip the organisation until time advances or `unblock` is called."""
        if now_s != self._blocked_s:
            self.unblock(now_s)
        self._blocked.add(organisation)

    def insert(self, entry: Entry, share: shares.Share, is_first: bool) -> None:
        """Add an entry at the end of its organisation's FIFO, or at its front."""
        index = entry.item.priority.value
        if share.backlog[index] <= 0.0:
            self.weight += share.weight
        share.backlog[index] += entry.item.cost
        self.backlog += entry.item.cost
        self.n_waiting += 1
        fifo = self._fifos.setdefault(entry.item.organisation, collections.deque())
        if is_first:
            fifo.appendleft(entry)
        else:
            fifo.append(entry)
        self._push(fifo[0])

    def extract(self, entry: Entry, share: shares.Share) -> None:
        """Remove an entry."""
        index = entry.item.priority.value
        self.n_waiting -= 1
        self.backlog = self.backlog - entry.item.cost if self.n_waiting else 0.0
        left = share.backlog[index] - entry.item.cost
        share.backlog[index] = left if left > meters.MIN_WORK_S else 0.0
        if not share.backlog[index]:
            self.weight = self.weight - share.weight if self.n_waiting else 0.0
        fifo = self._fifos[entry.item.organisation]
        fifo.remove(entry)
        if fifo:
            self._push(fifo[0])
        else:
            del self._fifos[entry.item.organisation]

    def _push(self, entry: Entry) -> None:
        if entry.is_in_heap:
            return
        entry.is_in_heap = True
        heapq.heappush(self._heap, (entry.start_tag, entry.sequence, entry))

    def unblock(self, now_s: float) -> None:
        """Stop skipping blocked organisations, as there may be room now."""
        self._blocked_s = now_s
        self._blocked.clear()
        heads = self._blocked_heads
        self._blocked_heads = []
        for entry in heads:
            fifo = self._fifos.get(entry.item.organisation)
            if fifo is not None and fifo[0] is entry:
                self._push(entry)
