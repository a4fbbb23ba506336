import collections
import random

import pytest

from bilberryridge.standins.bench import policies

SERVERS = ["a", "b", "c", "d"]
N_PICKS = 400


def _picks(policy, busy=""):
    outstanding = policies.Outstanding()
    for name in busy:
        outstanding.begin(name)
    pick = policies.make_pick(policy, outstanding, random.Random(1))
    return collections.Counter(pick(SERVERS) for _ in range(N_PICKS))


@pytest.mark.parametrize(
    ("policy", "busy", "least", "most"),
    [
        (policies.RANDOM, "aaaa", {"a": 60}, {"a": 140}),
        (policies.ROUND_ROBIN, "aaaa", {"a": 100, "d": 100}, {"a": 100, "d": 100}),
        (policies.FEWEST, "abbd", {"c": N_PICKS}, {"a": 0, "b": 0, "d": 0}),
        (policies.TWO_CHOICES, "abcd", {"a": 60}, {"a": 140}),
        # Two distinct servers are sampled, so the busiest is never the less loaded one.
        (policies.TWO_CHOICES, "aab", {"c": 100, "b": 1}, {"a": 0}),
    ],
)
def test_each_baseline_picks_by_its_rule(policy, busy, least, most):
    picks = _picks(policy, busy)
    assert all(picks[name] >= n for name, n in least.items()), picks
    assert all(picks[name] <= n for name, n in most.items()), picks


def test_ended_requests_are_not_outstanding():
    outstanding = policies.Outstanding()
    outstanding.begin("a")
    outstanding.end("a")
    outstanding.begin("b")
    pick = policies.make_pick(policies.FEWEST, outstanding, random.Random(1))
    assert {pick(["a", "b"]) for _ in range(20)} == {"a"}
