"""Lost paths to servers, the probes that look for them, and the ways around them."""

import pytest

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    crash_reports,
    effects,
    events,
    load_messages,
    path_handlers,
    request_handlers,
    server_path,
)
from bilberryridge.decisions.ingress.tests import deployment

NEIGHBOURS = (deployment.entry("vm-2"), deployment.entry("vm-3"))
REMOTE = deployment.entry("vm-9", "d2")
LOST_THERE = load_messages.ServerShare(is_unreachable=True)


def make_daemon(names="a", peers=NEIGHBOURS):
    return deployment.Daemon([deployment.server(name) for name in names], peers)


def probe(daemon, name, is_connected):
    return daemon.handle(events.ProbeEnded(name, 0, is_connected))


def lose_paths(daemon, names="a"):
    for name in names:
        daemon.handle(events.Tick())
        daemon.node.state.servers.by_id[name].path.record_failure(daemon.now_s)


def tell_lost(daemon, vm, names="a"):
    shares = dict.fromkeys(names, LOST_THERE)
    daemon.handle(events.PeerSaid(vm, load_messages.DaemonLoads(shares)))


def probed(emitted):
    return [e.server.id for e in emitted if isinstance(e, effects.ProbeServer)]


def probed_after(daemon, seconds):
    daemon.now_s += seconds
    return probed(daemon.handle(events.Tick()))


def test_request_is_sent_through_a_neighbour_where_the_path_is_lost():
    daemon = make_daemon()
    sent = daemon.arrive("1", "unsafe")
    [relayed] = daemon.end(sent, "not sent")
    assert isinstance(relayed, effects.SendToPeer)
    assert relayed.entry in NEIGHBOURS


def test_neighbours_share_what_is_sent_through_them():
    daemon = make_daemon()
    lose_paths(daemon)
    names = [daemon.arrive(f"{n}", "safe").entry.name for n in range(10)]
    assert {names.count(entry.name) for entry in NEIGHBOURS} == {5}


def test_neighbour_that_lost_its_path_too_is_not_asked():
    daemon = make_daemon()
    lose_paths(daemon)
    tell_lost(daemon, "vm-2")
    assert {daemon.arrive(f"{n}", "safe").entry.name for n in range(5)} == {"vm-3"}
    tell_lost(daemon, "vm-3")
    [refused] = [daemon.arrive("9", "safe")]
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN


def test_relayed_request_is_not_relayed_again():
    daemon = make_daemon()
    lose_paths(daemon)
    refused = daemon.arrive("1", "safe", is_relayed=True)
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN
    assert refused.refusal.retry_after_s is None


def test_neighbour_that_refuses_is_left_alone_for_a_while():
    daemon = make_daemon()
    lose_paths(daemon)
    sent = daemon.arrive("1", "unsafe")
    [other] = daemon.end(sent, "not run", status=503)
    assert {sent.entry, other.entry} == set(NEIGHBOURS)
    assert daemon.arrive("2", "unsafe").entry == other.entry


def test_request_is_sent_to_another_region_if_no_neighbour_has_a_path():
    daemon = make_daemon(peers=(*NEIGHBOURS, REMOTE))
    daemon.handle(events.PeerSaid("vm-9", deployment.loads("west")))
    lose_paths(daemon)
    for entry in NEIGHBOURS:
        tell_lost(daemon, entry.name)
    assert daemon.arrive("1", "safe").entry == REMOTE


@pytest.mark.parametrize(("failure_rate", "is_near"), [(0.0, True), (1.0, False)])
def test_server_that_fails_for_neighbours_is_not_reached_through_them(
    failure_rate, is_near
):
    daemon = make_daemon(peers=(*NEIGHBOURS, REMOTE))
    daemon.handle(events.PeerSaid("vm-9", deployment.loads("west")))
    lose_paths(daemon)
    share = load_messages.ServerShare(failure_rate=failure_rate)
    daemon.handle(events.PeerSaid("vm-2", load_messages.DaemonLoads({"a": share})))
    assert (daemon.arrive("1", "safe").entry in NEIGHBOURS) == is_near


