"""Estimate of the servers' prefix caches."""

import random

import hypothesis
from hypothesis import strategies as st

from bilberryridge.decisions import prefixes


def test_the_longest_prefix_of_each_server_is_found():
    table = prefixes.PrefixTable(1000)
    table.record_sent("a", (1, 2, 3, 4))
    table.record_sent("b", (1, 2, 30))
    assert table.cached_blocks((1, 2, 3, 9)) == {"a": 3, "b": 2}
    assert table.n_cached_blocks("b", (1, 2, 30, 31)) == 3
    assert table.cached_blocks((7, 8)) == {}


def test_prefix_counts_as_evicted_after_a_cache_full_of_other_blocks():
    table = prefixes.PrefixTable(10_000, n_cache_blocks=100)
    table.record_sent("a", (1, 2, 3))
    table.record_sent("b", (1, 2))
    for start in range(1000, 1080, 8):
        table.record_sent("a", tuple(range(start, start + 8)))
    assert table.cached_blocks((1, 2, 3)) == {"a": 3, "b": 2}
    assert table.cached_blocks((1, 2, 3), n_daemons=2) == {"b": 2}
    for start in range(2000, 2080, 8):
        table.record_sent("a", tuple(range(start, start + 8)))
    assert table.cached_blocks((1, 2, 3)) == {"b": 2}


def test_restarted_server_has_no_cached_prefixes():
    table = prefixes.PrefixTable(1000)
    table.record_sent("a", (1, 2))
    table.forget("a")
    assert table.cached_blocks((1, 2)) == {}
    table.record_sent("a", (7, 8, 9))
    assert table.cached_blocks((1, 2)) == {}


@hypothesis.settings(max_examples=100)
@hypothesis.given(st.integers(1, 60), st.integers(0, 2**32))
def test_table_is_bounded_and_keeps_short_prefixes_longest(bound, seed):
    random_state = random.Random(seed)
    table = prefixes.PrefixTable(bound)
    for _ in range(50):
        own = tuple(random_state.randrange(10**6) for _ in range(5))
        table.record_sent(f"s{random_state.randrange(9)}", (1, 2, *own))
        assert len(table) <= bound
    assert max(table.cached_blocks((1, 2)).values()) == min(bound, 2)
