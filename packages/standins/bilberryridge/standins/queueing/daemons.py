"""Simulated daemons, which carry out the decisions of a policy."""

import random
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.standins.queueing import engines, events

SERVER_ONE_WAY_S = 0.001
FIRST_BYTE_DEADLINE_S = 10.0


class Sink(Protocol):
    """Receives the answer to a job."""

    def on_began(self, job: engines.Job) -> None:
        """Handle the first token."""

    def on_ended(
        self, job: engines.Job, result: engines.Result, n_attempts: int
    ) -> None:
        """Handle the end of the answer."""


@attrs.define(eq=False)
class OpenJob:
    """State of a job at a daemon."""

    job: engines.Job
    sink: Sink
    is_forwarded: bool
    attempted_targets: set[str] = attrs.field(factory=set)
    n_attempts: int = 0
    target: str = ""
    sent_s: float = 0.0
    has_begun: bool = False
    is_over: bool = False
    attempt: engines.Attempt | None = None


class Policy(Protocol):
    """Makes the decisions of a daemon."""

    def on_arrived(self, open_job: OpenJob) -> None:
        """Handle the arrival of a job."""

    def on_began(self, open_job: OpenJob) -> None:
        """Handle the first token of a job."""

    def on_ended(self, open_job: OpenJob, is_good: bool | None) -> None:
        """Handle the end of an attempt.

        Parameters
        ----------
        is_good : bool or None
            None if the end says nothing of the target: the job was refused or timed out
            after its first token.
        """

    def may_retry(self, open_job: OpenJob) -> bool:
        """Return whether a failed job is retried; the policy then starts the retry."""

    def on_report(
        self, server: str, n_running: int, n_waiting: int, age_s: float
    ) -> None:
        """Handle a load report."""

    def on_tick(self) -> None:
        """Handle a tick of the clock."""


class Daemon:
    """Carries out the decisions of its policy and reports the results to it."""

    def __init__(
        self,
        event_loop: events.Loop,
        targets: dict[str, engines.Target],
        one_way_s: dict[str, float],
    ):
        self.event_loop = event_loop
        self.targets = targets
        self.policy: Policy
        self._one_way_s = one_way_s

    def receive(self, job: engines.Job, sink: Sink, is_forwarded: bool = False) -> None:
        """Receive a job; its answer goes to `sink`."""
        open_job = OpenJob(job, sink, is_forwarded)
        self.event_loop.at(job.deadline_s, lambda: self._expire(open_job))
        self.policy.on_arrived(open_job)

    def send(self, open_job: OpenJob, target: str) -> None:
        """Start an attempt of a job at a target."""
        open_job.target = target
        open_job.attempted_targets.add(target)
        open_job.n_attempts += 1
        open_job.sent_s = self.event_loop.now_s
        open_job.has_begun = False
        attempt = engines.Attempt(
            open_job.job,
            lambda _: self._on_began(open_job, attempt),
            lambda _, result: self._on_ended(open_job, attempt, result),
        )
        open_job.attempt = attempt
        delay_s = self._one_way_s.get(target, SERVER_ONE_WAY_S)
        self.event_loop.after(delay_s, lambda: self._deliver(target, attempt))
        self.event_loop.after(
            FIRST_BYTE_DEADLINE_S, lambda: self._check_first_byte(open_job, attempt)
        )

    def finish(self, open_job: OpenJob, result: engines.Result) -> None:
        """Report the final result of a job to its sink."""
        open_job.is_over = True
        open_job.sink.on_ended(open_job.job, result, open_job.n_attempts)

    def _deliver(self, target: str, attempt: engines.Attempt) -> None:
        if not attempt.is_over:
            self.targets[target].accept(attempt)

    def _on_began(self, open_job: OpenJob, attempt: engines.Attempt) -> None:
        if open_job.attempt is attempt and not open_job.is_over:
            open_job.has_begun = True
            self.policy.on_began(open_job)
            open_job.sink.on_began(open_job.job)

    def _on_ended(
        self, open_job: OpenJob, attempt: engines.Attempt, result: engines.Result
    ) -> None:
        if open_job.attempt is not attempt or open_job.is_over:
            return
        open_job.attempt = None
        is_good = {
            engines.Result.COMPLETE: True,
            engines.Result.FAILED: False,
        }.get(result)
        self.policy.on_ended(open_job, is_good)
        if (
            result is engines.Result.COMPLETE
            or open_job.has_begun
            or not self.policy.may_retry(open_job)
        ):
            self.finish(open_job, result)

    def _check_first_byte(self, open_job: OpenJob, attempt: engines.Attempt) -> None:
        if (
            open_job.attempt is attempt
            and not open_job.has_begun
            and not open_job.is_over
        ):
            self.targets[open_job.target].cancel(attempt)
            attempt.is_over = True
            self._on_ended(open_job, attempt, engines.Result.FAILED)

    def _expire(self, open_job: OpenJob) -> None:
        if open_job.is_over:
            return
        if open_job.attempt is not None:
            self.targets[open_job.target].cancel(open_job.attempt)
            open_job.attempt.is_over = True
            self.policy.on_ended(open_job, None if open_job.has_begun else False)
        self.finish(open_job, engines.Result.LATE)


class Forward:
    """A remote domain as a target; one of its daemons serves the job."""

    def __init__(
        self,
        event_loop: events.Loop,
        one_way_s: float,
        daemons: list[Daemon],
        random_state: random.Random,
    ):
        self._event_loop = event_loop
        self._one_way_s = one_way_s
        self._daemons = daemons
        self._random_state = random_state

    def accept(self, attempt: engines.Attempt) -> None:
        """Pass the job to a random daemon of the remote domain."""
        daemon = self._random_state.choice(self._daemons)
        sink = _ForwardSink(self._event_loop, self._one_way_s, attempt)
        daemon.receive(attempt.job, sink, is_forwarded=True)

    def cancel(self, attempt: engines.Attempt) -> None:
        """Cancel the attempt; the remote daemon ends the job at its deadline."""
        attempt.is_over = True


@attrs.define
class _ForwardSink:
    event_loop: events.Loop
    one_way_s: float
    attempt: engines.Attempt

    def on_began(self, job: engines.Job) -> None:
        self.event_loop.after(self.one_way_s, self.attempt.begin)

    def on_ended(
        self, job: engines.Job, result: engines.Result, n_attempts: int
    ) -> None:
        self.event_loop.after(self.one_way_s, lambda: self.attempt.end(result))


MakePolicy = Callable[[Daemon, int], Policy]
