"""Handlers of what backend servers say of themselves in their answers."""

from collections.abc import Mapping
from typing import Any

from bilberryridge.decisions.ingress import (
    crash_handlers,
    effects,
    events,
    load_messages,
    sending,
    server_availability,
    server_room,
    server_table,
    slow_start_handlers,
    state,
)


def on_server_said(st: state.State, now_s: float, event: events.ServerSaid) -> None:
    """Put a server aside that leaves or asks for time, and keep its rate limit."""
    item = st.open_requests.get(event.request_id)
    if item is None or item.attempt is None or item.attempt.id != event.attempt_id:
        return
    item.attempt.status, item.attempt.answered_s = event.status, now_s
    server = st.servers.by_id.get(item.attempt.server_id)
    if server is None:
        return
    silent_s = server.silent_s(now_s)
    server.record_heard(now_s, st.store_known_s)
    slow_start_handlers.on_heard(st, server, silent_s, now_s)
    crash_handlers.on_server_said(st, server, now_s)
    stated_pace = event.load.pace if event.load is not None else None
    if stated_pace is not None:
        st.servers.paced_services.add(server.record.service)
        if server.pace.record(stated_pace, now_s, now_s):
            st.servers.forget_ranks()
    said_to = item.req.caller_request_id
    if event.is_leaving and not server.availability.is_leaving:
        server.availability.record_leaving()
        _log_put_aside(st, server, {"cause": "leaving", "request": said_to})
    if event.asked_s is not None:
        _record_asked(st, server, event.asked_s, said_to, now_s)
    sent_s = item.attempt.sent_s
    _record_limit(st, server, event.limit_per_s, sent_s, said_to, now_s)
    _record_brittle(st, server, event.brittle_per_s, sent_s, said_to, now_s)


def on_shares(
    st: state.State,
    vm: str,
    shares: Mapping[str, load_messages.ServerShare],
    now_s: float,
) -> None:
    """Learn limits and the requests under them from a daemon of the region."""
    for server_id, share in shares.items():
        server = st.servers.by_id.get(server_id)
        if server is None:
            continue
        before = server.work.peer_shares.get(vm, load_messages.ServerShare())
        _learn_limit(st, server, share, before, vm, now_s)
        if share.brittle_per_s != before.brittle_per_s:
            told_by = {"told_by": vm}
            # The other daemon has had several such answers when it tells of none.
            n = server_room.N_UNNAMED
            _change_brittle(st, server, share.brittle_per_s, now_s, now_s, told_by, n)
        if share.n_turned_away > 0:
            server.room.record_turned_away(share.n_turned_away, now_s)
        if share.n_limited_sends > 0:
            senders = sending.limit_senders(st, now_s)
            server.limit.record_sent_by_others(share.n_limited_sends, now_s, senders)


def _learn_limit(
    st: state.State,
    server: server_table.ServerState,
    share: load_messages.ServerShare,
    before: load_messages.ServerShare,
    vm: str,
    now_s: float,
) -> None:
    """Learn what a server has answered to another daemon."""
    told_by = {"told_by": vm}
    is_changed = share.limit_per_s != before.limit_per_s
    if share.limit_per_s is not None and (is_changed or share.is_limit_named):
        _name_limit(st, server, share.limit_per_s, now_s, told_by)
    n_unnamed = share.n_limit_unnamed
    if is_changed and share.limit_per_s is None:
        # A daemon of an older build tells no more of such an answer.
        n_unnamed = max(1, n_unnamed)
    if n_unnamed:
        _count_unnamed_limit(st, server, now_s, now_s, n_unnamed, told_by)


def on_turned_away(
    server: server_table.ServerState, event: events.AttemptEnded, now_s: float
) -> None:
    """Count a request that a brittle server had no room for."""
    is_turned_away = event.result is events.AttemptResult.NOT_RUN
    if is_turned_away and not event.is_misdirected:
        if server.room.brittle_per_s is not None:
            server.room.n_unreported += 1
        server.room.record_turned_away(1, now_s)


