"""Model of a backend server with starts, slots, and faults."""

import collections
import random
from collections.abc import Callable

import attrs

from bilberryridge.core import ingress
from bilberryridge.standins.queueing import events
from bilberryridge.standins.simulation import faults, records

WORK_S = 0.03
N_SLOTS = 6
MAX_WAITING = 12
CRASH_AFTER_S = 0.05
RETURN_AFTER_S = 3.0
"""Time from a crash to the next start."""


@attrs.frozen
class Answer:
    """What the daemon gets of an attempt.

    Parameters
    ----------
    status : int
        0 where the connection ended before an answer.
    is_not_run : bool
    retry_after_s : float or None
    request_id : str
        Request that the answer belongs to.
    said : faults.Effect
        Words in its head.
    """

    status: int
    is_not_run: bool
    retry_after_s: float | None
    request_id: str
    said: faults.Effect


@attrs.define(eq=False)
class Attempt:
    """A request at a server.

    Parameters
    ----------
    job : Job
    on_answer : Callable
    is_cancelled : bool
    """

    job: faults.Job
    on_answer: Callable[[Answer], None]
    is_cancelled: bool = False


class Server:
    """A backend server.

    Parameters
    ----------
    loop : Loop
    record : BackendServer
    planned : list of Fault
    random_state : random.Random
    audit : Callable
        Takes records.
    on_start : Callable
        Called after each start with the new registration.
    """

    def __init__(
        self,
        loop: events.Loop,
        record: ingress.BackendServer,
        planned: list[faults.Fault],
        random_state: random.Random,
        audit: Callable[[records.Record], None],
        on_start: Callable[[ingress.BackendServer], None],
    ):
        self.record = record
        self._loop = loop
        self._planned = planned
        self._random_state = random_state
        self._audit = audit
        self._on_start = on_start
        self.is_up = True
        self._n_received = 0
        self._running: list[Attempt] = []
        self._waiting: collections.deque[Attempt] = collections.deque()

    @property
    def start_name(self) -> str:
        """Name of this start of the server."""
        return f"{self.record.id}.{self.record.start_time_ms}"

    def receive(
        self, req: ingress.Request, vm: str, on_answer: Callable[[Answer], None]
    ) -> Attempt | None:
        """Take a request; None if no connection can be made."""
        if not self.is_up:
            return None
        job = faults.Job(
            req.caller_request_id, req.content_id, vm, sequence=self._n_received
        )
        self._n_received += 1
        attempt = Attempt(job, on_answer)
        effect = self._effect(job)
        is_full = len(self._waiting) >= MAX_WAITING
        is_refused = effect.not_run or effect.asked_s is not None or is_full
        self._audit(
            records.Received(
                self._loop.now_s,
                self.start_name,
                vm,
                job.request_id,
                job.content_id,
                has_run=not is_refused,
            )
        )
        if is_refused:
            refused = Answer(503, True, effect.asked_s, job.request_id, effect)
            self._loop.after(0.0, lambda: self._tell(attempt, refused))
        elif len(self._running) < N_SLOTS:
            self._run(attempt, effect)
        else:
            self._waiting.append(attempt)
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Drop a request whose connection was closed."""
        attempt.is_cancelled = True
        if attempt in self._waiting:
            self._waiting.remove(attempt)

    def _effect(self, job: faults.Job) -> faults.Effect:
        now_s, server_id = self._loop.now_s, self.record.id
        return faults.combine(
            [
                fault.effect
                for fault in self._planned
                if fault.affects(now_s, server_id, job, self._random_state)
            ]
        )

    def _run(self, attempt: Attempt, effect: faults.Effect) -> None:
        self._running.append(attempt)
        start = self.start_name
        if effect.crash:
            self._loop.after(CRASH_AFTER_S, lambda: self._crash(start, attempt))
            return
        work_s = WORK_S * effect.slowdown * self._random_state.uniform(0.7, 1.5)
        self._loop.after(work_s, lambda: self._finish(start, attempt, effect))

    def _finish(self, start: str, attempt: Attempt, effect: faults.Effect) -> None:
        if start != self.start_name or attempt not in self._running:
            return
        self._running.remove(attempt)
        if self._waiting:
            following = self._waiting.popleft()
            self._run(following, self._effect(following.job))
        if effect.silent:
            return
        status = 0 if effect.reset else effect.status
        answer = Answer(status, False, None, attempt.job.request_id, effect)
        self._tell(attempt, answer)

    def _crash(self, start: str, cause: Attempt) -> None:
        if start != self.start_name or not self.is_up:
            return
        self.is_up = False
        self._audit(
            records.Crashed(self._loop.now_s, start, cause.job.vm, cause.job.content_id)
        )
        lost = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for attempt in lost:
            ended = Answer(0, False, None, attempt.job.request_id, faults.NONE)
            self._tell(attempt, ended)
        self._loop.after(RETURN_AFTER_S, self._start)

    def _start(self) -> None:
        start_time_ms = self.record.start_time_ms + 1
        self.record = attrs.evolve(self.record, start_time_ms=start_time_ms)
        self.is_up = True
        self._n_received = 0
        self._on_start(self.record)

    def _tell(self, attempt: Attempt, answer: Answer) -> None:
        if not attempt.is_cancelled:
            attempt.on_answer(answer)
