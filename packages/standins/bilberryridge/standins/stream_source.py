"""A source of token streams that writes the sending time into each token.

Streams are grouped by engine: all streams of a group get their next token at once, as
in a decoding step. ``python -m bilberryridge.standins.stream_source ADDRESS UNTIL_S``
serves until that monotonic time and then ends every stream.
"""

import heapq
import random
import re
import selectors
import socket
import sys
import time

TOKEN_INTERVAL_S = 0.05
STREAMS_PER_ENGINE = 16
SEED = 20
LONGEST_WAIT_S = 0.2
READ_BYTES = 65536
BACKLOG = 4096

HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"%d "}}]}\n\n'
DONE = b"data: [DONE]\n\n"
LAST_CHUNK = b"0\r\n\r\n"
_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _is_complete(received: bytes) -> bool:
    head, end, body = received.partition(b"\r\n\r\n")
    length = _LENGTH.search(head)
    return bool(end) and len(body) >= (int(length.group(1)) if length else 0)


class Source:
    """Streams grouped by engine, served by one thread.

    Parameters
    ----------
    listener : socket.socket
    until_s : float
        Monotonic time of the end.
    """

    def __init__(self, listener: socket.socket, until_s: float):
        self._listener = listener
        self._until_s = until_s
        self._selector = selectors.DefaultSelector()
        self._selector.register(listener, selectors.EVENT_READ)
        self._received: dict[socket.socket, bytes] = {}
        self._engines: list[list[socket.socket]] = []
        self._due: list[tuple[float, int]] = []
        self._random = random.Random(SEED)

    def run(self) -> None:
        """Serve until the end."""
        while time.monotonic() < self._until_s:
            next_s = self._due[0][0] if self._due else self._until_s
            wait_s = min(LONGEST_WAIT_S, max(0.0, next_s - time.monotonic()))
            for key, _mask in self._selector.select(wait_s):
                self._on_ready(key)
            while self._due and self._due[0][0] <= time.monotonic():
                self._step()
        for engine in self._engines:
            for sock in engine:
                sock.sendall(_chunk(DONE) + LAST_CHUNK)

    def _on_ready(self, key: selectors.SelectorKey) -> None:
        if key.fileobj is self._listener:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._selector.register(sock, selectors.EVENT_READ)
            self._received[sock] = b""
            return
        sock = key.fileobj  # type: ignore[assignment]
        received = sock.recv(READ_BYTES)
        if not received:
            self._selector.unregister(sock)
            return
        self._received[sock] += received
        if _is_complete(self._received[sock]):
            self._received[sock] = b""
            self._begin(sock)

    def _begin(self, sock: socket.socket) -> None:
        sock.sendall(HEAD)
        if not self._engines or len(self._engines[-1]) == STREAMS_PER_ENGINE:
            self._engines.append([])
            first_s = time.monotonic() + self._random.random() * TOKEN_INTERVAL_S
            heapq.heappush(self._due, (first_s, len(self._engines) - 1))
        self._engines[-1].append(sock)

    def _step(self) -> None:
        """Send one token on each stream of the engine that is due."""
        due_s, n_engine = heapq.heappop(self._due)
        heapq.heappush(self._due, (due_s + TOKEN_INTERVAL_S, n_engine))
        for sock in self._engines[n_engine]:
            sock.sendall(_chunk(TOKEN % time.monotonic_ns()))


def main() -> None:
    """Serve at the given address."""
    host, _, port = sys.argv[1].rpartition(":")
    with socket.create_server((host, int(port)), backlog=BACKLOG) as listener:
        print("ready", flush=True)
        Source(listener, float(sys.argv[2])).run()


if __name__ == "__main__":
    main()
