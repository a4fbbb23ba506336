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


# Where the daemon knows as of when the store's changes are known here.


def make_dated_daemon(known_s=99.9):
    daemon = deployment.Daemon([engine("a"), engine("b")])
    daemon.handle(events.StoreContact(True, known_s))
    return daemon


def reach(daemon, server_id):
    """Make a connection to a server to which none had lasted."""
    return daemon.handle(events.ServerReached(f"{server_id}:9000"))


def stream_is_lost(daemon, sent):
    return daemon.end(sent, "lost", is_committed=True, is_disconnected=True)


def is_start_known(daemon, server_id):
    return daemon.node.state.servers.by_id[server_id].is_start_known


def test_stream_does_not_go_on_while_an_outage_of_the_store_is_not_noticed():
    # The store's last answer was before both servers were lost and reached again.
    daemon = make_dated_daemon()
    sent = begin(daemon, "1")
    for server_id in "ab":
        lose_and_reach(daemon, server_id)
    assert stream_is_lost(daemon, sent) == [effects.CheckStore()]
    [effect] = daemon.handle(events.StoreChecked(is_confirmed=False))
    assert isinstance(effect, effects.AbortStream)


def test_outage_that_is_noticed_later_casts_doubt_back():
    # Entries that were read since don't tell of servers that couldn't register.
    daemon = make_dated_daemon()
    lose_and_reach(daemon, "a")
    daemon.handle(events.ServersRead((engine("a"), engine("b"))))
    assert is_start_known(daemon, "a")
    changes = daemon.handle(events.StoreContact(False, 99.9))
    assert [effect.change for effect in changes] == ["a may have started again"]
    assert not is_start_known(daemon, "a")
    assert is_start_known(daemon, "b")


@pytest.mark.parametrize("is_current", [False, True])
def test_stream_is_not_sent_to_a_server_that_started_again_between_two_requests(
    is_current,
):
    # No connection was refused: it had started before the next one was opened.
    daemon = make_dated_daemon()
    sent = begin(daemon, "1")
    daemon.handle(events.StoreContact(is_current, 99.9))
    other = {"a": "b", "b": "a"}[sent.server.id]
    [resumed] = stream_is_lost(daemon, sent)
    assert resumed.server.id == other
    [cancelled, *_] = reach(daemon, other)
    assert isinstance(cancelled, effects.CancelAttempt)
    reach(daemon, sent.server.id)
    effects_after = daemon.handle(events.StoreChecked(is_confirmed=False))
    effects_after += daemon.tick(0.05)
    assert isinstance(effects_after[-1], effects.AbortStream)


def test_stream_goes_on_if_the_store_tells_that_the_server_is_the_same():
    daemon = make_dated_daemon()
    sent = begin(daemon, "1")
    other = {"a": "b", "b": "a"}[sent.server.id]
    [resumed] = stream_is_lost(daemon, sent)
    assert reach(daemon, other) == [
        effects.CancelAttempt("1", resumed.attempt_id),
        effects.CheckStore(),
    ]
    [effect] = daemon.handle(events.StoreChecked(is_confirmed=True))
    assert isinstance(effect, effects.SendToServer)
    assert effect.is_start_known


def test_word_of_a_store_after_an_outage_ends_no_doubt_before_it_has_settled():
    daemon = make_dated_daemon()
    reach(daemon, "a")
    sent = begin(daemon, "1")
    for server_id in "ab":
        reach(daemon, server_id)
    stream_is_lost(daemon, sent)
    [effect] = daemon.handle(events.StoreChecked(is_confirmed=True, is_settled=False))
    assert isinstance(effect, effects.AbortStream)


def test_stream_that_began_at_a_doubted_server_goes_on_once_the_store_has_told():
    daemon = make_dated_daemon()
    for server_id in "ab":
        reach(daemon, server_id)
    sent = begin(daemon, "1")
    assert not sent.is_start_known
    daemon.now_s += 0.4
    daemon.handle(events.StoreContact(True, daemon.now_s - 0.1))
    [effect] = stream_is_lost(daemon, sent)
    assert isinstance(effect, effects.SendToServer)


@pytest.mark.parametrize(
    ("is_confirmed", "expected"),
    [(True, effects.SendToServer), (False, effects.AbortStream)],
)
def test_stream_that_breaks_off_before_the_store_has_told_asks_it(
    is_confirmed, expected
):
    daemon = make_dated_daemon()
    for server_id in "ab":
        reach(daemon, server_id)
    sent = begin(daemon, "1")
    assert stream_is_lost(daemon, sent) == [effects.CheckStore()]
    [effect] = daemon.handle(events.StoreChecked(is_confirmed))
    assert isinstance(effect, expected)


def test_stream_waits_for_the_store_no_longer_than_a_take_up():
    daemon = make_dated_daemon()
    for server_id in "ab":
        reach(daemon, server_id)
    stream_is_lost(daemon, begin(daemon, "1"))
    assert daemon.tick(0.3) == []
    [effect] = daemon.tick(0.15)
    assert isinstance(effect, effects.AbortStream)


def test_new_entry_of_the_server_is_not_doubted():
    daemon = make_dated_daemon()
    reach(daemon, "a")
    restarted = deployment.server(
        "a", "model", n_slots=64, version="v2", start_time_ms=7
    )
    daemon.handle(events.ServersRead((restarted, engine("b"))))
    assert is_start_known(daemon, "a")


def test_servers_without_versions_are_not_doubted():
    daemon = deployment.Daemon([engine("a", ""), engine("b", "")])
    daemon.handle(events.StoreContact(True, 99.9))
    for server_id in "ab":
        assert reach(daemon, server_id) == []
        lose_and_reach(daemon, server_id)
        assert is_start_known(daemon, server_id)


def test_forwarded_stream_waits_as_its_origin_is_told_with_the_first_event():
    daemon = make_dated_daemon()
    for server_id in "ab":
        reach(daemon, server_id)
    assert daemon.arrive("1", "digest", is_relayed=True) == effects.CheckStore()
    [sent] = daemon.handle(events.StoreChecked(is_confirmed=True))
    assert sent.is_start_known


def test_forwarded_stream_begins_at_a_doubted_server_if_the_store_is_away():
    daemon = make_dated_daemon()
    for server_id in "ab":
        reach(daemon, server_id)
    daemon.arrive("1", "digest", is_relayed=True)
    [sent] = daemon.handle(events.StoreChecked(is_confirmed=False))
    assert not sent.is_start_known
