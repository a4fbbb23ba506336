"""Who may send a request, by its key, at its arrival and before further attempts."""

import attrs
import pytest

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import effects, events
from bilberryridge.decisions.ingress.tests import deployment

ACME = ingress.Organisation("acme", frozenset([b"k1", b"k2"]), priority=2)
EAST = ingress.Organisation("eastern", frozenset([b"e"]), frozenset(["east"]))
WEST = ingress.Organisation("western", frozenset([b"w"]), frozenset(["west"]))
ROUTES = (
    *deployment.ROUTES,
    deployment.route("open", "safe", is_public=True),
    deployment.route("patient", "safe", max_attempts=4),
)
PEER = deployment.entry("vm-2", "d2")
NEIGHBOUR = deployment.entry("vm-3")


def make_table(version=2, organisations=(ACME, EAST, WEST)):
    return deployment.table(version, ROUTES, organisations)


def make_daemon(table=None, **changes):
    servers = changes.pop("servers", [deployment.server(name) for name in "abc"])
    daemon = deployment.Daemon(servers=servers, **changes)
    daemon.handle(events.TableRead(table or make_table()))
    return daemon


def revoke(daemon, digest=b"k1"):
    table = daemon.node.state.table
    kept = tuple(
        attrs.evolve(each, key_digests=each.key_digests - {digest})
        for each in table.organisations
    )
    daemon.handle(events.TableRead(make_table(table.version + 1, kept)))


def test_first_organisation_holds_a_key_of_two():
    other = ingress.Organisation("other", frozenset([b"k1", b"x"]))
    table = make_table(organisations=(ACME, other))
    assert table.organisation_of_key(b"k1") is ACME
    assert table.organisation_of_key(b"x") is other


@pytest.mark.parametrize("digest", [b"", b"x"])
def test_request_without_a_known_key_is_refused_as_not_run(digest):
    daemon = make_daemon()
    req = deployment.request("1", "safe", key_digest=digest)
    at_head = daemon.node.refuse_head(daemon.now_s, req)
    [refused] = daemon.handle(events.RequestArrived(req))
    assert refused == at_head
    assert refused.refusal == outcomes.Refusal(
        outcomes.Reason.UNAUTHENTICATED, outcomes.Outcome.NOT_RUN
    )
    assert refused.refusal.status == 401


def test_take_up_with_an_unknown_key_is_refused_before_the_store_is_asked():
    daemon = make_daemon(servers=[deployment.server("a", "model", n_slots=64)])
    refused = daemon.arrive("1", "digest", last_event_id="3", taken_up_id="c0")
    assert refused.refusal.status == 401


@pytest.mark.parametrize(
    ("path", "digest", "organisation", "priority"),
    [
        ("safe", b"k1", "acme", 2),
        ("safe", b"e", "eastern", 0),
        ("open", b"", "", 0),
        ("open", b"k1", "", 0),
    ],
)
def test_request_is_sent_for_the_organisation_of_its_key(
    path, digest, organisation, priority
):
    daemon = make_daemon()
    sent = daemon.arrive("1", path, key_digest=digest)
    assert isinstance(sent, effects.SendToServer)
    assert sent.organisation == organisation
    assert sent.priority == priority
    assert sent.log_fields.get("organisation", "") == organisation
    req = deployment.request("2", path, key_digest=digest)
    assert daemon.node.refuse_head(daemon.now_s, req) is None


def test_without_organisations_no_key_is_needed():
    daemon = deployment.Daemon(servers=[deployment.server("a")])
    assert not daemon.node.names_organisations
    sent = daemon.arrive("1", "safe", key_digest=b"k1")
    assert sent.organisation is None


def test_daemon_without_a_table_never_says_that_a_key_is_unknown():
    daemon = make_daemon()
    daemon.node.state.table = None
    req = deployment.request("1", "safe", key_digest=b"x")
    assert daemon.node.refuse_head(daemon.now_s, req) is None
    [refused] = daemon.handle(events.RequestArrived(req))
    assert refused.refusal.status == 503


@pytest.mark.parametrize(
    ("changes", "status"),
    [({"is_relayed": True, "table_version": 3}, 503), ({"path": "/none/x"}, 404)],
)
def test_head_is_refused_by_its_key_only_where_the_arrival_is(changes, status):
    daemon = make_daemon()
    req = attrs.evolve(deployment.request("1", "safe", key_digest=b"x"), **changes)
    assert daemon.node.refuse_head(daemon.now_s, req) is None
    [refused] = daemon.handle(events.RequestArrived(req))
    assert refused.refusal.status == status


# Keys that are revoked while requests are open.


