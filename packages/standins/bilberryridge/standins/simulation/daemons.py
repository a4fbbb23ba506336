"""A daemon: the production node with models of its connections."""

import random
from collections.abc import Callable, Collection, Mapping
from typing import Any, Protocol

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import crash_reports, effects, node, state
from bilberryridge.decisions.ingress import events as node_events
from bilberryridge.standins.queueing import events
from bilberryridge.standins.simulation import paths, records, servers

TICK_S = 0.05
INTRA_REGION_DELAY_S, INTER_REGION_DELAY_S = 0.002, 0.055
DISCONNECTED = "connection closed within an answer"


@attrs.frozen
class FinalAnswer:
    """What the sender of a request gets.

    Parameters
    ----------
    status : int
        0 if the connection ended without an answer.
    answer_of : str
        Request to which a server's answer belongs; empty for a refusal.
    is_not_run : bool
    retry_after_s : float or None
    is_server_reached : bool
        Whether the request may have reached a server.
    """

    status: int
    answer_of: str = ""
    is_not_run: bool = False
    retry_after_s: float | None = None
    is_server_reached: bool = True


OnFinal = Callable[[FinalAnswer], None]


class Network(Protocol):
    """The other VMs, as a daemon reaches them."""

    @property
    def servers(self) -> Mapping[str, servers.Server]:
        """The backend servers by id."""

    @property
    def paths(self) -> paths.PathTable:
        """The paths from daemons to backend servers."""

    def daemon(self, name: str) -> "Daemon | None":
        """Return the running daemon of a VM."""

    def delay_from_server_s(self) -> float:
        """Return how long the next packet of a server of the region takes."""

    def is_cut(self, first: str, second: str) -> bool:
        """Return whether two daemons' VMs can't reach each other."""

    def store_report(self, report: crash_reports.Report) -> None:
        """Write a report to the store."""

    def audit(self, record: records.Record) -> None:
        """Take what a party saw."""


@attrs.define
class _Attempt:
    id: int
    sent_s: float
    at_server: servers.Attempt | None = None
    server: servers.Server | None = None
    held: servers.Answer | FinalAnswer | None = None
    leave: Callable[[], None] = lambda: None


@attrs.define
class _Open:
    req: ingress.Request
    on_final: OnFinal
    attempt: _Attempt | None = None


