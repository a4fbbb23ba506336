"""Load reports: read in shares, passed on within the domain, summed up for others."""

import attrs

from bilberryridge.core import documents, messages
from bilberryridge.decisions import (
    effects,
    events,
    membership,
    placement,
    request_flow,
    state,
)

LOADS_TOLD_INTERVAL_S = 1.0
SUMMARY_REPEAT_S = 5.0
DEFAULT_ONE_WAY_S = 0.03
ROOM_STALE_S = 15.0
"""After this long without a word a domain is taken to be cut off."""

CHANGE_SHARE = 0.1
"""Of a domain's slots; a smaller change is not told before the next repeat."""


def on_load(st: state.State, now_s: float, event: events.LoadRead) -> None:
    """Take a report that this daemon read."""
    if event.is_answering:
        st.loads.on_report(now_s, event.server, event.n_running, event.n_waiting, 0.0)
        st.fresh_reports[event.server] = now_s
        _dispatch_service_of(st, now_s, event.server)
    else:
        st.count("load_reports_missing")


def on_delta(
    st: state.State, now_s: float, sender: str, body: messages.LoadDelta
) -> None:
    """Take reports that a daemon of the own domain read."""
    for load in body.loads:
        st.loads.on_report(
            now_s, load.server, load.n_running, load.n_waiting, load.age_s
        )
        _dispatch_service_of(st, now_s, load.server)


def _dispatch_service_of(st: state.State, now_s: float, server: str) -> None:
    vm = st.deployment.vms.get(server)
    if vm is not None:
        request_flow.dispatch(st, now_s, vm.service)


def on_summaries(
    st: state.State, now_s: float, sender: str, body: messages.Summaries
) -> None:
    """Take rooms of other domains; the newest word on each counts."""
    news = [s for s in body.summaries if _is_news(st, now_s, s)]
    for summary in news:
        by_domain = st.remote_rooms.setdefault(summary.service, {})
        by_domain[summary.domain] = _remote(st, now_s, summary)
    is_from_outside = sender not in {vm.name for vm in st.domain_daemons(st.cfg.domain)}
    if news and is_from_outside:
        for peer in st.own_peers():
            st.send_peer(peer, messages.Summaries(tuple(news)))


def _is_news(st: state.State, now_s: float, summary: messages.ServiceSummary) -> bool:
    if summary.domain == st.cfg.domain or summary.domain not in st.deployment.domains:
        return False
    known = st.remote_rooms.get(summary.service, {}).get(summary.domain)
    return known is None or _age_s(now_s, known) > summary.age_s


def _remote(
    st: state.State, now_s: float, summary: messages.ServiceSummary
) -> placement.RemoteDomain:
    region = st.deployment.region_of(summary.domain)
    one_way_s = _one_way_s(st, region)
    return placement.RemoteDomain(
        summary.domain, region, one_way_s, summary, read_s=now_s
    )


def _one_way_s(st: state.State, region: str) -> float:
    for link in st.deployment.links.values():
        if {link.a, link.b} == {st.cfg.region, region}:
            return link.one_way_ms / 1e3
    return DEFAULT_ONE_WAY_S


def _age_s(now_s: float, remote: placement.RemoteDomain) -> float:
    read_s = now_s if remote.read_s is None else remote.read_s
    return now_s - read_s + remote.summary.age_s


def on_tick(st: state.State, now_s: float) -> None:
    """Share out the reports to read, and tell what was read."""
    st.loads.n_daemons = len(st.live_own_daemons(now_s))
    _share_reports(st, now_s)
    if now_s - st.last_loads_told_s < LOADS_TOLD_INTERVAL_S:
        return
    st.last_loads_told_s = now_s
    _tell_loads(st, now_s)
    _tell_summaries(st, now_s)
    for by_domain in st.remote_rooms.values():
        for domain, remote in list(by_domain.items()):
            if _age_s(now_s, remote) > ROOM_STALE_S:
                del by_domain[domain]


def _share_reports(st: state.State, now_s: float) -> None:
    live = sorted(st.live_own_daemons(now_s))
    # Ranking hundreds of servers costs too much to do it again without a change.
    shared_for = (st.replica.complete_revision, tuple(live))
    if shared_for == st.shared_for:
        return
    st.shared_for = shared_for
    mine = tuple(
        (vm.name, vm.address)
        for vm in sorted(own_servers(st), key=lambda vm: vm.name)
        if membership.responsible_for(f"load/{vm.name}", live) == st.cfg.vm
    )
    if mine != st.read_servers:
        st.read_servers = mine
        st.emit(effects.ReadLoads(mine))


def own_servers(st: state.State) -> list[documents.Vm]:
    """Return the backend servers of the own failure domain."""
    return st.deployment.servers(st.cfg.domain)


def _tell_loads(st: state.State, now_s: float) -> None:
    reports = []
    for server, read_s in st.fresh_reports.items():
        known = st.loads.server(server)
        load = messages.ServerLoad(
            server, known.n_running, known.n_waiting, now_s - read_s
        )
        reports.append(load)
    st.fresh_reports.clear()
    if reports:
        for peer in st.own_peers():
            st.send_peer(peer, messages.LoadDelta(tuple(reports)))


def _tell_summaries(st: state.State, now_s: float) -> None:
    due = [s for s in _own_summaries(st, now_s) if _is_due(st, now_s, s)]
    if not due:
        return
    own = {vm.name for vm in st.domain_daemons(st.cfg.domain)}
    for peer in st.members.connected():
        if peer.vm not in own:
            st.send_peer(peer.vm, messages.Summaries(tuple(due)))


def _own_summaries(st: state.State, now_s: float) -> list[messages.ServiceSummary]:
    totals: dict[str, messages.ServiceSummary] = {}
    for vm in own_servers(st):
        is_used = st.members.takes_new_work(now_s, vm) and not st.loads.is_ejected(
            now_s, vm.name
        )
        estimate = st.loads.estimate(now_s, vm.name)
        before = totals.get(vm.service) or messages.ServiceSummary(
            st.cfg.domain, vm.service, 0, 0, 0, 0.0
        )
        totals[vm.service] = attrs.evolve(
            before,
            n_slots=before.n_slots + (vm.n_slots if is_used else 0),
            n_busy=before.n_busy + (round(estimate.n_busy) if is_used else 0),
            n_waiting=before.n_waiting + (round(estimate.n_waiting) if is_used else 0),
        )
    return list(totals.values())


def _is_due(st: state.State, now_s: float, summary: messages.ServiceSummary) -> bool:
    key = summary.domain, summary.service
    told = st.told_summaries.get(key)
    now = (summary.n_slots, summary.n_busy, summary.n_waiting, now_s)
    if told is not None and now_s - told[3] < SUMMARY_REPEAT_S:
        most = max(abs(a - b) for a, b in zip(now[:3], told[:3], strict=True))
        if most <= CHANGE_SHARE * max(summary.n_slots, 1):
            return False
    st.told_summaries[key] = now
    return True
