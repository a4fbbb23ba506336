"""A request from its arrival to its final answer."""

from typing import Any

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    effects,
    events,
    placement,
    sending,
    server_table,
    state,
)

MAX_TRIES = 5
"""Sends of one request, those that reached no server included."""
FAILURE_BUDGET_PART = 0.4
"""Part of the retry budget for failures that servers answer: most are the request's
own and come again, while lost answers and streams are served by a repeat."""
MIN_LEFT_S = 0.03
"""A request with less time left is not sent any more."""
NO_TABLE_RETRY_S = 1.0
"""Wait told to callers while no configuration is known; it is asked for every 0.3 s."""
LATEST_AT_STOP_S = 3.0
"""After the start of a planned stop; callers know of another VM by then, and a stream
that begins later might not end in the grace period's 8 s."""
STOPPING_RETRY_S = 0.05
"""Wait told to callers of a VM that stops: others serve."""
LONGEST_PATIENCE_DECAY = 0.999
"""The longest patience of a route's callers falls by this part with each request."""

_SEVERITY = {
    events.AttemptResult.ANSWERED: 0.0,
    events.AttemptResult.NOT_RUN: 0.5,
    events.AttemptResult.NOT_SENT: 1.0,
    events.AttemptResult.LOST: 1.0,
    events.AttemptResult.SPOILED: 1.0,
}

_NOT_RUN_REASONS = frozenset([outcomes.Reason.NO_CAPACITY, outcomes.Reason.NO_SERVER])


def on_arrived(st: state.State, now_s: float, event: events.RequestArrived) -> None:
    """Take a request in."""
    req = event.req
    if st.stopping_s is not None and _is_too_late(req, now_s - st.stopping_s):
        log_fields: dict[str, Any] = {"stopping_for_s": round(now_s - st.stopping_s, 3)}
        retry_after_s = None if req.is_relayed else STOPPING_RETRY_S
        _refuse_new(st, req, outcomes.Reason.STOPPING, log_fields, retry_after_s)
        return
    if st.table is None or req.table_version > st.table.version:
        log_fields = {"version": st.table.version if st.table else None}
        retry_after_s = None if req.is_relayed else NO_TABLE_RETRY_S
        _refuse_new(
            st, req, outcomes.Reason.NO_CONFIGURATION, log_fields, retry_after_s
        )
        return
    route = st.table.find(req.host, req.path)
    if route is None:
        log_fields = {"version": st.table.version, "host": req.host, "path": req.path}
        _refuse_new(st, req, outcomes.Reason.UNKNOWN_SERVICE, log_fields)
        return
    service = _service_of(st, st.table, route)
    waited_s = _waited_s(st, route, req)
    caller_timeout_s = min(req.caller_timeout_s, route.timeout_s)
    item = state.OpenRequest(
        req, route, service, now_s, now_s + caller_timeout_s, waited_s
    )
    st.open_requests[req.id] = item
    _place(st, item, now_s)


def on_caller_gone(st: state.State, now_s: float, event: events.CallerGone) -> None:
    """Stop the work for a caller that left, unless it must not be broken off."""
    item = st.open_requests.get(event.request_id)
    if item is None:
        return
    is_unsafe = item.route.kind is ingress.RequestKind.UNSAFE
    if is_unsafe and item.attempt is not None:
        item.is_detached = True
        st.emit(effects.DetachCaller(item.req.id))
        return
    _cancel(st, item)
    _close(st, item)


def on_began(st: state.State, now_s: float, event: events.AttemptBegan) -> None:
    """Learn from the first bytes of an answer."""
    item = _item_of(st, event.request_id, event.attempt_id)
    if item is None:
        return
    assert item.attempt is not None
    item.is_committed = item.is_committed or event.is_committed
    server = st.servers.by_id.get(item.attempt.server_id)
    if server is not None:
        server.note_first((item.req.id, event.attempt_id), now_s)


def on_ended(st: state.State, now_s: float, event: events.AttemptEnded) -> None:
    """Go on after an attempt."""
    item = _item_of(st, event.request_id, event.attempt_id)
    if item is None:
        return
    item.is_committed = item.is_committed or event.is_committed
    attempt, item.attempt = item.attempt, None
    assert attempt is not None
    _settle(st, item, attempt, event, now_s)
    if item.is_detached:
        _close(st, item)
        return
    if event.result is events.AttemptResult.ANSWERED:
        _on_answered(st, item, event, now_s)
    elif event.result is events.AttemptResult.NOT_RUN:
        _on_not_run(st, item, attempt, event, now_s)
    elif event.result is events.AttemptResult.NOT_SENT:
        item.n_sends -= 1
        _place_again(st, item, now_s, is_counted=False)
    else:
        item.may_have_run = True
        _on_lost(st, item, event, now_s)