class Daemon:
    """One run of a daemon, from its start to its end.

    Parameters
    ----------
    loop : Loop
    entry : EntryVm
    cfg : NodeSettings
    random_state : random.Random
    network : Network
    """

    def __init__(
        self,
        loop: events.Loop,
        entry: ingress.EntryVm,
        cfg: state.NodeSettings,
        random_state: random.Random,
        network: Network,
    ):
        self.entry = entry
        self.is_frozen = False
        self.is_ended = False
        self._loop = loop
        self._network = network
        self._node = node.Node(cfg, random_state)
        self._open: dict[str, _Open] = {}
        self._n_requests = 0
        self._delayed: list[Callable[[], None]] = []
        self._handlers: dict[type, Callable[[Any], None]] = {
            effects.SendToServer: self._send_to_server,
            effects.SendToPeer: self._send_to_peer,
            effects.ProbeServer: self._probe,
            effects.CancelAttempt: self._cancel,
            effects.DetachCaller: self._detach,
            effects.PassAnswer: self._pass_answer,
            effects.Refuse: self._refuse,
            effects.AbortStream: self._abort,
            effects.SendPeerMessage: self._send_message,
            effects.StoreReport: lambda e: network.store_report(e.report),
            effects.LogStateChange: lambda e: None,
            effects.CountQuota: lambda e: None,
        }

    # What happens to the daemon.

    def handle(self, event: node_events.Event) -> None:
        """Pass an event to the node, or keep it until the daemon is thawed."""
        if self.is_ended:
            return
        if self.is_frozen:
            self._delayed.append(lambda: self.handle(event))
            return
        for effect in self._node.handle(self._loop.now_s, event):
            self._handlers[type(effect)](effect)

    def tick(self) -> None:
        """Pass the timer event, which a frozen daemon misses."""
        if not self.is_frozen:
            self.handle(node_events.Tick())

    def receive(self, req: ingress.Request, on_final: OnFinal) -> str:
        """Take a request; return its id at this daemon."""
        self._n_requests += 1
        own_id = str(self._n_requests)
        self._open[own_id] = _Open(attrs.evolve(req, id=own_id), on_final)
        self.handle(node_events.RequestArrived(self._open[own_id].req))
        return own_id

    def leave(self, own_id: str) -> None:
        """Close the connection of a request's sender."""
        if self.is_frozen:
            self._delayed.append(lambda: self.leave(own_id))
        elif own_id in self._open:
            self.handle(node_events.CallerGone(own_id))
            self._close_if_finished(own_id)

    def reset_paths(self, server_ids: Collection[str]) -> None:
        """Learn that the connections to some backend servers were reset."""
        for item in list(self._open.values()):
            attempt = item.attempt
            if attempt is None or attempt.server is None or attempt.held is not None:
                continue
            if attempt.server.record.id in server_ids:
                # The server goes on and can't tell the end of it.
                attempt.at_server = None
                self._end_attempt(item, attempt, "LOST", is_disconnected=True)

    def end(self) -> None:
        """End without a word, as a killed process does."""
        self.is_ended = True
        for item in list(self._open.values()):
            self._cancel_attempt(item)
            item.on_final(FinalAnswer(0))
        self._open.clear()

    def thaw(self) -> None:
        """Go on with what has waited."""
        self.is_frozen = False
        delayed, self._delayed = self._delayed, []
        for action in delayed:
            action()

    # Effects.

    def _send_to_server(self, effect: effects.SendToServer) -> None:
        item = self._open[effect.request_id]
        attempt = _Attempt(effect.attempt_id, self._loop.now_s)
        item.attempt = attempt
        server = self._network.servers[effect.server.id]
        start_time_ms = effect.server.start_time_ms
        self._loop.after(
            INTRA_REGION_DELAY_S,
            lambda: self._arrive(item, attempt, server, start_time_ms),
        )
        if effect.first_byte_timeout_s is not None:
            self._loop.after(
                effect.first_byte_timeout_s, lambda: self._time_out(item, attempt)
            )

    def _arrive(
        self,
        item: _Open,
        attempt: _Attempt,
        server: servers.Server,
        start_time_ms: int,
    ) -> None:
        if self.is_ended or item.attempt is not attempt:
            return
        vm, server_id = self.entry.name, server.record.id
        if not self._network.paths.can_send(vm, server_id, self._loop.now_s):
            is_hanging = self._network.paths.is_hanging(vm, server_id)
            self._loop.after(
                paths.CONNECT_TIMEOUT_S if is_hanging else 0.0,
                lambda: self._end_attempt(item, attempt, "NOT_SENT"),
            )
            return
        if self._network.paths.is_hanging(vm, server_id):
            attempt.server = server
            self._await_silence(item, attempt)
            return
        if server.record.start_time_ms != start_time_ms:
            # The server checks the name of its start, which the request carries.
            self._end_attempt(item, attempt, "NOT_RUN", is_misdirected=True)
            return

        def on_answer(answer: servers.Answer) -> None:
            self._loop.after(
                self._network.delay_from_server_s(),
                lambda: self._on_answer(item, attempt, answer),
            )

        attempt.server = server
        attempt.at_server = server.receive(item.req, self.entry.name, on_answer)
        if attempt.at_server is None:
            self._end_attempt(item, attempt, "NOT_SENT")

    def _on_answer(
        self, item: _Open, attempt: _Attempt, answer: servers.Answer
    ) -> None:
        if self.is_ended or item.attempt is not attempt:
            return
        if self.is_frozen:
            self._delayed.append(lambda: self._on_answer(item, attempt, answer))
            return
        assert attempt.server is not None
        vm, server_id = self.entry.name, attempt.server.record.id
        if self._network.paths.is_hanging(vm, server_id):
            self._await_silence(item, attempt)
            return
        if answer.status == 0:
            self._end_attempt(item, attempt, "LOST", is_disconnected=True)
            return
        self._network.paths.record_used(vm, server_id, self._loop.now_s)
        self._hear(item, attempt, answer)
        attempt.held = answer
        if answer.is_not_run:
            self._end_attempt(
                item, attempt, "NOT_RUN", status=503, retry_after_s=answer.retry_after_s
            )
            return
        self.handle(node_events.AttemptBegan(item.req.id, attempt.id))
        self._end_attempt(item, attempt, "ANSWERED", status=answer.status)

    def _await_silence(self, item: _Open, attempt: _Attempt) -> None:
        """Give the connection up when nothing has been heard for long."""

        def give_up() -> None:
            if item.attempt is attempt and attempt.held is None:
                changes = {"is_disconnected": True, "is_silent": True}
                self._end_attempt(item, attempt, "LOST", **changes)

        self._loop.after(paths.SILENCE_S, give_up)

    def _hear(self, item: _Open, attempt: _Attempt, answer: servers.Answer) -> None:
        said = answer.said
        self.handle(
            node_events.ServerSaid(
                item.req.id, attempt.id, said.is_leaving, said.asked_s, said.limit_per_s
            )
        )
        assert attempt.server is not None
        self._network.audit(
            records.Said(
                self._loop.now_s,
                attempt.server.start_name,
                self.entry.name,
                said.is_leaving,
                said.asked_s,
                said.limit_per_s,
            )
        )

    def _time_out(self, item: _Open, attempt: _Attempt) -> None:
        if item.attempt is attempt and attempt.held is None and not self.is_ended:
            if self.is_frozen:
                self._delayed.append(lambda: self._time_out(item, attempt))
                return
            self.handle(node_events.AttemptSilent(item.req.id, attempt.id))

    def _end_attempt(
        self, item: _Open, attempt: _Attempt, result: str, **changes: Any
    ) -> None:
        if self.is_frozen:
            self._delayed.append(
                lambda: self._end_attempt(item, attempt, result, **changes)
            )
            return
        if self.is_ended or item.attempt is not attempt:
            return
        took_s = self._loop.now_s - attempt.sent_s
        ended = node_events.AttemptEnded(
            item.req.id,
            attempt.id,
            node_events.AttemptResult[result],
            first_s=took_s,
            took_s=took_s,
            **changes,
        )
        self.handle(ended)
        self._close_if_finished(item.req.id)

    def _send_to_peer(self, effect: effects.SendToPeer) -> None:
        item = self._open[effect.request_id]
        attempt = item.attempt = _Attempt(effect.attempt_id, self._loop.now_s)
        relayed = attrs.evolve(
            item.req,
            is_relayed=True,
            table_version=effect.table_version,
            caller_timeout_s=effect.remaining_s,
        )
        name = effect.entry.name
        is_neighbour = effect.entry.region == self.entry.region
        delay_s = INTRA_REGION_DELAY_S if is_neighbour else INTER_REGION_DELAY_S

        def on_final(answer: FinalAnswer) -> None:
            self._loop.after(delay_s, lambda: self._on_relayed(item, attempt, answer))

        def arrive() -> None:
            peer = self._network.daemon(name)
            is_reached = not self._network.is_cut(self.entry.name, name)
            if item.attempt is not attempt or self.is_ended:
                return
            if peer is None or not is_reached:
                self._end_attempt(item, attempt, "NOT_SENT")
                return
            own_id = peer.receive(relayed, on_final)
            attempt.leave = lambda: peer.leave(own_id)

        self._loop.after(delay_s, arrive)
        if effect.first_byte_timeout_s is not None:
            self._loop.after(
                effect.first_byte_timeout_s, lambda: self._time_out(item, attempt)
            )

    def _on_relayed(self, item: _Open, attempt: _Attempt, answer: FinalAnswer) -> None:
        if self.is_ended or item.attempt is not attempt:
            return
        if answer.is_not_run:
            self._end_attempt(
                item,
                attempt,
                "NOT_RUN",
                status=503,
                retry_after_s=answer.retry_after_s,
                is_server_reached=answer.is_server_reached,
            )
        elif answer.status == 0:
            self._end_attempt(item, attempt, "LOST", is_disconnected=True)
        else:
            attempt.held = answer
            self._end_attempt(item, attempt, "ANSWERED", status=answer.status)

    def _probe(self, effect: effects.ProbeServer) -> None:
        record = effect.server
        server = self._network.servers[record.id]
        table, vm = self._network.paths, self.entry.name
        is_hanging = table.is_hanging(vm, record.id)

        def end() -> None:
            is_connected = server.is_up and table.can_connect(vm, record.id)
            if is_connected:
                table.record_used(vm, record.id, self._loop.now_s)
            ended = node_events.ProbeEnded(
                record.id, record.start_time_ms, is_connected
            )
            self.handle(ended)

        delay_s = paths.CONNECT_TIMEOUT_S if is_hanging else INTRA_REGION_DELAY_S
        self._loop.after(delay_s, end)

    def _cancel(self, effect: effects.CancelAttempt) -> None:
        self._cancel_attempt(self._open[effect.request_id])

    def _cancel_attempt(self, item: _Open) -> None:
        attempt, item.attempt = item.attempt, None
        if attempt is None:
            return
        attempt.leave()
        if attempt.at_server is not None:
            assert attempt.server is not None
            attempt.server.cancel(attempt.at_server)

    def _detach(self, effect: effects.DetachCaller) -> None:
        self._open[effect.request_id].on_final = lambda answer: None

    def _pass_answer(self, effect: effects.PassAnswer) -> None:
        item = self._open.pop(effect.request_id)
        assert item.attempt is not None
        held = item.attempt.held
        if isinstance(held, servers.Answer):
            held = FinalAnswer(held.status, held.request_id)
        assert held is not None
        item.on_final(held)

    def _refuse(self, effect: effects.Refuse) -> None:
        item = self._open.pop(effect.request_id)
        self._cancel_attempt(item)
        refusal = effect.refusal
        is_not_run = refusal.outcome is outcomes.Outcome.NOT_RUN
        item.on_final(
            FinalAnswer(
                refusal.status,
                is_not_run=is_not_run,
                retry_after_s=refusal.retry_after_s,
                is_server_reached=effect.is_server_reached,
            )
        )

    def _abort(self, effect: effects.AbortStream) -> None:
        item = self._open.pop(effect.request_id)
        self._cancel_attempt(item)
        item.on_final(FinalAnswer(0))

    def _send_message(self, effect: effects.SendPeerMessage) -> None:
        own_name = self.entry.name
        message = effect.message

        def arrive() -> None:
            peer = self._network.daemon(effect.vm)
            if peer is not None and not self._network.is_cut(own_name, effect.vm):
                peer.handle(node_events.PeerSaid(own_name, message))

        self._loop.after(INTER_REGION_DELAY_S / 2, arrive)

    def _close_if_finished(self, own_id: str) -> None:
        if own_id not in self._node.state.open_requests:
            self._open.pop(own_id, None)
