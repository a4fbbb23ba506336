"""Rate limits that servers name, kept by several daemons together."""

import bisect
import heapq
import itertools
import random

import pytest

from bilberryridge.core import outcomes
from bilberryridge.decisions.ingress import effects, events, load_messages, server_limit
from bilberryridge.decisions.ingress.tests import deployment

WINDOW_S = 4.0
IN_FORCE_AFTER_S = 1.0
CONTACT_S = 5.0
LINK_DELAY_S = 0.003
ANSWER_S = 0.03
TICK_S = 0.05
PLAYED_S = 10.0


class Region:
    """Daemons of a region with links between them, and a server that names a limit.

    Parameters
    ----------
    n_daemons : int
    limit_per_s : float or None
    unnamed_fraction : float
        Answers that name no limit all the same.
    answer_s : float
    """

    def __init__(self, n_daemons, limit_per_s, unnamed_fraction=0.0, answer_s=ANSWER_S):
        self.answer_s = answer_s
        self.limit_per_s = limit_per_s
        self.unnamed_fraction = unnamed_fraction
        self.received_s = []
        self.random_state = random.Random(n_daemons)
        self.began_s = self._now_s = 100.0
        self._queue = []
        self._is_cut = False
        self._numbers = itertools.count()
        names = [f"vm-{n}" for n in range(n_daemons)]
        self.daemons = {
            name: deployment.Daemon(
                [deployment.server("a", start_time_ms=1)],
                [deployment.entry(other) for other in names if other != name],
                own=name,
            )
            for name in names
        }
        for name in names:
            first_s = self.began_s + self.random_state.uniform(0, TICK_S)
            self._at(first_s, self._tick, name)

    def _at(self, at_s, action, *args):
        heapq.heappush(self._queue, (at_s, next(self._numbers), action, args))

    def offer(self, names, requests_per_s, from_s, until_s):
        """Send requests at random moments to some daemons; times since the start."""
        at_s = from_s
        while (at_s := at_s + self.random_state.expovariate(requests_per_s)) < until_s:
            name = self.random_state.choice(names)
            self._at(self.began_s + at_s, self._arrive, name)

    def run(self, until_s):
        while self._queue and self._queue[0][0] < self.began_s + until_s:
            self._now_s, _, action, args = heapq.heappop(self._queue)
            action(*args)

    def limits(self):
        """Return the limits in force at the daemons."""
        nodes = [daemon.node for daemon in self.daemons.values()]
        return {node.state.servers.by_id["a"].limit.per_s for node in nodes}

    def list_servers(self, *servers):
        for daemon in self.daemons.values():
            daemon.now_s = self._now_s
            daemon.handle(events.ServersRead(servers))

    def cut_links(self):
        for daemon in self.daemons.values():
            for other in self.daemons:
                daemon.handle(events.LinkDown(other))
        self._is_cut = True

    def _handle(self, name, event):
        daemon = self.daemons[name]
        daemon.now_s = self._now_s
        for effect in daemon.handle(event):
            if isinstance(effect, effects.SendToServer):
                self._at(self._now_s + LINK_DELAY_S, self._receive, name, effect)
            elif _is_load_report(effect) and not self._is_cut:
                said = events.PeerSaid(name, effect.message)
                arrives_s = self._now_s + LINK_DELAY_S
                self._at(arrives_s, self._handle, effect.vm, said)

    def _tick(self, name):
        self._handle(name, events.Tick())
        self._at(self._now_s + TICK_S, self._tick, name)

    def _arrive(self, name):
        req = deployment.request(str(next(self._numbers)), "unsafe")
        self._handle(name, events.RequestArrived(req))

    def _receive(self, name, sent):
        self.received_s.append(self._now_s - self.began_s)
        self._at(self._now_s + self.answer_s, self._answer, name, sent)

    def _answer(self, name, sent):
        ids = (sent.request_id, sent.attempt_id)
        is_named = self.random_state.random() >= self.unnamed_fraction
        limit_per_s = self.limit_per_s if is_named else None
        self._handle(name, events.ServerSaid(*ids, limit_per_s=limit_per_s))
        ended = events.AttemptEnded(
            *ids,
            events.AttemptResult.ANSWERED,
            200,
            first_s=self.answer_s,
            took_s=self.answer_s,
        )
        self._handle(name, ended)

    def most_in_window(self, since_s):
        times_s = [at_s for at_s in self.received_s if at_s >= since_s]
        return max(
            bisect.bisect_right(times_s, at_s + WINDOW_S) - n
            for n, at_s in enumerate(times_s)
        )


