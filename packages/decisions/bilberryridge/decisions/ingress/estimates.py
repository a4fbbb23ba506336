"""How long a request's first answer is expected to take at a backend server."""

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import open_work, prefill_load, server_table

FIRST_TOKEN_S = 0.025
"""Time to the first token of an empty prompt at an idle engine."""
OTHERS_PART = 0.25
"""Part of the less urgent prompt tokens that still goes before an urgent request: what
the engine has begun to read."""
STREAM_S = 1.5
"""Usual length of a stream; a full batch frees a slot every `STREAM_S / n_slots`."""
MEMORY_TOKENS_PER_S = 80_000.0
"""Memory that ending streams free in a second, when it is full."""
MEMORY_PART = 0.92
"""Part of an engine's memory that running requests may take before one waits."""
MIN_FETCHED_TOKENS = 300
"""Fewer are read about as fast as they are fetched."""
FETCH_S, FETCH_S_PER_TOKEN = 0.004, 5e-7
"""To set a transfer between engines up, and for each token: 18 kB over 550 Gbit/s,
twice that between failure domains."""
PLAIN_S = 0.03
"""Usual work of a plain service's request, before anything was measured."""
FULL_PLAIN_S = 5.0
"""Stands for no room: a plain server with its queue full sheds."""
PLAIN_QUEUE = 3
"""Requests that a plain server queues for each slot before it sheds."""


@attrs.frozen
class Estimate:
    """What a request would meet at a server.

    Parameters
    ----------
    first_s : float
        Time to the first answer.
    queue_s : float
        The part of it that is spent behind other requests.
    n_unread_tokens : int
        Prompt tokens that it would have to read.
    read_s : float
        Engine time that reading them takes from all others.
    rest_s : float
        Time from the first answer to the end of a stream.
    n_fetched_tokens : int
        Prompt tokens that are fetched from another server's memory.
    """

    first_s: float
    queue_s: float = 0.0
    n_unread_tokens: int = 0
    read_s: float = 0.0
    rest_s: float = 0.0
    n_fetched_tokens: int = 0


def n_tokens_ahead(n_pending: int, n_urgent: int, is_urgent: bool) -> float:
    """Return the waiting prompt tokens that go before a request."""
    if not is_urgent:
        return n_pending
    return n_urgent + OTHERS_PART * (n_pending - n_urgent)


def without_backlog(
    state: server_table.ServerState, engine: ingress.Engine | None
) -> Estimate:
    """Say what an empty prompt would meet if no other prompt waited."""
    total = state.work.sums
    if engine is None:
        return _at_plain(state, total, True)
    wait_s = _slot_wait_s(total, engine)
    return Estimate(FIRST_TOKEN_S * state.pace(True) + wait_s, wait_s)


def at_server(
    state: server_table.ServerState,
    engine: ingress.Engine | None,
    prompt: ingress.Prompt | None,
    is_urgent: bool,
    now_s: float,
    n_elsewhere: int = 0,
) -> Estimate:
    """Say what a request would meet at a server now.

    Parameters
    ----------
    state : ServerState
    engine : Engine or None
    prompt : Prompt or None
    is_urgent : bool
    now_s : float
    n_elsewhere : int
        Leading prompt tokens that another server keeps and would hand over.
    """
    total = state.work.sums
    if engine is None or prompt is None:
        return _at_plain(state, total, is_urgent)
    n_cached_tokens = state.cache.n_cached_tokens(prompt.parts)
    n_fetched = n_elsewhere - n_cached_tokens
    if n_fetched < MIN_FETCHED_TOKENS:
        n_fetched = 0
    n_unread = max(0, prompt.n_tokens - n_cached_tokens - n_fetched)
    n_before = n_tokens_ahead(total.n_pending_tokens, total.n_urgent_tokens, is_urgent)
    pace = state.pace(is_urgent)
    rate = prefill_load.TOKENS_PER_S / pace
    queue_s = _slot_wait_s(total, engine) + _memory_wait_s(total, engine, prompt)
    queue_s += n_before / rate
    read_s = n_unread / rate
    first_s = FIRST_TOKEN_S * pace + queue_s + read_s
    if n_fetched:
        first_s += FETCH_S + n_fetched * FETCH_S_PER_TOKEN
    rest_s = prompt.n_answer_tokens * state.inter_token_s(now_s)
    return Estimate(first_s, queue_s, n_unread, read_s, rest_s, n_fetched)


def _slot_wait_s(total: open_work.Sums, engine: ingress.Engine) -> float:
    n_over = total.n_open + 1 - engine.n_slots
    return max(0, n_over) * STREAM_S / engine.n_slots


def _memory_wait_s(
    total: open_work.Sums, engine: ingress.Engine, prompt: ingress.Prompt
) -> float:
    n_needed = total.n_memory_tokens + prompt.n_tokens + prompt.n_answer_tokens
    n_over = n_needed - MEMORY_PART * engine.n_memory_tokens
    return max(0.0, n_over) / MEMORY_TOKENS_PER_S


def _at_plain(
    state: server_table.ServerState, total: open_work.Sums, is_urgent: bool
) -> Estimate:
    n_slots = max(1, state.record.n_slots)
    work_s = PLAIN_S * state.pace(is_urgent)
    if total.n_open >= n_slots * (1 + PLAIN_QUEUE):
        return Estimate(FULL_PLAIN_S, FULL_PLAIN_S)
    n_ahead = max(0, total.n_open + 1 - n_slots)
    queue_s = work_s * n_ahead / n_slots
    return Estimate(work_s + queue_s, queue_s)
