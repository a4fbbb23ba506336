"""A port that the daemon answers itself: directory, readiness, metrics."""

import contextlib
from collections.abc import Callable

import attrs

from bilberryridge.core import outcomes
from bilberryridge.transport import (
    connection,
    headers,
    problems,
    request_reader,
    settings,
)
from bilberryridge.transport.ingress import dialect, event_loop, port

MAX_CONNECTIONS = 512
"""Each caller sends at most one request per second on a persistent connection."""


@attrs.frozen
class Answer:
    """A complete answer."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Respond = Callable[[dialect.Head], Answer]
"""Returns the answer to a request without a body."""


def read_head(method: str, target: str, fields: headers.Fields) -> dialect.Head:
    """Accept any head."""
    return dialect.Head(method, target, fields)


class Responder:
    """Answers each request as soon as it is received.

    Parameters
    ----------
    respond : Respond
    """

    def __init__(self, respond: Respond):
        self._respond = respond

    def on_head(self, conn: connection.Connection, head: dialect.Head) -> None:
        """See `connection_owner.Owner`."""

    def on_request(
        self, conn: connection.Connection, received: request_reader.ReceivedRequest
    ) -> None:
        """See `connection_owner.Owner`."""
        received.reservation.release()
        answer = self._respond(received.head)
        fields = (
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        )
        conn.start_answer(answer.status, fields)
        if answer.body:
            conn.send(answer.body)
        conn.finish()

    def on_bad_input(
        self, conn: connection.Connection, refusal: outcomes.Refusal
    ) -> None:
        """See `connection_owner.Owner`."""
        refuse_input(conn, refusal, problems.fields_of(refusal))

    def on_caller_gone(self, conn: connection.Connection) -> None:
        """See `connection_owner.Owner`."""

    def on_drained(self, conn: connection.Connection) -> None:
        """See `connection_owner.Owner`."""

    def on_closed(self, conn: connection.Connection) -> None:
        """See `connection_owner.Owner`."""


def refuse_input(
    conn: connection.Connection, refusal: outcomes.Refusal, fields: headers.Fields
) -> None:
    """Answer invalid input and close the connection."""
    body = problems.body_of(refusal, "")
    conn.phase = connection.Phase.ANSWERING
    conn.close_after_answer()
    with contextlib.suppress(connection.h11.LocalProtocolError):
        conn.start_answer(refusal.status, (*fields, ("Content-Length", str(len(body)))))
        conn.send(body)
        conn.finish()
        return
    conn.close()


def open_responder(
    loop: event_loop.EventLoop, address: settings.Address, respond: Respond
) -> port.Port:
    """Listen on an address and answer requests with what `respond` returns."""
    cfg = settings.EdgeSettings("", address, address, b"", max_bodies_bytes=1 << 20)
    return port.Port(
        loop, address, Responder(respond), read_head, lambda: cfg, MAX_CONNECTIONS
    )