@pytest.mark.parametrize(
    ("result", "changes", "reason"),
    [
        ("not run", {"status": 503}, "unauthenticated"),
        ("not run", {"is_misdirected": True}, "unauthenticated"),
        ("not sent", {}, "unauthenticated"),
        ("lost", {}, "answer-lost"),
        ("spoiled", {}, "answer-lost"),
    ],
)
def test_request_with_a_revoked_key_is_not_sent_again(result, changes, reason):
    daemon = make_daemon()
    sent = daemon.arrive("1", "patient", key_digest=b"k1")
    revoke(daemon)
    [refused] = daemon.end(sent, result, **changes)
    assert refused.refusal.reason.value == reason
    assert refused.refusal.retry_after_s is None
    is_not_run = refused.refusal.outcome is outcomes.Outcome.NOT_RUN
    assert is_not_run == (reason == "unauthenticated")


def test_answer_that_is_ready_is_delivered_though_the_key_is_revoked():
    daemon = make_daemon()
    for status in (200, 500):
        sent = daemon.arrive(str(status), "patient", key_digest=b"k1")
        revoke(daemon)
        [passed] = daemon.end(sent, "answered", status=status)
        assert isinstance(passed, effects.PassAnswer)
        daemon = make_daemon()


def test_refusal_does_not_say_not_run_after_an_attempt_that_may_have_run():
    daemon = make_daemon()
    sent = daemon.arrive("1", "patient", key_digest=b"k1")
    [again] = daemon.end(sent, "lost")
    revoke(daemon)
    [refused] = daemon.end(again, "not run", status=503)
    assert refused.refusal.reason is outcomes.Reason.ANSWER_LOST
    assert refused.refusal.outcome is outcomes.Outcome.UNKNOWN


def test_request_that_waits_to_be_placed_again_ends_when_its_key_is_revoked():
    daemon = make_daemon()
    sent = daemon.arrive("1", "patient", key_digest=b"k1")
    daemon.node.state.open_requests["1"].attempt = None
    daemon.node.state.open_requests["1"].place_again_s = daemon.now_s + 0.1
    revoke(daemon)
    refused = [e for e in daemon.tick(0.2) if isinstance(e, effects.Refuse)]
    assert [each.refusal.status for each in refused] == [401]
    assert sent.request_id == "1"


def test_stream_is_not_resumed_with_a_revoked_key():
    servers = [deployment.server(n, "model", n_slots=64) for n in "ab"]
    daemon = make_daemon(servers=servers)
    prompt = deployment.prompt()
    sent = daemon.arrive("1", "digest", prompt=prompt, key_digest=b"k1")
    revoke(daemon)
    [aborted] = daemon.end(sent, "lost", is_committed=True)
    assert isinstance(aborted, effects.AbortStream)
    assert aborted.log_fields["organisation"] == "acme"


def test_silent_attempt_is_not_replaced_with_a_revoked_key():
    daemon = make_daemon()
    sent = daemon.arrive("1", "patient", key_digest=b"k1")
    daemon.now_s += sent.first_byte_timeout_s
    revoke(daemon)
    emitted = daemon.handle(events.AttemptSilent("1", sent.attempt_id))
    assert [type(each) for each in emitted] == [effects.ProbeServer]
    assert "1" in daemon.node.state.open_requests


def test_further_attempt_is_for_the_organisation_that_holds_the_key_then():
    daemon = make_daemon()
    sent = daemon.arrive("1", "patient", key_digest=b"k1")
    heir = ingress.Organisation("heir", frozenset([b"k1"]))
    daemon.handle(events.TableRead(make_table(3, (heir,))))
    [again] = daemon.end(sent, "lost")
    assert again.organisation == "heir"


def test_further_attempt_names_no_organisation_once_the_table_names_none():
    daemon = make_daemon()
    sent = daemon.arrive("1", "patient", key_digest=b"k1")
    daemon.handle(events.TableRead(make_table(3, ())))
    [again] = daemon.end(sent, "lost")
    assert again.organisation is None


# Home regions and relays.


def relaying_daemon(peers=(PEER,), table=None):
    daemon = make_daemon(table, servers=(), peers=peers)
    for peer in peers:
        if peer.region == "west":
            daemon.handle(events.PeerSaid(peer.name, deployment.loads()))
    return daemon


@pytest.mark.parametrize(
    ("digest", "kind"),
    [(b"k1", effects.SendToPeer), (b"w", effects.SendToPeer), (b"e", effects.Refuse)],
)
def test_request_is_relayed_to_home_regions_only(digest, kind):
    effect = relaying_daemon().arrive("1", "safe", key_digest=digest)
    assert isinstance(effect, kind)
    if kind is effects.SendToPeer:
        assert effect.key_digest == digest
        assert "key_digest" not in repr(effect)


