"""What becomes of requests whose attempts fail in every way."""

import random

import attrs
import pytest

from bilberryridge.core import outcomes
from bilberryridge.decisions.ingress import effects, events
from bilberryridge.decisions.ingress.tests import deployment

PEER = deployment.entry("vm-2", "d2")


def daemon(**changes):
    servers = (deployment.server("a"), deployment.server("b"))
    return deployment.Daemon(servers=changes.pop("servers", servers), **changes)


def test_unknown_route_is_refused_but_never_without_a_table():
    made = daemon()
    assert made.arrive("1", "nowhere").refusal.status == 404
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
    made = daemon()
    sent = made.arrive("1", path)
    [effect] = made.end(sent, result, status=status)
    if expected == "again":
        assert isinstance(effect, effects.SendToServer)
        assert effect.server.id != sent.server.id
    elif expected == "pass":
        assert isinstance(effect, effects.PassAnswer)
    else:
        assert effect.refusal.reason.value == expected
        assert effect.refusal.outcome is outcomes.Outcome.UNKNOWN
        assert effect.refusal.retry_after_s is None


def test_refusal_after_a_lost_repeat_does_not_say_not_run():
    made = daemon()
    sent = made.arrive("1", "safe")
    [again] = made.end(sent, "lost")
    [effect] = made.end(again, "not run", status=503)
    assert effect.refusal.status == 502
    assert effect.refusal.outcome is outcomes.Outcome.UNKNOWN


def test_server_that_takes_no_connection_costs_no_attempt():
    made = daemon(servers=tuple(deployment.server(name) for name in "abc"))
    sent = made.arrive("1", "unsafe")
    for _ in range(2):
        [sent] = made.end(sent, "not sent")
        assert isinstance(sent, effects.SendToServer)
    [refused] = made.end(sent, "not sent")
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN


def test_deadline_is_answered_while_the_server_is_silent():
    made = daemon()
    made.arrive("1", "unsafe", caller_timeout_s=1.0)
    assert not [e for e in made.tick(0.9) if isinstance(e, effects.Refuse)]
    cancel, refuse = made.tick(0.2)[:2]
    assert isinstance(cancel, effects.CancelAttempt)
    assert refuse.refusal.status == 504


def test_stream_that_has_begun_is_cut_at_its_deadline_not_refused():
    made = daemon(servers=(deployment.server("a", "model", n_slots=64),))
    sent = made.arrive("1", "digest", prompt=deployment.prompt(), caller_timeout_s=1.0)
    began = events.AttemptBegan("1", sent.attempt_id, is_committed=True)
    assert made.handle(began) == []
    kinds = [type(effect) for effect in made.tick(1.1)]
    assert kinds[:2] == [effects.CancelAttempt, effects.AbortStream]


def test_stream_is_resumed_elsewhere_and_else_cut():
    servers = tuple(deployment.server(n, "model", n_slots=64) for n in "ab")
    made = daemon(servers=servers)
    sent = made.arrive("1", "digest", prompt=deployment.prompt())
    [again] = made.end(sent, "lost", is_committed=True)
    assert isinstance(again, effects.SendToServer)
    assert again.server.id != sent.server.id
    [cut] = made.end(again, "lost", is_committed=True)
    assert isinstance(cut, effects.AbortStream)


def test_rest_of_a_stream_is_taken_on_though_its_goal_has_passed():
    servers = tuple(deployment.server(n, "model", n_slots=64) for n in "ab")
    made = daemon(servers=servers)
    sent = made.arrive("1", "digest", prompt=deployment.prompt())
    for n in range(2, 40):
        made.handle(
            events.RequestArrived(
                deployment.request(str(n), "digest", prompt=deployment.prompt(3_000))
            )
        )
    made.now_s += 3.0
    [again] = made.end(sent, "lost", is_committed=True)
    assert isinstance(again, effects.SendToServer)


