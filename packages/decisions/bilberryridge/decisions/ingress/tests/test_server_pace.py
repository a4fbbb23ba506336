"""Pace of servers: momentary and lasting, and where placement uses which."""

import collections
import random

import pytest

from bilberryridge.core import ingress
from bilberryridge.decisions import rendezvous
from bilberryridge.decisions.ingress import events, load_messages, server_pace
from bilberryridge.decisions.ingress.tests import deployment

DIP = 2.5


def says(daemon, sent, pace):
    load = events.ServerLoad(0, 0, 6, pace)
    ids = (sent.request_id, sent.attempt_id)
    daemon.handle(events.ServerSaid(*ids, load=load))


def answer(daemon, sent, took_s, pace=None):
    """Let the first byte come after a time, with a statement in the head."""
    daemon.now_s += took_s
    if pace is not None:
        says(daemon, sent, pace)
    daemon.handle(events.AttemptBegan(sent.request_id, sent.attempt_id))
    daemon.end(sent, "answered", status=200, first_s=took_s, took_s=took_s)


@pytest.mark.parametrize("interval_s", [0.02, 0.3, 1.0])
def test_dips_do_not_move_the_lasting_pace(interval_s):
    """Guards against a lasting pace that follows the noise of the moment."""
    random_state = random.Random(3)
    pace = server_pace.ServerPace()
    now_s, dip_until_s, lasting = 10.0, 0.0, []
    while now_s < 200.0:
        if now_s >= dip_until_s and random_state.random() < interval_s / 3.4:
            dip_until_s = now_s + 0.6
        pace.record(1.3 * (DIP if now_s < dip_until_s else 1.0), now_s, now_s)
        if now_s > 30.0:
            lasting.append(pace.lasting)
        now_s += interval_s
    assert lasting.count(1.3) >= 0.99 * len(lasting)


def test_lasting_pace_follows_a_server_that_stays_slow():
    pace = server_pace.ServerPace()
    for tick in range(100):
        pace.record(1.0, 10.0 + tick / 10, 10.0 + tick / 10)
    for tick in range(80):
        pace.record(2.0, 20.0 + tick / 10, 20.0 + tick / 10)
    assert pace.lasting == 2.0


def test_statement_loses_its_weight_within_a_dip():
    pace = server_pace.ServerPace()
    pace.record(DIP, 10.0, 10.0)
    paces = [pace.average(0.04, 10.0 + tick / 10) for tick in range(7)]
    assert paces == sorted(paces, reverse=True)
    assert paces[0] > 2.4
    assert paces[6] == 1.0


def test_work_of_seconds_goes_by_the_lasting_pace():
    pace = server_pace.ServerPace()
    pace.record(DIP, 10.0, 10.0)
    averages = [pace.average(work_s, 10.0) for work_s in (0.0, 0.04, 0.5, 3.0)]
    assert averages == sorted(averages, reverse=True)
    assert averages[0] == DIP
    assert averages[-1] < 1.2


@pytest.mark.parametrize("pace", [0.0, -1.0, float("nan")])
def test_absurd_pace_of_a_neighbour_does_not_count(pace):
    server = server_pace.ServerPace()
    server.record(pace, 10.0, 10.0)
    server.record(2.0, float("-inf"), 10.0)
    assert not server.is_stated


def test_plain_request_avoids_a_server_for_as_long_as_its_dip_lasts():
    servers = (deployment.server("a"), deployment.server("b"))
    daemon = deployment.Daemon(servers)
    for n in range(8):
        sent = daemon.arrive(f"before-{n}", "safe")
        answer(daemon, sent, 0.03, 1.0)
        daemon.now_s += 1.0
    sent = daemon.arrive("1", "safe")
    answer(daemon, sent, 0.075, DIP)
    slow = sent.server.id
    for n in range(3):
        other = daemon.arrive(f"2-{n}", "safe")
        assert other.server.id != slow
        assert other.log_fields["used_pace"] == 1.0
        answer(daemon, other, 0.03, 1.0)
    daemon.now_s += server_pace.STATED_FOR_S
    assert daemon.node.state.servers.by_id[slow].pace.average(0.03, daemon.now_s) == 1.0


