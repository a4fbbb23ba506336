"""Expected loads of servers: outdated reports, failures and recovery."""

import functools
import math
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from bilberryridge.core import requests
from bilberryridge.decisions import health, loads

QUICK = requests.Priority.QUICK


def make_table(n_servers=4, bound=100, n_slots=16):
    table = loads.LoadTable(bound, random.Random(1))
    for index in range(n_servers):
        table.server(f"s{index}", "model", n_slots)
    return table


def send(table, now_s, server, request_id, n_prefill_tokens=0):
    table.on_sent(now_s, server, request_id, n_prefill_tokens, 10, QUICK)


def fail(table, now_s, server, n=3):
    for index in range(n):
        send(table, now_s, server, f"{server}-{now_s}-{index}")
        table.on_ended(now_s, f"{server}-{now_s}-{index}", False)


def n_expected(table, now_s, server):
    estimate = table.estimate(now_s, server)
    return estimate.n_busy + estimate.n_waiting


REPORT_CASES = [
    # requests sent before the report, sent after it, ended after it, running according
    # to the report; expected load
    (2, 0, 0, 5, 5.0),
    (0, 3, 0, 5, 8.0),
    (2, 0, 2, 5, 3.0),
    (2, 3, 0, 0, 5.0),
    (0, 0, 0, 20, 20.0),
]


@pytest.mark.parametrize(
    ("n_before", "n_after", "n_ended", "n_running", "expected"), REPORT_CASES
)
def test_report_is_corrected_by_own_traffic_since(
    n_before, n_after, n_ended, n_running, expected
):
    table = make_table()
    for index in range(n_before):
        send(table, 1.0, "s0", f"before-{index}")
    for index in range(n_after):
        send(table, 3.0, "s0", f"after-{index}")
    for index in range(n_ended):
        table.on_ended(3.0, f"before-{index}", None)
    table.on_report(3.01, "s0", n_running, 0, age_s=1.0)
    assert abs(n_expected(table, 3.01, "s0") - expected) < 1.0


def test_what_was_sent_since_a_report_counts_for_each_daemon():
    table = make_table()
    table.n_daemons = 3
    table.on_report(0.0, "s0", 0, 0, age_s=0.0)
    send(table, 0.1, "s0", "a")
    assert n_expected(table, 0.1, "s0") == pytest.approx(3.0, abs=0.1)


def test_unknown_load_is_estimated_by_that_of_the_pool():
    table = make_table()
    for server in ("s0", "s1", "s2"):
        table.on_report(0.0, server, 12, 0, age_s=0.0)
    assert n_expected(table, 0.1, "s3") == pytest.approx(12.0)
    table.on_report(0.2, "s3", 0, 0, age_s=60.0)
    assert n_expected(table, 0.5, "s3") > 8.0


def test_an_older_report_does_not_replace_a_newer_one():
    table = make_table()
    table.on_report(10.0, "s0", 9, 0, age_s=0.5)
    table.on_report(10.1, "s0", 2, 0, age_s=5.0)
    assert n_expected(table, 10.1, "s0") > 8.0


def test_at_most_half_of_the_pool_is_ejected():
    table = make_table(n_servers=5)
    for server in range(5):
        fail(table, 1.0, f"s{server}")
    ejected = [name for name in range(5) if table.is_ejected(1.1, f"s{name}")]
    assert len(ejected) == 2


def test_ejections_double_are_jittered_and_end_in_a_ramp():
    lengths = []
    for seed in range(8):
        state = health.Health()
        now_s = 0.0
        for expected_s in (2.0, 4.0, 8.0):
            state.eject(now_s, random.Random(seed))
            duration_s = state.ejected_until_s - now_s
            assert expected_s * 0.69 < duration_s < expected_s * 1.31
            now_s = state.ejected_until_s
        lengths.append(now_s)
        assert not state.is_ejected(now_s)
        assert state.ramp_fraction(now_s) == health.RAMP_START
        assert state.ramp_fraction(now_s + health.RAMP_S) == 1.0
    assert len(set(lengths)) == len(lengths)


def test_one_failure_after_an_ejection_ejects_again():
    table = make_table()
    fail(table, 0.0, "s0")
    assert table.is_ejected(0.1, "s0")
    assert not table.is_ejected(5.0, "s0")
    fail(table, 5.0, "s0", n=1)
    assert table.is_ejected(5.1, "s0")


def test_a_refusal_of_a_full_server_is_no_failure():
    table = make_table()
    for index in range(10):
        send(table, 0.0, "s0", str(index))
        table.on_ended(0.0, str(index), None)
    assert not table.is_ejected(0.1, "s0")
    assert table.hold_s("model") is None


def test_slow_server_is_detected_even_before_it_answers():
    table = make_table()
    for index in range(20):
        server = f"s{index % 4}"
        waited_s = 2.0 if server == "s0" else 0.2
        send(table, 0.0, server, str(index))
        table.on_began(waited_s, str(index), waited_s)
    table.estimate(2.5, "s0")
    excess_s = [table.excess_wait_s(2.5, table.server(f"s{i}")) for i in range(4)]
    assert excess_s[0] > 1.0
    assert max(excess_s[1:]) < 0.2
    assert table.excess_wait_s(120.0, table.server("s0")) < 0.1
    send(table, 3.0, "s1", "hangs")
    assert table.excess_wait_s(6.0, table.server("s1")) > 2.0


