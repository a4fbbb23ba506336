"""The typed documents of the configuration.

Each document is small and is stored under a key ``<kind>/<name>``; the revision of the
store orders the versions of one key.

See Also
--------
bilberryridge.decisions.replica : holds a daemon's copy of the documents.
"""

import enum

import attrs


class ServiceKind(enum.Enum):
    """Which kind of backend server answers a service's requests."""

    MODEL = "model"
    PLAIN = "plain"


class VmKind(enum.Enum):
    """The role of a VM."""

    ENTRY = "entry"
    SERVER = "server"


@attrs.frozen
class Domain:
    """A failure domain: entry VMs and backend servers of one region that fail together.

    Parameters
    ----------
    name, region : str
    """

    name: str
    region: str


@attrs.frozen
class Vm:
    """An entry VM or the VM of a backend server.

    Parameters
    ----------
    name : str
        Stays the same when the VM is replaced.
    kind : VmKind
    domain : str
        Name of its failure domain.
    address : str
        ``host:port`` for callers (entry VM) or for attempts (backend server).
    relay_address : str
        ``host:port`` for requests forwarded by other daemons; entry VMs only.
    peer_address : str
        ``host:port`` for control messages of other daemons; entry VMs only.
    operators_address : str
        ``host:port`` for operators; entry VMs only.
    service : str
        Name of the service that a backend server runs; empty for an entry VM.
    n_slots : int
        Requests that a backend server runs concurrently.
    tokens_per_s : float
        Tokens generated per second with all slots busy; 0 for a plain service.
    checks_fencing : bool
        Whether the server refuses an attempt with an outdated fencing number.
    is_draining : bool
        Whether operators drain it: no new requests, open ones are finished.
    """

    name: str
    kind: VmKind
    domain: str
    address: str
    relay_address: str = ""
    peer_address: str = ""
    operators_address: str = ""
    service: str = ""
    n_slots: int = 16
    tokens_per_s: float = 0.0
    checks_fencing: bool = False
    is_draining: bool = False


@attrs.frozen
class Service:
    """A model service or a plain service.

    Parameters
    ----------
    name : str
        For a model service also the model's name in requests.
    kind : ServiceKind
    regions : tuple of str
        Regions where its data may be served or processed.
    idempotent_methods : tuple of str
        Methods whose requests may be retried; others run at most once.
    key_required : bool
        Whether a request that must not be repeated needs an idempotency key.
    server_checks_keys : bool
        Whether its backend servers themselves run a request at most once for an
        idempotency key.
    has_content : bool
        Whether every successful answer has content, so that an empty one is a
        failure.
    deadline_s : float
        Time from arrival to the complete answer.
    first_byte_deadline_s : float
        Time from sending an attempt to the first byte of its answer.
    """

    name: str
    kind: ServiceKind
    regions: tuple[str, ...]
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    key_required: bool = True
    server_checks_keys: bool = False
    has_content: bool = True
    deadline_s: float = 30.0
    first_byte_deadline_s: float = 10.0


@attrs.frozen
class Organisation:
    """Callers that share limits and a home region.

    Parameters
    ----------
    name : str
    home_region : str
    regions : tuple of str
        Regions where its data may be served or processed; empty for all.
    token_digests : tuple of str
        Hexadecimal SHA-256 digests of its callers' bearer tokens.
    weight : float
        Its share of a domain's capacity relative to other organisations.
    """

    name: str
    home_region: str
    regions: tuple[str, ...] = ()
    token_digests: tuple[str, ...] = ()
    weight: float = 1.0


@attrs.frozen
class Link:
    """The network link between two regions, or between the domains of one region.

    Parameters
    ----------
    a, b : str
        Regions; twice the same name for the links between the domains of a region.
    one_way_ms : float
    megabits_per_s : float
        In each direction.
    """

    a: str
    b: str
    one_way_ms: float
    megabits_per_s: float = 1000.0


@attrs.frozen
class Weights:
    """Weights of the terms of the placement cost; each at least 0.

    Parameters
    ----------
    name : str
    tail_latency : float
        Cost of one second of expected latency.
    cost : float
        Cost of one second of server time, and weight of paid traffic.
    sent_away : float
        Cost of serving a request outside its home region.
    """

    name: str = "deployment"
    tail_latency: float = 1.0
    cost: float = 0.2
    sent_away: float = 0.2


Document = Domain | Vm | Service | Organisation | Link | Weights

KINDS: dict[str, type] = {
    "domain": Domain,
    "vm": Vm,
    "service": Service,
    "organisation": Organisation,
    "link": Link,
    "weights": Weights,
}


@attrs.frozen
class Version:
    """One stored version of a document.

    Parameters
    ----------
    key : str
        ``<kind>/<name>``.
    revision : int
        Store revision of the change.
    value : bytes
        JSON; empty for a tombstone.
    """

    key: str
    revision: int
    value: bytes

    @property
    def is_tombstone(self) -> bool:
        """Whether the change deleted the document."""
        return not self.value
