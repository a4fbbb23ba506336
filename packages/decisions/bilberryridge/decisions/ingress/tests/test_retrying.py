"""The bound of all daemons on requests that reach servers more than once."""

import pytest

from bilberryridge.decisions.ingress import effects, events
from bilberryridge.decisions.ingress.tests import deployment

PEER = deployment.entry("vm-2", "d2")


def make_daemon(**changes):
    servers = (deployment.server("a"), deployment.server("b"))
    return deployment.Daemon(servers=changes.pop("servers", servers), **changes)


def serve(daemon, n_requests, **changes):
    for n in range(n_requests):
        daemon.end(daemon.arrive(f"s{n}", "safe", **changes), "answered", status=200)


def test_issue_44_relayed_requests_do_not_raise_the_bound_on_repeats():
    daemon = make_daemon(retry_slack=0.0)
    serve(daemon, 100, is_relayed=True)
    [refused] = daemon.end(daemon.arrive("1", "safe"), "lost")
    assert isinstance(refused, effects.Refuse)
    assert refused.log_fields["no_retry"] == "budget"


@pytest.mark.parametrize(
    ("slack", "is_server_reached", "expected"),
    [
        (0.0, True, effects.Refuse),
        (50.0, True, effects.SendToServer),
        (0.0, False, effects.SendToServer),
    ],
)
def test_issue_44_what_a_server_elsewhere_turned_away_is_sent_on_as_a_repeat(
    slack, is_server_reached, expected
):
    daemon = make_daemon(servers=(), peers=(PEER,), retry_slack=slack)
    daemon.handle(events.PeerSaid("vm-2", deployment.loads()))
    sent = daemon.arrive("1", "unsafe")
    assert isinstance(sent, effects.SendToPeer)
    daemon.handle(events.ServersRead((deployment.server("a"),)))
    [effect] = daemon.end(
        sent,
        "not run",
        status=503,
        retry_after_s=0.5,
        is_server_reached=is_server_reached,
    )
    assert isinstance(effect, expected)


def test_issue_44_a_daemon_tells_another_that_a_server_turned_its_request_away():
    daemon = make_daemon()
    assert not daemon.arrive("0", "nowhere", is_relayed=True).is_server_reached
    sent = daemon.arrive("1", "safe", is_relayed=True)
    [refused] = daemon.end(sent, "not run", status=503)
    assert refused.is_server_reached


def fill(daemon, n_requests):
    return [daemon.arrive(f"f{n}", "unsafe") for n in range(n_requests)]


def test_issue_44_request_turned_away_by_a_full_server_waits_before_the_next_full_one():
    daemon = make_daemon()
    sent = daemon.arrive("1", "unsafe")
    fill(daemon, 12)
    assert daemon.end(sent, "not run", status=503) == []
    [again] = [e for e in daemon.tick(0.2) if isinstance(e, effects.SendToServer)]
    assert again.request_id == "1"
    assert again.server.id != sent.server.id


def test_request_turned_away_is_sent_to_a_server_with_room_at_once():
    daemon = make_daemon()
    sent = daemon.arrive("1", "unsafe")
    [again] = daemon.end(sent, "not run", status=503)
    assert isinstance(again, effects.SendToServer)


def test_caller_of_a_request_that_waits_to_be_placed_again_may_leave():
    daemon = make_daemon()
    sent = daemon.arrive("1", "unsafe")
    fill(daemon, 12)
    daemon.end(sent, "not run", status=503)
    daemon.handle(events.CallerGone("1"))
    sends = [e for e in daemon.tick(0.2) if isinstance(e, effects.SendToServer)]
    assert sends == []


@pytest.mark.parametrize(
    ("incarnation", "expected"), [("i0", effects.Refuse), ("i1", effects.SendToServer)]
)
def test_issue_44_daemon_whose_vm_had_another_begins_without_an_allowance(
    incarnation, expected
):
    entry = deployment.entry("vm-1", incarnation=incarnation)
    daemon = make_daemon(peers=(entry,))
    [effect] = daemon.end(daemon.arrive("1", "safe"), "lost")
    assert isinstance(effect, expected)
