"""Admission under load: many daemons whose reports each have their own age.

The bounds are those of docs/ORGANISATIONS-AND-LOAD.md, part 4.
"""

import functools

import attrs
import pytest

from bilberryridge.decisions.ingress import admission
from bilberryridge.standins.ingress_play import callers, overload, play

SEED = 0
CAPACITY_X = 1.5
"""Load factor of the small deployment that stands for the capacity: from there on
requests are refused for long without admission."""
SETTLED_S, LENGTH_S = 2.0, 7.0
"""When the admitted rate has to have settled, and the length of a run. Requests of the
last second are left out, as no others come after them."""
REGIONS = (
    play.Region("ontario", 5, 12, 1, 100.0, 0.0),
    play.Region("michigan", 3, 7, 1, 77.0, 8.0),
    play.Region("ohio", 3, 4, 1, 62.0, 16.0),
)
SMALL = attrs.evolve(
    play.TALA,
    length_s=LENGTH_S,
    regions=REGIONS,
    demand=play.SteadyDemand(),
    has_admission=True,
)
STORM = callers.Habits(n_attempts=4, heeds_retry_after=False)


@functools.cache
def played(x, **changes):
    load = attrs.evolve(SMALL, load_factor=x * CAPACITY_X, **changes)
    result = play.run(load, SEED)
    result.outcomes[:] = [
        item for item in result.outcomes if SETTLED_S <= item.started_s < LENGTH_S - 1.0
    ]
    return result


def allowed_urgent_fraction(x, capacity=1.0):
    """Return the urgent requests that a part of the capacity allows, as a fraction."""
    outcomes = played(1.0).outcomes
    used_s = sum(item.usage.engine_s for item in outcomes)
    urgent_s = sum(i.usage.engine_s for i in outcomes if i.group.priority == 0)
    capacity *= 1 - admission.MIN_ROUTE_FRACTION
    return min(1.0, capacity / (x * urgent_s / used_s))


def engine_fraction_of_gone(result):
    used_s = sum(item.usage.engine_s for item in result.outcomes)
    gone_s = sum(i.usage.engine_s for i in result.outcomes if not i.earned)
    return gone_s / used_s


def prompt_refusals(result):
    refusals = [
        took_s <= item.group.goal_s / 8
        for item in result.outcomes
        for took_s in item.answered_refusals_s
    ]
    return sum(refusals) / max(1, len(refusals))


def in_time(outcomes):
    return sum(item.is_in_time for item in outcomes) / len(outcomes)


def earned(result):
    return sum(item.earned for item in result.outcomes)


@pytest.mark.parametrize("x", [0.8, 1.2, 2.0, 5.0])
def test_urgent_requests_are_in_time(x):
    fraction = in_time(played(x).of_group("short"))
    assert fraction >= 0.95 * allowed_urgent_fraction(x)


def test_goodput_at_five_times_the_capacity():
    assert earned(played(5.0)) >= 0.9 * earned(played(1.0))


@pytest.mark.parametrize("x", [1.2, 2.0, 5.0])
def test_refusals_are_prompt(x):
    assert prompt_refusals(played(x)) >= 0.95


@pytest.mark.parametrize("x", [0.8, 1.2, 2.0, 5.0])
def test_hardly_any_engine_time_is_for_callers_that_have_gone(x):
    assert engine_fraction_of_gone(played(x)) <= 0.02


@pytest.mark.parametrize("x", [2.0, 5.0])
def test_no_organisation_is_below_half_of_its_share(x):
    """All offer more than their shares at five times; none is to be crowded out.

    An organisation's fair share is what all get, as all offer the same kinds; the
    largest are above an equal part and get less of what they offer.
    """
    by_name = overload.by_organisation(played(x))
    urgent = {
        name: [item for item in outcomes if item.group.name == "short"]
        for name, outcomes in by_name.items()
    }
    n_in_time = {n: sum(i.is_in_time for i in items) for n, items in urgent.items()}
    n_offered = {n: len(items) for n, items in urgent.items()}
    level = admission.fair_level(n_offered.values(), sum(n_in_time.values()))
    for name, n in n_in_time.items():
        assert n >= 0.5 * min(n_offered[name], level), (name, n, n_offered[name], level)


def test_surge_of_one_organisation_leaves_the_others_their_shares():
    organisations = attrs.evolve(SMALL.organisations, surging=1)
    by_name = overload.by_organisation(played(0.8, organisations=organisations))
    for name, outcomes in by_name.items():
        if name != organisations.names[1]:
            urgent = [item for item in outcomes if item.group.name == "short"]
            assert in_time(urgent) >= 0.5, name


def test_lost_capacity():
    """A quarter of the engines is away for 5 s at 1.2 times the capacity."""
    outage = play.Outage(0.25, 1.0, 5.0)
    result = played(1.2, outage=outage)
    allowed = allowed_urgent_fraction(1.2, 0.75)
    assert in_time(result.of_group("short")) >= 0.95 * allowed
    assert prompt_refusals(result) >= 0.95


def test_callers_that_leave_and_repeat():
    """Callers that repeat at three times the rate, a fifth of which leave early."""
    habits = attrs.evolve(STORM, leaving_fraction=0.2)
    result = played(2.0, habits=habits)
    staying = [i for i in result.of_group("short") if i.left_s is None]
    assert in_time(staying) >= 0.95 * allowed_urgent_fraction(2.0)
    assert engine_fraction_of_gone(result) <= 0.02
