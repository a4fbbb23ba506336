"""Prompts under which engines crash, as one daemon sees them."""

import pytest

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    crash_reports,
    effects,
    events,
    lost_servers,
    silent_servers,
)
from bilberryridge.decisions.ingress.tests import deployment

PEER = deployment.entry("vm-2", "d2")
N_ENGINES = 12


def make_daemon():
    servers = [
        deployment.server(f"e{n}", "model", n_slots=64) for n in range(N_ENGINES)
    ]
    return deployment.Daemon(servers=servers, peers=[PEER])


def prompt(*shared):
    parts = (*shared, "own")
    return ingress.Prompt(
        400, 100, tuple(ingress.PromptPart(part, 100) for part in parts)
    )


class Play:
    """Sends prompts and ends their attempts; `daemon.now_s` passes in between."""

    def __init__(self):
        self.daemon = make_daemon()
        self.n = 0

    def restart_engines(self):
        """List another start of each engine."""
        started = [
            deployment.server(f"e{n}", "model", n_slots=64, start_time_ms=self.n)
            for n in range(N_ENGINES)
        ]
        self.daemon.handle(events.ServersRead(tuple(started)))

    def send(self, *shared, path="query"):
        self.n += 1
        return self.daemon.arrive(str(self.n), path, prompt=prompt(*shared))

    def crash(self, sent, **changes):
        """End an attempt as a crash of its server; return the effects until a tick."""
        values = {"status": 200, "is_disconnected": True, **changes}
        told = self.daemon.end(sent, "lost", **values)
        return told + self.daemon.tick(2 * lost_servers.AT_ONCE_S)

    def crash_engines(self, n_crashes, *shared, path="query"):
        for _ in range(n_crashes):
            self.crash(self.send(*shared, path=path))


def reports_in(told):
    stored = [e.report for e in told if isinstance(e, effects.StoreReport)]
    sent = [e.message for e in told if isinstance(e, effects.SendPeerMessage)]
    return stored, [m for m in sent if isinstance(m, crash_reports.Report)]


def test_prompt_is_refused_at_once_after_engines_crashed_on_it():
    play = Play()
    play.crash_engines(3, "base", "bad")
    refused = play.send("base", "bad")
    assert refused.refusal.reason is outcomes.Reason.PROMPT_HELD_BACK
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN
    assert refused.refusal.status == 503
    assert refused.refusal.retry_after_s > 0
    assert isinstance(play.send("base", "good"), effects.SendToServer)


def test_crash_is_told_to_the_other_daemons():
    play = Play()
    _, [report] = reports_in(play.crash(play.send("base", "bad")))
    assert report.prompts == (frozenset(["base", "bad"]),)


def test_reports_are_stored_once_a_second_server_crashed_on_the_same_part():
    play = Play()
    stored, [first] = reports_in(play.crash(play.send("base", "bad")))
    assert stored == []
    stored, [other] = reports_in(play.crash(play.send("c", "d")))
    assert stored == []
    stored, [second] = reports_in(play.crash(play.send("bad", "e")))
    assert stored == [first, second]
    by_peer = crash_reports.CrashReport("x", "vm-2", (frozenset(["d"]),))
    stored, _ = reports_in(play.daemon.handle(events.PeerSaid("vm-2", by_peer)))
    assert stored == [other]


def test_prompts_that_others_reported_are_refused_also_when_relayed():
    play = Play()
    for n in range(3):
        report = crash_reports.CrashReport(f"x{n}", "vm-2", (frozenset(["bad"]),))
        play.daemon.handle(events.PeerSaid("vm-2", report))
    assert isinstance(play.send("bad"), effects.Refuse)
    req = deployment.request("r", "query", prompt=prompt("bad"), is_relayed=True)
    [refused] = play.daemon.handle(events.RequestArrived(req))
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN


def test_prompts_that_the_store_tells_of_are_refused_after_a_restart():
    play = Play()
    crashes = tuple(
        (crash_reports.CrashReport(f"x{n}", "vm-9", (frozenset(["bad"]),)), n + 1)
        for n in range(3)
    )
    stored = crash_reports.StoredReports(crashes)
    play.daemon.handle(events.CrashReportsRead(stored))
    assert isinstance(play.send("bad"), effects.Refuse)


@pytest.mark.parametrize(
    "changes",
    [
        {"is_disconnected": False},
        {"status": 0},
        {"status": 500},
    ],
)
def test_other_losses_are_not_reported_as_crashes(changes):
    play = Play()
    assert reports_in(play.crash(play.send("base", "a"), **changes)) == ([], [])


