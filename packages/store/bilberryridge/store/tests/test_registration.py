"""Registration of a daemon during store outages and returns from a copy.

Time is simulated.
"""

from bilberryridge.store import registration, store_era
from bilberryridge.store.tests import simulated_store


def start_registration():
    clock = simulated_store.Clock()
    store = simulated_store.Store(clock)
    eras = store_era.EraMonitor()
    store.eras.append(eras)
    tested = registration.Registration(store, clock, "entry/a", b"me", eras)
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


def test_entry_is_registered_with_a_new_lease_in_a_new_era():
    clock, store, _ = start_registration()
    store.era = 1
    clock.run_until(3.0)
    store.write("other", b"1")
    store.restore_copy(0)
    clock.run_until(3.0 + registration.RENEWAL_INTERVAL_S)
    assert "entry/a" in store.items
    assert store.leases
    clock.run_until(20.0)
    assert len(store.leases) == 1


def test_revoke_removes_the_entry_at_once_and_permanently():
    clock, store, tested = start_registration()
    clock.run_until(1.0)
    tested.revoke()
    clock.run_until(1.1)
    assert "entry/a" not in store.items
    clock.run_until(20.0)
    assert "entry/a" not in store.items
