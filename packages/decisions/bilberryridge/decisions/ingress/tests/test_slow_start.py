"""Windows of servers that return: one daemon and many, faults on the way, cold rate."""

import bisect
import heapq
import itertools
import random

import attrs
import pytest

from bilberryridge.decisions.ingress import (
    effects,
    events,
    load_messages,
    slow_start,
)
from bilberryridge.decisions.ingress.tests import deployment

TICK_S = 0.05
LINK_DELAY_S = 0.001
ANSWER_S = 0.035
STATED = events.ServerLoad(0, 0, 6, 1.0)


class Region:
    """Daemons of a region before plain servers that may be away, slow or full.

    Parameters
    ----------
    n_daemons, n_servers : int
    is_stated : bool
        Whether servers state their pace.
    """

    def __init__(self, n_daemons, n_servers=2, is_stated=True, n_slots=6):
        self.random_state = random.Random(7)
        self.now_s = 100.0
        self.is_stated = is_stated
        self.n_slots = n_slots
        self.servers = [
            deployment.server(f"s{n}", start_time_ms=1, n_slots=n_slots)
            for n in range(n_servers)
        ]
        self.answer_s = {server.id: ANSWER_S for server in self.servers}
        self.away = set()
        self.n_open = dict.fromkeys(self.answer_s, 0)
        self.most_open = dict.fromkeys(self.answer_s, 0)
        self.received_s = {server.id: [] for server in self.servers}
        self.refused = []
        self.changes = []
        self.is_cut = False
        self.delay_s = LINK_DELAY_S
        self._queue = []
        self._numbers = itertools.count()
        entries = [deployment.entry(f"vm-{n:02}") for n in range(n_daemons)]
        self.daemons = {
            entry.name: deployment.Daemon(
                self.servers, [e for e in entries if e != entry], entry.name
            )
            for entry in entries
        }
        for name, daemon in self.daemons.items():
            daemon.node.state.random_state = random.Random(name)
            self._at(self.now_s + self.random_state.random() * TICK_S, self._tick, name)

    def offer(self, names, per_s, for_s):
        now_s = self.now_s
        until_s = now_s + for_s
        while (now_s := now_s + self.random_state.expovariate(per_s)) < until_s:
            self._at(now_s, self._arrive, self.random_state.choice(names))

    def run(self, for_s):
        until_s = self.now_s + for_s
        while self._queue and self._queue[0][0] <= until_s:
            self.now_s, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        self.now_s = until_s

    def restart(self, *ids, warmup_s=0.0):
        """Let servers start again, as all daemons read at once."""
        self.away -= set(ids)
        self.servers = [
            attrs.evolve(
                server,
                start_time_ms=server.start_time_ms + 1,
                warmup_remaining_s=warmup_s,
            )
            if server.id in ids
            else server
            for server in self.servers
        ]
        for name in self.daemons:
            self._handle(name, events.ServersRead(tuple(self.servers)))
        for server_id in ids:
            self.most_open[server_id] = 0
            self.received_s[server_id].clear()

    def window(self, server_id, name="vm-00"):
        return self.daemons[name].node.state.servers.by_id[server_id].start_window

    def steps(self, server_id):
        return [
            change.log_fields["step"]
            for change in self.changes
            if change.change.startswith(f"slow start of {server_id} ")
        ]

    def most_in_a_second(self, server_id):
        times_s = self.received_s[server_id]
        return max(
            (
                bisect.bisect_right(times_s, at_s + 1.0) - n
                for n, at_s in enumerate(times_s)
            ),
            default=0,
        )

    def _at(self, at_s, call, *arguments):
        heapq.heappush(self._queue, (at_s, next(self._numbers), call, arguments))

    def _handle(self, name, event):
        daemon = self.daemons[name]
        daemon.now_s = self.now_s
        for effect in daemon.handle(event):
            if isinstance(effect, effects.SendToServer):
                self._at(self.now_s + LINK_DELAY_S, self._receive, name, effect)
            elif isinstance(effect, effects.ProbeServer):
                self._at(self.now_s + LINK_DELAY_S, self._probe, name, effect.server)
            elif isinstance(effect, effects.Refuse):
                self.refused.append((self.now_s, effect))
            elif isinstance(effect, effects.LogStateChange):
                if effect.subject == "slow start":
                    self.changes.append(effect)
            elif (
                isinstance(effect, effects.SendPeerMessage)
                and isinstance(effect.message, load_messages.DaemonLoads)
                and not self.is_cut
            ):
                said = events.PeerSaid(name, effect.message)
                self._at(self.now_s + self.delay_s, self._handle, effect.vm, said)

    def _tick(self, name):
        self._handle(name, events.Tick())
        self._at(self.now_s + TICK_S, self._tick, name)

    def _arrive(self, name):
        req = deployment.request(str(next(self._numbers)), "unsafe")
        self._handle(name, events.RequestArrived(req))

    def _probe(self, name, server):
        is_connected = server.id not in self.away
        ended = events.ProbeEnded(server.id, server.start_time_ms, is_connected)
        self._handle(name, ended)

    def _receive(self, name, sent):
        server_id = sent.server.id
        ids = (sent.request_id, sent.attempt_id)
        if server_id in self.away:
            result = events.AttemptResult.NOT_SENT
            self._handle(name, events.AttemptEnded(*ids, result))
            return
        self.received_s[server_id].append(self.now_s)
        self.n_open[server_id] += 1
        self.most_open[server_id] = max(
            self.most_open[server_id], self.n_open[server_id]
        )
        n_rounds = -(-self.n_open[server_id] // self.n_slots)
        answer_s = self.answer_s[server_id] * n_rounds
        self._at(self.now_s + answer_s, self._answer, name, sent, answer_s)

    def _answer(self, name, sent, took_s):
        self.n_open[sent.server.id] -= 1
        ids = (sent.request_id, sent.attempt_id)
        result = events.AttemptResult.ANSWERED
        if sent.server.id in self.away:
            result = events.AttemptResult.LOST
        else:
            load = STATED if self.is_stated else None
            self._handle(name, events.ServerSaid(*ids, load=load))
            self._handle(name, events.AttemptBegan(*ids))
        status = 200 if result is events.AttemptResult.ANSWERED else 0
        self._handle(
            name,
            events.AttemptEnded(*ids, result, status, first_s=took_s, took_s=took_s),
        )


def all_of(region):
    return list(region.daemons)


def began(n_daemons, n_servers=2, **settings):
    """Return a region whose servers have stated their pace."""
    region = Region(n_daemons, n_servers, **settings)
    region.offer(all_of(region), 60.0, 2.0)
    region.run(3.0)
    return region


def test_servers_that_state_no_pace_get_no_window():
    """Guards the earlier deployments."""
    region = began(3, is_stated=False)
    region.restart("s0")
    region.offer(all_of(region), 60.0, 1.0)
    region.run(1.0)
    assert not region.changes
    assert not region.window("s0").is_on


def test_setting_asks_for_windows_where_no_pace_is_stated():
    daemon = deployment.Daemon(
        [deployment.server("a", start_time_ms=1)], is_slow_start_forced=True
    )
    assert not daemon.node.state.servers.by_id["a"].start_window.is_on
    restarted = deployment.server("a", start_time_ms=2)
    daemon.handle(events.ServersRead((restarted,)))
    assert daemon.node.state.servers.by_id["a"].start_window.is_on


@pytest.mark.parametrize("n_daemons", [1, 3, 22, 97])
def test_one_of_many_returns_and_is_neither_flooded_nor_idle(n_daemons):
    """Guards against 97 windows of one, and against one daemon that never begins."""
    region = began(n_daemons, 6, n_slots=16)
    region.restart("s0")
    region.offer(all_of(region), 150.0, 6.0)
    region.run(0.3)
    assert region.most_open["s0"] <= 8
    region.run(5.7)
    assert len(region.received_s["s0"]) > 0
    assert "ended" in region.steps("s0") or region.window("s0").window >= 4


@pytest.mark.parametrize("n_daemons", [22, 97])
def test_returned_server_gets_its_fair_part_from_the_first_second(n_daemons):
    """Guards against a flood whose late answers leave the server idle for seconds."""
    region = began(n_daemons, 6, n_slots=16)
    region.restart("s0")
    region.offer(all_of(region), 600.0, 3.0)
    region.run(0.5)
    assert region.most_open["s0"] <= 16
    for _ in range(5):
        n_before = len(region.received_s["s0"])
        region.run(0.5)
        assert len(region.received_s["s0"]) - n_before >= 0.6 * 50


def test_one_daemon_with_all_requests_gets_the_whole_window():
    """Guards against equal parts for daemons that have nothing to send."""
    region = began(97, 1)
    region.restart("s0")
    region.offer(["vm-00"], 100.0, 6.0)
    region.run(6.0)
    since_s = region.now_s - 2.0
    n_late = sum(at_s > since_s for at_s in region.received_s["s0"])
    assert n_late >= 0.8 * 200


@pytest.mark.parametrize("n_daemons", [3, 97])
def test_all_return_at_once_open_faster_and_the_rest_is_refused_at_once(n_daemons):
    region = began(n_daemons, 4)
    region.restart(*(server.id for server in region.servers))
    began_s = region.now_s
    region.offer(all_of(region), 400.0, 4.0)
    region.run(0.5)
    # As many as a server runs and queues. After the windows daemons choose by reports
    # that are up to 1 s old, as without windows.
    assert max(region.most_open.values()) <= 24
    n_first = sum(len(times_s) for times_s in region.received_s.values())
    assert n_first >= 0.3 * 200
    region.run(3.5)
    since_s = region.now_s - 1.0
    n_last = sum(
        at_s > since_s for times_s in region.received_s.values() for at_s in times_s
    )
    assert n_last >= 0.9 * 400
    assert all(
        effect.refusal.retry_after_s is not None
        for at_s, effect in region.refused
        if at_s >= began_s
    )
    assert any(change.log_fields.get("alone") for change in region.changes)


def test_server_that_returns_slow_and_stays_so_keeps_a_small_window():
    region = began(9, 3)
    region.answer_s["s0"] = 20 * ANSWER_S
    region.restart("s0")
    region.offer(all_of(region), 60.0, 3.0)
    region.run(3.0)
    assert "halved" in region.steps("s0")
    assert region.most_open["s0"] <= 6


def test_server_that_crashes_again_while_it_opens_begins_anew():
    region = began(9, 3)
    region.restart("s0")
    region.offer(all_of(region), 90.0, 0.3)
    region.run(0.3)
    region.away.add("s0")
    region.offer(all_of(region), 90.0, 1.0)
    region.run(1.0)
    region.restart("s0")
    assert region.window("s0").window <= slow_start.MIN_FIRST
    region.offer(all_of(region), 90.0, 5.0)
    region.run(5.0)
    assert region.steps("s0")[-1] == "ended"


def test_stale_reports_do_not_let_the_window_overflow():
    """Reports that are 0.5 s late, and none at all."""
    for is_cut in (False, True):
        region = began(22, 4, n_slots=16)
        region.delay_s = 0.5
        region.is_cut = is_cut
        if is_cut:
            for name in region.daemons:
                for other in region.daemons:
                    region._handle(name, events.LinkDown(other))
        region.restart("s0")
        region.offer(all_of(region), 150.0, 0.4)
        region.run(0.4)
        assert region.most_open["s0"] <= 8


@pytest.mark.parametrize("n_daemons", [3, 22, 97])
def test_cold_rate_holds_for_all_daemons_together(n_daemons):
    region = began(n_daemons, 3)
    region.restart("s0", warmup_s=3.0)
    region.offer(all_of(region), 200.0, 2.9)
    region.run(2.9)
    cold_per_s = deployment.SERVICES["desk"].warmup_requests_per_s
    assert 0 < region.most_in_a_second("s0") <= 1.5 * cold_per_s + 3


def test_path_that_others_did_not_lose_begins_no_window():
    region = began(3, 2)
    name = "vm-00"
    server = region.daemons[name].node.state.servers.by_id["s0"]
    server.path.record_failure(region.now_s)
    share = load_messages.ServerShare(n_open=2)
    said = events.PeerSaid("vm-01", load_messages.DaemonLoads({"s0": share}))
    region._handle(name, said)
    region._handle(name, events.ProbeEnded("s0", 1, True))
    assert not server.start_window.is_on
    said = events.PeerSaid(
        "vm-01", load_messages.DaemonLoads({"s0": load_messages.ServerShare()})
    )
    region._handle(name, said)
    server.path.record_failure(region.now_s)
    region._handle(name, events.ProbeEnded("s0", 1, True))
    assert server.start_window.is_on


def test_end_of_an_evacuation_begins_windows():
    region = began(1, 2)
    region._handle("vm-00", events.EvacuationsRead(frozenset(["d1"])))
    assert not region.window("s0").is_on
    region._handle("vm-00", events.EvacuationsRead(frozenset()))
    assert region.window("s0").is_on
    assert region.window("s1").is_on


def test_end_of_the_time_that_a_server_asked_for_begins_a_window():
    region = began(1, 2)
    daemon = region.daemons["vm-00"]
    daemon.now_s = region.now_s
    sent = daemon.arrive("busy", "unsafe")
    ids = (sent.request_id, sent.attempt_id)
    daemon.handle(events.ServerSaid(*ids, asked_s=1.0))
    daemon.end(sent, "answered", status=503)
    window = daemon.node.state.servers.by_id[sent.server.id].start_window
    for _ in range(30):
        daemon.tick(TICK_S)
    assert window.began_s > region.now_s


def test_refusals_halve_the_window_once_for_one_cause():
    window = slow_start.SlowStart()
    window.begin(10.0, 64, slow_start.Senders(), 0.0, window=32.0)
    assert window.record_answers(0, slow_start.REFUSED_WEIGHT, 10.0)
    assert not window.record_answers(0, 40, 10.1)
    assert window.window == 16.0
    assert window.record_answers(0, 40, 10.5)


@pytest.mark.parametrize("window", [float("nan"), -3.0, 0.0])
def test_absurd_window_of_another_daemon_leaves_a_small_one(window):
    known = slow_start.SlowStart()
    known.begin(10.0, 64, slow_start.Senders(), 0.0, window=window)
    assert known.window == slow_start.MIN_WINDOW
