"""Room at brittle servers, as several daemons keep to it."""

import random

import pytest

from bilberryridge.decisions.ingress import effects, events, server_room
from bilberryridge.decisions.ingress.tests import deployment

N_SLOTS = 6


def named(per_s=3.0, now_s=10.0):
    room = server_room.ServerRoom()
    room.record_named(per_s, now_s)
    return room


def n_open_at_most(room, now_s, n_daemons=3):
    """Return how many requests one daemon alone may have open."""
    return next(n for n in range(99) if not room.is_open(now_s, n, n, 6, n_daemons))


@pytest.mark.parametrize("n_daemons", [1, 3, 65])
@pytest.mark.parametrize("per_s", [0.0, 1.0, 3.0, 500.0])
def test_no_request_waits_and_some_are_sent(n_daemons, per_s):
    assert 1 <= n_open_at_most(named(per_s), 10.0, n_daemons) <= N_SLOTS


def test_absurd_number_counts_as_none():
    room = named(1e9)
    assert room.is_open(10.0, 1_000, 1_000, N_SLOTS, 3)


def test_turned_away_requests_lower_the_room_which_returns():
    room = named()
    before = n_open_at_most(room, 10.0)
    room.record_turned_away(3, 11.0)
    assert n_open_at_most(room, 11.0) == 0
    assert 1 <= n_open_at_most(room, 11.5) < before
    assert n_open_at_most(room, 30.0) == before


def test_answer_to_an_earlier_request_does_not_end_it():
    room = named()
    assert not room.record_unnamed(sent_s=9.0, now_s=12.0, n_answers=1_000)
    assert not room.record_unnamed(sent_s=10.1, now_s=10.2, n_answers=1_000)
    assert room.record_unnamed(sent_s=10.1, now_s=12.0)
    assert room.is_open(12.0, 1_000, 1_000, N_SLOTS, 3)


def test_single_answers_without_the_word_dont_end_it():
    room = named()
    for n in range(100):
        now_s = 12.0 + n
        ends = [room.record_unnamed(now_s, now_s) for _ in range(3)]
        assert ends == 3 * [False]
        room.record_named(3.0, now_s + 0.5)
    ends = [room.record_unnamed(200.0, 200.0 + n) for n in range(4)]
    assert ends == [False, False, False, True]


def test_new_server_of_a_brittle_service_counts_as_brittle():
    daemon = deployment.Daemon([deployment.server("a")])
    sent = daemon.arrive("1", "unsafe")
    ids = (sent.request_id, sent.attempt_id)
    daemon.handle(events.ServerSaid(*ids, brittle_per_s=2.0))
    both = (deployment.server("a"), deployment.server("b"))
    daemon.handle(events.ServersRead(both))
    by_id = daemon.node.state.servers.by_id
    assert [by_id[name].room.brittle_per_s for name in "ab"] == [2.0, 2.0]


def test_daemons_together_never_overfill_a_server_by_more_than_it_bears():
    """Each knows the others' open requests a tenth of a second late."""
    random_state = random.Random(3)
    n_daemons, n_turned_away, now_s = 3, [], 10.0
    rooms = [named(now_s=now_s) for _ in range(n_daemons)]
    ends_s = [[] for _ in rooms]
    reported = [0] * n_daemons
    for step in range(3_000):
        now_s += 0.01
        for n, room in enumerate(rooms):
            ends_s[n] = [end_s for end_s in ends_s[n] if end_s > now_s]
            n_own = len(ends_s[n])
            n_known = n_own + sum(reported) - reported[n]
            if not room.is_open(now_s, n_known, n_own, N_SLOTS, n_daemons):
                continue
            if sum(map(len, ends_s)) < N_SLOTS:
                ends_s[n].append(now_s + random_state.uniform(0.02, 0.2))
            else:
                n_turned_away.append(now_s)
                for each in rooms:
                    each.record_turned_away(1, now_s)
        if step % 10 == 0:
            reported = [len(each) for each in ends_s]
    for at_s in n_turned_away:
        assert sum(at_s <= other < at_s + 1.0 for other in n_turned_away) <= 3


def test_refused_for_room_is_said_at_once_with_a_time():
    daemon = deployment.Daemon([deployment.server("a", n_slots=1)])
    sent = daemon.arrive("1", "unsafe")
    ids = (sent.request_id, sent.attempt_id)
    daemon.handle(events.ServerSaid(*ids, brittle_per_s=2.0))
    refused = daemon.arrive("2", "unsafe")
    assert isinstance(refused, effects.Refuse)
    assert refused.refusal.retry_after_s > 0
