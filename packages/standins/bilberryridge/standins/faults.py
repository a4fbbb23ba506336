"""Fault injection into a fake backend server, and the log of its runs.

Each server has a control port next to its own: ``POST /fault``, ``GET /ran``.
"""

from collections.abc import Callable
from typing import Any

import attrs

from bilberryridge.standins import web

CONTROL_PORT_OFFSET = 1


@attrs.define
class Faults:
    """Faults of a backend server's answers.

    Parameters
    ----------
    slow_factor : float
        Multiplies the time of all work.
    cut_after : int or None
        Tokens of a stream, or bytes of a plain answer, after which the connection
        is closed.
    is_blank : bool
        Whether answers have status 200 and no content.
    is_crossed : bool
        Whether answers carry another request's id and content.
    is_lost : bool
        Whether the connection is reset after the work, before the answer.
    is_silent : bool
        Whether load reports have stopped.
    status : int
        Error status answered without running the request; 0 for none.
    n_left : int or None
        Number of answers that are still faulty; None for all.
    """

    slow_factor: float = 1.0
    cut_after: int | None = None
    is_blank: bool = False
    is_crossed: bool = False
    is_lost: bool = False
    is_silent: bool = False
    status: int = 0
    n_left: int | None = None

    def for_next_answer(self) -> "Faults":
        """Return the faults of the next answer and count it."""
        if self.n_left is None:
            return self
        if self.n_left == 0:
            return Faults(slow_factor=self.slow_factor, is_silent=self.is_silent)
        self.n_left -= 1
        return attrs.evolve(self)


@attrs.define
class RunLog:
    """Requests that a backend server has run, in order."""

    runs: list[dict[str, Any]] = attrs.field(factory=list)
    n_refused: int = 0
    n_cancelled: int = 0
    server_s: float = 0.0

    def add(self, call: web.Call) -> None:
        """Record that a request runs."""
        self.runs.append(
            {
                "request_id": call.headers.get("x-request-id", ""),
                "key": call.headers.get("idempotency-key", ""),
                "method": call.method,
                "target": call.target,
                "n_bytes": len(call.body),
            }
        )

    def as_json(self) -> dict[str, Any]:
        """The answer to ``GET /ran``."""
        return {"n": len(self.runs), **attrs.asdict(self)}


class Control:
    """The control port of a fake backend server.

    Parameters
    ----------
    server : web.Server
        Its listener for requests.
    log : RunLog
    on_killed : callable
        Called by the fault ``kill``, to drop the state that a process loses.
    """

    def __init__(self, server: web.Server, log: RunLog, on_killed: Callable[[], None]):
        self.faults = Faults()
        address = f"{server.host}:{server.port + CONTROL_PORT_OFFSET}"
        self._control = web.Server(address, self._serve)
        self._server = server
        self._log = log
        self._on_killed = on_killed

    async def open(self) -> None:
        """Listen for requests and for commands."""
        await self._server.open()
        await self._control.open()

    async def set_fault(self, fault: dict) -> None:
        """Set a fault.

        Kinds: those of `web.set_listener_fault`; ``kill`` (refuses, loses its state);
        ``answers`` with fields of `Faults`. ``heal`` ends all of them.
        """
        kind = fault["kind"]
        if kind == "heal":
            self.faults = Faults()
        if await web.set_listener_fault(self._server, fault):
            return
        if kind == "kill":
            self._server.refuse()
            self._on_killed()
        elif kind == "answers":
            changes = {k: v for k, v in fault.items() if k != "kind"}
            self.faults = attrs.evolve(self.faults, **changes)
        else:
            raise ValueError(f"unknown fault {kind!r}")

    async def _serve(self, call: web.Call) -> None:
        if call.path == "/ran":
            call.respond_json(self._log.as_json())
        elif call.path == "/fault":
            await self.set_fault(call.json())
            call.respond_json({})
        else:
            call.respond_json({}, 404)
