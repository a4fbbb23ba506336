"""Outcome of requests whose attempts fail, and rules on which servers are used."""

import random

import attrs
import pytest

from bilberryridge.core import outcomes
from bilberryridge.decisions.ingress import effects, events
from bilberryridge.decisions.ingress.tests import deployment

PEER = deployment.entry("vm-2", "d2")


def make_daemon(**changes):
    servers = (deployment.server("a"), deployment.server("b"))
    return deployment.Daemon(servers=changes.pop("servers", servers), **changes)


def test_unknown_route_is_404_but_503_without_a_table():
    daemon = make_daemon()
    assert daemon.arrive("1", "nowhere").refusal.status == 404
    empty = deployment.Daemon()
    empty.node.state.table = None
    refusal = empty.arrive("1", "safe").refusal
    assert refusal.status == 503
    assert refusal.retry_after_s


@pytest.mark.parametrize(
    ("path", "result", "status", "expected"),
    [
        ("unsafe", "lost", 0, "answer-lost"),
        ("unsafe", "spoiled", 0, "answer-lost"),
        ("unsafe", "answered", 500, "pass"),
        ("unsafe", "not run", 503, "again"),
        ("unsafe", "not sent", 0, "again"),
        ("safe", "lost", 0, "again"),
        ("safe", "spoiled", 0, "again"),
        ("safe", "answered", 500, "again"),
        ("safe", "answered", 404, "pass"),
        ("safe", "answered", 200, "pass"),
    ],
)
def test_what_follows_an_attempt(path, result, status, expected):
    daemon = make_daemon()
    sent = daemon.arrive("1", path)
    [effect] = daemon.end(sent, result, status=status)
    if expected == "again":
        assert isinstance(effect, effects.SendToServer)
        assert effect.server.id != sent.server.id
    elif expected == "pass":
        assert isinstance(effect, effects.PassAnswer)
    else:
        assert effect.refusal.reason.value == expected
        assert effect.refusal.outcome is outcomes.Outcome.UNKNOWN
        assert effect.refusal.retry_after_s is None


def test_refusal_after_a_lost_retry_does_not_say_not_run():
    daemon = make_daemon()
    sent = daemon.arrive("1", "safe")
    [retried] = daemon.end(sent, "lost")
    [effect] = daemon.end(retried, "not run", status=503)
    assert effect.refusal.status == 502
    assert effect.refusal.outcome is outcomes.Outcome.UNKNOWN


def test_refused_connection_does_not_count_as_a_server_attempt():
    daemon = make_daemon(servers=tuple(deployment.server(name) for name in "abc"))
    sent = daemon.arrive("1", "unsafe")
    for _ in range(2):
        [sent] = daemon.end(sent, "not sent")
        assert isinstance(sent, effects.SendToServer)
    [refused] = daemon.end(sent, "not sent")
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN


def test_silent_server_is_given_up_as_late_as_a_retry_can_meet_the_goal():
    daemon = make_daemon()
    sent = daemon.arrive("1", "safe")
    expected_s = sent.log_fields["expected_s"]
    goal_s = daemon.node.state.open_requests["1"].route.latency_goal_s
    assert goal_s / 2 < sent.first_byte_timeout_s <= goal_s - expected_s
    daemon.now_s += sent.first_byte_timeout_s
    [retried] = daemon.end(sent, "lost")
    assert retried.first_byte_timeout_s is None


def test_deadline_is_answered_while_the_server_is_silent():
    daemon = make_daemon()
    daemon.arrive("1", "unsafe", caller_timeout_s=1.0)
    assert not [e for e in daemon.tick(0.9) if isinstance(e, effects.Refuse)]
    cancel, refuse = daemon.tick(0.2)[:2]
    assert isinstance(cancel, effects.CancelAttempt)
    assert refuse.refusal.status == 504


def test_stream_that_has_begun_is_cut_at_its_deadline_not_refused():
    daemon = make_daemon(servers=(deployment.server("a", "model", n_slots=64),))
    sent = daemon.arrive(
        "1", "digest", prompt=deployment.prompt(), caller_timeout_s=1.0
    )
    began = events.AttemptBegan("1", sent.attempt_id, is_committed=True)
    assert daemon.handle(began) == []
    kinds = [type(effect) for effect in daemon.tick(1.1)]
    assert kinds[:2] == [effects.CancelAttempt, effects.AbortStream]


def test_stream_is_resumed_on_another_server_or_else_aborted():
    servers = tuple(deployment.server(n, "model", n_slots=64) for n in "ab")
    daemon = make_daemon(servers=servers)
    sent = daemon.arrive("1", "digest", prompt=deployment.prompt())
    [retried] = daemon.end(sent, "lost", is_committed=True)
    assert isinstance(retried, effects.SendToServer)
    assert retried.server.id != sent.server.id
    [aborted] = daemon.end(retried, "lost", is_committed=True)
    assert isinstance(aborted, effects.AbortStream)


