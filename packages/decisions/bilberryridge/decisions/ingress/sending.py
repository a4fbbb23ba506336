"""Emits the effects that send a request to the chosen server or region."""

from typing import Any

from bilberryridge.core import ingress, silence
from bilberryridge.decisions.ingress import (
    access,
    effects,
    open_work,
    placement,
    server_limit,
    server_table,
    silent_servers,
    state,
    take_ups,
)

FIRST_BYTE_FACTOR = 3.0
"""Multiple of the estimated time to the first byte before which an attempt is never
replaced."""
FIRST_BYTE_MARGIN_S = {
    ingress.RequestKind.SAFE: 0.1,
    ingress.RequestKind.STREAM: 0.8,
    ingress.RequestKind.UNSAFE: 0.0,
}
"""Added to that timeout; covers the slowest answers of a plain server and the queue of
an engine."""
MAX_LOGGED_PARTS = 8
LIMITED_LOADS_FACTOR = 0.25
"""Factor on the interval of load reports while requests under a server's rate limit are
unreported: the others must know of them, and the limit bounds how many there are."""
TELLING_S = 0.1
"""Time, besides that interval, until a request is known to others."""


def send(
    st: state.State,
    item: state.OpenRequest,
    choice: placement.ServerChoice | placement.PeerChoice,
    now_s: float,
) -> None:
    """Send a request where it is placed and record the attempt."""
    if isinstance(choice, placement.ServerChoice):
        send_to_server(st, item, choice, now_s)
    else:
        send_to_peer(st, item, choice, now_s)


def cancel(st: state.State, item: state.OpenRequest) -> None:
    """Close the open attempt of a request, if there is one."""
    if item.attempt is None:
        return
    silent_servers.on_given_up(st, item, st.now_s)
    st.emit(effects.CancelAttempt(item.req.id, item.attempt.id))
    item.is_counted = True
    record_relay_ended(st, item.attempt)
    server = st.servers.by_id.get(item.attempt.server_id)
    if server is not None:
        server.work.end((item.req.id, item.attempt.id))
    item.attempt = None


def record_relay_ended(st: state.State, attempt: state.Attempt) -> None:
    """Count an attempt through another daemon as no longer open."""
    if attempt.peer:
        st.n_relays[attempt.peer] -= 1


def send_to_server(
    st: state.State,
    item: state.OpenRequest,
    choice: placement.ServerChoice,
    now_s: float,
) -> None:
    """Send a request to a server of this region and record the attempt."""
    server, expected = choice.server, choice.expected
    record = server.record
    region = st.cfg.local_entry.region
    version = record.version if server.is_start_known else None
    attempt = _begin_attempt(st, item, record.id, "", region, version, now_s)
    attempt.server_start = record.start_name
    prompt = item.req.prompt
    n_memory = prompt.n_tokens + prompt.n_answer_tokens if prompt else 0
    open_attempt = open_work.OpenAttempt(
        expected.n_prefill_tokens,
        n_memory,
        item.is_urgent,
        now_s,
        expected.first_s - expected.silent_s,
        pace=expected.pace,
    )
    server.record_sent((item.req.id, attempt.id), open_attempt, now_s)
    server.start_window.record_sent(now_s)
    st.servers.record_hold(record.service, expected.first_s + expected.stream_s)
    if prompt is not None and item.service.engine is not None:
        _record_prefill(st, item, choice, now_s)
        server.cache.add(prompt.parts, now_s)
        server.new_parts += [(part.id, part.n_tokens) for part in prompt.parts]
    if server.is_cold(now_s):
        server.warm_up_gate.record_send(now_s)
    server.availability.record_sent(now_s)
    if server.limit.per_s is not None:
        server.limit.record_sent(now_s, limit_senders(st, now_s))
    total = server.work.sums
    log_fields: dict[str, Any] = {
        "route": item.route.name,
        "expected_s": round(expected.first_s, 3),
        "unread": expected.n_prefill_tokens,
        "fetched": expected.n_fetched_tokens,
        "open": total.n_open,
        "pending": total.n_pending_tokens,
        "pace": round(server.slowdown(item.is_urgent), 2),
        "reading": round(server.prefill.fraction(now_s), 2),
        "fault": round(server.failure_rate(now_s), 2),
        "server_version": record.version,
        **_pace_fields(server, expected.pace, now_s),
        **access.log_fields(item),
        **_repeat_fields(item),
        **take_ups.log_fields(item.req),
    }
    if item.req.content_id:
        log_fields["content"] = item.req.content_id
    if prompt is not None:
        shared_ids = [part.id for part in prompt.shared_parts]
        log_fields["parts"] = shared_ids[:MAX_LOGGED_PARTS]
    st.emit(
        effects.SendToServer(
            item.req.id,
            attempt.id,
            record,
            item.deadline_s - now_s,
            item.priority,
            item.route.kind is ingress.RequestKind.STREAM,
            not item.route.is_repeatable,
            _first_byte_timeout_s(item, expected.first_s, now_s),
            _stall_timeout_s(item),
            log_fields,
            choice.prefix_source.record.address if choice.prefix_source else "",
            prompt.n_answer_tokens if prompt else 0,
            server.is_start_known,
            access.name_for_server(st, item),
        )
    )


