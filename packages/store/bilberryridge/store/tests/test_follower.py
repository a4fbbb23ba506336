"""Follower during store outages, returns from a copy, compaction and silence.

Time is simulated.
"""

import random

import pytest

from bilberryridge.store import follower, mirror, registration, store_era
from bilberryridge.store.tests import simulated_store


def start_follower(settled=None):
    clock = simulated_store.Clock()
    store = simulated_store.Store(clock)
    copy = mirror.Mirror(lambda keys: None)
    eras = store_era.EraMonitor()
    store.eras.append(eras)
    tested = follower.Follower(
        store, copy, clock, random.Random(1), eras, settled or (lambda: None)
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


def start_registered_follower():
    """Start a follower whose daemon renews a lease, which shows an outage as well."""
    clock, store, copy, tested = start_follower()
    registration.Registration(
        store,
        clock,
        "entry",
        b"me",
        store_era.EraMonitor(),
        lambda: True,
        tested.record_contact,
    ).start()
    clock.run_until(6.0)
    return clock, store, copy, tested


@pytest.mark.parametrize("interval_s", [0.5, 1.0, 1.8, 2.4, 4.0])
def test_removal_counts_as_one_though_waiting_watches_are_cut(interval_s):
    # Issue 61: each cut watch was taken for an outage, in which entries may expire.
    clock, store, copy, tested = start_registered_follower()
    store.write("server", b"1")
    clock.run_until(8.0)
    removed_s = clock.time_s + 0.8
    settled_s = []
    for n in range(500):
        at_s = 8.0 + 0.02 * n
        if at_s >= removed_s and "server" in store.items:
            store.write("server", None)
        if at_s % interval_s < 0.02:
            store.cut_watches()
        clock.run_until(at_s)
        if tested.is_settled and "server" not in copy.items:
            settled_s.append(at_s)
    assert settled_s[0] - removed_s <= 0.5


@pytest.mark.parametrize("fault", ["refuse", "silent"])
@pytest.mark.parametrize("cut_s", [None, 0.3, 1.0, 1.9])
def test_outage_is_settled_after_servers_had_time_to_register_again(fault, cut_s):
    # Issue 61: the other side of what a cut watch is; one doesn't end the time either.
    clock, store, _, tested = start_registered_follower()
    store.fault = fault
    clock.run_until(9.0)
    store.fault = None
    if cut_s is not None:
        clock.run_until(9.0 + cut_s)
        store.cut_watches()
    settled_s = []
    for n in range(400):
        clock.run_until(9.0 + (cut_s or 0.0) + 0.02 * n)
        if tested.is_settled:
            settled_s.append(clock.time_s)
    # Servers are registered again 2 s after the return; a silent call fails late.
    noticed_s = 9.0 + follower.MAX_BACKOFF_S + 0.1
    if fault == "silent":
        noticed_s += simulated_store.SILENT_CALL_S
    assert 9.0 + 2.0 <= settled_s[0] <= noticed_s + follower.SETTLING_TIME_S


def test_watch_that_was_silent_is_no_outage_where_other_calls_are_answered():
    # Issue 61: the store answered renewals all the while, so no entry can have expired.
    clock, store, _, tested = start_registered_follower()
    store.is_watch_silent = True
    clock.run_until(6.0 + 2 * follower.WATCH_TIMEOUT_S)
    store.is_watch_silent = False
    clock.run_until(clock.time_s + 2.0)
    assert tested.is_settled


class ManualReader:
    """A reader whose calls are answered by the test."""

    def __init__(self):
        self.calls = []

    def read_all(self, on_answer):
        self.calls.append(on_answer)

    def watch(self, after, wait_s, on_answer):
        self.calls.append(on_answer)


@pytest.mark.parametrize(("gap_s", "is_settled"), [(0.6, True), (3.0, False)])
def test_issue_61_gap_between_renewals_before_a_watch_fails_is_an_outage(
    gap_s, is_settled
):
    clock, reader = simulated_store.Clock(), ManualReader()
    copy = mirror.Mirror(lambda keys: None)
    eras = store_era.EraMonitor()
    tested = follower.Follower(
        reader, copy, clock, random.Random(1), eras, lambda: None
    )
    tested.start()
    reader.calls.pop()(mirror.Changes(1, (), is_full=True))
    for at_s in (0.6, 0.6 + gap_s):
        clock.run_until(at_s)
        tested.record_contact()
    reader.calls.pop()(follower.CallFailure("cut"))
    clock.run_until(clock.time_s + 0.2)
    reader.calls.pop()(mirror.Changes(1, ()))
    assert tested.is_settled is is_settled


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


@pytest.mark.parametrize("era", [0, 7])
def test_store_that_comes_back_from_a_copy_is_followed(era):
    clock, store, copy, tested = start_follower()
    store.era = era
    for n in range(100):
        store.write(f"key-{n % 10}", b"%d" % n)
    clock.run_until(5.0)
    store.restore_copy(80)
    n_calls = store.n_calls
    store.write("key-1", b"new")
    store.write("server", b"new")
    clock.run_until(6.0)
    assert copy.items["key-1"].value == b"new"
    assert copy.items["server"].value == b"new"
    assert copy.items["key-9"].value == b"79"
    assert not tested.is_settled
    # An answer with changes is followed by a pause.
    assert store.n_calls - n_calls <= 1.0 / follower.COALESCING_PAUSE_S + 3
    clock.run_until(10.0)
    assert tested.is_settled
    store.write("key-1", b"newer")
    clock.run_until(10.5)
    assert copy.items["key-1"].value == b"newer"


def test_store_that_comes_back_twice_is_followed():
    clock, store, copy, _ = start_follower()
    store.era = 1
    for n in range(100):
        store.write("key", b"%d" % n)
    clock.run_until(5.0)
    store.restore_copy(80)
    clock.run_until(5.1)
    store.restore_copy(60)
    clock.run_until(6.0)
    assert (copy.era, copy.revision) == (3, 60)
    assert copy.items["key"].value == b"59"


def test_covered_follower_makes_no_calls_until_it_is_needed():
    clock, store, copy, tested = start_follower()
    store.write("a", b"1")
    clock.run_until(1.0)
    tested._is_covered = lambda: True
    clock.run_until(5.0)
    n_calls = store.n_calls
    store.write("a", b"2")
    clock.run_until(20.0)
    assert store.n_calls == n_calls
    tested._is_covered = lambda: False
    clock.run_until(20.0 + follower.COVERED_CHECK_S + 0.1)
    assert copy.items["a"].value == b"2"


def test_follower_that_lost_the_store_is_not_covered_until_it_was_answered():
    clock, store, _, tested = start_follower()
    clock.run_until(1.0)
    store.fault = "refuse"
    clock.run_until(2.0)
    tested._is_covered = lambda: True
    assert tested.age_s == float("inf")
    store.fault = None
    clock.run_until(3.0)
    assert not tested.health.is_unavailable
    assert tested.age_s <= 1.0


def test_calls_at_the_return_of_a_store_with_many_daemons():
    # The rates of 195 VMs' store: 3,200 writing and 16,000 reading calls a second.
    n_daemons, catch_up_s = 195, 6.0
    max_calls_per_s = {"write": 3_200 / 2, "read": 16_000 / 2}
    clock = simulated_store.Clock()
    store = simulated_store.Store(clock)
    store.era = 1
    copies = []
    for n in range(n_daemons):
        eras = store_era.EraMonitor()
        copy = mirror.Mirror(lambda keys: None)
        copies.append(copy)
        reader = simulated_store.Client(store, eras)
        following = follower.Follower(
            reader, copy, clock, random.Random(n), eras, lambda: None
        )
        following.start()
        registration.Registration(reader, clock, f"entry/{n}", b"me", eras).start()
    clock.run_until(10.0)
    store.fault = "refuse"
    clock.run_until(11.0)
    store.fault = None
    store.restore_copy(store.revision - 50)
    clock.run_until(11.0 + catch_up_s)
    assert all(copy.era == 2 for copy in copies)
    assert all(f"entry/{n}" in copies[-1].items for n in range(n_daemons))
    for kind, limit in max_calls_per_s.items():
        times_s = [at_s for at_s, k in store.calls if k == kind and at_s >= 11.0]
        busiest = max(
            sum(start_s <= at_s < start_s + 1.0 for at_s in times_s)
            for start_s in times_s[::20]
        )
        assert busiest <= limit, kind
