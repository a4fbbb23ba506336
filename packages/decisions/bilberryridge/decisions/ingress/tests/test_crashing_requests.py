"""Requests under which servers crash, as one daemon sees them."""

import pytest

from bilberryridge.core import outcomes
from bilberryridge.decisions.ingress import (
    crash_handlers,
    crash_reports,
    crashing_requests,
    effects,
    events,
    lost_servers,
)
from bilberryridge.decisions.ingress.tests import deployment

PEER = deployment.entry("vm-2", "d2")
N_SERVERS = 12
LOST = {"status": 0, "is_disconnected": True}


class Play:
    """Sends requests and ends their attempts at servers that differ."""

    def __init__(self, n_slots=6):
        names = [f"s{n}" for n in range(N_SERVERS)]
        servers = [deployment.server(name, n_slots=n_slots) for name in names]
        self.daemon = deployment.Daemon(servers=servers, peers=[PEER])
        self.n = 0

    def send(self, content_id, path="unsafe", **changes):
        self.n += 1
        return self.daemon.arrive(str(self.n), path, content_id=content_id, **changes)

    def crash(self, sent, **changes):
        """End an attempt as a crash of its server; return the effects until a tick."""
        told = self.daemon.end(sent, "lost", **{**LOST, **changes})
        record = sent.server
        rows = [
            server.record
            for server in self.daemon.node.state.servers.by_id.values()
            if server.record.id != record.id
        ]
        self.daemon.handle(events.ServersRead(tuple(rows)))
        return told + self.daemon.tick(2 * lost_servers.AT_ONCE_S)

    def tell(self, *servers, content_id="bad"):
        for server in servers:
            report = crash_reports.CrashedRequests(server, (content_id,))
            self.daemon.handle(events.PeerSaid("vm-2", report))


def reports_in(told):
    stored = [e.report for e in told if isinstance(e, effects.StoreReport)]
    sent = [e.message for e in told if isinstance(e, effects.SendPeerMessage)]
    return stored, [m for m in sent if isinstance(m, crash_reports.Report)]


def test_request_is_refused_at_once_after_servers_crashed_on_it():
    play = Play()
    for _ in range(3):
        play.crash(play.send("bad"))
    refused = play.send("bad")
    assert refused.refusal.reason is outcomes.Reason.REQUEST_HELD_BACK
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN
    assert refused.refusal.status == 503
    assert refused.refusal.retry_after_s > 0
    assert isinstance(play.send("good"), effects.SendToServer)


def test_second_attempt_of_a_request_counts_as_the_first():
    play = Play()
    sent = play.send("bad", "safe")
    [again] = play.daemon.end(sent, "lost", **LOST)
    assert again.server.id != sent.server.id
    play.daemon.end(again, "lost", **LOST)
    play.daemon.tick(2 * lost_servers.AT_ONCE_S)
    play.crash(play.send("bad"))
    assert isinstance(play.send("bad"), effects.Refuse)


def test_crash_is_told_at_once_and_stored_from_the_second_on():
    play = Play()
    first = play.send("bad")
    stored, told = reports_in(play.crash(first))
    assert (stored, told) == (
        [],
        [crash_reports.CrashedRequests(f"{first.server.id}.0", ("bad",))],
    )
    second = play.send("bad")
    stored, _ = reports_in(play.crash(second))
    assert {report.server for report in stored} == {
        f"{first.server.id}.0",
        f"{second.server.id}.0",
    }


def test_request_that_others_reported_is_refused_also_when_relayed():
    play = Play()
    play.tell("x1", "x2", "x3")
    assert isinstance(play.send("bad"), effects.Refuse)
    refused = play.send("bad", is_relayed=True)
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN


def test_one_crash_that_several_daemons_report_counts_once():
    play = Play()
    play.tell("x1", "x1", "x2", "x2")
    assert isinstance(play.send("bad"), effects.SendToServer)


