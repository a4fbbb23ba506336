"""Routes by host and path, and the backend servers behind them.

They describe a deployment whose operator writes the routing table as one document and
whose backend servers register themselves.
"""

import enum
from collections.abc import Mapping

import attrs


class RequestKind(enum.Enum):
    """Whether the requests of a route may be repeated, and whether they stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class TrafficShare:
    """A service that receives a share of a route's requests.

    Parameters
    ----------
    service : str
    weight : float
        Relative to the weights of the other services of the route.
    """

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """How requests of one host and path prefix are handled.

    Parameters
    ----------
    name : str
    host : str
    path_prefix : str
        Begins and ends with a slash.
    kind : RequestKind
    shares : tuple of TrafficShare
    timeout_s : float
        Maximum time that a caller waits for the answer.
    latency_goal_s : float
        Target time until the complete answer, or until the first event of a stream.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Maximum number of backend servers that one request is sent to.
    allowed_regions : frozenset of str
        Regions that may serve it; empty for all.
    is_resumable : bool
        Whether a stream may be resumed at another backend server.
    is_public : bool
        Whether requests need no key where the table names organisations.
    max_event_gap_s : float or None
        Longest pause between two events of a stream that is still on time; None if
        the operator names none.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[TrafficShare, ...]
    timeout_s: float
    latency_goal_s: float
    priority: int = 0
    max_attempts: int = 1
    allowed_regions: frozenset[str] = frozenset()
    is_resumable: bool = False
    is_public: bool = False
    max_event_gap_s: float | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.SAFE

    def allows(self, region: str) -> bool:
        """Return whether backend servers of a region may serve the route."""
        return not self.allowed_regions or region in self.allowed_regions


@attrs.frozen
class Engine:
    """Limits of the model engines of a service.

    Parameters
    ----------
    n_slots : int
        Maximum number of requests in one batch.
    n_memory_tokens : int
        Capacity of the key-value cache, shared by running requests and cached
        prompt parts.
    n_tokens_per_event : int
        Tokens in one event of a stream.
    """

    n_slots: int
    n_memory_tokens: int
    n_tokens_per_event: int = 1


@attrs.frozen
class Service:
    """A service and the limits of its backend servers.

    Parameters
    ----------
    name : str
    warmup_s : float
        Duration of the warm-up of a backend server after its start.
    warmup_requests_per_s : float
        Request rate that a backend server handles during its warm-up; 0 for no limit.
    max_connections : int
        Connections that one backend server accepts from all daemons together.
    engine : Engine or None
        None for a plain service.
    """

    name: str
    warmup_s: float = 0.0
    warmup_requests_per_s: float = 0.0
    max_connections: int = 100
    engine: Engine | None = None