def test_relay_on_a_public_route_carries_no_digest():
    # A daemon of the previous build then serves it rightly.
    effect = relaying_daemon().arrive("1", "open", key_digest=b"k1")
    assert effect.key_digest == b""


def test_relay_without_organisations_carries_no_digest():
    daemon = relaying_daemon(table=make_table(2, ()))
    assert daemon.arrive("1", "safe", key_digest=b"k1").key_digest is None


def test_servers_of_this_region_are_not_used_outside_the_home_regions():
    daemon = make_daemon(peers=(PEER,))
    assert daemon.arrive("1", "safe", key_digest=b"w").refusal is not None
    daemon.handle(events.PeerSaid("vm-2", deployment.loads()))
    assert isinstance(daemon.arrive("2", "safe", key_digest=b"w"), effects.SendToPeer)
    assert isinstance(daemon.arrive("3", "safe", key_digest=b"e"), effects.SendToServer)


def test_stream_is_resumed_in_home_regions_only():
    servers = [deployment.server("a", "model", n_slots=64, version="v")]
    daemon = make_daemon(servers=servers, peers=(PEER,))
    daemon.handle(events.PeerSaid("vm-2", deployment.loads()))
    prompt = deployment.prompt()
    sent = daemon.arrive("1", "digest", prompt=prompt, key_digest=b"e")
    daemon.handle(events.ServersRead(()))
    [ended] = daemon.end(sent, "lost", is_committed=True)
    assert isinstance(ended, effects.AbortStream)


def test_relayed_request_is_checked_by_the_receivers_table():
    daemon = make_daemon()
    relayed = {"is_relayed": True, "table_version": 1}
    assert daemon.arrive("1", "safe", **relayed).refusal.status == 401
    refusal = daemon.arrive("2", "safe", key_digest=b"x", **relayed).refusal
    assert refusal.status == 401
    # The previous build then doesn't leave this daemon out for other requests.
    assert refusal.retry_after_s is not None
    # Of a sender whose table doesn't bind the organisation to another region yet.
    assert daemon.arrive("3", "safe", key_digest=b"w", **relayed).refusal.status == 503
    sent = daemon.arrive("4", "safe", key_digest=b"k1", **relayed)
    assert sent.organisation == "acme"


def test_no_common_region_is_refused_at_once_and_without_a_time_to_return():
    daemon = relaying_daemon()
    req = deployment.request("1", "home", key_digest=b"e")
    assert daemon.node.refuse_head(daemon.now_s, req)
    [refused] = daemon.handle(events.RequestArrived(req))
    assert refused.refusal.reason is outcomes.Reason.NO_SERVER
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN
    assert refused.refusal.retry_after_s is None
    assert refused.log_fields["organisation"] == "eastern"


def test_key_unknown_to_another_daemon_does_not_end_relays_of_other_keys():
    # The other daemon has a newer table; the caller's key is still in force here, so
    # the caller is not told that it is unknown.
    daemon = relaying_daemon()
    sent = daemon.arrive("1", "safe", key_digest=b"k1")
    [ended] = daemon.end(sent, "not run", status=401, is_server_reached=False)
    assert ended.refusal.reason is outcomes.Reason.NO_SERVER
    other = daemon.arrive("2", "safe", key_digest=b"k2")
    assert isinstance(other, effects.SendToPeer)


@pytest.mark.parametrize(
    ("digest", "expected"),
    [
        (b"", ["vm-1", "vm-2"]),
        (b"x", ["vm-1", "vm-2"]),
        (b"k1", ["vm-1", "vm-2"]),
        (b"w", ["vm-2"]),
        (b"e", ["vm-1"]),
    ],
)
def test_directory_names_entries_in_the_home_regions_of_the_caller(digest, expected):
    routes = (deployment.route("safe", "safe"),)
    daemon = make_daemon(peers=(PEER,))
    organisations = (ACME, EAST, WEST)
    daemon.handle(events.TableRead(deployment.table(3, routes, organisations)))
    found = daemon.node.entries_for(
        daemon.now_s, deployment.HOST, "elsewhere", "none", digest
    )
    assert sorted(entry.name for entry in found) == expected


def test_directory_names_entries_in_regions_that_route_and_organisation_allow():
    routes = (deployment.route("home", "safe", allowed_regions=frozenset(["west"])),)
    daemon = make_daemon(peers=(PEER,))
    daemon.handle(events.TableRead(deployment.table(3, routes, (ACME, EAST))))

    def find(digest):
        return daemon.node.entries_for(
            daemon.now_s, deployment.HOST, "elsewhere", "none", digest
        )

    assert [entry.name for entry in find(b"k1")] == ["vm-2"]
    assert find(b"e") == []
