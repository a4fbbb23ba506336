"""Retries are limited to a fraction of first attempts."""

import random

import hypothesis
from hypothesis import strategies as st

from bilberryridge.decisions import retries


@hypothesis.settings(max_examples=200)
@hypothesis.given(st.lists(st.booleans(), max_size=400))
def test_retries_are_at_most_a_tenth_of_first_attempts(steps):
    budget = retries.RetryBudget()
    n_first = n_retries = 0
    for number, is_retry in enumerate(steps):
        if is_retry:
            n_retries += budget.may_retry(number * 0.01, "m")
        else:
            n_first += 1
            budget.on_first_attempt(number * 0.01, "m")
        assert n_retries <= 0.1 * n_first + retries.N_INITIAL


def test_unused_retries_accumulate_up_to_a_bound():
    budget = retries.RetryBudget()
    for number in range(10_000):
        budget.on_first_attempt(number * 0.01, "m")
    granted = sum(budget.may_retry(100.0, "m") for _ in range(10_000))
    assert granted == retries.N_BURST


def test_budgets_are_separate_per_service_and_bounded_in_number():
    budget = retries.RetryBudget()
    while budget.may_retry(0.0, "a"):
        pass
    assert budget.may_retry(0.0, "b")
    for number in range(2 * retries.MAX_SERVICES):
        budget.on_first_attempt(0.0, f"s{number}")
    assert len(budget) <= retries.MAX_SERVICES + 1


def test_retry_times_are_spread():
    budget = retries.RetryBudget()
    random_state = random.Random(1)
    times = {budget.retry_after_s(0.0, "m", random_state) for _ in range(20)}
    assert len(times) == 20
    assert min(times) >= retries.MIN_RETRY_AFTER_S
