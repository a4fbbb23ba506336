"""Placement of a request: a server of the region, another region, or a refusal.

A server of the region to which this daemon has no path is reached through another
daemon of the region that has one.

The critical case is a region at its peak load while others are idle, with prompts
queued at the engines for longer than the latency goal. A request is sent to the first
server in the affinity order of its shared prompt part that is expected to answer in
time, or else to the one with the lowest cost. A request that would be answered too late
to be of full use is refused at once with the time after which there will be capacity,
so that the other requests meet their goals.
"""

import math
from collections.abc import Mapping

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import estimates, regions, server_table, state

READ_WEIGHT = 0.7
"""Additional cost of a second of prefill, as it delays later requests."""
FETCH_COST_S_PER_TOKEN = 4e-6
"""Additional cost of a fetched token, in seconds: links between engines are shared, and
users rate the transfer of a token at a seventh of its prefill."""
CACHED_AFTER_S = 0.5
"""Time after sending a prompt to a server until its parts are assumed to be cached and
can be fetched."""
FAILURE_WEIGHT = 1.5
"""Cost of a certain failure, in latency goals: the request would be late or lost."""
SILENCE_COST_S = 0.3
"""Cost of a server's silence, however long: how long each daemon has noticed it says
little, and among several silent servers the open requests are to decide."""
AFFINITY_FRACTION = 0.8
"""Fraction of the longest acceptable time to the first byte within which the affinity
order of a shared prompt part is followed."""
MAX_AFFINITY_FAILURE_RATE = 0.2
"""Maximum failure rate of a server chosen by affinity, above that of the best server,
and of a server from which prompt parts are fetched."""
EVENT_GAP_FRACTION = 0.85
"""Fraction of the longest allowed pause between events that an estimated pause may
take; an engine that shares its machine may be slower for a moment."""
DELAYED_STREAM_COST = 0.25
"""Cost of a running stream that a prompt makes late, in latency goals of the request. A
part of the streams end before the prompt is prefilled, or are late already."""
LONG_PROMPT_FRACTION = 0.5
"""Fraction of the pause that streams bear beyond their decoding time from which on a
prompt is a long one: other prompts are often prefilled at the same time."""
LONG_PROMPTS_KEY = "long prompts"
"""Key by which servers are ranked for long prompts."""
MAX_CANDIDATES = 48
"""Maximum number of servers compared for a request. This limits the time of a decision;
the best of that many is nearly as good as the best of all."""
NEIGHBOUR_ROUND_TRIP_S = 0.015
"""Network time that a request through another daemon of the region adds to its first
answer."""
STAY_FRACTION = 0.15
"""Fraction of the remaining latency goal within which a request stays in its region.
Traffic between regions is expensive and limited, but prefill slows down all streams."""
URGENT_GOAL_FRACTION, GOAL_FRACTION = 0.95, 0.8
"""Fraction of the remaining latency goal that an estimate may take. At high load nine
of ten urgent requests are answered faster than estimated; others are overtaken by
urgent ones that arrive later, and nine of ten take up to 1.6 times the estimate."""
RATIONED_URGENT_GOAL_FRACTION = 0.7
"""The same of an urgent request where the capacity is divided: the queues stay as long
as they are, so that estimates are exceeded more often."""
LATE_QUEUE_FRACTION = 0.4
"""Maximum queueing time, in latency goals, of a request that will miss its goal because
of its size or an earlier refusal: it only uses spare capacity."""
MAX_OVERFLOW_QUEUE_FRACTION = 0.1
"""Maximum queueing time, in latency goals, in another region to which requests overflow
that are refused here: a refusal from there would be late."""
RESUME_WITHIN_S = 4.0
"""Longest time to the first byte when a stream is resumed or taken up; callers
disconnect after 6 s of silence."""
CALLER_TIMEOUT_FRACTION = 0.8
"""Fraction of the caller's remaining timeout that an estimate may take."""
MIN_STREAM_FRACTION = 0.9
"""Fraction of a stream's estimated duration that must fit into the caller's timeout:
callers' hints of its length are often far off, and streams without a useful result slow
down the others."""
MIN_CONTINUED_FRACTION = 0.25
"""The same of the rest of a stream that goes on: it costs a part of a new stream, and
with it the caller has the whole."""
MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S = 0.15, 4.0
"""Bounds of Retry-After."""
NO_SERVER_RETRY_AFTER_S = 0.5
"""Retry-After when no server is registered; the list is refreshed as often."""


