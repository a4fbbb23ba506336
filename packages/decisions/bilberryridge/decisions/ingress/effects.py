"""What an ingress node wants done."""

from collections.abc import Mapping
from typing import Any

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import load_messages


@attrs.frozen
class SendToServer:
    """Send the request to a backend server.

    Parameters
    ----------
    request_id : str
    attempt_id : int
    server : BackendServer
    remaining_s : float
        Time that the server may take.
    priority : int
        Urgency of the route.
    is_stream : bool
    needs_fresh_conn : bool
        Whether a connection that was idle for long may not be used.
    fetch_from : str
        Address of a server that keeps leading parts of the prompt, from which the
        server is to fetch them; empty for none.
    log_fields : mapping
        What the choice rests on, for the log.
    """

    request_id: str
    attempt_id: int
    server: ingress.BackendServer
    remaining_s: float
    priority: int
    is_stream: bool
    needs_fresh_conn: bool
    first_byte_timeout_s: float | None = None
    stall_timeout_s: float | None = None
    log_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False)
    fetch_from: str = ""


@attrs.frozen
class SendToPeer:
    """Send the request to a daemon of another region.

    Parameters
    ----------
    request_id : str
    attempt_id : int
    entry : EntryVm
    remaining_s : float
    is_stream : bool
    table_version : int
        That the choice rests on; an older daemon must not serve it.
    first_byte_timeout_s, stall_timeout_s : float or None
        As for a server.
    log_fields : mapping
    """

    request_id: str
    attempt_id: int
    entry: ingress.EntryVm
    remaining_s: float
    is_stream: bool
    table_version: int
    first_byte_timeout_s: float | None = None
    stall_timeout_s: float | None = None
    log_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False)


@attrs.frozen
class CancelAttempt:
    """Close the attempt's connection; nothing more is told of it."""

    request_id: str
    attempt_id: int


@attrs.frozen
class DetachCaller:
    """Nobody waits: the attempt goes on to its end, and its answer is dropped."""

    request_id: str


@attrs.frozen
class PassAnswer:
    """Hand the held answer of an attempt to the caller."""

    request_id: str
    attempt_id: int


@attrs.frozen
class Refuse:
    """Give the final answer to a request that is given up."""

    request_id: str
    refusal: outcomes.Refusal
    log_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False)


@attrs.frozen
class AbortStream:
    """End a stream that can't be finished so that it doesn't look whole."""

    request_id: str
    log_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False)


@attrs.frozen
class SendPeerMessage:
    """Send a message over a link."""

    vm: str
    message: load_messages.DaemonLoads | load_messages.RegionLoads


@attrs.frozen
class LogStateChange:
    """Note a change of what the node believes, for the log."""

    subject: str
    change: str
    log_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False)


Effect = (
    SendToServer
    | SendToPeer
    | CancelAttempt
    | DetachCaller
    | PassAnswer
    | Refuse
    | AbortStream
    | SendPeerMessage
    | LogStateChange
)
