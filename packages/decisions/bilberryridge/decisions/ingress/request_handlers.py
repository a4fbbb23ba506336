"""Handlers of a request's events, from its arrival to its final answer."""

import math
from typing import Any

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    access,
    admission_handlers,
    crash_handlers,
    effects,
    events,
    holding_back,
    path_handlers,
    placement,
    quota_handlers,
    retrying,
    sending,
    server_starts,
    server_table,
    server_word_handlers,
    service_choice,
    silence_handlers,
    slow_start_handlers,
    state,
    take_ups,
)

FAILURE_BUDGET_FRACTION = 0.4
"""Fraction of the retry budget available after error statuses: most of these are caused
by the request and recur, whereas a retry recovers lost answers and streams."""
MAX_OPEN_RELAYED = 250
"""Open requests of other daemons' callers from which on a daemon takes no more: one
core forwards some 150 requests a second, which are open for 1.5 s on average."""
OVERRUN_RETRY_AFTER_S = 0.5
"""Retry-After then; about a third of them have ended."""
NO_ROOM_DELAY_S = 0.1
"""Mean time after which a request that was turned away is sent to a server that has
requests waiting: load reports take as long, and many are often turned away at once."""
PEER_ASIDE_S = 1.0
"""Time for which nothing is sent to another daemon that couldn't pass a request on."""
NO_TABLE_RETRY_AFTER_S = 1.0
"""Retry-After while there is no routing table; peers are asked for it every 0.3 s."""
ACCEPT_AFTER_STOP_S = 3.0
"""How long requests are accepted after the start of a planned stop. Callers use other
entry VMs by then, and a stream that begins later might not end within the grace period
of 8 s."""
STOPPING_RETRY_AFTER_S = 0.05
"""Retry-After of a stopping daemon; other entry VMs are serving."""
UNKNOWN_KEY_RETRY_AFTER_S = 0.5
"""Told to a daemon that relayed a request with a key unknown here, never to a caller. A
daemon of the previous build leaves one that names no time out for all requests for a
second, public routes included."""
UNAUTHENTICATED_STATUS = outcomes.STATUS_BY_REASON[outcomes.Reason.UNAUTHENTICATED]
LONGEST_TIMEOUT_DECAY = 0.999
"""Factor applied with each request to the longest caller timeout seen on a route."""

_SEVERITY = {
    events.AttemptResult.ANSWERED: 0.0,
    events.AttemptResult.NOT_RUN: 0.5,
    events.AttemptResult.LOST: 1.0,
    events.AttemptResult.SPOILED: 1.0,
}

_RUN_RESULTS = frozenset(
    [
        events.AttemptResult.ANSWERED,
        events.AttemptResult.LOST,
        events.AttemptResult.SPOILED,
    ]
)
"""Results of attempts that a server may have run."""

_NOT_RUN_REASONS = frozenset(
    [
        outcomes.Reason.NO_CAPACITY,
        outcomes.Reason.NO_SERVER,
        outcomes.Reason.PROMPT_HELD_BACK,
        outcomes.Reason.REQUEST_HELD_BACK,
        outcomes.Reason.STOPPING,
        outcomes.Reason.STREAM_ORIGIN_UNKNOWN,
        outcomes.Reason.UNAUTHENTICATED,
        outcomes.Reason.CONFIGURATION_UNPROVEN,
    ]
)


def on_request_arrived(
    st: state.State, now_s: float, event: events.RequestArrived
) -> None:
    """Accept a request and place it, or refuse it."""
    _on_arrived(st, now_s, event.req, is_store_confirmed=False)


def on_store_checked(st: state.State, now_s: float, event: events.StoreChecked) -> None:
    """Go on with the requests that waited for what the store knows."""
    for req in take_ups.take_checked(st):
        if event.is_confirmed:
            _on_arrived(st, now_s, req, is_store_confirmed=True)
        else:
            _refuse_take_up(st, req)
    is_confirmed = event.is_confirmed and event.is_settled
    if is_confirmed:
        server_starts.confirm(st, st.store_asked_s, now_s)
    for item in server_starts.take_checked(st, is_confirmed):
        _place(st, item, now_s)


