"""Loads played without a network: what callers get of the product's placement."""

import functools
import math

import pytest

from bilberryridge.decisions.ingress import estimates
from bilberryridge.standins.ingress_play import baselines, daemons, play

SEED = 5
N_OTHER_REGIONS = 2
ROUND_TRIP_S = 2 * daemons.BETWEEN_REGIONS_S + 0.001
"""Of a request that another region refuses."""
LENGTH_S = 15.0
PEAK_AT_ONCE = tuple(
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
def test_urgent_requests_that_are_taken_on_come_in_time(x):
    seen = [item for item in played(x).of("query") if item.ended_s is not None]
    asked_once = [item for item in seen if not item.n_refusals]
    in_time = [item for item in asked_once if item.first_s <= item.group.goal_s]
    assert len(in_time) >= 0.95 * len(asked_once)


@pytest.mark.parametrize("x", [1.5, 2.0])
def test_what_is_refused_is_refused_at_once(x):
    """At most each other region is asked, which had room a moment before."""
    refused = [item for item in played(x).of("query") if item.n_refusals == 1]
    assert refused
    took_s = sorted(item.refused_after_s for item in refused)
    assert took_s[-1] <= N_OTHER_REGIONS * ROUND_TRIP_S
    assert took_s[len(took_s) // 2] < 0.001


@pytest.mark.parametrize("rule", ["random", "least running", "by prompt"])
@pytest.mark.parametrize("x", [1.0, 1.5])
def test_callers_get_more_than_by_simple_rules(x, rule):
    ours, other = played(x), played(x, rule)
    assert ours.part_earned > other.part_earned
    if rule != "by prompt":
        assert ours.n_read_again <= other.n_read_again


def test_overload_everywhere_keeps_urgent_and_plain_requests_served():
    """No kind starves though all regions are at their peak at once."""
    overload = played(1.5, regions=PEAK_AT_ONCE)
    for group in ("query", "booking", "lookup"):
        seen = overload.of(group)
        n_in_time = sum(item.earned == item.group.worth for item in seen)
        assert n_in_time >= 0.5 * len(seen)
    assert overload.part_earned > 0.3


def test_usual_load_earns_nearly_all():
    """The part that a quiet day is to earn."""
    assert played(1.0).part_earned >= 0.98


@pytest.mark.parametrize("x", [1.0, 1.5])
def test_parts_that_are_fetched_are_not_read_again(x, monkeypatch):
    fetching = played(x)
    monkeypatch.setattr(estimates, "MIN_FETCHED_TOKENS", math.inf)
    load = play.Load(x, LENGTH_S)
    reading = play.run(load, SEED)
    assert fetching.n_read_again < reading.n_read_again
    assert fetching.part_earned >= reading.part_earned - 0.01
