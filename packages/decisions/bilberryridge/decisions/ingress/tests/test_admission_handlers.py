"""When the division of the capacity acts on requests."""

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import effects, events, load_messages
from bilberryridge.decisions.ingress.tests import deployment

ENGINE = deployment.server("e1", "model", n_slots=64)
FULL = {"e1": load_messages.ServerShare(20, 40_000, 40_000, 100_000)}


def daemon(has_admission=True, **changes):
    peer = deployment.entry("vm-2")
    node = deployment.Daemon([ENGINE], [peer], has_admission=has_admission, **changes)
    node.handle(events.PeerSaid("vm-2", load_messages.DaemonLoads(FULL)))
    return node


def flood(node, n=300, path="query"):
    """Offer far more than an engine serves, by callers that leave at once."""
    emitted = []
    for index in range(n):
        node.now_s += 0.005
        [effect] = node.handle(
            events.RequestArrived(
                deployment.request(
                    f"{path}-{node.now_s}-{index}",
                    path,
                    prompt=deployment.prompt(8_000),
                )
            )
        )
        emitted.append(effect)
        node.handle(events.CallerGone(effect.request_id))
        if index % 10 == 0:
            node.tick(0.0)
    return emitted


def refused_for_others(emitted):
    return [
        effect
        for effect in emitted
        if isinstance(effect, effects.Refuse) and "admitted" in effect.log_fields
    ]


def test_without_the_setting_nothing_is_refused_for_others():
    assert not refused_for_others(flood(daemon(has_admission=False)))


def test_without_the_setting_reports_are_as_before():
    """Other deployments must not pay for messages that nobody reads."""
    node = daemon(has_admission=False)
    flood(node)
    reports = [
        effect.message
        for effect in node.tick(0.5)
        if isinstance(effect, effects.SendPeerMessage)
    ]
    assert all(
        report.offered is None
        for report in reports
        if isinstance(report, load_messages.DaemonLoads)
    )


def test_overload_refuses_within_the_goal():
    refusals = refused_for_others(flood(daemon()))
    assert refusals
    goal_s = 0.8
    for effect in refusals:
        assert 0 < effect.refusal.retry_after_s < goal_s
        assert effect.refusal.outcome.value == "not_run"


def test_begin_and_end_are_logged():
    node = daemon()
    node.tick(0.2)
    emitted = []
    for index in range(300):
        node.now_s += 0.005
        prompt = deployment.prompt(8_000)
        arrived = deployment.request(str(index), "query", prompt=prompt)
        node.handle(events.RequestArrived(arrived))
        node.handle(events.CallerGone(str(index)))
        emitted += node.tick(0.0)
    emitted += node.tick(5.0)
    changes = [
        effect.change
        for effect in emitted
        if isinstance(effect, effects.LogStateChange) and effect.subject == "admission"
    ]
    assert changes[:1] == ["model is rationed"]
    assert changes[-1] == "model is open to all"


def test_other_regions_learn_that_a_service_is_rationed():
    node = daemon()
    flood(node)
    node.handle(events.LinkUp(deployment.entry("vm-3", "d2")))
    reports = [
        effect.message
        for effect in node.tick(1.0)
        if isinstance(effect, effects.SendPeerMessage)
        and isinstance(effect.message, load_messages.RegionLoads)
    ]
    assert reports
    assert all(report.rationed == frozenset(["model"]) for report in reports)


def test_rationed_region_gets_no_overflow_but_what_only_it_may_serve():
    """A request that is bound to a region has nowhere else to go."""
    node = deployment.Daemon([ENGINE], [deployment.entry("vm-3", "d2")])
    loads = deployment.loads()
    rationed = load_messages.RegionLoads(
        "west", loads.by_service, rationed=frozenset(["model", "desk"])
    )
    node.handle(events.PeerSaid("vm-3", rationed))
    full = {"e1": load_messages.ServerShare(64, 400_000, 400_000, 100_000)}
    node.handle(events.PeerSaid("vm-2", load_messages.DaemonLoads(full)))
    refused = node.arrive("1", "query", prompt=deployment.prompt())
    assert isinstance(refused, effects.Refuse)
    assert isinstance(node.arrive("2", "home"), effects.SendToPeer)


def test_organisations_share_alike_whatever_they_offer():
    organisations = tuple(
        ingress.Organisation(name, frozenset([name.encode()])) for name in ("a", "b")
    )
    node = daemon()
    table = ingress.RoutingTable(
        2, deployment.ROUTES, deployment.SERVICES, organisations=organisations
    )
    node.handle(events.TableRead(table))
    n_sent = {b"a": 0, b"b": 0}
    for index in range(1_200):
        node.now_s += 0.005
        key = b"a" if index % 10 else b"b"
        arrived = deployment.request(
            str(index), "query", prompt=deployment.prompt(8_000), key_digest=key
        )
        [effect] = node.handle(events.RequestArrived(arrived))
        node.handle(events.CallerGone(str(index)))
        node.tick(0.0)
        if index >= 400 and not refused_for_others([effect]):
            n_sent[key] += 1
    n_offered_b = 80
    assert n_sent[b"b"] >= 0.5 * min(n_offered_b, sum(n_sent.values()) / 2)