@attrs.frozen
class ServerChoice:
    """The request is sent to a server of this region.

    Parameters
    ----------
    server : ServerState
    expected : Estimate
    prefix_source : ServerState or None
        Another server, from whose cache leading parts of the prompt are fetched.
    """

    server: server_table.ServerState
    expected: estimates.Estimate
    prefix_source: server_table.ServerState | None = None


@attrs.frozen
class CachedPrefix:
    """Leading prompt tokens that a server has cached and can transfer."""

    n_tokens: int
    server: server_table.ServerState


@attrs.frozen
class PeerChoice:
    """The request is sent to another daemon.

    Parameters
    ----------
    entry : EntryVm
    view : RegionView or None
        Loads of its region; None for a daemon of this region.
    expected : Estimate
    failure_rate : float
        Of the server that is to be reached through a daemon of this region.
    """

    entry: ingress.EntryVm
    view: regions.RegionView | None
    expected: estimates.Estimate
    failure_rate: float = 0.0


@attrs.frozen
class NoCapacity:
    """No server or region is expected to answer in time.

    Parameters
    ----------
    expected_s : float or None
        Lowest estimated time to the first byte; None if there is no usable server.
    retry_after_s : float
    queue_s : float
        The part of `expected_s` that is spent waiting for other requests.
    stream_s : float
        Time from the first byte to the end of a stream.
    admitted_fraction : float or None
        Fraction of such requests that are admitted; None if this one was.
    """

    expected_s: float | None
    retry_after_s: float
    queue_s: float = 0.0
    stream_s: float = 0.0
    admitted_fraction: float | None = None


Choice = ServerChoice | PeerChoice | NoCapacity


def choose(st: state.State, item: state.OpenRequest, now_s: float) -> Choice:
    """Choose where a request is sent.

    Parameters
    ----------
    st : State
    item : OpenRequest
    now_s : float

    Returns
    -------
    ServerChoice or PeerChoice or NoCapacity
    """
    best = _best_in_region(st, item, now_s)
    remote = _best_remote(st, item, now_s)
    if best is None or (
        remote is not None and _is_remote_better(st, item, best, remote, now_s)
    ):
        best = remote
    if best is None:
        return NoCapacity(None, no_server_retry_after_s(st, item, now_s))
    if _is_fast_enough(item, best.expected, now_s):
        return best
    expected = best.expected
    retry_after_s = _retry_after_s(st, item, expected)
    return NoCapacity(
        expected.first_s, retry_after_s, expected.queue_s, expected.stream_s
    )


def choose_with_room(
    st: state.State, item: state.OpenRequest, now_s: float
) -> PeerChoice | None:
    """Choose another region with room beyond what its own callers need."""
    remote = _best_remote(st, item, now_s)
    if remote is None or not _is_fast_enough(item, remote.expected, now_s):
        return None
    max_queue_s = MAX_OVERFLOW_QUEUE_FRACTION * item.route.latency_goal_s
    return remote if remote.expected.queue_s <= max_queue_s else None


def _best_in_region(
    st: state.State, item: state.OpenRequest, now_s: float
) -> ServerChoice | PeerChoice | None:
    """Return the best way to a server of this region."""
    usable = st.servers.usable(item.service.name, now_s)
    in_doubt = [server for server in usable if not server.path.is_open]
    sure = [server for server in usable if server.path.is_open]
    local = _best_local(st, item, sure, now_s)
    if local is not None and _is_fast_enough(item, local.expected, now_s):
        return local
    through_neighbour = _best_neighbour(st, item, now_s)
    if through_neighbour is None:
        return local or _best_local(st, item, in_doubt, now_s)
    if local is None or _is_fast_enough(item, through_neighbour.expected, now_s):
        return through_neighbour
    return local


