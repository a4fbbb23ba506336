"""Cost of a request at each candidate, in seconds.

The cost is the weighted sum of the expected wait, the prefill of the tokens that are
not cached there, the round trip, and the price of leaving the domain or region. The
weights are set by the deployment.

See Also
--------
bilberryridge.decisions.placement : chooses among the candidates.
"""

from collections.abc import Iterable, Mapping

import attrs

from bilberryridge.core import documents, requests
from bilberryridge.decisions import choices, server_state
from bilberryridge.decisions import loads as load_tables

PREFILL_TOKENS_PER_S = 5000.0
"""Rate at which a server computes prompt tokens."""
MAX_BLOCK_TOKENS = 64.0
"""Bound on the tokens of one block of a prompt."""
DEFAULT_HOLD_S = 1.0
"""Time for which a request holds its slot if nothing is known about it."""
BUSY_PRICE_S = 0.1
"""Price of a server or domain whose slots are all in use, proportional to its load."""
QUEUE_FRACTION = 0.125
"""Fraction of the slots by which quick requests may exceed the slots of a server."""
AFFINITY_BOUND = 1.25
"""Ratio to the mean load of the candidates up to which cached prefixes count."""
OTHER_REGION_PRICE_S = 1.0
"""Price of serving a request outside the home region of its organisation."""
MAX_SUMMARY_AGE_S = 30.0
"""Age from which the summary of a domain is ignored."""
MARGIN_FRACTION = 0.05
"""Fraction of the slots of another domain that is kept free."""
MARGIN_FRACTION_PER_S = 0.01
"""Fraction that is kept free in addition for each second of the summary's age."""

ServerWithState = tuple[choices.Candidate, server_state.Server]


@attrs.define
class Scored:
    """A candidate with free capacity and its cost.

    Parameters
    ----------
    cost : float
        Weighted cost in seconds.
    room : float
        Expected number of slots that are free for the request.
    n_open : float
        Expected number of requests being served or waiting there.
    wait_s, prefill_s : float
    item : choices.Candidate or choices.RemoteDomain
    """

    cost: float
    room: float
    n_open: float
    wait_s: float
    prefill_s: float
    item: choices.Candidate | choices.RemoteDomain


