"""Control messages between daemons.

Each message is sent as one CBOR array in one websocket message. Its frame carries the
sender's configuration revision, so that a daemon with an older revision requests the
changes that it lacks.

See Also
--------
bilberryridge.peers.codec : encodes and decodes them.
"""

import attrs

from bilberryridge.core import documents


@attrs.frozen
class Frame:
    """A message and the state of its sender.

    Parameters
    ----------
    sender : str
        VM name.
    incarnation : str
        Identifies one run of the sending daemon; new at every start.
    revision : int
        Configuration revision up to which the sender has every document.
    body : Message
    """

    sender: str
    incarnation: str
    revision: int
    body: "Message"


@attrs.frozen
class ServerLoad:
    """The load that a backend server reported.

    Parameters
    ----------
    server : str
        VM name.
    n_running, n_waiting : int
        Requests that it runs and that wait in its queue.
    """

    server: str
    n_running: int
    n_waiting: int


@attrs.frozen
class ServiceSummary:
    """Slots and load of one service in a failure domain, with their age.

    Parameters
    ----------
    domain, service : str
    n_slots : int
        Total of the live servers; 0 when there are none.
    n_busy, n_waiting : int
        Requests that run and that wait there.
    age_s : float
        Time since the loads were read.
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
        Whether the sender is stopping and accepts no new callers.
    n_open : int
        Requests open at the sender.
    is_watching_store : bool
        Whether the sender receives changes directly from the store.
    """

    is_leaving: bool
    n_open: int
    is_watching_store: bool = False


@attrs.frozen
class LoadDelta:
    """Changed loads of the servers that the sender polls for its domain.

    Parameters
    ----------
    age_ms : int
        Time since the oldest of the loads was read.
    loads : tuple of ServerLoad
    """

    age_ms: int
    loads: tuple[ServerLoad, ...]


@attrs.frozen
class ServiceCapacity:
    """Slots and load of one service in a failure domain; see `ServiceSummary`."""

    service: str
    n_slots: int
    n_busy: int
    n_waiting: int


@attrs.frozen
class DomainSummary:
    """Changed capacities of one failure domain.

    Parameters
    ----------
    domain : str
    age_ms : int
        Time since the oldest of the loads was read.
    capacities : tuple of ServiceCapacity
    """

    domain: str
    age_ms: int
    capacities: tuple[ServiceCapacity, ...]


@attrs.frozen
class DomainSummaries:
    """Capacities of the sender's domain, or of remote domains that it relays."""

    domains: tuple[DomainSummary, ...]


@attrs.frozen
class ConfigurationRequest:
    """Requests the document versions after `after_revision`."""

    after_revision: int


@attrs.frozen
class ConfigurationChanges:
    """Versions in (`after_revision`, `complete_revision`], only the newest of a key."""

    after_revision: int
    complete_revision: int
    versions: tuple[documents.Version, ...]


@attrs.frozen
class OutcomeCopy:
    """The stored outcome of a request that ran under an idempotency key.

    Parameters
    ----------
    scope : str
        Organisation and idempotency key.
    body_digest : bytes
        SHA-256 digest of the request that used the key.
    status : int
    headers : tuple of (str, str)
    body : bytes
        At most `bilberryridge.decisions.at_most_once.MAX_STORED_BODY_BYTES`.
    remaining_s : float
        Time until it may be deleted.
    """

    scope: str
    body_digest: bytes
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining_s: float


@attrs.frozen
class OutcomeRequest:
    """Requests an outcome; the reply is an `OutcomeCopy` or an `OutcomeMissing`."""

    scope: str


@attrs.frozen
class OutcomeMissing:
    """The sender holds no copy of that outcome."""

    scope: str


@attrs.frozen
class LeavingServers:
    """Backend servers that accept no new requests, as seen by the sender."""

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
