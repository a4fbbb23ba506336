"""Interface to the header fields by which a platform's callers and servers speak."""

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
        As sent by the caller.
    fields : tuple of (str, str)
    """

    method: str
    target: str
    fields: headers.Fields


class AnswerKind(enum.Enum):
    """Classification of an answer by its head."""

    ANSWER = "answer"
    NOT_RUN = "not run"
    MISDIRECTED = "foreign"
    """Another server has the address now; it did not run the request."""
    UNVERIFIED = "unproven"
    """A success without the seal that proves that the server produced it."""


@attrs.frozen
class AnswerHead:
    """The head of an answer, decoded.

    Parameters
    ----------
    status : int
    fields : tuple of (str, str)
        Fields that are forwarded to the caller.
    kind : AnswerKind
    load : ServerLoad or None
    retry_after_s : float or None
    is_leaving : bool
        Whether the server says that it leaves.
    asked_s : float or None
        Time for which the server wants nothing from this daemon.
    limit_per_s : float or None
        Requests a second that the server takes from all daemons together; None if it
        names no limit.
    brittle_per_s : float or None
        Requests turned away within a second beyond which the server falls over; None
        if it doesn't say so.
    is_own_word : bool
        Whether a backend server itself says so, rather than a daemon or another server
        at its address.
    origin : StreamOrigin or None
        Of a stream that another daemon forwards, as told by it.
    is_server_reached : bool
        Whether the request may have reached a backend server.
    """

    status: int
    fields: headers.Fields
    kind: AnswerKind
    load: events.ServerLoad | None = None
    retry_after_s: float | None = None
    is_leaving: bool = False
    asked_s: float | None = None
    limit_per_s: float | None = None
    brittle_per_s: float | None = None
    is_own_word: bool = False
    origin: ingress.StreamOrigin | None = None
    is_server_reached: bool = True


ReadAnswer = Callable[[int, headers.Fields], AnswerHead]
"""Decodes the head of an answer from its status and fields."""


class Dialect(Protocol):
    """Encodes and decodes the heads of one platform's requests and answers."""

    def read_head(self, method: str, target: str, fields: headers.Fields) -> Head:
        """Check a request's head; raises `errors.BadRequestError`."""

    def read_request(self, head: Head, request_id: str) -> ingress.Request:
        """Make the node's view of a request; raises `errors.BadRequestError`."""

    def fields_for_server(
        self, head: Head, effect: effects.SendToServer, last_event_id: str
    ) -> headers.Fields:
        """Return the fields to send to a backend server.

        `last_event_id` is the id of the last event sent to the caller; empty if none
        was sent.
        """

    def fields_for_peer(
        self, head: Head, effect: effects.SendToPeer, last_event_id: str
    ) -> headers.Fields:
        """Return the fields to send to another daemon, without the envelope."""

    def answer_id(self, fields: headers.Fields) -> str:
        """Return the id that a request and its answer have in common; empty if none."""

    def read_answer(self, status: int, fields: headers.Fields) -> AnswerHead:
        """Decode the head of a backend server's answer."""

    def read_relayed_answer(self, status: int, fields: headers.Fields) -> AnswerHead:
        """Decode the head of an answer that another daemon forwarded."""

    def refusal_fields(self, refusal: outcomes.Refusal) -> headers.Fields:
        """Return the header fields of a refusal."""