def test_hold_time_of_open_requests_follows_their_own_length():
    table = loads.LoadTable(10, random.Random(1))
    table.server("s", "pool", 2)
    send = functools.partial(table.on_sent, n_prefill_tokens=10, priority=QUICK)
    for i in range(20):
        send(float(i), "s", f"short-{i}", n_output_tokens=20)
        table.on_ended(i + 0.4, f"short-{i}", True)
    assert 0.3 < table.hold_s("pool") < 0.5
    for i in range(2):
        send(30.0, "s", f"long-{i}", n_output_tokens=600)
    assert 10.0 < table.open_hold_s("s", 0.02) < 14.0
    for i in range(2):
        table.on_ended(31.0, f"long-{i}", None)
    assert table.open_hold_s("s", 0.02) is None


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["report", "send", "begin", "good", "bad", "forget"]),
        st.integers(0, 12),
        st.integers(0, 30),
    ),
    max_size=120,
)


@hypothesis.settings(max_examples=150)
@hypothesis.given(EVENTS)
def test_any_events_leave_a_bounded_table_and_valid_estimates(steps):
    table = loads.LoadTable(8, random.Random(1))
    for number, (what, server, n) in enumerate(steps):
        now_s = number * 0.1
        name = f"s{server}"
        if what == "report":
            table.on_report(now_s, name, n, n // 2, age_s=n / 5)
        elif what == "send":
            send(table, now_s, name, f"r{n}", n)
        elif what == "begin":
            table.on_began(now_s, f"r{n}", 0.1)
        elif what == "forget":
            table.forget(name)
        else:
            table.on_ended(now_s, f"r{n}", what == "good")
        assert len(table) <= 8
        estimate = table.estimate(now_s, name)
        assert 0.0 <= estimate.n_busy < math.inf
        assert 0.0 <= estimate.n_waiting < math.inf
        state = table.server(name)
        assert state.n_open >= 0
        assert state.n_pending_tokens == sum(
            item.n_tokens for item in state.pending.values()
        )


@pytest.mark.parametrize("is_success", [True, False, None])
def test_end_of_a_request_at_a_forgotten_server_does_not_count_at_its_next_start(
    is_success,
):
    table = make_table()
    send(table, 0.0, "s0", "a")
    table.forget("s0")
    state = table.server("s0", "model", 2)
    table.on_began(0.1, "a", 0.1)
    table.on_ended(0.2, "a", is_success)
    assert (state.n_open, state.n_net_sent) == (0, 0)
    assert state.health.n_waits == 0
    assert table.estimate(0.3, "s0").n_busy >= 0.0


def test_slow_one_of_two_servers_is_detected():
    table = loads.LoadTable(10, random.Random(1))
    for i in range(40):
        now_s = i * 0.2
        for server, waited_s in (("fast", 0.1), ("slow", 1.0)):
            table.server(server, "pool", 16)
            table.on_sent(
                now_s, server, f"{server}-{i}", 0, 20, requests.Priority.QUICK
            )
            table.on_began(now_s + waited_s, f"{server}-{i}", waited_s)
            table.on_ended(now_s + waited_s, f"{server}-{i}", True)
            table.server(server)
    for server in ("fast", "slow"):
        table.estimate(8.0, server)
    fast_s, slow_s = (
        table.excess_wait_s(8.0, table.server(name)) for name in ("fast", "slow")
    )
    assert fast_s == 0.0
    assert slow_s > 0.5


def test_success_ends_an_ejection():
    # Of two servers only one may be ejected. If the recovered one stayed ejected, each
    # first attempt would go to the other, whose failures would use up the retries.
    table = make_table(n_servers=2)
    fail(table, 0.0, "s0")
    assert table.is_ejected(0.1, "s0")
    fail(table, 0.2, "s1")
    assert not table.is_ejected(0.3, "s1")
    send(table, 0.4, "s0", "retry")
    table.on_ended(0.5, "retry", True)
    assert not table.is_ejected(0.5, "s0")
    fail(table, 0.6, "s1", n=1)
    assert table.is_ejected(0.7, "s1")


def test_success_of_a_request_sent_before_an_ejection_does_not_end_it():
    table = make_table(n_servers=2)
    send(table, 0.0, "s0", "before")
    fail(table, 0.1, "s0")
    table.on_ended(0.2, "before", True)
    assert table.is_ejected(0.3, "s0")


def test_waits_of_a_busy_time_before_an_ejection_do_not_keep_a_server_out():
    # Requests waited for 0.1 s at both servers when s0 failed; while it was ejected the
    # load fell, so that its old waits looked slow.
    table = make_table(n_servers=2)
    for index in range(8):
        for server in ("s0", "s1"):
            send(table, 0.0, server, f"{server}-{index}")
            table.on_began(0.1, f"{server}-{index}", 0.1)
            table.on_ended(0.1, f"{server}-{index}", True)
    fail(table, 0.2, "s0")
    for index in range(30):
        now_s = 0.3 + 0.1 * index
        send(table, now_s, "s1", f"later-{index}")
        table.on_began(now_s + 0.02, f"later-{index}", 0.02)
        table.on_ended(now_s + 0.02, f"later-{index}", True)
    state = table.server("s0")
    assert not table.is_ejected(3.3, "s0")
    table.expected_open(3.3, state)
    assert table.excess_wait_s(3.3, state) == 0.0
