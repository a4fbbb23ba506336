"""Control messages between daemons.

Each is sent as one CBOR array ``[name, field, ...]`` in a websocket message. Every
message carries the sender's configuration revision in its frame, so that the one
behind fetches what it lacks.

See Also
--------
bilberryridge.peers.codec : turns them into bytes and back.
"""

import attrs

from bilberryridge.core import documents


@attrs.frozen
class Frame:
    """A message with its sender.

    Parameters
    ----------
    sender : str
        VM name.
    incarnation : str
        Of the sending daemon; a new one at every start.
    revision : int
        Configuration revision up to which the sender is complete.
    body : Message
    """

    sender: str
    incarnation: str
    revision: int
    body: "Message"


@attrs.frozen
class ServerLoad:
    """What is known of one backend server.

    Parameters
    ----------
    server : str
        VM name.
    n_running, n_waiting : int
        Requests in work and in its queue.
    age_s : float
        Since the server reported it.
    is_failing : bool
        Whether the sender's traffic or probes find it failing.
    """

    server: str
    n_running: int
    n_waiting: int
    age_s: float
    is_failing: bool = False


@attrs.frozen
class ServiceSummary:
    """A failure domain's room for one service.

    Parameters
    ----------
    domain, service : str
    n_slots : int
        Of its live servers together; 0 when it has none.
    n_busy, n_waiting : int
        Requests in work and waiting there.
    age_s : float
    """

    domain: str
    service: str
    n_slots: int
    n_busy: int
    n_waiting: int
    age_s: float


@attrs.frozen
class Heartbeat:
    """Sent to each peer at a fixed interval.

    Parameters
    ----------
    is_leaving : bool
        Whether the sender takes no new callers.
    n_open : int
        Requests open at the sender.
    has_store : bool
        Whether the sender hears of changes from the store itself.
    """

    is_leaving: bool
    n_open: int
    has_store: bool = False


@attrs.frozen
class LoadDelta:
    """Loads of the servers that the sender watches for its domain."""

    loads: tuple[ServerLoad, ...]


@attrs.frozen
class Summaries:
    """What the sender knows of rooms of other domains and of its own."""

    summaries: tuple[ServiceSummary, ...]


@attrs.frozen
class ConfigurationWanted:
    """Asks for the versions after `after_revision`."""

    after_revision: int


@attrs.frozen
class ConfigurationChanges:
    """The versions in (`after_revision`, `complete_revision`], newest of each key."""

    after_revision: int
    complete_revision: int
    versions: tuple[documents.Version, ...]


@attrs.frozen
class OutcomeCopy:
    """The stored outcome of a request that ran under an idempotency key.

    Parameters
    ----------
    scope : str
        Organisation and key.
    body_digest : bytes
    status : int
    headers : tuple of (str, str)
    body : bytes
        At most `bilberryridge.decisions.once.MAX_STORED_BODY_BYTES`.
    remaining_s : float
        Until it may be forgotten.
    """

    scope: str
    body_digest: bytes
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_s: float


@attrs.frozen
class OutcomeWanted:
    """Asks for the copy of an outcome; answered with it or with `OutcomeMissing`."""

    scope: str


@attrs.frozen
class OutcomeMissing:
    """The sender holds no copy of that outcome."""

    scope: str


@attrs.frozen
class LeavingServers:
    """Backend servers that take no new work, as the sender knows them."""

    servers: tuple[str, ...]


Message = (
    Heartbeat
    | LoadDelta
    | Summaries
    | ConfigurationWanted
    | ConfigurationChanges
    | OutcomeCopy
    | OutcomeWanted
    | OutcomeMissing
    | LeavingServers
)
