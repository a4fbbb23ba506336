"""Which streams that callers take up go on, where, and what tells their origin."""

import attrs
import pytest

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    effects,
    events,
    load_messages,
    stream_origins,
    take_ups,
)
from bilberryridge.decisions.ingress.tests import deployment

OLD, NEW = (ingress.StreamOrigin("model", version) for version in ("v1", "v2"))
UNKNOWN = outcomes.Reason.STREAM_ORIGIN_UNKNOWN


def server(server_id, origin, **changes):
    return deployment.server(
        server_id, origin.service, n_slots=64, version=origin.version, **changes
    )


SERVERS = (server("a", OLD), server("b", NEW))


def make_daemon(servers=SERVERS, peers=()):
    return deployment.Daemon(servers, peers)


def begin(daemon, request_id, path="digest"):
    """Begin a stream; return the version of its server."""
    sent = daemon.arrive(request_id, path, prompt=deployment.prompt())
    daemon.handle(events.AttemptBegan(request_id, sent.attempt_id, is_committed=True))
    daemon.handle(events.CallerGone(request_id))
    return sent.server.version


def take_up(daemon, request_id, taken_up_id, path="digest", **changes):
    """Take a stream up; return the last effect, that decides."""
    req = deployment.request(
        request_id,
        path,
        prompt=deployment.prompt(),
        last_event_id="3",
        taken_up_id=taken_up_id,
        **changes,
    )
    return arrive_checked(daemon, req)


def arrive_checked(daemon, req):
    """Let a request arrive, and the store confirm what is known, if it is asked."""
    effect = daemon.handle(events.RequestArrived(req))[-1]
    if isinstance(effect, effects.CheckStore):
        effect = daemon.handle(events.StoreChecked(is_confirmed=True))[-1]
    return effect


def take_up_waiting(daemon, request_id):
    """Take up an unknown stream where one version is known; it waits for the store."""
    req = deployment.request(
        request_id,
        "digest",
        prompt=deployment.prompt(),
        last_event_id="3",
        taken_up_id="unknown",
    )
    return daemon.handle(events.RequestArrived(req))


def test_single_version_is_concluded_only_when_the_store_has_confirmed_it():
    daemon = make_daemon((server("a", OLD),))
    assert take_up_waiting(daemon, "1") == [effects.CheckStore()]
    assert take_up_waiting(daemon, "2") == []
    sent = daemon.handle(events.StoreChecked(is_confirmed=True))[-1]
    assert sent.request_id == "1"
    assert effects.CheckStore() in daemon.tick(0.05)
    daemon.handle(events.ServersRead((*SERVERS,)))
    [refused] = daemon.handle(events.StoreChecked(is_confirmed=True))
    assert (refused.request_id, reason_of(refused)) == ("2", UNKNOWN)


def test_take_up_is_refused_at_once_where_the_store_confirms_nothing():
    daemon = make_daemon((server("a", OLD),))
    take_up_waiting(daemon, "1")
    [refused] = daemon.handle(events.StoreChecked(is_confirmed=False))
    assert reason_of(refused) is UNKNOWN
    take_up_waiting(daemon, "2")
    refused = [e for e in daemon.tick(take_ups.MAX_CHECK_S) if reason_of(e) is UNKNOWN]
    assert [e.request_id for e in refused] == ["2"]
    assert daemon.handle(events.StoreChecked(is_confirmed=True)) == []


def test_take_up_whose_caller_leaves_waits_no_longer():
    daemon = make_daemon((server("a", OLD),))
    take_up_waiting(daemon, "1")
    daemon.handle(events.CallerGone("1"))
    assert daemon.handle(events.StoreChecked(is_confirmed=True)) == []


def reason_of(effect):
    return effect.refusal.reason if isinstance(effect, effects.Refuse) else None


def test_stream_goes_on_at_the_version_that_began_it():
    daemon = make_daemon()
    begun = {f"{n}": begin(daemon, f"{n}") for n in range(8)}
    for n, version in begun.items():
        sent = take_up(daemon, f"t{n}", f"c{n}")
        assert sent.server.version == version


def test_stream_taken_up_twice_goes_on_at_the_version_that_began_it():
    daemon = make_daemon()
    version = begin(daemon, "1")
    for n in range(2, 6):
        sent = take_up(daemon, f"{n}", "c1")
        assert sent.server.version == version
        ids = (sent.request_id, sent.attempt_id)
        daemon.handle(events.AttemptBegan(*ids, is_committed=True))
        daemon.handle(events.CallerGone(sent.request_id))


def test_unknown_stream_is_refused_at_once_as_not_run():
    effect = take_up(make_daemon(), "1", "unknown")
    assert reason_of(effect) is UNKNOWN
    refusal = effect.refusal
    assert (refusal.status, refusal.outcome) == (503, outcomes.Outcome.NOT_RUN)
    assert refusal.retry_after_s is None


