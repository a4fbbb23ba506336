"""A loopback TCP proxy that delays, resets or blocks connections."""

import contextlib
import enum
import socket
import struct
import threading
import time

READ_BYTES = 65_536
POLL_S = 0.02
DELAY_S = 0.15
"""Delay of each chunk under `Mode.DELAY`: half of the shortest latency goal."""


class Mode(enum.Enum):
    """How the proxy treats the bytes of its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one way"
    """Requests are forwarded, responses are not."""


class Proxy:
    """Forwards connections to one address.

    Parameters
    ----------
    host : str
        Address to listen at, on a port that the kernel picks.
    target : (str, int)
    """

    def __init__(self, host: str, target: tuple[str, int]):
        self.mode = Mode.PASS
        self._target = target
        self._is_closed = False
        self._sock = socket.create_server((host, 0))
        address, port = self._sock.getsockname()[:2]
        self.text_address = f"{address}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening and close open connections."""
        self._is_closed = True
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def _accept(self) -> None:
        while not self._is_closed:
            try:
                caller_sock, _ = self._sock.accept()
            except OSError:
                return
            if self.mode is Mode.RESET:
                _reset(caller_sock)
                continue
            try:
                server_sock = socket.create_connection(self._target, 2.0)
            except OSError:
                _reset(caller_sock)
                continue
            for source, sink, is_answer in (
                (caller_sock, server_sock, False),
                (server_sock, caller_sock, True),
            ):
                args = (source, sink, is_answer)
                threading.Thread(target=self._pump, args=args, daemon=True).start()

    def _pump(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> None:
        has_ended = False
        with contextlib.suppress(OSError):
            has_ended = self._forward(source, sink, is_answer)
            if has_ended:
                sink.shutdown(socket.SHUT_WR)
        if not has_ended:
            # An end in order would tell the other side that nothing is missing.
            _reset(source)
            _reset(sink)

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> bool:
        """Forward bytes; return whether the source has ended in order."""
        source.settimeout(0.2)
        while not self._is_closed:
            try:
                data = source.recv(READ_BYTES)
            except TimeoutError:
                if self.mode is Mode.RESET:
                    return False
                continue
            if not self._may_forward(is_answer):
                return False
            if not data:
                return True
            sink.sendall(data)
        return False

    def _may_forward(self, is_answer: bool) -> bool:
        """Wait while the mode blocks this direction; False to end the connection."""
        if self.mode is Mode.DELAY:
            time.sleep(DELAY_S)
        while self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and is_answer):
            if self._is_closed:
                return False
            time.sleep(POLL_S)
        return self.mode is not Mode.RESET


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()
