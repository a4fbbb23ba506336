"""One link: a listener that forwards connections to a target through two lanes."""

import asyncio
import contextlib
import socket

from bilberryridge.standins import lanes

BACKLOG = 1024
CHUNK_BYTES = 16384
MAX_CHUNKS_IN_FLIGHT = 64
MAX_FILLERS = 8


class Link:
    """A link.

    Parameters
    ----------
    listen, target : str
        ``host:port``.
    outbound, inbound : lanes.Lane
        Towards the target, and back.
    """

    def __init__(
        self, listen: str, target: str, outbound: lanes.Lane, inbound: lanes.Lane
    ):
        self._address = _split(listen)
        self._target = _split(target)
        self._outbound = outbound
        self._inbound = inbound
        self._sock: socket.socket | None = None
        self._is_accepting = False
        self._passing: set[asyncio.Task] = set()
        self._fillers: list[socket.socket] = []
        self._is_reachable = True

    @property
    def target_host(self) -> str:
        """Host of the target."""
        return self._target[0]

    def open(self) -> None:
        """Listen and accept connections."""
        if self._sock is None:
            self._sock = socket.create_server(self._address, backlog=BACKLOG)
            self._sock.setblocking(False)
        self.set_reachable(self._is_reachable)

    def set_down(self, is_down: bool) -> None:
        """Refuse connections as for a dead target process, or stop refusing."""
        if not is_down:
            self.open()
            return
        self._close_fillers()
        if self._sock is not None:
            self._stop_accepting(self._sock)
            self._sock.close()
            self._sock = None

    def set_reachable(self, is_reachable: bool) -> None:
        """Accept new connections, or leave their handshakes unanswered."""
        self._is_reachable = is_reachable
        if self._sock is None:
            return
        if is_reachable:
            self._release(self._sock)
            if not self._is_accepting:
                loop = asyncio.get_running_loop()
                loop.add_reader(self._sock, self._accept, self._sock)
                self._is_accepting = True
        elif not self._fillers:
            self._stop_accepting(self._sock)
            self._fill(self._sock)

    def _stop_accepting(self, sock: socket.socket) -> None:
        if self._is_accepting:
            asyncio.get_running_loop().remove_reader(sock)
            self._is_accepting = False

    def _fill(self, sock: socket.socket) -> None:
        # The kernel drops SYN packets to a listener whose accept queue is full, which
        # is how a cut network looks to the dialler; a closed listener would refuse.
        sock.listen(0)
        for _ in range(MAX_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self._address)
            if not _is_connected(filler):
                return

    def _release(self, sock: socket.socket) -> None:
        if not self._fillers:
            return
        filler_addresses = {filler.getsockname() for filler in self._fillers}
        with contextlib.suppress(BlockingIOError):
            while True:
                conn, peer = sock.accept()
                if peer in filler_addresses:
                    conn.close()
                else:
                    self._start(conn)
        self._close_fillers()
        sock.listen(BACKLOG)

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers = []

    def _accept(self, sock: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError):
            conn, _ = sock.accept()
            self._start(conn)

    def _start(self, conn: socket.socket) -> None:
        conn.setblocking(False)
        task = asyncio.create_task(self._pass(conn))
        self._passing.add(task)
        task.add_done_callback(self._passing.discard)

    async def _pass(self, conn: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=conn)
        with contextlib.closing(writer.transport):
            # Simulates the round trip of the handshake, which loopback answers at once.
            await self._cross(self._outbound, 1)
            await self._cross(self._inbound, 1)
            try:
                far_reader, far_writer = await asyncio.open_connection(*self._target)
            except OSError:
                return
            with contextlib.closing(far_writer.transport):
                await self._pump_both(reader, writer, far_reader, far_writer)

    async def _pump_both(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        far_reader: asyncio.StreamReader,
        far_writer: asyncio.StreamWriter,
    ) -> None:
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(_pump(reader, far_writer, self._outbound))
                tasks.create_task(_pump(far_reader, writer, self._inbound))
        except* OSError:
            pass

    async def _cross(self, lane: lanes.Lane, n_bytes: int) -> None:
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(lane.arrival_s(now_s, n_bytes) - now_s)
        await lane.wait_open()


Chunks = asyncio.Queue[tuple[float, bytes | None]]
"""Arrival time and bytes of each chunk: empty for the end, None for a reset."""


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, lane: lanes.Lane
) -> None:
    """Forward bytes in one direction until their end."""
    chunks: Chunks = asyncio.Queue(MAX_CHUNKS_IN_FLIGHT)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(_receive(reader, chunks, lane))
        tasks.create_task(_deliver(chunks, writer, lane))


async def _receive(
    reader: asyncio.StreamReader, chunks: Chunks, lane: lanes.Lane
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        data: bytes | None = None
        with contextlib.suppress(OSError):
            data = await reader.read(CHUNK_BYTES)
        await chunks.put((lane.arrival_s(loop.time(), len(data or b"")), data))
        if not data:
            return


async def _deliver(
    chunks: Chunks, writer: asyncio.StreamWriter, lane: lanes.Lane
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        arrival_s, data = await chunks.get()
        await asyncio.sleep(max(0.0, arrival_s - loop.time()))
        await lane.wait_open()
        if data is None:
            writer.transport.abort()
            raise ConnectionResetError
        if not data:
            writer.write_eof()
            return
        writer.write(data)
        await writer.drain()


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
