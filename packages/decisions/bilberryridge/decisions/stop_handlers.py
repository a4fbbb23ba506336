"""A planned stop: tell everyone, then finish what is open."""

from bilberryridge.decisions import effects, events, state

LEAVE_GRACE_S = 2.0
"""New requests are still served this long, until callers and peers know."""


def on_stop(st: state.State, now_s: float, event: events.StopAsked) -> None:
    """Begin to leave; asked again, it changes nothing."""
    if st.daemon_state == "leaving" or st.daemon_state == "finishing":
        return
    st.leaving_since_s = now_s
    st.step_daemon("stop")
    # The next tick tells the peers.
    st.last_heartbeat_check_s = float("-inf")


def on_tick(st: state.State, now_s: float) -> None:
    """Stop taking requests after the grace, and end after the last one."""
    if st.daemon_state == "leaving" and now_s - st.leaving_since_s >= LEAVE_GRACE_S:
        st.step_daemon("grace_over")
        st.emit(effects.StopAccepting())
    if st.daemon_state == "finishing" and not st.open_requests:
        st.step_daemon("last_ended")
        st.emit(effects.Stopped())
