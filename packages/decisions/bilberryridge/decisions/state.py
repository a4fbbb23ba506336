"""State of one node; only the event handlers change it, from one thread.

See Also
--------
bilberryridge.decisions.node : dispatches each event to its handler.
"""

import random

import attrs

from bilberryridge.core import documents, messages, outcomes, requests
from bilberryridge.decisions import (
    admission,
    at_most_once,
    charts,
    effects,
    loads,
    membership,
    placement,
    prefixes,
    replica,
    retries,
)

MAX_OPEN_REQUESTS = 4000
MAX_HOPS = 2
MAX_PREFIX_ENTRIES = 50_000
MAX_LOADED_SERVERS = 1000


@attrs.frozen
class NodeSettings:
    """Settings of a node, fixed at its start.

    Parameters
    ----------
    vm, domain, region : str
    incarnation : str
        A new one at every start.
    secret : bytes
        Random, different for each incarnation; authenticates the key prefixes that
        it issues.
    seeds : tuple of (str, str)
        Name and peer address of the daemons to connect to before any configuration
        is known.
    """

    vm: str
    domain: str
    region: str
    incarnation: str
    secret: bytes
    seeds: tuple[tuple[str, str], ...] = ()


@attrs.define
class OpenRequest:
    """A request open at this daemon.

    Parameters
    ----------
    req : Request
    service : Service
    organisation : Organisation
    arrived_s, deadline_s : float
    state : str
        State in the chart ``request``.
    is_at_most_once : bool
        Whether it must not run more than once.
    scope : str
        Scope of its idempotency key if this daemon owns the key; else empty.
    expires_s : float
        Time until which its outcome is stored.
    attempt : int
        Number of the last attempt; 0 before the first.
    vm : str
        Target of the last attempt.
    domain : str
        Failure domain of that target if it is a remote one; else empty.
    excluded : frozenset of str
        VMs and domains already tried without a useful result.
    n_possible_runs : int
        Attempts of which it is not known that the request did not run.
    is_from_peer : bool
        Whether another daemon forwarded it.
    awaited_peers : frozenset of str
        Daemons that were asked for their copy of its outcome and have not answered.
    awaited_until_s : float
        Time at which waiting for copies ends.
    """

    req: requests.Request
    service: documents.Service
    organisation: documents.Organisation
    arrived_s: float
    deadline_s: float
    state: str
    is_at_most_once: bool
    scope: str = ""
    expires_s: float = 0.0
    attempt: int = 0
    vm: str = ""
    domain: str = ""
    excluded: frozenset[str] = frozenset()
    n_possible_runs: int = 0
    is_from_peer: bool = False
    awaited_peers: frozenset[str] = frozenset()
    awaited_until_s: float = 0.0

    @property
    def outcome(self) -> outcomes.Outcome:
        """Outcome to report if the request is refused now.

        Only the owner of a key knows of earlier attempts, so without ownership the
        outcome is unknown. A request that its owner forwarded is the exception: the
        owner accounts for the earlier attempts itself.
        """
        envelope = self.req.envelope
        is_from_owner = envelope is not None and not envelope.is_relay
        is_key_of_another = bool(self.req.idempotency_key) and not self.scope
        if self.n_possible_runs or (is_key_of_another and not is_from_owner):
            return outcomes.Outcome.UNKNOWN
        return outcomes.Outcome.NOT_RUN