def refuse_head(
    st: state.State, now_s: float, req: ingress.Request
) -> effects.Refuse | None:
    """Return the refusal of a request by its key, before its body is read.

    None where its arrival would be refused for another reason or accepted by the state
    at this moment.
    """
    if _refusal_by_state(st, req, now_s) is not None or st.table is None:
        return None
    route = st.table.find(req.host, req.path)
    if route is None:
        return None
    checked = _check_access(st, req, route, now_s)
    if not isinstance(checked, access.Denial):
        return None
    return _refusal_by_denial(req, route, checked)


def _check_access(
    st: state.State, req: ingress.Request, route: ingress.Route, now_s: float
) -> ingress.Organisation | access.Denial | None:
    unproven = access.check_proof(st, req, route)
    return unproven or access.check(st, req, route, now_s)


def _on_arrived(
    st: state.State, now_s: float, req: ingress.Request, is_store_confirmed: bool
) -> None:
    refusal = _refusal_by_state(st, req, now_s)
    if refusal is not None:
        st.emit(refusal)
        return
    assert st.table is not None
    route = st.table.find(req.host, req.path)
    if route is None:
        log_fields = {"version": st.table.version, "host": req.host, "path": req.path}
        _refuse_on_arrival(st, req, outcomes.Reason.UNKNOWN_SERVICE, log_fields)
        return
    organisation = _check_access(st, req, route, now_s)
    if isinstance(organisation, access.Denial):
        st.emit(_refusal_by_denial(req, route, organisation))
        return
    if req.origin is None and take_ups.is_take_up(req, route):
        found = take_ups.find_origin(st, req, route)
        if found is None:
            _refuse_take_up(st, req, organisation)
            return
        if found[1] is take_ups.Source.SINGLE_VERSION and not is_store_confirmed:
            take_ups.await_store(st, req, now_s)
            return
        req = attrs.evolve(req, origin=found[0])
        log_fields = {
            **take_ups.log_fields(req, found[1]),
            **access.log_fields_of(organisation),
        }
        st.emit(effects.LogTakeUp(req.id, log_fields))
    service = service_choice.choose(st, st.table, route, req)
    if service is None:
        _refuse_take_up(st, req, organisation)
        return
    charged = access.charge(st, req, route, organisation, now_s)
    if isinstance(charged, access.Waiting):
        waiting = state.WaitingCharge(req, now_s, is_store_confirmed)
        st.waiting_charges[req.id] = waiting
        return
    if charged is not None:
        st.emit(_refusal_by_denial(req, route, charged))
        return
    waited_s = _waited_s(st, route, req)
    caller_timeout_s = min(req.caller_timeout_s, route.timeout_s)
    item = state.OpenRequest(
        req,
        route,
        service,
        now_s,
        min(now_s + caller_timeout_s, st.serves_until_s),
        waited_s,
        origin=req.origin,
        n_events=req.n_received_events if req.origin else 0,
        organisation=organisation,
    )
    st.open_requests[req.id] = item
    _place(st, item, now_s)


def _refusal_by_state(
    st: state.State, req: ingress.Request, now_s: float
) -> effects.Refuse | None:
    """Return why this daemon takes no such request now, whoever sends it."""
    if st.stopping_s is not None and _is_refused_at_stop(req, now_s - st.stopping_s):
        log_fields: dict[str, Any] = {"stopping_for_s": round(now_s - st.stopping_s, 3)}
        retry_after_s = None if req.is_relayed else STOPPING_RETRY_AFTER_S
        return _refusal(req, outcomes.Reason.STOPPING, log_fields, retry_after_s)
    if req.is_relayed and _n_open_relayed(st) >= MAX_OPEN_RELAYED:
        log_fields = {"open_relayed": MAX_OPEN_RELAYED}
        reason = outcomes.Reason.NO_CAPACITY
        return _refusal(req, reason, log_fields, OVERRUN_RETRY_AFTER_S)
    if st.table is None or req.table_version > st.table.version:
        log_fields = {"version": st.table.version if st.table else None}
        retry_after_s = None if req.is_relayed else NO_TABLE_RETRY_AFTER_S
        reason = outcomes.Reason.NO_CONFIGURATION
        return _refusal(req, reason, log_fields, retry_after_s)
    return None


