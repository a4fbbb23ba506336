"""Admission: queueing, order of dispatch and refusal."""

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from bilberryridge.core import outcomes, requests
from bilberryridge.decisions import admission

QUICK = requests.Priority.QUICK
LONG = requests.Priority.LONG


def make(**bounds):
    return admission.Admission(random.Random(1), **bounds)


def waiting(request_id, organisation="o", priority=QUICK, cost=1.0, **more):
    return admission.WaitingRequest(
        str(request_id),
        more.pop("service", "m"),
        organisation,
        more.pop("weight", 1.0),
        priority,
        more.pop("deadline_s", 1000.0),
        cost,
    )


def fill(queue, organisation, n, **more):
    for number in range(n):
        item = waiting(f"{organisation}-{number}", organisation, **more)
        queue.offer(0.0, item)


def take(queue, n, now_s=0.0):
    taken = (queue.take(now_s, "m") for _ in range(n))
    return [item for item in taken if item is not None]


def by_organisation(items):
    return collections.Counter(item.organisation for item in items)


SHARES = [
    # number waiting and weight by organisation; number of each in the first 40 taken
    ({"greedy": (90, 1.0), "a": (30, 1.0)}, {"greedy": 20, "a": 20}),
    ({"greedy": (90, 1.0), "a": (90, 3.0)}, {"greedy": 10, "a": 30}),
    ({"greedy": (90, 1.0), "a": (5, 1.0)}, {"greedy": 35, "a": 5}),
    ({"greedy": (90, 1.0)}, {"greedy": 40}),
]


@pytest.mark.parametrize(("asked", "given"), SHARES)
def test_capacity_is_divided_by_weight_and_idle_shares_go_to_others(asked, given):
    queue = make()
    for name, (n, weight) in asked.items():
        fill(queue, name, n, weight=weight)
    counted = by_organisation(take(queue, 40))
    assert all(abs(counted[name] - n) <= 1 for name, n in given.items())


def test_organisation_at_ten_times_its_share_does_not_delay_others():
    waits = {}
    for n_greedy in (0, 100):
        queue = make()
        fill(queue, "greedy", n_greedy)
        served_at = {}
        for now_s in range(1, 201):
            for name in "abc":
                # Together three tenths of the capacity; "greedy" requests all of it.
                if now_s % 10 == 0:
                    queue.offer(now_s, waiting(f"{name}{now_s}", name))
            queue.offer(now_s, waiting(f"g{now_s}", "greedy"))
            item = queue.take(float(now_s), "m")
            if item is not None:
                served_at[item.request_id] = now_s
        delays = [
            served_s - int(request_id[1:])
            for request_id, served_s in served_at.items()
            if request_id[0] in "abc"
        ]
        waits[n_greedy] = sorted(delays)
    assert len(waits[100]) == len(waits[0])
    assert waits[100][-1] <= waits[0][-1] + 1


def test_quick_class_goes_first_and_long_class_gets_its_minimum():
    queue = make()
    fill(queue, "a", 60)
    fill(queue, "b", 60, priority=LONG, cost=2.0)
    taken = take(queue, 40)
    n_long = sum(item.priority is LONG for item in taken)
    long_work = 2.0 * n_long / (40 - n_long + 2.0 * n_long)
    assert 0.14 < long_work < 0.25
    assert taken[0].priority is QUICK


def test_request_put_back_keeps_its_position_and_does_not_block_others():
    queue = make()
    fill(queue, "a", 3)
    fill(queue, "b", 1)
    first = queue.take(0.0, "m")
    queue.put_back(first)
    assert [item.organisation for item in take(queue, 5)] == ["b"]
    assert [item.request_id for item in take(queue, 5, now_s=0.1)] == [
        "a-0",
        "a-1",
        "a-2",
    ]


def test_unplaced_request_does_not_delay_requests_of_others_that_arrive_later():
    queue = make()
    fill(queue, "greedy", 5)
    queue.take(0.0, "m")
    queue.put_back(queue.take(1.0, "m"))
    queue.offer(2.0, waiting("b", "b"))
    assert queue.take(2.0, "m").request_id == "b"


