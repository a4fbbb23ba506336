"""Where a request goes: a backend server here, another region, or nowhere now.

The load that decides is a region at its peak while others idle, with engines whose
prompts queue up for longer than the latency goal. A request goes to the first server
of its shared part that is expected to answer in time, else where it is cheapest; what
would be answered too late to be of full use is refused at once with the time after
which there is room, so that the others stay in time.
"""

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import estimates, regions, server_table, state

READ_WEIGHT = 0.7
"""Seconds that a second of prompt reading counts besides: it delays later requests."""
FETCH_WEIGHT_S = 4e-6
"""Seconds that a fetched token counts besides: links between engines are shared, and
the users put a token's transfer at a seventh of its reading."""
KEPT_AFTER_S = 0.5
"""After a prompt was sent to a server its parts are read and may be fetched there."""
FAULT_WEIGHT = 1.5
"""Latency goals that a certain failure costs: the request is late or lost."""
N_OWN_PARTS = 1
"""Last parts of a prompt that belong to one request; those before it are shared."""
HOME_PART = 0.8
"""Part of the time that an expectation may use within which a request goes to the first
server of its shared part that is soon enough."""
HOME_FAULT = 0.2
"""Fault rate that such a server may have above the best one's."""
MAX_COMPARED = 48
"""Servers that are compared for a request: bounds the time of a decision, and of that
many the best is nearly as good as of all."""
STAY_PART = 0.15
"""Part of the time left to the latency goal within which a request stays in its region:
traffic between regions is dear and thin, but prompts that are read slow all streams."""
URGENT_IN_TIME_PART, IN_TIME_PART = 0.95, 0.8
"""Part of the time left to the latency goal that an expectation may use. Nine of ten
urgent requests come sooner than expected at high load; others are overtaken by urgent
ones that come later, and nine of ten take up to 1.6 times as long."""
LATE_PART = 0.4
"""Latency goals that a request may queue that is late anyway, by its size or because it
has come back: only spare room is used."""
RESUME_WITHIN_S = 4.0
"""Longest first answer of a stream's rest: callers leave a silent stream at 6 s."""
PATIENCE_PART = 0.8
"""Part of the caller's patience that an expectation may use."""
REST_PART = 0.9
"""Part of a stream's expected rest that must fit into the caller's patience: callers'
hints of its length are often far off, and what is taken on in vain slows the others."""
MIN_RETRY_S, MAX_RETRY_S = 0.15, 4.0
"""Bounds of what callers are told to wait."""
EMPTY_RETRY_S = 0.5
"""Wait told to callers when no server is known: the list is refreshed as fast."""


@attrs.frozen
class ServerChoice:
    """The request goes to a server of this region.

    Parameters
    ----------
    server : ServerState
    expected : Estimate
    keeper : ServerState or None
        Another server, from which leading parts of the prompt are fetched.
    """

    server: server_table.ServerState
    expected: estimates.Estimate
    keeper: server_table.ServerState | None = None


@attrs.frozen
class Kept:
    """Leading prompt tokens that a server keeps and may hand over."""

    n_tokens: int
    server: server_table.ServerState


@attrs.frozen
class RegionChoice:
    """The request goes to a daemon of another region."""

    entry: ingress.EntryVm
    view: regions.RegionView
    expected: estimates.Estimate


@attrs.frozen
class NoCapacity:
    """There is no room in time.

    Parameters
    ----------
    expected_s : float or None
        Best expectation; None when no server is known that may be used.
    retry_after_s : float
    queue_s : float
        The part of the expectation that is spent behind other requests.
    """

    expected_s: float | None
    retry_after_s: float
    queue_s: float = 0.0


Choice = ServerChoice | RegionChoice | NoCapacity


def choose(st: state.State, item: state.OpenRequest, now_s: float) -> Choice:
    """Choose where a request goes now.

    Parameters
    ----------
    st : State
    item : OpenRequest
    now_s : float

    Returns
    -------
    ServerChoice or RegionChoice or NoCapacity
    """
    here = _best_here(st, item, now_s)
    there = _best_there(st, item, now_s)
    best: ServerChoice | RegionChoice | None = here
    if here is None or (
        there is not None and _is_better_away(item, here, there, now_s)
    ):
        best = there
    if best is None:
        return NoCapacity(None, _jittered(st, EMPTY_RETRY_S))
    if _is_soon_enough(item, best.expected, now_s):
        return best
    retry_after_s = _retry_after_s(st, item, best.expected)
    return NoCapacity(best.expected.first_s, retry_after_s, best.expected.queue_s)


