"""Handlers for a planned stop: announce it, then finish the open requests."""

from bilberryridge.decisions import effects, events, state

LEAVE_GRACE_S = 2.0
"""Time for which new requests are still served, until callers and peers know."""


def on_stop(st: state.State, now_s: float, event: events.StopAsked) -> None:
    """Begin to leave; has no effect if this daemon is leaving already."""
    if st.daemon_state == "leaving" or st.daemon_state == "finishing":
        return
    st.leaving_since_s = now_s
    st.step_daemon("stop")
    # Makes the next tick send heartbeats, which announce it to the peers.
    st.last_heartbeat_check_s = float("-inf")


def on_tick(st: state.State, now_s: float) -> None:
    """Stop accepting requests after the grace period; stop after the last one."""
    if st.daemon_state == "leaving" and now_s - st.leaving_since_s >= LEAVE_GRACE_S:
        st.step_daemon("grace_over")
        st.emit(effects.StopAccepting())
    if st.daemon_state == "finishing" and not st.open_requests:
        st.step_daemon("last_ended")
        st.emit(effects.Stopped())
