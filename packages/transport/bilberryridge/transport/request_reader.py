"""Parses requests from the bytes of a connection and enforces size limits."""

import enum
import re
from collections.abc import Callable
from typing import Any

import attrs
import h11

from bilberryridge.core import outcomes
from bilberryridge.transport import errors, headers, limits, routes, settings

BUSY_RETRY_S = 1.0
BAD_REQUEST = outcomes.Reason.BAD_REQUEST
HEAD_TOO_LARGE = 431
# Parsers treat these differently, which would allow request smuggling.
_AMBIGUOUS_LINES = re.compile(rb"(?<!\r)\n|\r\n[ \t]|\r(?!\n)")

ReadHead = Callable[[str, str, headers.Fields], Any]
"""Parses a head from method, target and fields; raises `errors.BadRequestError`."""


class Step(enum.Enum):
    """What `RequestReader.read_next` found in the input."""

    HEAD = "head"
    BODY = "body"
    END = "end"
    CLOSED = "closed"
    MORE_NEEDED = "more needed"


@attrs.frozen
class ReceivedRequest:
    """A complete request.

    Parameters
    ----------
    head : routes.Head or the head type of another interface
    body : bytes
    reservation : limits.Reservation
        Bytes reserved for the body; the receiver of the request releases it.
    """

    head: Any
    body: bytes
    reservation: limits.Reservation


class RequestReader:
    """Reads the requests of one connection in sequence.

    Parameters
    ----------
    http : h11.Connection
        Parser of the connection, which also encodes the answers.
    cfg : settings.EdgeSettings
    body_limit : limits.ByteLimit
        Limit on all request bodies together.
    read_head : Callable
        Parses a request's head for the interface that is served.

    Attributes
    ----------
    fields : tuple of (str, str) or None
        Header fields of the current request; None before they are parsed.
    """

    def __init__(
        self,
        http: h11.Connection,
        cfg: settings.EdgeSettings,
        body_limit: limits.ByteLimit,
        read_head: ReadHead = routes.read_head,
    ):
        self.fields: headers.Fields | None = None
        self._http = http
        self._cfg = cfg
        self._body_limit = body_limit
        self._read_head = read_head
        self._head: Any = None
        self._body = bytearray()
        self._n_body_bytes = 0
        self._is_discarding = False
        self._reservation = limits.Reservation(body_limit)

    @property
    def head(self) -> Any:
        """The head of the request that is being read."""
        assert self._head is not None
        return self._head

    def read_next(self) -> Step:
        """Read the parser's next event.

        Raises
        ------
        errors.BadRequestError
            If the input is invalid or exceeds a limit.
        """
        unparsed = b"" if self._head is not None else self._http.trailing_data[0]
        event = self._next_event()
        if isinstance(event, h11.Request):
            n_left = len(self._http.trailing_data[0])
            self._check_lines(unparsed[: len(unparsed) - n_left])
            self._handle_head(event)
            return Step.HEAD
        if isinstance(event, h11.Data):
            self._handle_body(event.data)
            return Step.BODY
        if isinstance(event, h11.EndOfMessage):
            return Step.END
        if isinstance(event, h11.ConnectionClosed):
            return Step.CLOSED
        return Step.MORE_NEEDED

    def apply_settings(self, http: h11.Connection, cfg: settings.EdgeSettings) -> None:
        """Read the next request with another parser and other limits."""
        self._http = http
        self._cfg = cfg

    def take_request(self) -> ReceivedRequest:
        """Return the complete request and its reservation, after `Step.END`."""
        received = ReceivedRequest(self.head, bytes(self._body), self._reservation)
        self._body = bytearray()
        self._reservation = limits.Reservation(self._body_limit)
        return received

    def begin_next(self) -> None:
        """Prepare for the next request."""
        self.fields = self._head = None
        self._n_body_bytes = 0
        self._is_discarding = False

    def discard_body(self) -> None:
        """Read the rest of the request's body without keeping it."""
        self._is_discarding = True
        self.drop()

    def drop(self) -> None:
        """Discard the body that is being read."""
        self._body = bytearray()
        self._reservation.release()

    def _next_event(self) -> object:
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as exc:
            is_large = exc.error_status_hint == HEAD_TOO_LARGE
            reason = outcomes.Reason.TOO_LARGE if is_large else BAD_REQUEST
            # What follows the colon is the caller's input, which may hold a key.
            detail = str(exc).partition(":")[0]
            raise errors.BadRequestError(reason, detail) from exc

    def _check_lines(self, head: bytes) -> None:
        if _AMBIGUOUS_LINES.search(head):
            detail = "the head has folded lines or bare line ends"
            raise errors.BadRequestError(BAD_REQUEST, detail)

    def _handle_head(self, event: h11.Request) -> None:
        fields = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        )
        self.fields = fields
        length = headers.find(fields, "content-length")
        if headers.find(fields, "transfer-encoding") and length:
            raise errors.BadRequestError(BAD_REQUEST, "the body has two lengths")
        if length and int(length) > self._cfg.max_body_bytes:
            raise self._too_large()
        target = event.target.decode("latin-1")
        self._head = self._read_head(event.method.decode(), target, fields)

    def _handle_body(self, data: bytes) -> None:
        self._n_body_bytes += len(data)
        if self._n_body_bytes > self._cfg.max_body_bytes:
            raise self._too_large()
        if self._is_discarding:
            return
        if not self._reservation.reserve(len(data)):
            detail = "too many requests are held at once"
            raise errors.BadRequestError(outcomes.Reason.BUSY, detail, BUSY_RETRY_S)
        self._body += data

    def _too_large(self) -> errors.BadRequestError:
        detail = f"the body is over {self._cfg.max_body_bytes} bytes"
        return errors.BadRequestError(outcomes.Reason.TOO_LARGE, detail)
