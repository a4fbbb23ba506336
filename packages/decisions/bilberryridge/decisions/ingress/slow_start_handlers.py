"""Handlers that begin, open and end the windows of servers that return.

They take effect for services whose servers state a momentary pace, or for all if the
settings ask for it.
"""

from collections.abc import Mapping
from typing import Any

from bilberryridge.decisions.ingress import (
    effects,
    estimates,
    events,
    load_messages,
    open_work,
    sending,
    server_table,
    slow_start,
    state,
)

SUBJECT = "slow start"
MIN_SILENCE_S = 2.0
"""Silence after which a server counts as returned, if it stated nothing to any other
daemon either. In the load model a busy engine was silent to all for over 1 s once in
13 s of a peak."""
REJOIN_AFTER_S = 2.0
"""Time after the end of a window in which another daemon's report begins no new one:
the daemons don't end it at the same moment."""
MIN_DELAY_S = 0.1
"""Least time until the other daemons know of a request."""
FIRST_ERROR_STATUS = 500
"""An error is mostly caused by the request, so it neither opens a window nor halves
it."""

_BAD_RESULTS = frozenset(
    [
        events.AttemptResult.NOT_RUN,
        events.AttemptResult.LOST,
        events.AttemptResult.SPOILED,
    ]
)


def on_returned(
    st: state.State, server: server_table.ServerState, since: str, now_s: float
) -> None:
    """Begin a window for a server that returns.

    Parameters
    ----------
    st : State
    server : ServerState
    since : str
        What it returns from, for the log.
    now_s : float
    """
    if _is_in_use(st, server.record.service):
        _begin(st, server, since, None, now_s)


def on_path_back(
    st: state.State, server: server_table.ServerState, now_s: float
) -> None:
    """Begin a window for a server that no other daemon reached meanwhile."""
    if not _is_used_by_others(server):
        on_returned(st, server, "path", now_s)


def on_heard(
    st: state.State, server: server_table.ServerState, silent_s: float, now_s: float
) -> None:
    """Begin a window for a server that answers again after a silence."""
    is_heard = server.pace.age_s(now_s) < MIN_SILENCE_S
    if silent_s >= MIN_SILENCE_S and not is_heard and not server.start_window.is_on:
        on_returned(st, server, "silence", now_s)


def on_first_byte(
    st: state.State,
    server: server_table.ServerState,
    took_s: float,
    sent: open_work.OpenAttempt,
    now_s: float,
) -> None:
    """Count an answer that has begun."""
    expected_s = sent.expected_s * server.pace.average(took_s, now_s) / sent.pace
    is_late = slow_start.is_late(took_s, expected_s)
    _record_own(st, server, int(not is_late), int(is_late), now_s)


def on_timeout(st: state.State, server: server_table.ServerState, now_s: float) -> None:
    """Count a request that was given up for another attempt."""
    _record_own(st, server, 0, slow_start.REFUSED_WEIGHT, now_s)


def on_attempt_ended(
    st: state.State,
    server: server_table.ServerState,
    event: events.AttemptEnded,
    sent: open_work.OpenAttempt,
    now_s: float,
) -> None:
    """Count a held answer, or a request that the server refused, lost or spoiled."""
    if event.result in _BAD_RESULTS:
        if not event.is_misdirected:
            _record_own(st, server, 0, slow_start.REFUSED_WEIGHT, now_s)
        return
    is_answer = event.result is events.AttemptResult.ANSWERED
    if is_answer and not event.is_committed and event.status < FIRST_ERROR_STATUS:
        on_first_byte(st, server, event.first_s, sent, now_s)


def on_shares(
    st: state.State,
    shares: Mapping[str, load_messages.ServerShare],
    now_s: float,
) -> None:
    """Follow the windows that another daemon of the region reports."""
    for server_id, share in shares.items():
        server = st.servers.by_id.get(server_id)
        if server is None:
            continue
        known = server.start_window
        if known.is_on:
            n_in_time, n_out_of_time = share.n_in_time, share.n_out_of_time
            if known.record_answers(n_in_time, n_out_of_time, now_s):
                _log(st, server, "halved", {"window": round(known.window, 1)})
        elif share.window is not None and _joins(st, server, now_s):
            _begin(st, server, "another daemon's report", share.window, now_s)