def _refusal_by_denial(
    req: ingress.Request, route: ingress.Route, denial: access.Denial
) -> effects.Refuse:
    log_fields = {"route": route.name, **denial.log_fields}
    retry_after_s = denial.retry_after_s
    if req.is_relayed and denial.reason is outcomes.Reason.UNAUTHENTICATED:
        retry_after_s = UNKNOWN_KEY_RETRY_AFTER_S
    return _refusal(req, denial.reason, log_fields, retry_after_s)


def on_charges_settled(st: state.State, now_s: float) -> None:
    """Go on with the requests for which tokens were taken; refuse the others."""
    for request_id, is_taken in st.quotas.take_settled():
        waiting = st.waiting_charges.pop(request_id, None)
        if waiting is None:
            continue
        req = waiting.req
        if not is_taken:
            _refuse_over_quota(st, req, now_s)
            continue
        left_s = max(0.0, req.caller_timeout_s - (now_s - waiting.arrived_s))
        req = attrs.evolve(req, caller_timeout_s=left_s)
        _on_arrived(st, now_s, req, waiting.is_store_confirmed)
        if req.id not in st.open_requests and req.id not in st.waiting_take_ups:
            st.quotas.end(req.id, is_run=False, now_s=now_s)


def _refuse_over_quota(st: state.State, req: ingress.Request, now_s: float) -> None:
    organisation = st.table and st.table.organisation_of_key(req.key_digest)
    if not organisation or organisation.quota is None:
        # Of a newer table, which says whether the request may be sent.
        _on_arrived(st, now_s, req, is_store_confirmed=False)
        return
    n_tokens = organisation.quota.cost(req.n_stated_tokens)
    excess = quota_handlers.excess(st, organisation, n_tokens, now_s)
    log_fields = {"path": req.path, **excess.log_fields}
    _refuse_on_arrival(st, req, excess.reason, log_fields, excess.retry_after_s)


def on_caller_gone(st: state.State, now_s: float, event: events.CallerGone) -> None:
    """Cancel the request of a caller that left, or detach it if it is unsafe."""
    st.waiting_take_ups.pop(event.request_id, None)
    st.waiting_starts.pop(event.request_id, None)
    if st.waiting_charges.pop(event.request_id, None) is not None:
        st.quotas.withdraw(event.request_id)
        return
    item = st.open_requests.get(event.request_id)
    if item is None:
        return
    is_unsafe = item.route.kind is ingress.RequestKind.UNSAFE
    if is_unsafe and item.attempt is not None:
        item.is_detached = True
        st.emit(effects.DetachCaller(item.req.id))
        return
    sending.cancel(st, item)
    _close_request(st, item)


def on_attempt_began(st: state.State, now_s: float, event: events.AttemptBegan) -> None:
    """Record the first bytes of an answer."""
    item = _find_by_attempt(st, event.request_id, event.attempt_id)
    if item is None:
        return
    assert item.attempt is not None
    item.is_committed = item.is_committed or event.is_committed
    item.attempt.begun_s = now_s
    item.attempt.is_silent = False
    if event.is_committed:
        take_ups.record_origin(st, item, item.attempt, event.origin)
        take_ups.record(st, item, now_s)
    server = st.servers.by_id.get(item.attempt.server_id)
    if server is None:
        return
    key = (item.req.id, event.attempt_id)
    took_s = server.record_first_byte(key, now_s)
    if took_s is not None and event.is_committed:
        sent = server.work.local_attempts[key]
        slow_start_handlers.on_first_byte(st, server, took_s, sent, now_s)