def test_request_that_the_store_tells_of_is_refused_after_a_restart():
    play = Play()
    crashes = tuple(
        (crash_reports.CrashedRequests(f"x{n}", ("bad",)), n + 1) for n in range(3)
    )
    stored = crash_reports.StoredReports(crashed_requests=crashes)
    play.daemon.handle(events.CrashReportsRead(stored))
    assert isinstance(play.send("bad"), effects.Refuse)
    sound = ((crash_reports.SoundPart("bad"), 9),)
    stored = crash_reports.StoredReports((), sound, crashes)
    play.daemon.handle(events.CrashReportsRead(stored))
    assert isinstance(play.send("bad"), effects.SendToServer)


def test_loss_of_many_servers_at_once_counts_against_what_several_had_only():
    play = Play(n_slots=1)
    sent = [play.send(f"r{n}") for n in range(N_SERVERS - 2)]
    sent += [play.send("bad"), play.send("bad")]
    assert len({effect.server.id for effect in sent}) == N_SERVERS
    for effect in sent:
        play.daemon.end(effect, "lost", **LOST)
    _, told = reports_in(play.daemon.tick(2 * lost_servers.AT_ONCE_S))
    assert {report.contents for report in told} == {("bad",)}


def test_server_that_answers_after_a_loss_has_not_crashed():
    play = Play()
    sent, other = play.send("a"), play.send("b")
    assert sent.server == other.server
    play.daemon.end(sent, "lost", **LOST)
    play.daemon.now_s += 0.01
    said = events.ServerSaid(other.request_id, other.attempt_id)
    play.daemon.handle(said)
    told = play.daemon.tick(2 * lost_servers.AT_ONCE_S)
    assert reports_in(told) == ([], [])


@pytest.mark.parametrize(
    "changes", [{"is_disconnected": False}, {"is_disconnected": False, "status": 200}]
)
def test_other_losses_are_not_reported(changes):
    play = Play()
    assert reports_in(play.crash(play.send("a"), **changes)) == ([], [])


@pytest.mark.parametrize("status", [200, 404, 500])
def test_any_answer_shows_that_a_request_is_sound(status):
    play = Play()
    play.tell("x1", "x2")
    sent = play.send("bad")
    play.daemon.now_s += 0.1
    told = play.daemon.end(sent, "answered", status=status)
    stored, messages = reports_in(told)
    assert stored == messages == [crash_reports.SoundPart("bad")]
    play.tell("x3")
    assert isinstance(play.send("bad"), effects.SendToServer)


def test_request_that_was_just_answered_is_not_blamed_for_crashes():
    play = Play()
    for _ in range(3):
        play.daemon.end(play.send("popular"), "answered", status=200)
        _, told = reports_in(play.crash(play.send("popular")))
        assert told == []
    assert isinstance(play.send("popular"), effects.SendToServer)


def test_server_that_answers_again_had_not_crashed():
    play = Play()
    servers = [deployment.server(f"s{n}", start_time_ms=7) for n in range(3)]
    play.daemon.handle(events.ServersRead(tuple(servers)))
    for _ in range(3):
        play.daemon.end(play.send("bad"), "lost", **LOST)
        play.daemon.tick(2 * lost_servers.AT_ONCE_S)
        play.daemon.now_s += crash_handlers.REFUTED_AFTER_S
        other = play.send("other")
        said = events.ServerSaid(other.request_id, other.attempt_id)
        play.daemon.handle(said)
        play.daemon.end(other, "answered", status=200)
    sent = play.send("bad")
    assert isinstance(sent, effects.SendToServer)
    play.daemon.now_s += 0.1
    _, told = reports_in(play.daemon.end(sent, "answered", status=200))
    assert told == [crash_reports.SoundPart("bad")]


def test_server_that_crashes_after_it_was_heard_again_counts():
    known = crashing_requests.CrashingRequests()
    for server in ("s1", "s2", "s3"):
        known.record_crash("bad", server, 1.0)
        known.refute("s1", 2.0)
        known.record_crash("bad", "s1", 3.0, revision=5)
        assert known.n_crashes("bad", 4.0) < 3
    known.record_crash("bad", "s1", 5.0)
    assert known.n_crashes("bad", 5.0) == 3


