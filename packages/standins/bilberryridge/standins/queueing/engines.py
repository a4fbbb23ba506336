"""A model of an engine: continuous batching, a prefix cache and priorities."""

import collections
import enum
import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.standins.queueing import events

PREFILL_TOKENS_PER_S = 6000.0
LEAST_GAP_S = 0.02
FULL_GAP_S = 0.04
CACHED_TOKENS = 25_600


@attrs.frozen
class Job:
    """A request of the experiment.

    Parameters
    ----------
    number : int
    organisation : int
    is_long : bool
    n_prompt_tokens, n_prefix_tokens, n_output_tokens : int
        The prefix is shared by the organisation's requests of one class.
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
        """How long it holds a slot of a full engine with a cold cache."""
        prefill_s = self.n_prompt_tokens / PREFILL_TOKENS_PER_S
        return prefill_s + self.n_output_tokens * FULL_GAP_S


class Result(enum.Enum):
    """How an attempt or a request ended."""

    COMPLETE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    LATE = "late"


@attrs.define(eq=False)
class Attempt:
    """A job as it was sent to one target; nothing is called once it is over."""

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
    """Where an attempt may be sent."""

    def accept(self, attempt: Attempt) -> None:
        """Take an attempt."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""


class Engine:
    """One backend server.

    Parameters
    ----------
    loop : events.Loop
    name : str
    n_slots : int
    """

    def __init__(self, loop: events.Loop, name: str, n_slots: int):
        self.name = name
        self.n_slots = n_slots
        self.slow_factor = 1.0
        self.is_failing = False
        self._loop = loop
        self._waiting: list[tuple[bool, int, Attempt]] = []
        self._numbers = itertools.count()
        self._running: set[Attempt] = set()
        self._prefilled_s = 0.0
        self._cache: collections.OrderedDict[tuple[int, bool], int]
        self._cache = collections.OrderedDict()

    @property
    def n_running(self) -> int:
        """Jobs in work."""
        return len(self._running)

    @property
    def n_waiting(self) -> int:
        """Jobs in the queue."""
        return sum(not item[2].is_over for item in self._waiting)

    def accept(self, attempt: Attempt) -> None:
        """Take an attempt, or end it at once when failing."""
        if self.is_failing:
            attempt.end(Result.FAILED)
            return
        place = (attempt.job.is_long, next(self._numbers), attempt)
        heapq.heappush(self._waiting, place)
        self._start_next()

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up and free its slot."""
        attempt.is_over = True
        self._running.discard(attempt)
        self._start_next()

    def fail(self) -> None:
        """End all work with an error, and what comes from now on; lose the cache."""
        self.is_failing = True
        self._cache.clear()
        self._prefilled_s = 0.0
        lost = [*self._running, *(item[2] for item in self._waiting)]
        self._running.clear()
        self._waiting.clear()
        for attempt in lost:
            attempt.end(Result.FAILED)

    def _start_next(self) -> None:
        while self._waiting and len(self._running) < self.n_slots:
            attempt = heapq.heappop(self._waiting)[2]
            if not attempt.is_over:
                self._start(attempt)

    def _start(self, attempt: Attempt) -> None:
        self._running.add(attempt)
        job = attempt.job
        busy_share = len(self._running) / self.n_slots
        gap_s = LEAST_GAP_S + (FULL_GAP_S - LEAST_GAP_S) * busy_share
        gap_s *= self.slow_factor
        n_tokens = job.n_prompt_tokens
        if self._has_prefix(job):
            n_tokens -= job.n_prefix_tokens
        # One prompt after the other: a step takes in a bounded number of tokens.
        begins_s = max(self._prefilled_s, self._loop.now_s)
        work_s = self.slow_factor * n_tokens / PREFILL_TOKENS_PER_S
        self._prefilled_s = begins_s + work_s
        prefill_s = self._prefilled_s - self._loop.now_s
        self._loop.after(prefill_s + gap_s, attempt.begin)
        hold_s = prefill_s + job.n_output_tokens * gap_s
        self._loop.after(hold_s, lambda: self._end(attempt))

    def _end(self, attempt: Attempt) -> None:
        if attempt in self._running:
            self._running.discard(attempt)
            self._start_next()
            attempt.end(Result.COMPLETE)

    def _has_prefix(self, job: Job) -> bool:
        key = (job.organisation, job.is_long)
        is_cached = key in self._cache
        own = (-1 - job.number, job.is_long)
        self._cache[own] = job.n_prompt_tokens - job.n_prefix_tokens
        self._cache[key] = job.n_prefix_tokens
        self._cache.move_to_end(key)
        while sum(self._cache.values()) > CACHED_TOKENS:
            self._cache.popitem(last=False)
        return is_cached
