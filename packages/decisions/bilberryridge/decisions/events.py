"""Events that a node handles.

See Also
--------
bilberryridge.decisions.effects : what a node returns for an event.
"""

import enum

import attrs

from bilberryridge.core import documents, messages, requests


class AttemptResult(enum.Enum):
    """How an attempt ended."""

    COMPLETE = "whole"
    """A complete answer was received; it was passed to the caller or is held for it."""
    NOT_SENT = "not_sent"
    """No byte of the request was sent: no connection was established."""
    REFUSED = "refused"
    """The receiver answered that it did not run the request."""
    FAILED = "failed"
    """A complete answer with a server error; the request may or may not have run."""
    LOST = "lost"
    """Sent, but the answer is missing, truncated, blank or of another request."""
    TIMED_OUT = "timed_out"
    """Sent, but not answered before the deadline."""
    CANCELLED = "cancelled"
    """Aborted because the caller left or the node cancelled it."""


@attrs.frozen
class RequestArrived:
    """A complete request was received from a caller or forwarded by a daemon."""

    req: requests.Request


@attrs.frozen
class EntryAsked:
    """A caller asks which entry VMs to use."""

    request_id: str
    caller_digest: str


@attrs.frozen
class ModelsAsked:
    """A caller asks for the model services it may use."""

    request_id: str
    caller_digest: str


@attrs.frozen
class StoredAnswer:
    """A complete plain answer, stored for retries with the same idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class AttemptBegan:
    """The first content of an attempt was received and is committed to the caller.

    Parameters
    ----------
    request_id : str
    attempt : int
    waited_s : float
        Time since the attempt was sent.
    """

    request_id: str
    attempt: int
    waited_s: float


@attrs.frozen
class AttemptEnded:
    """An attempt ended; no other event of it follows.

    Parameters
    ----------
    request_id : str
    attempt : int
    result : AttemptResult
    status : int
        HTTP status; 0 if there was none.
    is_committed : bool
        Whether any part of the answer was passed to the caller.
    retry_after_s : float or None
        As requested by the receiver.
    answer : StoredAnswer or None
        The complete answer, for a request that must run at most once.
    n_output_tokens : int
    """

    request_id: str
    attempt: int
    result: AttemptResult
    status: int = 0
    is_committed: bool = False
    retry_after_s: float | None = None
    answer: StoredAnswer | None = None
    n_output_tokens: int = 0


@attrs.frozen
class CallerGone:
    """The caller disconnected before its answer was complete."""

    request_id: str


class ClaimResult(enum.Enum):
    """Result of a claim in the store."""

    HELD = "held"
    TAKEN = "taken"
    UNREACHABLE = "unreachable"


@attrs.frozen
class ClaimAnswered:
    """The store's answer to `effects.Claim`.

    Parameters
    ----------
    request_id : str
    result : ClaimResult
    holder : str
        ``<vm>/<incarnation>`` that holds the claim, if held or taken.
    """

    request_id: str
    result: ClaimResult
    holder: str = ""


@attrs.frozen
class PeerUp:
    """An authenticated connection to another daemon is open."""

    vm: str
    incarnation: str


@attrs.frozen
class PeerDown:
    """The last connection to the daemon was closed."""

    vm: str


@attrs.frozen
class PeerSaid:
    """A control message of another daemon was received."""

    frame: messages.Frame


@attrs.frozen
class ConfigurationRead:
    """The store's answer to a read or a watch.

    Parameters
    ----------
    after_revision : int
        The versions cover the changes in (`after_revision`, `complete_revision`]; 0
        means that they are the complete state.
    complete_revision : int
    versions : tuple of Version
    """

    after_revision: int
    complete_revision: int
    versions: tuple[documents.Version, ...]


@attrs.frozen
class StoreReachable:
    """Whether the last call to the store was answered."""

    is_reachable: bool


class VmState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class VmListRead:
    """The platform's list of VMs was read completely; it lags behind the VMs."""

    states: tuple[tuple[str, VmState], ...]


@attrs.frozen
class LoadRead:
    """The load report of a backend server was read, or could not be read.

    Parameters
    ----------
    server : str
    n_running, n_waiting : int
    is_answering : bool
    """

    server: str
    n_running: int = 0
    n_waiting: int = 0
    is_answering: bool = True


@attrs.frozen
class Tick:
    """Time has passed; sent every `TICK_INTERVAL_S`."""


@attrs.frozen
class StopAsked:
    """A planned stop was requested: refuse new callers, finish open requests."""


TICK_INTERVAL_S = 0.05

Event = (
    RequestArrived
    | EntryAsked
    | ModelsAsked
    | AttemptBegan
    | AttemptEnded
    | CallerGone
    | ClaimAnswered
    | PeerUp
    | PeerDown
    | PeerSaid
    | ConfigurationRead
    | StoreReachable
    | VmListRead
    | LoadRead
    | Tick
    | StopAsked
)
