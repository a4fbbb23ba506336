"""Follower and registration during store outages, compaction and silence.

Time is simulated.
"""

import heapq
import random

import pytest

from bilberryridge.store import follower, mirror, registration


class Clock:
    def __init__(self):
        self.time_s = 0.0
        self._heap = []
        self._n = 0

    def now_s(self):
        return self.time_s

    def after(self, seconds, action):
        self._n += 1
        heapq.heappush(self._heap, (self.time_s + seconds, self._n, action))

    def run_until(self, end_s):
        while self._heap and self._heap[0][0] <= end_s:
            self.time_s, _, action = heapq.heappop(self._heap)
            action()
        self.time_s = end_s


class Store:
    """A store in simulated time; `fault` is the failure of the next calls."""

    def __init__(self, clock):
        self.clock = clock
        self.items = {}
        self.events = []
        self.revision = 0
        self.oldest_revision = 0
        self.leases = {}
        self.fault = None
        self.n_calls = 0

    def write(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            self.events.append(mirror.Deletion(key, self.revision))
        else:
            self.items[key] = mirror.Item(key, value, self.revision)
            self.events.append(self.items[key])

    def _answer(self, on_answer, make_answer, wait_s=0.004):
        self.n_calls += 1
        if self.fault == "refuse":
            failure = follower.CallFailure("status 503")
            self.clock.after(0.004, lambda: on_answer(failure))
        elif self.fault == "silent":
            failure = follower.CallFailure("no answer in time")
            self.clock.after(2.0, lambda: on_answer(failure))
        elif self.fault == "lost":
            make_answer()
            failure = follower.CallFailure("no answer in time")
            self.clock.after(2.0, lambda: on_answer(failure))
        else:
            self.clock.after(wait_s, lambda: on_answer(make_answer()))

    def read_all(self, on_answer):
        self._answer(
            on_answer,
            lambda: mirror.Changes(self.revision, tuple(self.items.values()), True),
        )

    def watch(self, after, wait_s, on_answer):
        def make_answer():
            if after < self.oldest_revision:
                return follower.CallFailure("status 410", is_history_lost=True)
            updates = tuple(update for update in self.events if update.revision > after)
            return mirror.Changes(self.revision, updates)

        has_updates = self.revision > after or after < self.oldest_revision
        self._answer(
            on_answer, make_answer, 0.004 if has_updates else min(wait_s, 0.05)
        )

    def grant(self, ttl_s, on_answer):
        def make_answer():
            lease = len(self.leases) + 1
            self.leases[lease] = set()
            return lease

        self._answer(on_answer, make_answer)

    def renew(self, lease, on_answer):
        self._answer(on_answer, lambda: lease in self.leases)

    def put(self, key, value, lease, on_answer):
        def make_answer():
            if lease not in self.leases:
                return False
            self.leases[lease].add(key)
            self.write(key, value)
            return True

        self._answer(on_answer, make_answer)

    def revoke(self, lease, on_answer):
        self._answer(on_answer, lambda: self.lapse(lease))

    def lapse(self, lease):
        for key in self.leases.pop(lease, ()):
            self.write(key, None)
        return True


def start_follower(settled=None):
    clock = Clock()
    store = Store(clock)
    copy = mirror.Mirror(lambda keys: None)
    tested = follower.Follower(
        store, copy, clock, random.Random(1), settled or (lambda: None)
    )
    tested.start()
    return clock, store, copy, tested


def test_changes_arrive_while_the_store_is_available():
    clock, store, copy, _ = start_follower()
    store.write("a", b"1")
    clock.run_until(1.0)
    store.write("a", b"2")
    clock.run_until(1.2)
    assert copy.items["a"].value == b"2"


@pytest.mark.parametrize(("fault", "back_s"), [("refuse", 10.0), ("silent", 11.5)])
def test_outage_is_noticed_and_its_changes_are_read_afterwards(fault, back_s):
    times = []
    clock, store, copy, tested = start_follower(lambda: times.append(clock.time_s))
    store.write("a", b"1")
    clock.run_until(1.0)
    store.fault = fault
    clock.run_until(1.2)
    store.write("b", b"1")
    clock.run_until(9.0)
    assert tested.health.is_unavailable
    assert "b" not in copy.items
    store.fault = None
    clock.run_until(back_s)
    assert "b" in copy.items
    assert not tested.is_settled
    clock.run_until(20.0)
    assert tested.is_settled
    assert times


def test_after_lost_history_all_keys_are_read_and_deletions_applied():
    clock, store, copy, _ = start_follower()
    store.write("a", b"1")
    store.write("b", b"1")
    clock.run_until(1.0)
    store.write("a", None)
    store.oldest_revision = store.revision
    clock.run_until(2.0)
    assert set(copy.items) == {"b"}


def test_refusing_store_is_not_flooded_with_calls():
    clock, store, _, _ = start_follower()
    store.fault = "refuse"
    clock.run_until(10.0)
    assert store.n_calls <= 10 / follower.MIN_BACKOFF_S


def start_registration():
    clock = Clock()
    store = Store(clock)
    tested = registration.Registration(store, clock, "entry/a", b"me")
    tested.start()
    return clock, store, tested


def test_registration_is_renewed_within_a_second_of_the_stores_recovery():
    clock, store, _ = start_registration()
    clock.run_until(1.0)
    assert "entry/a" in store.items
    store.fault = "refuse"
    clock.run_until(4.0)
    store.lapse(1)
    clock.run_until(9.0)
    store.fault = None
    clock.run_until(10.2)
    assert "entry/a" in store.items


def test_registration_whose_answer_was_lost_is_repeated():
    clock, store, _ = start_registration()
    store.fault = "lost"
    clock.run_until(5.0)
    store.fault = None
    clock.run_until(8.0)
    assert "entry/a" in store.items


def test_entry_that_was_deleted_is_written_again():
    clock, store, tested = start_registration()
    clock.run_until(1.0)
    store.write("entry/a", None)
    for _ in range(3):
        tested.restore_if_missing(is_present=False)
    clock.run_until(1.5)
    assert "entry/a" in store.items
    n_calls = store.n_calls
    clock.run_until(11.5)
    assert store.n_calls - n_calls <= 10 / registration.RENEWAL_INTERVAL_S + 1


def test_revoke_removes_the_entry_at_once_and_permanently():
    clock, store, tested = start_registration()
    clock.run_until(1.0)
    tested.revoke()
    clock.run_until(1.1)
    assert "entry/a" not in store.items
    clock.run_until(20.0)
    assert "entry/a" not in store.items
