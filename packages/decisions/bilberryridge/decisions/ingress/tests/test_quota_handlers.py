"""What is counted for an organisation, what is given back, and what is refused.

Guards against requests that are counted twice or not at all, and against refusals that
leave their tokens counted.
"""

import hashlib

import attrs
import pytest

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    daemon_shares,
    division_messages,
    effects,
    events,
)
from bilberryridge.decisions.ingress.tests import deployment

KEY = hashlib.sha256(b"key").digest()
QUOTA = ingress.Quota(1_000.0, 1_000.0, ingress.QuotaUnit.TOKENS, 100)
JOINED_S = 20.0


def table(version=2, quota=QUOTA):
    organisation = ingress.Organisation("acme", frozenset([KEY]), quota=quota)
    return attrs.evolve(deployment.table(version), organisations=(organisation,))


def make_daemon(servers=("s1",), peers=()):
    daemon = deployment.Daemon([deployment.server(s) for s in servers], peers)
    daemon.handle(events.TableRead(table()))
    for _ in range(int(JOINED_S)):
        daemon.tick(1.0)
    return daemon


def arrive(daemon, request_id, n_tokens, path="safe", **changes):
    return daemon.arrive(
        request_id, path, key_digest=KEY, n_stated_tokens=n_tokens, **changes
    )


def n_left(daemon):
    """Return the tokens that the daemon has."""
    return daemon.node.state.quotas.log_fields("acme", daemon.now_s)["left"]


def refusal_of(effect):
    assert isinstance(effect, effects.Refuse)
    return effect.refusal


def test_requests_within_the_quota_are_sent_and_counted():
    daemon = make_daemon()
    before = n_left(daemon)
    assert isinstance(arrive(daemon, "1", 300), effects.SendToServer)
    assert isinstance(arrive(daemon, "2", None), effects.SendToServer)
    assert n_left(daemon) == before - 400


def test_a_request_over_the_quota_is_refused_at_once():
    daemon = make_daemon()
    effect = arrive(daemon, "1", 50_000)
    refusal = refusal_of(effect)
    assert refusal.status == 429
    assert refusal.reason is outcomes.Reason.OVER_QUOTA
    assert refusal.outcome is outcomes.Outcome.NOT_RUN
    assert effect.log_fields["organisation"] == "acme"
    assert {"part", "demand_per_s", "demand_age_s"} <= effect.log_fields.keys()


def test_callers_that_are_told_to_return_get_later_times():
    daemon = make_daemon()
    times_s = [
        refusal_of(arrive(daemon, str(n), 3_000)).retry_after_s for n in range(3)
    ]
    assert 0 < times_s[0] < times_s[1] < times_s[2] <= 8.0


@pytest.mark.parametrize(
    ("result", "is_given_back"),
    [("not run", True), ("not sent", True), ("answered", False), ("lost", False)],
)
def test_what_no_server_ran_is_given_back(result, is_given_back):
    daemon = make_daemon()
    daemon.handle(events.ServersRead((deployment.server("m1", "model"),)))
    before = n_left(daemon)
    sent = arrive(daemon, "1", 500, path="query")
    changes = {"status": 200} if result == "answered" else {}
    daemon.end(sent, result, **changes)
    assert not daemon.node.state.open_requests
    assert n_left(daemon) == (before if is_given_back else before - 500)


def test_a_refusal_for_room_gives_back():
    daemon = make_daemon(servers=())
    before = n_left(daemon)
    assert refusal_of(arrive(daemon, "1", 500)).reason is outcomes.Reason.NO_SERVER
    assert n_left(daemon) == before


def test_a_retry_is_not_counted_again():
    daemon = make_daemon(servers=("s1", "s2"))
    for index in range(40):
        sent = arrive(daemon, f"a{index}", 0)
        daemon.end(sent, "answered", status=200)
    before = n_left(daemon)
    sent = arrive(daemon, "1", 500)
    [again] = daemon.end(sent, "lost")
    assert isinstance(again, effects.SendToServer)
    daemon.end(again, "answered", status=200)
    assert n_left(daemon) == before - 500


