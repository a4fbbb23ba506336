"""Simulated loads: the worth that the production placement rule earns for callers."""

import functools
import math

import pytest

from bilberryridge.decisions.ingress import estimates
from bilberryridge.standins.ingress_play import baselines, daemons, play

SEED = 5
N_OTHER_REGIONS = 2
ROUND_TRIP_S = 2 * daemons.INTER_REGION_DELAY_S + 0.001
"""Time that a refusal by another region adds."""
LENGTH_S = 15.0
SIMULTANEOUS_PEAKS = tuple(
    play.Region(name, *counts, 0.0)
    for name, *counts in (
        ("ontario", 3, 6, 1, 45.4),
        ("michigan", 2, 4, 1, 36.3),
        ("ohio", 2, 2, 1, 27.2),
    )
)


@functools.cache
def played(x, rule="ours", regions=play.REGIONS):
    load = play.Load(x, LENGTH_S, regions)
    return play.run(load, SEED, baselines.RULES[rule])


@pytest.mark.parametrize("x", [1.0, 1.5, 2.0])
def test_accepted_urgent_requests_meet_the_latency_goal(x):
    outcomes = [
        item for item in played(x).of_group("query") if item.ended_s is not None
    ]
    never_refused = [item for item in outcomes if not item.n_refusals]
    fast_enough = [item for item in never_refused if item.first_s <= item.group.goal_s]
    assert len(fast_enough) >= 0.95 * len(never_refused)


@pytest.mark.parametrize("x", [1.5, 2.0])
def test_refusals_are_immediate(x):
    """A request is relayed at most to each other region that reported free capacity."""
    refused = [item for item in played(x).of_group("query") if item.n_refusals == 1]
    assert refused
    took_s = sorted(item.refused_after_s for item in refused)
    assert took_s[-1] <= N_OTHER_REGIONS * ROUND_TRIP_S
    assert took_s[len(took_s) // 2] < 0.001


@pytest.mark.parametrize("rule", ["random", "least running", "by prompt"])
@pytest.mark.parametrize("x", [1.0, 1.5])
def test_production_rule_earns_more_than_baselines(x, rule):
    ours, other = played(x), played(x, rule)
    assert ours.earned_fraction > other.earned_fraction
    if rule != "by prompt":
        assert ours.n_recomputed_tokens <= other.n_recomputed_tokens


def test_overload_everywhere_keeps_urgent_and_plain_requests_served():
    """No group starves when all regions have their peak at the same time."""
    overload = played(1.5, regions=SIMULTANEOUS_PEAKS)
    for group in ("query", "booking", "lookup"):
        outcomes = overload.of_group(group)
        n_fast_enough = sum(item.earned == item.group.worth for item in outcomes)
        assert n_fast_enough >= 0.5 * len(outcomes)
    assert overload.earned_fraction > 0.3


def test_usual_load_earns_nearly_all_worth():
    """The fraction that is expected at the usual load."""
    assert played(1.0).earned_fraction >= 0.98


@pytest.mark.parametrize("x", [1.0, 1.5])
def test_fetched_parts_are_not_prefilled_again(x, monkeypatch):
    fetching = played(x)
    monkeypatch.setattr(estimates, "MIN_FETCHED_TOKENS", math.inf)
    load = play.Load(x, LENGTH_S)
    reading = play.run(load, SEED)
    assert fetching.n_recomputed_tokens < reading.n_recomputed_tokens
    assert fetching.earned_fraction >= reading.earned_fraction - 0.01