def _best_neighbour(
    st: state.State, item: state.OpenRequest, now_s: float
) -> PeerChoice | None:
    """Return the best daemon of this region with a path that this one has lost."""
    region = st.cfg.local_entry.region
    if item.req.is_relayed or region in item.tried_regions:
        return None
    servers = _of_origin(item, st.servers.beyond_reach(item.service.name, now_s))
    if not servers or not item.allows(region):
        return None
    entries = [
        entry
        for entry in st.members.linked_in_region()
        if _is_untried(st, item, entry, now_s)
    ]
    candidates = [
        server
        for server in servers
        if any(server.is_reached_by(entry.name) for entry in entries)
    ]
    if not candidates:
        return None
    if len(candidates) > MAX_CANDIDATES:
        candidates = st.random_state.sample(candidates, MAX_CANDIDATES)
    costed = [
        _without_silence(_cost_choice(server, item, None, now_s))
        for server in candidates
    ]
    choice = _cheapest(costed, item, now_s)
    reaching = [entry for entry in entries if choice.server.is_reached_by(entry.name)]
    n_fewest = min(st.n_relays[entry.name] for entry in reaching)
    least_used = [entry for entry in reaching if st.n_relays[entry.name] == n_fewest]
    first_s = choice.expected.first_s + NEIGHBOUR_ROUND_TRIP_S
    expected = attrs.evolve(choice.expected, first_s=first_s)
    entry = st.random_state.choice(least_used)
    return PeerChoice(entry, None, expected, choice.server.failure_rate(now_s))


def _is_untried(
    st: state.State, item: state.OpenRequest, entry: ingress.EntryVm, now_s: float
) -> bool:
    """Return whether a request may be sent to another daemon."""
    is_aside = now_s < st.peers_aside_until_s.get(entry.name, 0.0)
    return entry.name not in item.tried_peers and not is_aside


def _of_origin(
    item: state.OpenRequest, servers: list[server_table.ServerState]
) -> list[server_table.ServerState]:
    """Return the servers that can continue the request's stream; all for a new one."""
    if item.origin is None:
        return servers
    version = item.origin.version
    return [s for s in servers if s.is_start_known and s.record.version == version]


def _best_local(
    st: state.State,
    item: state.OpenRequest,
    usable: list[server_table.ServerState],
    now_s: float,
) -> ServerChoice | None:
    """Return the best of the usable servers of this region."""
    if not item.allows(st.cfg.local_entry.region):
        return None
    candidates = _candidates(st, item, usable, now_s)
    if not candidates:
        return None
    prompt = item.remaining_prompt
    if prompt is not None and prompt.shared_parts:
        candidates = _by_affinity(st, item, prompt, candidates)
        gap_s = st.table.event_gap_s(item.service.name) if st.table else None
        unprotected: frozenset[str] = frozenset()
        if gap_s is not None:
            candidates, unprotected = _long_prompts_apart(
                st, item, candidates, gap_s, now_s
            )
        candidates = candidates[:MAX_CANDIDATES]
        cached_prefix = _longest_cached_prefix(candidates, prompt, now_s)
        event_gaps_s = {
            server.record.id: None if server.record.id in unprotected else gap_s
            for server in candidates
        }
        return _first_fast_enough(candidates, item, cached_prefix, event_gaps_s, now_s)
    if len(candidates) > MAX_CANDIDATES:
        candidates = st.random_state.sample(candidates, MAX_CANDIDATES)
    costed = [_cost_choice(server, item, None, now_s) for server in candidates]
    return _cheapest(costed, item, now_s)