def trials(names, for_s, interval_s=1.0):
    """Offer a held-back request to several daemons; return when it was sent."""
    daemons = [deployment.Daemon([deployment.server("a")], own=name) for name in names]
    for daemon in daemons:
        for other in names:
            if other != daemon.node.state.cfg.local_entry.name:
                daemon.handle(events.LinkUp(deployment.entry(other)))
        for server in ("x1", "x2", "x3"):
            report = crash_reports.CrashedRequests(server, ("bad",))
            daemon.handle(events.PeerSaid("vm-9", report))
    sent_s = []
    for n in range(int(for_s / interval_s)):
        for daemon in daemons:
            daemon.tick(interval_s)
            sent = daemon.arrive(f"{n}", "unsafe", content_id="bad")
            if isinstance(sent, effects.SendToServer):
                sent_s.append(n * interval_s)
                daemon.end(sent, "not run", status=503)
    return sent_s


def test_held_back_request_is_tried_by_one_daemon_now_and_then():
    sent_s = trials(["vm-1", "vm-2", "vm-3"], 500.0)
    assert 1 <= len(sent_s) <= 2
    assert sent_s[0] < 30.0


def test_trial_that_is_answered_ends_the_hold_back_everywhere():
    play = Play()
    play.tell("x1", "x2", "x3")
    assert isinstance(play.send("bad"), effects.Refuse)
    play.daemon.now_s += crashing_requests.TRIAL_AFTER_S[0] + 0.1
    sent = play.send("bad")
    assert isinstance(sent, effects.SendToServer)
    play.daemon.tick(0.1)
    assert sent.request_id in play.daemon.node.state.open_requests
    _, told = reports_in(play.daemon.end(sent, "answered", status=200))
    assert told == [crash_reports.SoundPart("bad")]
    assert isinstance(play.send("bad"), effects.SendToServer)


def test_relayed_request_is_no_trial():
    play = Play()
    play.tell("x1", "x2", "x3")
    play.daemon.now_s += crashing_requests.TRIAL_AFTER_S[0] + 0.1
    assert isinstance(play.send("bad", is_relayed=True), effects.Refuse)


def test_newly_linked_daemon_is_told_what_is_held_back():
    play = Play()
    play.tell("x1", "x2", "x3")
    play.tell("x1", content_id="other")
    told = play.daemon.handle(events.LinkUp(deployment.entry("vm-3")))
    _, messages = reports_in(told)
    assert {(m.server, m.contents) for m in messages} == {
        (server, ("bad",)) for server in ("x1", "x2", "x3")
    }


def test_repeat_that_waits_at_a_server_is_called_back():
    play = Play()
    waiting = play.send("bad")
    play.tell("x1", "x2", "x3")
    cancel, refuse = [
        effect
        for effect in play.daemon.tick(0.05)
        if isinstance(effect, effects.CancelAttempt | effects.Refuse)
    ]
    assert cancel.request_id == refuse.request_id == waiting.request_id
    assert refuse.refusal.outcome is outcomes.Outcome.UNKNOWN


def test_request_is_tried_again_when_the_reports_have_expired():
    play = Play()
    play.tell("x1", "x2", "x3")
    retry_after_s = play.send("bad").refusal.retry_after_s
    play.daemon.now_s += retry_after_s + 0.1
    assert isinstance(play.send("bad"), effects.SendToServer)


def test_other_losses_do_not_displace_a_request_that_is_held_back():
    known = crashing_requests.CrashingRequests()
    for n in range(3):
        known.record_crash("bad", f"x{n}", 1.0)
    for n in range(2 * crashing_requests.MAX_CONTENTS):
        known.record_crash(f"r{n}", "y", 2.0)
    assert known.held_back_for_s("bad", 3.0)
    assert known.n_crashes("r0", 3.0) == 0
