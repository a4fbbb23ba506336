"""Handlers of lost paths to backend servers, and of the probes that look for them."""

from collections.abc import Mapping

from bilberryridge.decisions import rendezvous
from bilberryridge.decisions.ingress import (
    effects,
    events,
    load_messages,
    server_starts,
    server_table,
    slow_start_handlers,
    state,
)

N_LOST_AT_ONCE, AT_ONCE_S = 2, 1.0
"""Paths lost within that time from which on all are doubted: one cause is likely."""
HEARD_WITHIN_S = 1.0
"""Time after an answer in which another daemon's lost path says nothing of this one."""
N_WITNESSES = 3
"""Daemons that probe a server for another one although they have just heard from it."""
UNANSWERED_S = 1.0
"""Time without an answer, at a request's deadline, after which the path is doubted."""


def on_attempt_ended(
    st: state.State,
    server: server_table.ServerState,
    event: events.AttemptEnded,
    now_s: float,
) -> None:
    """Learn of the path to a server from the end of an attempt."""
    if event.result is events.AttemptResult.NOT_SENT:
        _record_failure(st, server, now_s)
    elif event.result is events.AttemptResult.LOST:
        if event.is_silent:
            _ask(st, server, now_s, is_doubted=True)
        elif event.is_disconnected:
            _ask(st, server, now_s)


def on_waiting(st: state.State, item: state.OpenRequest, now_s: float) -> None:
    """Probe the path of a request that waits in silence; later ones need to know.

    A request that must not repeat is not given up, so its end would tell too late.
    """
    attempt = item.attempt
    if attempt is None or attempt.begun_s is not None:
        return
    silent_s = now_s - attempt.sent_s
    server = st.servers.by_id.get(attempt.server_id)
    if silent_s < server_table.MIN_SILENT_S or server is None:
        return
    sent = server.work.local_attempts.get((item.req.id, attempt.id))
    if sent is None or silent_s < server_table.SILENT_FACTOR * sent.expected_s:
        return
    is_heard = server.heard_s >= attempt.sent_s
    if not is_heard and not server.path.is_probed_since(attempt.sent_s):
        _ask(st, server, now_s)


def on_silent(st: state.State, attempt: state.Attempt, now_s: float) -> None:
    """Doubt the path to a server that has not begun an answer when one was expected."""
    server = st.servers.by_id.get(attempt.server_id)
    if server is not None:
        _ask(st, server, now_s, is_doubted=True)


def on_deadline(st: state.State, item: state.OpenRequest, now_s: float) -> None:
    """Doubt the path to a server that didn't begin to answer before the deadline."""
    attempt = item.attempt
    if attempt is None or attempt.begun_s is not None:
        return
    server = st.servers.by_id.get(attempt.server_id)
    if server is not None and now_s - attempt.sent_s >= UNANSWERED_S:
        _ask(st, server, now_s, is_doubted=True)


def on_probe_ended(st: state.State, now_s: float, event: events.ProbeEnded) -> None:
    """Learn from a probe."""
    server = st.servers.by_id.get(event.server_id)
    if server is None or server.record.start_time_ms != event.start_time_ms:
        return
    if not event.is_connected:
        _record_failure(st, server, now_s)
        return
    if server.work.unreachable_vms and server.path.is_probed_since(
        server.lost_elsewhere_s
    ):
        server.n_reached_unreported += 1
    if server.path.is_lost:
        change = f"path to {server.record.id} is back"
        st.emit(effects.LogStateChange("path", change))
        server.path_back_s = now_s
        server_starts.doubt(st, server, now_s)
        if not st.is_store_current:
            server_starts.doubt_as_cold(st, server, now_s)
        slow_start_handlers.on_path_back(st, server, now_s)
    server.path.record_connected()


def on_shares(
    st: state.State,
    vm: str,
    shares: Mapping[str, load_messages.ServerShare],
    now_s: float,
) -> None:
    """Probe the paths that a daemon of the region has lost; learn what others reach."""
    for server_id, share in shares.items():
        server = st.servers.by_id.get(server_id)
        if server is None:
            continue
        if share.n_reached > 0:
            server.reached_elsewhere_s = now_s
        before = server.work.peer_shares.get(vm, load_messages.ServerShare())
        if before.is_unreachable or not share.is_unreachable:
            continue
        server.lost_elsewhere_s = now_s
        is_heard = now_s - server.heard_s < HEARD_WITHIN_S
        if not is_heard or _is_witness(st, server, vm):
            server.path.ask_for_other(now_s)
            _probe_if_due(st, server, now_s)


def on_tick(st: state.State, now_s: float) -> None:
    """Begin the probes that are due."""
    for server in st.servers.by_id.values():
        _probe_if_due(st, server, now_s)


def _is_witness(st: state.State, server: server_table.ServerState, vm: str) -> bool:
    """Return whether this daemon probes a server to which another has lost its path."""
    names = {entry.name for entry in st.members.linked_in_region()} - {vm}
    own_name = st.cfg.local_entry.name
    ranked = rendezvous.ranked(f"{server.record.id} {vm}", [*names, own_name])
    return own_name in ranked[:N_WITNESSES]


def _record_failure(
    st: state.State, server: server_table.ServerState, now_s: float
) -> None:
    was_lost = server.path.is_lost
    server.path.record_failure(now_s)
    if was_lost:
        return
    log_fields = {"cause": "path lost"}
    change = f"path to {server.record.id} is lost"
    st.emit(effects.LogStateChange("path", change, log_fields))
    st.paths_lost_s.append(now_s)
    first_s = st.paths_lost_s[0]
    if len(st.paths_lost_s) == N_LOST_AT_ONCE and now_s - first_s < AT_ONCE_S:
        for other in st.servers.by_id.values():
            _ask(st, other, now_s, is_doubted=True)


def _ask(
    st: state.State,
    server: server_table.ServerState,
    now_s: float,
    is_doubted: bool = False,
) -> None:
    server.path.ask(now_s, is_doubted)
    _probe_if_due(st, server, now_s)


def _probe_if_due(
    st: state.State, server: server_table.ServerState, now_s: float
) -> None:
    if server.path.is_probe_due(now_s):
        server.path.begin_probe(now_s)
        st.emit(effects.ProbeServer(server.record))
