"""Effects: actions that a node requests from the tasks around it.

See Also
--------
bilberryridge.decisions.events : what the tasks report back.
"""

import attrs

from bilberryridge.core import messages, outcomes, requests
from bilberryridge.decisions import events


@attrs.frozen
class SendAttempt:
    """Send the request to a backend server or another daemon, as one attempt.

    Parameters
    ----------
    request_id : str
    attempt : int
        Number of the attempt; 1 for the first.
    vm : str
        Name of the backend server, or of the daemon that it is forwarded to.
    address : str
        ``host:port``.
    envelope : Envelope or None
        Set if `vm` is a daemon; then the request goes to its relay address.
    deadline_s : float
        Monotonic time at which the attempt is abandoned.
    first_byte_deadline_s : float
        Monotonic time at which it is abandoned if no byte was received.
    is_at_most_once : bool
        Whether the request must not run more than once. It is then sent on a new
        connection that is never reused, and the deadline is checked once more just
        before the first byte is sent.
    has_content : bool
        Whether a successful answer without content counts as lost.
    trace_parent : str
        W3C `traceparent` for the receiver; empty to forward the request's own.
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
    """Abort an attempt and release its receiver; no `AttemptEnded` follows."""

    request_id: str
    attempt: int


@attrs.frozen
class Refuse:
    """Answer the caller with a refusal, as its final answer."""

    request_id: str
    refusal: outcomes.Refusal


@attrs.frozen
class PassAnswer:
    """Pass the last attempt's answer to the caller, also if it is a server error."""

    request_id: str


@attrs.frozen
class AnswerStored:
    """Answer with a stored outcome."""

    request_id: str
    answer: events.StoredAnswer


@attrs.frozen
class EntryVm:
    """An entry VM as listed in an entry answer."""

    vm: str
    domain: str
    region: str
    address: str


@attrs.frozen
class AnswerEntry:
    """Answer which entry VMs to use, the best first.

    Parameters
    ----------
    request_id : str
    entry_vms : tuple of EntryVm
    holds_s : float
        Time for which the caller may use the answer.
    key_prefix : str
        This daemon owns all idempotency keys that begin with it, so they need no
        claim in the store.
    key_prefix_holds_s : float
        Time for which the caller may create new keys with the prefix.
    """

    request_id: str
    entry_vms: tuple[EntryVm, ...]
    holds_s: float
    key_prefix: str
    key_prefix_holds_s: float


@attrs.frozen
class AnswerModels:
    """Answer with the model services that the caller may use."""

    request_id: str
    models: tuple[str, ...]


@attrs.frozen
class SendPeerMessage:
    """Send a control message to another daemon; lost if it can't be reached.

    Parameters
    ----------
    vm : str
    revision : int
        Configuration revision of this daemon, sent along in the frame.
    body : Message
    """

    vm: str
    revision: int
    body: messages.Message


@attrs.frozen
class ConnectPeers:
    """Keep control connections to exactly these daemons; close all others."""

    vms: tuple[tuple[str, str], ...]
    """Pairs of VM name and peer address."""


@attrs.frozen
class WatchStore:
    """Start or stop watching the store.

    Parameters
    ----------
    is_wanted : bool
        Whether this daemon has to watch the store.
    after_revision : int
        Revision after which the watch begins.
    """

    is_wanted: bool
    after_revision: int


@attrs.frozen
class Claim:
    """Create the claim in the store if it is absent, else read its holder.

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
    """Poll the load reports of exactly these backend servers."""

    servers: tuple[tuple[str, str], ...]


@attrs.frozen
class Count:
    """Increment a counter."""

    name: str
    labels: tuple[str, ...] = ()
    n: int = 1


@attrs.frozen
class LogStateChange:
    """Log a change of state."""

    what: str
    subject: str
    before: str
    after: str


@attrs.frozen
class Explain:
    """Record one step of a request and its reason, for `bilberryridge explain`."""

    request_id: str
    step: str
    why: str


@attrs.frozen
class StopAccepting:
    """Close the listeners and idle connections; open requests continue."""


@attrs.frozen
class Stopped:
    """Report that no request is open any more; the process may exit."""


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
