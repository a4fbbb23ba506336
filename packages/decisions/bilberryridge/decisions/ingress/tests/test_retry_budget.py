"""The sum of all daemons' retries in any window, however often they start."""

import random

import pytest

from bilberryridge.decisions.ingress import retry_budget

RATIO, SLACK, WINDOW_S = 0.2, 58.0, 10.0
N_DAEMONS = 9
STEP_S = 0.05
PLAYED_S = 60.0


def make_budget(now_s, n_daemons=N_DAEMONS):
    budget = retry_budget.RetryBudget(RATIO, SLACK, WINDOW_S)
    budget.update_daemons(n_daemons, now_s)
    return budget


def play(starts_s, is_wanted, requests_per_s=21.0):
    """Return the times of requests and retries where retries are taken when wanted."""
    random_state = random.Random(1)
    budgets = [make_budget(0.0) for _ in range(N_DAEMONS)]
    starts_s = list(starts_s)
    requests_s, retries_s = [], []
    for step in range(round(PLAYED_S / STEP_S)):
        now_s = step * STEP_S
        if starts_s and now_s >= starts_s[0]:
            starts_s.pop(0)
            budgets = [make_budget(now_s) for _ in range(N_DAEMONS)]
            for budget in budgets:
                budget.record_restart()
        for budget in budgets:
            if random_state.random() < requests_per_s / N_DAEMONS * STEP_S:
                budget.record_request("desk", now_s)
                requests_s.append(now_s)
            while is_wanted(now_s) and budget.take("desk", now_s):
                retries_s.append(now_s)
    return requests_s, retries_s


def worst_use(requests_s, retries_s):
    """Return the largest part of what the rule allows in some window."""

    def n_from(times_s, first_s):
        return sum(first_s <= at_s < first_s + WINDOW_S for at_s in times_s)

    worst = 0.0
    for first_s in set(retries_s):
        starts_s = (first_s, first_s - WINDOW_S / 2, first_s - WINDOW_S)
        n_requests = max(n_from(requests_s, start_s) for start_s in starts_s)
        allowed = RATIO * n_requests + SLACK
        worst = max(worst, n_from(retries_s, first_s) / allowed)
    return worst


@pytest.mark.parametrize("starts_s", [(), (30.0,), (30.0, 36.0), (25.0, 40.0)])
@pytest.mark.parametrize(
    "is_wanted",
    [lambda now_s: True, lambda now_s: now_s % 3 < 1, lambda now_s: now_s % 10 > 9.8],
)
def test_issue_44_daemons_that_start_anew_do_not_get_the_allowance_again(
    starts_s, is_wanted
):
    assert worst_use(*play(starts_s, is_wanted)) <= 1.0


@pytest.mark.parametrize(("alone_for_s", "is_share_kept"), [(30, True), (90, False)])
def test_issue_44_daemons_that_see_no_others_keep_to_their_share(
    alone_for_s, is_share_kept
):
    budget = make_budget(0.0)
    for now_s in range(alone_for_s + 1):
        budget.update_daemons(1, now_s)
    n_taken = sum(budget.take("desk", alone_for_s) for _ in range(100))
    assert n_taken > 0
    assert (n_taken <= SLACK / N_DAEMONS) is is_share_kept


def test_retries_are_not_stopped_where_some_requests_fail_all_the_time():
    requests_s, retries_s = play((), lambda now_s: True)
    n_late = sum(at_s > PLAYED_S / 2 for at_s in retries_s)
    assert n_late >= 0.5 * RATIO * sum(at_s > PLAYED_S / 2 for at_s in requests_s)
    assert len(retries_s) < len(requests_s)