@pytest.mark.parametrize("version", ["v1", ""])
def test_unknown_stream_goes_on_where_all_servers_have_one_version(version):
    origin = ingress.StreamOrigin("model", version)
    daemon = make_daemon((server("a", origin), server("b", origin)))
    assert isinstance(take_up(daemon, "1", "unknown"), effects.SendToServer)


def test_unknown_stream_is_refused_while_the_store_is_not_heard():
    daemon = make_daemon((server("a", OLD),))
    daemon.handle(events.StoreContact(is_current=False))
    assert reason_of(take_up(daemon, "1", "unknown")) is UNKNOWN
    daemon.handle(events.StoreContact(is_current=True))
    assert isinstance(take_up(daemon, "2", "unknown"), effects.SendToServer)


@pytest.mark.parametrize("domain", ["d1", "d2"])
def test_version_that_has_left_counts_until_its_streams_are_over(domain):
    left = server("b", NEW, domain=domain)
    daemon = make_daemon((server("a", OLD), left))
    daemon.handle(events.ServersRead((server("a", OLD),)))
    assert reason_of(take_up(daemon, "1", "unknown")) is UNKNOWN
    daemon.now_s += stream_origins.KEEP_S
    daemon.handle(events.ServersRead((server("a", OLD),)))
    assert isinstance(take_up(daemon, "2", "unknown"), effects.SendToServer)


def test_version_that_only_the_store_tells_of_counts():
    daemon = make_daemon((server("b", NEW),))
    stream = stream_origins.StreamRecord("c1", OLD)
    daemon.handle(events.StreamsRead((stream,)))
    assert reason_of(take_up(daemon, "1", "unknown")) is UNKNOWN
    assert reason_of(take_up(daemon, "2", "c1")) is outcomes.Reason.NO_SERVER


def test_id_of_two_streams_tells_nothing():
    daemon = make_daemon()
    for origin in (OLD, NEW):
        stream = stream_origins.StreamRecord("c1", origin)
        daemon.handle(events.StreamsRead((stream,)))
    assert reason_of(take_up(daemon, "1", "c1")) is UNKNOWN


def test_stream_of_a_service_that_the_route_no_longer_has_is_refused():
    daemon = make_daemon((*SERVERS, deployment.server("c", "desk", n_slots=64)))
    begin(daemon, "1")
    routes = (deployment.route("digest", "stream", is_resumable=True),)
    daemon.handle(events.TableRead(deployment.table(2, routes)))
    assert reason_of(take_up(daemon, "2", "c1")) is UNKNOWN


def test_stream_of_a_route_with_several_services_goes_on_at_its_own():
    shares = tuple(ingress.TrafficShare(name) for name in ("model", "desk"))
    route = deployment.route("digest", "stream", is_resumable=True, shares=shares)
    daemon = make_daemon((server("a", OLD), deployment.server("c", "desk")))
    daemon.handle(events.TableRead(deployment.table(2, (route,))))
    assert reason_of(take_up(daemon, "1", "unknown")) is UNKNOWN
    stream = stream_origins.StreamRecord("c1", OLD)
    daemon.handle(events.StreamsRead((stream,)))
    for n in range(10):
        assert take_up(daemon, f"t{n}", "c1").server.id == "a"


def test_stream_whose_version_has_left_is_refused_for_good():
    daemon = make_daemon((server("a", OLD, is_leaving=True), server("b", NEW)))
    stream = stream_origins.StreamRecord("c1", OLD)
    daemon.handle(events.StreamsRead((stream,)))
    effect = take_up(daemon, "1", "c1")
    assert reason_of(effect) is outcomes.Reason.NO_SERVER
    assert effect.refusal.retry_after_s is None


LONG_PROMPT = ingress.Prompt(1_000, 4_000)


def test_stream_is_taken_up_though_its_latency_goal_has_passed():
    """Its first event has reached the caller in time."""
    daemon = make_daemon((server("a", OLD),))
    take_up(daemon, "0", "c1")
    for n in range(1, 40):
        prompt = deployment.prompt(3_000)
        arrived = deployment.request(f"{n}", "digest", prompt=prompt)
        daemon.handle(events.RequestArrived(arrived))
    sent = take_up(daemon, "t", "c1", caller_timeout_s=6.0)
    assert isinstance(sent, effects.SendToServer)


@pytest.mark.parametrize(("n_events", "is_sent"), [(3, False), (3_900, True)])
def test_stream_is_taken_up_if_the_rest_of_it_can_still_be_written(n_events, is_sent):
    daemon = make_daemon((server("a", OLD),))
    req = deployment.request(
        "1",
        "digest",
        prompt=LONG_PROMPT,
        last_event_id=f"{n_events}",
        taken_up_id="c1",
        n_received_events=n_events,
        caller_timeout_s=2.0,
    )
    sent = arrive_checked(daemon, req)
    assert isinstance(sent, effects.SendToServer) == is_sent


