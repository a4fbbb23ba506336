"""No order of messages, cuts, restarts and changes lets more than the bound pass.

Guards against tokens that exist twice: shares that a lender and a borrower both hold,
answers applied twice or late, tokens given back and used again, and daemons that take a
share which others still count as theirs.
"""

import random

import hypothesis
import pytest
from hypothesis import strategies

from bilberryridge.decisions.ingress import rate_division
from bilberryridge.decisions.ingress.tests import quota_fleet

BOUND = rate_division.Bound(3.0, 0.1, 12_000)
RATE, BURST = 20_000, 10_000
N_BY_REGION = {"east": 4, "west": 2}
ASK_INTERVAL_S = 0.1
ASK_FACTOR = 3.0
DRIFT = 1e-3
HIGHEST, LOWERED = (RATE, BURST), (RATE / 4, BURST / 2)

STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["ask"] * 5
            + ["quiet", "quiet", "cut", "heal", "restart", "restart all", "stop"]
            + ["change"]
        ),
        strategies.integers(0, 2**20),
        strategies.floats(0.01, 2.5),
    ),
    min_size=4,
    max_size=12,
)
"""What happens, what it is drawn from, and the time until the next."""
NETWORKS = strategies.tuples(
    strategies.sampled_from([0.0, 0.05, 0.5]),
    strategies.sampled_from([0.0, 0.3]),
    strategies.sampled_from([0.0, 0.2, 2.5]),
    strategies.booleans(),
)
"""Loss, repeats, longest delay, and whether the store tells who is registered."""


def exact_bound(rate_per_s, burst):
    """Return what passes at most where all daemons count each other."""
    limit = rate_division.limit_within(rate_per_s, burst, BOUND)
    return (1 + DRIFT) * (limit.rate_per_s * BOUND.window_s + limit.burst)


def organisations(limit):
    return (quota_fleet.organisation("o", *limit),)


def ask(fleet, random_state, for_s):
    """Ask for more than there is at some daemons; some requests do not run."""
    names = sorted(fleet.vms)
    some = random_state.sample(
        names, random_state.choice([1, 2, len(names), len(names)])
    )
    n_tokens = random_state.choice([200, 1_000, 4_000])
    wait_s = random_state.choice([0.0, 0.08, 0.3])
    run_part = random_state.choice([0.6, 1.0, 1.0])
    n_at_once = random_state.choice([2, 20])
    ends_s = fleet.now_s + for_s
    while fleet.now_s < ends_s:
        for name in some:
            for _ in range(n_at_once):
                request_id = fleet.request(name, "o", n_tokens, wait_s)
                later_s = random_state.choice([0.0, 0.05, 0.2, 1.0])
                is_run = random_state.random() < run_part
                fleet.call_at(
                    fleet.now_s + later_s,
                    lambda r=request_id, i=is_run: r and fleet.end(r, i),
                )
        fleet.run_for(ASK_INTERVAL_S)


def play(fleet, steps, is_store_up):
    """Return the tokens taken, and since when a lower limit holds for good."""
    lowered_s = None
    limit = HIGHEST
    for kind, seed, until_next_s in steps:
        random_state = random.Random(seed)
        names = sorted(fleet.vms)
        if kind == "ask":
            ask(fleet, random_state, ASK_FACTOR * until_next_s)
            continue
        elif kind == "cut":
            fleet.cut(random_state.sample(names, len(names) // 2))
        elif kind == "heal":
            fleet.cut([])
        elif kind == "restart":
            fleet.start(random_state.choice(names))
        elif kind == "restart all" and (is_store_up or not fleet.side):
            for name in names:
                fleet.start(name)
        elif kind == "stop":
            fleet.stop(random_state.choice(names))
        elif kind == "change":
            limit = LOWERED if limit is HIGHEST else HIGHEST
            fleet.set_organisations(organisations(limit), longest_s=0.33)
            lowered_s = fleet.now_s + 0.33 if limit is LOWERED else None
        fleet.run_for(until_next_s)
    fleet.run_for(1.0)
    return fleet.taken("o"), lowered_s


def test_exact_bound_is_within_what_is_allowed():
    for limit in (HIGHEST, LOWERED):
        assert exact_bound(*limit) < quota_fleet.allowed(*limit, BOUND)


@hypothesis.given(strategies.integers(0, 2**32), NETWORKS, STEPS)
@hypothesis.settings(max_examples=100)
def test_no_window_exceeds_the_bound(seed, network, steps):
    loss, repeat, longest_delay_s, is_store_up = network
    fleet = quota_fleet.Fleet(
        N_BY_REGION, random.Random(seed), organisations(HIGHEST), bound=BOUND
    )
    fleet.run_for(3.0)
    fleet.is_store_up = is_store_up
    fleet.loss, fleet.repeat = loss, repeat
    fleet.longest_delay_s = longest_delay_s
    taken, lowered_s = play(fleet, steps, is_store_up)
    worst, worst_s = quota_fleet.worst_window(taken, BOUND.window_s)
    assert worst <= exact_bound(*HIGHEST), worst_s
    if lowered_s is not None:
        late = [each for each in taken if each[0] >= lowered_s + BOUND.window_s]
        worst, worst_s = quota_fleet.worst_window(late, BOUND.window_s)
        assert worst <= exact_bound(*LOWERED), worst_s


@hypothesis.given(strategies.integers(0, 2**32), strategies.integers(1, 2))
@hypothesis.settings(max_examples=10)
def test_daemons_that_join_do_not_exceed_the_bound(seed, n_joining):
    fleet = quota_fleet.Fleet(
        {"east": 8, "west": 4}, random.Random(seed), organisations(HIGHEST), bound=BOUND
    )
    random_state = random.Random(seed)
    fleet.cut(random_state.sample(sorted(fleet.vms), 6))
    for index in range(n_joining):
        fleet.add_vm(f"west-new-{index}", "west")
    for _ in range(150):
        for name in fleet.vms:
            for n_tokens in (200, 1_000, 4_000):
                fleet.request(name, "o", n_tokens)
        fleet.run_for(0.1)
    worst, worst_s = quota_fleet.worst_window(fleet.taken("o"), BOUND.window_s)
    assert worst <= quota_fleet.allowed(*HIGHEST, BOUND), worst_s


def saturate(fleet, for_s, n_tokens):
    ends_s = fleet.now_s + for_s
    while fleet.now_s < ends_s:
        for name in sorted(fleet.vms):
            for _ in range(5):
                fleet.request(name, "o", n_tokens, 0.3)
        fleet.run_for(ASK_INTERVAL_S)


@pytest.mark.parametrize("interval_s", [1.0, 3.5])
def test_lenders_that_start_again_do_not_hold_what_they_lent(interval_s):
    # Requests are large against a part, so that all shares are lent to one daemon.
    fleet = quota_fleet.Fleet(
        {"east": 8}, random.Random(1), organisations(HIGHEST), bound=BOUND
    )
    fleet.run_for(3.0)
    saturate(fleet, 2.0, 4_000)
    by_share = sorted(
        fleet.vms, key=lambda n: fleet.vms[n].node.log_fields("o", 0.0)["part"]
    )
    for _ in range(4):
        for name in by_share[:-1]:
            fleet.start(name)
        saturate(fleet, interval_s, 4_000)
    worst, worst_s = quota_fleet.worst_window(fleet.taken("o"), BOUND.window_s)
    assert worst <= exact_bound(*HIGHEST), worst_s
