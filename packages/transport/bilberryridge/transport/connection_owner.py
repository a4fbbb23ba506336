"""Callbacks of a caller's connection."""

from typing import TYPE_CHECKING, Any, Protocol

from bilberryridge.core import outcomes
from bilberryridge.transport import request_reader

if TYPE_CHECKING:
    from bilberryridge.transport import connection


class Owner(Protocol):
    """Callbacks of a connection, implemented by the object that answers requests."""

    def on_head(self, conn: "connection.Connection", head: Any) -> None:
        """Check a head before its body is read; raises `errors.BadRequestError`.

        It may answer the request after `Connection.answer_early`.
        """

    def on_request(
        self, conn: "connection.Connection", received: request_reader.ReceivedRequest
    ) -> None:
        """Handle a complete request; raises `errors.BadRequestError`."""

    def on_bad_input(
        self, conn: "connection.Connection", refusal: outcomes.Refusal
    ) -> None:
        """Refuse invalid input; the connection closes after the answer."""

    def on_caller_gone(self, conn: "connection.Connection") -> None:
        """Give up the open request: its caller has disconnected."""

    def on_drained(self, conn: "connection.Connection") -> None:
        """Resume the source: `Connection.is_full` is False again."""

    def on_closed(self, conn: "connection.Connection") -> None:
        """Remove the connection: it is closed."""
