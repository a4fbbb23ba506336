"""Handlers for load reports.

The daemons of a domain divide its backend servers among them, read their reports and
send these to each other. Other domains receive a summary per service.
"""

from bilberryridge.core import documents, messages
from bilberryridge.decisions import (
    effects,
    events,
    membership,
    placement,
    request_handlers,
    state,
)

LOADS_REPORT_INTERVAL_S = 1.0
LOAD_REPEAT_S = 5.0
SUMMARY_REPEAT_S = 10.0
MS_PER_S = 1000
DEFAULT_ONE_WAY_S = 0.03
CAPACITY_STALE_S = 25.0
"""Age of a domain's summary at which the domain counts as partitioned."""

MIN_CHANGE_FRACTION = 0.125
"""Fraction of the slots; a smaller change is not sent before the next repeat."""


def on_load(st: state.State, now_s: float, event: events.LoadRead) -> None:
    """Record a report that this daemon read."""
    if event.is_answering:
        st.loads.on_report(now_s, event.server, event.n_running, event.n_waiting, 0.0)
        st.fresh_reports[event.server] = now_s
        _dispatch_service_of(st, now_s, event.server)
    else:
        st.count("load_reports_missing")


def on_delta(
    st: state.State, now_s: float, sender: str, body: messages.LoadDelta
) -> None:
    """Record reports that another daemon of the local domain read."""
    age_s = body.age_ms / MS_PER_S
    for load in body.loads:
        st.loads.on_report(now_s, load.server, load.n_running, load.n_waiting, age_s)
        _dispatch_service_of(st, now_s, load.server)


def _dispatch_service_of(st: state.State, now_s: float, server: str) -> None:
    vm = st.deployment.vms.get(server)
    if vm is not None:
        request_handlers.dispatch(st, now_s, vm.service)


def on_summaries(
    st: state.State, now_s: float, sender: str, body: messages.DomainSummaries
) -> None:
    """Record the capacities of other domains; the newest summary of each counts."""
    is_remote_sender = sender not in st.local_daemon_names()
    for summary in body.domains:
        is_known = summary.domain in st.deployment.domains
        if not is_known or summary.domain == st.cfg.domain:
            continue
        _accept_summary(st, now_s, summary)
        if is_remote_sender:
            # Relayed within the local domain at the next report of loads.
            st.domains_to_relay.add(summary.domain)


def _accept_summary(
    st: state.State, now_s: float, summary: messages.DomainSummary
) -> None:
    age_s = summary.age_ms / MS_PER_S
    region = st.deployment.region_of(summary.domain)
    one_way_s = _one_way_s(st, region)
    for capacity in summary.capacities:
        by_domain = st.remote_capacities.setdefault(capacity.service, {})
        known = by_domain.get(summary.domain)
        if known is not None and _age_s(now_s, known) < age_s:
            continue
        received = messages.ServiceSummary(
            summary.domain,
            capacity.service,
            capacity.n_slots,
            capacity.n_busy,
            capacity.n_waiting,
            age_s,
        )
        by_domain[summary.domain] = placement.RemoteDomain(
            summary.domain, region, one_way_s, received, received_s=now_s
        )


def _one_way_s(st: state.State, region: str) -> float:
    for link in st.deployment.links.values():
        if {link.a, link.b} == {st.cfg.region, region}:
            return link.one_way_ms / 1e3
    return DEFAULT_ONE_WAY_S


def _age_s(now_s: float, remote: placement.RemoteDomain) -> float:
    received_s = now_s if remote.received_s is None else remote.received_s
    return now_s - received_s + remote.summary.age_s


def on_tick(st: state.State, now_s: float) -> None:
    """Assign the reports to read, send those that were read, drop stale summaries."""
    if now_s - st.last_loads_reported_s < LOADS_REPORT_INTERVAL_S:
        return
    st.last_loads_reported_s = now_s
    st.loads.n_daemons = len(st.live_local_daemons(now_s))
    _assign_load_reports(st, now_s)
    _send_loads(st, now_s)
    _send_summaries(st, now_s)
    _relay_summaries(st, now_s)
    for by_domain in st.remote_capacities.values():
        for domain, remote in list(by_domain.items()):
            if _age_s(now_s, remote) > CAPACITY_STALE_S:
                del by_domain[domain]


def _assign_load_reports(st: state.State, now_s: float) -> None:
    live = sorted(st.live_local_daemons(now_s))
    # Ranking hundreds of servers is too expensive to repeat it without a change.
    assigned_for = (st.replica.complete_revision, tuple(live))
    if assigned_for == st.assigned_for:
        return
    st.assigned_for = assigned_for
    assigned = tuple(
        (vm.name, vm.address)
        for vm in sorted(local_servers(st), key=lambda vm: vm.name)
        if membership.responsible_for(f"load/{vm.name}", live) == st.cfg.vm
    )
    if assigned != st.read_servers:
        st.read_servers = assigned
        st.emit(effects.ReadLoads(assigned))


def local_servers(st: state.State) -> list[documents.Vm]:
    """Return the backend servers of the local failure domain."""
    return st.deployment.servers(st.cfg.domain)