def lose_at_once(play, *prompts):
    """Lose the servers that have just begun to answer prompts; return the crashes."""
    sent = [play.send(*prompt) for prompt in prompts]
    assert len({effect.server.id for effect in sent}) > 2
    told = []
    for effect in sent:
        told += play.daemon.end(effect, "lost", status=200, is_disconnected=True)
    told += play.daemon.tick(2 * lost_servers.AT_ONCE_S)
    return [r for r in reports_in(told)[1] if isinstance(r, crash_reports.CrashReport)]


def test_loss_of_many_servers_at_once_is_not_reported():
    play = Play()
    assert lose_at_once(play, *[(f"a{n}", f"p{n}") for n in range(10)]) == []


def test_crashes_at_once_after_a_pause_count_as_one_of_what_they_have_in_common():
    play = Play()
    for _ in range(2):
        [report] = lose_at_once(play, *[("bad", f"p{n}") for n in range(10)])
        assert set(report.prompts) == {frozenset(["bad"])}
        assert isinstance(play.send("bad"), effects.SendToServer)
        # The failure rates of the engines decay.
        play.daemon.tick(60.0)
        play.restart_engines()
    lose_at_once(play, *[("bad", f"p{n}") for n in range(10)])
    assert isinstance(play.send("bad"), effects.Refuse)
    assert isinstance(play.send("p1"), effects.SendToServer)


def test_servers_lost_in_the_middle_of_answers_count_as_lost_at_once():
    play = Play()
    sent = [play.send("bad", f"p{n}") for n in range(10)]
    for effect in sent[1:]:
        ids = (effect.request_id, effect.attempt_id)
        play.daemon.handle(events.AttemptBegan(*ids, True))
        play.daemon.handle(events.AttemptWentOn(*ids))
    play.daemon.tick(0.1)
    told = []
    for effect in sent:
        told += play.daemon.end(effect, "lost", status=200, is_disconnected=True)
    told += play.daemon.tick(2 * lost_servers.AT_ONCE_S)
    crashes = [r for r in reports_in(told)[1] if hasattr(r, "prompts")]
    assert crashes == []


def test_answer_that_goes_on_shows_that_its_parts_are_sound():
    play = Play()
    sent = play.send("base", "bad")
    ids = (sent.request_id, sent.attempt_id)
    play.daemon.handle(events.AttemptBegan(*ids, True))
    play.daemon.handle(events.AttemptWentOn(*ids))
    told = play.crash(sent)
    assert reports_in(told) == ([], [])


def test_time_since_the_first_event_does_not_show_that_a_part_is_sound():
    play = Play()
    sent = play.send("base", "bad")
    play.daemon.handle(events.AttemptBegan(sent.request_id, sent.attempt_id, True))
    for _ in range(50):
        play.daemon.tick(0.1)
    _, [report] = reports_in(play.crash(sent))
    assert report.prompts == (frozenset(["base", "bad"]),)


def test_sound_answer_after_crashes_is_told_and_ends_the_quarantine():
    play = Play()
    for n in range(3):
        report = crash_reports.CrashReport(f"x{n}", "vm-2", (frozenset(["a", "b"]),))
        if n == 2:
            sent = play.send("a", "b")
        play.daemon.handle(events.PeerSaid("vm-2", report))
    assert isinstance(play.send("a", "b"), effects.Refuse)
    play.daemon.now_s += 0.1
    told = play.daemon.end(sent, "answered", status=200)
    stored, _ = reports_in(told)
    assert {report.part for report in stored} == {"a", "b"}
    assert isinstance(play.send("a", "b"), effects.SendToServer)


def test_daemon_that_links_later_is_told_the_parts_that_are_held_back():
    play = Play()
    play.crash_engines(3, "base", "bad")
    play.crash(play.send("other"))
    linked = deployment.Daemon(servers=[deployment.server("e0", "model")])
    for effect in play.daemon.handle(events.LinkUp(PEER)):
        if isinstance(effect, effects.SendPeerMessage):
            linked.handle(events.PeerSaid("vm-1", effect.message))
    held_back = linked.arrive("1", "query", prompt=prompt("base", "bad"))
    assert isinstance(held_back, effects.Refuse)
    assert isinstance(
        linked.arrive("2", "query", prompt=prompt("other")), effects.SendToServer
    )


def end_with_connection(play, sent):
    """End an answer whose end only that of its connection shows."""
    ids = (sent.request_id, sent.attempt_id)
    play.daemon.handle(events.ServerSaid(*ids, status=200))
    changes = {"status": 200, "is_end_marked": False, "n_events": 1}
    return play.daemon.end(sent, "answered", **changes)