def test_stream_is_resumed_after_its_latency_goal_has_passed():
    servers = tuple(deployment.server(n, "model", n_slots=64) for n in "ab")
    daemon = make_daemon(servers=servers)
    sent = daemon.arrive("1", "digest", prompt=deployment.prompt())
    for n in range(2, 40):
        daemon.handle(
            events.RequestArrived(
                deployment.request(str(n), "digest", prompt=deployment.prompt(3_000))
            )
        )
    daemon.now_s += 3.0
    [retried] = daemon.end(sent, "lost", is_committed=True)
    assert isinstance(retried, effects.SendToServer)


def test_evacuation_that_the_store_may_have_lost_holds_until_it_is_settled():
    daemon = make_daemon()
    daemon.handle(events.EvacuationsRead(frozenset(["d1"])))
    daemon.handle(events.EvacuationsRead(frozenset(), is_settled=False))
    assert daemon.arrive("1", "safe").refusal.reason is outcomes.Reason.NO_SERVER
    daemon.handle(events.EvacuationsRead(frozenset(), is_settled=True))
    daemon.now_s += 20.0
    assert isinstance(daemon.arrive("2", "safe"), effects.SendToServer)


def test_leaving_caller_cancels_all_but_unsafe_requests():
    daemon = make_daemon()
    daemon.arrive("1", "safe")
    [cancel] = daemon.handle(events.CallerGone("1"))
    assert isinstance(cancel, effects.CancelAttempt)
    sent = daemon.arrive("2", "unsafe")
    [detach] = daemon.handle(events.CallerGone("2"))
    assert isinstance(detach, effects.DetachCaller)
    assert daemon.end(sent, "answered", status=200) == []
    daemon.arrive("3", "unsafe", caller_timeout_s=1.0)
    daemon.handle(events.CallerGone("3"))
    assert isinstance(daemon.tick(1.1)[0], effects.CancelAttempt)
    assert not daemon.node.state.open_requests


def test_repeats_stay_within_the_budget():
    daemon = make_daemon(retry_slack=5, retry_ratio=0.2)
    n_repeats = 0
    for n in range(40):
        sent = daemon.arrive(str(n), "safe")
        [effect] = daemon.end(sent, "lost")
        n_repeats += isinstance(effect, effects.SendToServer)
        if isinstance(effect, effects.SendToServer):
            daemon.end(effect, "answered", status=200)
    assert 3 <= n_repeats <= 0.2 * 40 + 5


def test_streams_of_a_lost_server_go_on_after_many_failures_were_answered():
    servers = tuple(deployment.server(n, "model", n_slots=64) for n in "ab")
    daemon = make_daemon(servers=(*servers, *(deployment.server(n) for n in "cd")))
    streams = [
        daemon.arrive(f"s{n}", "digest", prompt=deployment.prompt(500))
        for n in range(8)
    ]
    routes = (
        *deployment.ROUTES,
        deployment.route("poison", "safe", service="model"),
    )
    daemon.handle(events.TableRead(deployment.table(2, routes)))
    for n in range(40):
        sent = daemon.arrive(f"p{n}", "poison")
        for effect in daemon.end(sent, "answered", status=500):
            if isinstance(effect, effects.SendToServer):
                daemon.end(effect, "answered", status=500)
    resumed = [daemon.end(sent, "lost", is_committed=True)[0] for sent in streams]
    assert all(isinstance(effect, effects.SendToServer) for effect in resumed)


def test_home_bound_request_never_reaches_a_server_elsewhere():
    daemon = make_daemon(peers=(PEER,))
    assert isinstance(daemon.arrive("1", "home"), effects.Refuse)
    daemon.handle(events.PeerSaid("vm-2", deployment.loads("west")))
    sent = daemon.arrive("2", "home")
    assert isinstance(sent, effects.SendToPeer)
    assert sent.entry.region == "west"
    relayed = deployment.request("3", "home", is_relayed=True)
    [effect] = daemon.handle(events.RequestArrived(relayed))
    assert isinstance(effect, effects.Refuse)


def test_request_is_not_relayed_to_a_region_that_is_not_allowed():
    daemon = make_daemon(peers=(PEER,))
    daemon.handle(events.PeerSaid("vm-2", deployment.loads("west")))
    other = deployment.route("far", "safe", allowed_regions=frozenset(["north"]))
    daemon.handle(events.TableRead(deployment.table(2, (other,))))
    assert isinstance(daemon.arrive("1", "far"), effects.Refuse)


def test_relayed_request_is_not_sent_on():
    daemon = deployment.Daemon(peers=(PEER,))
    daemon.handle(events.PeerSaid("vm-2", deployment.loads("west")))
    assert isinstance(daemon.arrive("1", "safe"), effects.SendToPeer)
    effect = daemon.arrive("2", "safe", is_relayed=True)
    assert effect.refusal.outcome is outcomes.Outcome.NOT_RUN


