"""Handlers for heartbeats, connections to other daemons and the platform's list."""

from bilberryridge.core import messages
from bilberryridge.decisions import (
    configuration_handlers,
    effects,
    events,
    load_handlers,
    membership,
    outcome_handlers,
    rendezvous,
    state,
)

LIST_REPORT_INTERVAL_S = 1.0
LIST_REPEAT_S = 4.0
CONNECT_INTERVAL_S = 1.0
HEARTBEAT_CHECK_INTERVAL_S = 0.2
HEARTBEAT_REPEATS = 3
"""Number of intervals after which a heartbeat is sent in any case: other messages show
that the sender is alive, but not its load and flags."""

_HANDLERS = {
    messages.ConfigurationRequest: configuration_handlers.on_request,
    messages.ConfigurationChanges: configuration_handlers.on_changes,
    messages.LoadDelta: load_handlers.on_delta,
    messages.DomainSummaries: load_handlers.on_summaries,
    messages.OutcomeCopy: outcome_handlers.on_copy,
    messages.OutcomeRequest: outcome_handlers.on_request,
    messages.OutcomeMissing: outcome_handlers.on_missing,
}


def on_peer_up(st: state.State, now_s: float, event: events.PeerUp) -> None:
    """Record a connection and send the daemon a heartbeat."""
    st.members.on_up(now_s, event.vm, event.incarnation)
    st.log_change("peer", event.vm, "absent", "connected")
    st.send_peer(event.vm, _heartbeat(st))
    # The daemon lacks all earlier reports, so each is due again.
    st.last_reported_capacities.clear()
    st.last_reported_loads.clear()
    st.last_relayed_capacities.clear()
    st.leaving_reported_s = float("-inf")


def on_peer_down(st: state.State, now_s: float, event: events.PeerDown) -> None:
    """Record that the last connection to a daemon was closed."""
    st.members.on_down(event.vm)
    st.configuration_requested_s = float("-inf")
    st.log_change("peer", event.vm, "connected", "absent")


def on_peer_said(st: state.State, now_s: float, event: events.PeerSaid) -> None:
    """Dispatch a control message to its handler."""
    frame = event.frame
    st.members.on_frame(now_s, frame)
    handler = _HANDLERS.get(type(frame.body))
    if handler is not None:
        handler(st, now_s, frame.sender, frame.body)  # type: ignore[operator]
    configuration_handlers.on_frame(st, now_s, frame)


def on_list(st: state.State, now_s: float, event: events.VmListRead) -> None:
    """Apply the platform's list and report leaving VMs at the next tick."""
    for vm, before, after in st.members.on_list(now_s, event.states):
        st.log_change("vm", vm, before, after)
        if after in ("leaving", "gone"):
            st.last_list_reported_s = float("-inf")


def on_tick(st: state.State, now_s: float) -> None:
    """Send heartbeats and reports that are due, and choose the connections to keep."""
    st.members.begin(now_s)
    if now_s - st.last_heartbeat_check_s < HEARTBEAT_CHECK_INTERVAL_S:
        return
    st.last_heartbeat_check_s = now_s
    for vm in st.members.expire(now_s, st.local_daemon_names()):
        st.log_change("peer", vm, "connected", "silent")
    if now_s - st.last_connect_s >= CONNECT_INTERVAL_S:
        st.last_connect_s = now_s
        _connect(st, now_s)
    _send_heartbeats(st, now_s)
    if now_s - st.last_list_reported_s >= LIST_REPORT_INTERVAL_S:
        st.last_list_reported_s = now_s
        _send_leaving(st, now_s)


