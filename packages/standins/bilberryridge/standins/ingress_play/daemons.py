"""Daemons: the product's ingress node with modelled links and servers around it."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import effects, node
from bilberryridge.decisions.ingress import events as node_events
from bilberryridge.standins.ingress_play import servers
from bilberryridge.standins.queueing import events

IN_REGION_S = 0.001
"""One way between machines of a region: half of them are in one zone."""
HOST = "desk.example"
ENGINE = ingress.Engine(64, 427_000, 8)
"""Slots, memory and tokens of an event, as the nodes are told."""
BETWEEN_REGIONS_S = 0.055
"""One way between regions."""
WINDOW_BYTES, BYTES_PER_TOKEN = 20_000, 1
"""What goes through in one round trip on a connection, and the size of a prompt."""
TICK_S = 0.05
"""As the product's daemon ticks."""


@attrs.frozen
class Call:
    """A caller's request, with what only the server learns of it.

    Parameters
    ----------
    path : str
    prompt : Prompt or None
    priority, n_answer_tokens, work_s
        As in `servers.Job`.
    is_stream : bool
    """

    path: str
    prompt: ingress.Prompt | None
    priority: int
    n_answer_tokens: int
    work_s: float
    is_stream: bool


class Waiter(Protocol):
    """Who waits for the answer of a request."""

    def first(self) -> None:
        """Its first part came."""

    def whole(self) -> None:
        """All of it came."""

    def refused(self, retry_after_s: float | None) -> None:
        """There will be no answer, or no more of it."""


@attrs.define
class _Attempt:
    sent_s: float
    first_s: float = 0.0
    job: servers.Job | None = None