def on_attempt_ended(st: state.State, now_s: float, event: events.AttemptEnded) -> None:
    """Continue or finish a request after an attempt ended."""
    item = _find_by_attempt(st, event.request_id, event.attempt_id)
    if item is None:
        return
    item.is_committed = item.is_committed or event.is_committed
    attempt, item.attempt = item.attempt, None
    assert attempt is not None
    item.last_result = event.result.value
    is_sent = event.result is not events.AttemptResult.NOT_SENT
    item.n_arrivals += is_sent and event.is_server_reached
    item.is_counted = item.is_counted or event.result in _RUN_RESULTS
    sending.record_relay_ended(st, attempt)
    if event.is_committed:
        take_ups.record_origin(st, item, attempt, None)
        item.n_events += event.n_events
    _record_result(st, item, attempt, event, now_s)
    crash_handlers.on_attempt_ended(st, item, attempt, event, now_s)
    if item.is_detached:
        _close_request(st, item)
        return
    is_answered = event.result is events.AttemptResult.ANSWERED
    if is_answered and item.is_committed and event.is_held:
        # An answer of another kind can't be joined to the stream that has begun.
        item.may_have_run = True
        _on_lost(st, item, event, now_s)
    elif is_answered:
        _on_answered(st, item, event, now_s)
    elif event.result is events.AttemptResult.NOT_RUN:
        _on_not_run(st, item, attempt, event, now_s)
    elif event.result is events.AttemptResult.NOT_SENT:
        item.n_server_attempts -= 1
        _place_again(st, item, now_s)
    else:
        item.may_have_run = True
        _on_lost(st, item, event, now_s)


def on_tick(st: state.State, now_s: float) -> None:
    """End requests whose deadline has passed, or which are held back now."""
    for req in take_ups.take_overdue(st, now_s):
        _refuse_take_up(st, req)
    for item in list(st.open_requests.values()):
        if now_s < item.deadline_s:
            if now_s >= item.place_again_s:
                item.place_again_s = math.inf
                if not _end_if_denied(st, item, now_s):
                    _place(st, item, now_s)
                continue
            _recall_held_back(st, item, now_s)
            path_handlers.on_waiting(st, item, now_s)
            silence_handlers.on_waiting(st, item, now_s)
            continue
        if item.is_detached:
            sending.cancel(st, item)
            _close_request(st, item)
            continue
        log_fields = {"open_s": round(now_s - item.arrived_s, 3)}
        path_handlers.on_deadline(st, item, now_s)
        if item.is_committed:
            sending.cancel(st, item)
            log_fields |= access.log_fields(item)
            st.emit(effects.AbortStream(item.req.id, log_fields))
            _close_request(st, item)
            continue
        sending.cancel(st, item)
        _refuse(st, item, outcomes.Reason.DEADLINE, log_fields)


def _recall_held_back(st: state.State, item: state.OpenRequest, now_s: float) -> None:
    """Call a request that is held back now back from the queue of its server."""
    if item.attempt is None or item.attempt.begun_s is not None or item.is_detached:
        return
    if item.is_trial:
        return
    hold_back = holding_back.find(st, item.req, now_s)
    if hold_back is not None:
        sending.cancel(st, item)
        item.may_have_run = True
        _hold_back(st, item, hold_back)


def _end_if_denied(st: state.State, item: state.OpenRequest, now_s: float) -> bool:
    """End a request that may not be sent again by its key; return whether so."""
    denial = access.renew(st, item, now_s)
    if denial is None:
        return False
    log_fields = dict(denial.log_fields)
    _give_up(st, item, denial.reason, log_fields, denial.retry_after_s)
    return True


def _n_open_relayed(st: state.State) -> int:
    return sum(item.req.is_relayed for item in st.open_requests.values())


def _refuse_take_up(
    st: state.State,
    req: ingress.Request,
    organisation: ingress.Organisation | None = None,
) -> None:
    """Refuse to continue a stream without knowing what can continue it.

    Without Retry-After: other daemons know no more, and the caller can start anew.
    """
    log_fields = {
        "path": req.path,
        **take_ups.log_fields(req),
        **access.log_fields_of(organisation),
    }
    _refuse_on_arrival(st, req, outcomes.Reason.STREAM_ORIGIN_UNKNOWN, log_fields)


