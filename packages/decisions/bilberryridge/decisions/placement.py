"""Where a request goes: a backend server here, another failure domain, or nowhere yet.

Among the candidates with room the cheapest is taken, at random among near-equals, so
that daemons with the same old report do not all send to one server.

See Also
--------
bilberryridge.decisions.costs : what a candidate costs.

References
----------
M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
Transactions on Parallel and Distributed Systems 12 (10), 2001.
V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent Hashing with Bounded Loads",
SODA 2018.
"""

import random
from collections.abc import Collection, Sequence

from bilberryridge.core import documents, requests
from bilberryridge.decisions import costs
from bilberryridge.decisions import loads as load_books
from bilberryridge.decisions import prefixes as prefix_books

MAX_LOOKED_AT = 24
FAVOURED_SHARE = 0.8
MIX_A = 0x9E3779B97F4A7C15
MIX_B = 0xBF58476D1CE4E5B9
MIX_MASK = 0xFFFFFFFFFFFFFFFF
NEAR_EQUAL_S = 0.01
NEAR_EQUAL_SHARE = 0.05
DEFAULT_QUEUE_WAIT_S = 1.0

Candidate = costs.Candidate
RemoteDomain = costs.RemoteDomain
Local = costs.Local
Remote = costs.Remote
Choice = costs.Choice
remote_key = costs.remote_key


def choose(
    now_s: float,
    req: requests.Request,
    service: documents.Service,
    servers: Sequence[Candidate],
    remotes: Sequence[RemoteDomain],
    loads: load_books.LoadBook,
    prefixes: prefix_books.PrefixBook,
    weights: documents.Weights,
    home_region: str,
    random_state: random.Random,
    *,
    exclude: Collection[str] = frozenset(),
    allowed_regions: Collection[str] = (),
    queue_wait_s: float = DEFAULT_QUEUE_WAIT_S,
    reserved_share: float = 0.0,
) -> Choice | None:
    """Choose where a request goes now.

    Parameters
    ----------
    servers : sequence of Candidate
        Live backend servers of the service.
    remotes : sequence of RemoteDomain
        Empty when the request may not be sent on.
    home_region : str
        Of the request's organisation.
    exclude : collection of str
        Servers and domains already tried.
    allowed_regions : collection of str
        Regions where the organisation's data may be processed; empty for all. The
        service's own regions always count.
    queue_wait_s : float
        What the request would wait here for the next slot.
    reserved_share : float
        Share of each server's slots that is kept free from this request.

    Returns
    -------
    Choice or None
        None when no candidate has room: the request waits in the queue.
    """
    regions = frozenset(service.regions)
    if allowed_regions:
        regions = regions.intersection(allowed_regions)
    usable = [
        item
        for item in servers
        if item.region in regions
        and item.vm.name not in exclude
        and not item.vm.is_draining
    ]
    digests = req.prefix_digests
    looked_at = _look_at(usable, digests, random_state)
    cached = _cached(looked_at, digests, prefixes, loads.n_daemons)
    scorer = costs.Scorer(
        now_s, req, service.name, loads, weights, home_region, cached, reserved_share
    )
    healthy = [item for item in looked_at if scorer.is_healthy(item)]
    scored = scorer.score_servers(healthy)
    here_s = min((item.cost for item in scored), default=None)
    if here_s is None:
        here_s = weights.tail_latency * queue_wait_s if healthy else float("inf")
    away = [
        item
        for item in remotes
        if item.region in regions and item.domain not in exclude
    ]
    if away:
        away_scored = scorer.score_remotes(_some_remotes(away, random_state))
        scored += [item for item in away_scored if item.cost < here_s]
    if not scored and not healthy:
        # Every server here is ejected: a wrong detector must not empty the pool.
        scored = scorer.score_servers(looked_at)
    return _pick(scored, random_state)


def _look_at(
    items: list[Candidate], digests: Sequence[int], random_state: random.Random
) -> list[Candidate]:
    if len(items) <= MAX_LOOKED_AT:
        return items
    # The same window for the same prefix, at every daemon that lists them in one order.
    start = digests[0] if digests else random_state.randrange(len(items))
    start %= len(items)
    return (items + items)[start : start + MAX_LOOKED_AT]


def _cached(
    items: Sequence[Candidate],
    digests: Sequence[int],
    prefixes: prefix_books.PrefixBook,
    n_daemons: int,
) -> dict[str, float]:
    """Blocks that each server is taken to hold.

    One server is favoured for a prefix by rendezvous hashing, so that daemons that do
    not know of each other's requests still send the same prefix to the same server.
    """
    if not digests or not items:
        return {}
    cached: dict[str, float] = dict(prefixes.best(digests, n_daemons))
    favoured = max(items, key=lambda item: _mixed(digests[0] ^ item.seed))
    cached.setdefault(favoured.vm.name, FAVOURED_SHARE * len(digests))
    return cached


def _mixed(number: int) -> int:
    spread = number * MIX_A & MIX_MASK
    return (spread ^ (spread >> 29)) * MIX_B & MIX_MASK


def _some_remotes(
    items: list[RemoteDomain], random_state: random.Random
) -> list[RemoteDomain]:
    if len(items) <= MAX_LOOKED_AT:
        return items
    start = random_state.randrange(len(items))
    return (items + items)[start : start + MAX_LOOKED_AT]


def _pick(scored: list[costs.Scored], random_state: random.Random) -> Choice | None:
    if not scored:
        return None
    least = min(item.cost for item in scored)
    bound = least + NEAR_EQUAL_S + NEAR_EQUAL_SHARE * least
    near = [item for item in scored if item.cost <= bound]
    if len(near) == 1:
        return near[0].choice
    rooms = [item.room for item in near]
    return random_state.choices(near, rooms)[0].choice
