"""One control connection: a socket that does not block and its websocket protocol.

References
----------
RFC 6455, The WebSocket Protocol.
"""

import enum
import selectors
import socket
import struct

from websockets import client, frames, http11, protocol, server

from bilberryridge.peers import codec, handshake, settings

READ_BYTES = 65536
MAX_HANDSHAKE_BYTES = 16384
MAX_OUTGOING_BYTES = 65536
"""No further message is taken while this much waits for the socket."""
CLOSE_TIMEOUT_S = 1.0
"""How long a connection that is being closed waits for the other end."""
USER_TIMEOUT_MS = 2000
"""Sent bytes that are not acknowledged for so long end the connection."""

ProtocolEvent = http11.Request | http11.Response | frames.Frame


class Stage(enum.Enum):
    """How far a connection has come."""

    CONNECTING = "connecting"
    PROVING = "proving"
    OPEN = "open"
    RETIRING = "retiring"
    """Another connection takes over; messages still come in, none goes out."""
    CLOSING = "closing"
    """What still comes in is thrown away."""
    CLOSED = "closed"


class ConnectionLostError(Exception):
    """The connection ended without a close frame."""


class Connection:
    """One connection.

    Parameters
    ----------
    sock : socket.socket
        Owned from here on; does not block.
    proto : protocol.Protocol
    now_s : float
        Monotonic.
    target_vm : str
        The VM that was dialled; empty for a connection that was accepted.

    Attributes
    ----------
    identity : Identity or None
        Who is at the other end, when that is proven.
    is_confirmed : bool
        Whether the other end is known to have this end's proof.
    """

    def __init__(
        self,
        sock: socket.socket,
        proto: client.ClientProtocol | server.ServerProtocol,
        now_s: float,
        target_vm: str = "",
    ):
        self.sock = sock
        self.proto = proto
        self.target_vm = target_vm
        self.stage = Stage.CONNECTING if target_vm else Stage.PROVING
        self.identity: handshake.Identity | None = None
        self.nonce = ""
        self.is_confirmed = False
        self.stage_since_s = now_s
        self.heard_s = now_s
        self.sent_s = now_s
        self._outgoing = bytearray()
        self._is_ended = False
        self._n_received = 0
        _set_options(sock)

    @property
    def is_dialled(self) -> bool:
        """Whether this daemon made the connection."""
        return bool(self.target_vm)

    @property
    def has_room(self) -> bool:
        """Whether a further message may be added."""
        return self.stage is Stage.OPEN and len(self._outgoing) < MAX_OUTGOING_BYTES

    @property
    def mask(self) -> int:
        """What the selector is to wait for."""
        if self.stage is Stage.CONNECTING:
            return selectors.EVENT_WRITE
        if self._outgoing:
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        return selectors.EVENT_READ

    def is_overdue(self, cfg: settings.PeersSettings, now_s: float) -> bool:
        """Whether it has been in its stage, or silent, for too long."""
        if self.stage in (Stage.CONNECTING, Stage.PROVING):
            return now_s - self.stage_since_s > cfg.handshake_timeout_s
        if self.stage is Stage.OPEN:
            return now_s - self.heard_s > cfg.idle_timeout_s
        return now_s - self.stage_since_s > CLOSE_TIMEOUT_S

    def is_quiet(self, cfg: settings.PeersSettings, now_s: float) -> bool:
        """Whether the other end is to be shown that this one is there."""
        if self.stage is not Stage.OPEN or self._outgoing:
            return False
        return now_s - self.sent_s >= cfg.keepalive_interval_s

    def enter(self, stage: Stage, now_s: float) -> None:
        """Go on to a further stage."""
        self.stage = stage
        self.stage_since_s = now_s

    def receive(self, now_s: float) -> list[ProtocolEvent]:
        """Take what came in.

        Raises
        ------
        ConnectionLostError
        """
        try:
            received = self.sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return []
        except OSError as exc:
            raise ConnectionLostError(str(exc)) from exc
        if not received:
            self.proto.receive_eof()
            raise ConnectionLostError("end of stream")
        self._check_handshake_size(len(received))
        self.heard_s = now_s
        self.proto.receive_data(received)
        self._collect()
        return self.proto.events_received()

    def send_message(self, encoded: bytes) -> None:
        """Add a message to what waits for the socket."""
        self.proto.send_binary(encoded)
        self._collect()

    def send_keepalive(self) -> None:
        """Add a pong, which needs no answer."""
        self.proto.send_pong(b"")
        self._collect()

    def send_handshake(self, message: http11.Request | http11.Response) -> None:
        """Add the request or answer of the opening handshake."""
        if isinstance(self.proto, server.ServerProtocol):
            assert isinstance(message, http11.Response)
            self.proto.send_response(message)
        else:
            assert isinstance(message, http11.Request)
            self.proto.send_request(message)
        self._collect()

    def fail(self, code: int, reason: str, now_s: float) -> None:
        """Add a close frame where one is possible, and take no more messages."""
        if self.proto.state is protocol.State.OPEN:
            self.proto.fail(code, reason)
            self._collect()
        self.enter(Stage.CLOSING, now_s)

    def retire(self, code: int, reason: str, now_s: float) -> None:
        """Add a close frame; what the other end sent before its own is still taken."""
        if self.proto.state is protocol.State.OPEN:
            self.proto.send_close(code, reason)
            self._collect()
        self.enter(Stage.RETIRING, now_s)

    def flush(self, now_s: float) -> None:
        """Send what the socket takes.

        Raises
        ------
        ConnectionLostError
        """
        try:
            self._send(now_s)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as exc:
            raise ConnectionLostError(str(exc)) from exc

    def close(self) -> None:
        """Close the socket in the usual way."""
        self.stage = Stage.CLOSED
        self.sock.close()

    def abort(self) -> None:
        """Close the socket with a reset, which does not queue behind unsent data."""
        linger = struct.pack("ii", 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def _send(self, now_s: float) -> None:
        while self._outgoing:
            n_sent = self.sock.send(self._outgoing)
            del self._outgoing[:n_sent]
            self.sent_s = now_s
        if self._is_ended:
            self._is_ended = False
            self.sock.shutdown(socket.SHUT_WR)

    def _collect(self) -> None:
        for written in self.proto.data_to_send():
            if written == protocol.SEND_EOF:
                self._is_ended = True
            else:
                self._outgoing += written

    def _check_handshake_size(self, n_bytes: int) -> None:
        if self.stage is not Stage.PROVING:
            return
        self._n_received += n_bytes
        if self._n_received > MAX_HANDSHAKE_BYTES:
            raise ConnectionLostError("handshake too long")


def server_protocol() -> server.ServerProtocol:
    """Make the protocol object of an accepted connection."""
    return server.ServerProtocol(max_size=codec.MAX_MESSAGE_BYTES)


def dial(own_host: str, host: str, port: int) -> socket.socket:
    """Make a socket that connects from `own_host`, without waiting for it.

    Raises
    ------
    ConnectionLostError
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        sock.bind((own_host, 0))
        sock.connect((host, port))
    except BlockingIOError:
        pass
    except OSError as exc:
        sock.close()
        raise ConnectionLostError(str(exc)) from exc
    return sock


def _set_options(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