def _is_refused_at_stop(req: ingress.Request, stopping_for_s: float) -> bool:
    """Return whether a stopping daemon refuses a request.

    Relayed requests are refused at once; others when their stream might not end within
    the grace period.
    """
    return req.is_relayed or stopping_for_s > ACCEPT_AFTER_STOP_S


def _waited_s(st: state.State, route: ingress.Route, req: ingress.Request) -> float:
    """Estimate how long the caller has waited before this request.

    Callers that retry send a shorter timeout than the longest one seen on the route.
    """
    longest_s = st.longest_timeout_s.get(route.name, 0.0) * LONGEST_TIMEOUT_DECAY
    longest_s = max(longest_s, req.caller_timeout_s)
    st.longest_timeout_s[route.name] = longest_s
    return longest_s - req.caller_timeout_s


def _place(st: state.State, item: state.OpenRequest, now_s: float) -> None:
    hold_back = holding_back.find(st, item.req, now_s)
    if hold_back is not None and not hold_back.is_trial_due:
        _hold_back(st, item, hold_back)
        return
    if item.is_committed and item.origin is None:
        # The store hasn't told the version of the server that began it.
        log_fields = {"origin": "unknown"}
        _give_up(st, item, outcomes.Reason.ANSWER_LOST, log_fields, None)
        return
    st.servers.asked_s[item.service.name] = now_s
    choice = admission_handlers.place(st, item, now_s)
    if server_starts.await_store(st, item, choice, now_s):
        return
    if hold_back is not None:
        # Daemons of other regions would refuse it.
        if not isinstance(choice, placement.ServerChoice):
            _hold_back(st, item, hold_back)
            return
        item.is_trial = True
        st.crashing_requests.record_trial(item.req.content_id, now_s)
    if isinstance(choice, placement.NoCapacity):
        _refuse_for_room(st, item, choice)
    else:
        sending.send(st, item, choice, now_s)


def _refuse_for_room(
    st: state.State, item: state.OpenRequest, choice: placement.NoCapacity
) -> None:
    expected_s = choice.expected_s
    reason = outcomes.Reason.NO_CAPACITY
    if expected_s is None:
        reason = outcomes.Reason.NO_SERVER
    log_fields: dict[str, Any] = {
        "expected_s": expected_s and round(expected_s, 3),
        "queue_s": round(choice.queue_s, 3),
        "stream_s": round(choice.stream_s, 3),
        "waited_s": round(item.waited_s, 3),
    }
    if choice.admitted_fraction is not None:
        log_fields = {"admitted": round(choice.admitted_fraction, 3)}
    retry_after_s: float | None = choice.retry_after_s
    if st.is_stopping and not item.req.is_relayed:
        # Other entry VMs have more time.
        reason, retry_after_s = outcomes.Reason.STOPPING, STOPPING_RETRY_AFTER_S
    elif item.origin is not None and not st.versions.is_served(item.origin):
        log_fields["version_left"] = item.origin.version
        # Coming back is of no use; to another daemon it would speak of this one only.
        retry_after_s = choice.retry_after_s if item.req.is_relayed else None
    elif item.req.is_relayed and st.servers.is_cut_off(item.service.name):
        # Other daemons of this region may reach the servers.
        retry_after_s = None
    _give_up(st, item, reason, log_fields, retry_after_s)


def _hold_back(
    st: state.State, item: state.OpenRequest, hold_back: holding_back.HoldBack
) -> None:
    """End a request under which servers crash."""
    _give_up(st, item, hold_back.reason, hold_back.log_fields, hold_back.for_s)


