"""Routes by host and path, and the backend servers behind them.

These are the documents of a deployment whose routing is written by its operator as a
whole and whose backend servers register themselves.
"""

import enum
from collections.abc import Mapping

import attrs


class RequestKind(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class TrafficShare:
    """A service that takes a part of a route's requests.

    Parameters
    ----------
    service : str
    weight : float
        Its part, against the weights of the route's other services.
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
        Longest time that a caller is kept waiting.
    latency_goal_s : float
        Time within which an answer, or a stream's first event, is of full use.
    priority : int
        Urgency; 0 is the most urgent.
    max_attempts : int
        Backend servers that one request may be sent to.
    allowed_regions : frozenset of str
        Regions that may serve it; empty for all.
    is_resumable : bool
        Whether a stream may go on at another backend server.
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

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.SAFE

    def allows(self, region: str) -> bool:
        """Whether the region's backend servers may serve it."""
        return not self.allowed_regions or region in self.allowed_regions


@attrs.frozen
class Engine:
    """Memory and batch of a service's model engines.

    Parameters
    ----------
    n_slots : int
        Requests in one batch.
    n_memory_tokens : int
        Tokens that running requests and cached prompt parts share.
    n_tokens_per_event : int
        Of a stream.
    """

    n_slots: int
    n_memory_tokens: int
    n_tokens_per_event: int = 1


@attrs.frozen
class Service:
    """A service.

    Parameters
    ----------
    name : str
    warmup_s : float
        How long a backend server is cold after its start.
    warmup_requests_per_s : float
        Requests a second that a cold backend server bears; 0 when it bears all.
    max_connections : int
        That one backend server accepts, from all daemons together.
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
    """What a caller may send, and how long it may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class RoutingTable:
    """One version of the routes and services.

    Parameters
    ----------
    version : int
        Rises with each change.
    routes : tuple of Route
    services : mapping of str to Service
    limits : CallerLimits

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
    _by_host: dict[str, list[Route]] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        """Sort the routes of each host, longest prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda r: -len(r.path_prefix)):
            by_host.setdefault(route.host, []).append(route)
        object.__setattr__(self, "_by_host", by_host)

    def routes_for_host(self, host: str) -> list[Route]:
        """Return the routes of a host, longest prefix first."""
        return self._by_host.get(host, [])

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self.routes_for_host(host):
            if path.startswith(route.path_prefix):
                return route
        return None


@attrs.frozen
class BackendServer:
    """A backend server as it registered itself.

    Parameters
    ----------
    id : str
    service : str
    address : str
        ``host:port``.
    domain : str
        Its failure domain.
    n_slots : int
        Requests that it works on at once.
    is_leaving : bool
    remaining_s : float or None
        Time until it is gone, where it leaves at short notice.
    warmup_remaining_s : float
        How much longer it is cold, when this was written.
    start_time_ms : int
        Unix time of its start; tells restarts under one id apart. 0 when unknown.
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


@attrs.frozen
class EntryVm:
    """An entry VM as its daemon registered it.

    Parameters
    ----------
    name : str
    incarnation : str
        New with each start of its daemon.
    domain, region : str
    caller_address, relay_address, peer_address : str
        ``host:port`` for callers, for requests of other daemons and for their messages.
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
    """A part of a prompt that requests may share.

    Parameters
    ----------
    id : str
    n_tokens : int
    """

    id: str
    n_tokens: int


@attrs.frozen
class Prompt:
    """What is known of a model request without reading its body.

    Parameters
    ----------
    n_tokens : int
    n_answer_tokens : int
        Expected length of the answer.
    parts : tuple of PromptPart
        In order; the last is the request's own.
    """

    n_tokens: int
    n_answer_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def n_unshared_tokens(self) -> int:
        """Tokens that no other request shares."""
        n_shared = sum(part.n_tokens for part in self.parts[:-1])
        return max(0, self.n_tokens - n_shared)


@attrs.frozen
class Request:
    """A caller's request as the decisions see it, without its body.

    Parameters
    ----------
    id : str
        Of this exchange; unique in the daemon.
    caller_request_id : str
        As the caller names the request; for logs.
    host, path : str
    caller_timeout_s : float
        How long the caller waits.
    prompt : Prompt or None
    is_relayed : bool
        Whether another daemon sent it; it is then not sent on again.
    table_version : int
        Version that the relaying daemon went by; 0 when not relayed.
    """

    id: str
    caller_request_id: str
    host: str
    path: str
    caller_timeout_s: float
    prompt: Prompt | None = None
    is_relayed: bool = False
    table_version: int = 0