def on_tick(st: state.State, now_s: float) -> None:
    """End requests whose time is over."""
    for item in list(st.open_requests.values()):
        if now_s < item.deadline_s:
            continue
        if item.is_detached:
            _cancel(st, item)
            _close(st, item)
            continue
        log_fields = {"open_s": round(now_s - item.arrived_s, 3)}
        if item.is_committed:
            _cancel(st, item)
            st.emit(effects.AbortStream(item.req.id, log_fields))
            _close(st, item)
            continue
        _cancel(st, item)
        _refuse(st, item, outcomes.Reason.DEADLINE, log_fields)


def _is_too_late(req: ingress.Request, stopping_for_s: float) -> bool:
    """Return whether a stop has gone so far that a stream might not end in time."""
    return req.is_relayed or stopping_for_s > LATEST_AT_STOP_S


def _service_of(
    st: state.State, table: ingress.RoutingTable, route: ingress.Route
) -> ingress.Service:
    weights = [share.weight for share in route.shares]
    names = [share.service for share in route.shares]
    name = names[0]
    if len(names) > 1 and sum(weights) > 0:
        name = st.random_state.choices(names, weights)[0]
    return table.services.get(name) or ingress.Service(name)


def _waited_s(st: state.State, route: ingress.Route, req: ingress.Request) -> float:
    """Return how long the caller has waited: callers that return have less patience."""
    longest_s = st.longest_patience_s.get(route.name, 0.0) * LONGEST_PATIENCE_DECAY
    longest_s = max(longest_s, req.caller_timeout_s)
    st.longest_patience_s[route.name] = longest_s
    return longest_s - req.caller_timeout_s


def _place(st: state.State, item: state.OpenRequest, now_s: float) -> None:
    choice = st.choose(st, item, now_s)
    if isinstance(choice, placement.ServerChoice):
        sending.send_here(st, item, choice, now_s)
    elif isinstance(choice, placement.RegionChoice):
        sending.send_there(st, item, choice, now_s)
    else:
        expected_s = choice.expected_s
        reason = outcomes.Reason.NO_CAPACITY
        if expected_s is None:
            reason = outcomes.Reason.NO_SERVER
        log_fields = {
            "expected_s": expected_s and round(expected_s, 3),
            "queue_s": round(choice.queue_s, 3),
            "waited_s": round(item.waited_s, 3),
        }
        _give_up(st, item, reason, log_fields, choice.retry_after_s)


def _settle(
    st: state.State,
    item: state.OpenRequest,
    attempt: state.Attempt,
    event: events.AttemptEnded,
    now_s: float,
) -> None:
    """Take the attempt's end into what is known of its server."""
    server = st.servers.by_id.get(attempt.server_id)
    if server is None:
        return
    server.work.end((item.req.id, attempt.id))
    severity = _SEVERITY[event.result]
    if event.result is events.AttemptResult.ANSWERED and event.status >= 500:
        severity = server_table.STATUS_FAULT
    server.note_result(severity, now_s)
    engine = item.service.engine
    if engine is not None and event.result is events.AttemptResult.ANSWERED:
        n_tokens = (event.n_events - 1) * engine.n_tokens_per_event
        server.note_stream(event.took_s - event.first_s, n_tokens, now_s)
    if event.result is events.AttemptResult.NOT_SENT or event.is_misdirected:
        server.note_away(now_s)
        change = f"{attempt.server_id} takes no work"
        log_fields = {"for_s": server.away_for_s, "result": event.result.value}
        st.emit(effects.LogStateChange("server", change, log_fields))


def _on_answered(
    st: state.State, item: state.OpenRequest, event: events.AttemptEnded, now_s: float
) -> None:
    is_failure = event.status >= 500 and item.route.is_repeatable
    if is_failure and not item.is_committed and _can_repeat(item, now_s):
        choice = st.choose(st, item, now_s)
        is_placed = not isinstance(choice, placement.NoCapacity)
        if is_placed and _take_budget(st, item, now_s, FAILURE_BUDGET_PART):
            item.may_have_run = True
            _carry(st, item, choice, now_s)
            return
    if not event.is_committed:
        st.emit(effects.PassAnswer(item.req.id, event.attempt_id))
    _close(st, item)


