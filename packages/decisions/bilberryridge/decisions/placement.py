"""Placement of a request: a local backend server, another failure domain, or none yet.

The cheapest candidate with free capacity is chosen, at random among near-equal ones, so
that daemons with the same outdated report do not all send to one server.

See Also
--------
bilberryridge.decisions.costs : the cost of a candidate.

References
----------
M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE
Transactions on Parallel and Distributed Systems 12 (10), 2001.
V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent Hashing with Bounded Loads",
SODA 2018.
"""

import itertools
import math
import random
from collections.abc import Collection, Iterator, Sequence

from bilberryridge.core import documents, requests
from bilberryridge.decisions import choices, costs, rendezvous
from bilberryridge.decisions import loads as load_tables
from bilberryridge.decisions import prefixes as prefix_tables

MAX_SCORED = 8
"""Number of local servers that are scored for a request."""
MAX_SCORED_WITHOUT_ROOM = 24
"""The same if none of the first `MAX_SCORED` has a free slot."""
MAX_REMOTES = 12
"""Number of other domains that are scored for a request."""
AFFINITY_CACHED_FRACTION = 0.8
"""Fraction of a prompt's blocks assumed to be cached at its affinity server."""
NEAR_EQUAL_S = 0.01
NEAR_EQUAL_FRACTION = 0.05
"""Costs within this fraction plus `NEAR_EQUAL_S` of the least count as equal."""
DEFAULT_QUEUE_WAIT_S = 1.0

Candidate = choices.Candidate
RemoteDomain = choices.RemoteDomain
ServerChoice = choices.ServerChoice
DomainChoice = choices.DomainChoice
Choice = choices.Choice
remote_key = choices.remote_key


def choose(
    now_s: float,
    req: requests.Request,
    service: documents.Service,
    servers: Sequence[Candidate],
    remotes: Sequence[RemoteDomain],
    loads: load_tables.LoadTable,
    prefixes: prefix_tables.PrefixTable,
    weights: documents.Weights,
    home_region: str,
    random_state: random.Random,
    *,
    exclude: Collection[str] = frozenset(),
    allowed_regions: Collection[str] = (),
    queue_wait_s: float = DEFAULT_QUEUE_WAIT_S,
    reserved_share: float = 0.0,
    max_wait_s: float = math.inf,
) -> Choice | None:
    """Choose the server or domain that a request is sent to now.

    Parameters
    ----------
    servers : sequence of Candidate
        Live backend servers of the service.
    remotes : sequence of RemoteDomain
        Empty if the request may not be forwarded.
    home_region : str
        Home region of the request's organisation.
    exclude : collection of str
        Servers and domains already tried.
    allowed_regions : collection of str
        Regions where the organisation's data may be processed; empty for all. The
        regions of the service apply in any case.
    queue_wait_s : float
        Expected wait for the next free local slot.
    reserved_share : float
        Fraction of each server's slots that this request may not use.
    max_wait_s : float
        Longest expected wait in a server's own queue that leaves time for the answer.

    Returns
    -------
    Choice or None
        None if no candidate has free capacity: the request stays in the queue.
    """
    regions = frozenset(service.regions)
    if allowed_regions:
        regions = regions.intersection(allowed_regions)
    digests = req.prefix_digests
    usable = _usable(servers, regions, exclude, digests, random_state)
    considered = list(itertools.islice(usable, MAX_SCORED))
    cached = _cached_blocks(considered, digests, prefixes, loads.n_daemons)
    scorer = costs.Scorer(
        now_s,
        req,
        service.name,
        loads,
        weights,
        home_region,
        cached,
        reserved_share,
        max_wait_s,
    )
    healthy = scorer.healthy(considered)
    scored = scorer.score_servers(healthy)
    if not scored:
        n_more = MAX_SCORED_WITHOUT_ROOM - MAX_SCORED
        more = list(itertools.islice(usable, n_more))
        considered += more
        healthy += scorer.healthy(more)
        scored = scorer.score_servers(healthy)
    local_cost = min((item.cost for item in scored), default=None)
    if local_cost is None:
        local_cost = weights.tail_latency * queue_wait_s if healthy else math.inf
    if remotes and local_cost > scorer.min_remote_cost:
        allowed_remotes = _allowed_remotes(
            remotes, regions, exclude, home_region, random_state
        )
        scored += [
            item
            for item in scorer.score_domains(allowed_remotes)
            if item.cost < local_cost
        ]
    if not scored and not healthy:
        # Every local server is ejected. False positives of failure detection must not
        # empty the pool, so all of them are used.
        scored = scorer.score_servers(scorer.with_states(considered))
    return scorer.choice_of(_pick(scored, random_state)) if scored else None


def _usable(
    servers: Sequence[Candidate],
    regions: Collection[str],
    exclude: Collection[str],
    digests: Sequence[int],
    random_state: random.Random,
) -> Iterator[Candidate]:
    """Yield the servers that may serve the request, from a start that varies.

    Only the first few are scored if there are many.
    """
    n_servers = len(servers)
    start = 0
    if n_servers > MAX_SCORED:
        # All daemons with the same list consider the same servers for a prefix.
        start = digests[0] if digests else random_state.randrange(n_servers)
    for index in range(n_servers):
        item = servers[(start + index) % n_servers]
        vm = item.vm
        if item.region in regions and not vm.is_draining and vm.name not in exclude:
            yield item


def _cached_blocks(
    items: Sequence[Candidate],
    digests: Sequence[int],
    prefixes: prefix_tables.PrefixTable,
    n_daemons: int,
) -> dict[str, float]:
    """Leading blocks that each server is assumed to have cached.

    One server has affinity for each prefix by rendezvous hashing. Daemons that do not
    know of each other's requests thus still send the same prefix to the same server.
    """
    if not digests or not items:
        return {}
    cached: dict[str, float] = dict(prefixes.cached_blocks(digests, n_daemons))
    first_digest = digests[0]
    affinity_server = max(
        items, key=lambda item: rendezvous.fast_score(first_digest, item.seed)
    )
    cached.setdefault(affinity_server.vm.name, AFFINITY_CACHED_FRACTION * len(digests))
    return cached


def _allowed_remotes(
    remotes: Sequence[RemoteDomain],
    regions: Collection[str],
    exclude: Collection[str],
    home_region: str,
    random_state: random.Random,
) -> list[RemoteDomain]:
    """Up to `MAX_REMOTES` domains that may serve the request, the home region first."""
    allowed = [
        item
        for item in remotes
        if item.region in regions and item.domain not in exclude
    ]
    if len(allowed) <= MAX_REMOTES:
        return allowed
    home = [item for item in allowed if item.region == home_region]
    others = [item for item in allowed if item.region != home_region]
    return (home + random_state.sample(others, len(others)))[:MAX_REMOTES]


def _pick(scored: list[costs.Scored], random_state: random.Random) -> costs.Scored:
    min_cost = min(item.cost for item in scored)
    bound = min_cost + NEAR_EQUAL_S + NEAR_EQUAL_FRACTION * min_cost
    near_equal = [item for item in scored if item.cost <= bound]
    if len(near_equal) == 1:
        return near_equal[0]
    return random_state.choices(near_equal, [item.room for item in near_equal])[0]
