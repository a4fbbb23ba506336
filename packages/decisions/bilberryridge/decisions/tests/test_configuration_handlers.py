import attrs

from bilberryridge.core import documents, messages
from bilberryridge.decisions import effects, events
from bilberryridge.decisions.tests import fleet


def revisions(running):
    return {
        vm: node.state.replica.complete_revision for vm, node in running.nodes.items()
    }


def weights(tail):
    return documents.Weights("deployment", tail_latency=tail)


def test_change_reaches_daemons_that_do_not_reach_the_store():
    running = fleet.Fleet()
    versions = fleet.versions_of([weights(5.0)], 9)
    running.give("north-0", events.ConfigurationRead(1, 9, versions))
    for _ in range(60):
        running.tick(0.05)
        running.deliver_all()
    assert set(revisions(running).values()) == {9}
    found = {n.state.deployment.weights.tail_latency for n in running.nodes.values()}
    assert found == {5.0}


def test_daemon_that_starts_during_an_outage_gets_the_state_from_peers():
    running = fleet.Fleet()
    running.start("north-0", is_configured=False)
    for _ in range(60):
        running.tick(0.05)
        running.deliver_all()
    assert revisions(running)["north-0"] == 1
    assert running.nodes["north-0"].state.daemon_state == "serving"


def test_older_store_never_reverts_the_configuration():
    running = fleet.Fleet()
    node = running.nodes["north-0"].state
    running.give(
        "north-0", events.ConfigurationRead(1, 9, fleet.versions_of([weights(5.0)], 9))
    )
    older = fleet.versions_of([*running.documents, weights(1.0)], 1)
    for revision in (3, 12):
        running.give("north-0", events.ConfigurationRead(0, revision, older))
        assert node.deployment.weights.tail_latency == 5.0
        assert node.is_store_suspect
    healed = (
        *fleet.versions_of(running.documents, 1),
        *fleet.versions_of([weights(5.0)], 13),
    )
    running.give("north-0", events.ConfigurationRead(0, 13, healed))
    assert not node.is_store_suspect
    assert node.replica.complete_revision == 13


def test_watch_that_skipped_changes_is_restarted():
    running = fleet.Fleet()
    running.effects.clear()
    versions = fleet.versions_of([weights(5.0)], 9)
    running.give("north-0", events.ConfigurationRead(8, 9, versions))
    assert revisions(running)["north-0"] == 1
    wanted = [e for _, e in running.effects if isinstance(e, effects.WatchStore)]
    assert wanted
    assert wanted[-1].after_revision == 1


def test_two_daemons_of_a_domain_watch_while_they_reach_the_store():
    running = fleet.Fleet(fleet.make_documents(("north",), n_daemons=6))
    for vm in running.nodes:
        running.give(vm, events.StoreReachable(True))
    for _ in range(120):
        running.tick(0.05)
        running.deliver_all(500)
    watching = [vm for vm, n in running.nodes.items() if n.state.is_watching]
    assert len(watching) == 2
    for vm in watching:
        running.give(vm, events.StoreReachable(False))
    for _ in range(60):
        running.tick(0.05)
        running.deliver_all(500)
    assert len([n for n in running.nodes.values() if n.state.is_watching]) > 2


def test_invalid_document_is_counted_and_the_rest_is_in_force():
    running = fleet.Fleet()
    bad = documents.Version("service/broken", 9, b"{")
    good = fleet.versions_of([weights(5.0)], 9)
    running.give("north-0", events.ConfigurationRead(1, 9, (bad, *good)))
    node = running.nodes["north-0"].state
    assert node.deployment.weights.tail_latency == 5.0
    counted = [e.name for _, e in running.effects if isinstance(e, effects.Count)]
    assert "configuration_documents_refused" in counted


def test_peer_behind_is_sent_the_changes_after_its_revision():
    running = fleet.Fleet()
    running.give(
        "north-0", events.ConfigurationRead(1, 9, fleet.versions_of([weights(5.0)], 9))
    )
    running.controls.clear()
    wanted = messages.Frame("south-0", "i3", 1, messages.ConfigurationRequest(1))
    running.give("north-0", events.PeerSaid(wanted))
    (sent,) = [
        c.effect.body
        for c in running.controls
        if isinstance(c.effect.body, messages.ConfigurationChanges)
    ]
    assert [v.key for v in sent.versions] == ["weights/deployment"]
    assert attrs.astuple(sent)[:2] == (1, 9)