def test_answer_without_a_marked_end_counts_as_a_crash_where_its_server_is_gone():
    play = Play()
    sent = play.send("base", "bad")
    end_with_connection(play, sent)
    left = [
        deployment.server(f"e{n}", "model", n_slots=64)
        for n in range(N_ENGINES)
        if f"e{n}" != sent.server.id
    ]
    play.daemon.handle(events.ServersRead(tuple(left)))
    play.daemon.tick(0.1)
    _, [report] = reports_in(play.daemon.tick(2 * lost_servers.AT_ONCE_S))
    assert report.prompts == (frozenset(["base", "bad"]),)


def test_answer_without_a_marked_end_is_sound_once_its_server_goes_on():
    play = Play()
    for n in range(2):
        report = crash_reports.CrashReport(f"x{n}", "vm-2", (frozenset(["a"]),))
        play.daemon.handle(events.PeerSaid("vm-2", report))
    sent = play.send("a")
    stored, _ = reports_in(end_with_connection(play, sent))
    assert stored == []
    play.daemon.tick(2 * silent_servers.HEARD_AFTER_S)
    others = [play.send("other", f"{n}") for n in range(4 * N_ENGINES)]
    other = next(effect for effect in others if effect.server.id == sent.server.id)
    play.daemon.handle(events.ServerSaid(other.request_id, other.attempt_id))
    stored, _ = reports_in(play.daemon.tick(0.1))
    assert [report.part for report in stored] == ["a"]


def test_answer_of_the_next_start_does_not_show_that_the_one_before_lived():
    play = Play()
    for n in range(2):
        report = crash_reports.CrashReport(f"x{n}", "vm-2", (frozenset(["a"]),))
        play.daemon.handle(events.PeerSaid("vm-2", report))
    sent = play.send("a")
    play.daemon.handle(events.StoreContact(False, play.daemon.now_s))
    end_with_connection(play, sent)
    play.daemon.tick(2 * silent_servers.HEARD_AFTER_S)
    play.daemon.handle(events.ServerReached(sent.server.address))
    others = [play.send("other", f"{n}") for n in range(4 * N_ENGINES)]
    other = next(effect for effect in others if effect.server.id == sent.server.id)
    play.daemon.handle(events.ServerSaid(other.request_id, other.attempt_id))
    assert reports_in(play.daemon.tick(0.1)) == ([], [])
    play.restart_engines()
    play.daemon.tick(0.1)
    _, [report] = reports_in(play.daemon.tick(2 * lost_servers.AT_ONCE_S))
    assert report.prompts == (frozenset(["a"]),)


def test_prompt_that_waits_at_an_engine_is_called_back():
    play = Play()
    waiting = play.send("base", "bad")
    begun = play.send("base", "good")
    play.daemon.handle(events.AttemptBegan(begun.request_id, begun.attempt_id, True))
    play.crash_engines(3, "base", "bad")
    told = play.daemon.tick(0.05)
    request_ids = {e.request_id for e in told if isinstance(e, effects.Refuse)}
    assert waiting.request_id not in play.daemon.node.state.open_requests
    assert begun.request_id in play.daemon.node.state.open_requests
    assert begun.request_id not in request_ids


def test_called_back_prompt_is_not_said_not_to_have_run():
    play = Play()
    waiting = play.send("base", "bad")
    for n in range(3):
        report = crash_reports.CrashReport(f"x{n}", "vm-2", (frozenset(["bad"]),))
        play.daemon.handle(events.PeerSaid("vm-2", report))
    cancel, refuse = [
        effect
        for effect in play.daemon.tick(0.05)
        if isinstance(effect, effects.CancelAttempt | effects.Refuse)
    ]
    assert cancel.request_id == refuse.request_id == waiting.request_id
    assert refuse.refusal.outcome is outcomes.Outcome.UNKNOWN
    assert refuse.refusal.retry_after_s is None


def test_request_whose_servers_end_as_they_begin_is_sent_to_two_at_most():
    play = Play()
    routes = (
        deployment.route(
            "digest", "stream", service="model", is_resumable=True, max_attempts=5
        ),
    )
    play.daemon.handle(events.TableRead(deployment.table(2, routes)))
    sent = play.send("base", "bad", path="digest")
    [again] = play.daemon.end(sent, "lost", status=200, is_disconnected=True)
    assert isinstance(again, effects.SendToServer)
    [ended] = play.daemon.end(again, "lost", status=200, is_disconnected=True)
    assert isinstance(ended, effects.Refuse)
    assert ended.refusal.outcome is outcomes.Outcome.UNKNOWN