def _is_load_report(effect):
    return isinstance(effect, effects.SendPeerMessage) and isinstance(
        effect.message, load_messages.DaemonLoads
    )


@pytest.mark.parametrize("n_daemons", [3, 22, 65])
@pytest.mark.parametrize("limit_per_s", [2.0, 10.0, 60.0])
@pytest.mark.parametrize("is_even", [True, False])
def test_daemons_together_keep_a_limit_and_use_it(n_daemons, limit_per_s, is_even):
    region = Region(n_daemons, limit_per_s)
    names = list(region.daemons) if is_even else ["vm-0"]
    region.offer(names, 5 * limit_per_s, 0.0, PLAYED_S)
    region.run(PLAYED_S)
    n_most = region.most_in_window(IN_FORCE_AFTER_S)
    assert n_most <= 1.5 * WINDOW_S * limit_per_s + 5
    assert len(region.received_s) >= 0.8 * limit_per_s * PLAYED_S


@pytest.mark.parametrize("n_daemons", [9, 22, 65])
@pytest.mark.parametrize("limit_per_s", [0.5, 2.0])
@pytest.mark.parametrize("answer_s", [0.03, 1.0])
def test_daemons_that_all_wait_for_a_limit_to_open_dont_exceed_it(
    n_daemons, limit_per_s, answer_s
):
    region = Region(n_daemons, limit_per_s, answer_s=answer_s)
    region.offer(list(region.daemons), 60.0, 0.0, 2 * PLAYED_S)
    region.run(2 * PLAYED_S)
    n_most = region.most_in_window(CONTACT_S)
    assert n_most <= 1.5 * WINDOW_S * limit_per_s + 5
    n_later = sum(at_s >= CONTACT_S for at_s in region.received_s)
    assert n_later >= 0.6 * limit_per_s * (2 * PLAYED_S - CONTACT_S)


def test_daemons_that_cannot_hear_each_other_keep_a_limit_together():
    region = Region(3, 10.0)
    region.cut_links()
    region.offer(list(region.daemons), 50.0, 0.0, PLAYED_S)
    region.run(PLAYED_S)
    n_most = region.most_in_window(IN_FORCE_AFTER_S)
    assert n_most <= 1.5 * WINDOW_S * 10.0 + 5
    assert len(region.received_s) >= 0.8 * 10.0 * PLAYED_S


def test_demand_that_moves_to_another_daemon_is_served():
    region = Region(3, 10.0)
    region.offer(["vm-0"], 50.0, 0.0, PLAYED_S)
    region.offer(["vm-1"], 50.0, PLAYED_S, 2 * PLAYED_S)
    region.run(2 * PLAYED_S)
    n_later = sum(at_s > PLAYED_S for at_s in region.received_s)
    assert n_later >= 0.8 * 10.0 * PLAYED_S


@pytest.mark.parametrize("limit_per_s", [None, 40.0])
def test_limit_that_a_server_withdraws_or_raises_ends_at_all_daemons(limit_per_s):
    region = Region(3, 2.0)
    region.offer(["vm-0"], 50.0, 0.0, 5.0)
    region.run(5.0)
    region.limit_per_s = limit_per_s
    region.offer(["vm-0"], 50.0, 5.0, 8.0)
    region.run(8.0)
    assert region.limits() == {limit_per_s}


def test_server_that_takes_nothing_is_asked_again_now_and_then():
    region = Region(3, 0.0)
    region.offer(list(region.daemons), 50.0, 0.0, 3 * PLAYED_S)
    region.run(3 * PLAYED_S)
    assert region.most_in_window(IN_FORCE_AFTER_S) <= 5
    region.limit_per_s = None
    region.offer(list(region.daemons), 50.0, 3 * PLAYED_S, 4 * PLAYED_S)
    region.run(4 * PLAYED_S)
    assert len(region.received_s) > 5 * PLAYED_S


