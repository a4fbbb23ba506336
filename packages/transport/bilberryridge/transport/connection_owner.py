"""What a caller's connection tells the one that answers."""

from typing import TYPE_CHECKING, Any, Protocol

from bilberryridge.core import outcomes
from bilberryridge.transport import request_reader

if TYPE_CHECKING:
    from bilberryridge.transport import connection


class Owner(Protocol):
    """What a connection tells the one that answers."""

    def on_head(self, conn: "connection.Connection", head: Any) -> None:
        """Look at a head before its body; raises `errors.BadRequestError`."""

    def on_request(
        self, conn: "connection.Connection", received: request_reader.ReceivedRequest
    ) -> None:
        """Take a whole request; raises `errors.BadRequestError`."""

    def on_bad_input(
        self, conn: "connection.Connection", refusal: outcomes.Refusal
    ) -> None:
        """Refuse what is no request; the connection is answered and ends."""

    def on_caller_gone(self, conn: "connection.Connection") -> None:
        """Give up the open request: nobody reads its answer."""

    def on_drained(self, conn: "connection.Connection") -> None:
        """Go on after `Connection.is_full`."""

    def on_closed(self, conn: "connection.Connection") -> None:
        """Forget the connection."""
