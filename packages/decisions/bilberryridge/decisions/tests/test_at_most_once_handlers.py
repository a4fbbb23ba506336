"""Orders of events in which a request could run twice or "not run" could be false."""

import pytest

from bilberryridge.core import outcomes
from bilberryridge.decisions import at_most_once, events, state
from bilberryridge.decisions.tests import fleet

UNKNOWN, NOT_RUN = outcomes.Outcome.UNKNOWN, outcomes.Outcome.NOT_RUN
ANSWER = b"ran maples"


def lose_answer(running):
    running.deliver_attempt(is_answer_lost=True)


def lose_request(running):
    running.lose_attempt()


def replace_owner(running):
    running.deliver_all()
    running.start("north-0")


def replace_owner_and_copies(running):
    running.deliver_all()
    running.start("north-0")
    running.start("north-1")


def replace_owner_in_flight(running):
    running.start("north-0")
    running.deliver_attempt()


def partition_owner(running):
    running.deliver_all()
    running.cut_links |= {frozenset(("north-0", vm)) for vm in running.nodes}


def expire_key(running):
    running.deliver_all()
    running.tick(at_most_once.KEY_LIFETIME_S + 1)


def leave_in_flight(running):
    """Leave the first attempt in flight."""


# Fault of the first attempt, entry VM of the retry, its answer, number of runs.
CASES = [
    (leave_in_flight, "north-0", outcomes.Reason.KEY_IN_PROGRESS, 0),
    (leave_in_flight, "north-1", outcomes.Reason.KEY_IN_PROGRESS, 0),
    (leave_in_flight, "south-0", outcomes.Reason.KEY_IN_PROGRESS, 0),
    (fleet.Fleet.deliver_all, "north-0", ANSWER, 1),
    (fleet.Fleet.deliver_all, "north-1", ANSWER, 1),
    (fleet.Fleet.deliver_all, "south-0", ANSWER, 1),
    (lose_answer, "north-0", outcomes.Reason.KEY_UNSETTLED, 1),
    (lose_answer, "south-1", outcomes.Reason.KEY_UNSETTLED, 1),
    (lose_request, "north-0", outcomes.Reason.KEY_UNSETTLED, 0),
    (replace_owner, "north-0", ANSWER, 1),
    (replace_owner, "north-1", ANSWER, 1),
    (replace_owner_and_copies, "north-0", outcomes.Reason.KEY_UNSETTLED, 1),
    (replace_owner_in_flight, "north-0", outcomes.Reason.KEY_UNSETTLED, 1),
    (replace_owner_in_flight, "north-1", outcomes.Reason.KEY_UNSETTLED, 1),
    (partition_owner, "south-0", None, 1),
    (expire_key, "north-0", outcomes.Reason.KEY_EXPIRED, 1),
]


@pytest.mark.parametrize(("happens", "through", "expected", "n_ran"), CASES)
def test_retry_of_an_issued_key(happens, through, expected, n_ran):
    running = fleet.Fleet()
    key = running.key_prefix("north-0") + "maples"
    running.send("north-0", "first", key, b"maples")
    happens(running)
    in_flight = running.attempts[:]
    del running.attempts[:]
    running.send(through, "retry", key, b"maples")
    for _ in range(30):
        running.deliver_all()
        running.tick(0.05)
    (answer,) = running.answers["retry"]
    assert running.ran[key] == n_ran
    if isinstance(answer, outcomes.Refusal):
        assert answer.outcome is UNKNOWN
        assert expected is None or answer.reason is expected
    else:
        assert expected in (None, answer.body)
    running.attempts += in_flight
    running.deliver_all()
    assert running.ran[key] <= 1


@pytest.mark.parametrize("is_answer_lost", [False, True])
def test_callers_own_key_without_the_store_is_never_reported_not_run(is_answer_lost):
    running = fleet.Fleet()
    running.send("north-0", "first", "own", b"maples")
    running.answer_claim(is_down=not is_answer_lost, is_answer_lost=is_answer_lost)
    (refusal,) = running.answers["first"]
    assert (refusal.reason, refusal.outcome) == (
        outcomes.Reason.KEY_UNSETTLED,
        UNKNOWN,
    )
    assert refusal.retry_after_s > 0
    assert not running.ran


@pytest.mark.parametrize("through", ["north-0", "north-1", "south-0"])
def test_callers_own_key_runs_once_through_any_entry_vm(through):
    running = fleet.Fleet()
    running.send("north-0", "first", "own", b"maples")
    running.deliver_all()
    running.send(through, "retry", "own", b"maples")
    running.deliver_all()
    (answer,) = running.answers["retry"]
    assert (answer.body, running.ran["own"]) == (ANSWER, 1)