def test_queues_are_bounded_per_organisation_and_in_total():
    queue = make(max_queued=30, max_queued_per_organisation=10)
    answers = [queue.offer(0.0, waiting(n, "greedy")) for n in range(40)]
    refused = [item for item in answers if isinstance(item, admission.Refused)]
    assert len(queue) == 10
    assert {item.reason for item in refused} == {outcomes.Reason.OVER_SHARE}
    for name in "abcd":
        fill(queue, name, 5)
    assert len(queue) == 30
    answer = queue.offer(0.0, waiting("late", "newcomer"))
    assert [item.organisation for item in answer.displaced] == ["greedy"]


def serve_blocked(queue, n_rounds, n_served):
    """Serve `n_served` requests per second while others stay waiting."""
    for now_s in range(1, n_rounds + 1):
        for _ in range(n_served):
            queue.take(float(now_s), "m")
        rest = queue.take(now_s + 0.5, "m")
        if rest is not None:
            queue.put_back(rest)
    return float(n_rounds)


def test_request_is_refused_if_its_expected_wait_exceeds_the_time_left():
    queue = make()
    fill(queue, "a", 50)
    now_s = serve_blocked(queue, 10, 2)
    assert queue.expected_wait_s(now_s, "m") == pytest.approx(15.0, rel=0.2)
    for deadline_s, cost, is_refused in ((100.0, 1.0, True), (11.0, 0.9, True)):
        item = waiting(f"late{deadline_s}", "a", deadline_s=deadline_s, cost=cost)
        answer = queue.offer(now_s, item)
        assert isinstance(answer, admission.Refused) is is_refused
        assert answer.retry_after_s >= 0.5
    # A request of an organisation without waiting requests is served soon.
    assert isinstance(queue.offer(now_s, waiting("b", "b")), admission.Queued)


def test_retry_times_are_spread():
    queue = make(max_queued_per_organisation=1)
    fill(queue, "a", 1)
    answers = [queue.offer(0.0, waiting(n, "a")) for n in range(20)]
    assert len({item.retry_after_s for item in answers}) == 20


def test_request_that_cannot_complete_by_its_deadline_is_dropped():
    queue = make()
    queue.offer(0.0, waiting("a", deadline_s=10.0, cost=4.0))
    queue.offer(0.0, waiting("b", deadline_s=10.0, cost=1.0))
    assert queue.expire(5.9) == []
    assert [item.request_id for item in queue.expire(6.0)] == ["a"]
    assert [item.request_id for item in take(queue, 2)] == ["b"]


def test_slots_are_reserved_from_long_requests_and_organisations_over_their_share():
    queue = make()
    fill(queue, "greedy", 60)
    for name in "abcdefgh":
        fill(queue, name, 1)
    taken = take(queue, 68)
    assert by_organisation(taken)["greedy"] == 60
    greedy, modest = waiting("g", "greedy"), waiting("x", "a")
    assert queue.reserved_share(0.1, greedy) > 0.05
    assert queue.reserved_share(0.1, modest) == 0.0
    assert queue.reserved_share(0.1, waiting("l", "a", LONG)) > 0.1
    assert queue.is_over_share(0.1, "m", "greedy", 1.0)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "offer", "take", "put_back", "remove", "expire"]),
        st.integers(0, 40),
        st.sampled_from("abcd"),
        st.sampled_from([QUICK, LONG]),
    ),
    max_size=150,
)


@hypothesis.settings(max_examples=200)
@hypothesis.given(STEPS)
def test_each_request_is_in_one_place_and_none_is_lost(steps):
    queue = make(max_queued=12, max_queued_per_organisation=5)
    inside, outside = set(), {}
    for number, (what, n, organisation, priority) in enumerate(steps):
        now_s = number * 0.25
        if what == "offer":
            item = waiting(number, organisation, priority, 1.0 + n / 10, deadline_s=n)
            answer = queue.offer(now_s, item)
            if isinstance(answer, admission.Queued):
                inside.add(item.request_id)
                inside -= {one.request_id for one in answer.displaced}
        elif what == "take":
            item = queue.take(now_s, "m")
            if item is not None:
                inside.remove(item.request_id)
                outside[item.request_id] = item
        elif what == "put_back" and outside:
            item = outside.pop(min(outside))
            queue.put_back(item)
            inside.add(item.request_id)
        elif what == "remove" and inside:
            gone = min(inside)
            queue.remove(gone)
            inside.remove(gone)
        elif what == "expire":
            inside -= {item.request_id for item in queue.expire(now_s)}
        assert len(queue) == len(inside)
    assert len(queue) <= 12 + len(steps)
    left = take(queue, 200, now_s=1e6)
    assert {item.request_id for item in left} == inside
