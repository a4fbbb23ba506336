"""A caller's HTTP client that records the time of every byte and completeness.

Each request uses its own connection and is sent once, so that the runs counted by the
fake servers can be compared with the requests sent.
"""

import asyncio
import json
from typing import Any

import attrs
import h11

READ_BYTES = 65536
DONE_EVENT = b"data: [DONE]\n\n"


@attrs.frozen
class Request:
    """A request and how its caller behaves.

    Parameters
    ----------
    address : str
        ``host:port``.
    method : str
    target : str
        Path and query.
    headers : dict of str
    body : bytes
    timeout_s : float
        Limit for the complete answer.
    read_pause_s : float
        Pause before each read, to simulate a slow caller.
    disconnect_after_s : float or None
        When the caller closes the connection; None to wait for the answer.
    """

    address: str
    method: str
    target: str
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    timeout_s: float = 30.0
    read_pause_s: float = 0.0
    disconnect_after_s: float | None = None


@attrs.define
class Answer:
    """An answer as the caller received it.

    Parameters
    ----------
    status : int
        0 when no response head was received.
    headers : dict of str
        Names in lower case.
    body : bytes
    is_framing_complete : bool
        Whether the body is complete according to its HTTP framing.
    error : str
        ``refused``, ``timeout``, ``cut`` or ``left``; empty when complete.
    began_s, ended_s : float
        Monotonic times.
    marks : list of (float, int)
        Time of each read and the size of the body after it.
    """

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    is_framing_complete: bool = False
    error: str = ""
    began_s: float = 0.0
    ended_s: float = 0.0
    marks: list[tuple[float, int]] = attrs.field(factory=list)

    @property
    def is_stream(self) -> bool:
        """Whether it is a stream of server-sent events."""
        return self.headers.get("content-type", "").startswith("text/event-stream")

    @property
    def is_complete(self) -> bool:
        """Whether the answer is complete; a stream needs its end marker too."""
        has_end = not self.is_stream or self.body.endswith(DONE_EVENT)
        return self.is_framing_complete and has_end

    @property
    def outcome(self) -> str:
        """Outcome that a refusal states for the request; empty for an answer."""
        return self.headers.get("bilberryridge-outcome", "")

    def json(self) -> Any:
        """The body as JSON; None when it is not."""
        try:
            return json.loads(self.body)
        except ValueError:
            return None

    def token_times_s(self) -> list[float]:
        """Times at which the tokens of a stream arrived."""
        times: list[float] = []
        marks = iter(self.marks)
        when_s, n_received = next(marks, (0.0, 0))
        end = 0
        for event in self.body.split(b"\n\n"):
            end += len(event) + 2
            while n_received < min(end, len(self.body)):
                when_s, n_received = next(marks)
            if _content(event):
                times.append(when_s)
        return times

    def text(self) -> str:
        """Text that a model generated, streamed or not."""
        if self.is_stream:
            return "".join(_content(event) for event in self.body.split(b"\n\n"))
        answer = self.json()
        try:
            return answer["choices"][0]["message"]["content"]
        except (TypeError, KeyError, IndexError):
            return ""


def _content(event: bytes) -> str:
    if not event.startswith(b"data: {"):
        return ""
    choices = json.loads(event[len(b"data: ") :]).get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""


async def send(req: Request) -> Answer:
    """Send a request once and read its answer."""
    loop = asyncio.get_running_loop()
    answer = Answer(began_s=loop.time())
    limit_s = req.timeout_s
    if req.disconnect_after_s is not None:
        limit_s = min(limit_s, req.disconnect_after_s)
    try:
        async with asyncio.timeout(limit_s):
            await _exchange(req, answer)
    except TimeoutError:
        answer.error = "timeout" if limit_s == req.timeout_s else "left"
    except ConnectionRefusedError:
        answer.error = "refused"
    except (OSError, h11.ProtocolError):
        answer.error = "cut"
    answer.ended_s = loop.time()
    return answer


async def _exchange(req: Request, answer: Answer) -> None:
    host, _, port = req.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        conn = h11.Connection(h11.CLIENT)
        writer.write(_encode(conn, req))
        await writer.drain()
        await _read_answer(reader, conn, answer, req.read_pause_s)
    finally:
        writer.transport.abort()


def _encode(conn: h11.Connection, req: Request) -> bytes:
    head = {
        "host": req.address,
        "content-length": str(len(req.body)),
        "connection": "close",
        **req.headers,
    }
    event = h11.Request(
        method=req.method, target=req.target, headers=list(head.items())
    )
    parts = [conn.send(event), conn.send(h11.Data(data=req.body))]
    parts.append(conn.send(h11.EndOfMessage()))
    return b"".join(part or b"" for part in parts)


async def _read_answer(
    reader: asyncio.StreamReader,
    conn: h11.Connection,
    answer: Answer,
    pause_s: float,
) -> None:
    loop = asyncio.get_running_loop()
    parts: list[bytes] = []
    n_bytes = 0
    try:
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if pause_s:
                    await asyncio.sleep(pause_s)
                conn.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                pairs = event.headers
                answer.headers = {k.decode(): v.decode("latin-1") for k, v in pairs}
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                n_bytes += len(event.data)
                answer.marks.append((loop.time(), n_bytes))
            elif isinstance(event, h11.EndOfMessage):
                answer.is_framing_complete = True
                return
            else:
                raise ConnectionResetError
    finally:
        answer.body = b"".join(parts)


async def post_json(address: str, target: str, value: object) -> Any:
    """Send JSON to a control port; return its JSON answer.

    Raises
    ------
    OSError
        When the status is not 200.
    """
    answer = await send(Request(address, "POST", target, body=_json_bytes(value)))
    if answer.status != 200:
        raise OSError(f"{address}{target}: {answer.status} {answer.error}")
    return answer.json()


async def get_json(address: str, target: str) -> Any:
    """Read JSON from a control port; None when there is no answer."""
    answer = await send(Request(address, "GET", target))
    return answer.json() if answer.status == 200 else None


def _json_bytes(value: object) -> bytes:
    return json.dumps(value).encode()
