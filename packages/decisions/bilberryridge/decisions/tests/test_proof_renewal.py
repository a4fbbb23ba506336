"""Which answers prove the configuration, as of when, and whom a daemon asks."""

import math
import random

import pytest

from bilberryridge.core import ingress
from bilberryridge.decisions import proof_renewal, rendezvous

Version = proof_renewal.Version
BOUND_S = 5.0
HELD = Version(1, 10)


def make_entry(name, domain="d1", region="east"):
    return ingress.EntryVm(name, "i1", domain, region, "a:1", "a:2", "a:3")


LOCAL = make_entry("vm-0")
DOMAIN = [make_entry(f"vm-{n}") for n in range(1, 5)]
REGION = [make_entry(f"near-{n}", "d2") for n in range(3)]
FAR = [make_entry(f"far-{n}", "d3", "west") for n in range(2)]
LINKED = FAR + REGION + DOMAIN
FIRST = rendezvous.ranked("d1", [entry.name for entry in DOMAIN])[0]


def make_renewal(held=HELD, bound_s=BOUND_S):
    renewal = proof_renewal.ProofRenewal(LOCAL, random.Random(1), bound_s)
    if held is not None:
        renewal.on_held(held, 0.0)
    return renewal


def ask(renewal, boot_s, linked=LINKED):
    [action] = renewal.actions(boot_s, False, linked)
    assert isinstance(action, proof_renewal.Ask)
    return action


def read(renewal, boot_s, is_first=True, linked=()):
    [action] = renewal.actions(boot_s, is_first, list(linked))
    assert isinstance(action, proof_renewal.Read)
    return action.number


def answer(renewal, asked, age_s, version=HELD, vm=None):
    reply = proof_renewal.ProofAnswer(asked.request.number, version, age_s)
    return renewal.on_answer(vm or asked.vm, reply)


@pytest.mark.parametrize("answered_s", [100.004, 103.0])
def test_read_is_dated_at_the_call_however_late_its_answer(answered_s):
    renewal = make_renewal()
    number = read(renewal, 100.0)
    renewal.on_read(number, HELD, answered_s)
    assert (renewal.proven_s, renewal.source) == (100.0, "store")


@pytest.mark.parametrize("age_s", [0.0, 0.7])
def test_answer_of_a_daemon_is_dated_at_the_question_less_its_age(age_s):
    # However long the answer was held up: it is not told when it comes.
    renewal = make_renewal()
    asked = ask(renewal, 100.0)
    assert not answer(renewal, asked, age_s)
    assert renewal.proven_s == pytest.approx(100.0 - age_s)
    assert renewal.source == asked.vm


def test_late_answer_counts_for_its_own_question():
    renewal = make_renewal()
    held_up = ask(renewal, 100.0)
    later = ask(renewal, 100.1 + proof_renewal.ASK_TIMEOUT_S)
    assert later.vm != held_up.vm
    answer(renewal, held_up, 0.5)
    assert renewal.proven_s == 99.5


def test_repeated_answer_and_one_to_another_daemon_count_for_nothing():
    renewal = make_renewal()
    asked = ask(renewal, 100.0)
    answer(renewal, asked, 0.0, vm="far-9")
    assert renewal.proven_s == -math.inf
    answer(renewal, asked, 2.0)
    answer(renewal, asked, 0.0)
    assert renewal.proven_s == 98.0


def test_answer_to_a_question_from_before_a_restart_counts_for_nothing():
    before = ask(make_renewal(), 100.0)
    renewal = proof_renewal.ProofRenewal(LOCAL, random.Random(2), BOUND_S)
    renewal.on_held(HELD, 0.0)
    ask(renewal, 102.0)
    answer(renewal, before, 0.0)
    assert renewal.proven_s == -math.inf


def test_proof_of_an_older_version_is_ignored():
    renewal = make_renewal()
    assert not answer(renewal, ask(renewal, 100.0), 0.0, Version(1, 9))
    assert renewal.proven_s == -math.inf


@pytest.mark.parametrize("revision", [11, 12])
def test_proof_of_a_newer_version_counts_once_the_changes_are_here(revision):
    renewal = make_renewal()
    assert answer(renewal, ask(renewal, 100.0), 0.5, Version(1, 11))
    assert renewal.proven_s == -math.inf
    renewal.on_held(Version(1, revision), 100.1)
    assert renewal.proven_s == 99.5


def test_daemon_that_is_ahead_without_proof_is_asked_for_its_changes():
    renewal = make_renewal()
    assert answer(renewal, ask(renewal, 100.0), None, Version(1, 11))
    renewal.on_held(Version(1, 11), 100.1)
    assert renewal.proven_s == -math.inf


def test_read_of_a_newer_version_counts_once_it_is_held():
    renewal = make_renewal()
    number = read(renewal, 100.0)
    renewal.on_read(number, Version(1, 11), 100.01)
    assert renewal.proven_s == -math.inf
    renewal.on_held(Version(1, 11), 100.2)
    assert renewal.proven_s == 100.0


def test_read_counts_though_a_later_change_came_meanwhile():
    renewal = make_renewal()
    number = read(renewal, 100.0)
    renewal.on_held(Version(1, 12), 100.002)
    renewal.on_read(number, Version(1, 11), 100.004)
    assert renewal.proven_s == 100.0


@pytest.mark.parametrize(("read_s", "is_proof"), [(102.4, False), (102.6, True)])
def test_answers_prove_nothing_until_a_restored_store_has_settled(read_s, is_proof):
    renewal = make_renewal()
    renewal.on_era(2, 100.0)
    renewal.on_held(Version(2, 8), 100.3)
    number = read(renewal, read_s)
    renewal.on_read(number, Version(2, 8), read_s + 1.0)
    assert (renewal.proven_s == read_s) is is_proof