@attrs.frozen
class CallerLimits:
    """Size limits and time limits for the requests of callers."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class QuotaUnit(enum.Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@attrs.frozen
class Quota:
    """What an organisation may use, over all daemons together.

    Parameters
    ----------
    rate_per_s : float
        In units a second.
    burst : float
        Units that may be used at once after a time without use.
    unit : QuotaUnit
    n_plain_tokens : int
        Tokens that a request counts for if it doesn't state its own number.

    Examples
    --------
    >>> quota = Quota(1e6, 1e6, QuotaUnit.TOKENS, n_plain_tokens=200)
    >>> quota.cost(12_400), quota.cost(None)
    (12400.0, 200.0)
    >>> Quota(10.0, 20.0).cost(12_400)
    1.0
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    n_plain_tokens: int = 1

    def cost(self, n_stated_tokens: int | None) -> float:
        """Return the units that a request counts for."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return float(
            self.n_plain_tokens if n_stated_tokens is None else n_stated_tokens
        )


@attrs.frozen
class Organisation:
    """Callers that share keys, a quota and allowed regions.

    Parameters
    ----------
    name : str
    key_digests : frozenset of bytes
        SHA-256 of each of its keys; the keys themselves are not kept.
    allowed_regions : frozenset of str
        Regions that may serve it; empty for all.
    priority : int or None
        Takes precedence over the priority of the route; None if it has none.
    quota : Quota or None
        None for no limit.
    """

    name: str
    key_digests: frozenset[bytes] = attrs.field(default=frozenset(), repr=False)
    allowed_regions: frozenset[str] = frozenset()
    priority: int | None = None
    quota: Quota | None = None

    def allows(self, region: str) -> bool:
        """Return whether backend servers of a region may serve the organisation."""
        return not self.allowed_regions or region in self.allowed_regions


@attrs.frozen
class RoutingTable:
    """One version of the routes, services and organisations.

    Parameters
    ----------
    version : int
        Increases with each change.
    routes : tuple of Route
    services : mapping of str to Service
    limits : CallerLimits
    organisations : tuple of Organisation
        Empty if requests need no key. A key that several hold is that of the first.

    Examples
    --------
    >>> def route(prefix):
    ...     return Route(prefix, "a", prefix, RequestKind.SAFE, (), 1.0, 1.0)
    >>> table = RoutingTable(1, (route("/"), route("/b/")), {})
    >>> table.find("a", "/b/c").path_prefix, table.find("a", "/bc").path_prefix
    ('/b/', '/')
    >>> table.find("c", "/b/c") is None
    True
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = CallerLimits()
    organisations: tuple[Organisation, ...] = ()
    _by_host: dict[str, list[Route]] = attrs.field(init=False, repr=False, eq=False)
    _by_key: dict[bytes, Organisation] = attrs.field(init=False, repr=False, eq=False)
    _event_gaps_s: dict[str, float] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        """Sort the routes of each host by the length of the prefix, longest first."""
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda r: -len(r.path_prefix)):
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, "_by_host", by_host)
        by_key = {
            digest: organisation
            for organisation in reversed(self.organisations)
            for digest in organisation.key_digests
        }
        object.__setattr__(self, "_by_key", by_key)
        object.__setattr__(self, "_event_gaps_s", _shortest_event_gaps_s(self.routes))

    def event_gap_s(self, service: str) -> float | None:
        """Return the shortest pause that any route of a service sets as its limit.

        None if no route does.
        """
        return self._event_gaps_s.get(service)

    def organisation_of_key(self, key_digest: bytes) -> Organisation | None:
        """Return the organisation that holds a key; None if no organisation does."""
        return self._by_key.get(key_digest)

    def routes_for_host(self, host: str) -> list[Route]:
        """Return the routes of a host, the longest prefix first."""
        return self._by_host.get(host, [])

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; None if there is none."""
        for route in self.routes_for_host(host):
            if path.startswith(route.path_prefix):
                return route
        return None


def _shortest_event_gaps_s(routes: tuple[Route, ...]) -> dict[str, float]:
    gaps_s: dict[str, float] = {}
    for route in routes:
        if route.max_event_gap_s is None:
            continue
        for share in route.shares:
            before_s = gaps_s.get(share.service, route.max_event_gap_s)
            gaps_s[share.service] = min(before_s, route.max_event_gap_s)
    return gaps_s


@attrs.frozen
class BackendServer:
    """The registration of a backend server.

    Parameters
    ----------
    id : str
    service : str
    address : str
        ``host:port``.
    domain : str
        Name of its failure domain.
    n_slots : int
        Requests that it runs concurrently.
    is_leaving : bool
        Whether it accepts no new requests.
    remaining_s : float or None
        Time until it stops, if it announced a stop at short notice.
    warmup_remaining_s : float
        Rest of its warm-up at the time of the registration.
    start_time_ms : int
        Unix time of its start; distinguishes restarts under the same id. 0 when
        unknown.
    version : str
        Of its software. What two versions write of one answer doesn't fit together.
    """

    id: str
    service: str
    address: str
    domain: str
    n_slots: int = 1
    is_leaving: bool = False
    remaining_s: float | None = None
    warmup_remaining_s: float = 0.0
    start_time_ms: int = 0
    version: str = ""

    @property
    def start_name(self) -> str:
        """Name of this start of the server."""
        return f"{self.id}.{self.start_time_ms}"


@attrs.frozen
class EntryVm:
    """The registration of an entry VM by its daemon.

    Parameters
    ----------
    name : str
    incarnation : str
        Identifies one run of its daemon; new at every start.
    domain, region : str
    caller_address, relay_address, peer_address : str
        ``host:port`` for callers, for forwarded requests and for control messages.
    """

    name: str
    incarnation: str
    domain: str
    region: str
    caller_address: str
    relay_address: str
    peer_address: str


@attrs.frozen
class PromptPart:
    """A part of a prompt that several requests may have in common.

    Parameters
    ----------
    id : str
        The same in all requests that share the part.
    n_tokens : int
    """

    id: str
    n_tokens: int


N_UNSHARED_PARTS = 1
"""Number of last prompt parts that no other request shares; all parts before are
shared."""


@attrs.frozen
class Prompt:
    """Properties of a model request that are known without reading its body.

    Parameters
    ----------
    n_tokens : int
    n_answer_tokens : int
        Expected length of the answer.
    parts : tuple of PromptPart
        In order; the last part belongs to this request only.
    """

    n_tokens: int
    n_answer_tokens: int
    parts: tuple[PromptPart, ...] = ()

    def after(self, n_written_tokens: int) -> "Prompt":
        """Return what is left once a part of the answer is written.

        A server that continues the answer reads that part beside the prompt.
        """
        return attrs.evolve(
            self,
            n_tokens=self.n_tokens + n_written_tokens,
            n_answer_tokens=max(0, self.n_answer_tokens - n_written_tokens),
        )

    @property
    def n_unshared_tokens(self) -> int:
        """Number of tokens that are not part of a shared prompt part."""
        n_shared = sum(part.n_tokens for part in self.shared_parts)
        return max(0, self.n_tokens - n_shared)

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have in common."""
        return self.parts[:-N_UNSHARED_PARTS]