def test_caller_that_leaves_stops_what_may_be_stopped():
    made = daemon()
    made.arrive("1", "safe")
    [cancel] = made.handle(events.CallerGone("1"))
    assert isinstance(cancel, effects.CancelAttempt)
    sent = made.arrive("2", "unsafe")
    [detach] = made.handle(events.CallerGone("2"))
    assert isinstance(detach, effects.DetachCaller)
    assert made.end(sent, "answered", status=200) == []
    made.arrive("3", "unsafe", caller_timeout_s=1.0)
    made.handle(events.CallerGone("3"))
    assert isinstance(made.tick(1.1)[0], effects.CancelAttempt)
    assert not made.node.state.open_requests


def test_repeats_stay_within_the_budget():
    made = daemon(retry_slack=5, retry_ratio=0.2)
    n_repeats = 0
    for n in range(40):
        sent = made.arrive(str(n), "safe")
        [effect] = made.end(sent, "lost")
        n_repeats += isinstance(effect, effects.SendToServer)
        if isinstance(effect, effects.SendToServer):
            made.end(effect, "answered", status=200)
    assert 3 <= n_repeats <= 0.2 * 40 + 5


def test_streams_of_a_lost_server_go_on_after_many_failures_were_answered():
    servers = tuple(deployment.server(n, "model", n_slots=64) for n in "ab")
    made = daemon(servers=(*servers, *(deployment.server(n) for n in "cd")))
    streams = [
        made.arrive(f"s{n}", "digest", prompt=deployment.prompt(500)) for n in range(8)
    ]
    routes = (
        *deployment.ROUTES,
        deployment.route("poison", "safe", service="model"),
    )
    made.handle(events.TableRead(deployment.table(2, routes)))
    for n in range(40):
        sent = made.arrive(f"p{n}", "poison")
        for effect in made.end(sent, "answered", status=500):
            if isinstance(effect, effects.SendToServer):
                made.end(effect, "answered", status=500)
    went_on = [made.end(sent, "lost", is_committed=True)[0] for sent in streams]
    assert all(isinstance(effect, effects.SendToServer) for effect in went_on)


def test_home_bound_request_never_reaches_a_server_elsewhere():
    made = daemon(peers=(PEER,))
    assert isinstance(made.arrive("1", "home"), effects.Refuse)
    made.handle(events.PeerSaid("vm-2", deployment.loads("west")))
    sent = made.arrive("2", "home")
    assert isinstance(sent, effects.SendToPeer)
    assert sent.entry.region == "west"
    relayed = deployment.request("3", "home", is_relayed=True)
    [effect] = made.handle(events.RequestArrived(relayed))
    assert isinstance(effect, effects.Refuse)


def test_home_bound_request_is_not_relayed_to_a_region_that_is_no_home():
    made = daemon(peers=(PEER,))
    made.handle(events.PeerSaid("vm-2", deployment.loads("west")))
    far = deployment.route("far", "safe", allowed_regions=frozenset(["north"]))
    made.handle(events.TableRead(deployment.table(2, (far,))))
    assert isinstance(made.arrive("1", "far"), effects.Refuse)


def test_relayed_request_is_not_sent_on():
    made = deployment.Daemon(peers=(PEER,))
    made.handle(events.PeerSaid("vm-2", deployment.loads("west")))
    assert isinstance(made.arrive("1", "safe"), effects.SendToPeer)
    effect = made.arrive("2", "safe", is_relayed=True)
    assert effect.refusal.outcome is outcomes.Outcome.NOT_RUN


def test_relayed_request_of_a_newer_table_is_refused():
    made = daemon()
    effect = made.arrive("1", "safe", is_relayed=True, table_version=2)
    assert effect.refusal.reason is outcomes.Reason.NO_CONFIGURATION
    assert effect.refusal.retry_after_s is None