def _record_prefill(
    st: state.State,
    item: state.OpenRequest,
    choice: placement.ServerChoice,
    now_s: float,
) -> None:
    """Record the prefill work of a request, where long prompts are kept apart."""
    engine, gap_s = item.service.engine, None
    if st.table is not None:
        gap_s = st.table.event_gap_s(item.service.name)
    if engine is None or gap_s is None or item.req.prompt is None:
        return
    n_unshared = item.req.prompt.n_unshared_tokens
    is_long = placement.is_long_prompt(choice.server, engine, n_unshared, gap_s, now_s)
    if is_long is not None:
        n_tokens = choice.expected.n_prefill_tokens
        st.long_prompts[item.service.name].record(n_tokens, is_long, now_s)


def _pace_fields(
    server: server_table.ServerState, used_pace: float, now_s: float
) -> dict[str, Any]:
    """Return the pace that an estimate used, and what it rests on."""
    statement = server.pace.statement
    if statement is None:
        return {}
    return {
        "used_pace": round(used_pace, 2),
        "lasting_pace": round(server.pace.lasting, 2),
        "pace_from": statement.source,
        "pace_age_s": round(server.pace.age_s(now_s), 2),
    }


def _repeat_fields(item: state.OpenRequest) -> dict[str, Any]:
    """Return why a request is sent again, and how often the budget was asked."""
    if not item.last_result:
        return {}
    return {"after": item.last_result, "n_counted": item.n_counted}


def limit_senders(st: state.State, now_s: float) -> server_limit.Senders:
    """Return the daemons that share the rate limit of a server of this region."""
    _, n_daemons = st.members.index_in_region(now_s)
    return server_limit.Senders(
        n_daemons,
        st.members.reach_weight(now_s),
        LIMITED_LOADS_FACTOR * st.daemon_loads_interval_s + TELLING_S,
        st.random_state.random(),
    )


def send_to_peer(
    st: state.State,
    item: state.OpenRequest,
    choice: placement.PeerChoice,
    now_s: float,
) -> None:
    """Send a request to another daemon and record the attempt."""
    entry = choice.entry
    attempt = _begin_attempt(st, item, "", entry.name, entry.region, "", now_s)
    item.tried_peers.add(entry.name)
    prompt = item.req.prompt
    n_tokens = prompt.n_tokens if prompt else 0
    st.n_relays[entry.name] += 1
    assert st.table is not None
    log_fields: dict[str, Any] = {
        "route": item.route.name,
        "way": "region" if choice.view else "neighbour",
        "expected_s": round(choice.expected.first_s, 3),
        **access.log_fields(item),
        **_repeat_fields(item),
        **take_ups.log_fields(item.req),
    }
    if choice.view is not None:
        choice.view.record_sent(item.service.name, n_tokens)
        log_fields["loads_age_s"] = round(choice.view.age_s(now_s), 3)
    st.emit(
        effects.SendToPeer(
            item.req.id,
            attempt.id,
            entry,
            item.deadline_s - now_s,
            item.route.kind is ingress.RequestKind.STREAM,
            st.table.version,
            _first_byte_timeout_s(item, choice.expected.first_s, now_s),
            _stall_timeout_s(item),
            log_fields,
            prompt.n_answer_tokens if prompt else 0,
            item.origin,
            access.digest_for_peer(st, item),
        )
    )


def _first_byte_timeout_s(
    item: state.OpenRequest, expected_s: float, now_s: float
) -> float | None:
    """Return after what time without a first byte a retry is weighed; None for never.

    A slow server may still answer, and the other servers may be faulty. So the attempt
    is not replaced while a retry as fast as estimated would still meet the goal.
    """
    if not _may_be_replaced(item):
        return None
    margin_s = FIRST_BYTE_MARGIN_S[item.route.kind]
    latest_retry_s = item.remaining_goal_s(now_s) - expected_s - margin_s
    return max(FIRST_BYTE_FACTOR * expected_s + margin_s, latest_retry_s)


def _stall_timeout_s(item: state.OpenRequest) -> float | None:
    """Return the longest pause after the first byte; None if no retry is possible."""
    return silence.LOST_SILENCE_S if _may_be_replaced(item) else None


def _may_be_replaced(item: state.OpenRequest) -> bool:
    """Return whether this daemon may send another attempt in place of the current."""
    has_attempts = item.n_server_attempts < item.route.max_attempts
    return item.route.is_repeatable and has_attempts and not item.req.is_relayed


def _begin_attempt(
    st: state.State,
    item: state.OpenRequest,
    server_id: str,
    peer: str,
    region: str,
    version: str | None,
    now_s: float,
) -> state.Attempt:
    if item.n_attempts == 0 and not item.req.is_relayed:
        # The daemon that its caller is connected to has recorded it.
        st.budget.record_request(item.service.name, now_s)
    item.n_attempts += 1
    item.n_server_attempts += 1
    if server_id:
        item.tried_servers.add(server_id)
    item.attempt = state.Attempt(
        item.n_attempts, server_id, peer, region, version, now_s
    )
    return item.attempt
