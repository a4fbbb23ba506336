"""Events that an ingress node handles."""

import enum
import math

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import crash_reports, effects, stream_origins


@attrs.frozen
class TableRead:
    """A version of the routing table was read from the store."""

    table: ingress.RoutingTable


@attrs.frozen
class ConfigurationProven:
    """The configuration in force was the newest one at a time.

    Parameters
    ----------
    proven_s : float
        Of the clock that counts suspensions of the VM.
    source : str
        Where the proof came from.
    """

    proven_s: float
    source: str


@attrs.frozen
class ServersRead:
    """The complete list of registered backend servers was read.

    Parameters
    ----------
    servers : tuple of BackendServer
    is_settled : bool
        False while a missing registration may only have lapsed during a store outage.
    known_s : float
        See `StoreContact`.
    """

    servers: tuple[ingress.BackendServer, ...]
    is_settled: bool = True
    known_s: float = math.inf


@attrs.frozen
class EntriesRead:
    """The complete list of registered entry VMs was read; see `ServersRead`."""

    entries: tuple[ingress.EntryVm, ...]
    is_settled: bool = True


@attrs.frozen
class EvacuationsRead:
    """The failure domains whose backend servers must get no requests were read.

    Parameters
    ----------
    domains : frozenset of str
    is_settled : bool
        False while a missing evacuation may only be lost to the store for a moment.
    """

    domains: frozenset[str]
    is_settled: bool = True


@attrs.frozen
class CrashReportsRead:
    """All reports on crashes that the store holds were read."""

    stored: crash_reports.StoredReports


@attrs.frozen
class StreamsRead:
    """Streams that daemons began were read from the store."""

    streams: tuple[stream_origins.StreamRecord, ...]


@attrs.frozen
class StoreContact:
    """Whether, and as of when, this daemon knows of the store's changes has changed.

    Parameters
    ----------
    is_current : bool
        Whether it would know of further changes.
    known_s : float
        Monotonic time as of which all changes are known; infinite if it is always now.
    """

    is_current: bool
    known_s: float = math.inf


@attrs.frozen
class StoreChecked:
    """The store has answered a check that began after it was asked for.

    Parameters
    ----------
    is_confirmed : bool
        Whether all changes until then are known here.
    is_settled : bool
        False while servers may not have registered again after an outage.
    """

    is_confirmed: bool
    is_settled: bool = True


@attrs.frozen
class RequestArrived:
    """A complete request was read."""

    req: ingress.Request


@attrs.frozen
class CallerGone:
    """The caller disconnected before its answer was complete."""

    request_id: str


