"""Models of backend servers: engines with batching and a cache, and plain servers."""

import collections
import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import events as node_events
from bilberryridge.standins.ingress_play import paces
from bilberryridge.standins.queueing import events

MAX_WAITING = 192
"""Queue limit of an engine, as in present deployments; it rejects requests above it."""
REUSE_WINDOW_S = 10.0
"""A prompt part that was last used longer ago isn't counted as recomputed, the same
rule by which the users count."""
MAX_PLAIN_WAITING = 24
"""Queue limit of a plain server, as in present deployments."""


@attrs.define(eq=False)
class Usage:
    """Engine time that a request has used, over all its attempts.

    Parameters
    ----------
    engine_s : float
        Its prefill, and its part of each decoding step that it took part in.
    """

    engine_s: float = 0.0


@attrs.define(eq=False)
class Job:
    """A request at a server; no callback is called once `is_over` is set.

    Parameters
    ----------
    prompt : Prompt or None
    priority : int
        The lowest value is served first.
    n_answer_tokens : int
        Length of the generated answer.
    work_s : float
        Processing time at a plain server.
    on_first, on_end : callable
        Called with the first token and after the last.
    on_lost : callable
        Called if the server goes away before.
    prefix_source : EngineModel or None
        Engine from which cached parts of the prompt are fetched.
    usage : Usage
    n_prefill_tokens, n_done : int
        Prompt tokens still to prefill, and answer tokens generated.
    is_over : bool
        Whether the job ended or was cancelled.
    """

    prompt: ingress.Prompt | None
    priority: int
    n_answer_tokens: int
    work_s: float
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    on_lost: Callable[[], None] = lambda: None
    prefix_source: "EngineModel | None" = None
    usage: Usage = attrs.field(factory=Usage)
    n_prefill_tokens: int = 0
    n_done: int = 0
    is_over: bool = False

    @property
    def n_memory_tokens(self) -> int:
        """Tokens held in the engine's memory, shared parts included."""
        return (self.prompt.n_tokens if self.prompt else 0) + self.n_done


class Pace(Protocol):
    """Pace of a server over simulated time.

    Attributes
    ----------
    lasting : float
        Multiple of the usual time of work that always applies.
    is_stated : bool
        Whether the server states its pace in answers.
    slow_until_s : float
        Until when a server that has returned is slow.
    """

    lasting: float
    is_stated: bool
    slow_until_s: float

    def at(self, now_s: float) -> float:
        """Return how long work takes at some time, as a multiple of the usual.

        Times never decrease between calls.
        """


class Server(Protocol):
    """A backend server.

    Attributes
    ----------
    is_away : bool
        Whether it accepts no connections.
    accepted_s : list of float
        When it accepted each job.
    pace : Pace
    """

    pace: Pace
    is_away: bool
    accepted_s: list[float]

    def go_away(self) -> None:
        """Lose all jobs, and what is cached."""

    def accept(self, job: Job) -> bool:
        """Accept a job; return False if the queue is full."""

    def stated_load(self) -> node_events.ServerLoad | None:
        """Return the load that an answer states now; None if it states none."""


@attrs.frozen
class EngineSpeed:
    """Capacity and speed of an engine; the defaults are those of present deployments.

    Parameters
    ----------
    n_slots, n_memory_tokens : int
    step_s, step_s_per_slot, step_s_per_k_tokens : float
        A decoding step, which generates one token for each running request, takes the
        first, plus the second for each request, plus the third for each thousand tokens
        of their contexts.
    prefill_tokens_per_s : float
    chunk_tokens : int
        Maximum of prompt tokens that one step prefills.
    first_s : float
        Delay added to the first token and to the end of each answer.
    n_queued : int
        Queue limit; the engine rejects requests above it.
    """

    n_slots: int = 64
    n_memory_tokens: int = 427_000
    step_s: float = 0.0031
    step_s_per_slot: float = 0.0001
    step_s_per_k_tokens: float = 1.8e-6
    prefill_tokens_per_s: float = 57_000.0
    chunk_tokens: int = 4096
    first_s: float = 0.013
    n_queued: int = MAX_WAITING


