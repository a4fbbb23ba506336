"""The typed documents of the configuration.

Each document is small and has a key ``<kind>/<name>`` in the store; the store's
revision orders the versions of one key.

See Also
--------
bilberryridge.decisions.replica : holds the documents of a daemon.
"""

import enum

import attrs


class ServiceKind(enum.Enum):
    """What answers a service's requests."""

    MODEL = "model"
    PLAIN = "plain"


class VmKind(enum.Enum):
    """What a VM is for."""

    ENTRY = "entry"
    SERVER = "server"


@attrs.frozen
class Domain:
    """A failure domain: its own entry VMs and backend servers, in one region."""

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
        Its failure domain.
    address : str
        ``host:port`` for callers (entry VM) or for requests (backend server).
    relay_address : str
        ``host:port`` for requests forwarded by other daemons; entry VMs only.
    peer_address : str
        ``host:port`` for control messages of other daemons; entry VMs only.
    operators_address : str
        ``host:port`` for operators; entry VMs only.
    service : str
        The service that a backend server runs; empty for an entry VM.
    n_slots : int
        Requests that a backend server works on at once.
    tokens_per_s : float
        Tokens generated a second with all slots busy; 0 for a plain service.
    checks_fencing : bool
        Whether the server refuses an order with an old fencing number.
    is_draining : bool
        Whether operators take it out: no new work, what is open is finished.
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
        Methods whose requests may be sent again; others run at most once.
    key_required : bool
        Whether a request that may not repeat needs an idempotency key.
    server_checks_keys : bool
        Whether its backend servers run one idempotency key at most once themselves.
    has_content : bool
        Whether a successful answer without content is a failure.
    deadline_s : float
        Time for a whole answer, from arrival.
    first_byte_deadline_s : float
        Time an attempt has for its first byte.
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
    """Callers that share limits and a home.

    Parameters
    ----------
    name : str
    home_region : str
    regions : tuple of str
        Regions where its data may be served or processed; empty for all.
    token_digests : tuple of str
        Hexadecimal SHA-256 digests of its callers' bearer tokens.
    weight : float
        Its share of a domain's capacity against other organisations.
    """

    name: str
    home_region: str
    regions: tuple[str, ...] = ()
    token_digests: tuple[str, ...] = ()
    weight: float = 1.0


@attrs.frozen
class Link:
    """The wide-area link between two regions, or the one between domains of a region.

    Parameters
    ----------
    a, b : str
        Regions; the same name twice for the links between a region's domains.
    one_way_ms : float
    megabits_per_s : float
        Each way.
    """

    a: str
    b: str
    one_way_ms: float
    megabits_per_s: float = 1000.0


@attrs.frozen
class Weights:
    """What the deployment's operators weigh against each other; at least 0 each.

    Parameters
    ----------
    name : str
    tail_latency : float
        Price of one second of expected latency.
    cost : float
        Price of one second of server time and of traffic that is paid for.
    sent_away : float
        Price of leaving the home region.
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
    """One version of a document as the store holds it.

    Parameters
    ----------
    key : str
        ``<kind>/<name>``.
    revision : int
        The store's revision of the change.
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