def _long_prompts_apart(
    st: state.State,
    item: state.OpenRequest,
    candidates: list[server_table.ServerState],
    event_gap_s: float,
    now_s: float,
) -> tuple[list[server_table.ServerState], frozenset[str]]:
    """Order servers so that those for long prompts come first for these, else last.

    Returns
    -------
    candidates : list of ServerState
    unprotected : frozenset of str
        Ids of those whose streams this request may delay.
    """
    engine, prompt = item.service.engine, item.remaining_prompt
    if engine is None or prompt is None:
        return candidates, frozenset()
    is_long = is_long_prompt(
        candidates[0], engine, prompt.n_unshared_tokens, event_gap_s, now_s
    )
    if is_long is None:
        return candidates, frozenset()
    n_servers = st.long_prompts[item.service.name].n_servers(len(candidates), now_s)
    ranks = st.servers.ranks(item.service.name, LONG_PROMPTS_KEY)
    by_rank = sorted(ranks[server.record.id] for server in candidates)
    n_first = by_rank[n_servers] if n_servers < len(by_rank) else len(ranks)
    apart = [server for server in candidates if ranks[server.record.id] < n_first]
    others = [server for server in candidates if ranks[server.record.id] >= n_first]
    if not is_long:
        return others + apart, frozenset()
    return apart + others, frozenset(server.record.id for server in apart)


def is_long_prompt(
    server: server_table.ServerState,
    engine: ingress.Engine,
    n_tokens: int,
    event_gap_s: float,
    now_s: float,
) -> bool | None:
    """Return whether the prefill of a prompt by itself pauses streams for long.

    None where no prompt can make them late, however long it is.
    """
    longest_s = EVENT_GAP_FRACTION * event_gap_s
    if estimates.pause_s(engine.n_memory_tokens, server, engine, now_s) <= longest_s:
        return None
    decode_s = estimates.pause_s(0, server, engine, now_s)
    pause_s = estimates.pause_s(n_tokens, server, engine, now_s)
    return pause_s - decode_s > LONG_PROMPT_FRACTION * (longest_s - decode_s)


def _delays_streams(expected: estimates.Estimate, event_gap_s: float | None) -> bool:
    """Return whether a request makes the streams pause for too long at its server."""
    if event_gap_s is None:
        return False
    longest_s = EVENT_GAP_FRACTION * event_gap_s
    return expected.pause_s > longest_s >= expected.pause_before_s


def _longest_cached_prefix(
    candidates: list[server_table.ServerState], prompt: ingress.Prompt, now_s: float
) -> CachedPrefix | None:
    """Return the longest cached prefix among servers that don't fail too often."""
    shared_parts = prompt.shared_parts
    recorded_by_s = now_s - CACHED_AFTER_S
    best = None
    for server in candidates:
        n_tokens = server.cache.n_cached_tokens(shared_parts, recorded_by_s)
        is_better = n_tokens > (best.n_tokens if best else 0)
        if is_better and server.failure_rate(now_s) <= MAX_AFFINITY_FAILURE_RATE:
            best = CachedPrefix(n_tokens, server)
    return best


def _first_fast_enough(
    candidates: list[server_table.ServerState],
    item: state.OpenRequest,
    cached_prefix: CachedPrefix | None,
    event_gaps_s: Mapping[str, float | None],
    now_s: float,
) -> ServerChoice:
    """Return the first server that is fast enough, else that of lowest cost.

    A server where the prompt would make running streams pause for longer than its event
    gap isn't taken for its place in the affinity order.
    """
    max_first_s = AFFINITY_FRACTION * _max_first_s(item, now_s)
    max_failure_rate = (
        min(server.failure_rate(now_s) for server in candidates)
        + MAX_AFFINITY_FAILURE_RATE
    )
    costed = []
    for server in candidates:
        cost_s, choice = _cost_choice(server, item, cached_prefix, now_s)
        expected = choice.expected
        is_fast_enough = expected.first_s <= max_first_s and _can_finish(
            item, expected, now_s
        )
        if _delays_streams(expected, event_gaps_s[server.record.id]):
            is_fast_enough = False
            n_streams = server.work.sums.n_open
            cost_s += DELAYED_STREAM_COST * item.route.latency_goal_s * n_streams
        if is_fast_enough and server.failure_rate(now_s) <= max_failure_rate:
            return choice
        costed.append((cost_s, choice))
    return _cheapest(costed, item, now_s)


def _cheapest(
    costed: list[tuple[float, ServerChoice]], item: state.OpenRequest, now_s: float
) -> ServerChoice:
    """Return the choice with the lowest cost, of those that are fast enough if any."""
    fast_enough = [
        costed_choice
        for costed_choice in costed
        if _is_fast_enough(item, costed_choice[1].expected, now_s)
    ]
    return min(fast_enough or costed, key=_cost_of)[1]


