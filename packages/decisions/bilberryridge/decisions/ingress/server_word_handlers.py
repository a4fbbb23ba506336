"""Handlers of what backend servers say of themselves in their answers."""

from bilberryridge.decisions.ingress import effects, events, state


def on_server_said(st: state.State, now_s: float, event: events.ServerSaid) -> None:
    """Put a server aside that leaves."""
    item = st.open_requests.get(event.request_id)
    if item is None or item.attempt is None or item.attempt.id != event.attempt_id:
        return
    server = st.servers.by_id.get(item.attempt.server_id)
    if server is None:
        return
    if event.is_leaving and not server.availability.is_leaving:
        st.servers.set_leaving(server)
        change = f"{server.record.id} takes no work"
        log_fields = {"cause": "leaving", "request": item.req.caller_request_id}
        st.emit(effects.LogStateChange("server", change, log_fields))
