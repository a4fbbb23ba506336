"""The queue of one service: start-time fair queueing in two classes.

See Also
--------
bilberryridge.decisions.admission : the queues of all services and their bounds.

References
----------
P. Goyal, H. Vin and H. Cheng, "Start-Time Fair Queueing", IEEE/ACM Transactions on
Networking 5 (5), 1997.
"""

from bilberryridge.core import requests
from bilberryridge.decisions import class_queue, meters, shares

LONG_FLOOR = 0.2
"""Fraction of the placed work that is guaranteed to waiting long requests."""
QUICK_RATE_WINDOW_S = 5.0
LONG_RATE_WINDOW_S = 30.0

QUICK = requests.Priority.QUICK.value
LONG = requests.Priority.LONG.value

WaitingRequest = class_queue.WaitingRequest
Entry = class_queue.Entry


class ServiceQueue:
    """Waiting requests of one service at this daemon."""

    def __init__(self) -> None:
        # The meter of quick requests counts all placed work, as they may use all
        # capacity; that of long ones counts only long work.
        self._classes = (
            class_queue.ClassQueue(meters.Meter(QUICK_RATE_WINDOW_S)),
            class_queue.ClassQueue(meters.Meter(LONG_RATE_WINDOW_S)),
        )
        self._shares = shares.Shares()
        self._sequence = 0
        self._long_credit = 0.0
        self._is_blocked = False
        self._updated_s = 0.0

    def __len__(self) -> int:
        return self._classes[QUICK].n_waiting + self._classes[LONG].n_waiting

    def start_tag_for(self, item: WaitingRequest) -> float:
        """Start tag that a request of the organisation would get now."""
        index = item.priority.value
        share = self._shares.find(item.organisation)
        finish = 0.0 if share is None else share.finish[index]
        return max(self._classes[index].virtual_time, finish)

    def add(self, now_s: float, item: WaitingRequest) -> Entry:
        """Queue a request after the earlier work of its organisation."""
        self._record_time(now_s)
        start_tag = self.start_tag_for(item)
        share = self._shares.activate(now_s, item.organisation, item.weight)
        share.finish[item.priority.value] = start_tag + item.cost / item.weight
        self._sequence += 1
        entry = Entry(item, start_tag, self._sequence)
        self._classes[item.priority.value].insert(entry, share, is_first=False)
        return entry

    def entry_at_front(self, item: WaitingRequest) -> Entry:
        """Return an entry before all others, for a request that was taken earlier."""
        self._sequence += 1
        virtual_time = self._classes[item.priority.value].virtual_time
        return Entry(
            item, virtual_time, -self._sequence, virtual_time_before=virtual_time
        )

    def unblock(self, now_s: float) -> None:
        """Stop skipping blocked organisations, as there may be room now."""
        for class_q in self._classes:
            class_q.unblock(now_s)

    def put_back(self, entry: Entry) -> None:
        """Return an entry to its position, as if it had never been taken.

        Its organisation is skipped until time advances, so that a request that can't
        be placed does not block other organisations.
        """
        item = entry.item
        self._is_blocked = True
        self._long_credit -= entry.credit
        entry.credit = 0.0
        self._meter(entry, -1.0)
        self._shares.record_usage(self._updated_s, item.organisation, -item.cost)
        share = self._shares.activate(self._updated_s, item.organisation, item.weight)
        class_q = self._classes[item.priority.value]
        # Undo the advance of virtual time; else requests that arrive later would be
        # queued behind one that was not placed.
        class_q.virtual_time = min(class_q.virtual_time, entry.virtual_time_before)
        class_q.insert(entry, share, is_first=True)
        class_q.block(self._updated_s, item.organisation)

    def take(self, now_s: float) -> Entry | None:
        """Remove and return the next entry."""
        self._record_time(now_s)
        quick, long = (class_q.head(now_s) for class_q in self._classes)
        entry = quick or long
        if entry is None:
            self._is_blocked = len(self) > 0
            return None
        if long is None:
            self._long_credit = 0.0
        elif quick is not None and self._long_credit >= long.item.cost:
            entry = long
            entry.credit = -long.item.cost
        elif quick is not None:
            entry.credit = quick.item.cost * LONG_FLOOR / (1.0 - LONG_FLOOR)
        self._long_credit += entry.credit
        self._charge(now_s, entry)
        return entry

    def remove(self, entry: Entry) -> None:
        """Remove a waiting entry without charging its organisation."""
        item = entry.item
        share = self._shares.find(item.organisation)
        if share is not None:
            self._classes[item.priority.value].extract(entry, share)
            share.finish[item.priority.value] -= item.cost / item.weight

    def expected_wait_s(self, now_s: float, item: WaitingRequest) -> float:
        """Expected wait of a request if it were queued now."""
        self._record_time(now_s)
        index = item.priority.value
        class_q = self._classes[index]
        share = self._shares.find(item.organisation)
        own_backlog = 0.0 if share is None else share.backlog[index]
        # Fair queueing bounds the work ahead: the whole backlog, or what the others
        # get while the organisation's own backlog and this request are served.
        weights = class_q.weight + (0.0 if own_backlog else item.weight)
        work_ahead = (own_backlog + item.cost) * weights / item.weight - item.cost
        return class_q.meter.time_for(min(class_q.backlog, max(work_ahead, 0.0)))

    def backlog_wait_s(self, now_s: float) -> float:
        """Expected time until all waiting quick requests are placed."""
        self._record_time(now_s)
        quick = self._classes[QUICK]
        return quick.meter.time_for(quick.backlog)

    def is_over_share(self, now_s: float, organisation: str) -> bool:
        """Whether the organisation recently used far more than its fair share."""
        return self._shares.is_over(now_s, organisation)

    def others_fraction(self, now_s: float, organisation: str) -> float:
        """Fraction of recent server time that other organisations used."""
        return self._shares.others_fraction(now_s, organisation)

    def _charge(self, now_s: float, entry: Entry) -> None:
        item = entry.item
        class_q = self._classes[item.priority.value]
        entry.virtual_time_before = class_q.virtual_time
        class_q.virtual_time = max(class_q.virtual_time, entry.start_tag)
        share = self._shares.find(item.organisation)
        if share is not None:
            class_q.extract(entry, share)
        self._shares.record_usage(now_s, item.organisation, item.cost)
        entry.is_metered = self._is_blocked
        self._meter(entry, 1.0)

    def _meter(self, entry: Entry, sign: float) -> None:
        if entry.is_metered:
            item = entry.item
            self._classes[QUICK].meter.served += sign * item.cost
            if item.priority is requests.Priority.LONG:
                self._classes[LONG].meter.served += sign * item.cost

    def _record_time(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        self._updated_s = max(now_s, self._updated_s)
        # Only time with requests left waiting shows the capacity of the servers.
        if self._is_blocked and elapsed_s > 0.0:
            self._classes[QUICK].meter.record_time(elapsed_s)
            if self._classes[LONG].n_waiting:
                self._classes[LONG].meter.record_time(elapsed_s)