def on_tick(st: state.State, now_s: float) -> None:
    """Log the servers that get work again after the time that they asked for."""
    for server_id, until_s in list(st.asked_until_s.items()):
        if now_s >= until_s:
            del st.asked_until_s[server_id]
            change = f"{server_id} takes work again"
            st.emit(effects.LogStateChange("server", change))
            server = st.servers.by_id.get(server_id)
            if server is not None and not server.start_window.is_on:
                slow_start_handlers.on_returned(st, server, "pause", now_s)


def _record_asked(
    st: state.State,
    server: server_table.ServerState,
    asked_s: float,
    said_to: str,
    now_s: float,
) -> None:
    delay_s = server_availability.return_delay_s(asked_s, st.random_state.random())
    if not server.availability.record_asked_for_time(now_s, asked_s, delay_s):
        return
    st.asked_until_s[server.record.id] = server.availability.asked_until_s
    log_fields = {
        "cause": "asked for time",
        "request": said_to,
        "asked_s": round(asked_s, 2),
        "for_s": round(server.availability.returns_s - now_s, 2),
    }
    _log_put_aside(st, server, log_fields)


def _record_limit(
    st: state.State,
    server: server_table.ServerState,
    limit_per_s: float | None,
    sent_s: float,
    said_to: str,
    now_s: float,
) -> None:
    """Keep the limit that an answer to a request sent at some time names."""
    limit = server.limit
    said = {"request": said_to}
    if limit_per_s is not None:
        _name_limit(st, server, limit_per_s, now_s, said)
        limit.answered_per_s = limit_per_s
        limit.is_naming_unreported = True
        limit.n_unnamed_unreported = 0
        return
    if limit.per_s is not None and not limit.is_outdated(sent_s):
        limit.n_unnamed_unreported += 1
    _count_unnamed_limit(st, server, sent_s, now_s, 1, said)
    if limit.per_s is None:
        limit.answered_per_s = None


def _name_limit(
    st: state.State,
    server: server_table.ServerState,
    limit_per_s: float,
    now_s: float,
    log_fields: dict[str, Any],
) -> None:
    if server.limit.record_named(limit_per_s, now_s):
        change = f"{server.record.id} names a limit"
        log_fields = {"limit_per_s": limit_per_s, **log_fields}
        st.emit(effects.LogStateChange("server", change, log_fields))


def _count_unnamed_limit(
    st: state.State,
    server: server_table.ServerState,
    sent_s: float,
    now_s: float,
    n_answers: int,
    log_fields: dict[str, Any],
) -> None:
    if server.limit.record_unnamed(sent_s, now_s, n_answers):
        change = f"{server.record.id} names no limit"
        st.emit(effects.LogStateChange("server", change, log_fields))


def _record_brittle(
    st: state.State,
    server: server_table.ServerState,
    brittle_per_s: float | None,
    sent_s: float,
    said_to: str,
    now_s: float,
) -> None:
    """Keep what an answer to a request sent at some time says of being brittle."""
    said = {"request": said_to}
    _change_brittle(st, server, brittle_per_s, sent_s, now_s, said)
    if brittle_per_s is not None or server.room.brittle_per_s is None:
        server.room.answered_per_s = brittle_per_s


def _change_brittle(
    st: state.State,
    server: server_table.ServerState,
    brittle_per_s: float | None,
    sent_s: float,
    now_s: float,
    log_fields: dict[str, Any],
    n_answers: int = 1,
) -> None:
    if brittle_per_s is None:
        is_changed = server.room.record_unnamed(sent_s, now_s, n_answers)
        change = f"{server.record.id} is no longer brittle"
    else:
        is_changed = server.room.record_named(brittle_per_s, now_s)
        change = f"{server.record.id} is brittle"
        log_fields = {"brittle_per_s": brittle_per_s, **log_fields}
    if is_changed:
        st.emit(effects.LogStateChange("server", change, log_fields))


def _log_put_aside(
    st: state.State, server: server_table.ServerState, log_fields: dict[str, Any]
) -> None:
    change = f"{server.record.id} takes no work"
    st.emit(effects.LogStateChange("server", change, log_fields))
