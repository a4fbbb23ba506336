"""Estimates of the time that a backend server takes to answer a request."""

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import open_work, prefill_load, server_table

FIRST_TOKEN_S = 0.025
"""Time to the first token of an empty prompt at an idle engine."""
LESS_URGENT_FRACTION = 0.25
"""Fraction of the less urgent pending tokens that still delays an urgent request:
prompts whose prefill has begun."""
TYPICAL_STREAM_S = 1.5
"""Typical duration of a stream; a full batch frees a slot every
`TYPICAL_STREAM_S / n_slots`."""
FREED_TOKENS_PER_S = 80_000.0
"""Rate at which ending streams free the memory of a full engine."""
USABLE_MEMORY_FRACTION = 0.92
"""Fraction of an engine's memory that running requests may use before requests wait."""
MIN_FETCHED_TOKENS = 300
"""Minimum number of prompt tokens to fetch; prefill of fewer takes about as long."""
FETCH_SETUP_S, FETCH_S_PER_TOKEN = 0.004, 5e-7
"""Time to set up a transfer between engines, and time per token: 18 kB over 550 Gbit/s,
doubled for transfers between failure domains."""
PLAIN_WORK_S = 0.03
"""Initial estimate of the work of a plain service's request."""
FULL_QUEUE_S = 5.0
"""Estimate for a plain server with a full queue, which rejects requests."""
PAUSE_S = 0.4
"""Time over which the momentary pace of a server counts for a pause of its streams: the
shortest that deployments allow."""
PLAIN_QUEUE_PER_SLOT = 3
"""Requests that a plain server queues per slot before it rejects further ones."""


@attrs.frozen
class Estimate:
    """Estimated times of a request at a server.

    Parameters
    ----------
    first_s : float
        Time to the first byte of the answer.
    queue_s : float
        The part of `first_s` that is spent waiting for other requests.
    n_prefill_tokens : int
        Prompt tokens that the server has to prefill.
    prefill_s : float
        Engine time of that prefill, which delays other requests.
    stream_s : float
        Time from the first byte to the end of a stream.
    n_fetched_tokens : int
        Prompt tokens fetched from another server's cache.
    silent_s : float
        The part of `first_s` for which the server has been silent, as it may go on so.
    pause_s, pause_before_s : float
        Longest pause between two events of the streams that run there, with and without
        the request.
    pace : float
        Pace of the server that the estimate rests on.
    """

    first_s: float
    queue_s: float = 0.0
    n_prefill_tokens: int = 0
    prefill_s: float = 0.0
    stream_s: float = 0.0
    n_fetched_tokens: int = 0
    silent_s: float = 0.0
    pause_s: float = 0.0
    pause_before_s: float = 0.0
    pace: float = 1.0


def n_tokens_ahead(n_pending: int, n_urgent: int, is_urgent: bool) -> float:
    """Return the pending prompt tokens that are prefilled before a request."""
    if not is_urgent:
        return n_pending
    return n_urgent + LESS_URGENT_FRACTION * (n_pending - n_urgent)


def without_backlog(
    server: server_table.ServerState, engine: ingress.Engine | None
) -> Estimate:
    """Estimate an empty prompt as if no other prompt were waiting."""
    total = server.work.sums
    if engine is None:
        return _at_plain(server, total, True)
    wait_s = _slot_wait_s(total, engine)
    return Estimate(FIRST_TOKEN_S * server.slowdown(True) + wait_s, wait_s)


def queue_s(
    server: server_table.ServerState, engine: ingress.Engine | None, is_urgent: bool
) -> float:
    """Estimate how long an empty prompt waits for others if the server isn't slow."""
    total = server.work.sums
    if engine is None:
        return _at_plain(server, total, is_urgent).queue_s
    n_before = n_tokens_ahead(total.n_pending_tokens, total.n_urgent_tokens, is_urgent)
    return _slot_wait_s(total, engine) + n_before / prefill_load.TOKENS_PER_S