def _on_not_run(
    st: state.State,
    item: state.OpenRequest,
    attempt: state.Attempt,
    event: events.AttemptEnded,
    now_s: float,
) -> None:
    if event.is_misdirected or not attempt.server_id:
        # No server of the service was reached, or a daemon answered for its region;
        # one that stops or is behind says nothing of when to come back.
        item.n_sends -= 1
        if not attempt.server_id and event.retry_after_s is not None:
            item.tried_regions.add(attempt.region)
        _place_again(st, item, now_s, is_counted=event.is_misdirected)
        return
    if _may_repeat(st, item, now_s):
        _place(st, item, now_s)
        return
    retry_after_s = event.retry_after_s or placement.EMPTY_RETRY_S
    log_fields = {"status": event.status}
    _give_up(st, item, outcomes.Reason.NO_CAPACITY, log_fields, retry_after_s)


def _on_lost(
    st: state.State, item: state.OpenRequest, event: events.AttemptEnded, now_s: float
) -> None:
    if item.route.is_repeatable and _may_repeat(st, item, now_s):
        _place(st, item, now_s)
        return
    log_fields = {"result": event.result.value}
    _give_up(st, item, outcomes.Reason.ANSWER_LOST, log_fields, None)


def _place_again(
    st: state.State, item: state.OpenRequest, now_s: float, is_counted: bool
) -> None:
    """Send a request again that reached no server of its service."""
    has_time = item.deadline_s - now_s > MIN_LEFT_S and item.n_tries < MAX_TRIES
    if has_time and (not is_counted or _take_budget(st, item, now_s)):
        _place(st, item, now_s)
        return
    retry_after_s = placement.EMPTY_RETRY_S
    _give_up(st, item, outcomes.Reason.NO_SERVER, {}, retry_after_s)


def _may_repeat(st: state.State, item: state.OpenRequest, now_s: float) -> bool:
    return _can_repeat(item, now_s) and _take_budget(st, item, now_s)


def _can_repeat(item: state.OpenRequest, now_s: float) -> bool:
    """Return whether there are tries and time left; the budget is another matter."""
    if item.n_sends >= item.route.max_attempts or item.n_tries >= MAX_TRIES:
        return False
    return not item.req.is_relayed and item.deadline_s - now_s > MIN_LEFT_S


def _take_budget(
    st: state.State, item: state.OpenRequest, now_s: float, part: float = 1.0
) -> bool:
    return st.budget.take(item.service.name, now_s, st.members.n_all(now_s), part)


def _carry(
    st: state.State,
    item: state.OpenRequest,
    choice: placement.ServerChoice | placement.RegionChoice,
    now_s: float,
) -> None:
    if isinstance(choice, placement.ServerChoice):
        sending.send_here(st, item, choice, now_s)
    else:
        sending.send_there(st, item, choice, now_s)


def _give_up(
    st: state.State,
    item: state.OpenRequest,
    reason: outcomes.Reason,
    log_fields: dict[str, Any],
    retry_after_s: float | None,
) -> None:
    """Answer finally: cut a stream, or say what is known of the request."""
    if item.is_committed:
        st.emit(
            effects.AbortStream(item.req.id, {"reason": reason.value, **log_fields})
        )
        _close(st, item)
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
    log_fields = {"route": item.route.name, "n_sends": item.n_sends, **log_fields}
    st.emit(effects.Refuse(item.req.id, refusal, log_fields))
    _close(st, item)


def _refuse_new(
    st: state.State,
    req: ingress.Request,
    reason: outcomes.Reason,
    log_fields: dict[str, Any],
    retry_after_s: float | None = None,
) -> None:
    outcome = outcomes.Outcome.NOT_RUN
    refusal = outcomes.Refusal(reason, outcome, "", retry_after_s)
    st.emit(effects.Refuse(req.id, refusal, log_fields))


def _cancel(st: state.State, item: state.OpenRequest) -> None:
    if item.attempt is None:
        return
    st.emit(effects.CancelAttempt(item.req.id, item.attempt.id))
    server = st.servers.by_id.get(item.attempt.server_id)
    if server is not None:
        server.work.end((item.req.id, item.attempt.id))
    item.attempt = None


def _close(st: state.State, item: state.OpenRequest) -> None:
    st.open_requests.pop(item.req.id, None)


def _item_of(
    st: state.State, request_id: str, attempt_id: int
) -> state.OpenRequest | None:
    item = st.open_requests.get(request_id)
    if item is None or item.attempt is None or item.attempt.id != attempt_id:
        return None
    return item