def test_a_relayed_request_is_not_counted():
    daemon = make_daemon()
    before = n_left(daemon)
    arrive(daemon, "1", 500, is_relayed=True, table_version=2)
    assert n_left(daemon) == before


def test_a_caller_that_leaves_after_the_send_is_counted():
    daemon = make_daemon()
    before = n_left(daemon)
    arrive(daemon, "1", 500)
    daemon.handle(events.CallerGone("1"))
    assert n_left(daemon) == before - 500


def test_a_new_table_brings_new_limits():
    daemon = make_daemon()
    lower = attrs.evolve(QUOTA, rate_per_s=10.0, burst=10.0)
    daemon.handle(events.TableRead(table(3, lower)))
    assert refusal_of(arrive(daemon, "1", 500)).status == 429


def test_without_organisations_nothing_is_counted_or_said():
    daemon = deployment.Daemon([deployment.server("s1")], [deployment.entry("vm-2")])
    arrive(daemon, "1", 50_000)
    assert not daemon.node.state.quotas.charges
    assert not daemon.node.state.quotas.n_in_use


@pytest.fixture
def asking():
    """Return a daemon that asked another one for tokens, and the question."""
    daemon = make_daemon(peers=[deployment.entry(f"vm-{n}") for n in (2, 3, 4)])
    sent = daemon.handle(
        events.RequestArrived(
            deployment.request("1", "safe", key_digest=KEY, n_stated_tokens=1_500)
        )
    )
    asked = [
        effect
        for effect in sent
        if isinstance(effect, effects.SendPeerMessage)
        and isinstance(effect.message, division_messages.PartRequest)
        and not effect.message.is_share
    ]
    assert len(asked) == 1
    return daemon, asked[0]


def answer(daemon, asked, n_tokens):
    grant = division_messages.PartGrant(
        "acme", asked.message.number, n_tokens, lasts_s=0.25
    )
    daemon.now_s += 0.003
    return [
        effect
        for effect in daemon.handle(events.PeerSaid(asked.vm, grant))
        if not isinstance(effect, effects.SendPeerMessage)
    ]


def test_a_request_waits_for_tokens_of_another_daemon(asking):
    daemon, asked = asking
    [effect] = answer(daemon, asked, asked.message.n_needed)
    assert isinstance(effect, effects.SendToServer)


def test_a_request_is_refused_when_another_daemon_has_too_little(asking):
    daemon, asked = asking
    [effect] = answer(daemon, asked, 0.0)
    assert refusal_of(effect).status == 429


def test_a_request_is_refused_when_no_answer_comes(asking):
    daemon, _ = asking
    refused = [e for e in daemon.tick(0.3) if isinstance(e, effects.Refuse)]
    assert [refusal_of(effect).status for effect in refused] == [429]


def test_a_caller_that_leaves_while_it_waits_is_not_counted(asking):
    daemon, asked = asking
    daemon.handle(events.CallerGone("1"))
    assert answer(daemon, asked, asked.message.n_needed) == []
    assert not daemon.node.state.waiting_charges
    assert not daemon.node.state.quotas.charges


def test_a_stopping_daemon_sends_callers_to_others():
    daemon = make_daemon()
    daemon.handle(events.StopAsked())
    refusal = refusal_of(arrive(daemon, "1", 50_000))
    assert refusal.reason is outcomes.Reason.STOPPING


def test_a_key_that_is_removed_while_a_request_waits_is_not_charged(asking):
    daemon, asked = asking
    daemon.handle(events.TableRead(deployment.table(3)))
    answer(daemon, asked, asked.message.n_needed)
    assert not daemon.node.state.quotas.charges


def test_restarted_daemon_gets_its_share_while_another_one_stays_away():
    """After all VMs lost power, callers got 429 for 10 s as one did not return."""
    shares = daemon_shares.DaemonShares(
        hold_s=15, min_join_s=2, started_s=0, has_predecessor=True
    )
    assert shares.update(["b", "c"], ["b"], now_s=1) == 0
    assert shares.update(["b", "c"], ["b"], now_s=2) == pytest.approx(1 / 3)
    of_new_vm = daemon_shares.DaemonShares(hold_s=15, min_join_s=2, started_s=0)
    assert of_new_vm.update(["b", "c"], ["b"], now_s=2) == 0