@attrs.frozen
class StreamOrigin:
    """What the beginning of a stream was written by; nothing else can continue it.

    Parameters
    ----------
    service : str
    version : str
        Version of the backend server's software.
    """

    service: str
    version: str


@attrs.frozen
class Request:
    """A caller's request without its body, the input of the decisions.

    Parameters
    ----------
    id : str
        Unique within the daemon.
    caller_request_id : str
        Id of the request chosen by the caller; for logs.
    host, path : str
    caller_timeout_s : float
        How long the caller waits for the answer.
    prompt : Prompt or None
    is_relayed : bool
        Whether another daemon forwarded it; it is then not forwarded again.
    table_version : int
        Routing table version that the forwarding daemon used; 0 if not relayed.
    content_id : str
        The same for all requests with the same credentials, target and body; empty if
        unknown.
    last_event_id : str
        Last event that the caller has of the stream that it takes up; empty for a new
        stream.
    taken_up_id : str
        `caller_request_id` of the request that brought the first event of that stream.
    origin : StreamOrigin or None
        Of the stream that it continues; None for a new one, or while it is unknown.
    n_received_events : int
        Events that the caller already has of that stream, as far as known.
    key_digest : bytes
        SHA-256 of the caller's key; empty if it sent none that is well-formed.
    n_stated_tokens : int or None
        Prompt and answer tokens for which the request counts in a quota; None if
        the caller states none.
    """

    id: str
    caller_request_id: str
    host: str
    path: str
    caller_timeout_s: float
    prompt: Prompt | None = None
    is_relayed: bool = False
    table_version: int = 0
    content_id: str = ""
    last_event_id: str = ""
    taken_up_id: str = ""
    origin: StreamOrigin | None = None
    n_received_events: int = 0
    key_digest: bytes = attrs.field(default=b"", repr=False)
    n_stated_tokens: int | None = None
