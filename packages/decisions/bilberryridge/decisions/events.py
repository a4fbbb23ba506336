"""What happens to a node.

See Also
--------
bilberryridge.decisions.effects : what a node answers with.
"""

import enum

import attrs

from bilberryridge.core import documents, messages, requests


class AttemptResult(enum.Enum):
    """How an attempt ended."""

    COMPLETE = "whole"
    """The whole answer came in (and was handed to the caller, or is held for it)."""
    NOT_SENT = "not_sent"
    """No byte of the request left: the connection was never made."""
    REFUSED = "refused"
    """The other side answered that it did not run it."""
    FAILED = "failed"
    """A whole answer with a server error that says nothing of what ran."""
    LOST = "lost"
    """Sent, but the answer is missing, cut, blank or crossed."""
    TIMED_OUT = "timed_out"
    """Sent, and no answer in time."""
    CANCELLED = "cancelled"
    """Given up because the caller left or the node said so."""


@attrs.frozen
class RequestArrived:
    """A caller's request, whole, or one that another daemon sent on."""

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
    """A whole plain answer, kept for retries under the same idempotency key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class AttemptBegan:
    """The first content of an attempt came in and is committed to the caller.

    Parameters
    ----------
    request_id : str
    attempt : int
    waited_s : float
        Since the attempt was sent.
    """

    request_id: str
    attempt: int
    waited_s: float


@attrs.frozen
class AttemptEnded:
    """An attempt is over; it can bring nothing any more.

    Parameters
    ----------
    request_id : str
    attempt : int
    result : AttemptResult
    status : int
        HTTP status; 0 when there was none.
    is_committed : bool
        Whether any of it reached the caller.
    retry_after_s : float or None
        As the other side asked.
    answer : StoredAnswer or None
        For a request that may not repeat: the whole answer.
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
    """The caller hung up before its answer was whole."""

    request_id: str


class ClaimResult(enum.Enum):
    """What the store says of a claim."""

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
        ``<vm>/<incarnation>`` that holds the claim, when held or taken.
    """

    request_id: str
    result: ClaimResult
    holder: str = ""


@attrs.frozen
class PeerUp:
    """A proven connection to another daemon is open."""

    vm: str
    incarnation: str


@attrs.frozen
class PeerDown:
    """No connection to that daemon is left."""

    vm: str


@attrs.frozen
class PeerSaid:
    """A control message of another daemon."""

    frame: messages.Frame


@attrs.frozen
class ConfigurationRead:
    """The store's answer to a read or a watch.

    Parameters
    ----------
    after_revision : int
        The versions cover (`after_revision`, `complete_revision`]; 0 for all.
    complete_revision : int
    versions : tuple of Version
    """

    after_revision: int
    complete_revision: int
    versions: tuple[documents.Version, ...]


@attrs.frozen
class StoreReachable:
    """Whether the last call to the store got an answer."""

    is_reachable: bool


class VmState(enum.Enum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class VmListRead:
    """The platform's lagging list, whole."""

    states: tuple[tuple[str, VmState], ...]


@attrs.frozen
class LoadRead:
    """The load report of a backend server, or that it could not be read.

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
    """Time passed; sent every `TICK_INTERVAL_S`."""


@attrs.frozen
class StopAsked:
    """A planned stop: take no new caller, finish what is open."""


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
