"""Which requests are refused while the configuration isn't proven the newest."""

import hashlib

import attrs
import pytest

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import configuration_proof, effects, events
from bilberryridge.decisions.ingress.tests import deployment

KEY, UNKNOWN_KEY = (hashlib.sha256(key).digest() for key in (b"k", b"?"))
ORGANISATION = ingress.Organisation("landscapers", frozenset([KEY]))
PUBLIC = deployment.route("open", "safe", is_public=True)
TABLE = attrs.evolve(
    deployment.table(5, (*deployment.ROUTES, PUBLIC)), organisations=(ORGANISATION,)
)
UNPROVEN = outcomes.Reason.CONFIGURATION_UNPROVEN


def make_daemon(bound_s=5.0, table=TABLE):
    servers = (deployment.server("a"),)
    daemon = deployment.Daemon(servers, revocation_bound_s=bound_s)
    daemon.handle(events.TableRead(table))
    return daemon


def prove(daemon, boot_s, source="store"):
    return daemon.node.handle(
        daemon.now_s, events.ConfigurationProven(boot_s, source), boot_s
    )


def arrive(daemon, boot_s, path="safe", **changes):
    """Send a request; return the reason of its refusal, or None."""
    req = deployment.request("q1", path, **{"key_digest": KEY, **changes})
    for effect in daemon.node.handle(daemon.now_s, events.RequestArrived(req), boot_s):
        if isinstance(effect, effects.Refuse):
            return effect.refusal.reason
    return None


@pytest.mark.parametrize(("age_s", "reason"), [(4.4, None), (4.6, UNPROVEN)])
def test_keys_are_accepted_with_proof_younger_than_the_bound(age_s, reason):
    daemon = make_daemon()
    prove(daemon, 100.0)
    assert arrive(daemon, 100.0 + age_s) is reason


def test_suspension_of_the_vm_counts_though_the_loop_has_not_seen_it():
    # The loop's clock stands still with the VM, so that it tells the same time.
    daemon = make_daemon()
    prove(daemon, 100.0)
    assert arrive(daemon, 130.0) is UNPROVEN


def test_daemon_that_restarts_in_an_outage_accepts_no_key():
    assert arrive(make_daemon(), 100.0) is UNPROVEN


def test_unknown_key_is_refused_as_unproven_too():
    # An organisation's new key may be in the version that this daemon lacks.
    assert arrive(make_daemon(), 100.0, key_digest=UNKNOWN_KEY) is UNPROVEN


@pytest.mark.parametrize(
    ("path", "changes"), [("open", {}), ("safe", {"is_relayed": True})]
)
def test_public_routes_and_relayed_requests_go_on(path, changes):
    # The daemon that the caller is connected to had proof of its own.
    assert arrive(make_daemon(), 100.0, path, **changes) is None


def test_nothing_is_refused_without_a_bound_or_organisations():
    assert arrive(make_daemon(bound_s=None), 100.0) is not UNPROVEN
    assert arrive(make_daemon(table=deployment.table(5)), 100.0) is None


def test_refusal_is_not_run_with_a_short_spread_retry_after():
    daemon = make_daemon()
    req = deployment.request("q1", "safe", key_digest=KEY)
    times_s = set()
    for _ in range(50):
        [effect] = daemon.node.handle(0.0, events.RequestArrived(req), 100.0)
        assert effect.refusal.outcome is outcomes.Outcome.NOT_RUN
        times_s.add(effect.refusal.retry_after_s)
    assert 0.05 < min(times_s) < max(times_s) <= 0.3
    assert len(times_s) > 40


def test_retry_after_rises_while_the_proof_stays_lost():
    proof = configuration_proof.ConfigurationProof(5.0)
    proof.take_change(100.0)
    times_s = [
        proof.retry_after_s(boot_s, deployment.random.Random(1))
        for boot_s in (100.1, 101.0, 200.0)
    ]
    assert times_s == sorted(times_s)
    assert times_s[-1] <= 1.5


def state_changes(sent):
    return [
        (effect.change, dict(effect.log_fields))
        for effect in sent
        if isinstance(effect, effects.LogStateChange)
        and effect.subject == "configuration"
    ]


def test_loss_and_return_of_the_proof_are_logged_once_with_age_and_source():
    daemon = make_daemon()
    [(change, log_fields)] = state_changes(prove(daemon, 100.0, "vm-2"))
    assert change == "is proven the newest"
    assert (log_fields["age_s"], log_fields["source"]) == (0.0, "vm-2")
    ticks = [daemon.node.handle(0.0, events.Tick(), 104.0 + n) for n in range(3)]
    [(change, log_fields)] = [line for sent in ticks for line in state_changes(sent)]
    assert change == "is not proven the newest"
    assert log_fields == {"age_s": 5.0, "source": "vm-2", "after_s": 5.0}
    [(change, log_fields)] = state_changes(prove(daemon, 107.0))
    assert (log_fields["source"], log_fields["after_s"]) == ("store", 2.0)


def test_bound_that_is_set_anew_needs_proof():
    daemon = make_daemon(bound_s=None)
    daemon.node.state.proof.set_bound(5.0)
    assert arrive(daemon, 100.0) is UNPROVEN
    prove(daemon, 100.0)
    assert arrive(daemon, 101.0) is None
