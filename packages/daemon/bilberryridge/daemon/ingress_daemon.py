"""The single-threaded daemon that serves routed requests.

See Also
--------
bilberryridge.decisions.ingress.node : makes the decisions.
bilberryridge.transport.ingress.gateway : executes the decisions.
"""

import contextlib
import logging
import random
import signal
from collections.abc import Callable, Iterator, Mapping

import attrs

from bilberryridge.core import ingress
from bilberryridge.daemon import (
    ingress_platform,
    line_log,
    metrics,
    store_following,
)
from bilberryridge.decisions.ingress import (
    crash_reports,
    effects,
    events,
    node,
    stream_origins,
)
from bilberryridge.peers import link_codec, links
from bilberryridge.transport import settings
from bilberryridge.transport.ingress import (
    connection_pool,
    dialect,
    event_loop,
    gateway,
    port,
    responder,
)
from bilberryridge.utilities import addresses

LOGGER = logging.getLogger("bilberryridge")

TICK_INTERVAL_S = 0.05
"""Interval of deadline checks; callers tolerate a delay of at most 0.5 s."""
LOG_WRITE_INTERVAL_S = 0.1
POOL_CHECK_INTERVAL_S = 0.5
LISTEN_AFTER_STOP_S = 2.8
"""Time after SIGTERM during which new connections are accepted. Callers use a directory
answer for at most three times its lifetime of 1 s, and try another VM when this one
refuses the connection."""
GRACE_FRACTION = 0.9
"""Fraction of the grace period after which open streams are aborted. Streams must be
served for five sixths of it, and the daemon must exit before SIGKILL."""
FINAL_ANSWERS_S = 0.25
"""Time before that in which requests that are still open get a final answer."""
DIRECTORY_TTL_S = 1.0
"""Callers stop using a lost VM after one to three times this lifetime."""
MAX_CONNECTIONS = 1500
"""Connections of callers, out of 3,900 file descriptors for sockets."""
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
    reload_settings : Callable
        Reads the settings file again; returns None if it cannot be read.
    """

    def __init__(
        self,
        cfg: ingress_platform.DaemonSettings,
        platform: ingress_platform.Platform,
        loop: event_loop.EventLoop,
        counters: metrics.Metrics,
        log: line_log.LineHandler,
        random_state: random.Random,
        reload_settings: ingress_platform.ReloadSettings,
    ):
        self._cfg = cfg
        self._reload_settings = reload_settings
        self._platform = platform
        self._loop = loop
        self._counters = counters
        local_entry = cfg.node.local_entry
        self._pool = connection_pool.Pool(loop, self._on_reached)
        self._node = node.Node(cfg.node, random_state)
        self._gateway = gateway.Gateway(
            loop,
            self._pool,
            platform.wire,
            self._node,
            self._send_peer_message,
            self._store_report,
            self._store_streams,
            self._check_store,
            counters,
        )
        self._links = links.Links(
            loop,
            local_entry,
            cfg.seeds,
            lambda: self._node.state.members.link_targets(loop.now_s()),
            self._on_link_up,
            self._on_link_down,
            self._on_message,
        )
        self._following = store_following.StoreFollowing(
            platform,
            loop,
            self._pool,
            local_entry,
            self._links,
            random_state,
            self._gateway.post,
            cfg.node.revocation_bound_s,
        )
        self._limits: tuple[ingress.RoutingTable | None, settings.EdgeSettings] | None
        self._limits = None
        self._stopping_since_s: float | None = None
        self._is_stop_requested = False
        self._is_reload_requested = False
        self._ports = self._open_ports()
        loop.every(TICK_INTERVAL_S, self._tick)
        loop.every(LOG_WRITE_INTERVAL_S, log.write_pending)
        loop.every(POOL_CHECK_INTERVAL_S, self._pool.close_idle)

    def run(self) -> None:
        """Serve until the graceful stop is complete."""
        LOGGER.info(
            "started", extra={"incarnation": self._cfg.node.local_entry.incarnation}
        )
        self._following.start()
        self._loop.run()
        LOGGER.info("stopped", extra={"open": self._gateway.n_open_requests})

    def request_stop(self) -> None:
        """Request the graceful stop; called by a signal handler."""
        self._is_stop_requested = True

    def request_reload(self) -> None:
        """Request that the settings be read again; called by a signal handler."""
        self._is_reload_requested = True

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
        http_addresses = [self._cfg.ready_address, self._cfg.directory_address]
        http_addresses.append(self._cfg.metrics_address)
        for address in dict.fromkeys(filter(None, http_addresses)):
            host_port = addresses.split(address)
            ports.append(responder.open_responder(self._loop, host_port, self._respond))
        return ports

    def _caller_limits(self) -> settings.EdgeSettings:
        """Return the limits in force, the same object while the table is the same."""
        table = self._node.state.table
        if self._limits is None or self._limits[0] is not table:
            self._limits = (table, self._limits_of(table))
        return self._limits[1]

    def _limits_of(self, table: ingress.RoutingTable | None) -> settings.EdgeSettings:
        limits = table.limits if table else ingress.CallerLimits()
        unused_address = ("", 0)
        return settings.EdgeSettings(
            self._cfg.node.local_entry.name,
            unused_address,
            unused_address,
            b"",
            max_head_bytes=limits.max_head_bytes,
            max_body_bytes=limits.max_body_bytes,
            head_deadline_s=limits.head_timeout_s,
            idle_deadline_s=limits.idle_timeout_s,
        )

    def _respond(self, head: dialect.Head) -> responder.Answer:
        target = head.target
        if self._platform.is_ready_target(target):
            return self._platform.respond_ready(self._node.is_ready())
        if target.startswith("/metrics"):
            self._record_proof_age()
            text = self._counters.render().encode()
            return responder.Answer(200, text, metrics.CONTENT_TYPE)
        return self._platform.respond_directory(head, self._choose, DIRECTORY_TTL_S)

    def _record_proof_age(self) -> None:
        proof = self._node.state.proof
        age_s = proof.age_s(self._loop.boot_s())
        if proof.bound_s is not None and age_s is not None:
            self._counters.set_gauge("configuration_proof_age_seconds", (), age_s)

    def _choose(
        self, host: str, region: str, domain: str, key_digest: bytes
    ) -> list[ingress.EntryVm]:
        return self._node.entries_for(
            self._loop.now_s(), host, region, domain, key_digest
        )

    def _on_reached(self, address: addresses.Address) -> None:
        host, port_number = address
        self._gateway.post(events.ServerReached(f"{host}:{port_number}"))

    # Links

    def _on_link_up(self, entry: ingress.EntryVm) -> None:
        self._gateway.post(events.LinkUp(entry))
        self._following.on_link_up(entry)

    def _on_link_down(self, vm: str, incarnation: str) -> None:
        self._following.on_link_down(vm)
        self._gateway.post(events.LinkDown(vm, incarnation))

    def _on_message(self, vm: str, message: link_codec.Message) -> None:
        if isinstance(message, effects.PeerMessage):
            self._gateway.post(events.PeerSaid(vm, message))
        elif isinstance(message, store_following.Message):
            self._following.on_message(vm, message)

    def _send_peer_message(self, vm: str, message: effects.PeerMessage) -> None:
        self._links.send(vm, message)

    def _store_report(self, report: crash_reports.Report) -> None:
        self._following.store_report(report)

    def _store_streams(self, streams: tuple[stream_origins.StreamRecord, ...]) -> None:
        self._following.store_streams(streams)

    def _check_store(self) -> None:
        self._following.check()

    # Time and signals

    def _tick(self) -> None:
        if self._is_reload_requested:
            self._is_reload_requested = False
            self._reload()
        if self._is_stop_requested and self._stopping_since_s is None:
            self._begin_stop()
        self._gateway.post(events.Tick())
        if self._stopping_since_s is not None:
            self._continue_stop(self._loop.now_s() - self._stopping_since_s)

    def _reload(self) -> None:
        """Apply changed limits of the settings; changed addresses need a restart."""
        cfg = self._reload_settings()
        if cfg is None:
            LOGGER.error("reload: cannot read the settings, keeping the previous ones")
            return
        self._cfg = attrs.evolve(self._cfg, grace_s=cfg.grace_s)
        budget = self._node.state.budget
        budget.ratio = cfg.node.retry_ratio
        budget.slack = cfg.node.retry_slack
        budget.window_s = cfg.node.retry_window_s
        self._set_revocation_bound(cfg.node.revocation_bound_s)
        LOGGER.info(
            "reload",
            extra={
                "grace_s": cfg.grace_s,
                "retry_slack": cfg.node.retry_slack,
                "revocation_bound_s": cfg.node.revocation_bound_s,
            },
        )

    def _set_revocation_bound(self, bound_s: float | None) -> None:
        self._node.state.proof.set_bound(bound_s)
        self._following.set_revocation_bound(bound_s)

    def _begin_stop(self) -> None:
        LOGGER.info("stopping", extra={"open": self._gateway.n_open_requests})
        self._stopping_since_s = self._loop.now_s()
        end_s = GRACE_FRACTION * self._cfg.grace_s
        self._gateway.post(events.StopAsked(end_s - FINAL_ANSWERS_S))
        self._following.revoke()
        # Without links the peers forward no further requests to this daemon.
        self._links.close()
        for listener in self._ports[:2]:
            listener.drain_connections()

    def _continue_stop(self, elapsed_s: float) -> None:
        is_done = self._gateway.n_open_requests == 0 and not self._has_output()
        is_over = elapsed_s > GRACE_FRACTION * self._cfg.grace_s
        if elapsed_s > LISTEN_AFTER_STOP_S:
            for listener in self._ports:
                listener.stop_listening()
        if (is_done and elapsed_s > LISTEN_AFTER_STOP_S) or is_over:
            for listener in self._ports:
                listener.close()
            self._loop.stop()

    def _has_output(self) -> bool:
        return any(listener.has_output for listener in self._ports[:2])


@contextlib.contextmanager
def open_daemon(
    cfg: ingress_platform.DaemonSettings,
    prepare: Callable[[metrics.Metrics], ingress_platform.Platform],
    fd: int,
    random_state: random.Random,
    reload_settings: ingress_platform.ReloadSettings,
) -> Iterator[Daemon]:
    """Create the daemon, open its ports and install its signal handlers.

    Parameters
    ----------
    cfg : DaemonSettings
    prepare : Callable
        Creates the platform adapter.
    fd : int
        File descriptor for log lines.
    random_state : random.Random
    reload_settings : Callable
        Reads the settings file again.
    """
    counters = metrics.Metrics()
    with (
        line_log.open_line_log(fd, cfg.node.local_entry.name, counters) as log,
        event_loop.open_loop() as loop,
    ):
        daemon = Daemon(
            cfg, prepare(counters), loop, counters, log, random_state, reload_settings
        )
        handlers: Mapping[int, Callable[[], None]] = {
            signal.SIGTERM: daemon.request_stop,
            signal.SIGINT: daemon.request_stop,
            signal.SIGHUP: daemon.request_reload,
        }
        for signum, action in handlers.items():
            signal.signal(signum, lambda *_, action=action: action())
        signal.signal(signal.SIGPIPE, signal.SIG_IGN)
        yield daemon
