"""What daemons tell each other of loads."""

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    effects,
    estimates,
    events,
    load_messages,
    prefill_load,
    server_table,
    state,
)

DOMAIN_INTERVAL_S = 0.1
"""Between messages within a region, where a message takes under a millisecond."""
MAX_DOMAIN_PER_S = 100.0
"""Messages that a daemon sends within its region: each takes 0.1 ms at both ends."""
REGION_INTERVAL_S = 0.3
"""Between messages to other regions: twice a latency goal of 0.8 s, as traffic there is
dear."""
N_TELLERS = 3
"""Daemons of a region that tell the same daemon of another one in an interval: loads
are the same, and two messages may be lost."""


def on_peer_said(st: state.State, now_s: float, event: events.PeerSaid) -> None:
    """Take over what another daemon told."""
    if isinstance(event.message, load_messages.RegionLoads):
        if event.message.region != st.cfg.local_entry.region:
            st.regions.take(event.message, now_s)
        return
    st.servers.take_share(event.vm, event.message.by_server, now_s)


def on_link_up(st: state.State, now_s: float, event: events.LinkUp) -> None:
    """Tell a daemon that has come what it missed."""
    st.members.link_up(event.entry)
    name = event.entry.name
    st.emit(effects.LogStateChange("peer", f"{name} is linked"))
    if event.entry.region == st.cfg.local_entry.region:
        shares = st.servers.all_shares(now_s)
        st.emit(effects.SendPeerMessage(name, load_messages.DaemonLoads(shares)))
    else:
        st.emit(effects.SendPeerMessage(name, region_loads(st, now_s)))


def on_link_down(st: state.State, now_s: float, event: events.LinkDown) -> None:
    """Forget the work of a daemon that is gone."""
    if not st.members.link_down(event.vm, event.incarnation, now_s):
        return
    st.servers.forget_peer(event.vm)
    st.emit(effects.LogStateChange("peer", f"{event.vm} is not linked"))


def on_tick(st: state.State, now_s: float) -> None:
    """Tell the others what has changed."""
    linked = st.members.linked()
    near = [entry for entry in linked if entry.region == st.cfg.local_entry.region]
    interval_s = max(DOMAIN_INTERVAL_S, len(near) / MAX_DOMAIN_PER_S)
    if now_s - st.domain_told_s >= interval_s:
        st.domain_told_s = now_s
        _tell_domain(st, near, now_s)
    if now_s - st.region_told_s >= REGION_INTERVAL_S:
        st.region_told_s = now_s
        abroad = [
            entry for entry in linked if entry.region != st.cfg.local_entry.region
        ]
        _tell_regions(st, abroad, now_s)


def _tell_domain(st: state.State, near: list[ingress.EntryVm], now_s: float) -> None:
    shares = st.servers.changed_shares(now_s)
    if not shares:
        return
    message = load_messages.DaemonLoads(shares)
    for entry in near:
        st.emit(effects.SendPeerMessage(entry.name, message))


def _tell_regions(st: state.State, abroad: list[ingress.EntryVm], now_s: float) -> None:
    """Tell some daemons of other regions; the others' turn comes next.

    The daemons of this region begin at different ones.
    """
    place, n_daemons = st.members.place_in_region(now_s)
    n_turns = max(1, n_daemons // N_TELLERS)
    st.region_turn += 1
    turn = (st.region_turn + place) % n_turns
    told = sorted(abroad, key=lambda entry: entry.name)[turn::n_turns]
    if told:
        message = region_loads(st, now_s)
        for entry in told:
            st.emit(effects.SendPeerMessage(entry.name, message))


def region_loads(st: state.State, now_s: float) -> load_messages.RegionLoads:
    """Sum up what this region's servers bear."""
    by_service = {}
    services = st.table.services.values() if st.table else ()
    for service in services:
        servers = [
            server
            for server in st.servers.usable(service.name, now_s)
            if not server.is_cold(now_s)
        ]
        if servers and not st.is_stopping:
            by_service[service.name] = _service_load(service, servers, now_s)
    return load_messages.RegionLoads(st.cfg.local_entry.region, by_service)


def _service_load(
    service: ingress.Service, servers: list[server_table.ServerState], now_s: float
) -> load_messages.ServiceLoad:
    totals = [server.work.sums for server in servers]
    unloaded_first_s = min(
        estimates.without_backlog(server, service.engine).first_s
        + server.failure_rate(now_s)
        for server in servers
    )
    n_free_tokens = 0
    if service.engine is not None:
        n_usable = int(estimates.MEMORY_PART * service.engine.n_memory_tokens)
        n_free_tokens = sum(max(0, n_usable - t.n_memory_tokens) for t in totals)
    paces = [
        server.pace(is_urgent) for server in servers for is_urgent in (True, False)
    ]
    pace = sum(paces) / len(paces)
    return load_messages.ServiceLoad(
        n_servers=len(servers),
        unloaded_first_s=round(unloaded_first_s, 3),
        n_pending_tokens=sum(total.n_pending_tokens for total in totals),
        n_urgent_tokens=sum(total.n_urgent_tokens for total in totals),
        tokens_per_s=round(prefill_load.TOKENS_PER_S / pace),
        n_open=sum(total.n_open for total in totals),
        n_slots=sum(max(1, server.record.n_slots) for server in servers),
        n_free_tokens=n_free_tokens,
        inter_token_s=round(min(server.inter_token_s(now_s) for server in servers), 4),
    )