def _record_result(
    st: state.State,
    item: state.OpenRequest,
    attempt: state.Attempt,
    event: events.AttemptEnded,
    now_s: float,
) -> None:
    """Update the state of the attempt's server."""
    server = st.servers.by_id.get(attempt.server_id)
    if server is None:
        return
    sent = server.work.local_attempts.get((item.req.id, attempt.id))
    if sent is not None:
        slow_start_handlers.on_attempt_ended(st, server, event, sent, now_s)
    server.work.end((item.req.id, attempt.id))
    path_handlers.on_attempt_ended(st, server, event, now_s)
    server_word_handlers.on_turned_away(server, event, now_s)
    if event.result is events.AttemptResult.NOT_SENT:
        # This says something of the path only.
        return
    severity = _SEVERITY[event.result]
    if event.result is events.AttemptResult.ANSWERED and event.status >= 500:
        severity = server_table.ERROR_STATUS_SEVERITY
    server.record_result(severity, now_s)
    engine = item.service.engine
    if engine is not None and event.result is events.AttemptResult.ANSWERED:
        n_tokens = (event.n_events - 1) * engine.n_tokens_per_event
        server.record_stream(event.took_s - event.first_s, n_tokens, now_s)
    if event.is_misdirected:
        server.availability.record_failed_connection(now_s)
        change = f"{attempt.server_id} takes no work"
        log_fields = {
            "cause": "another server at its address",
            "for_s": server.availability.unavailable_for_s,
            "result": event.result.value,
        }
        st.emit(effects.LogStateChange("server", change, log_fields))


def _on_answered(
    st: state.State, item: state.OpenRequest, event: events.AttemptEnded, now_s: float
) -> None:
    is_failure = event.status >= 500 and item.route.is_repeatable
    if is_failure and not item.is_committed and retrying.may_retry(st, item, now_s):
        choice = st.choose(st, item, now_s)
        is_placed = not isinstance(choice, placement.NoCapacity)
        if is_placed and retrying.take_budget(st, item, now_s, FAILURE_BUDGET_FRACTION):
            item.may_have_run = True
            sending.send(st, item, choice, now_s)
            return
    if not event.is_committed:
        st.emit(effects.PassAnswer(item.req.id, event.attempt_id))
    _close_request(st, item)


def _on_not_run(
    st: state.State,
    item: state.OpenRequest,
    attempt: state.Attempt,
    event: events.AttemptEnded,
    now_s: float,
) -> None:
    if attempt.peer:
        _set_peer_aside(st, item, attempt, event, now_s)
    if _end_if_denied(st, item, now_s):
        return
    if event.is_misdirected or not event.is_server_reached:
        item.n_server_attempts -= 1
        _place_again(st, item, now_s)
        return
    if retrying.may_retry(st, item, now_s):
        choice = st.choose(st, item, now_s)
        if isinstance(choice, placement.NoCapacity):
            if not server_starts.await_store(st, item, choice, now_s):
                _refuse_for_room(st, item, choice)
            return
        if retrying.take_budget(st, item, now_s):
            _send_with_room(st, item, choice, now_s)
            return
    retry_after_s = event.retry_after_s if attempt.peer else None
    if retry_after_s is None:
        retry_after_s = placement.no_server_retry_after_s(st, item, now_s)
    log_fields = {"status": event.status}
    _give_up(st, item, outcomes.Reason.NO_CAPACITY, log_fields, retry_after_s)


def _send_with_room(
    st: state.State,
    item: state.OpenRequest,
    choice: placement.ServerChoice | placement.PeerChoice,
    now_s: float,
) -> None:
    """Send a request that was turned away; later if it would wait there as well."""
    if choice.expected.queue_s <= 0:
        sending.send(st, item, choice, now_s)
        return
    delay_s = NO_ROOM_DELAY_S * st.random_state.uniform(0.5, 1.5)
    item.place_again_s = now_s + delay_s


def _set_peer_aside(
    st: state.State,
    item: state.OpenRequest,
    attempt: state.Attempt,
    event: events.AttemptEnded,
    now_s: float,
) -> None:
    """Leave a region, or a daemon, out that refused a relayed request.

    A daemon that is stopping, has an older table or has lost its paths sends no
    Retry-After. One with a newer table that doesn't hold this request's key may serve
    others.
    """
    is_key_refused = event.status == UNAUTHENTICATED_STATUS
    if event.retry_after_s is not None or is_key_refused:
        item.tried_regions.add(attempt.region)
    else:
        st.peers_aside_until_s[attempt.peer] = now_s + PEER_ASIDE_S


