"""Incremental sums of open work equal the totals, for any order of events."""

import random

import hypothesis
from hypothesis import strategies as st

from bilberryridge.decisions.ingress import load_messages, open_work

KEYS = st.tuples(st.sampled_from("abc"), st.integers(1, 2))
COUNTS = st.integers(0, 9_000)
ATTEMPTS = st.builds(
    open_work.OpenAttempt, COUNTS, COUNTS, st.booleans(), st.just(0.0), COUNTS
)
FAILURE_RATES = st.sampled_from([0.0, 0.1, 0.5, 1.0])
SHARES = st.builds(
    load_messages.ServerShare,
    COUNTS,
    COUNTS,
    COUNTS,
    COUNTS,
    st.just(()),
    FAILURE_RATES,
)
STEPS = st.one_of(
    st.tuples(st.just("begin"), KEYS, ATTEMPTS),
    st.tuples(st.just("mark_begun"), KEYS),
    st.tuples(st.just("end"), KEYS),
    st.tuples(st.just("set_share"), st.sampled_from(["vm-2", "vm-3"]), SHARES),
    st.tuples(st.just("remove_share"), st.sampled_from(["vm-2", "vm-3"])),
)


def local_sums(work):
    attempts = work.local_attempts.values()
    return open_work.Sums(
        len(attempts),
        sum(attempt.n_pending_tokens for attempt in attempts),
        sum(attempt.n_pending_tokens for attempt in attempts if attempt.is_urgent),
        sum(attempt.n_memory_tokens for attempt in attempts),
    )


@hypothesis.given(st.lists(STEPS, max_size=30))
def test_sums_equal_the_totals_of_all_attempts_and_shares(steps):
    work = open_work.OpenWork()
    for name, *arguments in steps:
        getattr(work, name)(*arguments)

    sums = local_sums(work)
    assert work.local_sums == sums
    for share in work.peer_shares.values():
        sums.add(share)
    assert work.sums == sums
    failure_rates = [share.failure_rate for share in work.peer_shares.values()]
    assert work.worst_failure_rate == max(failure_rates, default=0.0)


def test_worst_failure_rate_follows_all_shares():
    random_state = random.Random(3)
    work = open_work.OpenWork()
    rates = {}
    for _ in range(500):
        vm = random_state.choice("abcd")
        if random_state.random() < 0.3:
            rates.pop(vm, None)
            work.remove_share(vm)
        else:
            rates[vm] = random_state.choice([0.0, 0.1, 0.5, 0.9])
            work.set_share(vm, load_messages.ServerShare(failure_rate=rates[vm]))
        assert work.worst_failure_rate == max(rates.values(), default=0.0)