class SharedMachinePace:
    """Pace of a server whose machine others use at times, and which states none.

    Parameters
    ----------
    lasting_factor : float
        Multiple that always applies.
    busy_factor, busy_s, busy_fraction : float
        Further multiple while others use the machine, mean length of such a time, and
        fraction of all time.
    random_state : random.Random
    """

    def __init__(
        self,
        lasting_factor: float,
        busy_factor: float,
        busy_s: float,
        busy_fraction: float,
        random_state: random.Random,
    ):
        self.lasting = lasting_factor
        self.is_stated = False
        self.slow_until_s = 0.0
        self._busy_factor = busy_factor
        self._mean_s = {True: busy_s, False: busy_s * (1 / busy_fraction - 1)}
        self._random_state = random_state
        self._is_busy = random_state.random() < busy_fraction
        self._changes_s = self._draw_s()

    def at(self, now_s: float) -> float:
        """See `Pace`."""
        is_slow = now_s < self.slow_until_s
        return self.factor(now_s) * (paces.START_PACE if is_slow else 1.0)

    def factor(self, now_s: float) -> float:
        """Return the multiple without that of a return; see `at` for the times."""
        while now_s >= self._changes_s:
            self._is_busy = not self._is_busy
            self._changes_s += self._draw_s()
        return self.lasting * (self._busy_factor if self._is_busy else 1.0)

    def _draw_s(self) -> float:
        return self._random_state.expovariate(1 / self._mean_s[self._is_busy])


class EngineModel:
    """An engine with continuous batching, chunked prefill and a prefix cache.

    Parameters
    ----------
    event_loop : events.Loop
    speed : EngineSpeed
    last_used_s : dict of str to float
        Time at which an engine of the region last used each prompt part; shared by all
        engines of the region.
    pace : Pace
    """

    def __init__(
        self,
        event_loop: events.Loop,
        speed: EngineSpeed,
        last_used_s: dict[str, float],
        pace: Pace = paces.STEADY,
    ):
        self.speed = speed
        self.pace = pace
        self.busy_s = 0.0
        self.is_away = False
        self.accepted_s: list[float] = []
        self.n_recomputed_tokens = 0
        self.n_fetched_tokens = 0
        self._event_loop = event_loop
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, Job]] = []
        self._running: list[tuple[int, int, Job]] = []
        self._cached: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._n_cached_tokens = 0
        self._last_used_s = last_used_s
        self._is_stepping = False

    def accept(self, job: Job) -> bool:
        """Accept a job; return False if the queue is full."""
        if len(self._waiting) >= self.speed.n_queued:
            return False
        self.accepted_s.append(self._event_loop.now_s)
        heapq.heappush(self._waiting, (job.priority, next(self._numbers), job))
        if not self._is_stepping:
            self._step()
        return True

    def go_away(self) -> None:
        """See `Server`."""
        self.is_away = True
        _lose([row[2] for row in (*self._running, *self._waiting)])
        self._waiting = []
        self._cached.clear()
        self._n_cached_tokens = 0

    def stated_load(self) -> node_events.ServerLoad | None:
        """See `Server`."""
        n_running, n_waiting = len(self._running), len(self._waiting)
        return _stated(
            self._event_loop, self.pace, n_running, n_waiting, self.speed.n_slots
        )

    def _step(self) -> None:
        self._running = [row for row in self._running if not row[2].is_over]
        self._admit()
        self._is_stepping = bool(self._running)
        if not self._running:
            return
        decoding = [row[2] for row in self._running if not row[2].n_prefill_tokens]
        speed = self.speed
        factor = self.pace.at(self._event_loop.now_s)
        n_prefilled_tokens = self._prefill(factor / speed.prefill_tokens_per_s)
        n_context = sum(job.n_memory_tokens for job in decoding)
        step_s = speed.step_s + speed.step_s_per_slot * len(decoding)
        step_s += speed.step_s_per_k_tokens * n_context / 1000
        used_s = factor * step_s / len(decoding) if decoding else 0.0
        step_s += n_prefilled_tokens / speed.prefill_tokens_per_s
        step_s *= factor
        self.busy_s += step_s
        self._event_loop.after(step_s, lambda: self._end_step(decoding, used_s))

    def _admit(self) -> None:
        n_used = sum(row[2].n_memory_tokens for row in self._running)
        while self._waiting and len(self._running) < self.speed.n_slots:
            row = self._waiting[0]
            job = row[2]
            n_needed = job.n_memory_tokens
            if job.is_over:
                heapq.heappop(self._waiting)
                continue
            if self._running and n_used + n_needed > self.speed.n_memory_tokens:
                return
            heapq.heappop(self._waiting)
            n_used += n_needed
            job.n_prefill_tokens = self._look_up_prefix(job)
            self._running.append(row)
        self._evict_and_preempt(n_used)

    def _look_up_prefix(self, job: Job) -> int:
        if job.prompt is None:
            return 0
        now_s = self._event_loop.now_s
        n_cached_tokens = 0
        is_leading = True
        for part in job.prompt.parts:
            is_leading = is_leading and (
                self.use_cached(part) or self._fetch(part, job)
            )
            if is_leading:
                n_cached_tokens += part.n_tokens
            elif self._last_used_s.get(part.id, -math.inf) > now_s - REUSE_WINDOW_S:
                self.n_recomputed_tokens += part.n_tokens
            self._last_used_s[part.id] = now_s
        return max(1, job.n_memory_tokens - n_cached_tokens)

    def use_cached(self, part: ingress.PromptPart) -> bool:
        """Return whether a part is cached, and mark it as the most recently used."""
        if part.id not in self._cached:
            return False
        self._cached.move_to_end(part.id)
        return True

    def _fetch(self, part: ingress.PromptPart, job: Job) -> bool:
        if job.prefix_source is None or not job.prefix_source.use_cached(part):
            return False
        self.n_fetched_tokens += part.n_tokens
        return True

    def _prefill(self, s_per_token: float) -> int:
        n_left = self.speed.chunk_tokens
        for _, _, job in sorted(self._running, key=lambda row: row[:2]):
            n_taken = min(n_left, job.n_prefill_tokens)
            job.n_prefill_tokens -= n_taken
            n_left -= n_taken
            job.usage.engine_s += n_taken * s_per_token
            if n_taken and not job.n_prefill_tokens and job.prompt is not None:
                self._cache_prompt(job.prompt)
        return self.speed.chunk_tokens - n_left

    def _cache_prompt(self, prompt: ingress.Prompt) -> None:
        for part in prompt.parts:
            self._n_cached_tokens += part.n_tokens - self._cached.pop(part.id, 0)
            self._cached[part.id] = part.n_tokens

    def _evict_and_preempt(self, n_used: int) -> None:
        while (
            self._cached and n_used + self._n_cached_tokens > self.speed.n_memory_tokens
        ):
            self._n_cached_tokens -= self._cached.popitem(last=False)[1]
        while n_used > self.speed.n_memory_tokens and len(self._running) > 1:
            row = max(self._running, key=lambda item: item[:2])
            self._running.remove(row)
            n_used -= row[2].n_memory_tokens
            heapq.heappush(self._waiting, row)

    def _end_step(self, decoding: list[Job], used_s: float) -> None:
        for job in decoding:
            job.usage.engine_s += used_s
            if job.is_over:
                continue
            job.n_done += 1
            if job.n_done == 1:
                self._event_loop.after(self.speed.first_s, job.on_first)
            if job.n_done >= job.n_answer_tokens:
                job.is_over = True
                self._event_loop.after(self.speed.first_s, job.on_end)
        self._step()


