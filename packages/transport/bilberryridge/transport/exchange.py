"""One open request: what is sent for it, and how its caller is answered."""

from typing import TYPE_CHECKING

from bilberryridge.core import outcomes, requests
from bilberryridge.decisions import events
from bilberryridge.transport import connection, headers, limits, problems, routes

if TYPE_CHECKING:
    from bilberryridge.transport import attempt

LENGTH = "content-length"


class Exchange:
    """A caller's request from its arrival to the end of its answer.

    Parameters
    ----------
    request_id : str
    conn : connection.Connection
    head : routes.Head
    reservation : limits.Reservation or None
        Bytes reserved for the body.

    Attributes
    ----------
    req : requests.Request or None
        None for a request that the node answers itself.
    body : bytes
        As it is forwarded; dropped when the request ends.
    attempt : attempt.Attempt or None
        The running attempt.
    held_answer : events.StoredAnswer or None
        Answer of the last attempt, held until the node decides on it.
    is_committed : bool
        Whether any part of an answer was sent to the caller.
    is_caller_gone : bool
        Whether the caller disconnected.
    """

    def __init__(
        self,
        request_id: str,
        conn: connection.Connection,
        head: routes.Head,
        reservation: limits.Reservation | None = None,
    ):
        self.request_id = request_id
        self.conn = conn
        self.head = head
        self.req: requests.Request | None = None
        self.body = b""
        self._reservation = reservation
        self.attempt: attempt.Attempt | None = None
        self.held_answer: events.StoredAnswer | None = None
        self.is_committed = False
        self.is_caller_gone = False

    @property
    def is_model(self) -> bool:
        """Whether the request is for a model service."""
        return self.head.endpoint == routes.CHAT

    @property
    def is_streamed(self) -> bool:
        """Whether the caller asked for a stream."""
        return self.req is not None and self.req.is_streamed

    @property
    def is_full(self) -> bool:
        """Whether the caller reads too slowly to take more now."""
        return not self.is_caller_gone and self.conn.is_full

    def drop_body(self) -> None:
        """Release the request's body: no attempt runs or follows."""
        self.body = b""
        if self._reservation is not None:
            self._reservation.release()

    def begin(self, status: int, fields: headers.Fields) -> None:
        """Commit to an answer and send its head."""
        self.is_committed = True
        if not self.is_caller_gone:
            self.conn.start_answer(status, (*fields, *self._id_fields()))

    def pass_on(self, data: bytes) -> None:
        """Send a part of the begun answer's body."""
        if data and not self.is_caller_gone:
            self.conn.send(data)

    def finish(self) -> None:
        """End the begun answer."""
        if not self.is_caller_gone:
            self.conn.finish()

    def abort(self, refusal: outcomes.Refusal, is_stream: bool) -> None:
        """Abort the begun answer: close without ending it.

        A stream gets the refusal as its last event.
        """
        if self.is_caller_gone:
            return
        if is_stream:
            self.conn.send(problems.event_of(refusal, self.request_id))
        self.conn.abort()

    def answer(self, status: int, fields: headers.Fields, body: bytes) -> None:
        """Send a complete answer."""
        if not (self.head.method == "HEAD" and headers.find(fields, LENGTH)):
            fields = headers.without(fields, LENGTH)
            fields = (*fields, ("Content-Length", str(len(body))))
        self.begin(status, fields)
        if self.head.method != "HEAD":
            self.pass_on(body)
        self.finish()

    def refuse(self, refusal: outcomes.Refusal) -> None:
        """Answer with a refusal as a problem document."""
        body = problems.body_of(refusal, self.request_id)
        self.answer(refusal.status, problems.fields_of(refusal), body)

    def _id_fields(self) -> headers.Fields:
        id_fields = ((headers.REQUEST_ID, self.request_id),)
        if self.req is None:
            return id_fields
        return (*id_fields, (headers.TRACE_PARENT, self.req.trace_parent))
