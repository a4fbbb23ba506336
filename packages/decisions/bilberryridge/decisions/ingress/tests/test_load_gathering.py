"""Loads of a large region's daemons reach all others in time with few messages."""

import collections

import pytest

from bilberryridge.decisions.ingress import effects, events, load_messages
from bilberryridge.decisions.ingress.tests import deployment

TICK_S = 0.05
MAX_VIEW_AGE_S = 0.3


class Region:
    """Daemons of one region with links among them, in steps of a tick."""

    def __init__(self, n_by_domain):
        self.entries = [
            deployment.entry(f"{domain}-{n:02}", domain)
            for domain, n_daemons in n_by_domain.items()
            for n in range(n_daemons)
        ]
        servers = [deployment.server(f"s{n}", n_slots=10_000) for n in range(4)]
        self.daemons = {
            entry.name: deployment.Daemon(
                servers, [e for e in self.entries if e != entry], own=entry.name
            )
            for entry in self.entries
        }
        for entry in self.entries:
            node = self.daemons[entry.name].node
            node.state.cfg = type(node.state.cfg)(entry, deployment.REGION_BY_DOMAIN)
            node.state.members.local_entry = entry
            node.state.gathering._local = entry
        self.cut = set()
        self.silent = set()
        self.n_sent = collections.Counter()

    def step(self):
        """Let each daemon tick; messages arrive before the next tick."""
        outgoing = []
        for name, daemon in self.daemons.items():
            if name in self.silent:
                daemon.now_s += TICK_S
                continue
            for effect in daemon.tick(TICK_S):
                if isinstance(effect, effects.SendPeerMessage):
                    outgoing.append((name, effect.vm, effect.message))
                    self.n_sent[name] += 1
        for sender, receiver, message in outgoing:
            if receiver not in self.silent and (sender, receiver) not in self.cut:
                self.daemons[receiver].handle(events.PeerSaid(sender, message))

    def run(self, seconds):
        """Run for a while."""
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def close_links(self, name):
        """Close the links to a daemon, as after its end."""
        self.silent.add(name)
        for other, daemon in self.daemons.items():
            if other != name:
                daemon.handle(events.LinkDown(name, "i1"))

    def gathering(self):
        """Return the daemons that gather loads."""
        return [
            name
            for name, daemon in self.daemons.items()
            if daemon.node.state.loads_plan.is_gathering and name not in self.silent
        ]

    def views(self, server_id):
        """Return how many open requests each daemon sees at a server."""
        return {
            name: daemon.node.state.servers.by_id[server_id].work.sums.n_open
            for name, daemon in self.daemons.items()
            if name not in self.silent
        }


def send_one(region, name):
    """Let a daemon send a request; return the server."""
    return region.daemons[name].arrive(f"{name}-1", "unsafe").server.id


def age_until_all_see(region, server_id, n_open):
    """Return the time until all daemons see that many open requests."""
    for n in range(100):
        if set(region.views(server_id).values()) == {n_open}:
            return n * TICK_S
        region.step()
    return float("inf")


@pytest.mark.parametrize(
    "n_by_domain", [{"d1": 4, "d3": 3}, {"d1": 30, "d3": 30}, {"d1": 30}]
)
def test_all_daemons_see_a_request_in_time(n_by_domain):
    region = Region(n_by_domain)
    region.run(4.0)
    server_id = send_one(region, region.entries[2].name)
    assert age_until_all_see(region, server_id, 1) <= MAX_VIEW_AGE_S
    region.run(1.0)
    assert set(region.views(server_id).values()) == {1}


def test_messages_of_a_daemon_do_not_grow_with_the_daemons():
    n_sent = {}
    for n_daemons in (12, 60):
        region = Region({"d1": n_daemons // 2, "d3": n_daemons // 2})
        for step in range(80):
            if step == 60:
                region.n_sent.clear()
            for name, daemon in region.daemons.items():
                daemon.arrive(f"{name}-{step}", "unsafe")
            region.step()
        gathering = region.gathering()
        assert len(gathering) == 2
        n_sent[n_daemons] = max(
            n for name, n in region.n_sent.items() if name not in gathering
        )
    assert n_sent[60] <= 1.3 * n_sent[12]


@pytest.mark.parametrize("is_link_closed", [True, False])
def test_loads_are_seen_though_a_gathering_daemon_ends_or_freezes(is_link_closed):
    region = Region({"d1": 20, "d3": 20})
    region.run(4.0)
    gone = region.gathering()[0]
    region.silent.add(gone)
    if is_link_closed:
        region.close_links(gone)
    region.run(1.5)
    sender = next(e.name for e in region.entries if e.name != gone)
    server_id = send_one(region, sender)
    assert age_until_all_see(region, server_id, 1) <= 0.5


def test_what_a_gathering_daemon_had_not_handed_on_is_told_anew():
    region = Region({"d1": 20, "d3": 20})
    region.run(4.0)
    gone = region.gathering()[0]
    domain = gone[:2]
    sender = next(
        e.name for e in region.entries if e.name != gone and e.domain == domain
    )
    server_id = send_one(region, sender)
    region.daemons[sender].tick(TICK_S)
    region.close_links(gone)
    region.run(3.0)
    assert set(region.views(server_id).values()) == {1}


def test_loads_are_seen_where_daemons_disagree_on_who_gathers():
    region = Region({"d1": 20, "d3": 20})
    region.run(4.0)
    gathering = region.gathering()[0]
    lonely = next(
        e.name for e in region.entries if e.name != gathering and e.domain == "d1"
    )
    region.daemons[lonely].handle(events.LinkDown(gathering, "i1"))
    region.cut |= {(gathering, lonely), (lonely, gathering)}
    region.run(3.0)
    others = [e.name for e in region.entries if e.name != gathering]
    server_id = send_one(region, lonely)
    region.run(1.0)
    views = region.views(server_id)
    assert {views[name] for name in others} == {1}
    other = next(name for name in others if name != lonely)
    other_server_id = send_one(region, other)
    region.run(1.0)
    assert region.views(other_server_id)[lonely] >= 1


def test_loads_of_an_ended_daemon_are_not_brought_back():
    region = Region({"d1": 20, "d3": 20})
    region.run(4.0)
    gathering = region.gathering()[0]
    ended = next(e for e in region.entries if e.name not in region.gathering())
    server_id = send_one(region, ended.name)
    region.run(1.0)
    region.close_links(ended.name)
    late = load_messages.DaemonReport(
        ended.incarnation,
        load_messages.DaemonLoads({server_id: load_messages.ServerShare(n_open=1)}),
    )
    message = load_messages.GatheredLoads({ended.name: late})
    receiver = next(n for n in region.views(server_id) if n != gathering)
    region.daemons[receiver].handle(events.PeerSaid(gathering, message))
    assert region.views(server_id)[receiver] == 0


def test_small_region_reports_directly():
    region = Region({"d1": 5, "d3": 5})
    region.run(2.0)
    assert region.gathering() == []
