"""When a server gets new work after what this daemon has met there."""

import math

import pytest

from bilberryridge.decisions.ingress import (
    effects,
    events,
    load_messages,
    server_availability,
)
from bilberryridge.decisions.ingress.tests import deployment


@pytest.mark.parametrize(
    ("first_s", "second_s", "until_s"), [(2.0, 1.0, 12.0), (1.0, 2.0, 12.5)]
)
def test_shorter_time_asked_for_does_not_cut_a_longer_one_short(
    first_s, second_s, until_s
):
    tested = server_availability.Availability()
    tested.record_asked_for_time(10.0, first_s, 0.0)
    tested.record_asked_for_time(10.5, second_s, 0.0)
    assert tested.returns_s == until_s


def test_time_asked_for_is_capped():
    tested = server_availability.Availability()
    tested.record_asked_for_time(10.0, 1e9, 0.0)
    assert tested.returns_s == 10.0 + server_availability.TRY_AFTER_S


@pytest.mark.parametrize("asked_s", [20.0, 40.0, 100.0, 500.0])
@pytest.mark.parametrize("n_busy_answers", [1, 1_000])
def test_server_gets_two_requests_at_most_in_the_time_it_asked_for(
    asked_s, n_busy_answers
):
    daemon = deployment.Daemon(servers=[deployment.server("a")])
    sent_s, asked_at_s = [], []
    for n in range(int(1.5 * asked_s)):
        daemon.tick(1.0)
        sent = daemon.arrive(str(n), "unsafe")
        if not isinstance(sent, effects.SendToServer):
            continue
        sent_s.append(daemon.now_s)
        if len(sent_s) > n_busy_answers:
            daemon.end(sent, "answered", status=200)
            continue
        asked_at_s.append(daemon.now_s)
        ids = (sent.request_id, sent.attempt_id)
        daemon.handle(events.ServerSaid(*ids, asked_s=asked_s))
        daemon.end(sent, "not run", status=503)
    assert len([x for x in sent_s if x < sent_s[0] + max(asked_s, 35.0)]) > 1
    for at_s in asked_at_s:
        in_its_time = [x for x in sent_s if at_s + 0.5 < x < at_s + asked_s]
        assert len(in_its_time) <= 2


def test_success_does_not_end_the_time_asked_for():
    tested = server_availability.Availability()
    tested.record_asked_for_time(10.0, 2.0, 0.0)
    tested.record_success()
    assert not tested.is_open(11.0)


def test_server_returns_by_a_ramp():
    tested = server_availability.Availability()
    tested.record_asked_for_time(10.0, 2.0, 0.0)
    open_at = [
        max(n for n in range(50) if n == 0 or tested.is_open(now_s, n - 1))
        for now_s in (12.05, 12.25, 12.95)
    ]
    assert open_at == [1, 3, 10]
    assert tested.is_open(12.0 + server_availability.RAMP_S, 1_000)


def test_leaving_server_never_returns():
    assert server_availability.Availability(is_leaving=True).returns_s == math.inf


@pytest.mark.parametrize(("start_ms", "is_used"), [(1_000, False), (2_000, True)])
def test_word_of_an_earlier_start_that_comes_late_is_not_believed(start_ms, is_used):
    servers = [deployment.server("a", start_time_ms=start_ms)]
    daemon = deployment.Daemon(servers=servers, peers=[deployment.entry("vm-2")])
    share = load_messages.ServerShare(leaving_start_ms=1_000)
    loads = load_messages.DaemonLoads({"a": share})
    daemon.handle(events.PeerSaid("vm-2", loads))
    sent = daemon.arrive("1", "safe")
    assert isinstance(sent, effects.SendToServer) is is_used