def test_stated_dips_do_not_spoil_the_measured_slowdown():
    """Guards against a dip that counts twice: as stated, and as measured."""
    daemon = deployment.Daemon([deployment.server("a")])
    server = daemon.node.state.servers.by_id["a"]
    for n in range(60):
        is_dip = n % 7 == 0
        sent = daemon.arrive(str(n), "safe")
        answer(daemon, sent, 0.03 * (DIP if is_dip else 1.0), DIP if is_dip else 1.0)
        daemon.now_s += 0.6
    assert 0.85 <= server.urgent_slowdown <= 1.15
    assert server.pace.lasting == 1.0


def test_shared_parts_stay_at_their_server_during_a_dip():
    names = [f"s{n}" for n in range(6)]
    servers = tuple(deployment.server(name, "model", n_slots=64) for name in names)
    daemon = deployment.Daemon(servers)
    chosen = []
    for n in range(12):
        parts = (
            ingress.PromptPart("shared", 6_000),
            ingress.PromptPart(f"own-{n}", 900),
        )
        sent = daemon.arrive(str(n), "digest", prompt=deployment.prompt(6_900, parts))
        chosen.append(sent.server.id)
        answer(daemon, sent, 0.1, DIP if n in (4, 5, 6) else 1.0)
        daemon.now_s += 0.1
    assert len(set(chosen)) == 1


def test_shared_parts_are_shared_out_by_lasting_pace():
    names = [f"s{n}" for n in range(6)]
    servers = tuple(deployment.server(name, "model", n_slots=64) for name in names)
    daemon = deployment.Daemon(servers)
    table = daemon.node.state.servers
    for tick in range(20):
        for name in names:
            pace = 1.3 if name in ("s2", "s5") else 1.0
            now_s = 100.0 + tick
            share = load_messages.ServerShare(stated_pace=pace)
            table.update_share("vm-2", {name: share}, now_s)
    counts = collections.Counter()
    for n in range(3_000):
        ranks = table.ranks("model", f"part-{n}")
        counts[min(ranks, key=lambda name: ranks[name])] += 1
    slow = counts["s2"] + counts["s5"]
    usual = sum(counts.values()) - slow
    assert 0.7 <= 2 * slow / usual <= 0.85


def test_server_that_states_no_pace_is_ranked_and_estimated_as_before():
    names = [f"s{n}" for n in range(6)]
    servers = tuple(deployment.server(name, "model", n_slots=64) for name in names)
    daemon = deployment.Daemon(servers)
    sent = daemon.arrive("1", "digest", prompt=deployment.prompt(6_000))
    assert "used_pace" not in sent.log_fields
    answer(daemon, sent, 0.3)
    state = daemon.node.state.servers
    server = state.by_id[sent.server.id]
    assert server.pace.average(0.03, daemon.now_s) == 1.0
    assert server.slowdown(True) == server.urgent_slowdown
    ranks = state.ranks("model", "hot")
    assert sorted(names, key=lambda name: ranks[name]) == rendezvous.ranked(
        "hot", names
    )


def test_neighbour_tells_what_a_server_stated_to_it():
    peer = deployment.entry("vm-2")
    teller = deployment.Daemon([deployment.server("a")], (peer,))
    sent = teller.arrive("1", "safe")
    answer(teller, sent, 0.03, DIP)
    [message] = [
        effect.message
        for effect in teller.tick(0.2)
        if getattr(effect, "vm", "") == "vm-2"
    ]
    assert message.by_server["a"].stated_pace == DIP
    hearer = deployment.Daemon([deployment.server("a")], (peer,))
    hearer.handle(events.PeerSaid("vm-2", message))
    pace = hearer.node.state.servers.by_id["a"].pace
    assert pace.statement.source == server_pace.Source.NEIGHBOUR
    assert pace.age_s(hearer.now_s) == pytest.approx(0.2)
    own = hearer.arrive("1", "safe")
    answer(hearer, own, 0.03, 1.0)
    hearer.handle(events.PeerSaid("vm-2", message))
    assert pace.statement.pace == 1.0
