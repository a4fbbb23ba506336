"""A backend server on raw sockets whose answers are scripted by a test.

The script is called with a `Turn` for each request; it may send any bytes, wait, close
the connection or do nothing. Every received request is counted, so that a request that
is sent twice is detected.
"""

import contextlib
import json
import socket
import threading
from collections.abc import Callable, Iterator

import attrs
import h11

GENEROUS_S = 20.0


@attrs.define
class Turn:
    """One request at the backend server and the socket on which it was received."""

    sock: socket.socket
    n_conn: int
    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    is_closed_by_peer: threading.Event = attrs.field(factory=threading.Event)

    def send(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def wait_for_close(self) -> bool:
        """Whether the peer closes the connection within `GENEROUS_S`."""
        self.sock.settimeout(GENEROUS_S)
        try:
            return self.sock.recv(1) == b""
        except TimeoutError:
            return False
        except OSError:
            return True


Script = Callable[[Turn], None]


class Backend:
    """The scripted backend server; `turns` holds every received request."""

    def __init__(self, listener: socket.socket, script: Script):
        self.address = "{}:{}".format(*listener.getsockname())
        self.script = script
        self.turns: list[Turn] = []
        self.n_conns = 0
        self._listener = listener
        self._open: list[socket.socket] = []

    def n_requests(self, method: str) -> int:
        return sum(turn.method == method for turn in self.turns)

    def accept_all(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.n_conns += 1
                self._open.append(sock)
                args = (sock, self.n_conns)
                threading.Thread(target=self._serve, args=args, daemon=True).start()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in self._open:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _serve(self, sock: socket.socket, n_conn: int) -> None:
        with contextlib.suppress(OSError, h11.RemoteProtocolError):
            while True:
                parser = h11.Connection(h11.SERVER)
                turn = self._read(sock, parser, n_conn)
                if turn is None:
                    return
                self.turns.append(turn)
                self.script(turn)

    def _read(self, sock, parser, n_conn) -> Turn | None:
        head, body = None, b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                data = sock.recv(65_536)
                if not data:
                    return None
                parser.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                fields = {k.decode(): v.decode() for k, v in head.headers}
                method, target = head.method.decode(), head.target.decode()
                return Turn(sock, n_conn, method, target, fields, body)


@contextlib.contextmanager
def open_backend(script: Script) -> Iterator[Backend]:
    backend = Backend(socket.create_server(("127.0.0.1", 0)), script)
    thread = threading.Thread(target=backend.accept_all, daemon=True)
    thread.start()
    try:
        yield backend
    finally:
        backend.close()
        thread.join(GENEROUS_S)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(text: str) -> bytes:
    return chunk(b"data: " + text.encode() + b"\n\n")


def delta(content: str) -> bytes:
    return event(json.dumps({"choices": [{"delta": {"content": content}}]}))


STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
DONE = event("[DONE]")
LAST_CHUNK = b"0\r\n\r\n"


def plain(body: bytes, status: int = 200, fields: bytes = b"") -> bytes:
    head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n"
    return head % (status, len(body), fields) + body
