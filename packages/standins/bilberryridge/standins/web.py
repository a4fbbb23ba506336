"""A small HTTP/1.1 server for stand-ins, many of which share one asyncio loop.

Every stand-in has one listener for requests and one for its control port.
"""

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import h11

BACKLOG = 1024
LINGER_RESET = struct.pack("ii", 1, 0)


class Call:
    """A request and the methods to answer it.

    Parameters
    ----------
    conn : _Connection
    req : h11.Request
    body : bytes
    """

    def __init__(self, conn: "_Connection", req: h11.Request, body: bytes):
        self._conn = conn
        self.method = req.method.decode()
        self.target = req.target.decode()
        self.path = self.target.partition("?")[0]
        self.headers = {k.decode(): v.decode("latin-1") for k, v in req.headers}
        self.body = body
        self.disconnected = asyncio.Event()

    def json(self) -> Any:
        """Return the body as JSON; an empty body counts as an empty object."""
        return json.loads(self.body or b"{}")

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of an answer; chunked unless it declares a length."""
        self._conn.send(h11.Response(status_code=status, headers=list(headers.items())))

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self._conn.send(h11.Data(data=data))

    def end(self) -> None:
        """Send the end of the body."""
        self._conn.send(h11.EndOfMessage())

    def respond(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete answer."""
        head = {"content-type": "application/json", **(headers or {})}
        self.start(status, {**head, "content-length": str(len(body))})
        if self.method != "HEAD":
            self.send(body)
        self.end()

    def respond_json(self, value: object, status: int = 200) -> None:
        """Send a complete answer in JSON."""
        self.respond(status, json.dumps(value).encode())

    def close(self) -> None:
        """Flush and close the connection without ending the answer."""
        self._conn.close()

    def reset(self) -> None:
        """Reset the connection."""
        self._conn.reset()


Handler = Callable[[Call], Awaitable[None]]


class _Connection(asyncio.Protocol):
    """One connection, which serves one request after another."""

    def __init__(self, server: "Server"):
        self._server = server
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=1 << 16)
        self._req: h11.Request | None = None
        self._parts: list[bytes] = []
        self._call: Call | None = None
        self._task: asyncio.Task | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if self._call is not None:
            self._call.disconnected.set()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        self._h11.receive_data(data)
        self._advance()

    def send(self, event: Any) -> None:
        if self._transport.is_closing():
            return
        data = self._h11.send(event)
        if data:
            self._transport.write(data)

    def close(self) -> None:
        self._transport.close()

    def reset(self) -> None:
        sock = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self._transport.abort()

    def _advance(self) -> None:
        try:
            self._read_events()
        except h11.RemoteProtocolError:
            self.close()

    def _read_events(self) -> None:
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                self._req = event
                if self._h11.they_are_waiting_for_100_continue:
                    self.send(h11.InformationalResponse(status_code=100, headers=[]))
            elif isinstance(event, h11.Data):
                self._parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._begin()
            else:
                return

    def _begin(self) -> None:
        assert self._req is not None
        self._call = Call(self, self._req, b"".join(self._parts))
        self._parts = []
        self._task = asyncio.get_running_loop().create_task(self._serve(self._call))

    async def _serve(self, call: Call) -> None:
        try:
            await self._server.serve(call)
        except Exception:
            # A command with an unknown fault must fail at once for its sender.
            self.reset()
            raise
        if self._transport.is_closing():
            return
        if self._h11.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.close()
            return
        self._task = self._call = None
        self._h11.start_next_cycle()
        self._advance()


class Server:
    """A listener with the faults that every stand-in supports.

    Parameters
    ----------
    address : str
        ``host:port``.
    handler : Handler
    """

    def __init__(self, address: str, handler: Handler):
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.connections: set[_Connection] = set()
        self.delay_s = 0.0
        self.is_hanging = False
        self._handler = handler
        self._listener: asyncio.Server | None = None

    async def open(self) -> None:
        """Start listening unless it already does."""
        if self._listener is None:
            loop = asyncio.get_running_loop()
            self._listener = await loop.create_server(
                lambda: _Connection(self), self.host, self.port, backlog=BACKLOG
            )

    def refuse(self) -> None:
        """Stop listening and reset every connection, as a dead process does."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for conn in list(self.connections):
            conn.reset()

    async def heal(self) -> None:
        """End every fault of the listener."""
        self.delay_s = 0.0
        self.is_hanging = False
        await self.open()

    async def serve(self, call: Call) -> None:
        """Answer a call, subject to the active faults."""
        if self.is_hanging:
            await call.disconnected.wait()
            return
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        await self._handler(call)


async def set_listener_fault(server: Server, fault: dict) -> bool:
    """Set a fault that every listener supports; False for another kind.

    Kinds: ``refuse`` (resets and refuses), ``hang`` (accepts calls, never answers),
    ``slow`` (``delay_s`` before each call), ``heal``.
    """
    kind = fault["kind"]
    if kind == "refuse":
        server.refuse()
    elif kind == "hang":
        server.is_hanging = True
    elif kind == "slow":
        server.delay_s = float(fault["delay_s"])
    elif kind == "heal":
        await server.heal()
    else:
        return False
    return True
