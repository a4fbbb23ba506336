"""Links between ingress daemons: websockets on the daemon's event loop.

Within a region the links form a full mesh. To each other region a daemon opens links
to only a few daemons, chosen by hash, which bounds the number of its links.
"""

import functools
import logging
import selectors
import socket
import struct
from collections.abc import Callable, Iterable

from websockets import client, frames, http11, server, uri

from bilberryridge.core import ingress
from bilberryridge.decisions import rendezvous
from bilberryridge.peers import codec, connection, link_codec, settings
from bilberryridge.transport.ingress import event_loop
from bilberryridge.utilities import addresses

LOGGER = logging.getLogger("bilberryridge")

N_LINKS_PER_REGION = 2
"""Links that a daemon opens to each other region: one of them may be lost."""
CHECK_INTERVAL_S = 0.25
"""Between checks for silent and missing links."""
REDIAL_INTERVAL_S = 0.5
"""Between attempts to connect to the same daemon."""
KEEPALIVE_S = 0.6
IDLE_TIMEOUT_S = 2.2
"""A link without data for more than three keepalive intervals is closed."""
HANDSHAKE_TIMEOUT_S = 1.0
"""Allows for two one-way delays of 0.13 s and a lost packet."""
PATH = "/link"
BACKLOG = 128

Link = connection.Connection
OnUp = Callable[[ingress.EntryVm], None]
OnDown = Callable[[str, str], None]
OnMessage = Callable[[str, link_codec.Message], None]