def on_tick(st: state.State, now_s: float) -> None:
    """Share out the windows anew, and end those that are open."""
    for server in st.servers.by_id.values():
        window = server.start_window
        if not window.is_on:
            continue
        if window.is_over(now_s):
            opened = window.window
            window.end(now_s)
            log_fields = {
                "window": round(opened, 1),
                "took_s": round(now_s - window.began_s, 2),
            }
            _log(st, server, "ended", log_fields)
            continue
        senders = _senders(st, server.record.service, now_s)
        window.set_alone(_is_alone(st, server, now_s))
        asked_s = st.servers.asked_s.get(server.record.service, -1.0)
        window.step(
            now_s,
            server.work.sums.n_open,
            senders,
            now_s - asked_s <= senders.delay_s,
        )


def _is_in_use(st: state.State, service: str) -> bool:
    return st.cfg.is_slow_start_forced or service in st.servers.paced_services


def _is_used_by_others(server: server_table.ServerState) -> bool:
    work = server.work
    return work.sums.n_open > work.local_sums.n_open


def _joins(st: state.State, server: server_table.ServerState, now_s: float) -> bool:
    is_ended = now_s - server.start_window.ended_s < REJOIN_AFTER_S
    return _is_in_use(st, server.record.service) and not is_ended


def _senders(st: state.State, service: str, now_s: float) -> slow_start.Senders:
    _, n_daemons = st.members.index_in_region(now_s)
    delay_s = max(MIN_DELAY_S, st.daemon_loads_interval_s) + sending.TELLING_S
    hold_s = st.servers.hold_s.get(service, estimates.PLAIN_WORK_S)
    weight = st.members.reach_weight(now_s)
    return slow_start.Senders(n_daemons, weight, delay_s, hold_s)


def _is_alone(st: state.State, server: server_table.ServerState, now_s: float) -> bool:
    """Return whether no other server of the service serves without a window."""
    return not any(
        other is not server
        and not other.path.is_lost
        and not other.start_window.is_on
        and other.record.domain not in st.servers.evacuated
        and other.takes_work(now_s, st.servers.n_daemons)
        for other in st.servers.servers_of(server.record.service)
    )


def _part_of_open(st: state.State, service: str) -> float:
    """Return this daemon's part of the open requests to a service, as far as known."""
    works = [server.work for server in st.servers.servers_of(service)]
    n_own_open = sum(work.local_sums.n_open for work in works)
    return n_own_open / max(1, sum(work.sums.n_open for work in works))


def _begin(
    st: state.State,
    server: server_table.ServerState,
    since: str,
    window: float | None,
    now_s: float,
) -> None:
    is_alone = _is_alone(st, server, now_s)
    server.start_window.begin(
        now_s,
        server.record.n_slots,
        _senders(st, server.record.service, now_s),
        st.random_state.random(),
        is_alone,
        window,
        _part_of_open(st, server.record.service),
    )
    log_fields = {
        "since": since,
        "window": round(server.start_window.window, 1),
        "alone": is_alone,
    }
    _log(st, server, "began", log_fields)


def _record_own(
    st: state.State,
    server: server_table.ServerState,
    n_in_time: int,
    n_out_of_time: int,
    now_s: float,
) -> None:
    window = server.start_window
    if window.is_on and window.record_own(n_in_time, n_out_of_time, now_s):
        _log(st, server, "halved", {"window": round(window.window, 1)})


def _log(
    st: state.State,
    server: server_table.ServerState,
    step: str,
    log_fields: dict[str, Any],
) -> None:
    change = f"slow start of {server.record.id} {step}"
    log_fields = {"step": step, **log_fields}
    st.emit(effects.LogStateChange(SUBJECT, change, log_fields))