class Daemon:
    """One daemon.

    Parameters
    ----------
    loop : events.Loop
    entry : EntryVm
    made : node.Node
    by_id : mapping of str to Server
        The backend servers.
    by_name : mapping of str to Daemon
        All daemons; filled after they are made.
    """

    def __init__(
        self,
        loop: events.Loop,
        entry: ingress.EntryVm,
        made: node.Node,
        by_id: Mapping[str, servers.Server],
        by_name: Mapping[str, "Daemon"],
    ):
        self.entry = entry
        self._loop = loop
        self._node = made
        self._by_id = by_id
        self._by_name = by_name
        self._calls: dict[str, tuple[Call, Waiter]] = {}
        self._attempts: dict[tuple[str, int], _Attempt] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            effects.SendToServer: self._send_to_server,
            effects.SendToPeer: self._send_to_peer,
            effects.CancelAttempt: self._cancel,
            effects.PassAnswer: lambda effect: self._close(effect.request_id).whole(),
            effects.Refuse: self._refuse,
            effects.AbortStream: lambda effect: self._close(effect.request_id).refused(
                None
            ),
            effects.SendPeerMessage: self._tell,
            effects.LogStateChange: lambda effect: None,
        }

    def handle(self, event: node_events.Event) -> None:
        """Give the node an event and do what it asks for."""
        for effect in self._node.handle(self._loop.now_s, event):
            self._handlers[type(effect)](effect)

    def tick(self) -> None:
        """Let some time pass."""
        self.handle(node_events.Tick())

    def arrive(self, req: ingress.Request, call: Call, waiter: Waiter) -> None:
        """Take a request in."""
        self._calls[req.id] = (call, waiter)
        self.handle(node_events.RequestArrived(req))

    def leave(self, request_id: str) -> None:
        """The caller has left."""
        if self._calls.pop(request_id, None) is not None:
            self.handle(node_events.CallerGone(request_id))

    def _send_to_server(self, effect: effects.SendToServer) -> None:
        call, _ = self._calls[effect.request_id]
        key = (effect.request_id, effect.attempt_id)
        attempt = self._attempts[key] = _Attempt(self._loop.now_s)
        attempt.job = servers.Job(
            call.prompt,
            effect.priority,
            call.n_answer_tokens,
            call.work_s,
            lambda: self._later(IN_REGION_S, self._on_first, key),
            lambda: self._later(IN_REGION_S, self._on_whole, key),
            self._keeper(effect.fetch_from),
        )
        server = self._by_id[effect.server.id]
        self._loop.after(IN_REGION_S, lambda: self._reach(server, key))

    def _keeper(self, address: str) -> servers.EngineModel | None:
        # Servers' addresses are their names here.
        keeper = self._by_id.get(address)
        return keeper if isinstance(keeper, servers.EngineModel) else None

    def _reach(self, server: servers.Server, key: tuple[str, int]) -> None:
        attempt = self._attempts.get(key)
        if attempt is None or attempt.job is None or server.accept(attempt.job):
            return
        self._later(IN_REGION_S, self._on_not_run, key, None)

    def _send_to_peer(self, effect: effects.SendToPeer) -> None:
        call, _ = self._calls[effect.request_id]
        key = (effect.request_id, effect.attempt_id)
        self._attempts[key] = _Attempt(self._loop.now_s)
        n_tokens = call.prompt.n_tokens if call.prompt else 0
        n_trips = n_tokens * BYTES_PER_TOKEN // WINDOW_BYTES
        way_s = BETWEEN_REGIONS_S * (1 + 2 * n_trips)
        req = ingress.Request(
            f"{effect.request_id}/{effect.attempt_id}",
            "",
            HOST,
            call.path,
            max(0.0, effect.remaining_s - way_s),
            call.prompt,
            is_relayed=True,
            table_version=effect.table_version,
        )
        peer = self._by_name[effect.entry.name]
        waiter = _Relayed(self, key)
        self._loop.after(way_s, lambda: peer.arrive(req, call, waiter))

    def _cancel(self, effect: effects.CancelAttempt) -> None:
        key = (effect.request_id, effect.attempt_id)
        attempt = self._attempts.pop(key, None)
        if attempt is not None and attempt.job is not None:
            attempt.job.is_over = True

    def _refuse(self, effect: effects.Refuse) -> None:
        waiter = self._close(effect.request_id)
        waiter.refused(effect.refusal.retry_after_s)

    def _tell(self, effect: effects.SendPeerMessage) -> None:
        peer = self._by_name[effect.vm]
        said = node_events.PeerSaid(self.entry.name, effect.message)
        is_near = peer.entry.region == self.entry.region
        way_s = IN_REGION_S if is_near else BETWEEN_REGIONS_S
        self._loop.after(way_s, lambda: peer.handle(said))

    def _close(self, request_id: str) -> Waiter:
        return self._calls.pop(request_id, (None, _NOBODY))[1]

    def _later(self, way_s: float, call: Callable[..., None], *arguments: Any) -> None:
        self._loop.after(way_s, lambda: call(*arguments))

    def _on_first(self, key: tuple[str, int]) -> None:
        attempt = self._attempts.get(key)
        if attempt is None or key[0] not in self._calls:
            return
        call, waiter = self._calls[key[0]]
        attempt.first_s = self._loop.now_s - attempt.sent_s
        self.handle(node_events.AttemptBegan(*key, is_committed=call.is_stream))
        if call.is_stream:
            waiter.first()

    def _on_whole(self, key: tuple[str, int]) -> None:
        attempt = self._attempts.pop(key, None)
        if attempt is None or key[0] not in self._calls:
            return
        call, waiter = self._calls[key[0]]
        n_per_event = ENGINE.n_tokens_per_event
        ended = node_events.AttemptEnded(
            *key,
            node_events.AttemptResult.ANSWERED,
            status=200,
            is_committed=call.is_stream,
            first_s=attempt.first_s,
            took_s=self._loop.now_s - attempt.sent_s,
            n_events=-(-call.n_answer_tokens // n_per_event),
        )
        self.handle(ended)
        if call.is_stream:
            self._close(key[0])
            waiter.whole()

    def _on_not_run(self, key: tuple[str, int], retry_after_s: float | None) -> None:
        if self._attempts.pop(key, None) is None:
            return
        result = node_events.AttemptResult.NOT_RUN
        self.handle(
            node_events.AttemptEnded(
                *key, result, status=503, retry_after_s=retry_after_s
            )
        )


@attrs.frozen
class _Relayed:
    """The daemon that sent a request on waits for its answer."""

    sender: Daemon
    key: tuple[str, int]

    def first(self) -> None:
        self.sender._later(BETWEEN_REGIONS_S, self.sender._on_first, self.key)

    def whole(self) -> None:
        self.sender._later(BETWEEN_REGIONS_S, self.sender._on_whole, self.key)

    def refused(self, retry_after_s: float | None) -> None:
        later = self.sender._later
        later(BETWEEN_REGIONS_S, self.sender._on_not_run, self.key, retry_after_s)


class _Nobody:
    def first(self) -> None:
        pass

    def whole(self) -> None:
        pass

    def refused(self, retry_after_s: float | None) -> None:
        pass


_NOBODY = _Nobody()
