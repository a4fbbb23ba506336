"""The load model of the tala deployment: paces, demand and the account of time."""

import random

import attrs
import pytest

from bilberryridge.standins.ingress_play import callers, overload, play, servers

SEED = 3
SMALL = attrs.evolve(
    play.TALA,
    length_s=3.0,
    demand=play.SteadyDemand(),
    regions=(
        play.Region("ontario", 2, 3, 1, 30.0, 0.0),
        play.Region("ohio", 2, 2, 1, 20.0, 8.0),
    ),
)


def test_paces_are_as_stated():
    """A pace of another mean would shift the capacity that all tables relate to."""
    pace = servers.SharedMachinePace(1.3, 2.5, 0.6, 0.15, random.Random(SEED))
    factors = [pace.factor(n / 100) for n in range(200_000)]
    assert set(factors) == {1.3, 1.3 * 2.5}
    assert sum(f > 2 for f in factors) / len(factors) == pytest.approx(0.15, abs=0.03)


def test_moving_demand_has_a_mean_of_one():
    """Otherwise the load factor of a table would not be the one asked for."""
    demand = play.MovingDemand(2.5)
    region = play.TALA_REGIONS[1]
    factors = [demand.factor(region, n / 100) for n in range(2_400)]
    assert sum(factors) / len(factors) == pytest.approx(1.0, abs=0.02)
    assert (max(factors), min(factors)) == pytest.approx((2.5, 0.1))


def test_used_engine_time_is_accounted_to_requests():
    """Time that no request accounts for would hide work for callers that left."""
    result = play.run(SMALL, SEED)
    used_s = sum(item.usage.engine_s for item in result.outcomes)
    plain = [item for item in result.outcomes if not item.group.n_own_tokens]
    assert 0 < used_s < SMALL.length_s * 5 + play.DRAIN_S
    assert plain
    assert not any(item.usage.engine_s for item in plain)
    assert sum(map(len, overload.by_organisation(result).values())) == len(
        result.outcomes
    )


def test_callers_that_leave_early_are_served_nothing():
    habits = callers.Habits(leaving_fraction=1.0, leaves_after_goals=0.0)
    result = play.run(attrs.evolve(SMALL, habits=habits), SEED)
    assert result.earned_fraction == 0.0


def test_surging_organisation_sends_more():
    organisations = attrs.evolve(SMALL.organisations, surging=2)
    surge = play.run(attrs.evolve(SMALL, organisations=organisations), SEED)
    usual = play.run(SMALL, SEED)
    name = organisations.names[2]
    n_surge = len(overload.by_organisation(surge)[name])
    n_usual = len(overload.by_organisation(usual)[name])
    assert n_surge > 4 * n_usual