def test_other_daemon_of_a_region_is_asked_after_one_that_stops():
    peers = (PEER, deployment.entry("vm-3", "d2"))
    made = deployment.Daemon(peers=peers)
    made.handle(events.PeerSaid("vm-2", deployment.loads("west")))
    sent = made.arrive("1", "safe")
    [again] = made.end(sent, "not run", status=503)
    assert isinstance(again, effects.SendToPeer)
    assert again.entry.name != sent.entry.name
    sent = made.arrive("2", "safe")
    [refused] = made.end(sent, "not run", status=503, retry_after_s=0.5)
    assert isinstance(refused, effects.Refuse)


def test_stopping_daemon_takes_only_what_ends_in_time():
    made = daemon()
    made.handle(events.StopAsked())
    assert isinstance(made.arrive("1", "safe"), effects.SendToServer)
    assert isinstance(made.arrive("2", "safe", is_relayed=True), effects.Refuse)
    made.now_s += 3.5
    refusal = made.arrive("3", "safe").refusal
    assert refusal.reason is outcomes.Reason.STOPPING
    assert refusal.outcome is outcomes.Outcome.NOT_RUN
    assert not made.node.is_ready()


def test_older_table_never_replaces_a_newer_one():
    made = daemon()
    made.handle(events.TableRead(deployment.table(5, ())))
    made.handle(events.TableRead(deployment.table(4)))
    assert made.arrive("1", "safe").refusal.status == 404


def test_leaving_missing_and_evacuated_servers_get_nothing():
    made = daemon(servers=(deployment.server("a"),))
    leaving = attrs.evolve(deployment.server("a"), is_leaving=True)
    made.handle(events.ServersRead((leaving,)))
    assert isinstance(made.arrive("1", "safe"), effects.Refuse)
    made.handle(events.ServersRead((deployment.server("b"),)))
    assert made.arrive("2", "safe").server.id == "b"
    made.handle(events.EvacuationsRead(frozenset(["d1"])))
    assert isinstance(made.arrive("3", "safe"), effects.Refuse)


def test_servers_that_lapsed_in_an_outage_are_kept_until_it_has_settled():
    made = daemon(servers=(deployment.server("a"),))
    made.handle(events.ServersRead((), is_settled=False))
    assert isinstance(made.arrive("1", "safe"), effects.SendToServer)
    made.handle(events.ServersRead((), is_settled=True))
    assert isinstance(made.arrive("2", "safe"), effects.Refuse)


def test_domain_taken_back_is_cold():
    made = daemon(servers=(deployment.server("a"),))
    made.handle(events.EvacuationsRead(frozenset(["d1"])))
    made.handle(events.EvacuationsRead(frozenset()))
    n_sent = 0
    for n in range(20):
        n_sent += isinstance(made.arrive(str(n), "safe"), effects.SendToServer)
        made.now_s += 0.05
    assert n_sent <= 3


@pytest.mark.parametrize("n_daemons", [1, 3, 23, 127])
@pytest.mark.parametrize("lag_s", [0.0, 0.8])
def test_cold_server_gets_its_rate_from_all_daemons_together(n_daemons, lag_s):
    """All daemons have more requests than a server bears after it has come back."""
    names = [f"vm-{n}" for n in range(n_daemons)]
    entries = tuple(deployment.entry(name) for name in names)
    daemons = [deployment.Daemon((), entries, own=name) for name in names]
    lags = [random.Random(name).uniform(0.0, lag_s) for name in names]
    times = []
    for step in range(120):
        now_s = 100.0 + step * 0.05
        for index, made in enumerate(daemons):
            made.now_s = now_s
            if not made.node.state.servers.by_id and now_s >= 100.0 + lags[index]:
                servers = (deployment.server("a", warmup_remaining_s=5.0),)
                made.handle(events.ServersRead(servers))
            effect = made.arrive(f"{step}-{index}", "safe")
            if isinstance(effect, effects.SendToServer) and now_s < 105.0:
                times.append(now_s)
    busiest = max(sum(t <= u < t + 1.0 for u in times) for t in times)
    assert busiest <= 2.0 * 1.5 + 3
    assert len(times) >= 6
