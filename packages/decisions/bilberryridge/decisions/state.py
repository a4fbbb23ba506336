"""What one node knows; changed only by the flows, from one thread.

See Also
--------
bilberryridge.decisions.node : brings each event to its flow.
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
    """What a node is told at its start.

    Parameters
    ----------
    vm, domain, region : str
    incarnation : str
        A new one at every start.
    secret : bytes
        Random, of this incarnation alone; proves the key prefixes it issues.
    seeds : tuple of (str, str)
        Name and peer address of daemons to ask before any configuration is known.
    """

    vm: str
    domain: str
    region: str
    incarnation: str
    secret: bytes
    seeds: tuple[tuple[str, str], ...] = ()


@attrs.define
class Open:
    """A request open at this daemon.

    Parameters
    ----------
    req : Request
    service : Service
    organisation : Organisation
    arrived_s, deadline_s : float
    state : str
        Of the chart ``request``.
    is_at_most_once : bool
        Whether it may not repeat.
    scope : str
        Of its idempotency key, when this daemon owns it; else empty.
    expires_s : float
        Until when its outcome is kept.
    attempt : int
        Number of the last attempt; 0 before the first.
    vm : str
        Where the last attempt went.
    domain : str
        The failure domain it went to, when another; else empty.
    excluded : frozenset of str
        VMs and domains already tried in vain.
    n_sent : int
        Attempts after which it is not known that nothing ran.
    is_from_peer : bool
        Whether another daemon sent it on.
    waits_for : frozenset of str
        Daemons whose copy of its outcome was asked for.
    waits_until_s : float
        When waiting for copies ends.
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
    n_sent: int = 0
    is_from_peer: bool = False
    waits_for: frozenset[str] = frozenset()
    waits_until_s: float = 0.0

    @property
    def outcome(self) -> outcomes.Outcome:
        """What is known when it is refused now.

        Without ownership of its key nothing is known of earlier tries; a request that
        its owner forwarded is the exception, as the owner knows of them.
        """
        envelope = self.req.envelope
        is_from_owner = envelope is not None and not envelope.is_relay
        is_key_of_another = bool(self.req.idempotency_key) and not self.scope
        if self.n_sent or (is_key_of_another and not is_from_owner):
            return outcomes.Outcome.UNKNOWN
        return outcomes.Outcome.NOT_RUN


class State:
    """All tables of a node; each has a bound.

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
        self.wanted_at_s = float("-inf")
        self.is_watching = False
        # Members
        self.members = membership.Membership(cfg.vm)
        self.wanted_peers: tuple[tuple[str, str], ...] = ()
        self.last_connect_s = float("-inf")
        self.last_beat_s = float("-inf")
        self.heartbeat_told_s: dict[str, float] = {}
        self.heartbeat_told: messages.Heartbeat | None = None
        self.sent_peer_s: dict[str, float] = {}
        self.now_s = float("-inf")
        self.told_leaving: set[str] = set()
        self.leaving_told_s = float("-inf")
        self.last_list_told_s = float("-inf")
        # Load
        self.loads = loads.LoadTable(MAX_LOADED_SERVERS, random_state)
        self.prefixes = prefixes.PrefixTable(MAX_PREFIX_ENTRIES)
        self.remote_rooms: dict[str, dict[str, placement.RemoteDomain]] = {}
        self.candidates: dict[str, list[placement.Candidate]] = {}
        self.shared_for: tuple[int, tuple[str, ...]] | None = None
        self.read_servers: tuple[tuple[str, str], ...] = ()
        self.last_loads_told_s = float("-inf")
        self.fresh_reports: dict[str, float] = {}
        self.told_loads: dict[str, tuple[int, int, float]] = {}
        self.heard_domains: set[str] = set()
        self.passed_rooms: dict[
            tuple[str, str], tuple[messages.ServiceCapacity, float]
        ] = {}
        self.told_rooms: dict[str, tuple[messages.ServiceCapacity, float]] = {}
        # Requests
        self.open_requests: dict[str, Open] = {}
        self.admission = admission.Admission(random_state)
        self.retries = retries.RetryBudget()
        # At most once
        self.issuer = at_most_once.KeyIssuer(
            at_most_once.Owner(cfg.vm, cfg.incarnation), cfg.secret
        )
        self.runs = at_most_once.OnceBook()
        self.copies = at_most_once.CopyBook()
        self.last_expired_s = float("-inf")

    def emit(self, effect: effects.Effect) -> None:
        """Add an effect to what the current event brings about."""
        self.out.append(effect)

    def count(self, name: str, *labels: str, n: int = 1) -> None:
        """Add to a counter."""
        self.emit(effects.Count(name, labels, n))

    def explain(self, request_id: str, step: str, why: str) -> None:
        """Note one step of a request's way."""
        self.emit(effects.Explain(request_id, step, why))

    def changed(self, what: str, subject: str, before: str, after: str) -> None:
        """Note a change of state worth a log line."""
        self.emit(effects.LogStateChange(what, subject, before, after))

    def jittered(self, seconds: float) -> float:
        """Return a time spread by a quarter, so that callers come back apart."""
        return round(seconds * self.random_state.uniform(0.75, 1.25), 2)

    def send_peer(self, vm: str, body: object) -> None:
        """Send a control message with this node's revision."""
        self.sent_peer_s[vm] = self.now_s
        self.emit(effects.SendPeerMessage(vm, self.replica.complete_revision, body))  # type: ignore[arg-type]

    def step(self, open_req: Open, event: str) -> None:
        """Step a request's chart."""
        open_req.state = self.request_chart.step(open_req.state, event)

    def step_daemon(self, event: str) -> None:
        """Step this daemon's chart, if its state takes the event."""
        if not self.daemon_chart.takes(self.daemon_state, event):
            return
        before = self.daemon_state
        self.daemon_state = self.daemon_chart.step(before, event)
        self.changed("daemon", self.cfg.vm, before, self.daemon_state)

    def domain_daemons(self, domain: str) -> list[documents.Vm]:
        """Return the entry VMs of a failure domain, from the configuration."""
        return self.deployment.entry_vms(domain)

    def live_own_daemons(self, now_s: float) -> list[str]:
        """Return the live daemons of the own failure domain, this one included."""
        names = [vm.name for vm in self.domain_daemons(self.cfg.domain)]
        live = [name for name in names if self.members.is_heard_daemon(now_s, name)]
        return live if self.cfg.vm in live else [*live, self.cfg.vm]

    def is_there(self, now_s: float, vm: documents.Vm) -> bool:
        """Whether a daemon is taken to be there; in the own domain it must be heard."""
        if vm.domain == self.cfg.domain:
            return self.members.is_heard_daemon(now_s, vm.name)
        return self.members.is_live_daemon(now_s, vm.name)

    def own_daemon_names(self) -> set[str]:
        """Return the names of the entry VMs of the own failure domain."""
        return {vm.name for vm in self.domain_daemons(self.cfg.domain)}

    def own_peers(self) -> list[str]:
        """Return the connected daemons of the own failure domain."""
        own = self.domain_daemons(self.cfg.domain)
        return [vm.name for vm in own if self.members.is_connected(vm.name)]
