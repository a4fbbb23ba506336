"""Model of an engine with continuous batching, a prefix cache and priorities."""

import collections
import enum
import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.standins.queueing import events

PREFILL_TOKENS_PER_S = 6000.0
MIN_INTER_TOKEN_S = 0.02
FULL_BATCH_INTER_TOKEN_S = 0.04
CACHED_TOKENS = 25_600


@attrs.frozen
class Job:
    """A request of the simulation.

    Parameters
    ----------
    number : int
    organisation : int
    is_long : bool
    n_prompt_tokens, n_prefix_tokens, n_output_tokens : int
        The prefix is shared by all requests of one organisation and class.
    arrived_s, deadline_s : float
    """

    number: int
    organisation: int
    is_long: bool
    n_prompt_tokens: int
    n_prefix_tokens: int
    n_output_tokens: int
    arrived_s: float
    deadline_s: float

    @property
    def full_hold_s(self) -> float:
        """Time for which it holds a slot of a fully loaded engine with a cold cache."""
        prefill_s = self.n_prompt_tokens / PREFILL_TOKENS_PER_S
        return prefill_s + self.n_output_tokens * FULL_BATCH_INTER_TOKEN_S


class Result(enum.Enum):
    """How an attempt or a request ended."""

    COMPLETE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    LATE = "late"


@attrs.define(eq=False)
class Attempt:
    """An attempt of a job at one target; no callback is called once it is over."""

    job: Job
    on_began: Callable[["Attempt"], None]
    on_ended: Callable[["Attempt", Result], None]
    is_over: bool = False

    def begin(self) -> None:
        """Report the first token."""
        if not self.is_over:
            self.on_began(self)

    def end(self, result: Result) -> None:
        """Report the end."""
        if not self.is_over:
            self.is_over = True
            self.on_ended(self, result)


class Target(Protocol):
    """A server or a remote domain to which attempts are sent."""

    def accept(self, attempt: Attempt) -> None:
        """Accept an attempt."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""


class Engine:
    """A model engine.

    Parameters
    ----------
    loop : events.Loop
    name : str
    n_slots : int
    """

    def __init__(self, event_loop: events.Loop, name: str, n_slots: int):
        self.name = name
        self.n_slots = n_slots
        self.slow_factor = 1.0
        self.is_failing = False
        self._event_loop = event_loop
        self._waiting: list[tuple[bool, int, Attempt]] = []
        self._numbers = itertools.count()
        self._running: set[Attempt] = set()
        self._prefill_end_s = 0.0
        self._cache: collections.OrderedDict[tuple[int, bool], int]
        self._cache = collections.OrderedDict()

    @property
    def n_running(self) -> int:
        """Number of running jobs."""
        return len(self._running)

    @property
    def n_waiting(self) -> int:
        """Number of queued jobs."""
        return sum(not item[2].is_over for item in self._waiting)

    def accept(self, attempt: Attempt) -> None:
        """Queue an attempt, or end it immediately if the engine is failing."""
        if self.is_failing:
            attempt.end(Result.FAILED)
            return
        queued = (attempt.job.is_long, next(self._numbers), attempt)
        heapq.heappush(self._waiting, queued)
        self._start_next()

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt and free its slot."""
        attempt.is_over = True
        self._running.discard(attempt)
        self._start_next()

    def fail(self) -> None:
        """Fail all current and future attempts and clear the cache."""
        self.is_failing = True
        self._cache.clear()
        self._prefill_end_s = 0.0
        lost_attempts = [*self._running, *(item[2] for item in self._waiting)]
        self._running.clear()
        self._waiting.clear()
        for attempt in lost_attempts:
            attempt.end(Result.FAILED)

    def _start_next(self) -> None:
        while self._waiting and len(self._running) < self.n_slots:
            attempt = heapq.heappop(self._waiting)[2]
            if not attempt.is_over:
                self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        self._running.add(attempt)
        job = attempt.job
        busy_fraction = len(self._running) / self.n_slots
        inter_token_s = (
            MIN_INTER_TOKEN_S
            + (FULL_BATCH_INTER_TOKEN_S - MIN_INTER_TOKEN_S) * busy_fraction
        )
        inter_token_s *= self.slow_factor
        n_tokens = job.n_prompt_tokens
        if self._look_up_prefix(job):
            n_tokens -= job.n_prefix_tokens
        # Prompts are prefilled one after the other: a step prefills a bounded number
        # of tokens.
        prefill_start_s = max(self._prefill_end_s, self._event_loop.now_s)
        work_s = self.slow_factor * n_tokens / PREFILL_TOKENS_PER_S
        self._prefill_end_s = prefill_start_s + work_s
        prefill_s = self._prefill_end_s - self._event_loop.now_s
        self._event_loop.after(prefill_s + inter_token_s, attempt.begin)
        hold_s = prefill_s + job.n_output_tokens * inter_token_s
        self._event_loop.after(hold_s, lambda: self._end(attempt))

    def _end(self, attempt: Attempt) -> None:
        if attempt in self._running:
            self._running.discard(attempt)
            self._start_next()
            attempt.end(Result.COMPLETE)

    def _look_up_prefix(self, job: Job) -> bool:
        key = (job.organisation, job.is_long)
        is_cached = key in self._cache
        unshared_key = (-1 - job.number, job.is_long)
        self._cache[unshared_key] = job.n_prompt_tokens - job.n_prefix_tokens
        self._cache[key] = job.n_prefix_tokens
        self._cache.move_to_end(key)
        while sum(self._cache.values()) > CACHED_TOKENS:
            self._cache.popitem(last=False)
        return is_cached