def test_answer_to_a_request_sent_before_a_limit_was_named_does_not_end_it():
    limit = server_limit.ServerLimit()
    limit.record_named(2.0, 10.0)
    assert not limit.record_unnamed(sent_s=9.9, now_s=20.0, n_answers=1_000)
    assert not limit.record_unnamed(sent_s=10.1, now_s=10.2, n_answers=1_000)
    assert limit.record_unnamed(sent_s=12.0, now_s=12.1)
    assert limit.is_open(12.1)


@pytest.mark.parametrize("n_daemons", [3, 9, 22])
@pytest.mark.parametrize("limit_per_s", [0.5, 2.0, 5.0])
@pytest.mark.parametrize("fraction", [0.02, 0.1, 0.3, 0.5])
def test_answers_without_a_limit_between_others_dont_end_it(
    n_daemons, limit_per_s, fraction
):
    region = Region(n_daemons, limit_per_s, fraction)
    requests_per_s = max(20.0, 30 * limit_per_s)
    region.offer(list(region.daemons), requests_per_s, 0.0, 2 * PLAYED_S)
    region.run(2 * PLAYED_S)
    n_most = region.most_in_window(IN_FORCE_AFTER_S)
    assert n_most <= 1.5 * WINDOW_S * limit_per_s + 5


def test_lower_limit_does_not_stop_a_server_for_the_sends_before():
    limit = server_limit.ServerLimit()
    limit.record_named(100.0, 10.0)
    for _ in range(50):
        limit.record_sent(12.0)
    limit.record_named(2.0, 12.0)
    assert 12.0 < limit.opens_s <= 12.5


def test_requests_of_daemons_that_know_no_limits_stop_a_server_for_seconds_only():
    limit = server_limit.ServerLimit()
    limit.record_named(2.0, 10.0)
    limit.record_sent_by_others(1_000, 11.0, server_limit.ALONE)
    assert limit.opens_s <= 11.0 + server_limit.MAX_EXCESS_S + 0.5


def test_refused_callers_are_told_when_a_limited_server_takes_more():
    daemon = deployment.Daemon([deployment.server("a")])
    sent = daemon.arrive("1", "unsafe")
    ids = (sent.request_id, sent.attempt_id)
    daemon.handle(events.ServerSaid(*ids, limit_per_s=0.5))
    refused = daemon.arrive("2", "unsafe")
    assert refused.refusal.outcome is outcomes.Outcome.NOT_RUN
    assert refused.refusal.retry_after_s >= 2.0


@pytest.mark.parametrize("n_daemons", [3, 22])
@pytest.mark.parametrize("limit_per_s", [0.5, 2.0, 5.0])
def test_limit_holds_when_the_entry_of_its_server_lapses_and_returns(
    n_daemons, limit_per_s
):
    region = Region(n_daemons, limit_per_s, answer_s=1.0)
    region.offer(list(region.daemons), 100.0, 0.0, 2 * PLAYED_S)
    region.run(8.0)
    region.list_servers()
    region.run(9.0)
    region.list_servers(deployment.server("a", start_time_ms=1))
    region.run(2 * PLAYED_S)
    n_most = region.most_in_window(CONTACT_S)
    assert n_most <= 1.5 * WINDOW_S * limit_per_s + 5


def test_time_asked_for_is_given_when_the_entry_lapses_and_returns():
    server = deployment.server("a", start_time_ms=1)
    daemon = deployment.Daemon([server])
    sent = daemon.arrive("1", "unsafe")
    ids = (sent.request_id, sent.attempt_id)
    daemon.handle(events.ServerSaid(*ids, asked_s=20.0))
    daemon.end(sent, "answered", status=503)
    for listed in ((), (server,)):
        daemon.handle(events.ServersRead(listed))
    daemon.now_s += 10.0
    assert isinstance(daemon.arrive("2", "unsafe"), effects.Refuse)


def test_new_start_of_a_server_has_no_limit():
    daemon = deployment.Daemon([deployment.server("a", start_time_ms=1)])
    sent = daemon.arrive("1", "unsafe")
    ids = (sent.request_id, sent.attempt_id)
    daemon.handle(events.ServerSaid(*ids, limit_per_s=0.5))
    restarted = deployment.server("a", start_time_ms=2)
    daemon.handle(events.ServersRead((restarted,)))
    assert isinstance(daemon.arrive("2", "unsafe"), effects.SendToServer)