class PlainModel:
    """A server with a fixed number of slots and a bounded queue."""

    def __init__(
        self, event_loop: events.Loop, n_slots: int, pace: Pace = paces.STEADY
    ):
        self.pace = pace
        self.busy_s = 0.0
        self.is_away = False
        self.accepted_s: list[float] = []
        self._event_loop = event_loop
        self._n_slots = n_slots
        self._n_running = 0
        self._running: list[Job] = []
        self._waiting: collections.deque[Job] = collections.deque()

    def accept(self, job: Job) -> bool:
        """Accept a job; return False if the queue is full."""
        if len(self._waiting) >= MAX_PLAIN_WAITING:
            return False
        self.accepted_s.append(self._event_loop.now_s)
        self._waiting.append(job)
        self._start_next()
        return True

    def go_away(self) -> None:
        """See `Server`."""
        self.is_away = True
        _lose([*self._running, *self._waiting])
        self._waiting.clear()

    def stated_load(self) -> node_events.ServerLoad | None:
        """See `Server`."""
        n_running, n_waiting = self._n_running, len(self._waiting)
        return _stated(self._event_loop, self.pace, n_running, n_waiting, self._n_slots)

    def _start_next(self) -> None:
        while self._waiting and self._n_running < self._n_slots:
            job = self._waiting.popleft()
            if not job.is_over:
                self._n_running += 1
                self._running.append(job)
                work_s = job.work_s * self.pace.at(self._event_loop.now_s)
                self.busy_s += work_s
                self._event_loop.after(work_s, lambda job=job: self._end(job))  # type: ignore[misc]

    def _end(self, job: Job) -> None:
        self._n_running -= 1
        self._running.remove(job)
        if not job.is_over:
            job.is_over = True
            job.on_first()
            job.on_end()
        self._start_next()


def _lose(jobs: list[Job]) -> None:
    for job in jobs:
        if not job.is_over:
            job.is_over = True
            job.on_lost()


def _stated(
    event_loop: events.Loop,
    pace: Pace,
    n_running: int,
    n_waiting: int,
    n_slots: int,
) -> node_events.ServerLoad | None:
    if not pace.is_stated:
        return None
    stated_pace = round(pace.at(event_loop.now_s), 2)
    return node_events.ServerLoad(n_running, n_waiting, n_slots, stated_pace)
