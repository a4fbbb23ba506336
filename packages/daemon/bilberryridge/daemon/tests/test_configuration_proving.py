"""The proof of the configuration at 82 daemons: its bound, its cost, its faults."""

import pytest

from bilberryridge.daemon.tests import proof_fleet

MAX_CALLS_PER_S = 10.0
MAX_BYTES_PER_S = 200.0
REFUSED_S = 9.0


def make_fleet(seed=1, has_pushes=False):
    """Return a fleet after its start."""
    fleet = proof_fleet.Fleet(seed, has_pushes)
    fleet.run(6.0)
    fleet.reset_counts()
    return fleet


def run_with_writes(fleet, seconds, interval_s=1.0):
    end_s = fleet.clock.time_s + seconds
    while fleet.clock.time_s < end_s - 1e-9:
        fleet.write()
        fleet.run(interval_s)


def thirds(fleet):
    return [name for n, name in enumerate(fleet.daemons) if n % 3 == 0]


@pytest.mark.parametrize("has_pushes", [False, True])
def test_cost_in_normal_operation(has_pushes):
    fleet = make_fleet(has_pushes=has_pushes)
    run_with_writes(fleet, 60.0, interval_s=20.0)
    n_bytes = [daemon.n_bytes / 60.0 for daemon in fleet.daemons.values()]
    assert len(fleet.calls_s) / 60.0 < MAX_CALLS_PER_S
    assert sum(n_bytes) / len(n_bytes) < MAX_BYTES_PER_S
    assert fleet.valid_fraction() == 1.0
    assert fleet.violations == []


@pytest.mark.parametrize("interval_s", [0.06, 0.33])
def test_versions_close_together_leave_no_daemon_without_proof(interval_s):
    fleet = make_fleet(has_pushes=True)
    run_with_writes(fleet, 12.0, interval_s)
    assert fleet.valid_fraction() > 0.999
    assert fleet.violations == []


