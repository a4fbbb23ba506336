"""Handles the end of an attempt: the answer, a retry, or the final refusal.

Only one layer retries: the daemon that received the request from the caller, or the
owner of its key. A request is retried only if it did not run or may run again, within
its deadline and the retry budget, and at other servers first.
"""

from bilberryridge.core import outcomes
from bilberryridge.decisions import (
    at_most_once_handlers,
    effects,
    ending,
    events,
    outcome_handlers,
    request_handlers,
    state,
)

MAX_ATTEMPTS = 3
MIN_TIME_LEFT_S = 0.05
RETRY_AFTER_FAILURE_S = 2.0

NOT_RUN_RESULTS = frozenset(
    {events.AttemptResult.NOT_SENT, events.AttemptResult.REFUSED}
)
SERVER_FAILURES = frozenset(
    {
        events.AttemptResult.NOT_SENT,
        events.AttemptResult.FAILED,
        events.AttemptResult.LOST,
        events.AttemptResult.TIMED_OUT,
    }
)

_REASON_BY_RESULT = {
    events.AttemptResult.NOT_SENT: outcomes.Reason.NO_SERVER,
    events.AttemptResult.REFUSED: outcomes.Reason.NO_CAPACITY,
    events.AttemptResult.FAILED: outcomes.Reason.BACKEND_FAILED,
    events.AttemptResult.LOST: outcomes.Reason.ANSWER_LOST,
    events.AttemptResult.TIMED_OUT: outcomes.Reason.DEADLINE,
    events.AttemptResult.CANCELLED: outcomes.Reason.ANSWER_LOST,
}


def on_began(st: state.State, now_s: float, event: events.AttemptBegan) -> None:
    """Commit to an attempt whose answer reaches the caller; it is not retried."""
    open_req = _current_request(st, event.request_id, event.attempt)
    if open_req is None:
        return
    st.loads.on_began(now_s, event.request_id, event.waited_s)
    st.step(open_req, "commit")
    st.explain(event.request_id, "began", f"first content after {event.waited_s:.3f} s")


def on_ended(st: state.State, now_s: float, event: events.AttemptEnded) -> None:
    """Record the result of an attempt and decide how the request continues."""
    open_req = _current_request(st, event.request_id, event.attempt)
    if open_req is None:
        st.count("late_attempts")
        return
    st.count("attempt_results", open_req.service.name, event.result.value)
    st.explain(
        event.request_id,
        f"attempt {event.attempt} ended",
        f"{event.result.value}, status {event.status}",
    )
    if open_req.state == "relaying":
        at_most_once_handlers.on_relay_ended(st, now_s, open_req, event)
        return
    if open_req.domain:
        _update_target(st, now_s, open_req, event)
    is_success = event.result not in SERVER_FAILURES
    st.loads.on_ended(now_s, event.request_id, is_success)
    if event.result in NOT_RUN_RESULTS:
        open_req.n_possible_runs -= 1
    _resolve(st, now_s, open_req, event)
    request_handlers.dispatch(st, now_s, open_req.service.name)


def _current_request(
    st: state.State, request_id: str, attempt: int
) -> state.OpenRequest | None:
    open_req = st.open_requests.get(request_id)
    if open_req is None or open_req.attempt != attempt:
        return None
    return open_req


def _update_target(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    event: events.AttemptEnded,
) -> None:
    if event.result is events.AttemptResult.NOT_SENT:
        st.members.on_unreachable(now_s, open_req.vm)
    if event.result is events.AttemptResult.REFUSED:
        # Its last summary overstated its capacity; the next one adds it again.
        capacities = st.remote_capacities.get(open_req.service.name, {})
        capacities.pop(open_req.domain, None)


def _resolve(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    event: events.AttemptEnded,
) -> None:
    is_complete = event.result is events.AttemptResult.COMPLETE
    if is_complete or (
        open_req.is_at_most_once and event.result is events.AttemptResult.FAILED
    ):
        outcome_handlers.store_outcome(st, now_s, open_req, event.answer)
        if not is_complete:
            st.emit(effects.PassAnswer(event.request_id))
        st.count("answers", open_req.service.name)
        ending.close(st, open_req, "answer")
        return
    if open_req.state == "committed":
        # The edge has aborted the caller's answer, so no refusal can be sent.
        ending.resolve_run(st, open_req, outcomes.Outcome.UNKNOWN)
        st.count("answers_cut", open_req.service.name)
        ending.close(st, open_req, "cut")
        return
    if _may_retry(st, now_s, open_req, event):
        _retry(st, now_s, open_req, event)
        return
    _give_up(st, now_s, open_req, event)


def _may_retry(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    event: events.AttemptEnded,
) -> bool:
    if open_req.is_from_peer and not open_req.scope:
        return False
    if open_req.attempt >= MAX_ATTEMPTS:
        return False
    if open_req.is_at_most_once and event.result not in NOT_RUN_RESULTS:
        return False
    if open_req.deadline_s - now_s < MIN_TIME_LEFT_S:
        return False
    is_allowed = st.retries.may_retry(now_s, open_req.service.name)
    if not is_allowed:
        st.count("retries_over_budget", open_req.service.name)
    return is_allowed


def _retry(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    event: events.AttemptEnded,
) -> None:
    st.count("retries", event.result.value)
    open_req.excluded |= {open_req.vm}
    is_domain_full = event.result is events.AttemptResult.REFUSED
    if open_req.domain and is_domain_full:
        open_req.excluded |= {open_req.domain}
    st.step(open_req, "retry")
    st.admission.put_back(request_handlers.waiting_request(open_req))


def _give_up(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    event: events.AttemptEnded,
) -> None:
    if event.result is events.AttemptResult.FAILED:
        # The server's own error tells the caller more than a refusal would.
        st.emit(effects.PassAnswer(event.request_id))
        ending.resolve_run(st, open_req, outcomes.Outcome.UNKNOWN)
        ending.close(st, open_req, "answer")
        return
    after_s = event.retry_after_s or RETRY_AFTER_FAILURE_S
    reason = _REASON_BY_RESULT[event.result]
    ending.refuse(st, open_req, reason, after_s, f"after {open_req.attempt} tries")