def test_daemon_that_is_cut_off_in_another_region_is_not_asked():
    daemon = make_daemon("", peers=(REMOTE, deployment.entry("vm-8", "d2")))
    loads = deployment.loads("west")
    loads = load_messages.RegionLoads("west", loads.by_service, frozenset(["vm-9"]))
    daemon.handle(events.PeerSaid("vm-9", loads))
    assert {daemon.arrive(f"{n}", "safe").entry.name for n in range(8)} == {"vm-8"}


def test_home_bound_request_is_not_sent_through_a_neighbour_elsewhere():
    daemon = make_daemon()
    lose_paths(daemon)
    assert isinstance(daemon.arrive("1", "home"), effects.Refuse)


def test_lost_path_is_told_once_and_doesnt_count_as_a_failure():
    daemon = make_daemon()
    sent = daemon.arrive("1", "unsafe")
    daemon.end(sent, "not sent")
    assert daemon.node.state.servers.by_id["a"].failure_rate(daemon.now_s) == 0.0
    shares = [
        effect.message.by_server["a"]
        for effect in daemon.tick(0.2)
        if isinstance(effect, effects.SendPeerMessage)
        and isinstance(effect.message, load_messages.DaemonLoads)
    ]
    assert [share.is_unreachable for share in shares] == [True] * len(NEIGHBOURS)


def test_probes_find_a_path_again_without_callers():
    daemon = make_daemon(peers=())
    sent = daemon.arrive("1", "unsafe")
    daemon.end(sent, "not sent")
    daemon.now_s += 10.0
    assert isinstance(daemon.arrive("2", "unsafe"), effects.Refuse)
    assert probed(daemon.handle(events.Tick())) == ["a"]
    probe(daemon, "a", is_connected=True)
    assert isinstance(daemon.arrive("3", "unsafe"), effects.SendToServer)


def test_probes_of_a_lost_path_are_bounded():
    daemon = make_daemon(peers=())
    lose_paths(daemon)
    n_probes = 0
    for _ in range(600):
        daemon.now_s += 0.05
        for name in probed(daemon.handle(events.Tick())):
            n_probes += 1
            probe(daemon, name, is_connected=False)
    assert n_probes <= 30.0 / server_path.MAX_PROBE_AFTER_S + 6


def test_probe_of_an_earlier_start_tells_nothing():
    daemon = make_daemon(peers=())
    lose_paths(daemon)
    daemon.handle(events.ProbeEnded("a", 7, True))
    assert isinstance(daemon.arrive("1", "unsafe"), effects.Refuse)


def test_silent_server_is_probed_and_not_put_aside_if_it_connects():
    daemon = make_daemon("ab", peers=())
    sent = daemon.arrive("1", "safe")
    ended = events.AttemptEnded(
        "1", sent.attempt_id, events.AttemptResult.LOST, is_silent=True
    )
    assert probed(daemon.handle(ended)) == [sent.server.id]
    probe(daemon, sent.server.id, is_connected=True)
    assert daemon.node.state.servers.by_id[sent.server.id].path.is_open


def test_paths_lost_together_put_the_others_in_doubt():
    daemon = make_daemon("abcd")
    sent = daemon.arrive("1", "unsafe")
    [sent] = daemon.end(sent, "not sent")
    emitted = daemon.handle(
        events.AttemptEnded("1", sent.attempt_id, events.AttemptResult.NOT_SENT)
    )
    assert len(probed(emitted)) == 2
    assert isinstance(daemon.arrive("2", "unsafe"), effects.SendToPeer)
    for name in probed(emitted):
        probe(daemon, name, is_connected=True)
    assert isinstance(daemon.arrive("3", "unsafe"), effects.SendToServer)


