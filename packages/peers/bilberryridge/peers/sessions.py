"""Handling of a connection's protocol events: authentication, then messages."""

import secrets
import time
from collections.abc import Callable

from websockets import client, exceptions, frames, http11, server, uri

from bilberryridge.decisions import events
from bilberryridge.peers import codec, connection, handshake, settings, table
from bilberryridge.utilities import metrics

PATH = "/peer"


class Sessions:
    """Authenticates connections and decodes their messages.

    Parameters
    ----------
    cfg : PeersSettings
    post : callable
        Takes the events of the peers.
    counts : Metrics
    peers : PeerTable
    clock : callable, optional
        Returns the time since the epoch in s.
    """

    def __init__(
        self,
        cfg: settings.PeersSettings,
        post: Callable[[events.Event], None],
        counts: metrics.Metrics,
        peers: table.PeerTable,
        clock: Callable[[], float] = time.time,
    ):
        self._cfg = cfg
        self._post = post
        self._counts = counts
        self._peers = peers
        self._clock = clock
        self._local_identity = handshake.Identity(cfg.vm, cfg.incarnation)
        self._client_checker = handshake.ClientChecker(cfg.shared_key, cfg.vm, clock)

    def start_handshake(self, conn: connection.Connection, now_s: float) -> None:
        """Send the handshake request on a dialled connection that is established."""
        assert isinstance(conn.proto, client.ClientProtocol)
        conn.nonce = secrets.token_hex(handshake.N_NONCE_BYTES)
        req = conn.proto.connect()
        headers = handshake.client_headers(
            self._cfg.shared_key,
            self._local_identity,
            conn.target_vm,
            self._clock(),
            conn.nonce,
        )
        req.headers.update(headers)
        conn.enter(connection.Stage.HANDSHAKE, now_s)
        conn.send_handshake(req)

    def on_events(
        self,
        conn: connection.Connection,
        received: list[connection.ProtocolEvent],
        now_s: float,
    ) -> list[connection.Connection]:
        """Process protocol events; return the other connections that they affected."""
        affected = []
        for event in received:
            if isinstance(event, http11.Request):
                affected += self._on_request(conn, event, now_s)
            elif isinstance(event, http11.Response):
                affected += self._on_response(conn, event, now_s)
            else:
                affected += self._peers.confirm(conn, now_s)
                self._on_frame(conn, event, now_s)
        self._check_protocol_failure(conn, now_s)
        return affected

    def fail(
        self, conn: connection.Connection, code: int, reason: str, now_s: float
    ) -> None:
        """Close a connection because of an error of the remote end."""
        self._counts.count("peer_connections_failed", (reason,))
        conn.fail(code, reason, now_s)

    def _on_request(
        self, conn: connection.Connection, req: http11.Request, now_s: float
    ) -> list[connection.Connection]:
        assert isinstance(conn.proto, server.ServerProtocol)
        answer = conn.proto.accept(req)
        if answer.status_code != 101:
            return self._refuse(conn, answer, "bad_request", now_s)
        try:
            identity, nonce = self._client_checker.check(req.headers)
        except handshake.HandshakeError as exc:
            answer = conn.proto.reject(401, f"{exc}\n")
            return self._refuse(conn, answer, exc.reason.value, now_s)
        answer.headers.update(
            handshake.server_headers(self._cfg.shared_key, self._local_identity, nonce)
        )
        conn.send_handshake(answer)
        return self._peers.add(conn, identity, now_s)

    def _refuse(
        self,
        conn: connection.Connection,
        answer: http11.Response,
        reason: str,
        now_s: float,
    ) -> list[connection.Connection]:
        self._counts.count("peer_handshakes_refused", (reason,))
        conn.send_handshake(answer)
        conn.enter(connection.Stage.CLOSING, now_s)
        return []

    def _on_response(
        self, conn: connection.Connection, answer: http11.Response, now_s: float
    ) -> list[connection.Connection]:
        if conn.proto.handshake_exc is not None:
            return []
        try:
            identity = handshake.check_server(
                answer.headers, self._cfg.shared_key, conn.target_vm, conn.nonce
            )
        except handshake.HandshakeError as exc:
            self._counts.count("peer_servers_unproven", (exc.reason.value,))
            conn.fail(frames.CloseCode.POLICY_VIOLATION, "not proven", now_s)
            return []
        return self._peers.add(conn, identity, now_s)

    def _on_frame(
        self, conn: connection.Connection, frame: frames.Frame, now_s: float
    ) -> None:
        if conn.stage not in (connection.Stage.OPEN, connection.Stage.RETIRING):
            return
        if frame.opcode is frames.Opcode.CLOSE:
            conn.enter(connection.Stage.CLOSING, now_s)
        elif frame.opcode is frames.Opcode.BINARY and frame.fin:
            self._on_message(conn, bytes(frame.data), now_s)
        elif frame.opcode not in frames.CTRL_OPCODES:
            code = frames.CloseCode.UNSUPPORTED_DATA
            self.fail(conn, code, "not one binary frame", now_s)

    def _on_message(
        self, conn: connection.Connection, encoded: bytes, now_s: float
    ) -> None:
        try:
            message = codec.decode(encoded)
        except codec.CodecError:
            self.fail(conn, frames.CloseCode.INVALID_DATA, "bad message", now_s)
            return
        sender = handshake.Identity(message.sender, message.incarnation)
        if sender != conn.identity:
            self.fail(conn, frames.CloseCode.POLICY_VIOLATION, "wrong sender", now_s)
        elif isinstance(message, codec.UnknownMessage):
            self._counts.count("peer_messages_unknown")
        else:
            kind = codec.kind_of(message.body)
            self._counts.count("peer_messages_received", (kind,))
            self._post(events.PeerSaid(message))

    def _check_protocol_failure(
        self, conn: connection.Connection, now_s: float
    ) -> None:
        """Handle a failure that the protocol object has detected."""
        if isinstance(conn.proto.handshake_exc, exceptions.InvalidStatus):
            self._counts.count("peer_handshakes_failed", ("refused",))
            raise connection.ConnectionLostError("refused")
        if conn.proto.handshake_exc is not None and conn.is_dialled:
            self._counts.count("peer_handshakes_failed", ("invalid",))
            raise connection.ConnectionLostError("invalid handshake")
        exc = conn.proto.handshake_exc or conn.proto.parser_exc
        if exc is not None and conn.stage is not connection.Stage.CLOSING:
            is_large = isinstance(exc, exceptions.PayloadTooBig)
            reason = "too large" if is_large else "protocol error"
            self._counts.count("peer_connections_failed", (reason,))
            conn.enter(connection.Stage.CLOSING, now_s)


def client_protocol(host: str, port: int) -> client.ClientProtocol:
    """Create the protocol object of a dialled connection."""
    address = uri.WebSocketURI(False, host, port, PATH, "")
    return client.ClientProtocol(address, max_size=codec.MAX_MESSAGE_BYTES)
