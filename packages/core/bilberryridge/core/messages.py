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
    """What a backend server reported.

    Parameters
    ----------
    server : str
        VM name.
    n_running, n_waiting : int
        Requests in work and in its queue.
    """

    server: str
    n_running: int
    n_waiting: int


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
    is_watching_store : bool
        Whether the sender hears of changes from the store itself.
    """

    is_leaving: bool
    n_open: int
    is_watching_store: bool = False


@attrs.frozen
class LoadDelta:
    """Loads that changed, of the servers that the sender reads for its domain.

    Parameters
    ----------
    age_ms : int
        Since the oldest of them was read.
    loads : tuple of ServerLoad
    """

    age_ms: int
    loads: tuple[ServerLoad, ...]


@attrs.frozen
class ServiceCapacity:
    """A failure domain's room for one service; see `ServiceSummary`."""

    service: str
    n_slots: int
    n_busy: int
    n_waiting: int


@attrs.frozen
class DomainSummary:
    """Rooms of one failure domain that changed.

    Parameters
    ----------
    domain : str
    age_ms : int
    capacities : tuple of ServiceCapacity
    """

    domain: str
    age_ms: int
    capacities: tuple[ServiceCapacity, ...]


@attrs.frozen
class DomainSummaries:
    """Rooms of the sender's domain, or of others that it heard of from outside."""

    domains: tuple[DomainSummary, ...]


@attrs.frozen
class ConfigurationRequest:
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
        At most `bilberryridge.decisions.at_most_once.MAX_STORED_BODY_BYTES`.
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
class OutcomeRequest:
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
    | DomainSummaries
    | ConfigurationRequest
    | ConfigurationChanges
    | OutcomeCopy
    | OutcomeRequest
    | OutcomeMissing
    | LeavingServers
)