def test_path_in_doubt_is_used_if_there_is_no_other_way():
    daemon = make_daemon("abc", peers=())
    sent = daemon.arrive("1", "unsafe")
    [sent] = daemon.end(sent, "not sent")
    [sent] = daemon.end(sent, "not sent")
    assert isinstance(sent, effects.SendToServer)


def n_daemons_that_probe_for_a_neighbour(n_daemons, heard_before_s):
    names = [f"vm-{n}" for n in range(n_daemons)]
    n_probing = 0
    for own in names[1:]:
        peers = [deployment.entry(name) for name in names if name != own]
        daemon = deployment.Daemon([deployment.server("a")], peers, own=own)
        server = daemon.node.state.servers.by_id["a"]
        server.heard_s = daemon.now_s - heard_before_s
        loads = load_messages.DaemonLoads({"a": LOST_THERE})
        n_probing += probed(daemon.handle(events.PeerSaid(names[0], loads))) == ["a"]
        assert probed(daemon.handle(events.PeerSaid(names[0], loads))) == []
    return n_probing


@pytest.mark.parametrize(
    ("n_daemons", "heard_before_s", "n_probing"),
    [(3, 0.1, 2), (3, 5.0, 2), (12, 5.0, 11), (12, 0.1, path_handlers.N_WITNESSES)],
)
def test_path_that_a_neighbour_lost_is_probed_by_few_of_those_that_just_used_it(
    n_daemons, heard_before_s, n_probing
):
    assert n_daemons_that_probe_for_a_neighbour(n_daemons, heard_before_s) == n_probing


def n_reached_told(daemon, vm):
    """Return what a daemon tells of its probes for one that has lost its path."""
    told = [
        effect.message.by_server["a"].n_reached
        for effect in daemon.tick(0.2)
        if isinstance(effect, effects.SendPeerMessage)
        and isinstance(effect.message, load_messages.DaemonLoads)
        and effect.vm == vm
        and "a" in effect.message.by_server
    ]
    return sum(told)


def test_probe_that_connects_is_told_to_a_daemon_that_lost_its_path():
    daemon = make_daemon()
    daemon.tick(0.2)
    tell_lost(daemon, "vm-2")
    probe(daemon, "a", is_connected=True)
    assert [n_reached_told(daemon, "vm-2") for _ in range(3)] == [1, 0, 0]


def test_probe_that_began_before_a_daemon_lost_its_path_shows_nothing():
    daemon = make_daemon()
    tell_lost(daemon, "vm-2")
    daemon.now_s += 0.01
    tell_lost(daemon, "vm-3")
    probe(daemon, "a", is_connected=True)
    assert n_reached_told(daemon, "vm-3") == 0
    assert probed_after(daemon, server_path.MIN_PROBE_INTERVAL_S) == ["a"]
    probe(daemon, "a", is_connected=True)
    assert n_reached_told(daemon, "vm-3") == 1


def test_server_that_is_silent_until_the_deadline_is_probed():
    daemon = make_daemon("a", peers=())
    timeout_s = path_handlers.UNANSWERED_S + 0.1
    daemon.arrive("1", "unsafe", caller_timeout_s=timeout_s)
    daemon.now_s += timeout_s
    assert probed(daemon.handle(events.Tick())) == ["a"]


def region_loads(daemon):
    [message, *_] = [
        effect.message
        for effect in daemon.handle(events.LinkUp(REMOTE))
        if isinstance(effect, effects.SendPeerMessage)
        and isinstance(effect.message, load_messages.RegionLoads)
    ]
    return message


def test_region_tells_of_servers_that_any_of_its_daemons_reaches():
    daemon = make_daemon("ab")
    lose_paths(daemon, "ab")
    tell_lost(daemon, "vm-2", "ab")
    told = region_loads(daemon)
    assert told.by_service["desk"].n_servers == 2
    assert told.cut_off == {"vm-1", "vm-2"}
    tell_lost(daemon, "vm-3", "ab")
    assert "desk" not in region_loads(daemon).by_service


