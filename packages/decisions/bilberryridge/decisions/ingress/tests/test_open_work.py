"""Sums of open work stay what the single rows add up to, in any order of events."""

import hypothesis
from hypothesis import strategies as st

from bilberryridge.decisions.ingress import load_messages, open_work

KEYS = st.tuples(st.sampled_from("abc"), st.integers(1, 2))
COUNTS = st.integers(0, 9_000)
WORKS = st.builds(open_work.Work, COUNTS, COUNTS, st.booleans(), st.just(0.0), COUNTS)
FAULTS = st.sampled_from([0.0, 0.1, 0.5, 1.0])
SHARES = st.builds(
    load_messages.ServerShare, COUNTS, COUNTS, COUNTS, COUNTS, st.just(()), FAULTS
)
STEPS = st.one_of(
    st.tuples(st.just("begin"), KEYS, WORKS),
    st.tuples(st.just("note_begun"), KEYS),
    st.tuples(st.just("end"), KEYS),
    st.tuples(st.just("take"), st.sampled_from(["vm-2", "vm-3"]), SHARES),
    st.tuples(st.just("forget"), st.sampled_from(["vm-2", "vm-3"])),
)


def own_sums(work):
    rows = work.own.values()
    return open_work.Sums(
        len(rows),
        sum(row.n_pending_tokens for row in rows),
        sum(row.n_pending_tokens for row in rows if row.is_urgent),
        sum(row.n_memory_tokens for row in rows),
    )


@hypothesis.given(st.lists(STEPS, max_size=30))
def test_sums_follow_the_rows(steps):
    work = open_work.OpenWork()
    for name, *arguments in steps:
        getattr(work, name)(*arguments)

    sums = own_sums(work)
    assert work.own_sums == sums
    for share in work.others.values():
        sums.add(share)
    assert work.sums == sums
    faults = [share.failure_rate for share in work.others.values()]
    assert work.worst_fault == max(faults, default=0.0)
