"""Handlers of links and load reports between daemons."""

import statistics

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    crash_handlers,
    division_messages,
    effects,
    estimates,
    events,
    holding_back,
    load_messages,
    path_handlers,
    prefill_load,
    quota_handlers,
    sending,
    server_table,
    server_word_handlers,
    slow_start_handlers,
    state,
    take_ups,
)

DAEMON_LOADS_INTERVAL_S = 0.1
"""Interval of load reports within a region, where a message takes under a
millisecond."""
MAX_DAEMON_LOADS_PER_S = 100.0
"""Maximum rate of load reports that a daemon sends within its region; each takes 0.1 ms
at both ends."""
REGION_LOADS_INTERVAL_S = 0.3
"""Interval of load reports to other regions: two within a latency goal of 0.8 s, but
not more, as traffic between regions is expensive."""
N_REPORTERS = 3
"""Number of daemons of a region that report to the same daemon of another region in
each interval. They report the same loads, so two of the messages may be lost."""


def on_peer_said(st: state.State, now_s: float, event: events.PeerSaid) -> None:
    """Apply the message of another daemon."""
    if isinstance(event.message, load_messages.RegionLoads):
        if event.message.region != st.cfg.local_entry.region:
            st.regions.update(event.message, now_s)
    elif isinstance(event.message, load_messages.DaemonLoads):
        server_word_handlers.on_shares(st, event.vm, event.message.by_server, now_s)
        path_handlers.on_shares(st, event.vm, event.message.by_server, now_s)
        st.servers.update_share(event.vm, event.message.by_server, now_s)
        slow_start_handlers.on_shares(st, event.message.by_server, now_s)
        st.streams.learn(event.message.streams, event.vm, now_s)
        if event.message.offered is not None:
            st.admission.on_report(event.vm, event.message.offered, now_s)
    elif isinstance(event.message, division_messages.Message):
        quota_handlers.on_message(st, event.vm, event.message, now_s)
    else:
        crash_handlers.on_report(st, event.message, now_s)


def on_link_up(st: state.State, now_s: float, event: events.LinkUp) -> None:
    """Report the current loads to a daemon whose link was opened."""
    st.members.link_up(event.entry)
    name = event.entry.name
    st.emit(effects.LogStateChange("peer", f"{name} is linked"))
    holding_back.tell_all(st, name, now_s)
    quota_handlers.on_link_up(st, name, now_s)
    if event.entry.region == st.cfg.local_entry.region:
        shares = st.servers.all_shares(now_s)
        st.emit(effects.SendPeerMessage(name, load_messages.DaemonLoads(shares)))
        take_ups.tell(st, name)
    else:
        st.emit(effects.SendPeerMessage(name, region_loads(st, now_s)))


def on_link_down(st: state.State, now_s: float, event: events.LinkDown) -> None:
    """Remove the shares of a daemon whose link closed."""
    if not st.members.link_down(event.vm, event.incarnation, now_s):
        return
    st.servers.remove_peer(event.vm)
    quota_handlers.update_daemons(st, now_s)
    st.admission.remove_peer(event.vm)
    st.emit(effects.LogStateChange("peer", f"{event.vm} is not linked"))


def on_tick(st: state.State, now_s: float) -> None:
    """Send the load reports that are due to other daemons."""
    local_region = st.cfg.local_entry.region
    st.servers.n_daemons = st.members.index_in_region(now_s)[1]
    interval_s = st.daemon_loads_interval_s
    if st.servers.has_unreported_limited_sends:
        interval_s *= sending.LIMITED_LOADS_FACTOR
    if now_s - st.daemon_loads_reported_s >= interval_s:
        local_peers = [e for e in st.members.linked() if e.region == local_region]
        st.daemon_loads_reported_s = now_s
        st.daemon_loads_interval_s = max(
            DAEMON_LOADS_INTERVAL_S, len(local_peers) / MAX_DAEMON_LOADS_PER_S
        )
        _send_daemon_loads(st, local_peers, now_s)
    if now_s - st.region_loads_reported_s >= REGION_LOADS_INTERVAL_S:
        st.region_loads_reported_s = now_s
        remote_peers = [e for e in st.members.linked() if e.region != local_region]
        _send_region_loads(st, remote_peers, now_s)


