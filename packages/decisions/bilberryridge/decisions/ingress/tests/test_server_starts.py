"""Servers that were lost and are reached again while the store can't tell of them."""

import pytest

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import effects, events
from bilberryridge.decisions.ingress.tests import deployment

OLD, NEW = (ingress.StreamOrigin("model", version) for version in ("v1", "v2"))


def engine(server_id, version="v1"):
    return deployment.server(server_id, "model", n_slots=64, version=version)


def make_daemon(is_store_current):
    daemon = deployment.Daemon([engine("a"), engine("b")])
    daemon.handle(events.StoreContact(is_store_current))
    return daemon


def lose_and_reach(daemon, server_id):
    """Let a server refuse a connection and take the next."""
    start_ms = daemon.node.state.servers.by_id[server_id].record.start_time_ms
    for is_connected in (False, True):
        daemon.handle(events.ProbeEnded(server_id, start_ms, is_connected))
        daemon.now_s += 0.2


def begin(daemon, request_id):
    sent = daemon.arrive(request_id, "digest", prompt=deployment.prompt())
    daemon.handle(events.AttemptBegan(request_id, sent.attempt_id, is_committed=True))
    return sent


@pytest.mark.parametrize(
    ("is_store_current", "expected"),
    [(False, effects.AbortStream), (True, effects.SendToServer)],
)
def test_stream_does_not_go_on_at_a_server_that_may_have_started_again(
    is_store_current, expected
):
    daemon = make_daemon(is_store_current)
    sent = begin(daemon, "1")
    for server_id in "ab":
        lose_and_reach(daemon, server_id)
    [effect] = daemon.end(sent, "lost", is_committed=True, is_disconnected=True)
    assert isinstance(effect, expected)


def test_stream_that_began_at_such_a_server_goes_on_nowhere():
    daemon = make_daemon(is_store_current=False)
    for server_id in "ab":
        lose_and_reach(daemon, server_id)
    sent = begin(daemon, "1")
    assert not sent.is_start_known
    [effect] = daemon.end(sent, "lost", is_committed=True)
    assert isinstance(effect, effects.AbortStream)


def test_such_a_server_gets_requests_as_a_cold_one():
    daemon = make_daemon(is_store_current=False)
    for server_id in "ab":
        lose_and_reach(daemon, server_id)
    sent = [daemon.arrive(str(n), "query") for n in range(20)]
    n_sent = sum(isinstance(effect, effects.SendToServer) for effect in sent)
    assert 0 < n_sent <= 2


def test_word_of_the_store_ends_the_doubt():
    daemon = make_daemon(is_store_current=False)
    lose_and_reach(daemon, "a")
    daemon.handle(events.ServersRead((engine("a"), engine("b")), is_settled=False))
    assert not daemon.node.state.servers.by_id["a"].is_start_known
    daemon.handle(events.ServersRead((engine("a"), engine("b"))))
    assert daemon.node.state.servers.by_id["a"].is_start_known
