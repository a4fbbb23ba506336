"""Table of the connected daemons, with their connections and queued messages."""

from collections.abc import Callable

import attrs
from websockets import frames

from bilberryridge.core import messages
from bilberryridge.decisions import events
from bilberryridge.peers import codec, connection, handshake, outbox, settings
from bilberryridge.utilities import metrics


@attrs.define(eq=False)
class Peer:
    """A daemon with at least one authenticated connection.

    Parameters
    ----------
    identity : Identity
    waiting : Outbox
        Messages to be sent.
    up_since_s : float
        Monotonic time of the first connection.
    conns : list of Connection
        Oldest first; messages are sent on the last one.
    """

    identity: handshake.Identity
    waiting: outbox.Outbox
    up_since_s: float
    conns: list[connection.Connection] = attrs.field(factory=list)


class PeerTable:
    """The connected daemons.

    Parameters
    ----------
    cfg : PeersSettings
    post : callable
        Takes the events of the peers.
    counts : Metrics
    """

    def __init__(
        self,
        cfg: settings.PeersSettings,
        post: Callable[[events.Event], None],
        counts: metrics.Metrics,
    ):
        self._cfg = cfg
        self._post = post
        self._counts = counts
        self._peers: dict[str, Peer] = {}
        self._last_frame: messages.Frame | None = None
        self._last_encoded = b""

    def __contains__(self, vm: object) -> bool:
        return vm in self._peers

    def add(
        self, conn: connection.Connection, identity: handshake.Identity, now_s: float
    ) -> list[connection.Connection]:
        """Add an authenticated connection; return the connections that it replaces."""
        conn.identity = identity
        conn.enter(connection.Stage.OPEN, now_s)
        if conn.is_dialled:
            # The first frame tells the remote end that it has been authenticated.
            conn.is_confirmed = True
            conn.send_keepalive()
        replaced = self._drop_earlier_incarnation(identity, now_s)
        peer = self._peers.get(identity.vm)
        if peer is None:
            peer = Peer(identity, self._make_outbox(), now_s)
            self._peers[identity.vm] = peer
            self._post(events.PeerUp(identity.vm, identity.incarnation))
        return replaced + self._add_conn(peer, conn, now_s)

    def remove(self, conn: connection.Connection, now_s: float) -> float | None:
        """Remove a connection.

        Return how long the daemon was connected, in s, if it was its last connection.
        """
        peer = self._peers.get(conn.identity.vm) if conn.identity else None
        if peer is None or conn not in peer.conns:
            return None
        peer.conns.remove(conn)
        if peer.conns:
            return None
        self._remove_peer(peer)
        return now_s - peer.up_since_s

    def queue(self, vm: str, revision: int, body: messages.Message) -> None:
        """Queue a message for a daemon; count messages that are dropped."""
        kind = codec.kind_of(body)
        peer = self._peers.get(vm)
        if peer is None:
            self._counts.count("peer_messages_dropped", (kind, "not_connected"))
            return
        frame = messages.Frame(self._cfg.vm, self._cfg.incarnation, revision, body)
        try:
            encoded = self._encode(frame)
        except codec.CodecError:
            self._counts.count("peer_messages_dropped", (kind, "not_encodable"))
            return
        is_load = isinstance(body, outbox.LOAD_MESSAGES)
        dropped = peer.waiting.put(outbox.QueuedMessage(kind, encoded, is_load))
        self._count_dropped(dropped, "queue_full")

    def _encode(self, frame: messages.Frame) -> bytes:
        last = self._last_frame
        if last is None or last.body is not frame.body or last != frame:
            self._last_encoded = codec.encode(frame)
            # Most messages are sent to every peer in turn, so the last one is cached.
            self._last_frame = frame
        return self._last_encoded

    def send_waiting(self, conn: connection.Connection) -> bool:
        """Move queued messages to a connection while it accepts them.

        Return whether any were moved.
        """
        peer = self._peers.get(conn.identity.vm) if conn.identity else None
        if peer is None or conn is not peer.conns[-1]:
            return False
        n_moved = 0
        while conn.is_writable and len(peer.waiting):
            message = peer.waiting.take()
            conn.send_message(message.encoded)
            self._counts.count("peer_messages_sent", (message.kind,))
            n_moved += 1
        return n_moved > 0

    def has_waiting(self, conn: connection.Connection) -> bool:
        """Whether messages are queued for the daemon at the end of a connection."""
        peer = self._peers.get(conn.identity.vm) if conn.identity else None
        return peer is not None and len(peer.waiting) > 0

    def conn_to(self, vm: str) -> connection.Connection | None:
        """Return the connection on which messages are sent to a daemon."""
        peer = self._peers.get(vm)
        return peer.conns[-1] if peer is not None else None

    def _add_conn(
        self, peer: Peer, conn: connection.Connection, now_s: float
    ) -> list[connection.Connection]:
        replaced = []
        for other in peer.conns:
            if other.is_dialled == conn.is_dialled:
                # The remote end keeps one connection per direction: the older is dead.
                other.fail(frames.CloseCode.GOING_AWAY, "replaced", now_s)
                replaced.append(other)
        peer.conns = [other for other in peer.conns if other not in replaced]
        peer.conns.append(conn)
        return replaced

    def confirm(
        self, conn: connection.Connection, now_s: float
    ) -> list[connection.Connection]:
        """Handle a received frame; return the connections that are no longer needed.

        Of two daemons that dial each other, the connection dialled by the smaller name
        is kept. It must be confirmed before the other connection is closed, otherwise
        the remote end would have none.
        """
        conn.is_confirmed = True
        peer = self._peers.get(conn.identity.vm) if conn.identity else None
        if peer is None or len(peer.conns) < 2 or self._cfg.vm < peer.identity.vm:
            return []
        if not all(other.is_confirmed for other in peer.conns):
            return []
        redundant = [conn for conn in peer.conns if conn.is_dialled]
        for conn in redundant:
            conn.retire(frames.CloseCode.NORMAL_CLOSURE, "second connection", now_s)
        peer.conns = [conn for conn in peer.conns if not conn.is_dialled]
        return redundant

    def _drop_earlier_incarnation(
        self, identity: handshake.Identity, now_s: float
    ) -> list[connection.Connection]:
        peer = self._peers.get(identity.vm)
        if peer is None or peer.identity == identity:
            return []
        for conn in peer.conns:
            conn.fail(frames.CloseCode.GOING_AWAY, "new incarnation", now_s)
        self._remove_peer(peer)
        return peer.conns

    def _remove_peer(self, peer: Peer) -> None:
        del self._peers[peer.identity.vm]
        self._count_dropped(peer.waiting.clear(), "not_connected")
        self._post(events.PeerDown(peer.identity.vm))

    def _count_dropped(self, dropped: list[outbox.QueuedMessage], reason: str) -> None:
        for message in dropped:
            self._counts.count("peer_messages_dropped", (message.kind, reason))

    def _make_outbox(self) -> outbox.Outbox:
        return outbox.Outbox(self._cfg.max_queued_messages, self._cfg.max_queued_bytes)
