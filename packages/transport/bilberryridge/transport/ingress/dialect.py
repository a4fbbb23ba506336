"""What differs between the wires on which routed requests come and go."""

import enum
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import effects, events
from bilberryridge.transport import headers


@attrs.frozen
class Head:
    """The head of a request.

    Parameters
    ----------
    method, target : str
        As the caller wrote them.
    fields : tuple of (str, str)
    """

    method: str
    target: str
    fields: headers.Fields


class AnswerKind(enum.Enum):
    """What the head of a backend server's answer says."""

    ANSWER = "answer"
    NOT_RUN = "not run"
    MISDIRECTED = "foreign"
    """Another server has the address; it did not run the request."""
    UNVERIFIED = "unproven"
    """A success without the server's proof."""


@attrs.frozen
class AnswerHead:
    """The head of an answer, decoded.

    Parameters
    ----------
    status : int
    fields : tuple of (str, str)
        That go on to the caller.
    kind : AnswerKind
    load : ServerLoad or None
    retry_after_s : float or None
    """

    status: int
    fields: headers.Fields
    kind: AnswerKind
    load: events.ServerLoad | None = None
    retry_after_s: float | None = None


ReadAnswer = Callable[[int, headers.Fields], AnswerHead]
"""Decodes the head of an answer from its status and fields."""


class Dialect(Protocol):
    """One wire between callers, daemons and backend servers."""

    def read_head(self, method: str, target: str, fields: headers.Fields) -> Head:
        """Check a request's head; raises `errors.BadRequestError`."""

    def read_request(self, head: Head, request_id: str) -> ingress.Request:
        """Make what the decisions see; raises `errors.BadRequestError`."""

    def fields_for_server(
        self, head: Head, effect: effects.SendToServer, last_event_id: str
    ) -> headers.Fields:
        """Return the fields that a backend server gets.

        `last_event_id` is the id of the last event that the caller has; empty when
        nothing was passed on.
        """

    def fields_for_peer(self, head: Head, last_event_id: str) -> headers.Fields:
        """Return the fields that another daemon gets besides the envelope."""

    def is_matching_answer(self, head: Head, answer_fields: headers.Fields) -> bool:
        """Return whether an answer belongs to the request."""

    def read_answer(self, status: int, fields: headers.Fields) -> AnswerHead:
        """Decode the head of a backend server's answer."""

    def read_relayed_answer(self, status: int, fields: headers.Fields) -> AnswerHead:
        """Decode the head of an answer that another daemon passed on."""

    def refusal_fields(self, refusal: outcomes.Refusal) -> headers.Fields:
        """Return the fields of a refusal."""
