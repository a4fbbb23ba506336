"""What one ingress node knows; changed only by the flows, from one thread."""

import random
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    effects,
    members,
    regions,
    retry_budget,
    server_table,
)


@attrs.frozen
class NodeSettings:
    """What a node is told at its start.

    Parameters
    ----------
    local_entry : EntryVm
    region_by_domain : mapping of str to str
        All failure domains of the deployment.
    retry_ratio, retry_slack, retry_window_s : float
        Repeats that all daemons together may send to a service; see `RetryBudget`.
    """

    local_entry: ingress.EntryVm
    region_by_domain: Mapping[str, str]
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0

    @property
    def own_domains(self) -> frozenset[str]:
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
    peer, region : str
        The daemon and its region for such an attempt; else empty and the own region.
    sent_s : float
    """

    id: int
    server_id: str
    peer: str
    region: str
    sent_s: float


@attrs.define
class OpenRequest:
    """A request that has no final answer yet.

    Parameters
    ----------
    req : Request
    route : Route
    service : Service
    arrived_s, deadline_s : float
    waited_s : float
        Time that the caller is believed to have waited before it came here.
    n_sends : int
        To backend servers, without those that surely reached none.
    n_tries : int
        All sends.
    may_have_run : bool
    """

    req: ingress.Request
    route: ingress.Route
    service: ingress.Service
    arrived_s: float
    deadline_s: float
    waited_s: float = 0.0
    n_sends: int = 0
    n_tries: int = 0
    may_have_run: bool = False
    is_committed: bool = False
    is_detached: bool = False
    attempt: Attempt | None = None
    tried_servers: set[str] = attrs.field(factory=set)
    tried_peers: set[str] = attrs.field(factory=set)
    tried_regions: set[str] = attrs.field(factory=set)

    @property
    def is_urgent(self) -> bool:
        """Whether it goes before requests of other routes."""
        return self.route.priority == 0


PlacementRule = Callable[["State", OpenRequest, float], Any]
"""Chooses where a request goes now, as `placement.choose` does."""


class State:
    """All that a node knows.

    Parameters
    ----------
    cfg : NodeSettings
    random_state : random.Random
    choose : PlacementRule
    """

    def __init__(
        self, cfg: NodeSettings, random_state: random.Random, choose: PlacementRule
    ):
        self.cfg = cfg
        self.random_state = random_state
        self.choose = choose
        self.table: ingress.RoutingTable | None = None
        self.servers = server_table.ServerTable(cfg.own_domains)
        self.members = members.Members(cfg.local_entry)
        self.regions = regions.Regions()
        self.budget = retry_budget.RetryBudget(
            cfg.retry_ratio, cfg.retry_slack, cfg.retry_window_s
        )
        self.open_requests: dict[str, OpenRequest] = {}
        self.longest_patience_s: dict[str, float] = {}
        self.stopping_s: float | None = None
        self.domain_told_s = float("-inf")
        self.region_told_s = float("-inf")
        self.region_turn = 0
        self.effects: list[effects.Effect] = []

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self.stopping_s is not None

    def emit(self, effect: effects.Effect) -> None:
        """Have something done."""
        self.effects.append(effect)
