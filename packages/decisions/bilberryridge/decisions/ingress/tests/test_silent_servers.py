"""Servers that fall silent under answers that they had begun, before a whole fleet."""

import random

import attrs
import pytest

from bilberryridge.core import ingress, silence
from bilberryridge.decisions.ingress import effects, events
from bilberryridge.decisions.ingress.tests import deployment

FLEETS = (1, 8, 23, 97)
N_SERVERS = 24
TICK_S = 0.1
CONTACT_S = 5.0
CRASHES_TOLERATED = 5
MAX_LATER_RUNS = 3


class Fleet:
    """Daemons with links between them, before servers that answer when told.

    Parameters
    ----------
    n_daemons : int
    """

    def __init__(self, n_daemons):
        self.random_state = random.Random(n_daemons)
        names = [f"vm-{n}" for n in range(n_daemons)]
        self.servers = {
            f"e{n}": deployment.server(
                f"e{n}", "model", n_slots=64, start_time_ms=1, version="v1"
            )
            for n in range(N_SERVERS)
        }
        self.daemons = {
            name: deployment.Daemon(
                tuple(self.servers.values()),
                [deployment.entry(other) for other in names if other != name],
                own=name,
            )
            for name in names
        }
        self.is_probe_answered = lambda server_id: True
        self.n_requests = 0

    @property
    def now_s(self):
        return next(iter(self.daemons.values())).now_s

    def pass_time(self, seconds, action=lambda: None):
        """Let time pass; call the action after each tick."""
        for _ in range(round(seconds / TICK_S)):
            for daemon in self.daemons.values():
                daemon.now_s += TICK_S
            for name in self.daemons:
                self.handle(name, events.Tick())
            action()

    def handle(self, name, event):
        """Handle an event at a daemon; return where it sends requests."""
        sent = []
        for effect in self.daemons[name].handle(event):
            if isinstance(effect, effects.SendPeerMessage):
                self.handle(effect.vm, events.PeerSaid(name, effect.message))
            elif isinstance(effect, effects.ProbeServer):
                server = effect.server
                is_answered = self.is_probe_answered(server.id)
                ended = events.ProbeEnded(server.id, server.start_time_ms, is_answered)
                self.handle(name, ended)
            elif isinstance(effect, effects.SendToServer):
                sent.append(effect)
        return sent

    def send(self, *shared):
        """Send a prompt at some daemon; return the daemon and what it sent."""
        self.n_requests += 1
        name = self.random_state.choice(list(self.daemons))
        parts = tuple(ingress.PromptPart(part, 100) for part in (*shared, "own"))
        prompt = ingress.Prompt(400, 100, parts)
        req = deployment.request(str(self.n_requests), "query", prompt=prompt)
        return name, self.handle(name, events.RequestArrived(req))

    def begin(self, name, sent):
        """Begin an answer: its head and one event."""
        ids = (sent.request_id, sent.attempt_id)
        self.handle(name, events.ServerSaid(*ids, status=200))
        self.handle(name, events.AttemptBegan(*ids, is_committed=True))

    def answer(self, name, sent):
        """End an answer that is whole."""
        result = events.AttemptResult.ANSWERED
        ids = (sent.request_id, sent.attempt_id)
        self.handle(name, events.AttemptEnded(*ids, result, status=200))

    def restart(self, server_id):
        """List a new start of a server in the place of the one before."""
        before = self.servers[server_id]
        start_time_ms = before.start_time_ms + 1
        self.servers[server_id] = attrs.evolve(before, start_time_ms=start_time_ms)
        for name in self.daemons:
            self.handle(name, events.ServersRead(tuple(self.servers.values())))

    def held_back(self):
        """Return the parts that any daemon holds back."""
        nodes = [daemon.node for daemon in self.daemons.values()]
        return {part for node in nodes for part in node.state.quarantine.signatures}


@pytest.mark.parametrize("n_daemons", FLEETS)
def test_part_whose_servers_end_in_silence_reaches_few_more_of_them(n_daemons):
    fleet = Fleet(n_daemons)
    crashed_s, sent_s = [], []
    restarts = []

    def strike():
        name, sent = fleet.send("base", "bad")
        for effect in sent:
            fleet.begin(name, effect)
            sent_s.append(fleet.now_s)
            crashed_s.append(fleet.now_s)
            restarts.append((fleet.now_s + CONTACT_S / 2, effect.server.id))
        while restarts and restarts[0][0] <= fleet.now_s:
            fleet.restart(restarts.pop(0)[1])
        name, sent = fleet.send("base", f"good {fleet.n_requests}")
        for effect in sent:
            fleet.begin(name, effect)
            fleet.answer(name, effect)

    fleet.pass_time(4 * CONTACT_S, strike)
    fifth_s = crashed_s[CRASHES_TOLERATED - 1]
    later = [at_s for at_s in sent_s if at_s > fifth_s + CONTACT_S]
    assert len(later) <= MAX_LATER_RUNS
    assert fleet.held_back() == {"bad"}


@pytest.mark.parametrize("n_daemons", FLEETS)
@pytest.mark.parametrize(
    ("silent_s", "is_reached"),
    [(silence.SOUND_SILENCE_S - 0.2, True), (silence.LOST_SILENCE_S + 0.5, False)],
)
def test_silence_of_all_sound_servers_holds_no_part_back(
    n_daemons, silent_s, is_reached
):
    fleet = Fleet(n_daemons)
    held_back = set()

    def check():
        held_back.update(fleet.held_back())

    for n in range(4):
        began = []
        for m in range(2 * N_SERVERS):
            name, sent = fleet.send("base", f"part {m % 5}")
            for effect in sent:
                fleet.begin(name, effect)
                began.append((name, effect))
        assert began
        fleet.is_probe_answered = lambda server_id: is_reached
        fleet.pass_time(silent_s - 0.4, check)
        for name, effect in began[::3]:
            fleet.handle(name, events.CallerGone(effect.request_id))
        fleet.pass_time(0.4, check)
        fleet.is_probe_answered = lambda server_id: True
        for name, effect in began:
            fleet.answer(name, effect)
        fleet.pass_time(4.0, check)
        # Some of them start anew for another reason.
        fleet.restart(f"e{n}")
    assert held_back == set()