def _send_loads(st: state.State, now_s: float) -> None:
    peers = st.local_peers()
    due = [server for server in st.fresh_reports if _is_load_due(st, now_s, server)]
    if due and peers:
        oldest_s = min(st.fresh_reports[server] for server in due)
        loads = tuple(_load_of(st, server) for server in due)
        body = messages.LoadDelta(round((now_s - oldest_s) * MS_PER_S), loads)
        for peer in peers:
            st.send_peer(peer, body)
        for load in loads:
            st.last_reported_loads[load.server] = (
                load.n_running,
                load.n_waiting,
                now_s,
            )
    st.fresh_reports.clear()


def _load_of(st: state.State, server: str) -> messages.ServerLoad:
    known = st.loads.server(server)
    return messages.ServerLoad(server, known.n_running, known.n_waiting)


def _is_load_due(st: state.State, now_s: float, server: str) -> bool:
    """Whether peers need a new report of the load.

    They do if it changed so much that their decisions would differ, or if a repetition
    is due to show that the server still reports.
    """
    last_reported = st.last_reported_loads.get(server)
    if last_reported is None or now_s - last_reported[2] >= LOAD_REPEAT_S:
        return True
    known = st.loads.server(server)
    change = abs(
        known.n_running + known.n_waiting - last_reported[0] - last_reported[1]
    )
    return change >= max(1, round(MIN_CHANGE_FRACTION * known.n_slots))


def _send_summaries(st: state.State, now_s: float) -> None:
    local = st.local_daemon_names()
    remote_peers = [
        peer.vm for peer in st.members.connected_peers() if peer.vm not in local
    ]
    if not remote_peers:
        return
    capacities = _local_capacities(st, now_s)
    if not any(
        _is_capacity_due(now_s, c, st.last_reported_capacities.get(c.service))
        for c in capacities
    ):
        return
    # A message that is sent anyway costs little more with the capacities that would be
    # due within half of the interval.
    due = [
        c
        for c in capacities
        if _is_capacity_due(
            now_s + SUMMARY_REPEAT_S / 2, c, st.last_reported_capacities.get(c.service)
        )
    ]
    for capacity in due:
        st.last_reported_capacities[capacity.service] = (capacity, now_s)
    summary = messages.DomainSummary(st.cfg.domain, 0, tuple(due))
    for vm in remote_peers:
        st.send_peer(vm, messages.DomainSummaries((summary,)))


def _relay_summaries(st: state.State, now_s: float) -> None:
    relayed = []
    for domain in sorted(st.domains_to_relay):
        capacities, age_s = [], 0.0
        for service, by_domain in st.remote_capacities.items():
            remote = by_domain.get(domain)
            if remote is None or not _is_relay_due(st, now_s, service, remote):
                continue
            known = remote.summary
            capacities.append(
                messages.ServiceCapacity(
                    service, known.n_slots, known.n_busy, known.n_waiting
                )
            )
            age_s = max(age_s, _age_s(now_s, remote))
            st.last_relayed_capacities[domain, service] = (capacities[-1], now_s)
        if capacities:
            age_ms = round(age_s * MS_PER_S)
            relayed.append(messages.DomainSummary(domain, age_ms, tuple(capacities)))
    st.domains_to_relay.clear()
    if relayed:
        for peer in st.local_peers():
            st.send_peer(peer, messages.DomainSummaries(tuple(relayed)))


def _is_relay_due(
    st: state.State, now_s: float, service: str, remote: placement.RemoteDomain
) -> bool:
    known = remote.summary
    capacity = messages.ServiceCapacity(
        service, known.n_slots, known.n_busy, known.n_waiting
    )
    last_relayed = st.last_relayed_capacities.get((remote.domain, service))
    return _is_capacity_due(now_s, capacity, last_relayed)


def _local_capacities(st: state.State, now_s: float) -> list[messages.ServiceCapacity]:
    totals: dict[str, messages.ServiceCapacity] = {}
    for vm in local_servers(st):
        before = totals.get(vm.service) or messages.ServiceCapacity(vm.service, 0, 0, 0)
        totals[vm.service] = before
        if not st.members.accepts_new_requests(now_s, vm):
            continue
        if st.loads.is_ejected(now_s, vm.name):
            continue
        estimate = st.loads.estimate(now_s, vm.name)
        totals[vm.service] = messages.ServiceCapacity(
            vm.service,
            before.n_slots + vm.n_slots,
            before.n_busy + round(estimate.n_busy),
            before.n_waiting + round(estimate.n_waiting),
        )
    return list(totals.values())


def _is_capacity_due(
    now_s: float,
    capacity: messages.ServiceCapacity,
    last_reported: tuple[messages.ServiceCapacity, float] | None,
) -> bool:
    if last_reported is None or now_s - last_reported[1] >= SUMMARY_REPEAT_S:
        return True
    before = last_reported[0]
    n_changed = max(
        abs(capacity.n_slots - before.n_slots),
        abs(capacity.n_busy + capacity.n_waiting - before.n_busy - before.n_waiting),
    )
    return n_changed > MIN_CHANGE_FRACTION * max(capacity.n_slots, before.n_slots)
