"""Handlers of attempts without an answer in the time in which one was expected.

Such a server may be lost, or stand still for a moment as all others do. So the attempt
goes on until a retry is taken from the budget that is expected to answer sooner.
"""

from bilberryridge.decisions.ingress import (
    events,
    path_handlers,
    placement,
    retrying,
    sending,
    server_table,
    slow_start_handlers,
    state,
)

MAX_ELAPSED_FRACTION = 0.5
"""Fraction of the time that an attempt has taken in which a retry is to be answered.
Where all servers are silent, the others have been for about as long."""
MAX_SILENT = 1
"""Silent servers of a service beyond which one that wasn't heard since may be silent as
well."""
REVIEW_INTERVAL_S = 0.25
"""Interval at which it is decided again whether a retry replaces a silent attempt."""


def on_attempt_silent(
    st: state.State, now_s: float, event: events.AttemptSilent
) -> None:
    """Look for a better way than to wait for a silent server."""
    item = st.open_requests.get(event.request_id)
    if item is None or item.attempt is None or item.attempt.id != event.attempt_id:
        return
    item.attempt.is_silent = True
    path_handlers.on_silent(st, item.attempt, now_s)
    _replace(st, item, item.attempt, now_s)


def on_waiting(st: state.State, item: state.OpenRequest, now_s: float) -> None:
    """Look again from time to time."""
    attempt = item.attempt
    if attempt is None or not attempt.is_silent:
        return
    if now_s - attempt.reviewed_s >= REVIEW_INTERVAL_S:
        _replace(st, item, attempt, now_s)


def _replace(
    st: state.State, item: state.OpenRequest, attempt: state.Attempt, now_s: float
) -> None:
    """Replace an attempt if another one is better and the budget allows it."""
    attempt.reviewed_s = now_s
    if not retrying.may_retry(st, item, now_s):
        return
    choice = st.choose(st, item, now_s)
    if isinstance(choice, placement.NoCapacity):
        return
    if not _is_better(st, item, choice, attempt, now_s):
        return
    if not retrying.take_budget(st, item, now_s):
        return
    server = st.servers.by_id.get(attempt.server_id)
    if server is not None:
        server.record_result(1.0, now_s)
        slow_start_handlers.on_timeout(st, server, now_s)
    sending.cancel(st, item)
    item.last_result = "silent"
    item.n_arrivals += 1
    item.may_have_run = True
    sending.send(st, item, choice, now_s)


def _is_better(
    st: state.State,
    item: state.OpenRequest,
    choice: placement.ServerChoice | placement.PeerChoice,
    attempt: state.Attempt,
    now_s: float,
) -> bool:
    """Return whether another attempt is expected to end the wait for a silent one."""
    elapsed_s = now_s - attempt.sent_s
    if choice.expected.first_s > MAX_ELAPSED_FRACTION * elapsed_s:
        return False
    if isinstance(choice, placement.PeerChoice):
        return True
    if choice.server.record.id == attempt.server_id:
        return False
    if choice.server.heard_s > attempt.sent_s:
        # Where it was silent as well, the other is likely to answer now.
        back_for_s = now_s - choice.server.silence_ended_s
        return back_for_s >= server_table.MIN_SILENT_S
    is_unused = choice.server.work.oldest_waiting is None
    n_silent = st.servers.n_silent(item.service.name, now_s)
    return is_unused and n_silent <= MAX_SILENT
