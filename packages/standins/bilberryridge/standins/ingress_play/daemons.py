"""Ingress daemons: the production ingress node with simulated links and servers."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import effects, node
from bilberryridge.decisions.ingress import events as node_events
from bilberryridge.standins.ingress_play import servers
from bilberryridge.standins.queueing import events

INTRA_REGION_DELAY_S = 0.001
"""One-way delay between VMs of a region, half of which share a zone."""
HOST = "desk.example"
ENGINE = ingress.Engine(64, 427_000, 8)
"""Slots, memory in tokens and tokens per event, as in the nodes' routing table."""
INTER_REGION_DELAY_S = 0.055
"""One-way delay between regions."""
WINDOW_BYTES, BYTES_PER_TOKEN = 20_000, 1
"""Bytes that a connection transfers per round trip, and the size of a prompt token."""
TICK_S = 0.05
"""Tick interval of the production daemon."""


@attrs.frozen
class Call:
    """A caller's request, with the properties that only the server observes.

    Parameters
    ----------
    path : str
    prompt : Prompt or None
    priority, n_answer_tokens, work_s
        As in `servers.Job`.
    is_stream : bool
    key_digest : bytes
        Of its organisation's key; empty for none.
    usage : Usage
    """

    path: str
    prompt: ingress.Prompt | None
    priority: int
    n_answer_tokens: int
    work_s: float
    is_stream: bool
    key_digest: bytes = b""
    usage: servers.Usage = attrs.field(factory=servers.Usage, eq=False)


class AnswerListener(Protocol):
    """Receives the answer of a request."""

    def on_first(self) -> None:
        """Handle the first token."""

    def on_complete(self) -> None:
        """Handle the end of a complete answer."""

    def on_refused(self, retry_after_s: float | None) -> None:
        """Handle a refusal or an aborted stream."""


@attrs.define
class _Attempt:
    sent_s: float
    first_s: float = 0.0
    job: servers.Job | None = None


