"""What a node wants done; carried out by the tasks around it.

See Also
--------
bilberryridge.decisions.events : what the tasks report back.
"""

import attrs

from bilberryridge.core import messages, outcomes, requests
from bilberryridge.decisions import events


@attrs.frozen
class SendAttempt:
    """Send the request once, on a fresh connection when it may not repeat.

    Parameters
    ----------
    request_id : str
    attempt : int
        1 for the first.
    vm : str
        Name of the backend server, or of the daemon it is sent on to.
    address : str
        ``host:port``.
    envelope : Envelope or None
        Set when `vm` is a daemon; then the request goes to its relay address.
    deadline_s : float
        Monotonic time at which the attempt is given up.
    first_byte_deadline_s : float
        The same for its first byte.
    is_at_most_once : bool
        Whether it may not repeat: a fresh connection that is never used again, and
        a last look at the deadline before the first byte leaves.
    has_content : bool
        Whether a successful answer without content counts as lost.
    trace_parent : str
        W3C `traceparent` for the other side; empty to pass on the request's own.
    """

    request_id: str
    attempt: int
    vm: str
    address: str
    envelope: requests.Envelope | None
    deadline_s: float
    first_byte_deadline_s: float
    is_at_most_once: bool
    has_content: bool
    trace_parent: str = ""


@attrs.frozen
class CancelAttempt:
    """Stop an attempt and free the other side; no `AttemptEnded` follows."""

    request_id: str
    attempt: int


@attrs.frozen
class Refuse:
    """Give the caller its final answer at once."""

    request_id: str
    refusal: outcomes.Refusal


@attrs.frozen
class PassAnswer:
    """Hand the caller the last attempt's own answer, a server error included."""

    request_id: str


@attrs.frozen
class AnswerStored:
    """Answer with a stored outcome."""

    request_id: str
    answer: events.StoredAnswer


@attrs.frozen
class EntryVm:
    """One entry VM in an entry answer."""

    vm: str
    domain: str
    region: str
    address: str


@attrs.frozen
class AnswerEntry:
    """Which entry VMs to use, the best first.

    Parameters
    ----------
    request_id : str
    entry_vms : tuple of EntryVm
    holds_s : float
        How long the answer holds.
    key_prefix : str
        Idempotency keys that begin with it need no store; it is owned by this daemon.
    key_prefix_holds_s : float
    """

    request_id: str
    entry_vms: tuple[EntryVm, ...]
    holds_s: float
    key_prefix: str
    key_prefix_holds_s: float


@attrs.frozen
class AnswerModels:
    """The model services that the caller may use."""

    request_id: str
    models: tuple[str, ...]


@attrs.frozen
class SendPeerMessage:
    """Send a control message to another daemon; lost when it can't be reached.

    Parameters
    ----------
    vm : str
    revision : int
        Configuration revision of this daemon, for the frame.
    body : Message
    """

    vm: str
    revision: int
    body: messages.Message


@attrs.frozen
class ConnectPeers:
    """The daemons to keep a control connection to, by name; drop all others."""

    vms: tuple[tuple[str, str], ...]
    """Pairs of VM name and peer address."""


@attrs.frozen
class WatchStore:
    """Whether this daemon is to hold the watch on the store.

    Parameters
    ----------
    is_wanted : bool
    after_revision : int
        Where the watch goes on.
    """

    is_wanted: bool
    after_revision: int


@attrs.frozen
class Claim:
    """Create the claim in the store if absent, else read who holds it.

    Parameters
    ----------
    request_id : str
    name : str
        Key in the store.
    holder : str
        ``<vm>/<incarnation>``.
    """

    request_id: str
    name: str
    holder: str


@attrs.frozen
class ReadLoads:
    """The backend servers whose load reports this daemon reads, with addresses."""

    servers: tuple[tuple[str, str], ...]


@attrs.frozen
class Count:
    """Add to a counter."""

    name: str
    labels: tuple[str, ...] = ()
    n: int = 1


@attrs.frozen
class LogStateChange:
    """A change of state worth a log line."""

    what: str
    subject: str
    before: str
    after: str


@attrs.frozen
class Explain:
    """One step of a request's way and why, for `bilberryridge explain`."""

    request_id: str
    step: str
    why: str


@attrs.frozen
class StopAccepting:
    """Close the listeners and idle connections; open requests go on."""


@attrs.frozen
class Stopped:
    """Nothing is open any more; the process may end."""


Effect = (
    SendAttempt
    | CancelAttempt
    | Refuse
    | PassAnswer
    | AnswerStored
    | AnswerEntry
    | AnswerModels
    | SendPeerMessage
    | ConnectPeers
    | WatchStore
    | Claim
    | ReadLoads
    | Count
    | LogStateChange
    | Explain
    | StopAccepting
    | Stopped
)