class Scorer:
    """Computes the costs of the candidates of one request.

    Parameters
    ----------
    cached : mapping of str to float
        Leading blocks of the prompt that each server is assumed to have cached.
    reserved_share : float
        Fraction of each server's slots that the request may not use.
    max_wait_s : float
        Longest expected wait in a server's own queue that leaves time for the answer.
    """

    def __init__(
        self,
        now_s: float,
        req: requests.Request,
        service: str,
        loads: load_tables.LoadTable,
        weights: documents.Weights,
        home_region: str,
        cached: Mapping[str, float],
        reserved_share: float,
        max_wait_s: float,
    ):
        self._now_s = now_s
        self._service = service
        self._loads = loads
        self._weights = weights
        self._home_region = home_region
        self._cached = cached
        self._max_wait_s = max_wait_s
        self._usable_fraction = 1.0 - reserved_share
        if req.priority is requests.Priority.QUICK and not reserved_share:
            self._usable_fraction += QUEUE_FRACTION
        self._n_output_tokens = req.n_output_tokens
        self._prefill_s = req.n_prompt_tokens / PREFILL_TOKENS_PER_S
        n_blocks = max(len(req.prefix_digests), 1)
        n_block_tokens = min(req.n_prompt_tokens / n_blocks, MAX_BLOCK_TOKENS)
        self._block_s = n_block_tokens / PREFILL_TOKENS_PER_S

    @property
    def min_remote_cost(self) -> float:
        """Lower bound of the cost of any other domain."""
        return (self._weights.tail_latency + self._weights.cost) * self._prefill_s

    def with_states(self, items: Iterable[choices.Candidate]) -> list[ServerWithState]:
        """Return the servers with their states."""
        server, service = self._loads.server, self._service
        return [
            (item, server(item.vm.name, service, item.vm.n_slots)) for item in items
        ]

    def healthy(self, items: Iterable[choices.Candidate]) -> list[ServerWithState]:
        """Return the servers that are not ejected, with their states."""
        now_s = self._now_s
        return [
            pair
            for pair in self.with_states(items)
            if now_s >= pair[1].health.ejected_until_s
        ]

    def score_servers(self, servers: Iterable[ServerWithState]) -> list[Scored]:
        """Score the servers that are expected to have a slot in time."""
        expected_open, now_s = self._loads.expected_open, self._now_s
        known = [(item, state, expected_open(now_s, state)) for item, state in servers]
        n_all = sum(n_open for _, _, n_open in known)
        max_affine_open = AFFINITY_BOUND * n_all / max(len(known), 1) + 1.0
        scored = []
        for item, state, n_open in known:
            room = item.vm.n_slots * self._usable_fraction - n_open
            if state.health.ramp_from_s is not None:
                fraction = state.health.ramp_fraction(self._now_s)
                room -= item.vm.n_slots * self._usable_fraction * (1.0 - fraction)
            if room > 0.0:
                is_affine = n_open <= max_affine_open
                each = self._score_server(item, state, n_open, room, is_affine)
                # With a slot free, the wait is a price for load.
                is_slot_free = n_open < item.vm.n_slots
                if is_slot_free or each.wait_s <= self._max_wait_s:
                    scored.append(each)
        return scored

    def score_domains(self, items: Iterable[choices.RemoteDomain]) -> list[Scored]:
        """Score the domains that are expected to have a free slot."""
        scored = (self._score_domain(item) for item in items)
        return [item for item in scored if item is not None]

    def choice_of(self, scored: Scored) -> choices.Choice:
        """Return the choice of a candidate, with its reason in one line."""
        item = scored.item
        if isinstance(item, choices.RemoteDomain):
            why = (
                f"{item.domain}: {scored.n_open:.0f} of {item.summary.n_slots} "
                f"expected, round trip {2.0 * item.one_way_s:.3f} s"
            )
            return choices.DomainChoice(item.domain, self._service, scored.cost, why)
        name = item.vm.name
        why = (
            f"{name}: {scored.n_open:.1f} of {item.vm.n_slots} expected, "
            f"wait {scored.wait_s:.3f} s, prefill {scored.prefill_s:.3f} s, "
            f"{self._cached.get(name, 0):.0f} blocks cached"
        )
        n_prefill = round(scored.prefill_s * PREFILL_TOKENS_PER_S)
        return choices.ServerChoice(name, scored.cost, why, n_prefill)

    def _score_server(
        self,
        item: choices.Candidate,
        state: server_state.Server,
        n_open: float,
        room: float,
        is_affine: bool,
    ) -> Scored:
        n_slots = item.vm.n_slots
        wait_s = BUSY_PRICE_S * n_open / n_slots
        wait_s += self._loads.excess_wait_s(self._now_s, state)
        wait_s += state.n_pending_tokens / PREFILL_TOKENS_PER_S
        if n_open >= n_slots:
            n_ahead = n_open - n_slots + 1.0
            wait_s += n_ahead * self._expected_hold_s(item.vm) / n_slots
        prefill_s = self._prefill_s
        if is_affine:
            prefill_s -= self._cached.get(item.vm.name, 0) * self._block_s
        weights = self._weights
        cost = weights.tail_latency * (wait_s + prefill_s + 2.0 * item.one_way_s)
        cost += weights.cost * prefill_s
        if item.region != self._home_region:
            cost += weights.sent_away * OTHER_REGION_PRICE_S
        return Scored(cost, room, n_open, wait_s, prefill_s, item)

    def _score_domain(self, item: choices.RemoteDomain) -> Scored | None:
        summary = item.summary
        if not summary.n_slots:
            return None
        age_s = summary.age_s
        if item.received_s is not None:
            age_s += self._now_s - item.received_s
        if age_s > MAX_SUMMARY_AGE_S:
            return None
        key = choices.remote_key(item.domain, self._service)
        state = self._loads.server(key, f"/{self._service}", summary.n_slots)
        if state.health.is_ejected(self._now_s):
            return None
        n_net_sent = self._loads.n_net_sent_since(key, self._now_s - age_s)
        n_open = max(summary.n_busy + summary.n_waiting + n_net_sent, state.n_open)
        margin = summary.n_slots * (MARGIN_FRACTION + MARGIN_FRACTION_PER_S * age_s)
        room = (
            summary.n_slots * state.health.ramp_fraction(self._now_s) - n_open - margin
        )
        if room <= 0.0:
            return None
        wait_s = BUSY_PRICE_S * n_open / summary.n_slots
        wait_s += self._loads.excess_wait_s(self._now_s, state)
        weights = self._weights
        latency_s = wait_s + self._prefill_s + 2.0 * item.one_way_s
        cost = weights.tail_latency * latency_s
        cost += weights.cost * (self._prefill_s + item.price_s)
        if item.region != self._home_region:
            cost += weights.sent_away * OTHER_REGION_PRICE_S
        return Scored(cost, room, n_open, wait_s, self._prefill_s, item)

    def _expected_hold_s(self, vm: documents.Vm) -> float:
        hold_s = self._loads.hold_s(self._service)
        s_per_token = vm.n_slots / vm.tokens_per_s if vm.tokens_per_s else 0.0
        open_s = self._loads.open_hold_s(vm.name, s_per_token)
        if open_s is not None and hold_s is not None:
            return max(open_s, hold_s)
        for known_s in (open_s, hold_s):
            if known_s is not None:
                return known_s
        if vm.tokens_per_s:
            return self._n_output_tokens * s_per_token
        return DEFAULT_HOLD_S
