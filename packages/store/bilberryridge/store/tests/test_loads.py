import random
import unittest.mock

import pytest

from bilberryridge.decisions import effects
from bilberryridge.store import loads, settings, timers
from bilberryridge.utilities import metrics


@pytest.mark.parametrize(("n_servers", "interval_s"), [(1, 1.0), (8, 1.0), (32, 4.0)])
def test_each_of_many_servers_is_read_less_often(n_servers, interval_s):
    cfg = settings.PlatformSettings("vm", "d", "http://s", "http://l")
    running = unittest.mock.Mock()
    reader = loads.LoadReader(
        cfg,
        running,
        timers.Timers(),
        lambda event: None,
        metrics.NullMetrics(),
        random.Random(1),
    )
    servers = tuple((f"s{i}", f"127.0.0.1:{i + 1}") for i in range(n_servers))
    reader.replace(effects.ReadLoads(servers), 0.0)
    assert reader.interval_s == interval_s