@pytest.mark.parametrize("fault", ["refuse", "silent"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_third_refused_by_the_store_learns_of_revocations_from_others(fault, seed):
    fleet = make_fleet(seed)
    refused = thirds(fleet)
    for name in refused:
        fleet.daemons[name].store_fault = fault
    run_with_writes(fleet, REFUSED_S)
    assert fleet.valid_fraction() > 0.999
    for name in refused:
        fleet.daemons[name].store_fault = None
    run_with_writes(fleet, 6.0)
    assert fleet.violations == []


def test_refused_whole_region_relays_proof_through_other_regions():
    fleet = make_fleet()
    region = [n for n, d in fleet.daemons.items() if d.entry.region == "r2"]
    for name in region:
        fleet.daemons[name].store_fault = "refuse"
    run_with_writes(fleet, REFUSED_S)
    assert fleet.valid_fraction() > 0.99
    assert fleet.violations == []


@pytest.mark.parametrize(("fault", "back_s"), [("refuse", 1.9), ("silent", 2.5)])
def test_all_refuse_in_an_outage_and_accept_again_soon_after(fault, back_s):
    fleet = make_fleet()
    fleet.store_fault = fault
    fleet.run(5.0)
    assert not any(daemon.is_valid() for daemon in fleet.daemons.values())
    # A version that is written while no daemon is answered.
    fleet.write()
    fleet.run(7.0)
    assert not any(daemon.is_valid() for daemon in fleet.daemons.values())
    fleet.store_fault = None
    fleet.run(back_s)
    assert all(daemon.is_valid() for daemon in fleet.daemons.values())
    assert {daemon.held_revision for daemon in fleet.daemons.values()} == {2}
    assert fleet.violations == []


def test_daemon_that_restarts_in_an_outage_refuses_until_the_store_answers():
    fleet = make_fleet()
    fleet.store_fault = "refuse"
    fleet.run(5.0)
    daemon = fleet.daemons["d3-0"]
    daemon.start()
    daemon.proving.start()
    daemon.ask_for_changes("d3-1")
    fleet.run(6.0)
    assert daemon.held_revision == 1
    assert not daemon.is_valid()
    fleet.write()
    fleet.store_fault = None
    fleet.run(1.5)
    assert daemon.is_valid()
    assert daemon.held_revision == 2
    assert fleet.violations == []


def test_region_that_is_cut_off_with_the_store_goes_on():
    fleet = make_fleet()
    for name, daemon in fleet.daemons.items():
        fleet.groups[name] = daemon.entry.region
    run_with_writes(fleet, 9.0)
    assert fleet.valid_fraction() > 0.999
    assert fleet.violations == []


def test_vm_that_is_cut_off_from_all_refuses_in_time_and_comes_back():
    fleet = make_fleet()
    daemon = fleet.daemons["d1-3"]
    fleet.groups["d1-3"] = "alone"
    daemon.store_fault = "silent"
    run_with_writes(fleet, 9.0)
    assert not daemon.is_valid()
    fleet.groups.clear()
    daemon.store_fault = None
    fleet.run(1.0)
    assert daemon.is_valid()
    assert fleet.violations == []


def test_vm_that_was_suspended_refuses_at_once_and_accepts_soon():
    fleet = make_fleet()
    # The first daemon of a domain reads, the others ask; either may stand still.
    names = list(fleet.daemons)[::9]
    for name in names:
        fleet.daemons[name].suspend(9.0)
    run_with_writes(fleet, 9.0)
    assert not any(fleet.daemons[name].is_valid() for name in names)
    fleet.run(1.5)
    assert all(fleet.daemons[name].is_valid() for name in names)
    assert fleet.valid_fraction(set(fleet.daemons) - set(names)) > 0.999
    assert fleet.violations == []


@pytest.mark.parametrize("hold_s", [0.5, 3.0])
def test_links_that_hold_messages_up_make_no_proof_younger(hold_s):
    fleet = make_fleet()
    for name in thirds(fleet):
        fleet.daemons[name].hold_s = hold_s
        fleet.daemons[name].store_fault = "refuse"
    run_with_writes(fleet, 12.0)
    assert fleet.violations == []
    others = set(fleet.daemons) - set(thirds(fleet))
    assert fleet.valid_fraction(others) > 0.999


def test_store_that_comes_back_from_a_copy_proves_nothing_at_first():
    fleet = make_fleet()
    fleet.write()
    fleet.run(3.0)
    fleet.restore_copy(1)
    fleet.run(2.3)
    proven_s = [d.proving._renewal.proven_s for d in fleet.daemons.values()]
    assert max(proven_s) <= fleet.clock.time_s - 2.3
    fleet.run(3.0)
    assert all(daemon.is_valid() for daemon in fleet.daemons.values())


@pytest.mark.parametrize("seed", range(4))
def test_no_daemon_accepts_a_revoked_key_whatever_fails_together(seed):
    fleet = make_fleet(seed, has_pushes=seed % 2 == 0)
    random_state = fleet.random_state
    for _ in range(12):
        fleet.store_fault = random_state.choice([None, None, None, "refuse", "silent"])
        fleet.loss_rate = random_state.choice([0.0, 0.0, 0.3])
        is_cut = random_state.random() < 0.3
        for name, daemon in fleet.daemons.items():
            faults = [None, None, None, "refuse", "silent"]
            daemon.store_fault = random_state.choice(faults)
            daemon.hold_s = random_state.choice([0.0, 0.0, 0.0, 0.4, 3.0])
            fleet.groups[name] = random_state.randrange(3) if is_cut else 0
            if random_state.random() < 0.03:
                daemon.suspend(random_state.uniform(0.5, 8.0))
        run_with_writes(fleet, 3.0, random_state.choice([0.06, 0.33, 1.0]))
    assert fleet.violations == []
    assert fleet.n_valid
