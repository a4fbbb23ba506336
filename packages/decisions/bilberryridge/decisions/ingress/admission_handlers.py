"""Where the division of a region's capacity acts on requests.

It acts only where the settings ask for it: elsewhere each request is placed alone.
"""

import math
import statistics

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    admission,
    effects,
    estimates,
    placement,
    prefill_load,
    server_table,
    state,
)

STREAM_TOKEN_S = 2e-4
"""Engine time of one token of a stream beside some thirty others."""
UNCACHED_FRACTION = 0.3
"""Fraction of a prompt's shared tokens that the engines of a region have not cached."""
RETURNED_AFTER_S = 0.12
"""Time that a caller has waited from which on it has come back; the shortest time that
a refusal names is 0.8 of `placement.MIN_RETRY_AFTER_S`."""
RETRY_AFTER_GOALS = 0.3
"""Mean Retry-After, in latency goals: most of the goal is left when the caller is
back, and other peaks have passed."""


def place(st: state.State, item: state.OpenRequest, now_s: float) -> placement.Choice:
    """Choose where a request is sent, or refuse it for the sake of others."""
    if not st.cfg.has_admission or item.n_attempts or item.is_continuing:
        return st.choose(st, item, now_s)
    if not item.allows(st.cfg.local_entry.region):
        # The region that may serve it decides.
        return st.choose(st, item, now_s)
    flow, sharer = keys_of(item)
    if not item.is_offered:
        item.is_offered = True
        st.admission.record(flow, sharer, work(item), now_s)
    fraction = st.admission.fraction(flow, sharer)
    item.is_rationed = st.admission.is_rationed(item.service.name)
    if fraction >= 1.0 or st.random_state.random() < fraction:
        return st.choose(st, item, now_s)
    remote = placement.choose_with_room(st, item, now_s)
    if remote is not None:
        return remote
    bounded_s = min(
        placement.MAX_RETRY_AFTER_S,
        max(placement.MIN_RETRY_AFTER_S, RETRY_AFTER_GOALS * item.route.latency_goal_s),
    )
    return placement.NoCapacity(
        math.inf,
        placement.jittered(st, bounded_s),
        admitted_fraction=fraction,
    )


def keys_of(item: state.OpenRequest) -> tuple[admission.Flow, admission.Sharer]:
    """Return with which others a request is admitted."""
    standing = admission.Standing.NEW
    if item.req.is_relayed and not _is_bound(item):
        standing = admission.Standing.RELAYED
    elif item.waited_s >= RETURNED_AFTER_S:
        standing = admission.Standing.RETURNED
    service, priority = item.service.name, item.priority
    name = item.organisation.name if item.organisation else item.route.name
    return (
        admission.Flow(service, item.route.name, priority, standing),
        admission.Sharer(service, priority, name),
    )


def _is_bound(item: state.OpenRequest) -> bool:
    """Return whether some regions may not serve a request."""
    organisation = item.organisation
    return bool(
        item.route.allowed_regions or (organisation and organisation.allowed_regions)
    )


def work(item: state.OpenRequest) -> float:
    """Return the time for which a request keeps a server, or a slot of it, busy."""
    prompt = item.req.prompt
    if item.service.engine is None or prompt is None:
        return estimates.PLAIN_WORK_S
    n_shared = prompt.n_tokens - prompt.n_unshared_tokens
    n_prefill = prompt.n_unshared_tokens + UNCACHED_FRACTION * n_shared
    prefill_s = n_prefill / prefill_load.TOKENS_PER_S
    return prefill_s + STREAM_TOKEN_S * prompt.n_answer_tokens


def _target_s(st: state.State, service: str, is_urgent: bool) -> float:
    """Return the mean queueing time that is aimed at."""
    assert st.table is not None
    goals_s = [
        route.latency_goal_s
        for route in st.table.routes
        if (route.priority == 0) is is_urgent
        and any(share.service == service for share in route.shares)
    ]
    return admission.TARGET_FRACTION * min(goals_s, default=1.0)


def _queueing(
    st: state.State,
    service: ingress.Service,
    servers: list[server_table.ServerState],
) -> admission.Queueing:
    # Work that waits at slow servers says little of those that a request is sent to.
    def median_s(is_urgent: bool) -> float:
        return statistics.median(
            estimates.queue_s(server, service.engine, is_urgent) for server in servers
        )

    return admission.Queueing(
        median_s(True),
        median_s(False),
        _target_s(st, service.name, True),
        _target_s(st, service.name, False),
    )


def on_tick(st: state.State, now_s: float) -> None:
    """Divide the capacity of each service anew."""
    if not st.cfg.has_admission or st.table is None:
        return
    if now_s - st.admission.divided_s < admission.DIVISION_INTERVAL_S:
        return
    st.admission.divided_s = now_s
    n_daemons = st.members.index_in_region(now_s)[1]
    for service in st.table.services.values():
        servers = st.servers.usable(service.name, now_s)
        if not servers:
            continue
        queueing = _queueing(st, service, servers)
        capacity = float(len(servers))
        if service.engine is None:
            capacity = float(sum(max(1, server.record.n_slots) for server in servers))
        if st.admission.update(service.name, queueing, n_daemons, capacity, now_s):
            _log(st, service, queueing)


def _log(
    st: state.State, service: ingress.Service, queueing: admission.Queueing
) -> None:
    is_rationed = st.admission.is_rationed(service.name)
    change = f"{service.name} is {'rationed' if is_rationed else 'open to all'}"
    log_fields = {
        "urgent_s": round(queueing.urgent_s, 3),
        "other_s": round(queueing.other_s, 3),
        "factor": round(st.admission.factor(service.name), 2),
    }
    st.emit(effects.LogStateChange("admission", change, log_fields))