def _send_daemon_loads(
    st: state.State, local_peers: list[ingress.EntryVm], now_s: float
) -> None:
    shares = st.servers.changed_shares(now_s)
    streams = st.streams.take_unreported()
    offered = st.admission.take_report(now_s)
    if not shares and not streams and not offered:
        return
    message = load_messages.DaemonLoads(shares, streams, offered)
    for entry in local_peers:
        st.emit(effects.SendPeerMessage(entry.name, message))


def _send_region_loads(
    st: state.State, remote_peers: list[ingress.EntryVm], now_s: float
) -> None:
    """Report to a subset of the daemons of other regions, another one each interval.

    The daemons of this region start the rotation at different subsets.
    """
    index, n_daemons = st.members.index_in_region(now_s)
    n_turns = max(1, n_daemons // N_REPORTERS)
    st.region_report_turn += 1
    turn = (st.region_report_turn + index) % n_turns
    recipients = sorted(remote_peers, key=lambda entry: entry.name)[turn::n_turns]
    if recipients:
        message = region_loads(st, now_s)
        for entry in recipients:
            st.emit(effects.SendPeerMessage(entry.name, message))


def region_loads(st: state.State, now_s: float) -> load_messages.RegionLoads:
    """Return the total load of this region's servers by service."""
    by_service = {}
    services = st.table.services.values() if st.table else ()
    vms = {entry.name for entry in st.members.linked_in_region()}
    cut_off: set[str] = set()
    for service in services:
        servers = [
            server
            for server in _reached(st, service.name, vms, now_s)
            if not server.is_cold(now_s)
        ]
        cut_off |= st.servers.cut_off_vms(service.name)
        if st.servers.is_cut_off(service.name):
            cut_off.add(st.cfg.local_entry.name)
        if servers and not st.is_stopping:
            by_service[service.name] = _service_load(service, servers, now_s)
    region = st.cfg.local_entry.region
    rationed = frozenset(name for name in by_service if st.admission.is_rationed(name))
    return load_messages.RegionLoads(region, by_service, frozenset(cut_off), rationed)


def _reached(
    st: state.State, service: str, vms: set[str], now_s: float
) -> list[server_table.ServerState]:
    """Return a service's servers that this daemon or another of the region reaches."""
    beyond_reach = [
        server
        for server in st.servers.beyond_reach(service, now_s)
        if any(server.is_reached_by(vm) for vm in vms)
    ]
    return st.servers.usable(service, now_s) + beyond_reach


def _service_load(
    service: ingress.Service, servers: list[server_table.ServerState], now_s: float
) -> load_messages.ServiceLoad:
    totals = [server.work.sums for server in servers]
    unloaded_first_s = min(
        estimates.without_backlog(server, service.engine).first_s
        + server.failure_rate(now_s)
        for server in servers
    )
    # One that was just sent its first request doesn't show yet that it is silent too.
    unloaded_first_s += statistics.median(server.silent_s(now_s) for server in servers)
    n_free_tokens = 0
    if service.engine is not None:
        n_usable = int(
            estimates.USABLE_MEMORY_FRACTION * service.engine.n_memory_tokens
        )
        n_free_tokens = sum(max(0, n_usable - t.n_memory_tokens) for t in totals)
    slowdowns = [
        server.slowdown(is_urgent) for server in servers for is_urgent in (True, False)
    ]
    slowdown = sum(slowdowns) / len(slowdowns)
    return load_messages.ServiceLoad(
        n_servers=len(servers),
        unloaded_first_s=round(unloaded_first_s, 3),
        n_pending_tokens=sum(total.n_pending_tokens for total in totals),
        n_urgent_tokens=sum(total.n_urgent_tokens for total in totals),
        tokens_per_s=round(prefill_load.TOKENS_PER_S / slowdown),
        n_open=sum(total.n_open for total in totals),
        n_slots=sum(max(1, server.record.n_slots) for server in servers),
        n_free_tokens=n_free_tokens,
        inter_token_s=round(min(server.inter_token_s(now_s) for server in servers), 4),
    )
