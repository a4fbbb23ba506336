"""The daemon that serves routed requests, on one thread.

See Also
--------
bilberryridge.decisions.ingress.node : decides.
bilberryridge.transport.ingress.gateway : carries the decisions out.
"""

import contextlib
import logging
import random
import signal
from collections.abc import Callable, Iterator, Mapping

import attrs

from bilberryridge.core import ingress
from bilberryridge.daemon import ingress_platform, line_log, metrics
from bilberryridge.decisions.ingress import events, load_messages, node
from bilberryridge.peers import link_codec, links
from bilberryridge.store import follower, mirror, registration
from bilberryridge.transport import settings
from bilberryridge.transport.ingress import (
    connection_pool,
    event_loop,
    gateway,
    port,
    responder,
)
from bilberryridge.utilities import addresses

LOGGER = logging.getLogger("bilberryridge")

TICK_S = 0.05
"""Between looks at deadlines; half a second late is the bound."""
LOG_INTERVAL_S = 0.1
POOL_CHECK_S = 0.5
PEER_ASK_S = 0.4
"""Between asks for the store's changes while the store can't be reached."""
LISTEN_ON_S = 2.8
"""After SIGTERM: callers keep an answer of the directory for three times 1 s at the
most, and try another VM when this one refuses the connection."""
GRACE_PART = 0.9
"""Part of the grace period after which open streams are cut: later than five sixths of
it, up to which a stream is owed, and early enough to end before SIGKILL."""
SETTLED_BY_PEER_S = 1.0
"""How long another daemon's word on the store counts."""
DIRECTORY_TTL_S = 1.0
"""Callers learn of a lost VM after this, or three times as long."""
MAX_CONNECTIONS = 1500
"""Callers' connections, of 3,900 descriptors for sockets."""
MAX_RELAY_CONNECTIONS = 500