def test_stream_goes_on_through_a_neighbour_at_its_version():
    servers = [
        deployment.server(name, "model", n_slots=64, version=version)
        for name, version in (("a", "v1"), ("b", "v2"))
    ]
    daemon = deployment.Daemon(servers, NEIGHBOURS)
    sent = daemon.arrive("1", "digest", prompt=deployment.prompt())
    ids = (sent.request_id, sent.attempt_id)
    daemon.handle(events.AttemptBegan(*ids, is_committed=True))
    lose_paths(daemon, "ab")
    [relayed] = daemon.end(sent, "lost", is_committed=True)
    assert isinstance(relayed, effects.SendToPeer)
    assert relayed.origin == ingress.StreamOrigin("model", sent.server.version)


def lose_connection(daemon, request_id):
    """End a request's attempt by the loss of its connection and path."""
    sent = daemon.arrive(request_id, "unsafe", content_id="c1")
    daemon.end(sent, "lost", is_disconnected=True)
    probe(daemon, sent.server.id, is_connected=False)
    return sent.server.id


def crash_reports_told(daemon, for_s):
    told = []
    for _ in range(round(for_s / 0.05)):
        told += [
            effect.message.server
            for effect in daemon.tick(0.05)
            if isinstance(effect, effects.SendPeerMessage)
            and isinstance(effect.message, crash_reports.Report)
        ]
    return set(told)


def tell_reached(daemon, vm, name):
    daemon.now_s += 0.01
    share = load_messages.ServerShare(n_reached=1)
    daemon.handle(events.PeerSaid(vm, load_messages.DaemonLoads({name: share})))


def test_log_tells_why_a_lost_server_is_not_counted_as_crashed():
    daemon = make_daemon("abcd")
    name = lose_connection(daemon, "1")
    tell_reached(daemon, "vm-3", name)
    [line] = [
        effect
        for effect in daemon.tick(0.2)
        if isinstance(effect, effects.LogStateChange) and effect.subject == "crash"
    ]
    assert line.log_fields == {"reason": "path lost", "contents": ["c1"]}


def test_lost_path_is_not_taken_for_a_crash_under_a_request():
    daemon = make_daemon("abcd")
    for n in range(3):
        name = lose_connection(daemon, f"{n}")
        tell_reached(daemon, "vm-3", name)
        assert crash_reports_told(daemon, 2.0) == set()
    sent = daemon.arrive("9", "unsafe", content_id="c1")
    assert not isinstance(sent, effects.Refuse)


@pytest.mark.parametrize("told_by", [[], ["vm-2"], ["vm-2", "vm-3"]])
def test_crash_is_told_unless_another_daemon_shows_that_it_reaches_the_server(told_by):
    daemon = make_daemon("abcd")
    tell_reached(daemon, "vm-2", "a")
    name = lose_connection(daemon, "1")
    for vm in told_by:
        tell_lost(daemon, vm, name)
    assert crash_reports_told(daemon, 2.0) == {f"{name}.0"}


def test_crash_is_told_at_once_when_no_daemon_reaches_the_server():
    daemon = make_daemon("abcd")
    name = lose_connection(daemon, "1")
    for entry in NEIGHBOURS:
        tell_lost(daemon, entry.name, name)
    assert crash_reports_told(daemon, 0.2) == {f"{name}.0"}


def test_crash_is_told_at_once_where_no_other_daemon_can_tell():
    daemon = make_daemon("abcd", peers=(REMOTE,))
    name = lose_connection(daemon, "1")
    assert crash_reports_told(daemon, 0.2) == {f"{name}.0"}