def _cost_of(costed_choice: tuple[float, ServerChoice]) -> float:
    return costed_choice[0]


def _by_affinity(
    st: state.State,
    item: state.OpenRequest,
    prompt: ingress.Prompt,
    candidates: list[server_table.ServerState],
) -> list[server_table.ServerState]:
    """Return the servers in the affinity order of the prompt's last shared part.

    All daemons of the region use the same order, so that few servers cache the part and
    memory is left for other parts.
    """
    shared_part = prompt.shared_parts[-1]
    ranks = st.servers.ranks(item.service.name, shared_part.id)
    return sorted(candidates, key=lambda server: ranks[server.record.id])


def _candidates(
    st: state.State,
    item: state.OpenRequest,
    usable: list[server_table.ServerState],
    now_s: float,
) -> list[server_table.ServerState]:
    usable = _of_origin(item, usable)
    cold = [server for server in usable if server.is_cold(now_s)]
    if cold:
        gated = _gated(st, cold, item.service.warmup_requests_per_s, now_s)
        usable = [server for server in usable if server.record.id not in gated]
    untried = [s for s in usable if s.record.id not in item.tried_servers]
    return untried or usable


def _gated(
    st: state.State,
    cold: list[server_table.ServerState],
    requests_per_s: float,
    now_s: float,
) -> set[str]:
    """Return the ids of cold servers to which this daemon must not send yet."""
    index, n_daemons = st.members.index_in_region(now_s)
    return {
        server.record.id
        for server in cold
        if not server.warm_up_gate.is_open(
            now_s, server.cold_until_s - now_s, requests_per_s, index, n_daemons
        )
    }


def _cost_choice(
    server: server_table.ServerState,
    item: state.OpenRequest,
    cached_prefix: CachedPrefix | None,
    now_s: float,
) -> tuple[float, ServerChoice]:
    expected = estimates.at_server(
        server,
        item.service.engine,
        item.remaining_prompt,
        item.is_urgent,
        now_s,
        cached_prefix.n_tokens
        if cached_prefix and cached_prefix.server is not server
        else 0,
    )
    cost_s = expected.first_s + READ_WEIGHT * expected.prefill_s
    cost_s -= max(0.0, expected.silent_s - SILENCE_COST_S)
    cost_s += FETCH_COST_S_PER_TOKEN * expected.n_fetched_tokens
    cost_s += FAILURE_WEIGHT * item.route.latency_goal_s * server.failure_rate(now_s)
    prefix_source = (
        cached_prefix.server if cached_prefix and expected.n_fetched_tokens else None
    )
    return cost_s, ServerChoice(server, expected, prefix_source)


def _without_silence(
    costed_choice: tuple[float, ServerChoice],
) -> tuple[float, ServerChoice]:
    """Leave the silence out that this daemon's own path may explain."""
    cost_s, choice = costed_choice
    silent_s = choice.expected.silent_s
    first_s = choice.expected.first_s - silent_s
    expected = attrs.evolve(choice.expected, first_s=first_s, silent_s=0.0)
    cost_s -= min(silent_s, SILENCE_COST_S)
    return cost_s, attrs.evolve(choice, expected=expected)


def _best_remote(
    st: state.State, item: state.OpenRequest, now_s: float
) -> PeerChoice | None:
    if item.req.is_relayed:
        return None
    choices = []
    for region, view in st.regions.fresh(now_s).items():
        entries = [
            entry
            for entry in st.members.linked()
            if entry.region == region
            and entry.name not in view.loads.cut_off
            and _is_untried(st, item, entry, now_s)
        ]
        if region in item.tried_regions or not entries or not item.allows(region):
            continue
        is_local_allowed = item.allows(st.cfg.local_entry.region)
        if is_local_allowed and item.service.name in view.loads.rationed:
            continue
        if item.origin is not None and not st.versions.serves(region, item.origin):
            continue
        prompt = item.remaining_prompt
        expected = view.estimate(item.service, prompt, item.is_urgent, now_s)
        if expected is not None:
            entry = st.random_state.choice(entries)
            choices.append(PeerChoice(entry, view, expected))
    fast_enough = [
        choice for choice in choices if _is_fast_enough(item, choice.expected, now_s)
    ]
    return min(
        fast_enough or choices,
        key=lambda choice: choice.expected.first_s,
        default=None,
    )