class Daemon:
    """One daemon of the deployment.

    Parameters
    ----------
    cfg : DaemonSettings
    platform : Platform
    loop : EventLoop
    counters : Metrics
    log : LineHandler
    random_state : random.Random
    reread : Callable
        Reads the settings again; None when they can't be read.
    """

    def __init__(
        self,
        cfg: ingress_platform.DaemonSettings,
        platform: ingress_platform.Platform,
        loop: event_loop.EventLoop,
        counters: metrics.Metrics,
        log: line_log.LineHandler,
        random_state: random.Random,
        reread: ingress_platform.Reread,
    ):
        self._cfg = cfg
        self._reread = reread
        self._platform = platform
        self._loop = loop
        self._counters = counters
        local_entry = cfg.node.local_entry
        self._pool = connection_pool.Pool(loop)
        self._node = node.Node(cfg.node, random_state)
        self._gateway = gateway.Gateway(
            loop, self._pool, platform.wire, self._node, self._tell_peer, counters
        )
        self._copy = mirror.Mirror(self._on_changed)
        self._follower = follower.Follower(
            platform.reader(loop, self._pool),
            self._copy,
            loop,
            random_state,
            self._on_settled,
        )
        self._entry_key = platform.decoder.entry_prefix + local_entry.name
        self._registration = registration.Registration(
            platform.writer(loop, self._pool),
            loop,
            self._entry_key,
            platform.decoder.encode_entry(local_entry),
        )
        self._links = links.Links(
            loop,
            local_entry,
            cfg.seeds,
            lambda: self._node.state.members.link_targets(loop.now_s()),
            lambda entry: self._gateway.post(events.LinkUp(entry)),
            lambda vm, inc: self._gateway.post(events.LinkDown(vm, inc)),
            self._on_message,
        )
        self._peer_settled_s = float("-inf")
        self._stopping_s: float | None = None
        self._stop_asked = False
        self._reload_asked = False
        self._ports = self._open_ports()
        loop.every(TICK_S, self._tick)
        loop.every(LOG_INTERVAL_S, log.flush_some)
        loop.every(POOL_CHECK_S, self._pool.close_idle)
        loop.every(PEER_ASK_S, self._ask_peers)

    def run(self) -> None:
        """Serve until the planned stop is over."""
        LOGGER.info(
            "started", extra={"incarnation": self._cfg.node.local_entry.incarnation}
        )
        self._follower.start()
        self._registration.start()
        self._loop.run()
        LOGGER.info("stopped", extra={"open": self._gateway.n_open_requests})

    def ask_stop(self) -> None:
        """Begin the planned stop; called by a signal handler."""
        self._stop_asked = True

    def ask_reload(self) -> None:
        """Read the settings again; called by a signal handler."""
        self._reload_asked = True

    def _open_ports(self) -> list[port.Port]:
        local_entry = self._cfg.node.local_entry
        wire = self._platform.wire
        ports = [
            port.Port(
                self._loop,
                addresses.split(address),
                self._gateway,
                wire.read_head,
                self._caller_limits,
                max_connections,
                is_relay,
            )
            for address, max_connections, is_relay in (
                (local_entry.caller_address, MAX_CONNECTIONS, False),
                (local_entry.relay_address, MAX_RELAY_CONNECTIONS, True),
            )
        ]
        asked = [self._cfg.ready_address, self._cfg.directory_address]
        asked.append(self._cfg.metrics_address)
        for address in dict.fromkeys(filter(None, asked)):
            place = addresses.split(address)
            ports.append(responder.open_responder(self._loop, place, self._respond))
        return ports

    def _caller_limits(self) -> settings.EdgeSettings:
        table = self._node.state.table
        limits = table.limits if table else ingress.CallerLimits()
        nowhere = ("", 0)
        return settings.EdgeSettings(
            self._cfg.node.local_entry.name,
            nowhere,
            nowhere,
            b"",
            max_head_bytes=limits.max_head_bytes,
            max_body_bytes=limits.max_body_bytes,
            head_deadline_s=limits.head_timeout_s,
            idle_deadline_s=limits.idle_timeout_s,
        )

    def _respond(self, method: str, target: str) -> responder.Answer:
        if self._platform.is_ready_target(target):
            return self._platform.respond_ready(self._node.is_ready())
        if target.startswith("/metrics"):
            text = self._counters.render().encode()
            return responder.Answer(200, text, metrics.CONTENT_TYPE)
        return self._platform.respond_directory(target, self._choose, DIRECTORY_TTL_S)

    def _choose(self, host: str, region: str, domain: str) -> list[ingress.EntryVm]:
        return self._node.entries_for(self._loop.now_s(), host, region, domain)

    # The store.

    def _on_changed(self, keys: frozenset[str]) -> None:
        decoder, copy = self._platform.decoder, self._copy
        table = decoder.table(copy)
        if table is not None:
            self._gateway.post(events.TableRead(table))
        self._gateway.post(events.EvacuationsRead(decoder.evacuated(copy)))
        self._on_settled()

    def _on_settled(self) -> None:
        decoder, copy = self._platform.decoder, self._copy
        is_settled = self._is_settled()
        servers = decoder.servers(copy)
        self._gateway.post(events.ServersRead(servers, is_settled))
        entries = decoder.entries(copy)
        self._gateway.post(events.EntriesRead(entries, is_settled))
        local_entry = self._cfg.node.local_entry
        is_present = any(
            entry.incarnation == local_entry.incarnation for entry in entries
        )
        self._registration.restore_if_missing(
            is_present or self._follower.health.is_unavailable
        )

    def _is_settled(self) -> bool:
        by_peer_s = self._loop.now_s() - self._peer_settled_s
        return self._follower.is_settled or by_peer_s < SETTLED_BY_PEER_S

    def _ask_peers(self) -> None:
        """Ask one other daemon for what the store says, while it can't be reached."""
        if not self._follower.health.is_unavailable:
            return
        linked_entries = self._links.linked_entries()
        if linked_entries:
            entry = self._node.state.random_state.choice(linked_entries)
            self._links.send(entry.name, link_codec.ChangesRequest(self._copy.revision))

    def _on_message(self, vm: str, message: link_codec.Message) -> None:
        if isinstance(message, link_codec.ChangesRequest):
            changes = self._copy.changes_since(message.revision)
            reply = link_codec.StoreChanges(changes, self._follower.is_settled)
            self._links.send(vm, reply)
        elif isinstance(message, link_codec.StoreChanges):
            if message.is_settled:
                self._peer_settled_s = self._loop.now_s()
            self._copy.apply(message.changes)
        elif isinstance(message, load_messages.DaemonLoads | load_messages.RegionLoads):
            self._gateway.post(events.PeerSaid(vm, message))

    def _tell_peer(
        self, vm: str, message: load_messages.DaemonLoads | load_messages.RegionLoads
    ) -> None:
        self._links.send(vm, message)

    # Time and signals.

    def _tick(self) -> None:
        if self._reload_asked:
            self._reload_asked = False
            self._reload()
        if self._stop_asked and self._stopping_s is None:
            self._begin_stop()
        self._gateway.post(events.Tick())
        if self._stopping_s is not None:
            self._go_on_stopping(self._loop.now_s() - self._stopping_s)

    def _reload(self) -> None:
        """Take over the bounds of changed settings; addresses need a restart."""
        cfg = self._reread()
        if cfg is None:
            LOGGER.error("reload: the settings can't be read, the old ones stay")
            return
        self._cfg = attrs.evolve(self._cfg, grace_s=cfg.grace_s)
        budget = self._node.state.budget
        budget.ratio = cfg.node.retry_ratio
        budget.slack = cfg.node.retry_slack
        budget.window_s = cfg.node.retry_window_s
        LOGGER.info(
            "reload",
            extra={"grace_s": cfg.grace_s, "retry_slack": cfg.node.retry_slack},
        )

    def _begin_stop(self) -> None:
        LOGGER.info("stopping", extra={"open": self._gateway.n_open_requests})
        self._stopping_s = self._loop.now_s()
        self._gateway.post(events.StopAsked())
        self._registration.revoke()
        # The others send nothing more through this daemon from here on.
        self._links.close()
        for place in self._ports[:2]:
            place.drain_connections()

    def _go_on_stopping(self, since_s: float) -> None:
        is_done = self._gateway.n_open_requests == 0 and not self._has_output()
        is_over = since_s > GRACE_PART * self._cfg.grace_s
        if since_s > LISTEN_ON_S:
            for place in self._ports:
                place.stop_listening()
        if (is_done and since_s > LISTEN_ON_S) or is_over:
            for place in self._ports:
                place.close()
            self._loop.stop()

    def _has_output(self) -> bool:
        return any(place.has_output for place in self._ports[:2])


@contextlib.contextmanager
def open_daemon(
    cfg: ingress_platform.DaemonSettings,
    prepare: Callable[[metrics.Metrics], ingress_platform.Platform],
    fd: int,
    random_state: random.Random,
    reread: ingress_platform.Reread,
) -> Iterator[Daemon]:
    """Make the daemon; it listens from here on, and signals reach it.

    Parameters
    ----------
    cfg : DaemonSettings
    prepare : Callable
        Makes the platform's adapter.
    fd : int
        Where log lines are written.
    random_state : random.Random
    reread : Callable
        Reads the settings again.
    """
    counters = metrics.Metrics()
    with (
        line_log.open_line_log(fd, cfg.node.local_entry.name, counters) as log,
        event_loop.open_loop() as loop,
    ):
        made = Daemon(cfg, prepare(counters), loop, counters, log, random_state, reread)
        handlers: Mapping[int, Callable[[], None]] = {
            signal.SIGTERM: made.ask_stop,
            signal.SIGINT: made.ask_stop,
            signal.SIGHUP: made.ask_reload,
        }
        for signum, action in handlers.items():
            signal.signal(signum, lambda *_, action=action: action())
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        yield made
