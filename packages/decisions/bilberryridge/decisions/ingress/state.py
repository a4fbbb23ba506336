"""State of one ingress node, changed only by its event handlers, on one thread."""

import collections
import math
import random
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    admission,
    configuration_proof,
    crash_reports,
    crashing_requests,
    effects,
    long_prompts,
    members,
    quarantine,
    quotas,
    rate_division,
    regions,
    retry_budget,
    server_table,
    service_versions,
    stream_origins,
)

N_PATHS_REMEMBERED = 2
"""Paths to servers whose loss is remembered, to see whether they were lost together."""
MAX_UNSTORED_REPORTS = 50
"""Reports of this daemon that are kept until a further crash makes them count."""


@attrs.frozen
class NodeSettings:
    """Settings of a node.

    Parameters
    ----------
    local_entry : EntryVm
        This daemon.
    region_by_domain : mapping of str to str
        Region of each failure domain of the deployment.
    retry_ratio, retry_slack, retry_window_s : float
        Limit of retries to a service by all daemons together; see `RetryBudget`.
    revocation_bound_s : float or None
        Time after which no request with a revoked key may be accepted any more; None
        if the deployment sets no such bound.
    quota_window_s, quota_overshoot, quota_slack : float
        In any window, an organisation's requests may exceed its quota by the
        fraction `quota_overshoot` and by `quota_slack` units.
    is_slow_start_forced : bool
        Whether servers that return get a window of requests in flight also where they
        state no pace; see `slow_start_handlers`.
    has_admission : bool
        Whether requests are refused for the sake of others when the servers can't serve
        all; see `admission`.
    """

    local_entry: ingress.EntryVm
    region_by_domain: Mapping[str, str]
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    revocation_bound_s: float | None = None
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0
    is_slow_start_forced: bool = False
    has_admission: bool = False

    @property
    def local_domains(self) -> frozenset[str]:
        """The failure domains of this daemon's region."""
        return frozenset(
            domain
            for domain, region in self.region_by_domain.items()
            if region == self.local_entry.region
        )


@attrs.define
class Attempt:
    """An open attempt.

    Parameters
    ----------
    id : int
    server_id : str
        Empty for an attempt through another region's daemon.
    server_start : str
        Name of the start of the server that it was sent to.
    peer, region : str
        Name and region of that daemon; empty and the local region for an attempt at a
        server.
    version : str or None
        Version of the server's software when it was sent the request; None if that
        isn't sure.
    sent_s : float
    begun_s : float or None
        When the first bytes of an answer were received.
    status : int
        HTTP status of the server's answer; 0 before its head.
    answered_s : float
        When that head was received.
    is_noted : bool
        Whether the answer has been noted as silent; see `silent_servers`.
    is_sound : bool
        Whether its answer has gone on for so long that the server didn't crash on it.
    is_silent : bool
        Whether no answer began within the time in which one was expected.
    reviewed_s : float
        When it was last decided whether another attempt replaces it.
    """

    id: int
    server_id: str
    peer: str
    region: str
    version: str | None
    sent_s: float
    begun_s: float | None = None
    server_start: str = ""
    status: int = 0
    answered_s: float = math.inf
    is_noted: bool = False
    is_sound: bool = False
    is_silent: bool = False
    reviewed_s: float = float("-inf")


@attrs.frozen
class UnsureStart:
    """A server that was in doubt when it began a stream.

    Parameters
    ----------
    server : ServerState
        It is another object once the store has told of another start.
    reached_s : float
        The store's word as of then or later tells what began the stream.
    """

    server: server_table.ServerState
    reached_s: float