def _is_remote_better(
    st: state.State,
    item: state.OpenRequest,
    local: ServerChoice | PeerChoice,
    remote: PeerChoice,
    now_s: float,
) -> bool:
    """Return whether a request should be sent to another region."""
    is_local_fast_enough = _is_fast_enough(item, local.expected, now_s)
    if is_local_fast_enough != _is_fast_enough(item, remote.expected, now_s):
        return not is_local_fast_enough
    gap_s = st.table.event_gap_s(item.service.name) if st.table else None
    if gap_s is not None and is_local_fast_enough:
        longest_s = EVENT_GAP_FRACTION * gap_s
        is_local_smooth = local.expected.pause_s <= longest_s
        if is_local_smooth != (remote.expected.pause_s <= longest_s):
            return not is_local_smooth
    if isinstance(local, ServerChoice):
        failure_rate = local.server.failure_rate(now_s)
    else:
        failure_rate = local.failure_rate
    failure_s = FAILURE_WEIGHT * item.route.latency_goal_s * failure_rate
    local_s = local.expected.first_s + failure_s
    if local_s <= STAY_FRACTION * item.remaining_goal_s(now_s):
        return False
    return remote.expected.first_s < local_s


def _max_first_s(item: state.OpenRequest, now_s: float) -> float:
    """Return the longest estimate of the first byte that meets the latency goal."""
    goal_fraction = URGENT_GOAL_FRACTION if item.is_urgent else GOAL_FRACTION
    if item.is_urgent and item.is_rationed:
        goal_fraction = RATIONED_URGENT_GOAL_FRACTION
    return goal_fraction * item.remaining_goal_s(now_s)


def _is_fast_enough(
    item: state.OpenRequest, expected: estimates.Estimate, now_s: float
) -> bool:
    """Return whether the estimated answer is early enough to accept the request."""
    remaining_s = item.deadline_s - now_s
    if expected.first_s > CALLER_TIMEOUT_FRACTION * remaining_s:
        return False
    if not _can_finish(item, expected, now_s):
        return False
    if item.is_continuing:
        # The first event, which the latency goal is for, has reached the caller.
        return expected.first_s <= RESUME_WITHIN_S
    if expected.first_s <= _max_first_s(item, now_s):
        return True
    if item.is_rationed:
        # There is no spare capacity, and others would miss their goals for it.
        return False
    return expected.queue_s <= LATE_QUEUE_FRACTION * item.route.latency_goal_s


def _can_finish(
    item: state.OpenRequest, expected: estimates.Estimate, now_s: float
) -> bool:
    """Return whether a stream is expected to end within its caller's timeout."""
    fraction = MIN_CONTINUED_FRACTION if item.is_continuing else MIN_STREAM_FRACTION
    end_s = expected.first_s + fraction * expected.stream_s
    return end_s <= item.deadline_s - now_s


def no_server_retry_after_s(
    st: state.State, item: state.OpenRequest, now_s: float
) -> float:
    """Return the Retry-After when no server takes the request now."""
    returns_in_s = st.servers.returns_s(item.service.name) - now_s
    if not math.isfinite(returns_in_s):
        returns_in_s = 0.0
    return max(0.0, returns_in_s) + jittered(st, NO_SERVER_RETRY_AFTER_S)


def _retry_after_s(
    st: state.State, item: state.OpenRequest, expected: estimates.Estimate
) -> float:
    """Return the time after which such a request is expected to be accepted."""
    excess_s = expected.queue_s - LATE_QUEUE_FRACTION * item.route.latency_goal_s
    bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s))
    return jittered(st, bounded_s)


def jittered(st: state.State, seconds: float) -> float:
    """Return a randomized time, so that callers don't retry all at once."""
    return seconds * st.random_state.uniform(0.8, 1.4)