def test_neighbour_that_knows_of_no_copy_proves_nothing_either():
    # A daemon that started into the copy takes it for the newest state.
    renewal = make_renewal()
    renewal.on_held(Version(2, 8), 100.0)
    asked = ask(renewal, 101.0)
    answer(renewal, asked, 0.0, Version(2, 8))
    assert renewal.proven_s == -math.inf


def test_proof_from_before_the_store_came_back_is_not_proof_of_the_copy():
    renewal = make_renewal()
    number = read(renewal, 100.0)
    renewal.on_era(2, 100.1)
    renewal.on_read(number, Version(2, 8), 100.1)
    renewal.on_held(Version(2, 8), 100.4)
    assert renewal.proven_s == -math.inf


def test_own_proof_holds_across_an_era_until_it_is_too_old():
    renewal = make_renewal()
    renewal.on_read(read(renewal, 100.0), HELD, 100.01)
    renewal.on_held(Version(2, 8), 100.5)
    assert renewal.proven_s == 100.0


def test_first_contact_with_the_store_needs_no_settling():
    renewal = make_renewal(held=None)
    number = read(renewal, 100.0)
    renewal.on_era(3, 100.01)
    renewal.on_read(number, Version(3, 8), 100.01)
    renewal.on_held(Version(3, 8), 100.05)
    assert renewal.proven_s == 100.0


def test_daemon_that_learned_the_era_before_from_others_waits_after_a_restart():
    renewal = make_renewal(held=Version(1, 10))
    renewal.on_era(2, 100.0)
    number = read(renewal, 100.1)
    renewal.on_held(Version(2, 8), 100.2)
    renewal.on_read(number, Version(2, 8), 100.3)
    assert renewal.proven_s == -math.inf


def prove(renewal, boot_s):
    renewal.on_read(read(renewal, boot_s), HELD, boot_s)


def test_daemon_that_follows_the_store_reads_before_the_others_ask():
    renewal = make_renewal()
    prove(renewal, 100.0)
    assert renewal.actions(100.9, True, LINKED) == []
    assert renewal.actions(101.9, False, LINKED) == []
    assert read(renewal, 101.1, linked=LINKED)


def test_own_domain_is_asked_first_then_the_store_is_read():
    renewal = make_renewal()
    prove(renewal, 100.0)
    vms = []
    for n in range(proof_renewal.MAX_ASKS):
        asked = ask(renewal, 102.1 + n * 0.01)
        vms.append(asked.vm)
        answer(renewal, asked, None)
    assert vms[0] == FIRST
    assert set(vms) <= {entry.name for entry in DOMAIN}
    assert len(set(vms)) == proof_renewal.MAX_ASKS
    read(renewal, 102.2, is_first=False, linked=LINKED)


def test_other_regions_are_asked_where_nothing_nearer_is_linked():
    renewal = make_renewal()
    assert ask(renewal, 100.0, FAR).vm in {entry.name for entry in FAR}


def test_old_proof_of_a_neighbour_does_not_end_the_search():
    renewal = make_renewal()
    prove(renewal, 100.0)
    asked = ask(renewal, 102.1)
    answer(renewal, asked, 1.9)
    assert renewal.proven_s == pytest.approx(100.2)
    assert ask(renewal, 102.3).vm != asked.vm


def test_daemon_that_stands_still_is_asked_last_for_a_while():
    renewal = make_renewal()
    silent = ask(renewal, 100.0)
    other = ask(renewal, 100.4)
    answer(renewal, other, 0.0)
    later = ask(renewal, 102.5)
    assert silent.vm == FIRST
    assert later.vm != silent.vm


def test_daemon_without_links_reads_at_once():
    read(make_renewal(), 100.0, is_first=False)


def test_daemon_that_the_store_refuses_asks_and_reads_less_often():
    renewal = make_renewal()
    n_reads = n_asks = 0
    for step in range(100):
        boot_s = 100.0 + step * 0.1
        for action in renewal.actions(boot_s, True, LINKED):
            if isinstance(action, proof_renewal.Read):
                n_reads += 1
                renewal.on_read(action.number, None, boot_s)
            else:
                n_asks += 1
                answer(renewal, action, None)
    assert 8 <= n_reads <= 20
    assert n_reads <= n_asks <= n_reads * proof_renewal.MAX_ASKS


def test_refused_daemon_that_others_ask_asks_outside_its_domain():
    renewal = make_renewal()
    renewal.on_read(read(renewal, 100.0), None, 100.0)
    [action] = renewal.actions(100.1, True, LINKED)
    assert action.vm not in {entry.name for entry in DOMAIN}


def test_another_read_begins_though_one_was_never_answered():
    # As after a suspension, in which timers stand still.
    renewal = make_renewal()
    read(renewal, 100.0)
    assert renewal.actions(100.5, True, []) == []
    assert read(renewal, 110.0)


def test_nothing_runs_without_a_bound():
    renewal = make_renewal(bound_s=None)
    assert renewal.actions(100.0, True, LINKED) == []
    request = proof_renewal.ProofRequest(3)
    assert renewal.answer(request, 100.0).age_s is None


def test_answer_tells_version_and_age():
    renewal = make_renewal()
    prove(renewal, 100.0)
    request = proof_renewal.ProofRequest(3)
    expected = proof_renewal.ProofAnswer(3, HELD, pytest.approx(1.5))
    assert renewal.answer(request, 101.5) == expected
    assert renewal.answer(request, 106.0).age_s is None
