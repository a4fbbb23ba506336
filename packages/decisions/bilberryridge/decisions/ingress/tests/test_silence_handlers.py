"""Attempts without an answer in the time in which one was expected."""

import pytest

from bilberryridge.decisions.ingress import effects, events
from bilberryridge.decisions.ingress.tests import deployment

ELAPSED_S = 0.7
"""Time after which a retry within the goal of 0.8 s is weighed."""


def make_daemon(names="abc", **changes):
    return deployment.Daemon([deployment.server(n) for n in names], **changes)


def hear(daemon, request_id):
    """Let a server answer another request."""
    sent = daemon.arrive(request_id, "unsafe")
    said = events.ServerSaid(sent.request_id, sent.attempt_id)
    daemon.handle(said)
    daemon.end(sent, "answered", status=200)
    return sent.server.id


def be_silent(daemon, sent):
    event = events.AttemptSilent(sent.request_id, sent.attempt_id)
    return [
        effect
        for effect in daemon.handle(event)
        if not isinstance(effect, effects.ProbeServer | effects.LogStateChange)
    ]


def test_issue_44_silent_server_is_replaced_by_one_that_answers():
    daemon = make_daemon()
    sent = daemon.arrive("1", "safe")
    daemon.now_s += ELAPSED_S
    heard = {hear(daemon, f"h{n}") for n in range(6)}
    cancelled, retried = be_silent(daemon, sent)
    assert cancelled == effects.CancelAttempt("1", sent.attempt_id)
    assert retried.server.id in heard - {sent.server.id}
    assert daemon.node.state.servers.by_id[sent.server.id].failure_rate(daemon.now_s)


def test_issue_44_silence_of_all_servers_is_not_the_fault_of_each():
    daemon = make_daemon()
    sent = [daemon.arrive(str(n), "safe") for n in range(9)]
    daemon.now_s += ELAPSED_S
    assert [be_silent(daemon, attempt) for attempt in sent] == [[]] * 9
    servers = daemon.node.state.servers.by_id.values()
    assert not any(server.failure_rate(daemon.now_s) for server in servers)
    [answer] = daemon.end(sent[0], "answered", status=200)
    assert isinstance(answer, effects.PassAnswer)


def test_issue_44_attempt_goes_on_where_the_budget_allows_no_retry():
    daemon = make_daemon(retry_slack=0.0)
    sent = daemon.arrive("1", "safe")
    daemon.now_s += ELAPSED_S
    hear(daemon, "2")
    assert be_silent(daemon, sent) == []
    [answer] = daemon.end(sent, "answered", status=200)
    assert isinstance(answer, effects.PassAnswer)


def test_issue_44_silent_server_is_replaced_once_others_have_answered_for_a_while():
    daemon = make_daemon("ab")
    sent = [daemon.arrive(str(n), "safe") for n in range(9)]
    daemon.now_s += ELAPSED_S
    for attempt in sent:
        be_silent(daemon, attempt)
    first_id = sent[0].server.id
    for attempt in sent:
        if attempt.server.id != first_id:
            daemon.handle(events.ServerSaid(attempt.request_id, attempt.attempt_id))
            daemon.end(attempt, "answered", status=200)
    kinds = [type(effect) for effect in daemon.tick(0.26)]
    assert effects.SendToServer not in kinds
    replaced = [e for e in daemon.tick(0.26) if isinstance(e, effects.SendToServer)]
    assert replaced
    assert all(effect.server.id != first_id for effect in replaced)


@pytest.mark.parametrize("changes", [{"path": "unsafe"}, {"is_relayed": True}])
def test_issue_44_daemon_is_not_told_of_silence_where_it_may_not_retry(changes):
    sent = make_daemon().arrive("1", **{"path": "safe", **changes})
    assert sent.first_byte_timeout_s is None


def test_issue_44_answers_delayed_by_one_silence_do_not_make_a_server_slow():
    daemon = make_daemon()
    sent = [daemon.arrive(str(n), "unsafe") for n in range(30)]
    daemon.now_s += 1.2
    for attempt in sent:
        daemon.handle(events.ServerSaid(attempt.request_id, attempt.attempt_id))
        daemon.handle(events.AttemptBegan(attempt.request_id, attempt.attempt_id))
        daemon.end(attempt, "answered", status=200)
    servers = daemon.node.state.servers.by_id.values()
    assert max(server.slowdown(True) for server in servers) < 3.0


def test_issue_44_server_is_tried_again_while_one_request_there_gets_no_answer():
    daemon = make_daemon()
    stuck = daemon.arrive("0", "unsafe", caller_timeout_s=100.0)
    daemon.now_s += 5.0
    used = {daemon.arrive(str(n), "unsafe").server.id for n in range(1, 20)}
    assert stuck.server.id in used


def test_issue_44_silence_behind_a_lost_path_is_not_the_servers():
    neighbour = deployment.entry("vm-3")
    daemon = deployment.Daemon([deployment.server("a")], (neighbour,))
    daemon.arrive("1", "unsafe")
    daemon.now_s += 2.4
    server = daemon.node.state.servers.by_id["a"]
    assert server.silent_s(daemon.now_s) > 2.0
    server.path.ask(daemon.now_s, is_doubted=True)
    assert isinstance(
        daemon.arrive("2", "safe", caller_timeout_s=2.0), effects.SendToPeer
    )
    server.path.record_failure(daemon.now_s)
    assert server.silent_s(daemon.now_s) == 0.0