class State:
    """All tables of a node; the size of each is bounded.

    Parameters
    ----------
    cfg : NodeSettings
    random_state : random.Random
    """

    def __init__(self, cfg: NodeSettings, random_state: random.Random):
        self.cfg = cfg
        self.random_state = random_state
        self.out: list[effects.Effect] = []
        self.request_chart = charts.load("request")
        self.daemon_chart = charts.load("daemon")
        self.daemon_state = self.daemon_chart.initial
        self.leaving_since_s = 0.0
        # Configuration
        self.replica = replica.Replica()
        self.deployment = replica.Deployment()
        self.is_store_suspect = False
        self.is_store_reachable = False
        self.store_read_s: float | None = None
        self.configuration_requested_s = float("-inf")
        self.is_watching = False
        # Members
        self.members = membership.Membership(cfg.vm)
        self.desired_peers: tuple[tuple[str, str], ...] = ()
        self.last_connect_s = float("-inf")
        self.last_heartbeat_check_s = float("-inf")
        self.heartbeat_reported_s: dict[str, float] = {}
        self.last_reported_heartbeat: messages.Heartbeat | None = None
        self.sent_peer_s: dict[str, float] = {}
        self.now_s = float("-inf")
        self.last_reported_leaving: set[str] = set()
        self.leaving_reported_s = float("-inf")
        self.last_list_reported_s = float("-inf")
        # Load
        self.loads = loads.LoadTable(MAX_LOADED_SERVERS, random_state)
        self.prefixes = prefixes.PrefixTable(MAX_PREFIX_ENTRIES)
        self.remote_capacities: dict[str, dict[str, placement.RemoteDomain]] = {}
        self.candidates: dict[str, list[placement.Candidate]] = {}
        self.assigned_for: tuple[int, tuple[str, ...]] | None = None
        self.read_servers: tuple[tuple[str, str], ...] = ()
        self.last_loads_reported_s = float("-inf")
        self.fresh_reports: dict[str, float] = {}
        self.last_reported_loads: dict[str, tuple[int, int, float]] = {}
        self.domains_to_relay: set[str] = set()
        self.last_relayed_capacities: dict[
            tuple[str, str], tuple[messages.ServiceCapacity, float]
        ] = {}
        self.last_reported_capacities: dict[
            str, tuple[messages.ServiceCapacity, float]
        ] = {}
        # Requests
        self.open_requests: dict[str, OpenRequest] = {}
        self.admission = admission.Admission(random_state)
        self.retries = retries.RetryBudget()
        # At most once
        self.issuer = at_most_once.KeyIssuer(
            at_most_once.Owner(cfg.vm, cfg.incarnation), cfg.secret
        )
        self.runs = at_most_once.RunTable()
        self.copies = at_most_once.CopyStore()
        self.last_expired_s = float("-inf")

    def emit(self, effect: effects.Effect) -> None:
        """Add an effect to the results of the current event."""
        self.out.append(effect)

    def count(self, name: str, *labels: str, n: int = 1) -> None:
        """Increment a counter by `n`."""
        self.emit(effects.Count(name, labels, n))

    def explain(self, request_id: str, step: str, why: str) -> None:
        """Record one step of a request for ``bilberryridge explain``."""
        self.emit(effects.Explain(request_id, step, why))

    def log_change(self, what: str, subject: str, before: str, after: str) -> None:
        """Log a change of state."""
        self.emit(effects.LogStateChange(what, subject, before, after))

    def jittered(self, seconds: float) -> float:
        """Return a time varied by up to a quarter, so that callers' retries spread."""
        return round(seconds * self.random_state.uniform(0.75, 1.25), 2)

    def send_peer(self, vm: str, body: object) -> None:
        """Send a control message with this node's configuration revision."""
        self.sent_peer_s[vm] = self.now_s
        self.emit(effects.SendPeerMessage(vm, self.replica.complete_revision, body))  # type: ignore[arg-type]

    def step(self, open_req: OpenRequest, event: str) -> None:
        """Advance a request's chart by an event."""
        open_req.state = self.request_chart.step(open_req.state, event)

    def step_daemon(self, event: str) -> None:
        """Advance this daemon's chart if its state accepts the event."""
        if not self.daemon_chart.accepts_event(self.daemon_state, event):
            return
        before = self.daemon_state
        self.daemon_state = self.daemon_chart.step(before, event)
        self.log_change("daemon", self.cfg.vm, before, self.daemon_state)

    def domain_daemons(self, domain: str) -> list[documents.Vm]:
        """Return the configured entry VMs of a failure domain."""
        return self.deployment.entry_vms(domain)

    def live_local_daemons(self, now_s: float) -> list[str]:
        """Return the live daemons of the local failure domain, this one included."""
        names = [vm.name for vm in self.domain_daemons(self.cfg.domain)]
        live = [
            name for name in names if self.members.is_live_local_daemon(now_s, name)
        ]
        return live if self.cfg.vm in live else [*live, self.cfg.vm]

    def is_available(self, now_s: float, vm: documents.Vm) -> bool:
        """Whether a daemon counts as reachable.

        In the local failure domain this requires a connection to it; elsewhere it is
        assumed unless there are signs to the contrary.
        """
        if vm.domain == self.cfg.domain:
            return self.members.is_live_local_daemon(now_s, vm.name)
        return self.members.is_live_daemon(now_s, vm.name)

    def local_daemon_names(self) -> set[str]:
        """Return the names of the entry VMs of the local failure domain."""
        return {vm.name for vm in self.domain_daemons(self.cfg.domain)}

    def local_peers(self) -> list[str]:
        """Return the connected daemons of the local failure domain."""
        own = self.domain_daemons(self.cfg.domain)
        return [vm.name for vm in own if self.members.is_connected(vm.name)]