@attrs.define
class OpenRequest:
    """A request without a final answer.

    Parameters
    ----------
    req : Request
    route : Route
    service : Service
    arrived_s, deadline_s : float
    waited_s : float
        Estimated time that the caller waited before it reached this daemon.
    n_server_attempts : int
        Attempts that may have reached a backend server.
    n_attempts : int
        All attempts.
    n_arrivals : int
        Attempts that have ended and may have reached a server, also one that turned
        the request away.
    may_have_run : bool
        Whether a server may have run the request.
    is_committed : bool
        Whether a part of the answer was passed on to the caller.
    is_detached : bool
        Whether the caller has left but the attempt continues.
    is_trial : bool
        Whether it is sent though it is held back.
    is_counted : bool
        Whether a server may have run it, so that its quota is used.
    n_lost_beginnings : int
        Attempts whose server was lost as it began to answer.
    n_counted : int
        Retries taken from the budget for it.
    last_result : str
        How its last attempt ended, for the log; empty before.
    place_again_s : float
        When it is placed again, while it waits for a server that had no room.
    obstacle : str
        Why it was not sent again when that was last decided, for the log.
    origin : StreamOrigin or None
        What alone can continue the stream; None before its first event, or if unknown.
    n_events : int
        Events of the stream that the caller has.
    attempt : Attempt or None
        The open attempt.
    organisation : Organisation or None
        The organisation that holds the caller's key; None where none is needed.
    starts_awaited_until_s : float or None
        Until when it may wait for the store's word on servers' starts; None before.
    unsure : UnsureStart or None
        What began the stream while its start was in doubt.
    is_offered : bool
        Whether its work has been counted in the division of the capacity.
    is_rationed : bool
        Whether it was admitted while others were refused for its sake.
    tried_servers, tried_peers, tried_regions : set of str
        Servers, daemons and regions that were sent the request already.
    """

    req: ingress.Request
    route: ingress.Route
    service: ingress.Service
    arrived_s: float
    deadline_s: float
    waited_s: float = 0.0
    n_server_attempts: int = 0
    n_attempts: int = 0
    n_arrivals: int = 0
    may_have_run: bool = False
    is_committed: bool = False
    is_detached: bool = False
    is_trial: bool = False
    is_counted: bool = False
    n_lost_beginnings: int = 0
    n_counted: int = 0
    last_result: str = ""
    obstacle: str = ""
    place_again_s: float = float("inf")
    origin: ingress.StreamOrigin | None = None
    n_events: int = 0
    attempt: Attempt | None = None
    organisation: ingress.Organisation | None = None
    starts_awaited_until_s: float | None = None
    unsure: UnsureStart | None = None
    is_offered: bool = False
    is_rationed: bool = False
    tried_servers: set[str] = attrs.field(factory=set)
    tried_peers: set[str] = attrs.field(factory=set)
    tried_regions: set[str] = attrs.field(factory=set)

    @property
    def is_urgent(self) -> bool:
        """Whether it has the highest priority."""
        return self.priority == 0

    @property
    def priority(self) -> int:
        """The organisation's priority if it has one, else the route's; 0 is highest."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority

    def allows(self, region: str) -> bool:
        """Return whether backend servers of a region may serve the request."""
        is_allowed = self.organisation is None or self.organisation.allows(region)
        return is_allowed and self.route.allows(region)

    @property
    def is_continuing(self) -> bool:
        """Whether the caller has the beginning of the stream already."""
        return self.is_committed or self.origin is not None

    @property
    def remaining_prompt(self) -> ingress.Prompt | None:
        """The prompt with what is written of the answer, and the rest of the answer."""
        prompt, engine = self.req.prompt, self.service.engine
        if prompt is None or engine is None or not self.n_events:
            return prompt
        return prompt.after(self.n_events * engine.n_tokens_per_event)

    def remaining_goal_s(self, now_s: float) -> float:
        """Return the time until the latency goal, negative if that has passed."""
        waited_s = self.waited_s + now_s - self.arrived_s
        return self.route.latency_goal_s - waited_s


@attrs.define
class WaitingTakeUp:
    """A request that waits until the store has confirmed what is known of versions.

    Parameters
    ----------
    req : Request
    arrived_s : float
    is_checked : bool
        Whether the check that is open began after it arrived.
    """

    req: ingress.Request
    arrived_s: float
    is_checked: bool = False


@attrs.frozen
class WaitingCharge:
    """A request that waits for tokens of its organisation's quota.

    Parameters
    ----------
    req : Request
    arrived_s : float
    is_store_confirmed : bool
        Whether the store was asked for the origin of the stream that it continues.
    """

    req: ingress.Request
    arrived_s: float
    is_store_confirmed: bool


@attrs.define
class LostServer:
    """A server whose connections have ended, or fallen silent.

    Parameters
    ----------
    server : str
    at_s : float
    id : str
    prompts : list of frozenset of str
        Shared parts of the prompts that it had just begun to answer.
    contents : set of str
        Contents of the requests that it had not answered, or just begun to.
    silent_s : float or None
        When it fell silent, if it ended without closing its connections.
    """

    server: str
    at_s: float
    id: str
    prompts: list[frozenset[str]] = attrs.field(factory=list)
    contents: set[str] = attrs.field(factory=set)
    silent_s: float | None = None


@attrs.frozen
class SilentAnswer:
    """An answer that doesn't tell whether its server crashed.

    Parameters
    ----------
    at_s : float
        When it ended or was found to be silent.
    parts : frozenset of str
        Shared parts of its prompt.
    content_id : str
        See `ingress.Request`.
    is_whole : bool
        Whether it is whole if the server goes on serving.
    """

    at_s: float
    parts: frozenset[str]
    content_id: str
    is_whole: bool


@attrs.define
class SilentServer:
    """A server that may have crashed under answers that it had begun.

    Parameters
    ----------
    server, id : str
    noted_s : float
        When the latest of the answers was noted.
    answers : list of SilentAnswer
    is_reached : bool
        Whether a connection to its address was made since.
    others_heard_s : float
        When another server was known to have been heard since.
    """

    server: str
    id: str
    noted_s: float
    answers: list[SilentAnswer] = attrs.field(factory=list)
    is_reached: bool = False
    others_heard_s: float = math.inf


PlacementRule = Callable[["State", OpenRequest, float], Any]
"""Decides where a request is sent; see `placement.choose`."""


class State:
    """State of an ingress node.

    Parameters
    ----------
    cfg : NodeSettings
    random_state : random.Random
    choose : PlacementRule

    Attributes
    ----------
    now_s : float
        Time of the event that is handled.
    """

    def __init__(
        self, cfg: NodeSettings, random_state: random.Random, choose: PlacementRule
    ):
        self.cfg = cfg
        self.random_state = random_state
        self.choose = choose
        self.now_s = float("-inf")
        self.table: ingress.RoutingTable | None = None
        self.boot_s = 0.0
        """Time of the event that is handled, counting suspensions of the VM."""
        self.proof = configuration_proof.ConfigurationProof(cfg.revocation_bound_s)
        self.servers = server_table.ServerTable(cfg.local_domains)
        self.versions = service_versions.ServiceVersions(cfg.region_by_domain)
        self.streams = stream_origins.StreamOrigins(cfg.local_entry.name)
        self.streams_saved_s = float("-inf")
        self.is_store_current = True
        self.store_known_s = math.inf
        self.store_asked_s = -math.inf
        self.waiting_starts: dict[str, bool] = {}
        self.waiting_take_ups: dict[str, WaitingTakeUp] = {}
        self.is_store_being_checked = False
        self.members = members.Members(cfg.local_entry)
        self.regions = regions.Regions()
        self.budget = retry_budget.RetryBudget(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_s
        )
        self.quotas = quotas.Quotas(
            cfg.local_entry.name,
            cfg.local_entry.region,
            rate_division.Bound(
                cfg.quota_window_s, cfg.quota_overshoot, cfg.quota_slack
            ),
            quotas.hold_s(cfg.revocation_bound_s),
            random_state,
        )
        self.quotas_counted_s = float("-inf")
        self.waiting_charges: dict[str, WaitingCharge] = {}
        self.admission = admission.Admission()
        self.daemons_counted_s = float("-inf")
        self.quarantine = quarantine.Quarantine()
        self.crashing_requests = crashing_requests.CrashingRequests()
        self.unstored_requests: collections.deque[crash_reports.CrashedRequests] = (
            collections.deque(maxlen=MAX_UNSTORED_REPORTS)
        )
        self.lost_servers: list[LostServer] = []
        self.silent_servers: dict[str, SilentServer] = {}
        self.silence_reviewed_s = -math.inf
        self.unstored_reports: collections.deque[crash_reports.CrashReport] = (
            collections.deque(maxlen=MAX_UNSTORED_REPORTS)
        )
        self.paths_lost_s: collections.deque[float] = collections.deque(
            maxlen=N_PATHS_REMEMBERED
        )
        self.peers_aside_until_s: dict[str, float] = {}
        self.n_relays: collections.Counter[str] = collections.Counter()
        self.asked_until_s: dict[str, float] = {}
        self.open_requests: dict[str, OpenRequest] = {}
        self.longest_timeout_s: dict[str, float] = {}
        self.long_prompts: collections.defaultdict[str, long_prompts.LongPrompts] = (
            collections.defaultdict(long_prompts.LongPrompts)
        )
        self.stopping_s: float | None = None
        self.serves_until_s = float("inf")
        self.daemon_loads_reported_s = float("-inf")
        self.daemon_loads_interval_s = 0.0
        self.region_loads_reported_s = float("-inf")
        self.region_report_turn = 0
        self.effects: list[effects.Effect] = []

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stopping_s is not None

    def emit(self, effect: effects.Effect) -> None:
        """Add an effect to those that the node returns."""
        self.effects.append(effect)