@pytest.mark.parametrize(("fraction", "is_sent"), [(0.15, False), (0.4, True)])
def test_stream_is_taken_up_at_worse_odds_than_a_new_one(fraction, is_sent):
    daemon = make_daemon((server("a", OLD),))
    n_left = LONG_PROMPT.n_answer_tokens - 1_000
    expected_s = n_left * daemon.node.state.servers.by_id["a"].inter_token_s(100.0)
    req = deployment.request(
        "1",
        "digest",
        prompt=LONG_PROMPT,
        last_event_id="1000",
        taken_up_id="c1",
        n_received_events=1_000,
        caller_timeout_s=fraction * expected_s,
    )
    sent = arrive_checked(daemon, req)
    assert isinstance(sent, effects.SendToServer) == is_sent
    new = attrs.evolve(req, id="2", last_event_id="", n_received_events=0)
    assert isinstance(daemon.handle(events.RequestArrived(new))[-1], effects.Refuse)


def test_daemons_of_the_region_are_told_of_streams():
    daemon = make_daemon(peers=(deployment.entry("vm-2"),))
    version = begin(daemon, "1")
    begin(daemon, "2", "query")
    told = [
        effect.message.streams
        for effect in daemon.tick(0.2)
        if isinstance(effect, effects.SendPeerMessage)
        and isinstance(effect.message, load_messages.DaemonLoads)
    ]
    origin = ingress.StreamOrigin("model", version)
    assert told == [(stream_origins.StreamRecord("c1", origin),)]


def test_daemon_that_is_linked_again_is_told_of_its_own_streams():
    daemon = make_daemon()
    stream = stream_origins.StreamRecord("c9", OLD)
    message = load_messages.DaemonLoads({}, (stream,))
    daemon.handle(events.PeerSaid("vm-2", message))
    linked = daemon.handle(events.LinkUp(deployment.entry("vm-2", incarnation="i2")))
    streams = [
        effect.message.streams
        for effect in linked
        if isinstance(effect, effects.SendPeerMessage)
        and isinstance(effect.message, load_messages.DaemonLoads)
    ]
    assert (stream,) in streams


def saved(daemon, seconds=take_ups.SAVE_INTERVAL_S):
    return [
        stream.id
        for effect in daemon.tick(seconds)
        if isinstance(effect, effects.StoreStreams)
        for stream in effect.streams
    ]


def test_store_is_given_streams_only_while_a_service_has_several_versions():
    daemon = make_daemon((server("a", OLD),))
    begin(daemon, "1")
    assert saved(daemon) == []
    daemon.handle(events.ServersRead(SERVERS))
    assert saved(daemon) == ["c1"]
    begin(daemon, "2")
    assert saved(daemon, 0.1) == []
    assert saved(daemon) == ["c2"]
    assert saved(daemon) == []


def test_streams_are_forgotten_in_time():
    daemon = make_daemon((server("a", OLD),))
    begin(daemon, "1")
    daemon.tick(stream_origins.KEEP_S)
    daemon.handle(events.ServersRead(SERVERS))
    assert saved(daemon) == []
    assert reason_of(take_up(daemon, "2", "c1")) is UNKNOWN


def test_relayed_stream_goes_on_through_a_region_that_has_its_version():
    west = deployment.entry("vm-2", "d2")
    daemon = make_daemon((server("b", NEW), server("c", OLD, domain="d2")), (west,))
    daemon.handle(events.PeerSaid("vm-2", deployment.loads("west")))
    stream = stream_origins.StreamRecord("c1", OLD)
    daemon.handle(events.StreamsRead((stream,)))
    sent = take_up(daemon, "1", "c1")
    assert isinstance(sent, effects.SendToPeer)
    assert sent.origin == OLD


def test_relayed_request_goes_on_at_the_version_that_its_daemon_names():
    daemon = make_daemon()
    for n, origin in enumerate((OLD, NEW) * 3):
        sent = take_up(daemon, f"{n}", "unknown", is_relayed=True, origin=origin)
        assert sent.server.version == origin.version


def test_region_without_a_version_is_not_asked_again_for_that_request_only():
    west = [deployment.entry(name, "d2") for name in ("vm-2", "vm-3")]
    there = (server("b", NEW), server("c", OLD, domain="d2"))
    serving = make_daemon(there[:1])
    refused = take_up(serving, "1", "c1", is_relayed=True, origin=OLD)
    assert refused.refusal.retry_after_s is not None

    asking = make_daemon((*there, deployment.server("e")), west)
    asking.handle(events.PeerSaid("vm-2", deployment.loads("west")))
    asking.handle(events.StreamsRead((stream_origins.StreamRecord("c1", OLD),)))
    sent = take_up(asking, "1", "c1")
    [last] = asking.end(
        sent, "not run", status=503, retry_after_s=refused.refusal.retry_after_s
    )
    assert isinstance(last, effects.Refuse)
    assert not asking.node.state.peers_aside_until_s
