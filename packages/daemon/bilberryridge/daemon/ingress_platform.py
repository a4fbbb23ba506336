"""Interface between the daemon for routed requests and the platform it runs on."""

from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.core import ingress
from bilberryridge.daemon import configuration_proving
from bilberryridge.decisions.ingress import crash_reports, state, stream_origins
from bilberryridge.store import follower, mirror, registration, store_era
from bilberryridge.transport.ingress import (
    connection_pool,
    dialect,
    event_loop,
    responder,
)

ChooseEntries = Callable[[str, str, str, bytes], list[ingress.EntryVm]]
"""Takes the host of the route, the region and failure domain of the caller, and the
digest of its key, empty if it sends none."""


@attrs.frozen
class DaemonSettings:
    """Addresses and limits of the daemon.

    Parameters
    ----------
    node : state.NodeSettings
    ready_address, directory_address : str
        ``host:port`` for readiness probes and for directory queries; may be equal.
    metrics_address : str
        ``host:port`` for metrics; empty to serve none.
    seeds : tuple of str
        Peer addresses to connect to while no other daemon is known.
    grace_s : float
        Time between SIGTERM and SIGKILL.
    """

    node: state.NodeSettings
    ready_address: str
    directory_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    grace_s: float


ReloadSettings = Callable[[], DaemonSettings | None]
"""Reads the settings file again; returns None if it cannot be read."""


class Decoder(Protocol):
    """Decodes the contents of the platform's store."""

    @property
    def entry_prefix(self) -> str:
        """Prefix of the keys under which daemons register."""

    @property
    def configuration_key(self) -> str:
        """Key of the configuration."""

    def table(self, store_copy: mirror.Mirror) -> ingress.RoutingTable | None:
        """Return the last readable routing table; None if there was none yet."""

    def servers(self, store_copy: mirror.Mirror) -> tuple[ingress.BackendServer, ...]:
        """Return the registered backend servers; unreadable entries are skipped."""

    def entries(self, store_copy: mirror.Mirror) -> tuple[ingress.EntryVm, ...]:
        """Return the registered daemons; unreadable entries are skipped."""

    @property
    def stream_prefix(self) -> str:
        """Prefix of the keys under which daemons keep the streams that they began."""

    def streams(
        self, store_copy: mirror.Mirror, keys: frozenset[str]
    ) -> tuple[stream_origins.StreamRecord, ...]:
        """Return the streams under some keys; unreadable entries are skipped."""

    def evacuated(self, store_copy: mirror.Mirror) -> frozenset[str]:
        """Return the evacuated failure domains, which receive no requests."""

    def generation(self, key: str, value: bytes) -> mirror.Generation | None:
        """Return the order of a value by its writer's count; None if it has none."""

    def redact(self, key: str, value: bytes) -> bytes:
        """Return a value with digests in place of the keys of callers."""

    def stored_reports(self, store_copy: mirror.Mirror) -> crash_reports.StoredReports:
        """Return the daemons' reports on crashes; unreadable ones are skipped."""

    def encode_report(self, report: crash_reports.Report) -> tuple[str, bytes]:
        """Return the key and the value under which a report is stored."""

    def encode_streams(
        self, name: str, streams: tuple[stream_origins.StreamRecord, ...]
    ) -> tuple[str, bytes]:
        """Return the key with a name, and the value, under which streams are stored."""

    def encode_entry(self, entry: ingress.EntryVm) -> bytes:
        """Encode the registration of this daemon."""


class Platform(Protocol):
    """The platform's wire format, its store, and its probes and directory queries."""

    @property
    def wire(self) -> dialect.Dialect:
        """Wire format of callers and backend servers."""

    @property
    def decoder(self) -> Decoder:
        """Decoder of the entries in the store."""

    def reader(
        self,
        loop: event_loop.EventLoop,
        pool: connection_pool.Pool,
        eras: store_era.EraMonitor,
    ) -> follower.StoreReader:
        """Create a client for reading the store."""

    def configuration_reader(
        self,
        loop: event_loop.EventLoop,
        pool: connection_pool.Pool,
        eras: store_era.EraMonitor,
    ) -> configuration_proving.ConfigurationReader:
        """Create a client for reading the configuration alone."""

    def writer(
        self,
        loop: event_loop.EventLoop,
        pool: connection_pool.Pool,
        eras: store_era.EraMonitor,
    ) -> registration.LeaseWriter:
        """Create a client for the leases of the store."""

    def respond_ready(self, is_ready: bool) -> responder.Answer:
        """Answer a readiness probe of the platform."""

    def respond_directory(
        self, head: dialect.Head, choose: ChooseEntries, ttl_s: float
    ) -> responder.Answer:
        """Answer a caller's query for the entry VMs to use."""

    def is_ready_target(self, target: str) -> bool:
        """Return whether a request target is the readiness probe."""
