"""Effects that an ingress node returns for its caller to carry out."""

from collections.abc import Mapping
from typing import Any

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    crash_reports,
    division_messages,
    load_messages,
    quotas,
    stream_origins,
)


@attrs.frozen
class SendToServer:
    """Send the request to a backend server.

    Parameters
    ----------
    request_id : str
    attempt_id : int
    server : BackendServer
    remaining_s : float
        Time until the request's deadline.
    priority : int
        Priority of the route; 0 is the most urgent.
    is_stream : bool
    needs_fresh_conn : bool
        Whether connections that have been idle for long must not be reused, as the
        request can't be retried if the server closes one.
    first_byte_timeout_s : float or None
        Time without a first byte after which the node is told; None for never.
    stall_timeout_s : float or None
        Longest pause after the first byte; None for no limit.
    fetch_from : str
        Address of a server that has leading parts of the prompt cached, from which the
        chosen server is to fetch them; empty for none.
    n_answer_tokens : int
        Most tokens that the request asks for; 0 if not known.
    is_start_known : bool
        Whether the server is surely of the version that `server` tells.
    organisation : str or None
        Name to send in place of the caller's credentials; empty to send none. None
        where the routing table names no organisations, so that the caller's fields are
        forwarded as they are.
    log_fields : mapping
        Inputs of the decision, for the log.
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
    n_answer_tokens: int = 0
    is_start_known: bool = True
    organisation: str | None = None


@attrs.frozen
class SendToPeer:
    """Send the request to a daemon of another region, or of this one.

    Parameters
    ----------
    request_id : str
    attempt_id : int
    entry : EntryVm
    remaining_s : float
    is_stream : bool
    table_version : int
        Routing table version used for the decision; a daemon with an older table must
        not serve the request.
    first_byte_timeout_s, stall_timeout_s : float or None
        As in `SendToServer`.
    log_fields : mapping
    n_answer_tokens : int
        As in `SendToServer`.
    origin : StreamOrigin or None
        What alone can continue the stream; None for a new one.
    key_digest : bytes or None
        Digest of the caller's key, forwarded in place of its credentials; empty for
        none. None where the routing table names no organisations.
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
    n_answer_tokens: int = 0
    origin: ingress.StreamOrigin | None = None
    key_digest: bytes | None = attrs.field(default=None, repr=False)


@attrs.frozen
class ProbeServer:
    """Connect to a backend server, and report whether that succeeds."""

    server: ingress.BackendServer


@attrs.frozen
class CancelAttempt:
    """Close the attempt's connection; no further event is reported for it."""

    request_id: str
    attempt_id: int


@attrs.frozen
class DetachCaller:
    """Detach a caller that left: the attempt continues and its answer is discarded."""

    request_id: str


@attrs.frozen
class PassAnswer:
    """Send the buffered answer of an attempt to the caller."""

    request_id: str
    attempt_id: int


@attrs.frozen
class Refuse:
    """Answer a request with a refusal.

    Parameters
    ----------
    request_id : str
    refusal : Refusal
    log_fields : mapping
    is_server_reached : bool
        Whether the request may have reached a backend server, if only to be turned
        away; another daemon that relayed it must know.
    """

    request_id: str
    refusal: outcomes.Refusal
    log_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False)
    is_server_reached: bool = False


@attrs.frozen
class AbortStream:
    """End a stream that can't be finished so that the caller sees it is incomplete."""

    request_id: str
    log_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False)


PeerMessage = (
    load_messages.DaemonLoads
    | load_messages.RegionLoads
    | crash_reports.Report
    | division_messages.Message
)


@attrs.frozen
class SendPeerMessage:
    """Send a message to another daemon over its link."""

    vm: str
    message: PeerMessage


@attrs.frozen
class StoreReport:
    """Write a report to the store, where it outlives this daemon."""

    report: crash_reports.Report


@attrs.frozen
class StoreStreams:
    """Write streams that began here to the store, where they outlive this daemon."""

    streams: tuple[stream_origins.StreamRecord, ...]


@attrs.frozen
class CheckStore:
    """Ask the store for all changes until now; `events.StoreChecked` answers."""


@attrs.frozen
class LogTakeUp:
    """Log that a request takes up a stream whose origin is known."""

    request_id: str
    log_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False)


@attrs.frozen
class LogStateChange:
    """Log a change in the node's state."""

    subject: str
    change: str
    log_fields: Mapping[str, Any] = attrs.field(factory=dict, eq=False)


@attrs.frozen
class CountQuota:
    """Count what became of an organisation's requests, in the metrics.

    Parameters
    ----------
    organisation : str
        One of the largest, or `quotas.REST`.
    counts : Counts
    """

    organisation: str
    counts: quotas.Counts


Effect = (
    SendToServer
    | SendToPeer
    | ProbeServer
    | CancelAttempt
    | DetachCaller
    | PassAnswer
    | Refuse
    | AbortStream
    | SendPeerMessage
    | StoreReport
    | StoreStreams
    | CheckStore
    | LogTakeUp
    | LogStateChange
    | CountQuota
)