class AttemptResult(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    """A complete answer is buffered, or a stream was passed on to its end."""
    NOT_RUN = "not run"
    """The server or daemon reported that it did not run the request."""
    NOT_SENT = "not sent"
    """No connection was made, and no byte was sent."""
    LOST = "lost"
    """The connection ended before the answer was complete."""
    SPOILED = "spoiled"
    """The data received is not a valid answer to this request."""


@attrs.frozen
class ServerLoad:
    """Load of a backend server as reported by itself.

    Parameters
    ----------
    n_running, n_waiting, n_slots : int or None
        None where the server's figure can't be right.
    pace : float or None
        How long work takes there at this moment, as a multiple of the usual; None if
        the server doesn't say so.
    """

    n_running: int | None
    n_waiting: int | None
    n_slots: int | None
    pace: float | None = None


@attrs.frozen
class ServerSaid:
    """The head of a server's answer tells something of the server itself.

    Parameters
    ----------
    request_id : str
    attempt_id : int
    is_leaving : bool
        Whether it leaves and wants no new work.
    asked_s : float or None
        Time for which it wants nothing from this daemon.
    limit_per_s : float or None
        Requests a second that it takes from all daemons together; None for no limit.
    brittle_per_s : float or None
        Requests turned away within a second beyond which it falls over; None if it
        doesn't say so.
    load : ServerLoad or None
    status : int
        HTTP status of the answer.
    """

    request_id: str
    attempt_id: int
    is_leaving: bool = False
    asked_s: float | None = None
    limit_per_s: float | None = None
    brittle_per_s: float | None = None
    load: ServerLoad | None = None
    status: int = 0


@attrs.frozen
class AttemptBegan:
    """The first bytes of an answer were received.

    Parameters
    ----------
    request_id : str
    attempt_id : int
    is_committed : bool
        Whether they are passed on to the caller immediately.
    origin : StreamOrigin or None
        Of a stream that another daemon forwards, as told by it.
    """

    request_id: str
    attempt_id: int
    is_committed: bool = False
    origin: ingress.StreamOrigin | None = None


@attrs.frozen
class AttemptWentOn:
    """An answer has gone on for a while after its first bytes.

    Parameters
    ----------
    request_id : str
    attempt_id : int

    See Also
    --------
    bilberryridge.core.progress.AnswerProgress : the time that counts.
    """

    request_id: str
    attempt_id: int


@attrs.frozen
class AttemptSilent:
    """No answer began within the time in which one was expected; the attempt goes on.

    Parameters
    ----------
    request_id : str
    attempt_id : int
    """

    request_id: str
    attempt_id: int


@attrs.frozen
class AttemptEnded:
    """An attempt ended.

    Parameters
    ----------
    request_id : str
    attempt_id : int
    result : AttemptResult
    status : int
        HTTP status of the answer; 0 if none was read.
    is_committed : bool
        Whether a part of the answer was already passed on to the caller.
    is_misdirected : bool
        Whether a different server answered at this address.
    load : ServerLoad or None
    retry_after_s : float or None
        Time after which to retry, as reported in the answer.
    first_s, took_s : float
        Time from the send to the first byte, and to the end; 0 if no byte was
        received.
    n_events : int
        Events of a stream that this attempt passed on.
    detail : str
        Why there was no complete answer, for the log.
    is_over_bound : bool
        Whether more was sent than any answer to the request can have.
    is_disconnected : bool
        Whether the other side closed or reset the connection within the answer.
    is_silent : bool
        Whether nothing was heard of the other side for too long.
    is_end_marked : bool
        False if only the end of the connection showed that of the answer.
    n_incomplete_bytes : int
        Bytes of a stream after its last complete event.
    is_position_known : bool
        False if events were passed on and no id tells where to resume the stream.
    limit_per_s : float or None
        Rate limit that the answer names, for the log.
    is_held : bool
        Whether the answer is held for `effects.PassAnswer`, not passed on as it came.
    is_server_reached : bool
        False if another daemon refused the request without asking a backend server.
    longest_gap_s : float
        Longest time between two events of a stream.
    """

    request_id: str
    attempt_id: int
    result: AttemptResult
    status: int = 0
    is_committed: bool = False
    is_misdirected: bool = False
    load: ServerLoad | None = None
    retry_after_s: float | None = None
    first_s: float = 0.0
    took_s: float = 0.0
    n_events: int = 0
    detail: str = ""
    is_over_bound: bool = False
    is_disconnected: bool = False
    is_silent: bool = False
    is_end_marked: bool = True
    n_incomplete_bytes: int = 0
    is_position_known: bool = True
    limit_per_s: float | None = None
    is_held: bool = False
    is_server_reached: bool = True
    longest_gap_s: float = 0.0


@attrs.frozen
class ProbeEnded:
    """The attempt to connect to a backend server has ended.

    Parameters
    ----------
    server_id : str
    start_time_ms : int
        Of the server's registration.
    is_connected : bool
    """

    server_id: str
    start_time_ms: int
    is_connected: bool


@attrs.frozen
class ServerReached:
    """A connection was made to an address to which none had lasted until then.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    address: str


@attrs.frozen
class LinkUp:
    """A link to another daemon was opened."""

    entry: ingress.EntryVm


@attrs.frozen
class LinkDown:
    """The link to another daemon closed or failed to open.

    Parameters
    ----------
    vm : str
    incarnation : str
        Of the daemon; empty when unknown.
    """

    vm: str
    incarnation: str = ""


@attrs.frozen
class PeerSaid:
    """Another daemon sent a message."""

    vm: str
    message: effects.PeerMessage


@attrs.frozen
class StopAsked:
    """A planned stop was requested.

    Parameters
    ----------
    serve_s : float
        Time within which open requests must get their final answer.
    """

    serve_s: float = math.inf


@attrs.frozen
class Tick:
    """Periodic timer event."""


Event = (
    TableRead
    | ConfigurationProven
    | ServersRead
    | EntriesRead
    | EvacuationsRead
    | CrashReportsRead
    | StreamsRead
    | StoreContact
    | StoreChecked
    | RequestArrived
    | CallerGone
    | ServerSaid
    | AttemptBegan
    | AttemptWentOn
    | AttemptSilent
    | AttemptEnded
    | ProbeEnded
    | ServerReached
    | LinkUp
    | LinkDown
    | PeerSaid
    | StopAsked
    | Tick
)
