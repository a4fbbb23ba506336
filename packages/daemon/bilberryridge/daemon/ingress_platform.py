"""What the daemon that serves routed requests needs of a prepared platform."""

from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import state
from bilberryridge.store import follower, mirror, registration
from bilberryridge.transport.ingress import (
    connection_pool,
    dialect,
    event_loop,
    responder,
)

ChooseEntries = Callable[[str, str, str], list[ingress.EntryVm]]
"""Takes host, region and failure domain of a caller."""


@attrs.frozen
class DaemonSettings:
    """Addresses and bounds of the daemon.

    Parameters
    ----------
    node : state.NodeSettings
    ready_address, directory_address : str
        ``host:port``; may be the same.
    metrics_address : str
        Empty for none.
    seeds : tuple of str
        Peer addresses to try while no other daemon is known.
    grace_s : float
        Time from SIGTERM until the process is killed.
    """

    node: state.NodeSettings
    ready_address: str
    directory_address: str
    metrics_address: str
    seeds: tuple[str, ...]
    grace_s: float


Reread = Callable[[], DaemonSettings | None]
"""Reads the settings again; None when they can't be read."""


class Decoder(Protocol):
    """Reads what a platform's store holds into the product's types."""

    @property
    def entry_prefix(self) -> str:
        """Of the keys under which daemons register."""

    def table(self, copy: mirror.Mirror) -> ingress.RoutingTable | None:
        """Return the routing table; None while there is none that can be read."""

    def servers(self, copy: mirror.Mirror) -> tuple[ingress.BackendServer, ...]:
        """Return the registered backend servers that can be read."""

    def entries(self, copy: mirror.Mirror) -> tuple[ingress.EntryVm, ...]:
        """Return the registered daemons."""

    def evacuated(self, copy: mirror.Mirror) -> frozenset[str]:
        """Return the failure domains to which nothing is sent."""

    def encode_entry(self, entry: ingress.EntryVm) -> bytes:
        """Write this daemon's registration."""


class Platform(Protocol):
    """What a prepared platform brings: its wire, its store, its questions."""

    @property
    def wire(self) -> dialect.Dialect:
        """How callers and backend servers speak."""

    @property
    def decoder(self) -> Decoder:
        """Reads the store's items."""

    def reader(
        self, loop: event_loop.EventLoop, pool: connection_pool.Pool
    ) -> follower.StoreReader:
        """Make the store's reading calls."""

    def writer(
        self, loop: event_loop.EventLoop, pool: connection_pool.Pool
    ) -> registration.LeaseWriter:
        """Make the store's calls on leases."""

    def respond_ready(self, is_ready: bool) -> responder.Answer:
        """Answer the platform's question."""

    def respond_directory(
        self, target: str, choose: ChooseEntries, ttl_s: float
    ) -> responder.Answer:
        """Answer a caller that asks which entry VMs to use."""

    def is_ready_target(self, target: str) -> bool:
        """Return whether a target asks for readiness."""