def test_claim_whose_answer_was_lost_still_has_one_owner():
    running = fleet.Fleet()
    running.send("north-0", "first", "own", b"maples")
    running.answer_claim(is_answer_lost=True)
    running.send("south-0", "retry", "own", b"maples")
    running.deliver_all()
    assert running.ran["own"] == 1
    assert running.answers["retry"][0].body == ANSWER


@pytest.mark.parametrize("through", ["north-0", "north-1", "south-0"])
def test_key_reused_for_another_request(through):
    running = fleet.Fleet()
    key = running.key_prefix("north-0") + "maples"
    running.send("north-0", "first", key, b"maples")
    running.deliver_all()
    running.send(through, "other", key, b"oaks")
    running.deliver_all()
    (refusal,) = running.answers["other"]
    assert refusal.reason is outcomes.Reason.KEY_REUSED
    assert running.ran[key] == 1


def test_forged_prefix_never_runs():
    running = fleet.Fleet()
    prefix = running.key_prefix("north-0")
    forged = prefix.replace(prefix.split("~")[4], "0" * 16) + "maples"
    running.send("north-0", "r", forged, b"maples")
    running.deliver_all()
    assert running.answers["r"][0].reason is outcomes.Reason.BAD_REQUEST
    assert not running.ran


def test_request_refused_before_it_was_sent_is_not_run_and_may_run_later():
    running = fleet.Fleet()
    key = running.key_prefix("north-0") + "maples"
    for _ in range(3):
        running.send("north-0", "first", key, b"maples")
        while running.attempts:
            running.end(running.attempts.pop(0), events.AttemptResult.NOT_SENT)
        (refusal,) = running.answers.pop("first")
        assert refusal.outcome is NOT_RUN
    running.tick(60.0)
    running.send("north-0", "again", key, b"maples")
    running.deliver_all()
    assert running.ran[key] <= 1


def test_early_refusals_of_requests_with_a_key_do_not_report_not_run():
    running = fleet.Fleet()
    running.start("north-0", is_configured=False)
    running.send("north-0", "keyed", "brk~north-0~i1~1~00~a", b"maples")
    running.send("north-0", "plain", "", b"maples")
    assert running.answers["keyed"][0].outcome is UNKNOWN
    assert running.answers["plain"][0].outcome is NOT_RUN


def test_leaving_caller_does_not_abort_an_at_most_once_request():
    running = fleet.Fleet()
    key = running.key_prefix("north-0") + "maples"
    running.send("north-0", "first", key, b"maples")
    running.give("north-0", events.CallerGone("first"))
    running.deliver_all()
    running.send("north-1", "retry", key, b"maples")
    running.deliver_all()
    assert running.answers["retry"][0].body == ANSWER
    assert running.ran[key] == 1


def test_full_run_table_refuses_new_keys_and_keeps_all_others():
    running = fleet.Fleet()
    run_table = running.nodes["north-0"].state.runs
    prefix = running.key_prefix("north-0")
    for i in range(at_most_once.MAX_RUNS):
        run_table.begin(f"scope-{i}", at_most_once.Run(b"", "", running.now_s + 100.0))
    running.send("north-0", "r", prefix + "a", b"maples")
    (refusal,) = running.answers["r"]
    assert (refusal.reason, refusal.outcome) == (outcomes.Reason.BUSY, NOT_RUN)
    assert run_table.get(running.now_s, "scope-0") is not None


def test_stored_bodies_are_bounded_but_the_completion_of_runs_is_kept():
    run_table = at_most_once.RunTable(max_bytes=1000)
    for i in range(10):
        run_table.begin(f"s{i}", at_most_once.Run(b"", "", 100.0))
        run_table.finish(f"s{i}", events.StoredAnswer(200, (), b"x" * 400))
    kept = [run_table.get(0.0, f"s{i}") for i in range(10)]
    assert sum(len(run.answer.body) for run in kept) <= 1000
    assert all(run.state is at_most_once.RunState.DONE for run in kept)
    assert at_most_once.BODY_DROPPED_HEADER in kept[0].answer.headers


def test_outcome_of_a_request_is_unknown_until_its_key_is_owned():
    fields = dict.fromkeys(("service", "organisation"))
    req = fleet.requests.Request("r", "POST", "s", "/", idempotency_key="k")
    owned = state.OpenRequest(
        req=req,
        arrived_s=0,
        deadline_s=1,
        state="",
        is_at_most_once=True,
        scope="s",
        **fields,
    )
    foreign = state.OpenRequest(
        req=req, arrived_s=0, deadline_s=1, state="", is_at_most_once=True, **fields
    )
    assert (owned.outcome, foreign.outcome) == (NOT_RUN, UNKNOWN)
