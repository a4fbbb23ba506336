"""The control task: passes events to the decision node and executes its effects.

See Also
--------
bilberryridge.decisions.node : makes the decisions.
"""

import time
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from bilberryridge.daemon import logs, metrics, spans, traces
from bilberryridge.decisions import effects, events, node
from bilberryridge.utilities import mailbox

LATENCY_OF_CLOSED = "request"


@attrs.frozen
class Tasks:
    """The tasks that execute effects.

    Parameters
    ----------
    edge, peers, platform : callable
        Each takes an effect; callable from any thread.
    stop_accepting : callable
        Closes the listening sockets of the edge.
    leave_directory : callable
        Removes this entry VM from the platform's directory.
    """

    edge: Callable[[Any], None]
    peers: Callable[[Any], None]
    platform: Callable[[Any], None]
    stop_accepting: Callable[[], None]
    leave_directory: Callable[[], None]


class Control:
    """The control task.

    Parameters
    ----------
    decision_node : Node
    inbox : Mailbox
        Events of all other tasks.
    tasks : Tasks
    recorder : Metrics
    explanations : Explanations
    open_spans : Spans
    rewrites : mapping of str to str
        Addresses to connect to, by the configured address that each replaces.
    """

    def __init__(
        self,
        decision_node: node.Node,
        inbox: mailbox.Mailbox[events.Event],
        tasks: Tasks,
        recorder: metrics.Metrics,
        explanations: traces.Explanations,
        open_spans: spans.Spans,
        rewrites: Mapping[str, str],
    ):
        self._node = decision_node
        self._inbox = inbox
        self._tasks = tasks
        self._metrics = recorder
        self._explanations = explanations
        self._spans = open_spans
        self._rewrites = rewrites
        self._arrivals: dict[str, tuple[float, str]] = {}
        self._is_over = False
        self._handlers: dict[type, Callable] = {
            effects.SendAttempt: self._send_attempt,
            effects.CancelAttempt: tasks.edge,
            effects.Refuse: self._refuse,
            effects.PassAnswer: tasks.edge,
            effects.AnswerStored: tasks.edge,
            effects.AnswerEntry: tasks.edge,
            effects.AnswerModels: tasks.edge,
            effects.SendPeerMessage: tasks.peers,
            effects.ConnectPeers: self._connect_peers,
            effects.WatchStore: tasks.platform,
            effects.Claim: tasks.platform,
            effects.ReadLoads: self._read_loads,
            effects.Count: self._count,
            effects.LogStateChange: _log_change,
            effects.Explain: self._explain,
            effects.StopAccepting: self._stop_accepting,
            effects.Stopped: self._stopped,
        }

    def post(self, event: events.Event) -> None:
        """Queue an event for the node; callable from any thread."""
        self._inbox.put(event)

    def run(self) -> None:
        """Process events until the graceful stop is complete."""
        tick_s = time.monotonic()
        while not self._is_over:
            wait_s = tick_s - time.monotonic()
            for event in self._inbox.wait(wait_s) if wait_s > 0 else ():
                self._handle(event)
            if time.monotonic() >= tick_s:
                for event in self._inbox.take_all():
                    self._handle(event)
                self._handle(events.Tick())
                self._set_gauges()
                tick_s = time.monotonic() + events.TICK_INTERVAL_S

    def end(self) -> None:
        """Leave `run` after the current iteration; callable from any thread."""
        self._is_over = True

    def status(self) -> dict[str, object]:
        """Return the status for operators; callable from any thread."""
        state = self._node.state
        return {
            "vm": state.cfg.vm,
            "domain": state.cfg.domain,
            "region": state.cfg.region,
            "incarnation": state.cfg.incarnation,
            "state": state.daemon_state,
            "revision": state.replica.complete_revision,
            "store": "reachable" if state.is_store_reachable else "unreachable",
            "is_store_suspect": state.is_store_suspect,
            "is_watching": state.is_watching,
            "n_open": len(state.open_requests),
            "peers": sorted(peer.vm for peer in state.members.connected_peers()),
        }

    def is_ready(self) -> bool:
        """Return whether the daemon accepts new callers; callable from any thread."""
        return self._node.state.daemon_state == "serving"

    def _handle(self, event: events.Event) -> None:
        began_s = time.monotonic()
        if isinstance(event, events.RequestArrived):
            self._arrivals[event.req.request_id] = (began_s, event.req.service)
            self._spans.on_arrived(event.req)
        elif isinstance(event, events.AttemptEnded):
            self._spans.on_attempt_ended(event)
        elif isinstance(event, events.StopAsked):
            self._tasks.leave_directory()
        elif isinstance(event, events.AttemptBegan):
            self._observe_first_content(event, began_s)
        for effect in self._node.handle(began_s, event):
            self._handlers[type(effect)](effect)
        request_id = _request_id_of(event)
        if request_id and request_id not in self._node.state.open_requests:
            self._close(request_id, "ended")
        if not isinstance(event, events.Tick):
            seconds = time.monotonic() - began_s
            self._metrics.observe_s("step", (type(event).__name__,), seconds)

    def _observe_first_content(self, event: events.AttemptBegan, now_s: float) -> None:
        arrival = self._arrivals.get(event.request_id)
        if arrival is not None:
            self._metrics.observe_s("first_content", (arrival[1],), now_s - arrival[0])

    def _close(self, request_id: str, end_reason: str) -> None:
        self._spans.on_closed(request_id, end_reason)
        arrival = self._arrivals.pop(request_id, None)
        if arrival is not None:
            seconds = time.monotonic() - arrival[0]
            self._metrics.observe_s(LATENCY_OF_CLOSED, (arrival[1],), seconds)

    def _send_attempt(self, effect: effects.SendAttempt) -> None:
        address = self._rewrites.get(effect.address, effect.address)
        attempt = self._spans.on_attempt(effect)
        self._tasks.edge(attrs.evolve(attempt, address=address))

    def _refuse(self, effect: effects.Refuse) -> None:
        self._tasks.edge(effect)
        self._close(effect.request_id, f"refused: {effect.refusal.reason.value}")

    def _connect_peers(self, effect: effects.ConnectPeers) -> None:
        vms = tuple(
            (vm, self._rewrites.get(address, address)) for vm, address in effect.vms
        )
        self._tasks.peers(effects.ConnectPeers(vms))

    def _read_loads(self, effect: effects.ReadLoads) -> None:
        servers = tuple(
            (vm, self._rewrites.get(address, address)) for vm, address in effect.servers
        )
        self._tasks.platform(effects.ReadLoads(servers))

    def _count(self, effect: effects.Count) -> None:
        self._metrics.count(effect.name, effect.labels, effect.n)

    def _explain(self, effect: effects.Explain) -> None:
        self._explanations.add(effect.request_id, effect.step, effect.why)

    def _stop_accepting(self, effect: effects.StopAccepting) -> None:
        self._tasks.stop_accepting()

    def _stopped(self, effect: effects.Stopped) -> None:
        self._is_over = True

    def _set_gauges(self) -> None:
        state = self._node.state
        self._metrics.set_gauge(
            "configuration_revision", (), state.replica.complete_revision
        )
        self._metrics.set_gauge("open_requests", (), len(state.open_requests))
        self._metrics.set_gauge("peers_up", (), len(state.members.connected_peers()))
        self._metrics.set_gauge("store_reachable", (), state.is_store_reachable)
        self._metrics.set_gauge("stopping", (), state.daemon_state != "serving")


def _log_change(effect: effects.LogStateChange) -> None:
    logs.log_state_change(effect.what, effect.subject, effect.before, effect.after)


def _request_id_of(event: events.Event) -> str:
    if isinstance(event, events.RequestArrived):
        return event.req.request_id
    return getattr(event, "request_id", "")