def at_server(
    server: server_table.ServerState,
    engine: ingress.Engine | None,
    prompt: ingress.Prompt | None,
    is_urgent: bool,
    now_s: float,
    n_fetchable: int = 0,
) -> Estimate:
    """Estimate a request at a server.

    Parameters
    ----------
    server : ServerState
    engine : Engine or None
    prompt : Prompt or None
    is_urgent : bool
    now_s : float
    n_fetchable : int
        Leading prompt tokens that could be fetched from another server's cache.
    """
    total = server.work.sums
    if engine is None or prompt is None:
        expected = _at_momentary_pace(
            _at_plain(server, total, is_urgent), server, now_s
        )
        return _with_silence(expected, server, now_s)
    n_cached_tokens = server.cache.n_cached_tokens(prompt.parts)
    n_fetched = n_fetchable - n_cached_tokens
    if n_fetched < MIN_FETCHED_TOKENS:
        n_fetched = 0
    n_prefill = max(0, prompt.n_tokens - n_cached_tokens - n_fetched)
    n_before = n_tokens_ahead(total.n_pending_tokens, total.n_urgent_tokens, is_urgent)
    slowdown = server.slowdown(is_urgent)
    rate = prefill_load.TOKENS_PER_S / slowdown
    queue_s = _slot_wait_s(total, engine) + _memory_wait_s(total, engine, prompt)
    queue_s += n_before / rate
    prefill_s = n_prefill / rate
    first_s = FIRST_TOKEN_S * slowdown + queue_s + prefill_s
    if n_fetched:
        first_s += FETCH_SETUP_S + n_fetched * FETCH_S_PER_TOKEN
    stream_s = prompt.n_answer_tokens * server.inter_token_s(now_s)
    expected = Estimate(
        first_s,
        queue_s,
        n_prefill,
        prefill_s,
        stream_s,
        n_fetched,
        pause_s=pause_s(total.n_pending_tokens + n_prefill, server, engine, now_s),
        pause_before_s=pause_s(total.n_pending_tokens, server, engine, now_s),
        pace=server.pace.lasting,
    )
    if not prompt.shared_parts:
        # Shared parts don't move for a moment: reading them again costs more.
        expected = _at_momentary_pace(expected, server, now_s)
    return _with_silence(expected, server, now_s)


def _at_momentary_pace(
    expected: Estimate, server: server_table.ServerState, now_s: float
) -> Estimate:
    """Return an estimate by the lasting pace as one by the pace while it is served."""
    lasting = server.pace.lasting
    pace = server.pace.average(expected.first_s + expected.stream_s, now_s)
    if pace == lasting or expected.queue_s == FULL_QUEUE_S:
        return expected
    factor = pace / lasting
    return attrs.evolve(
        expected,
        first_s=expected.first_s * factor,
        queue_s=expected.queue_s * factor,
        prefill_s=expected.prefill_s * factor,
        pace=pace,
    )


def pause_s(
    n_pending_tokens: int,
    server: server_table.ServerState,
    engine: ingress.Engine,
    now_s: float,
) -> float:
    """Estimate the longest pause of running streams while prompts are prefilled.

    The engine prefills a chunk of the pending prompts in each decoding step, and an
    event takes several steps.
    """
    pace = server.pace.average(PAUSE_S, now_s)
    slowdown = server.slowdown(True) * pace / server.pace.lasting
    decode_s = prefill_load.DECODE_STEP_S * pace * min(1.0, server.inter_token_slowdown)
    prefill_s = n_pending_tokens * slowdown / prefill_load.TOKENS_PER_S
    longest_s = engine.n_tokens_per_event * prefill_load.MIXED_STEP_S * slowdown
    return min(longest_s, engine.n_tokens_per_event * decode_s + prefill_s)


def _with_silence(
    expected: Estimate, server: server_table.ServerState, now_s: float
) -> Estimate:
    silent_s = server.silent_s(now_s)
    if not silent_s:
        return expected
    first_s = expected.first_s + silent_s
    return attrs.evolve(expected, first_s=first_s, silent_s=silent_s)


def _slot_wait_s(total: open_work.Sums, engine: ingress.Engine) -> float:
    n_over = total.n_open + 1 - engine.n_slots
    return max(0, n_over) * TYPICAL_STREAM_S / engine.n_slots


def _memory_wait_s(
    total: open_work.Sums, engine: ingress.Engine, prompt: ingress.Prompt
) -> float:
    n_needed = total.n_memory_tokens + prompt.n_tokens + prompt.n_answer_tokens
    n_over = n_needed - USABLE_MEMORY_FRACTION * engine.n_memory_tokens
    return max(0.0, n_over) / FREED_TOKENS_PER_S


def _at_plain(
    server: server_table.ServerState, total: open_work.Sums, is_urgent: bool
) -> Estimate:
    n_slots = max(1, server.record.n_slots)
    work_s = PLAIN_WORK_S * server.slowdown(is_urgent)
    if total.n_open >= n_slots * (1 + PLAIN_QUEUE_PER_SLOT):
        return Estimate(FULL_QUEUE_S, FULL_QUEUE_S, pace=server.pace.lasting)
    n_ahead = max(0, total.n_open + 1 - n_slots)
    queue_s = work_s * n_ahead / n_slots
    return Estimate(work_s + queue_s, queue_s, pace=server.pace.lasting)