def _best_here(
    st: state.State, item: state.OpenRequest, now_s: float
) -> ServerChoice | None:
    """Return the best server of this region."""
    if not item.route.allows(st.cfg.local_entry.region):
        return None
    candidates = _candidates(st, item, now_s)
    if not candidates:
        return None
    prompt = item.req.prompt
    if prompt is not None and len(prompt.parts) > N_OWN_PARTS:
        candidates = _by_home(st, item, prompt, candidates)[:MAX_COMPARED]
        kept = _most_kept(candidates, prompt, now_s)
        return _first_soon(candidates, item, kept, now_s)
    if len(candidates) > MAX_COMPARED:
        candidates = st.random_state.sample(candidates, MAX_COMPARED)
    rows = [_cost(server, item, None, now_s) for server in candidates]
    return _cheapest(rows, item, now_s)


def _most_kept(
    candidates: list[server_table.ServerState], prompt: ingress.Prompt, now_s: float
) -> Kept | None:
    """Return the sound server that keeps most of a prompt's shared parts."""
    shared_parts = prompt.parts[:-N_OWN_PARTS]
    noted_by_s = now_s - KEPT_AFTER_S
    best = None
    for server in candidates:
        n_tokens = server.cache.n_cached_tokens(shared_parts, noted_by_s)
        is_better = n_tokens > (best.n_tokens if best else 0)
        if is_better and server.failure_rate(now_s) <= HOME_FAULT:
            best = Kept(n_tokens, server)
    return best


def _first_soon(
    candidates: list[server_table.ServerState],
    item: state.OpenRequest,
    kept: Kept | None,
    now_s: float,
) -> ServerChoice:
    """Return the first server that is soon enough, else the cheapest."""
    soon_s = HOME_PART * _in_time_s(item, now_s)
    most_fault = min(server.failure_rate(now_s) for server in candidates) + HOME_FAULT
    rows = []
    for server in candidates:
        row = _cost(server, item, kept, now_s)
        expected = row[1].expected
        is_soon = expected.first_s <= soon_s and _may_end(item, expected, now_s)
        if is_soon and server.failure_rate(now_s) <= most_fault:
            return row[1]
        rows.append(row)
    return _cheapest(rows, item, now_s)


def _cheapest(
    rows: list[tuple[float, ServerChoice]], item: state.OpenRequest, now_s: float
) -> ServerChoice:
    """Return the cheapest server of those that are soon enough, else of all."""
    soon = [row for row in rows if _is_soon_enough(item, row[1].expected, now_s)]
    return min(soon or rows, key=_first)[1]


def _first(row: tuple[float, ServerChoice]) -> float:
    return row[0]


def _by_home(
    st: state.State,
    item: state.OpenRequest,
    prompt: ingress.Prompt,
    candidates: list[server_table.ServerState],
) -> list[server_table.ServerState]:
    """Return the servers in the order in which a shared part's requests fill them.

    All daemons of the region rank them alike; each further server that reads the part
    has less memory left for others.
    """
    shared_part = prompt.parts[-1 - N_OWN_PARTS]
    ranks = st.servers.ranks(item.service.name, shared_part.id)
    return sorted(candidates, key=lambda server: ranks[server.record.id])


def _candidates(
    st: state.State, item: state.OpenRequest, now_s: float
) -> list[server_table.ServerState]:
    usable = st.servers.usable(item.service.name, now_s)
    cold = [server for server in usable if server.is_cold(now_s)]
    if cold:
        closed = _closed(st, cold, item.service.warmup_requests_per_s, now_s)
        usable = [server for server in usable if server.record.id not in closed]
    untried = [s for s in usable if s.record.id not in item.tried_servers]
    return untried or usable


def _closed(
    st: state.State, cold: list[server_table.ServerState], rate: float, now_s: float
) -> set[str]:
    """Return the cold servers that this daemon must not send to now."""
    place, n_daemons = st.members.place_in_region(now_s)
    return {
        server.record.id
        for server in cold
        if not server.gate.is_open(
            now_s, server.cold_until_s - now_s, rate, place, n_daemons
        )
    }


