"""What a request would cost at each candidate, in seconds.

The cost is the expected wait, the prefill of the tokens that are not cached there, the
round trip, and the price of leaving the domain or region, weighed by the deployment's
weights.

See Also
--------
bilberryridge.decisions.placement : chooses among the candidates.
"""

import zlib
from collections.abc import Mapping, Sequence

import attrs

from bilberryridge.core import documents, messages, requests
from bilberryridge.decisions import loads as load_books

PREFILL_TOKENS_PER_S = 5000.0
MOST_BLOCK_TOKENS = 64.0
DEFAULT_HOLD_S = 1.0
BUSY_PRICE_S = 0.1
QUEUE_SHARE = 0.125
AFFINITY_BOUND = 1.25
AWAY_PRICE_S = 1.0
DEFAULT_DOMAIN_PRICE_S = 0.2
MAX_SUMMARY_AGE_S = 30.0
MARGIN_SHARE = 0.05
MARGIN_SHARE_PER_S = 0.01


@attrs.frozen
class Candidate:
    """A backend server that may take the request.

    Parameters
    ----------
    vm : documents.Vm
    is_local : bool
        Whether it is in this daemon's failure domain.
    domain, region : str
    one_way_s : float
        Delay of the link to it.
    seed : int
        Of its name, for rendezvous hashing.
    """

    vm: documents.Vm
    is_local: bool
    domain: str
    region: str
    one_way_s: float = 0.0
    seed: int = attrs.field(init=False, repr=False, eq=False)

    @seed.default
    def _seed(self) -> int:
        return zlib.crc32(self.vm.name.encode()) << 16


@attrs.frozen
class RemoteDomain:
    """Another failure domain with live daemons that may serve the request.

    Parameters
    ----------
    domain, region : str
    one_way_s : float
    summary : messages.ServiceSummary
        Its room for the request's service.
    price_s : float
        Price of the traffic to it, in seconds of server time for a request.
    read_s : float or None
        When the summary came in; None where its age already counts until now.
    """

    domain: str
    region: str
    one_way_s: float
    summary: messages.ServiceSummary
    price_s: float = DEFAULT_DOMAIN_PRICE_S
    read_s: float | None = None


@attrs.frozen
class Local:
    """Send the request to a backend server.

    Parameters
    ----------
    server : str
    cost : float
        Weighed, in seconds.
    why : str
        One line for operators.
    n_prefill_tokens : int
        Prompt tokens that the server has to compute, for `loads.LoadBook.on_sent`.
    """

    server: str
    cost: float
    why: str
    n_prefill_tokens: int = 0

    @property
    def load_key(self) -> str:
        """The name under which the load book counts the request."""
        return self.server


@attrs.frozen
class Remote:
    """Send the request on to another failure domain.

    Parameters
    ----------
    domain, service : str
    cost : float
    why : str
    """

    domain: str
    service: str
    cost: float
    why: str

    @property
    def load_key(self) -> str:
        """The name under which the load book counts the request."""
        return remote_key(self.domain, self.service)


Choice = Local | Remote


@attrs.frozen
class Scored:
    """A choice with its cost and the slots that are expected to be free there."""

    cost: float
    room: float
    choice: Choice


def remote_key(domain: str, service: str) -> str:
    """The load book's name for a service of another failure domain.

    Examples
    --------
    >>> remote_key("palermo-a", "banco-modello")
    'palermo-a/banco-modello'
    """
    return f"{domain}/{service}"


