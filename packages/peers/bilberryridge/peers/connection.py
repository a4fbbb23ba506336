"""One control connection: a non-blocking socket and its websocket protocol.

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
MAX_SEND_BUFFER_BYTES = 65536
"""No further message is accepted while this much data waits for the socket."""
CLOSE_TIMEOUT_S = 1.0
"""How long a closing connection waits for the remote end."""
USER_TIMEOUT_MS = 2000
"""The connection fails if sent data is not acknowledged for this time."""

ProtocolEvent = http11.Request | http11.Response | frames.Frame


class Stage(enum.Enum):
    """Stage of a connection's life; the values are labels in metrics."""

    CONNECTING = "connecting"
    HANDSHAKE = "proving"
    OPEN = "open"
    RETIRING = "retiring"
    """Another connection takes over; messages are received but no longer sent."""
    CLOSING = "closing"
    """Received data is discarded."""
    CLOSED = "closed"


class ConnectionLostError(Exception):
    """The connection ended without a close frame."""


class Connection:
    """A control connection to another daemon.

    Parameters
    ----------
    sock : socket.socket
        Owned by the connection; it is made non-blocking.
    proto : protocol.Protocol
    now_s : float
        Monotonic time.
    target_vm : str, optional
        The VM that was dialled; empty for an accepted connection.

    Attributes
    ----------
    identity : Identity or None
        The authenticated remote daemon; None before that.
    is_confirmed : bool
        Whether the remote end is known to have authenticated this end.
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
        self.stage = Stage.CONNECTING if target_vm else Stage.HANDSHAKE
        self.identity: handshake.Identity | None = None
        self.nonce = ""
        self.is_confirmed = False
        self.stage_entered_s = now_s
        self.last_received_s = now_s
        self.last_sent_s = now_s
        self._send_buffer = bytearray()
        self._is_eof_pending = False
        self._n_handshake_bytes = 0
        _set_options(sock)

    @property
    def is_dialled(self) -> bool:
        """Whether this daemon opened the connection."""
        return bool(self.target_vm)

    @property
    def is_writable(self) -> bool:
        """Whether a further message may be queued."""
        return (
            self.stage is Stage.OPEN and len(self._send_buffer) < MAX_SEND_BUFFER_BYTES
        )

    @property
    def mask(self) -> int:
        """Events for which the selector must wait."""
        if self.stage is Stage.CONNECTING:
            return selectors.EVENT_WRITE
        if self._send_buffer:
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        return selectors.EVENT_READ

    def is_overdue(self, cfg: settings.PeersSettings, now_s: float) -> bool:
        """Whether it has been in its stage, or without received data, for too long."""
        if self.stage in (Stage.CONNECTING, Stage.HANDSHAKE):
            return now_s - self.stage_entered_s > cfg.handshake_timeout_s
        if self.stage is Stage.OPEN:
            return now_s - self.last_received_s > cfg.idle_timeout_s
        return now_s - self.stage_entered_s > CLOSE_TIMEOUT_S

    def is_keepalive_due(self, cfg: settings.PeersSettings, now_s: float) -> bool:
        """Whether a keepalive must be sent."""
        if self.stage is not Stage.OPEN or self._send_buffer:
            return False
        return now_s - self.last_sent_s >= cfg.keepalive_interval_s

    def enter(self, stage: Stage, now_s: float) -> None:
        """Enter a stage."""
        self.stage = stage
        self.stage_entered_s = now_s

    def receive(self, now_s: float) -> list[ProtocolEvent]:
        """Read from the socket; return the resulting protocol events.

        Raises
        ------
        ConnectionLostError
            The connection is broken, or its handshake is too long.
        """
        try:
            received = self.sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return []
        except OSError as exc:
            raise ConnectionLostError(str(exc)) from exc
        if not received:
            self.proto.receive_eof()
            raise ConnectionLostError("remote end closed the connection")
        self._check_handshake_size(len(received))
        self.last_received_s = now_s
        self.proto.receive_data(received)
        self._buffer_output()
        return self.proto.events_received()

    def send_message(self, encoded: bytes) -> None:
        """Queue a message."""
        self.proto.send_binary(encoded)
        self._buffer_output()

    def send_keepalive(self) -> None:
        """Queue a pong, which needs no answer."""
        self.proto.send_pong(b"")
        self._buffer_output()

    def send_handshake(self, message: http11.Request | http11.Response) -> None:
        """Queue the request or answer of the opening handshake."""
        if isinstance(self.proto, server.ServerProtocol):
            assert isinstance(message, http11.Response)
            self.proto.send_response(message)
        else:
            assert isinstance(message, http11.Request)
            self.proto.send_request(message)
        self._buffer_output()

    def fail(self, code: int, reason: str, now_s: float) -> None:
        """Queue a close frame if the protocol permits, and discard further messages."""
        if self.proto.state is protocol.State.OPEN:
            self.proto.fail(code, reason)
            self._buffer_output()
        self.enter(Stage.CLOSING, now_s)

    def retire(self, code: int, reason: str, now_s: float) -> None:
        """Queue a close frame; messages before the remote close frame are received."""
        if self.proto.state is protocol.State.OPEN:
            self.proto.send_close(code, reason)
            self._buffer_output()
        self.enter(Stage.RETIRING, now_s)

    def flush(self, now_s: float) -> None:
        """Send as much queued data as the socket accepts.

        Raises
        ------
        ConnectionLostError
            The connection is broken.
        """
        try:
            self._send_buffered(now_s)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as exc:
            raise ConnectionLostError(str(exc)) from exc

    def close(self) -> None:
        """Close the socket in an orderly way."""
        self.stage = Stage.CLOSED
        self.sock.close()

    def abort(self) -> None:
        """Close the socket with a reset, which does not wait for unsent data."""
        linger = struct.pack("ii", 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def _send_buffered(self, now_s: float) -> None:
        while self._send_buffer:
            n_sent = self.sock.send(self._send_buffer)
            del self._send_buffer[:n_sent]
            self.last_sent_s = now_s
        if self._is_eof_pending:
            self._is_eof_pending = False
            self.sock.shutdown(socket.SHUT_WR)

    def _buffer_output(self) -> None:
        for output in self.proto.data_to_send():
            if output == protocol.SEND_EOF:
                self._is_eof_pending = True
            else:
                self._send_buffer += output

    def _check_handshake_size(self, n_bytes: int) -> None:
        if self.stage is not Stage.HANDSHAKE:
            return
        self._n_handshake_bytes += n_bytes
        if self._n_handshake_bytes > MAX_HANDSHAKE_BYTES:
            raise ConnectionLostError(f"handshake exceeds {MAX_HANDSHAKE_BYTES} bytes")


def server_protocol() -> server.ServerProtocol:
    """Create the protocol object of an accepted connection."""
    return server.ServerProtocol(max_size=codec.MAX_MESSAGE_BYTES)


def dial(local_host: str, host: str, port: int) -> socket.socket:
    """Start connecting a non-blocking socket from `local_host` to an address.

    Raises
    ------
    ConnectionLostError
        The attempt failed at once.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        sock.bind((local_host, 0))
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
