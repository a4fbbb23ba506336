"""What happens to an ingress node."""

import enum

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import load_messages


@attrs.frozen
class TableRead:
    """A version of the routing table was read."""

    table: ingress.RoutingTable


@attrs.frozen
class ServersRead:
    """The registered backend servers, all of them.

    Parameters
    ----------
    servers : tuple of BackendServer
    is_settled : bool
        False while servers that are missing may only have lapsed in an outage of the
        store.
    """

    servers: tuple[ingress.BackendServer, ...]
    is_settled: bool = True


@attrs.frozen
class EntriesRead:
    """The registered entry VMs, all of them; `is_settled` as for the servers."""

    entries: tuple[ingress.EntryVm, ...]
    is_settled: bool = True


@attrs.frozen
class EvacuationsRead:
    """The failure domains whose backend servers are to get nothing."""

    domains: frozenset[str]


@attrs.frozen
class RequestArrived:
    """A whole request was read."""

    req: ingress.Request


@attrs.frozen
class CallerGone:
    """Nobody waits for the answer any more."""

    request_id: str


class AttemptResult(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    """A whole answer is held, or a stream was passed on to its end."""
    NOT_RUN = "not run"
    """The other side says that it did not run the request."""
    NOT_SENT = "not sent"
    """No connection; no byte went out."""
    LOST = "lost"
    """The connection ended without a whole answer."""
    SPOILED = "spoiled"
    """What came is no answer to this request."""


@attrs.frozen
class ServerLoad:
    """What a backend server says of its load.

    Parameters
    ----------
    n_running, n_waiting, n_slots : int
    """

    n_running: int
    n_waiting: int
    n_slots: int


@attrs.frozen
class AttemptBegan:
    """The first bytes of an answer came in.

    Parameters
    ----------
    request_id : str
    attempt_id : int
    is_committed : bool
        Whether they are passed on to the caller at once.
    """

    request_id: str
    attempt_id: int
    is_committed: bool = False


@attrs.frozen
class AttemptEnded:
    """An attempt is over.

    Parameters
    ----------
    request_id : str
    attempt_id : int
    result : AttemptResult
    status : int
        Of the answer, if one was read.
    is_committed : bool
        Whether a part of the answer was passed on to the caller.
    is_misdirected : bool
        Whether another server answered at this address.
    load : ServerLoad or None
    retry_after_s : float or None
        When to come back, as the other side says.
    first_s, took_s : float
        Time from the send to the first bytes, and to the end; 0 where none came.
    n_events : int
        Of a stream, passed on by this attempt.
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


@attrs.frozen
class LinkUp:
    """A link to another daemon is open."""

    entry: ingress.EntryVm


@attrs.frozen
class LinkDown:
    """The link to another daemon ended, or can't be opened."""

    vm: str
    incarnation: str = ""


@attrs.frozen
class PeerSaid:
    """Another daemon told its loads."""

    vm: str
    message: load_messages.DaemonLoads | load_messages.RegionLoads


@attrs.frozen
class StopAsked:
    """A planned stop begins."""


@attrs.frozen
class Tick:
    """Some time has passed."""


Event = (
    TableRead
    | ServersRead
    | EntriesRead
    | EvacuationsRead
    | RequestArrived
    | CallerGone
    | AttemptBegan
    | AttemptEnded
    | LinkUp
    | LinkDown
    | PeerSaid
    | StopAsked
    | Tick
)