@pytest.mark.parametrize(("is_connected", "names"), [(False, {"a.0"}), (True, set())])
def test_crash_is_told_though_the_end_of_another_answer_is_late(is_connected, names):
    engine = deployment.server("a", "model", n_slots=64)
    daemon = deployment.Daemon([engine], peers=(REMOTE,))
    going_on = daemon.arrive("1", "query", prompt=deployment.prompt())
    daemon.handle(events.AttemptBegan("1", going_on.attempt_id, is_committed=True))
    sent = daemon.arrive("2", "query", prompt=deployment.prompt(), content_id="c")
    daemon.end(sent, "lost", is_disconnected=True)
    probe(daemon, "a", is_connected)
    assert crash_reports_told(daemon, 0.5) == names


def test_neighbour_takes_no_more_relayed_requests_than_it_can_serve():
    daemon = deployment.Daemon([deployment.server("a", n_slots=1_000)])
    taken = [
        daemon.arrive(f"{n}", "safe", is_relayed=True)
        for n in range(request_handlers.MAX_OPEN_RELAYED + 5)
    ]
    refused = [each for each in taken if isinstance(each, effects.Refuse)]
    assert len(refused) == 5
    assert refused[0].refusal.outcome is outcomes.Outcome.NOT_RUN
    assert refused[0].refusal.retry_after_s > 0
    assert isinstance(daemon.arrive("own", "safe"), effects.SendToServer)
    daemon.end(taken[0], "answered", status=200)
    assert isinstance(
        daemon.arrive("next", "safe", is_relayed=True), effects.SendToServer
    )


def test_lost_path_whose_probe_is_late_is_not_taken_for_a_crash():
    daemon = make_daemon("abcd")
    sent = daemon.arrive("1", "unsafe", content_id="c1")
    daemon.end(sent, "lost", is_disconnected=True)
    assert crash_reports_told(daemon, 0.4) == set()
    probe(daemon, sent.server.id, is_connected=False)
    tell_reached(daemon, "vm-2", sent.server.id)
    assert crash_reports_told(daemon, 2.0) == set()


def test_path_of_a_request_that_waits_in_silence_is_probed_once():
    daemon = make_daemon()
    daemon.arrive("1", "unsafe")
    assert probed_after(daemon, 0.25) == []
    assert probed_after(daemon, 0.1) == ["a"]
    probe(daemon, "a", is_connected=True)
    assert [probed_after(daemon, 0.1) for _ in range(20)] == 20 * [[]]
    assert isinstance(daemon.arrive("2", "unsafe"), effects.SendToServer)


def test_no_request_follows_one_that_waits_at_a_path_whose_probe_fails():
    daemon = make_daemon()
    daemon.arrive("1", "unsafe")
    daemon.tick(0.35)
    probe(daemon, "a", is_connected=False)
    assert daemon.arrive("2", "unsafe").entry in NEIGHBOURS


def test_path_to_a_slow_server_that_answers_others_is_not_probed():
    daemon = make_daemon()
    daemon.arrive("1", "unsafe")
    later = daemon.arrive("2", "safe")
    daemon.tick(0.2)
    daemon.handle(events.ServerSaid("2", later.attempt_id))
    assert [probed_after(daemon, 0.1) for _ in range(20)] == 20 * [[]]


@pytest.mark.parametrize("was_lost", [True, False])
def test_lost_path_is_in_doubt_when_its_server_starts_again(was_lost):
    daemon = make_daemon("ab")
    if was_lost:
        lose_paths(daemon)
    started = deployment.server("a", start_time_ms=2)
    daemon.handle(events.ServersRead((started, deployment.server("b"))))
    before = {daemon.arrive(f"{n}", "safe").server.id for n in range(6)}
    assert ("a" in before) != was_lost
    assert probed_after(daemon, 0.05) == (["a"] if was_lost else [])
    daemon.handle(events.ProbeEnded("a", 2, is_connected=True))
    names = {daemon.arrive(f"later-{n}", "safe").server.id for n in range(9)}
    assert "a" in names