class Daemon:
    """An ingress daemon.

    Parameters
    ----------
    event_loop : events.Loop
    entry : EntryVm
    ingress_node : node.Node
    servers_by_id : mapping of str to Server
    daemons_by_name : mapping of str to Daemon
        All daemons; the mapping may be filled after construction.
    engine : Engine
    """

    def __init__(
        self,
        event_loop: events.Loop,
        entry: ingress.EntryVm,
        ingress_node: node.Node,
        servers_by_id: Mapping[str, servers.Server],
        daemons_by_name: Mapping[str, "Daemon"],
        engine: ingress.Engine = ENGINE,
    ):
        self._engine = engine
        self.entry = entry
        self._event_loop = event_loop
        self._node = ingress_node
        self._servers_by_id = servers_by_id
        self._daemons_by_name = daemons_by_name
        self._calls: dict[str, tuple[Call, AnswerListener]] = {}
        self._attempts: dict[tuple[str, int], _Attempt] = {}
        self._has_detached = False
        self._handlers: dict[type, Callable[[Any], None]] = {
            effects.SendToServer: self._send_to_server,
            effects.SendToPeer: self._send_to_peer,
            effects.ProbeServer: self._probe,
            effects.CancelAttempt: self._cancel,
            effects.DetachCaller: self._detach,
            effects.PassAnswer: lambda effect: self._remove_call(
                effect.request_id
            ).on_complete(),
            effects.Refuse: self._refuse,
            effects.AbortStream: lambda effect: self._remove_call(
                effect.request_id
            ).on_refused(None),
            effects.SendPeerMessage: self._send_peer_message,
            effects.StoreReport: lambda effect: None,
            effects.LogStateChange: lambda effect: None,
            effects.CountQuota: lambda effect: None,
            effects.LogTakeUp: lambda effect: None,
        }

    def handle(self, event: node_events.Event) -> None:
        """Pass an event to the node and carry out the effects it returns."""
        for effect in self._node.handle(self._event_loop.now_s, event):
            self._handlers[type(effect)](effect)

    def tick(self) -> None:
        """Pass a tick to the node."""
        self.handle(node_events.Tick())

    def receive(
        self, req: ingress.Request, call: Call, listener: AnswerListener
    ) -> None:
        """Receive a request; its answer goes to `listener`."""
        self._calls[req.id] = (call, listener)
        self.handle(node_events.RequestArrived(req))

    def drop_caller(self, request_id: str) -> None:
        """Tell the node that the caller has left, if the request is still open."""
        if request_id not in self._calls:
            return
        call = self._calls[request_id][0]
        self._calls[request_id] = (call, _NULL_LISTENER)
        self._has_detached = False
        self.handle(node_events.CallerGone(request_id))
        if not self._has_detached:
            self._calls.pop(request_id, None)

    def _detach(self, effect: effects.DetachCaller) -> None:
        self._has_detached = True

    def _send_to_server(self, effect: effects.SendToServer) -> None:
        call, _ = self._calls[effect.request_id]
        server = self._servers_by_id[effect.server.id]
        key = (effect.request_id, effect.attempt_id)
        attempt = self._attempts[key] = _Attempt(self._event_loop.now_s)
        attempt.job = servers.Job(
            call.prompt,
            effect.priority,
            call.n_answer_tokens,
            call.work_s,
            lambda: self._call_later(
                INTRA_REGION_DELAY_S, self._on_first, key, server.stated_load()
            ),
            lambda: self._call_later(INTRA_REGION_DELAY_S, self._on_complete, key),
            lambda: self._call_later(INTRA_REGION_DELAY_S, self._on_lost, key),
            self._prefix_source(effect.fetch_from),
            call.usage,
        )
        self._event_loop.after(INTRA_REGION_DELAY_S, lambda: self._deliver(server, key))

    def _prefix_source(self, address: str) -> servers.EngineModel | None:
        # In the simulation the address of a server is its id.
        prefix_source = self._servers_by_id.get(address)
        return prefix_source if isinstance(prefix_source, servers.EngineModel) else None

    def _deliver(self, server: servers.Server, key: tuple[str, int]) -> None:
        attempt = self._attempts.get(key)
        if attempt is None or attempt.job is None:
            return
        if server.is_away:
            self._call_later(INTRA_REGION_DELAY_S, self._on_not_sent, key)
            return
        if server.accept(attempt.job):
            return
        self._call_later(INTRA_REGION_DELAY_S, self._on_not_run, key, None)

    def _send_to_peer(self, effect: effects.SendToPeer) -> None:
        call, _ = self._calls[effect.request_id]
        key = (effect.request_id, effect.attempt_id)
        self._attempts[key] = _Attempt(self._event_loop.now_s)
        n_tokens = call.prompt.n_tokens if call.prompt else 0
        n_round_trips = n_tokens * BYTES_PER_TOKEN // WINDOW_BYTES
        delay_s = INTER_REGION_DELAY_S * (1 + 2 * n_round_trips)
        req = ingress.Request(
            f"{effect.request_id}/{effect.attempt_id}",
            "",
            HOST,
            call.path,
            max(0.0, effect.remaining_s - delay_s),
            call.prompt,
            is_relayed=True,
            table_version=effect.table_version,
            key_digest=call.key_digest,
        )
        peer = self._daemons_by_name[effect.entry.name]
        listener = _RelayListener(self, key)
        self._event_loop.after(delay_s, lambda: peer.receive(req, call, listener))

    def _probe(self, effect: effects.ProbeServer) -> None:
        record = effect.server
        is_connected = not self._servers_by_id[record.id].is_away
        ended = node_events.ProbeEnded(record.id, record.start_time_ms, is_connected)
        self._call_later(INTRA_REGION_DELAY_S, self.handle, ended)

    def _cancel(self, effect: effects.CancelAttempt) -> None:
        key = (effect.request_id, effect.attempt_id)
        attempt = self._attempts.pop(key, None)
        if attempt is not None and attempt.job is not None:
            attempt.job.is_over = True

    def _refuse(self, effect: effects.Refuse) -> None:
        listener = self._remove_call(effect.request_id)
        listener.on_refused(effect.refusal.retry_after_s)

    def _send_peer_message(self, effect: effects.SendPeerMessage) -> None:
        peer = self._daemons_by_name[effect.vm]
        peer_event = node_events.PeerSaid(self.entry.name, effect.message)
        is_same_region = peer.entry.region == self.entry.region
        delay_s = INTRA_REGION_DELAY_S if is_same_region else INTER_REGION_DELAY_S
        self._event_loop.after(delay_s, lambda: peer.handle(peer_event))

    def _remove_call(self, request_id: str) -> AnswerListener:
        return self._calls.pop(request_id, (None, _NULL_LISTENER))[1]

    def _call_later(
        self, delay_s: float, call: Callable[..., None], *arguments: Any
    ) -> None:
        self._event_loop.after(delay_s, lambda: call(*arguments))

    def _on_first(
        self, key: tuple[str, int], load: node_events.ServerLoad | None = None
    ) -> None:
        attempt = self._attempts.get(key)
        if attempt is None or key[0] not in self._calls:
            return
        call, listener = self._calls[key[0]]
        attempt.first_s = self._event_loop.now_s - attempt.sent_s
        if load is not None:
            self.handle(node_events.ServerSaid(*key, load=load))
        self.handle(node_events.AttemptBegan(*key, is_committed=call.is_stream))
        if call.is_stream:
            listener.on_first()

    def _on_complete(self, key: tuple[str, int]) -> None:
        attempt = self._attempts.pop(key, None)
        if attempt is None or key[0] not in self._calls:
            return
        call, listener = self._calls[key[0]]
        n_per_event = self._engine.n_tokens_per_event
        ended = node_events.AttemptEnded(
            *key,
            node_events.AttemptResult.ANSWERED,
            status=200,
            is_committed=call.is_stream,
            first_s=attempt.first_s,
            took_s=self._event_loop.now_s - attempt.sent_s,
            n_events=-(-call.n_answer_tokens // n_per_event),
        )
        self.handle(ended)
        if call.is_stream or listener is _NULL_LISTENER:
            self._remove_call(key[0])
            listener.on_complete()

    def _on_not_sent(self, key: tuple[str, int]) -> None:
        if self._attempts.pop(key, None) is not None:
            result = node_events.AttemptResult.NOT_SENT
            self.handle(node_events.AttemptEnded(*key, result))

    def _on_lost(self, key: tuple[str, int]) -> None:
        attempt = self._attempts.pop(key, None)
        if attempt is None or key[0] not in self._calls:
            return
        is_committed = self._calls[key[0]][0].is_stream and attempt.first_s > 0
        self.handle(
            node_events.AttemptEnded(
                *key,
                node_events.AttemptResult.LOST,
                is_committed=is_committed,
                is_disconnected=True,
                n_events=int(is_committed),
            )
        )

    def _on_not_run(self, key: tuple[str, int], retry_after_s: float | None) -> None:
        if self._attempts.pop(key, None) is None:
            return
        result = node_events.AttemptResult.NOT_RUN
        self.handle(
            node_events.AttemptEnded(
                *key,
                result,
                status=503,
                retry_after_s=retry_after_s,
                is_server_reached=False,
            )
        )


@attrs.frozen
class _RelayListener:
    """Passes the answer of a relayed request to the daemon that relayed it."""

    sender: Daemon
    key: tuple[str, int]

    def on_first(self) -> None:
        self.sender._call_later(INTER_REGION_DELAY_S, self.sender._on_first, self.key)

    def on_complete(self) -> None:
        self.sender._call_later(
            INTER_REGION_DELAY_S, self.sender._on_complete, self.key
        )

    def on_refused(self, retry_after_s: float | None) -> None:
        call_later = self.sender._call_later
        call_later(
            INTER_REGION_DELAY_S, self.sender._on_not_run, self.key, retry_after_s
        )


class _NullListener:
    def on_first(self) -> None:
        pass

    def on_complete(self) -> None:
        pass

    def on_refused(self, retry_after_s: float | None) -> None:
        pass


_NULL_LISTENER = _NullListener()
