"""Handlers of what backend servers say of themselves in their answers."""

from typing import Any

from bilberryridge.decisions.ingress import (
    effects,
    events,
    server_availability,
    server_table,
    state,
)


def on_server_said(st: state.State, now_s: float, event: events.ServerSaid) -> None:
    """Put a server aside that leaves or asks for time."""
    item = st.open_requests.get(event.request_id)
    if item is None or item.attempt is None or item.attempt.id != event.attempt_id:
        return
    server = st.servers.by_id.get(item.attempt.server_id)
    if server is None:
        return
    said_to = item.req.caller_request_id
    if event.is_leaving and not server.availability.is_leaving:
        st.servers.set_leaving(server)
        _log_put_aside(st, server, {"cause": "leaving", "request": said_to})
    if event.asked_s is not None:
        _record_asked(st, server, event.asked_s, said_to, now_s)


def on_tick(st: state.State, now_s: float) -> None:
    """Log the servers that get work again after the time that they asked for."""
    for server_id, until_s in list(st.asked_until_s.items()):
        if now_s >= until_s:
            del st.asked_until_s[server_id]
            change = f"{server_id} takes work again"
            st.emit(effects.LogStateChange("server", change))


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
    until_s = server.availability.returns_s
    st.asked_until_s[server.record.id] = until_s
    log_fields = {
        "cause": "asked for time",
        "request": said_to,
        "asked_s": round(asked_s, 2),
        "for_s": round(until_s - now_s, 2),
    }
    _log_put_aside(st, server, log_fields)


def _log_put_aside(
    st: state.State, server: server_table.ServerState, log_fields: dict[str, Any]
) -> None:
    change = f"{server.record.id} takes no work"
    st.emit(effects.LogStateChange("server", change, log_fields))