class Links:
    """The links of this daemon.

    Parameters
    ----------
    loop : EventLoop
    local_entry : EntryVm
        This daemon.
    seeds : tuple of str
        Peer addresses that are dialled while no other daemon is known.
    link_targets : Callable
        Returns the daemons that are believed to be running.
    on_up : Callable
        Called with the daemon at the other end of each new link.
    on_down : Callable
        Called with the name and incarnation of a daemon that has lost its last link or
        could not be connected to.
    on_message : Callable
        Called with the sender's name and the message.
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        local_entry: ingress.EntryVm,
        seeds: tuple[str, ...],
        link_targets: Callable[[], Iterable[ingress.EntryVm]],
        on_up: OnUp,
        on_down: OnDown,
        on_message: OnMessage,
    ):
        self._loop = loop
        self._local_entry = local_entry
        self._seeds = tuple(seed for seed in seeds if seed != local_entry.peer_address)
        self._link_targets = link_targets
        self._on_up = on_up
        self._on_down = on_down
        self._on_message = on_message
        self._cfg = settings.PeersSettings(
            local_entry.name,
            local_entry.incarnation,
            local_entry.peer_address,
            b"",
            keepalive_interval_s=KEEPALIVE_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
            handshake_timeout_s=HANDSHAKE_TIMEOUT_S,
        )
        self._links: set[Link] = set()
        self._entry_by_link: dict[Link, ingress.EntryVm] = {}
        self._links_by_vm: dict[str, list[Link]] = {}
        self._last_encoded: tuple[link_codec.Message | None, bytes] = (None, b"")
        self._masks: dict[Link, int] = {}
        self._dialled_s: dict[str, float] = {}
        self._is_closed = False
        host, port = addresses.split(local_entry.peer_address)
        self._listening_sock = socket.create_server((host, port), backlog=BACKLOG)
        self._listening_sock.setblocking(False)
        loop.selector.register(self._listening_sock, selectors.EVENT_READ, self)
        loop.every(CHECK_INTERVAL_S, self.check)

    def on_ready(self, _key: selectors.SelectorKey, _mask: int) -> None:
        """Accept a waiting connection."""
        if self._is_closed:
            return
        try:
            sock, _ = self._listening_sock.accept()
        except OSError as exc:
            LOGGER.info(
                "connection for a link not accepted", extra={"detail": str(exc)}
            )
            return
        proto = connection.server_protocol()
        self._add(connection.Connection(sock, proto, self._loop.now_s()))

    def send(self, vm: str, message: link_codec.Message) -> bool:
        """Send a message to a daemon; return whether a link had space to queue it."""
        for link in self._links_by_vm.get(vm, ()):
            if link.is_writable:
                link.send_message(self._encode(message))
                self._flush(link)
                return True
        return False

    def _encode(self, message: link_codec.Message) -> bytes:
        # Most messages are sent to many daemons in a row, so the last one is cached.
        if self._last_encoded[0] is not message:
            self._last_encoded = (message, link_codec.encode(message))
        return self._last_encoded[1]

    def linked_entries(self) -> list[ingress.EntryVm]:
        """Return the daemons to which a link is open."""
        return list(self._entry_by_link.values())

    def check(self) -> None:
        """Close silent links, send due keepalives and open missing links."""
        if self._is_closed:
            return
        now_s = self._loop.now_s()
        for link in list(self._links):
            if link.is_overdue(self._cfg, now_s):
                self._drop(link, "silent")
            elif link.is_keepalive_due(self._cfg, now_s):
                link.send_keepalive()
                self._flush(link)
        for address in self._missing_addresses():
            if now_s - self._dialled_s.get(address, float("-inf")) >= REDIAL_INTERVAL_S:
                self._dial(address, now_s)

    def close(self) -> None:
        """Close all links, so that other daemons notice at once.

        `on_down` is not called, since the other daemons continue to serve.
        """
        self._is_closed = True
        self._entry_by_link.clear()
        self._links_by_vm.clear()
        self._loop.selector.unregister(self._listening_sock)
        self._listening_sock.close()
        for link in list(self._links):
            self._drop(link, "stopped")

    def _missing_addresses(self) -> list[str]:
        linked_vms = {entry.name for entry in self._entry_by_link.values()}
        link_targets = list(self._link_targets())
        local = self._local_entry
        addresses_to_link = [
            entry.peer_address
            for entry in link_targets
            if entry.region == local.region and entry.name > local.name
        ]
        remote_by_region: dict[str, dict[str, ingress.EntryVm]] = {}
        for entry in link_targets:
            if entry.region != local.region:
                remote_by_region.setdefault(entry.region, {})[entry.name] = entry
        for by_name in remote_by_region.values():
            for name in rendezvous.ranked(local.name, by_name)[:N_LINKS_PER_REGION]:
                addresses_to_link.append(by_name[name].peer_address)
        if not link_targets and not linked_vms:
            addresses_to_link = list(self._seeds)
        open_addresses = {e.peer_address for e in self._entry_by_link.values()}
        return [
            address for address in addresses_to_link if address not in open_addresses
        ]

    def _dial(self, address: str, now_s: float) -> None:
        self._dialled_s[address] = now_s
        host, port = addresses.split(address)
        local_host = addresses.split(self._local_entry.peer_address)[0]
        try:
            sock = connection.dial(local_host, host, port)
        except connection.ConnectionLostError as exc:
            LOGGER.info(
                "connecting a link failed",
                extra={"address": address, "detail": str(exc)},
            )
            return
        proto = client.ClientProtocol(
            uri.parse_uri(f"ws://{address}{PATH}"), max_size=codec.MAX_MESSAGE_BYTES
        )
        self._add(connection.Connection(sock, proto, now_s, target_vm=address))

    def _add(self, link: Link) -> None:
        self._links.add(link)
        self._masks[link] = link.mask
        handler = _LinkHandler(functools.partial(self._on_link_ready, link))
        self._loop.selector.register(link.sock, link.mask, handler)

    def _on_link_ready(self, link: Link, mask: int) -> None:
        if link not in self._links:
            # Another handler has closed it in the same iteration of the loop.
            return
        now_s = self._loop.now_s()
        try:
            if link.stage is connection.Stage.CONNECTING:
                self._on_connected(link, now_s)
            elif mask & selectors.EVENT_READ:
                self._handle_events(link, link.receive(now_s), now_s)
        except connection.ConnectionLostError as exc:
            self._drop(link, str(exc))
            return
        if link in self._links:
            self._flush(link)

    def _on_connected(self, link: Link, now_s: float) -> None:
        error = link.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise connection.ConnectionLostError(f"connect failed with {error}")
        assert isinstance(link.proto, client.ClientProtocol)
        link.enter(connection.Stage.HANDSHAKE, now_s)
        link.send_handshake(link.proto.connect())

    def _handle_events(
        self, link: Link, received: list[connection.ProtocolEvent], now_s: float
    ) -> None:
        for event in received:
            if isinstance(event, http11.Request):
                assert isinstance(link.proto, server.ServerProtocol)
                link.send_handshake(link.proto.accept(event))
                self._send_hello(link, now_s)
            elif isinstance(event, http11.Response):
                self._send_hello(link, now_s)
            elif event.opcode is frames.Opcode.BINARY:
                self._handle_message(link, bytes(event.data))

    def _send_hello(self, link: Link, now_s: float) -> None:
        link.enter(connection.Stage.OPEN, now_s)
        link.send_message(link_codec.encode(link_codec.Hello(self._local_entry)))

    def _handle_message(self, link: Link, data: bytes) -> None:
        try:
            message = link_codec.decode(data)
        except codec.CodecError as exc:
            LOGGER.warning("undecodable message on a link", extra={"detail": str(exc)})
            return
        if isinstance(message, link_codec.Hello):
            self._on_hello(link, message.entry)
            return
        entry = self._entry_by_link.get(link)
        if entry is not None:
            self._on_message(entry.name, message)

    def _on_hello(self, link: Link, entry: ingress.EntryVm) -> None:
        for other, linked in list(self._entry_by_link.items()):
            is_older = linked.incarnation != entry.incarnation
            if linked.name == entry.name and is_older and other is not link:
                self._drop(other, "replaced")
        if link in self._entry_by_link:
            LOGGER.warning("second hello on a link", extra={"vm": entry.name})
            return
        self._entry_by_link[link] = entry
        self._links_by_vm.setdefault(entry.name, []).append(link)
        self._on_up(entry)

    def _flush(self, link: Link) -> None:
        try:
            link.flush(self._loop.now_s())
        except connection.ConnectionLostError as exc:
            self._drop(link, str(exc))
            return
        if link.mask != self._masks[link]:
            key = self._loop.selector.get_key(link.sock)
            self._loop.selector.modify(link.sock, link.mask, key.data)
            self._masks[link] = link.mask

    def _drop(self, link: Link, reason: str) -> None:
        if link not in self._links:
            return
        self._links.discard(link)
        self._masks.pop(link, None)
        self._loop.selector.unregister(link.sock)
        # A silent peer does not complete an orderly close, which would keep the socket
        # for minutes; a reset needs no answer.
        linger = struct.pack("ii", 1, 0)
        if reason == "silent":
            link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        link.close()
        entry = self._entry_by_link.pop(link, None)
        if entry is not None:
            links_to_vm = self._links_by_vm[entry.name]
            links_to_vm.remove(link)
            if not links_to_vm:
                del self._links_by_vm[entry.name]
                self._on_down(entry.name, entry.incarnation)
        elif link.target_vm and not self._is_closed:
            self._on_dial_failed(link.target_vm)

    def _on_dial_failed(self, address: str) -> None:
        for entry in self._link_targets():
            linked_vms = {e.name for e in self._entry_by_link.values()}
            if entry.peer_address == address and entry.name not in linked_vms:
                self._on_down(entry.name, entry.incarnation)


class _LinkHandler:
    """Selector data that calls a function when a link is ready."""

    def __init__(self, action: Callable[[int], None]):
        self._action = action

    def on_ready(self, _key: selectors.SelectorKey, mask: int) -> None:
        """Process the ready link."""
        self._action(mask)