def test_relayed_request_of_a_newer_table_is_refused():
    daemon = make_daemon()
    effect = daemon.arrive("1", "safe", is_relayed=True, table_version=2)
    assert effect.refusal.reason is outcomes.Reason.NO_CONFIGURATION
    assert effect.refusal.retry_after_s is None


def test_request_is_relayed_to_another_daemon_of_a_region_if_one_is_stopping():
    peers = (PEER, deployment.entry("vm-3", "d2"))
    daemon = deployment.Daemon(peers=peers)
    daemon.handle(events.PeerSaid("vm-2", deployment.loads("west")))
    sent = daemon.arrive("1", "safe")
    [retried] = daemon.end(sent, "not run", status=503)
    assert isinstance(retried, effects.SendToPeer)
    assert retried.entry.name != sent.entry.name
    sent = daemon.arrive("2", "safe")
    [refused] = daemon.end(sent, "not run", status=503, retry_after_s=0.5)
    assert isinstance(refused, effects.Refuse)


def test_stopping_daemon_accepts_only_early_requests_of_callers():
    daemon = make_daemon()
    daemon.handle(events.StopAsked())
    assert isinstance(daemon.arrive("1", "safe"), effects.SendToServer)
    assert isinstance(daemon.arrive("2", "safe", is_relayed=True), effects.Refuse)
    daemon.now_s += 3.5
    refusal = daemon.arrive("3", "safe").refusal
    assert refusal.reason is outcomes.Reason.STOPPING
    assert refusal.outcome is outcomes.Outcome.NOT_RUN
    assert not daemon.node.is_ready()


def test_older_table_never_replaces_a_newer_one():
    daemon = make_daemon()
    daemon.handle(events.TableRead(deployment.table(5, ())))
    daemon.handle(events.TableRead(deployment.table(4)))
    assert daemon.arrive("1", "safe").refusal.status == 404


def test_leaving_missing_and_evacuated_servers_get_no_requests():
    daemon = make_daemon(servers=(deployment.server("a"),))
    leaving = attrs.evolve(deployment.server("a"), is_leaving=True)
    daemon.handle(events.ServersRead((leaving,)))
    assert isinstance(daemon.arrive("1", "safe"), effects.Refuse)
    daemon.handle(events.ServersRead((deployment.server("b"),)))
    assert daemon.arrive("2", "safe").server.id == "b"
    daemon.handle(events.EvacuationsRead(frozenset(["d1"])))
    assert isinstance(daemon.arrive("3", "safe"), effects.Refuse)


def test_servers_missing_in_a_store_outage_are_kept_until_the_list_is_settled():
    daemon = make_daemon(servers=(deployment.server("a"),))
    daemon.handle(events.ServersRead((), is_settled=False))
    assert isinstance(daemon.arrive("1", "safe"), effects.SendToServer)
    daemon.handle(events.ServersRead((), is_settled=True))
    assert isinstance(daemon.arrive("2", "safe"), effects.Refuse)


def test_servers_of_a_domain_taken_back_are_cold():
    daemon = make_daemon(servers=(deployment.server("a"),))
    daemon.handle(events.EvacuationsRead(frozenset(["d1"])))
    daemon.handle(events.EvacuationsRead(frozenset()))
    n_sent = 0
    for n in range(20):
        n_sent += isinstance(daemon.arrive(str(n), "safe"), effects.SendToServer)
        daemon.now_s += 0.05
    assert n_sent <= 3


@pytest.mark.parametrize("n_daemons", [1, 3, 23, 127])
@pytest.mark.parametrize("lag_s", [0.0, 0.8])
def test_all_daemons_together_stay_within_the_rate_of_a_cold_server(n_daemons, lag_s):
    """All daemons have more requests than a restarted server can serve while cold."""
    names = [f"vm-{n}" for n in range(n_daemons)]
    entries = tuple(deployment.entry(name) for name in names)
    daemons = [deployment.Daemon((), entries, own=name) for name in names]
    lags = [random.Random(name).uniform(0.0, lag_s) for name in names]
    times = []
    for step in range(120):
        now_s = 100.0 + step * 0.05
        for index, daemon in enumerate(daemons):
            daemon.now_s = now_s
            if not daemon.node.state.servers.by_id and now_s >= 100.0 + lags[index]:
                servers = (deployment.server("a", warmup_remaining_s=5.0),)
                daemon.handle(events.ServersRead(servers))
            effect = daemon.arrive(f"{step}-{index}", "safe")
            if isinstance(effect, effects.SendToServer) and now_s < 105.0:
                times.append(now_s)
    busiest = max(sum(t <= u < t + 1.0 for u in times) for t in times)
    assert busiest <= 2.0 * 1.5 + 3
    assert len(times) >= 6
