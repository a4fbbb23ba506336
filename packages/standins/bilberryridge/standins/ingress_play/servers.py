"""Models of backend servers: engines with batches and memory, and plain servers."""

import collections
import heapq
import itertools
import math
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.core import ingress
from bilberryridge.standins.queueing import events

MAX_WAITING = 192
"""Requests that an engine queues before it sheds, as today's deployments have it."""
USED_WITHIN_S = 10.0
"""A part that was used longer ago counts as new, as the users count."""
PLAIN_QUEUE = 24
"""Requests that a plain server queues before it sheds, as there."""


@attrs.define(eq=False)
class Job:
    """A request at a server; nothing is called once it is over.

    Parameters
    ----------
    prompt : Prompt or None
    priority : int
        The lower goes first.
    n_answer_tokens : int
        Really generated.
    work_s : float
        At a plain server.
    on_first, on_end : callable
        Called with the first token and after the last.
    keeper : EngineModel or None
        From which what it keeps of the prompt is fetched.
    """

    prompt: ingress.Prompt | None
    priority: int
    n_answer_tokens: int
    work_s: float
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    keeper: "EngineModel | None" = None
    n_unread: int = 0
    n_done: int = 0
    is_over: bool = False

    @property
    def n_memory_tokens(self) -> int:
        """Tokens that it holds, shared parts included."""
        return (self.prompt.n_tokens if self.prompt else 0) + self.n_done


class Server(Protocol):
    """A backend server."""

    def accept(self, job: Job) -> bool:
        """Take a job; False when it is full."""


@attrs.frozen
class EngineSpeed:
    """How fast an engine is; the defaults are those of today's deployments.

    Parameters
    ----------
    n_slots, n_memory_tokens : int
    step_s, step_s_per_slot, step_s_per_k_tokens : float
        One token for each running request takes the first, the second for each of them
        and the third for each thousand tokens of their context.
    read_tokens_per_s : float
    chunk_tokens : int
        Prompt tokens that one step reads at the most.
    first_s : float
        Added to each first token.
    """

    n_slots: int = 64
    n_memory_tokens: int = 427_000
    step_s: float = 0.0031
    step_s_per_slot: float = 0.0001
    step_s_per_k_tokens: float = 1.8e-6
    read_tokens_per_s: float = 57_000.0
    chunk_tokens: int = 4096
    first_s: float = 0.013


class EngineModel:
    """An engine that reads prompts in chunks between the tokens of its batch.

    Parameters
    ----------
    loop : events.Loop
    speed : EngineSpeed
    used_s : dict of str to float
        When engines of the region last used a prompt part; shared by them.
    """

    def __init__(self, loop: events.Loop, speed: EngineSpeed, used_s: dict[str, float]):
        self.speed = speed
        self.n_read_again = 0
        self.n_fetched = 0
        self._loop = loop
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, Job]] = []
        self._running: list[tuple[int, int, Job]] = []
        self._kept: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._n_kept = 0
        self._used_s = used_s
        self._is_stepping = False

    def accept(self, job: Job) -> bool:
        """Take a job; False when the queue is full."""
        if len(self._waiting) >= MAX_WAITING:
            return False
        heapq.heappush(self._waiting, (job.priority, next(self._numbers), job))
        if not self._is_stepping:
            self._step()
        return True

    def _step(self) -> None:
        self._running = [row for row in self._running if not row[2].is_over]
        self._admit()
        self._is_stepping = bool(self._running)
        if not self._running:
            return
        decoding = [row[2] for row in self._running if not row[2].n_unread]
        n_read = self._read()
        speed = self.speed
        n_context = sum(job.n_memory_tokens for job in decoding)
        step_s = speed.step_s + speed.step_s_per_slot * len(decoding)
        step_s += speed.step_s_per_k_tokens * n_context / 1000
        step_s += n_read / speed.read_tokens_per_s
        self._loop.after(step_s, lambda: self._end_step(decoding))

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
            job.n_unread = self._n_unread(job)
            self._running.append(row)
        self._make_room(n_used)

    def _n_unread(self, job: Job) -> int:
        if job.prompt is None:
            return 0
        now_s = self._loop.now_s
        n_held = 0
        is_leading = True
        for part in job.prompt.parts:
            is_leading = is_leading and (self.keeps(part) or self._fetch(part, job))
            if is_leading:
                n_held += part.n_tokens
            elif self._used_s.get(part.id, -math.inf) > now_s - USED_WITHIN_S:
                self.n_read_again += part.n_tokens
            self._used_s[part.id] = now_s
        return max(1, job.n_memory_tokens - n_held)

    def keeps(self, part: ingress.PromptPart) -> bool:
        """Return whether a part is kept; it counts as used then."""
        if part.id not in self._kept:
            return False
        self._kept.move_to_end(part.id)
        return True

    def _fetch(self, part: ingress.PromptPart, job: Job) -> bool:
        if job.keeper is None or not job.keeper.keeps(part):
            return False
        self.n_fetched += part.n_tokens
        return True

    def _read(self) -> int:
        n_left = self.speed.chunk_tokens
        for _, _, job in sorted(self._running, key=lambda row: row[:2]):
            n_taken = min(n_left, job.n_unread)
            job.n_unread -= n_taken
            n_left -= n_taken
            if n_taken and not job.n_unread and job.prompt is not None:
                self._keep(job.prompt)
        return self.speed.chunk_tokens - n_left

    def _keep(self, prompt: ingress.Prompt) -> None:
        for part in prompt.parts:
            self._n_kept += part.n_tokens - self._kept.pop(part.id, 0)
            self._kept[part.id] = part.n_tokens

    def _make_room(self, n_used: int) -> None:
        while self._kept and n_used + self._n_kept > self.speed.n_memory_tokens:
            self._n_kept -= self._kept.popitem(last=False)[1]
        while n_used > self.speed.n_memory_tokens and len(self._running) > 1:
            row = max(self._running, key=lambda item: item[:2])
            self._running.remove(row)
            n_used -= row[2].n_memory_tokens
            heapq.heappush(self._waiting, row)

    def _end_step(self, decoding: list[Job]) -> None:
        for job in decoding:
            if job.is_over:
                continue
            job.n_done += 1
            if job.n_done == 1:
                self._loop.after(self.speed.first_s, job.on_first)
            if job.n_done >= job.n_answer_tokens:
                job.is_over = True
                self._loop.after(self.speed.first_s, job.on_end)
        self._step()


class PlainModel:
    """A server that works on some requests at once and queues a few more."""

    def __init__(self, loop: events.Loop, n_slots: int):
        self._loop = loop
        self._n_slots = n_slots
        self._n_running = 0
        self._waiting: collections.deque[Job] = collections.deque()

    def accept(self, job: Job) -> bool:
        """Take a job; False when the queue is full."""
        if len(self._waiting) >= PLAIN_QUEUE:
            return False
        self._waiting.append(job)
        self._start_next()
        return True

    def _start_next(self) -> None:
        while self._waiting and self._n_running < self._n_slots:
            job = self._waiting.popleft()
            if not job.is_over:
                self._n_running += 1
                self._loop.after(job.work_s, lambda job=job: self._end(job))  # type: ignore[misc]

    def _end(self, job: Job) -> None:
        self._n_running -= 1
        if not job.is_over:
            job.is_over = True
            job.on_first()
            job.on_end()
        self._start_next()
