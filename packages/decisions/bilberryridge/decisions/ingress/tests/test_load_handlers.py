"""Who is told of loads, how often, and what that costs with many daemons."""

import collections
import itertools

import pytest

from bilberryridge.decisions.ingress import effects, load_messages, regions
from bilberryridge.decisions.ingress.tests import deployment

SECONDS = 6.0
TICK_S = 0.05


def told(n_near, n_abroad):
    """Return when each daemon of one region told what to whom."""
    near = [deployment.entry(f"vm-{n}") for n in range(n_near)]
    abroad = [deployment.entry(f"west-{n}", "d2") for n in range(n_abroad)]
    times = collections.defaultdict(list)
    for own in near:
        servers = (deployment.server("a"), deployment.server("b"))
        made = deployment.Daemon(servers, (*near, *abroad), own=own.name)
        for step in range(round(SECONDS / TICK_S)):
            made.arrive(str(step), "safe")
            for effect in made.tick(TICK_S):
                if isinstance(effect, effects.SendPeerMessage):
                    kind = type(effect.message)
                    times[kind, own.name, effect.vm].append(made.now_s)
    return times


@pytest.mark.parametrize(("n_near", "n_abroad"), [(1, 1), (3, 4), (23, 45)])
def test_each_daemon_abroad_hears_often_enough(n_near, n_abroad):
    times = told(n_near, n_abroad)
    for n in range(n_abroad):
        heard = sorted(
            t
            for (kind, _, vm), row in times.items()
            if kind is load_messages.RegionLoads and vm == f"west-{n}"
            for t in row
        )
        gaps = [b - a for a, b in itertools.pairwise(heard)]
        assert max(gaps) <= 0.4 < regions.STALE_S / 2
        assert len(heard) <= 6 * SECONDS / 0.3


@pytest.mark.parametrize("n_near", [3, 23, 63])
def test_a_daemon_sends_a_bounded_number_of_messages_within_its_region(n_near):
    times = told(n_near, 0)
    n_sent = collections.Counter()
    for (kind, sender, _), row in times.items():
        if kind is load_messages.DaemonLoads:
            n_sent[sender] += len(row)
    assert 10 <= max(n_sent.values()) <= 110 * SECONDS