def _cost(
    server: server_table.ServerState,
    item: state.OpenRequest,
    kept: Kept | None,
    now_s: float,
) -> tuple[float, ServerChoice]:
    expected = estimates.at_server(
        server,
        item.service.engine,
        item.req.prompt,
        item.is_urgent,
        now_s,
        kept.n_tokens if kept and kept.server is not server else 0,
    )
    cost_s = expected.first_s + READ_WEIGHT * expected.read_s
    cost_s += FETCH_WEIGHT_S * expected.n_fetched_tokens
    cost_s += FAULT_WEIGHT * item.route.latency_goal_s * server.failure_rate(now_s)
    keeper = kept.server if kept and expected.n_fetched_tokens else None
    return cost_s, ServerChoice(server, expected, keeper)


def _best_there(
    st: state.State, item: state.OpenRequest, now_s: float
) -> RegionChoice | None:
    if item.req.is_relayed:
        return None
    rows = []
    for region, view in st.regions.fresh(now_s).items():
        entries = [
            entry
            for entry in st.members.linked()
            if entry.region == region and entry.name not in item.tried_peers
        ]
        if region in item.tried_regions or not entries or not item.route.allows(region):
            continue
        expected = view.expected(item.service, item.req.prompt, item.is_urgent, now_s)
        if expected is not None:
            entry = st.random_state.choice(entries)
            rows.append(RegionChoice(entry, view, expected))
    soon = [row for row in rows if _is_soon_enough(item, row.expected, now_s)]
    return min(soon or rows, key=lambda row: row.expected.first_s, default=None)


def _is_better_away(
    item: state.OpenRequest, here: ServerChoice, there: RegionChoice, now_s: float
) -> bool:
    """Return whether a request should leave its region."""
    is_soon_here = _is_soon_enough(item, here.expected, now_s)
    if is_soon_here != _is_soon_enough(item, there.expected, now_s):
        return not is_soon_here
    goal_s = item.route.latency_goal_s
    here_s = here.expected.first_s + FAULT_WEIGHT * goal_s * here.server.failure_rate(
        now_s
    )
    if here_s <= STAY_PART * _goal_left_s(item, now_s):
        return False
    return there.expected.first_s < here_s


def _goal_left_s(item: state.OpenRequest, now_s: float) -> float:
    waited_s = item.waited_s + now_s - item.arrived_s
    return item.route.latency_goal_s - waited_s


def _in_time_s(item: state.OpenRequest, now_s: float) -> float:
    """Return the longest expectation with which a request is taken to come in time."""
    in_time_part = URGENT_IN_TIME_PART if item.is_urgent else IN_TIME_PART
    return in_time_part * _goal_left_s(item, now_s)


def _is_soon_enough(
    item: state.OpenRequest, expected: estimates.Estimate, now_s: float
) -> bool:
    """Return whether the first answer is expected soon enough to take it on."""
    left_s = item.deadline_s - now_s
    if expected.first_s > PATIENCE_PART * left_s:
        return False
    if not _may_end(item, expected, now_s):
        return False
    if item.is_committed:
        return expected.first_s <= RESUME_WITHIN_S
    if expected.first_s <= _in_time_s(item, now_s):
        return True
    return expected.queue_s <= LATE_PART * item.route.latency_goal_s


def _may_end(
    item: state.OpenRequest, expected: estimates.Estimate, now_s: float
) -> bool:
    """Return whether a stream is expected to end while its caller waits."""
    end_s = expected.first_s + REST_PART * expected.rest_s
    return end_s <= item.deadline_s - now_s


def _retry_after_s(
    st: state.State, item: state.OpenRequest, expected: estimates.Estimate
) -> float:
    """Return after how long a request like this would be taken on."""
    excess_s = expected.queue_s - LATE_PART * item.route.latency_goal_s
    bounded_s = min(MAX_RETRY_S, max(MIN_RETRY_S, excess_s))
    return _jittered(st, bounded_s)


def _jittered(st: state.State, seconds: float) -> float:
    """Spread callers, so that they don't return all together."""
    return seconds * st.random_state.uniform(0.8, 1.4)