def _on_lost(
    st: state.State, item: state.OpenRequest, event: events.AttemptEnded, now_s: float
) -> None:
    can_continue = not item.is_committed or (
        event.is_position_known and item.origin is not None
    )
    if item.route.is_repeatable and can_continue and retrying.reserve(st, item, now_s):
        _place(st, item, now_s)
        return
    if item.route.is_repeatable and event.is_position_known and not can_continue:
        may_wait = item.unsure is not None and retrying.reserve(st, item, now_s)
        if may_wait and server_starts.await_origin(st, item, now_s):
            return
    log_fields: dict[str, Any] = {"result": event.result.value}
    if not event.is_position_known:
        log_fields["position"] = "unknown"
    if item.is_committed and item.origin is None:
        log_fields["origin"] = "unknown"
    _give_up(st, item, outcomes.Reason.ANSWER_LOST, log_fields, None)


def _place_again(st: state.State, item: state.OpenRequest, now_s: float) -> None:
    """Place a request again that reached no server of its service."""
    if _end_if_denied(st, item, now_s):
        return
    if retrying.reserve_send(st, item, now_s):
        _place(st, item, now_s)
        return
    retry_after_s = placement.no_server_retry_after_s(st, item, now_s)
    _give_up(st, item, outcomes.Reason.NO_SERVER, {}, retry_after_s)


def _give_up(
    st: state.State,
    item: state.OpenRequest,
    reason: outcomes.Reason,
    log_fields: dict[str, Any],
    retry_after_s: float | None,
) -> None:
    """End a request without an answer: abort its stream, or refuse it."""
    if item.is_committed:
        log_fields = {
            "reason": reason.value,
            **access.log_fields(item),
            **log_fields,
        }
        st.emit(effects.AbortStream(item.req.id, log_fields))
        _close_request(st, item)
        return
    _refuse(st, item, reason, log_fields, retry_after_s)


def _refuse(
    st: state.State,
    item: state.OpenRequest,
    reason: outcomes.Reason,
    log_fields: dict[str, Any],
    retry_after_s: float | None = None,
) -> None:
    has_run = item.may_have_run or reason in (
        outcomes.Reason.DEADLINE,
        outcomes.Reason.ANSWER_LOST,
    )
    if has_run and reason in _NOT_RUN_REASONS:
        reason = outcomes.Reason.ANSWER_LOST
    outcome = outcomes.Outcome.UNKNOWN if has_run else outcomes.Outcome.NOT_RUN
    refusal = outcomes.Refusal(reason, outcome, "", None if has_run else retry_after_s)
    log_fields = {
        "route": item.route.name,
        "n_sends": item.n_server_attempts,
        **access.log_fields(item),
        **log_fields,
    }
    if item.obstacle:
        log_fields["no_retry"] = item.obstacle
    is_server_reached = item.n_arrivals > 0 or item.may_have_run
    st.emit(effects.Refuse(item.req.id, refusal, log_fields, is_server_reached))
    _close_request(st, item)


def _refuse_on_arrival(
    st: state.State,
    req: ingress.Request,
    reason: outcomes.Reason,
    log_fields: dict[str, Any],
    retry_after_s: float | None = None,
) -> None:
    st.emit(_refusal(req, reason, log_fields, retry_after_s))


def _refusal(
    req: ingress.Request,
    reason: outcomes.Reason,
    log_fields: dict[str, Any],
    retry_after_s: float | None,
) -> effects.Refuse:
    outcome = outcomes.Outcome.NOT_RUN
    refusal = outcomes.Refusal(reason, outcome, "", retry_after_s)
    return effects.Refuse(req.id, refusal, log_fields)


def _close_request(st: state.State, item: state.OpenRequest) -> None:
    st.open_requests.pop(item.req.id, None)
    st.quotas.end(item.req.id, item.is_counted, st.now_s)


def _find_by_attempt(
    st: state.State, request_id: str, attempt_id: int
) -> state.OpenRequest | None:
    item = st.open_requests.get(request_id)
    if item is None or item.attempt is None or item.attempt.id != attempt_id:
        return None
    return item
