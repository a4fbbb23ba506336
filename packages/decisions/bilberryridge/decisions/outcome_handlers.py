"""Outcomes of requests with a key: stored at the owner, copied to peers, looked up.

See Also
--------
bilberryridge.decisions.at_most_once : the state that the owner keeps.
"""

from bilberryridge.core import messages, outcomes
from bilberryridge.decisions import (
    at_most_once,
    effects,
    ending,
    events,
    rendezvous,
    sending,
    state,
)

N_COPIES = 2
LOOK_UP_TIMEOUT_S = 0.5
RETRY_IN_PROGRESS_S = 1.0
RETRY_UNSETTLED_S = 2.0
EXPIRE_INTERVAL_S = 10.0


def answer_retry(
    st: state.State, open_req: state.OpenRequest, run: at_most_once.Run
) -> None:
    """Answer a retry of a request that ran or may be running with the same key."""
    if run.body_digest != open_req.req.body_digest:
        ending.refuse(
            st,
            open_req,
            outcomes.Reason.KEY_REUSED,
            detail="the key was used for another request",
        )
        return
    if run.state is at_most_once.RunState.RUNNING:
        ending.refuse(
            st,
            open_req,
            outcomes.Reason.KEY_IN_PROGRESS,
            RETRY_IN_PROGRESS_S,
            "an earlier try is in work",
        )
        return
    if run.answer is None:
        refuse_unsettled(st, open_req)
        return
    _answer_stored(st, open_req, run.answer)


def _answer_stored(
    st: state.State, open_req: state.OpenRequest, answer: events.StoredAnswer
) -> None:
    st.count("stored_answers")
    st.explain(open_req.req.request_id, "answered", "with the stored outcome")
    st.emit(effects.AnswerStored(open_req.req.request_id, answer))
    ending.close(st, open_req, "answer")


def refuse_unsettled(st: state.State, open_req: state.OpenRequest) -> None:
    """Refuse a retry of a request whose outcome is lost."""
    ending.refuse(
        st,
        open_req,
        outcomes.Reason.KEY_UNSETTLED,
        detail="an earlier try may have run; its outcome is lost",
        outcome=outcomes.Outcome.UNKNOWN,
    )


def look_up(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    owner: at_most_once.Owner,
) -> None:
    """Look up the outcome of a request whose owner is unavailable."""
    scope = at_most_once.scope_of(
        open_req.organisation.name, open_req.req.idempotency_key
    )
    copy = st.copies.get(now_s, scope)
    if copy is not None:
        _answer_from_copy(st, open_req, copy)
        return
    domain = st.deployment.vms[owner.vm].domain
    if domain != st.cfg.domain:
        _look_up_in_domain(st, now_s, open_req, owner, domain)
        return
    peers = frozenset(st.local_peers())
    if not peers:
        _refuse_owner_unreachable(st, open_req)
        return
    st.step(open_req, "look_up")
    open_req.awaited_peers = peers
    open_req.awaited_until_s = now_s + LOOK_UP_TIMEOUT_S
    for vm in peers:
        st.send_peer(vm, messages.OutcomeRequest(scope))


def _look_up_in_domain(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    owner: at_most_once.Owner,
    domain: str,
) -> None:
    names = [
        vm.name
        for vm in st.domain_daemons(domain)
        if vm.name not in open_req.excluded
        and vm.name != owner.vm
        and st.members.is_live_daemon(now_s, vm.name)
    ]
    if open_req.req.envelope is not None or not names:
        _refuse_owner_unreachable(st, open_req)
        return
    sending.relay(st, now_s, open_req, owner, st.random_state.choice(names))


def _refuse_owner_unreachable(st: state.State, open_req: state.OpenRequest) -> None:
    ending.refuse(
        st,
        open_req,
        outcomes.Reason.OWNER_UNREACHABLE,
        RETRY_UNSETTLED_S,
        "only the owner of the key may run it, and it can't be reached",
        outcomes.Outcome.UNKNOWN,
    )


def _answer_from_copy(
    st: state.State, open_req: state.OpenRequest, copy: at_most_once.Copy
) -> None:
    run = at_most_once.Run(
        copy.body_digest, "", 0.0, at_most_once.RunState.DONE, copy.answer
    )
    answer_retry(st, open_req, run)


def on_copy(
    st: state.State, now_s: float, sender: str, body: messages.OutcomeCopy
) -> None:
    """Store a peer's copy and answer the requests that wait for it."""
    answer = events.StoredAnswer(body.status, body.headers, body.body)
    copy = at_most_once.Copy(body.body_digest, answer, now_s + body.remaining_s)
    st.copies.put(body.scope, copy)
    for open_req in _awaiting_copies(st, body.scope):
        _answer_from_copy(st, open_req, copy)


def on_request(
    st: state.State, now_s: float, sender: str, body: messages.OutcomeRequest
) -> None:
    """Send a peer the copy of an outcome that it requested, if there is one."""
    copy = st.copies.get(now_s, body.scope)
    if copy is None:
        st.send_peer(sender, messages.OutcomeMissing(body.scope))
        return
    st.send_peer(sender, _copy_message(now_s, body.scope, copy))


def on_missing(
    st: state.State, now_s: float, sender: str, body: messages.OutcomeMissing
) -> None:
    """Refuse the waiting requests once no awaited peer is left that may have a copy."""
    for open_req in _awaiting_copies(st, body.scope):
        open_req.awaited_peers -= {sender}
        if not open_req.awaited_peers:
            refuse_unsettled(st, open_req)


def _awaiting_copies(st: state.State, scope: str) -> list[state.OpenRequest]:
    return [
        o
        for o in st.open_requests.values()
        if o.state == "settling"
        and scope == at_most_once.scope_of(o.organisation.name, o.req.idempotency_key)
    ]


def store_outcome(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    answer: events.StoredAnswer | None,
) -> None:
    """Store the outcome of an owned request, locally and at peers of the domain."""
    if not open_req.scope:
        return
    if answer is None:
        st.runs.mark_unknown(open_req.scope)
        return
    st.runs.finish(open_req.scope, answer)
    copy = at_most_once.Copy(open_req.req.body_digest, answer, open_req.expires_s)
    ranked = rendezvous.ranked(open_req.scope, st.local_peers())
    for vm in ranked[:N_COPIES]:
        st.send_peer(vm, _copy_message(now_s, open_req.scope, copy))


def _copy_message(
    now_s: float, scope: str, copy: at_most_once.Copy
) -> messages.OutcomeCopy:
    return messages.OutcomeCopy(
        scope,
        copy.body_digest,
        copy.answer.status,
        copy.answer.headers,
        copy.answer.body,
        copy.expires_s - now_s,
    )


def on_tick(st: state.State, now_s: float) -> None:
    """Refuse requests whose lookup timed out; drop expired runs and copies."""
    overdue = [
        o
        for o in st.open_requests.values()
        if o.state == "settling" and o.awaited_until_s <= now_s
    ]
    for open_req in overdue:
        refuse_unsettled(st, open_req)
    if now_s - st.last_expired_s >= EXPIRE_INTERVAL_S:
        st.last_expired_s = now_s
        st.runs.expire(now_s)
        st.copies.expire(now_s)
