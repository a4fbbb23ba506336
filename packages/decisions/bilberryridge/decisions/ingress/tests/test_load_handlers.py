"""Recipients, intervals and number of load reports with few and many daemons."""

import collections
import itertools

import pytest

from bilberryridge.decisions.ingress import effects, load_messages, regions
from bilberryridge.decisions.ingress.tests import deployment

SECONDS = 6.0
TICK_S = 0.05


def report_times(n_local, n_remote):
    """Return the times of reports of one region by kind, sender and recipient."""
    local_entries = [deployment.entry(f"vm-{n}") for n in range(n_local)]
    remote_entries = [deployment.entry(f"west-{n}", "d2") for n in range(n_remote)]
    times = collections.defaultdict(list)
    for own in local_entries:
        servers = (deployment.server("a"), deployment.server("b"))
        daemon = deployment.Daemon(
            servers, (*local_entries, *remote_entries), own=own.name
        )
        for step in range(round(SECONDS / TICK_S)):
            daemon.arrive(str(step), "safe")
            for effect in daemon.tick(TICK_S):
                if isinstance(effect, effects.SendPeerMessage):
                    kind = type(effect.message)
                    times[kind, own.name, effect.vm].append(daemon.now_s)
    return times


@pytest.mark.parametrize(("n_local", "n_remote"), [(1, 1), (3, 4), (23, 45)])
def test_each_remote_daemon_receives_reports_often_enough(n_local, n_remote):
    times = report_times(n_local, n_remote)
    for n in range(n_remote):
        received = sorted(
            t
            for (kind, _, vm), times_s in times.items()
            if kind is load_messages.RegionLoads and vm == f"west-{n}"
            for t in times_s
        )
        gaps = [b - a for a, b in itertools.pairwise(received)]
        assert max(gaps) <= 0.4 < regions.STALE_S / 2
        assert len(received) <= 6 * SECONDS / 0.3


@pytest.mark.parametrize("n_local", [3, 23, 63])
def test_daemon_sends_a_bounded_number_of_reports_within_its_region(n_local):
    times = report_times(n_local, 0)
    n_sent = collections.Counter()
    for (kind, sender, _), times_s in times.items():
        if kind is load_messages.DaemonLoads:
            n_sent[sender] += len(times_s)
    assert 10 <= max(n_sent.values()) <= 110 * SECONDS
