"""Queueing and dispatch of valid requests, and callers that leave.

See Also
--------
bilberryridge.decisions.request_validation : the preceding validation.
bilberryridge.decisions.attempt_handlers : the handling of sent requests.
"""

from bilberryridge.core import outcomes
from bilberryridge.decisions import (
    admission,
    effects,
    ending,
    events,
    sending,
    state,
)

MAX_SKIPPED = 8
"""Most waiting requests per dispatch that are skipped as they can't be placed now."""
RETRY_SOON_S = 1.0
EXPECTED_TOKENS_PER_S = 25.0
"""Expected output rate of one stream."""
MIN_WORK_S = 0.05
MAX_WORK_FRACTION = 0.25
"""Fraction of the service's deadline."""


def admit(st: state.State, now_s: float, open_req: state.OpenRequest) -> None:
    """Queue a request and place it if there is room."""
    if not may_be_placed(st, now_s, open_req):
        ending.refuse(st, open_req, outcomes.Reason.NO_SERVER, 2 * RETRY_SOON_S)
        return
    if open_req.is_from_peer:
        _admit_from_peer(st, now_s, open_req)
        return
    result = st.admission.offer(now_s, waiting_request(open_req))
    if isinstance(result, admission.Refused):
        # Admission has jittered the retry time; `ending.refuse` jitters it once more.
        ending.refuse(st, open_req, result.reason, result.retry_after_s, result.detail)
        return
    _refuse_displaced(st, result)
    st.step(open_req, "queue")
    st.retries.on_first_attempt(now_s, open_req.service.name)
    dispatch(st, now_s, open_req.service.name)


def _admit_from_peer(
    st: state.State, now_s: float, open_req: state.OpenRequest
) -> None:
    # The sender can try another domain right away, so a forwarded request never waits
    # here and never takes capacity that local callers wait for.
    st.step(open_req, "queue")
    waiting = waiting_request(open_req)
    is_owner = bool(open_req.scope)
    has_waiting = open_req.service.name in st.admission.services()
    if not has_waiting and sending.try_place(st, now_s, open_req, waiting):
        return
    if is_owner:
        # Only the owner may run it, so it may wait here like those of local callers.
        result = st.admission.offer(now_s, waiting)
        if not isinstance(result, admission.Refused):
            _refuse_displaced(st, result)
            return
    wait_s = st.admission.expected_wait_s(now_s, open_req.service.name)
    ending.refuse(st, open_req, outcomes.Reason.NO_CAPACITY, max(RETRY_SOON_S, wait_s))


def _refuse_displaced(st: state.State, queued: admission.Queued) -> None:
    for displaced in queued.displaced:
        displaced_req = st.open_requests.get(displaced.request_id)
        if displaced_req is not None:
            ending.refuse(
                st, displaced_req, outcomes.Reason.OVER_SHARE, 2 * RETRY_SOON_S
            )


def waiting_request(open_req: state.OpenRequest) -> admission.WaitingRequest:
    """Return the request as admission queues it."""
    req = open_req.req
    work_s = req.n_output_tokens / EXPECTED_TOKENS_PER_S
    # The bound on output tokens is often far above the number generated.
    work_s = min(
        max(work_s, MIN_WORK_S), MAX_WORK_FRACTION * open_req.service.deadline_s
    )
    return admission.WaitingRequest(
        request_id=req.request_id,
        service=open_req.service.name,
        organisation=open_req.organisation.name,
        weight=open_req.organisation.weight,
        priority=req.priority,
        # Admission reserves the expected work before the deadline once. Reserving it
        # twice leaves time for the server's own queue and for a wrong estimate; else
        # the answer would be truncated at the deadline.
        deadline_s=open_req.deadline_s - work_s,
        cost=work_s,
    )


def may_be_placed(st: state.State, now_s: float, open_req: state.OpenRequest) -> bool:
    """Whether some server, local or in another domain, may serve the request."""
    name = open_req.service.name
    if any(
        st.members.accepts_new_requests(now_s, c.vm)
        for c in sending.candidates(st, name)
    ):
        return True
    return not open_req.is_from_peer and bool(sending.remotes(st, now_s, open_req))


def dispatch(st: state.State, now_s: float, service: str) -> None:
    """Place waiting requests of a service while there is room."""
    st.admission.unblock(now_s, service)
    skipped: list[admission.WaitingRequest] = []
    while len(skipped) < MAX_SKIPPED:
        waiting = st.admission.take(now_s, service)
        if waiting is None:
            break
        open_req = st.open_requests.get(waiting.request_id)
        if open_req is not None and not sending.try_place(st, now_s, open_req, waiting):
            skipped.append(waiting)
    for waiting in reversed(skipped):
        st.admission.put_back(waiting)


def on_caller_gone(st: state.State, now_s: float, event: events.CallerGone) -> None:
    """Release the resources of a request whose caller left."""
    open_req = st.open_requests.get(event.request_id)
    if open_req is None:
        return
    if open_req.is_at_most_once and open_req.n_possible_runs:
        # It may have run; its outcome is stored for a retry by the caller.
        st.explain(event.request_id, "caller left", "kept until its outcome is known")
        return
    st.count("callers_gone")
    st.explain(event.request_id, "caller left", "given up")
    if open_req.n_possible_runs or open_req.state == "relaying":
        st.emit(effects.CancelAttempt(event.request_id, open_req.attempt))
        st.loads.on_ended(now_s, event.request_id, True)
    ending.resolve_run(st, open_req, open_req.outcome)
    ending.close(st, open_req, "leave")
    dispatch(st, now_s, open_req.service.name)


def on_tick(st: state.State, now_s: float) -> None:
    """Refuse requests that waited too long and place others while there is room."""
    for waiting in st.admission.expire(now_s):
        open_req = st.open_requests.get(waiting.request_id)
        if open_req is not None:
            ending.refuse(st, open_req, outcomes.Reason.DEADLINE, RETRY_SOON_S)
    for service in st.admission.services():
        dispatch(st, now_s, service)