def _send_heartbeats(st: state.State, now_s: float) -> None:
    heartbeat = _heartbeat(st)
    is_changed = st.last_reported_heartbeat is None or _flags(heartbeat) != _flags(
        st.last_reported_heartbeat
    )
    st.last_reported_heartbeat = heartbeat
    local = st.local_daemon_names()
    for peer in st.members.connected_peers():
        interval_factor = 1.0 if peer.vm in local else membership.REMOTE_INTERVAL_FACTOR
        interval_s = interval_factor * membership.HEARTBEAT_INTERVAL_S
        reported_s = st.heartbeat_reported_s.get(peer.vm, float("-inf"))
        # Any message shows that the sender is alive; heartbeats fill the gaps.
        is_quiet = now_s - st.sent_peer_s.get(peer.vm, float("-inf")) >= interval_s
        is_old = now_s - reported_s >= HEARTBEAT_REPEATS * interval_s
        if is_changed or is_quiet or is_old:
            st.heartbeat_reported_s[peer.vm] = now_s
            st.send_peer(peer.vm, heartbeat)


def _flags(heartbeat: messages.Heartbeat) -> tuple[bool, bool]:
    return heartbeat.is_leaving, heartbeat.is_watching_store


def _heartbeat(st: state.State) -> messages.Heartbeat:
    is_watching_store = st.is_watching and st.is_store_reachable
    is_leaving = st.daemon_state in ("leaving", "finishing", "stopped")
    return messages.Heartbeat(is_leaving, len(st.open_requests), is_watching_store)


def _send_leaving(st: state.State, now_s: float) -> None:
    local_daemons = st.local_daemon_names()
    local = _local_leaving(st, now_s, local_daemons)
    remote: set[str] = set()
    for peer in st.members.connected_peers():
        if peer.vm not in local_daemons:
            remote |= st.members.leaving_reported_by(now_s, peer.vm)
    leaving = local | remote
    is_same = leaving == st.last_reported_leaving
    is_repeat = bool(leaving) and now_s - st.leaving_reported_s >= LIST_REPEAT_S
    if is_same and not is_repeat:
        return
    st.last_reported_leaving = leaving
    st.leaving_reported_s = now_s
    for peer in st.members.connected_peers():
        # Reports of other domains are relayed only within this domain, so that they
        # can't return to their sender.
        reported = local | remote if peer.vm in local_daemons else local
        st.send_peer(peer.vm, messages.LeavingServers(tuple(sorted(reported))))


def _local_leaving(st: state.State, now_s: float, local_daemons: set[str]) -> set[str]:
    absent = {
        vm
        for vm in local_daemons
        if not st.members.is_live_local_daemon(now_s, vm)
        or st.members.is_leaving_daemon(vm)
    }
    local_vms = local_daemons | {vm.name for vm in load_handlers.local_servers(st)}
    return absent | (st.members.listed_leaving() & local_vms)


def _connect(st: state.State, now_s: float) -> None:
    desired = _desired_peers(st, now_s)
    if desired != st.desired_peers:
        st.desired_peers = desired
        st.emit(effects.ConnectPeers(desired))


def _desired_peers(st: state.State, now_s: float) -> tuple[tuple[str, str], ...]:
    if not st.deployment.vms:
        return st.cfg.seeds
    desired = {}
    for vm in st.domain_daemons(st.cfg.domain):
        if vm.name != st.cfg.vm:
            desired[vm.name] = vm.peer_address
    live = st.live_local_daemons(now_s)
    for domain in st.deployment.domains:
        if domain == st.cfg.domain:
            continue
        # One daemon of this domain is responsible for each link to another domain.
        if membership.responsible_for(f"contact/{domain}", live) != st.cfg.vm:
            continue
        contact = _contact(st, now_s, domain)
        if contact is not None:
            desired[contact[0]] = contact[1]
    return tuple(sorted(desired.items()))


def _contact(st: state.State, now_s: float, domain: str) -> tuple[str, str] | None:
    by_name = {vm.name: vm for vm in st.domain_daemons(domain)}
    names = rendezvous.ranked(f"contact/{st.cfg.domain}", by_name)
    if not names:
        return None
    live = [name for name in names if st.members.is_live_daemon(now_s, name)]
    connected = [name for name in live if st.members.is_connected(name)]
    # While none is connected, another one is tried every few seconds.
    turn = int(now_s / membership.CONTACT_TIMEOUT_S) % len(names)
    best = (connected or [names[turn]])[0]
    return best, by_name[best].peer_address
