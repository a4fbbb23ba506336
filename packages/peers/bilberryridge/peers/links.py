"""Links between ingress daemons: websockets on the loop of the daemon.

Within a region every daemon has a link to every other; to each other region a daemon
opens links to a few, chosen by hash, so that a daemon has no more than that a region.
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

N_LINKS_ABROAD = 2
"""Links to each other region: one may be lost."""
CHECK_INTERVAL_S = 0.25
"""Between looks at silent links and missing ones."""
REDIAL_S = 0.5
"""Between tries to link to a daemon."""
KEEPALIVE_S = 0.6
IDLE_TIMEOUT_S = 2.2
"""A link that is silent for more than three keepalives is closed."""
HANDSHAKE_TIMEOUT_S = 1.0
"""For the way of 0.13 s twice and a lost packet."""
PATH = "/link"
BACKLOG = 128

Link = connection.Connection
OnUp = Callable[[ingress.EntryVm], None]
OnDown = Callable[[str, str], None]
OnMessage = Callable[[str, link_codec.Message], None]


class Links:
    """All links of this daemon.

    Parameters
    ----------
    loop : EventLoop
    own : EntryVm
    seeds : tuple of str
        Addresses that are tried while no other daemon is known.
    known : Callable
        Returns the daemons that are believed to be there.
    on_up, on_down, on_message : Callable
    """

    def __init__(
        self,
        loop: event_loop.EventLoop,
        own: ingress.EntryVm,
        seeds: tuple[str, ...],
        known: Callable[[], Iterable[ingress.EntryVm]],
        on_up: OnUp,
        on_down: OnDown,
        on_message: OnMessage,
    ):
        self._loop = loop
        self._own = own
        self._seeds = tuple(seed for seed in seeds if seed != own.peer_address)
        self._known = known
        self._on_up = on_up
        self._on_down = on_down
        self._on_message = on_message
        self._cfg = settings.PeersSettings(
            own.name,
            own.incarnation,
            own.peer_address,
            b"",
            keepalive_interval_s=KEEPALIVE_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
            handshake_timeout_s=HANDSHAKE_TIMEOUT_S,
        )
        self._links: set[Link] = set()
        self._entry_by_link: dict[Link, ingress.EntryVm] = {}
        self._last_encoded: tuple[link_codec.Message | None, bytes] = (None, b"")
        self._masks: dict[Link, int] = {}
        self._dialled_s: dict[str, float] = {}
        self._is_closed = False
        host, port = addresses.split(own.peer_address)
        self._sock = socket.create_server((host, port), backlog=BACKLOG)
        self._sock.setblocking(False)
        loop.selector.register(self._sock, selectors.EVENT_READ, self)
        loop.every(CHECK_INTERVAL_S, self.check)

    def on_ready(self, _key: selectors.SelectorKey, _mask: int) -> None:
        """Accept what is waiting."""
        if self._is_closed:
            return
        try:
            sock, _ = self._sock.accept()
        except OSError as exc:
            LOGGER.info("no link accepted", extra={"detail": str(exc)})
            return
        proto = connection.server_protocol()
        self._add(connection.Connection(sock, proto, self._loop.now_s()))

    def send(self, vm: str, message: link_codec.Message) -> bool:
        """Send a message to a daemon; return whether a link took it."""
        for link, entry in self._entry_by_link.items():
            if entry.name == vm and link.has_room:
                link.send_message(self._encoded(message))
                self._flush(link)
                return True
        return False

    def _encoded(self, message: link_codec.Message) -> bytes:
        # Most messages go to many daemons, one after the other.
        if self._last_encoded[0] is not message:
            self._last_encoded = (message, link_codec.encode(message))
        return self._last_encoded[1]

    def linked_entries(self) -> list[ingress.EntryVm]:
        """Return the daemons that a link is open to."""
        return list(self._entry_by_link.values())

    def check(self) -> None:
        """Close silent links, keep quiet ones and open missing ones."""
        if self._is_closed:
            return
        now_s = self._loop.now_s()
        for link in list(self._links):
            if link.is_overdue(self._cfg, now_s):
                self._drop(link, "silent")
            elif link.is_quiet(self._cfg, now_s):
                link.send_keepalive()
                self._flush(link)
        for address in self._wanted():
            if now_s - self._dialled_s.get(address, float("-inf")) >= REDIAL_S:
                self._dial(address, now_s)

    def close(self) -> None:
        """Close all links, so that the others hear of it at once.

        Nothing is told of it here: the others go on serving.
        """
        self._is_closed = True
        self._entry_by_link.clear()
        self._loop.selector.unregister(self._sock)
        self._sock.close()
        for link in list(self._links):
            self._drop(link, "stopped")

    def _wanted(self) -> list[str]:
        linked_vms = {entry.name for entry in self._entry_by_link.values()}
        known = list(self._known())
        own = self._own
        wanted = [
            entry.peer_address
            for entry in known
            if entry.region == own.region and entry.name > own.name
        ]
        abroad: dict[str, dict[str, ingress.EntryVm]] = {}
        for entry in known:
            if entry.region != own.region:
                abroad.setdefault(entry.region, {})[entry.name] = entry
        for by_name in abroad.values():
            for name in rendezvous.ranked(own.name, by_name)[:N_LINKS_ABROAD]:
                wanted.append(by_name[name].peer_address)
        if not known and not linked_vms:
            wanted = list(self._seeds)
        open_addresses = {e.peer_address for e in self._entry_by_link.values()}
        return [address for address in wanted if address not in open_addresses]

    def _dial(self, address: str, now_s: float) -> None:
        self._dialled_s[address] = now_s
        host, port = addresses.split(address)
        own_host = addresses.split(self._own.peer_address)[0]
        try:
            sock = connection.dial(own_host, host, port)
        except connection.ConnectionLostError as exc:
            LOGGER.info("no link", extra={"address": address, "detail": str(exc)})
            return
        proto = client.ClientProtocol(
            uri.parse_uri(f"ws://{address}{PATH}"), max_size=codec.MAX_MESSAGE_BYTES
        )
        self._add(connection.Connection(sock, proto, now_s, target_vm=address))

    def _add(self, link: Link) -> None:
        self._links.add(link)
        self._masks[link] = link.mask
        handler = _Handler(functools.partial(self._on_link_ready, link))
        self._loop.selector.register(link.sock, link.mask, handler)

    def _on_link_ready(self, link: Link, mask: int) -> None:
        if link not in self._links:
            # Another handler of the same round has closed it.
            return
        now_s = self._loop.now_s()
        try:
            if link.stage is connection.Stage.CONNECTING:
                self._on_connected(link, now_s)
            elif mask & selectors.EVENT_READ:
                self._take(link, link.receive(now_s), now_s)
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
        link.enter(connection.Stage.PROVING, now_s)
        link.send_handshake(link.proto.connect())

    def _take(
        self, link: Link, received: list[connection.ProtocolEvent], now_s: float
    ) -> None:
        for event in received:
            if isinstance(event, http11.Request):
                assert isinstance(link.proto, server.ServerProtocol)
                link.send_handshake(link.proto.accept(event))
                self._greet(link, now_s)
            elif isinstance(event, http11.Response):
                self._greet(link, now_s)
            elif event.opcode is frames.Opcode.BINARY:
                self._take_message(link, bytes(event.data))

    def _greet(self, link: Link, now_s: float) -> None:
        link.enter(connection.Stage.OPEN, now_s)
        link.send_message(link_codec.encode(link_codec.Hello(self._own)))

    def _take_message(self, link: Link, data: bytes) -> None:
        try:
            message = link_codec.decode(data)
        except codec.CodecError as exc:
            LOGGER.warning("unreadable message", extra={"detail": str(exc)})
            return
        if isinstance(message, link_codec.Hello):
            self._on_hello(link, message.entry)
            return
        entry = self._entry_by_link.get(link)
        if entry is not None:
            self._on_message(entry.name, message)

    def _on_hello(self, link: Link, entry: ingress.EntryVm) -> None:
        for other, known in list(self._entry_by_link.items()):
            is_older = known.incarnation != entry.incarnation
            if known.name == entry.name and is_older and other is not link:
                self._drop(other, "replaced")
        self._entry_by_link[link] = entry
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
        # A reset needs no answer; a silent peer would keep the socket for minutes.
        linger = struct.pack("ii", 1, 0)
        if reason == "silent":
            link.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        link.close()
        entry = self._entry_by_link.pop(link, None)
        if entry is not None:
            still = any(e.name == entry.name for e in self._entry_by_link.values())
            if not still:
                self._on_down(entry.name, entry.incarnation)
        elif link.target_vm and not self._is_closed:
            self._on_no_link(link.target_vm)

    def _on_no_link(self, address: str) -> None:
        for entry in self._known():
            linked_vms = {e.name for e in self._entry_by_link.values()}
            if entry.peer_address == address and entry.name not in linked_vms:
                self._on_down(entry.name, entry.incarnation)


class _Handler:
    """A link's place in the selector."""

    def __init__(self, action: Callable[[int], None]):
        self._action = action

    def on_ready(self, _key: selectors.SelectorKey, mask: int) -> None:
        """Go on with the link."""
        self._action(mask)
