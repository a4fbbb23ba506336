"""Sends a request to the place that was chosen for it."""

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import effects, open_work, placement, state

FIRST_FACTOR = 3.0
"""Times the expectation that a first answer may take before a repeat is tried."""
FIRST_MARGIN_S = {
    ingress.RequestKind.SAFE: 0.1,
    ingress.RequestKind.STREAM: 0.8,
    ingress.RequestKind.UNSAFE: 0.0,
}
"""Added to it: a plain server's slowest answers, and an engine's queue."""
NEXT_WITHIN_S = 2.0
"""Longest pause in a stream before it is resumed elsewhere; callers leave at 6 s."""


def send_here(
    st: state.State,
    item: state.OpenRequest,
    choice: placement.ServerChoice,
    now_s: float,
) -> None:
    """Send a request to a server of this region."""
    server, expected = choice.server, choice.expected
    record = server.record
    attempt = _begin(st, item, record.id, "", st.cfg.local_entry.region, now_s)
    prompt = item.req.prompt
    n_memory = prompt.n_tokens + prompt.n_answer_tokens if prompt else 0
    work = open_work.Work(
        expected.n_unread_tokens, n_memory, item.is_urgent, now_s, expected.first_s
    )
    server.note_sent((item.req.id, attempt.id), work, now_s)
    if prompt is not None and item.service.engine is not None:
        server.cache.note(prompt.parts, now_s)
        server.new_parts += [(part.id, part.n_tokens) for part in prompt.parts]
    if server.is_cold(now_s):
        server.gate.note_send(now_s)
    total = server.work.sums
    log_fields = {
        "route": item.route.name,
        "expected_s": round(expected.first_s, 3),
        "unread": expected.n_unread_tokens,
        "fetched": expected.n_fetched_tokens,
        "open": total.n_open,
        "pending": total.n_pending_tokens,
        "pace": round(server.pace(item.is_urgent), 2),
        "reading": round(server.flow.part(now_s), 2),
        "fault": round(server.failure_rate(now_s), 2),
    }
    st.emit(
        effects.SendToServer(
            item.req.id,
            attempt.id,
            record,
            item.deadline_s - now_s,
            item.route.priority,
            item.route.kind is ingress.RequestKind.STREAM,
            not item.route.is_repeatable,
            _first_within_s(item, expected.first_s),
            _next_within_s(item),
            log_fields,
            choice.keeper.record.address if choice.keeper else "",
        )
    )


def send_there(
    st: state.State,
    item: state.OpenRequest,
    choice: placement.RegionChoice,
    now_s: float,
) -> None:
    """Send a request to a daemon of another region."""
    entry = choice.entry
    attempt = _begin(st, item, "", entry.name, entry.region, now_s)
    item.tried_peers.add(entry.name)
    n_tokens = item.req.prompt.n_tokens if item.req.prompt else 0
    choice.view.note_sent(item.service.name, n_tokens)
    assert st.table is not None
    log_fields = {
        "route": item.route.name,
        "expected_s": round(choice.expected.first_s, 3),
        "loads_age_s": round(choice.view.age_s(now_s), 3),
    }
    st.emit(
        effects.SendToPeer(
            item.req.id,
            attempt.id,
            entry,
            item.deadline_s - now_s,
            item.route.kind is ingress.RequestKind.STREAM,
            st.table.version,
            _first_within_s(item, choice.expected.first_s),
            _next_within_s(item),
            log_fields,
        )
    )


def _first_within_s(item: state.OpenRequest, expected_s: float) -> float | None:
    """Return how long to wait for the first bytes; None without a limit."""
    if not item.route.is_repeatable or item.n_sends >= item.route.max_attempts:
        return None
    return FIRST_FACTOR * expected_s + FIRST_MARGIN_S[item.route.kind]


def _next_within_s(item: state.OpenRequest) -> float | None:
    """Return how long to wait for further bytes; None without a limit."""
    if not item.route.is_repeatable or item.n_sends >= item.route.max_attempts:
        return None
    return NEXT_WITHIN_S


def _begin(
    st: state.State,
    item: state.OpenRequest,
    server_id: str,
    peer: str,
    region: str,
    now_s: float,
) -> state.Attempt:
    if item.n_tries == 0:
        st.budget.note_request(item.service.name, now_s)
    item.n_tries += 1
    item.n_sends += 1
    if server_id:
        item.tried_servers.add(server_id)
    item.attempt = state.Attempt(item.n_tries, server_id, peer, region, now_s)
    return item.attempt
