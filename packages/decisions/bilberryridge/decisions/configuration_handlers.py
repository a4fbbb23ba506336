"""Handlers that receive the configuration and distribute it to peers.

Two daemons of a failure domain watch the store. The others notice a change by the
revision in each control message and fetch the missing changes from its sender. A node
that knows of no watcher watches the store itself.
"""

from bilberryridge.core import encoding, messages
from bilberryridge.decisions import effects, events, rendezvous, replica, state

N_WATCHERS = 2
FETCH_TIMEOUT_S = 1.0
"""Time after which another daemon is asked if a request for changes is unanswered."""


def on_read(st: state.State, now_s: float, event: events.ConfigurationRead) -> None:
    """Apply the store's answer, unless it would revert changes in force."""
    st.store_read_s = now_s
    try:
        changed = _merge_store(st, event)
    except replica.RevertError as exc:
        st.count("configuration_reverts_refused")
        if not st.is_store_suspect:
            st.log_change("store", "configuration", "trusted", f"refused: {exc}")
        st.is_store_suspect = True
        if event.after_revision:
            # Only a complete read, requested at the next tick, can show that the store
            # lacks nothing.
            _watch(st, is_wanted=False)
        return
    except replica.GapError:
        st.count("configuration_gaps")
        _watch(st, is_wanted=True)
        return
    if st.is_store_suspect:
        st.is_store_suspect = False
        st.log_change("store", "configuration", "refused", "trusted")
    apply_changes(st, now_s, changed)


def _merge_store(st: state.State, event: events.ConfigurationRead) -> list[str]:
    if event.after_revision:
        if st.is_store_suspect:
            raise replica.RevertError("a watch of a store that lost changes")
        return st.replica.merge(
            event.after_revision, event.complete_revision, event.versions
        )
    if st.is_store_suspect and not st.replica.is_covered_by(event.versions):
        raise replica.RevertError("the store still lacks what is in force")
    return st.replica.merge_snapshot(event.complete_revision, event.versions)


def apply_changes(st: state.State, now_s: float, changed: list[str]) -> None:
    """Bring changed documents in force and notify the peers."""
    for key in changed:
        version = st.replica.get(key)
        if version is None:
            continue
        try:
            st.deployment.update(version)
        except encoding.DocumentError:
            st.count("configuration_documents_refused")
            st.log_change("document", key, "in force", "refused: not valid")
    if not changed:
        return
    st.candidates.clear()
    st.count("configuration_changes", n=len(changed))
    st.step_daemon("configured")
    # The revision in the next heartbeat shows local peers that there are changes to
    # fetch. Other domains have their own watchers, so no heartbeat is sent early there.
    st.last_heartbeat_check_s = float("-inf")
    for vm in st.local_peers():
        st.heartbeat_reported_s.pop(vm, None)


def on_reachable(st: state.State, now_s: float, event: events.StoreReachable) -> None:
    """Record whether the store answers."""
    before, after = (
        _reachability(st.is_store_reachable),
        _reachability(event.is_reachable),
    )
    st.is_store_reachable = event.is_reachable
    if before != after:
        st.log_change("store", "calls", before, after)


def _reachability(is_reachable: bool) -> str:
    return "reachable" if is_reachable else "unreachable"


def on_frame(st: state.State, now_s: float, frame: messages.Frame) -> None:
    """Request the missing changes if the sender has a newer revision."""
    if frame.revision <= st.replica.complete_revision:
        return
    if now_s - st.configuration_requested_s < FETCH_TIMEOUT_S:
        return
    st.configuration_requested_s = now_s
    request = messages.ConfigurationRequest(st.replica.complete_revision)
    st.send_peer(frame.sender, request)


def on_request(
    st: state.State, now_s: float, sender: str, body: messages.ConfigurationRequest
) -> None:
    """Send a peer the changes that it lacks."""
    if body.after_revision < st.replica.complete_revision:
        st.send_peer(sender, st.replica.since(body.after_revision))


def on_changes(
    st: state.State, now_s: float, sender: str, body: messages.ConfigurationChanges
) -> None:
    """Apply changes of a peer; they are as trustworthy as those of the store."""
    st.configuration_requested_s = float("-inf")
    try:
        changed = st.replica.merge(
            body.after_revision, body.complete_revision, body.versions
        )
    except replica.GapError:
        st.count("configuration_gaps")
        return
    apply_changes(st, now_s, changed)


def on_tick(st: state.State, now_s: float) -> None:
    """Start or stop watching the store, as needed."""
    _watch(st, is_wanted=_should_watch(st, now_s))


def _should_watch(st: state.State, now_s: float) -> bool:
    if not st.replica.complete_revision:
        return True
    live = st.live_local_daemons(now_s)
    ranked = rendezvous.ranked(f"watch/{st.cfg.domain}", live)
    if st.cfg.vm in ranked[:N_WATCHERS]:
        return True
    watchers = [st.members.peer(vm) for vm in ranked[:N_WATCHERS]]
    return not any(peer is not None and peer.is_watching_store for peer in watchers)


def _watch(st: state.State, is_wanted: bool) -> None:
    if is_wanted != st.is_watching:
        st.is_watching = is_wanted
        st.emit(effects.WatchStore(is_wanted, st.replica.complete_revision))