class Scorer:
    """Costs of the candidates of one request."""

    def __init__(
        self,
        now_s: float,
        req: requests.Request,
        service: str,
        loads: load_books.LoadBook,
        weights: documents.Weights,
        home_region: str,
        cached: Mapping[str, float],
        reserved_share: float,
    ):
        self._now_s = now_s
        self._service = service
        self._loads = loads
        self._weights = weights
        self._home_region = home_region
        self._cached = cached
        self._reserved_share = reserved_share
        self._is_quick = req.priority is requests.Priority.QUICK
        self._n_output_tokens = req.n_output_tokens
        self._prefill_s = req.n_prompt_tokens / PREFILL_TOKENS_PER_S
        n_blocks = max(len(req.prefix_digests), 1)
        n_block_tokens = min(req.n_prompt_tokens / n_blocks, MOST_BLOCK_TOKENS)
        self._block_s = n_block_tokens / PREFILL_TOKENS_PER_S
        self._hold_s = loads.hold_s(service)

    def is_healthy(self, item: Candidate) -> bool:
        """Whether the server is not left out for its failures."""
        vm = item.vm
        state = self._loads.server(vm.name, self._service, vm.n_slots)
        return not state.health.is_ejected(self._now_s)

    def score_servers(self, items: Sequence[Candidate]) -> list[Scored]:
        """Score the servers that are expected to have room."""
        opens = [
            self._loads.expected_open(self._now_s, self._loads.server(item.vm.name))
            for item in items
        ]
        n_usual = sum(opens) / max(len(opens), 1)
        scored = []
        for item, n_open in zip(items, opens, strict=True):
            one = self._score_server(item, n_open, n_usual)
            if one is not None:
                scored.append(one)
        return scored

    def score_remotes(self, items: Sequence[RemoteDomain]) -> list[Scored]:
        """Score the domains that are expected to have room."""
        scored = [self._score_remote(item) for item in items]
        return [item for item in scored if item is not None]

    def _score_server(
        self, item: Candidate, n_open: float, n_usual: float
    ) -> Scored | None:
        vm = item.vm
        state = self._loads.server(vm.name)
        n_slots = vm.n_slots * state.health.ramp_share(self._now_s)
        n_slots *= 1.0 - self._reserved_share
        room = n_slots - n_open
        if self._is_quick and not self._reserved_share:
            room += vm.n_slots * QUEUE_SHARE
        if room <= 0.0:
            return None
        wait_s = BUSY_PRICE_S * n_open / vm.n_slots
        if n_open >= vm.n_slots:
            n_before = n_open - vm.n_slots + 1.0
            wait_s += n_before * self._expected_hold_s(vm) / vm.n_slots
        wait_s += self._loads.excess_wait_s(self._now_s, state)
        wait_s += state.n_pending_tokens / PREFILL_TOKENS_PER_S
        prefill_s = self._prefill_s
        n_cached = self._cached.get(vm.name, 0)
        if n_cached and n_open <= AFFINITY_BOUND * n_usual + 1.0:
            prefill_s -= n_cached * self._block_s
        weights = self._weights
        cost = weights.tail_latency * (wait_s + prefill_s + 2.0 * item.one_way_s)
        cost += weights.cost * prefill_s
        if item.region != self._home_region:
            cost += weights.sent_away * AWAY_PRICE_S
        why = (
            f"{vm.name}: {n_open:.1f} of {vm.n_slots} expected, wait {wait_s:.3f} s, "
            f"prefill {prefill_s:.3f} s, {n_cached} blocks cached"
        )
        n_prefill = round(prefill_s * PREFILL_TOKENS_PER_S)
        return Scored(cost, room, Local(vm.name, cost, why, n_prefill))

    def _score_remote(self, item: RemoteDomain) -> Scored | None:
        summary = item.summary
        key = remote_key(item.domain, self._service)
        state = self._loads.server(key, f"/{self._service}", max(summary.n_slots, 1))
        if state.health.is_ejected(self._now_s):
            return None
        age_s = summary.age_s
        if item.read_s is not None:
            age_s += self._now_s - item.read_s
        if age_s > MAX_SUMMARY_AGE_S:
            return None
        n_net = self._loads.n_net_since(key, self._now_s - age_s)
        n_open = max(summary.n_busy + summary.n_waiting + n_net, state.n_open)
        margin = summary.n_slots * (MARGIN_SHARE + MARGIN_SHARE_PER_S * age_s)
        room = summary.n_slots * state.health.ramp_share(self._now_s) - n_open - margin
        if room <= 0.0:
            return None
        wait_s = BUSY_PRICE_S * n_open / summary.n_slots
        wait_s += self._loads.excess_wait_s(self._now_s, state)
        weights = self._weights
        latency_s = wait_s + self._prefill_s + 2.0 * item.one_way_s
        cost = weights.tail_latency * latency_s
        cost += weights.cost * (self._prefill_s + item.price_s)
        if item.region != self._home_region:
            cost += weights.sent_away * AWAY_PRICE_S
        why = (
            f"{item.domain}: {n_open:.0f} of {summary.n_slots} expected, "
            f"{age_s:.1f} s old, round trip {2.0 * item.one_way_s:.3f} s"
        )
        return Scored(cost, room, Remote(item.domain, self._service, cost, why))

    def _expected_hold_s(self, vm: documents.Vm) -> float:
        s_per_token = vm.n_slots / vm.tokens_per_s if vm.tokens_per_s else 0.0
        open_s = self._loads.open_hold_s(vm.name, s_per_token)
        if open_s is not None and self._hold_s is not None:
            return max(open_s, self._hold_s)
        for known_s in (open_s, self._hold_s):
            if known_s is not None:
                return known_s
        if vm.tokens_per_s:
            return self._n_output_tokens * s_per_token
        return DEFAULT_HOLD_S
