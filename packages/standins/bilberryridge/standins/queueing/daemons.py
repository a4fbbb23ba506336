"""Daemons of the experiment: they carry out what a policy decides."""

import random
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.standins.queueing import engines, events

SERVER_ONE_WAY_S = 0.001
FIRST_BYTE_DEADLINE_S = 10.0


class Sink(Protocol):
    """Whoever waits for the answer to a job."""

    def began(self, job: engines.Job) -> None:
        """The first token came."""

    def ended(self, job: engines.Job, result: engines.Result, n_tries: int) -> None:
        """The answer is over."""


@attrs.define(eq=False)
class Flow:
    """A job at a daemon."""

    job: engines.Job
    sink: Sink
    is_forwarded: bool
    tried: set[str] = attrs.field(factory=set)
    n_tries: int = 0
    target: str = ""
    sent_s: float = 0.0
    has_begun: bool = False
    is_over: bool = False
    attempt: engines.Attempt | None = None


class Policy(Protocol):
    """What decides for a daemon."""

    def on_arrived(self, flow: Flow) -> None:
        """A job came."""

    def on_began(self, flow: Flow) -> None:
        """The first token of a job came."""

    def on_ended(self, flow: Flow, is_good: bool | None) -> None:
        """An attempt is over."""

    def may_retry(self, flow: Flow) -> bool:
        """Whether a failed job is tried again; if so, the policy sees to it."""

    def on_report(
        self, server: str, n_running: int, n_waiting: int, age_s: float
    ) -> None:
        """A load report came."""

    def on_tick(self) -> None:
        """Time passed."""


class Daemon:
    """Sends what its policy decides and reports back to it."""

    def __init__(
        self,
        loop: events.Loop,
        targets: dict[str, engines.Target],
        one_way_s: dict[str, float],
    ):
        self.loop = loop
        self.targets = targets
        self.policy: Policy
        self._one_way_s = one_way_s

    def arrive(self, job: engines.Job, sink: Sink, is_forwarded: bool = False) -> None:
        """Take a job."""
        flow = Flow(job, sink, is_forwarded)
        self.loop.at(job.deadline_s, lambda: self._expire(flow))
        self.policy.on_arrived(flow)

    def send(self, flow: Flow, target: str) -> None:
        """Send a job to a target."""
        flow.target = target
        flow.tried.add(target)
        flow.n_tries += 1
        flow.sent_s = self.loop.now_s
        flow.has_begun = False
        attempt = engines.Attempt(
            flow.job,
            lambda _: self._began(flow, attempt),
            lambda _, result: self._ended(flow, attempt, result),
        )
        flow.attempt = attempt
        delay_s = self._one_way_s.get(target, SERVER_ONE_WAY_S)
        self.loop.after(delay_s, lambda: self._deliver(target, attempt))
        self.loop.after(
            FIRST_BYTE_DEADLINE_S, lambda: self._check_first_byte(flow, attempt)
        )

    def finish(self, flow: Flow, result: engines.Result) -> None:
        """Give a job's final answer."""
        flow.is_over = True
        flow.sink.ended(flow.job, result, flow.n_tries)

    def _deliver(self, target: str, attempt: engines.Attempt) -> None:
        if not attempt.is_over:
            self.targets[target].accept(attempt)

    def _began(self, flow: Flow, attempt: engines.Attempt) -> None:
        if flow.attempt is attempt and not flow.is_over:
            flow.has_begun = True
            self.policy.on_began(flow)
            flow.sink.began(flow.job)

    def _ended(
        self, flow: Flow, attempt: engines.Attempt, result: engines.Result
    ) -> None:
        if flow.attempt is not attempt or flow.is_over:
            return
        flow.attempt = None
        is_good = {
            engines.Result.COMPLETE: True,
            engines.Result.FAILED: False,
        }.get(result)
        self.policy.on_ended(flow, is_good)
        if (
            result is engines.Result.COMPLETE
            or flow.has_begun
            or not self.policy.may_retry(flow)
        ):
            self.finish(flow, result)

    def _check_first_byte(self, flow: Flow, attempt: engines.Attempt) -> None:
        if flow.attempt is attempt and not flow.has_begun and not flow.is_over:
            self.targets[flow.target].cancel(attempt)
            attempt.is_over = True
            self._ended(flow, attempt, engines.Result.FAILED)

    def _expire(self, flow: Flow) -> None:
        if flow.is_over:
            return
        if flow.attempt is not None:
            self.targets[flow.target].cancel(flow.attempt)
            flow.attempt.is_over = True
            self.policy.on_ended(flow, None if flow.has_begun else False)
        self.finish(flow, engines.Result.LATE)


class Forward:
    """Another domain as a target: one of its daemons serves the job itself."""

    def __init__(
        self,
        loop: events.Loop,
        one_way_s: float,
        daemons: list[Daemon],
        random_state: random.Random,
    ):
        self._loop = loop
        self._one_way_s = one_way_s
        self._daemons = daemons
        self._random_state = random_state

    def accept(self, attempt: engines.Attempt) -> None:
        """Hand the job to a daemon there."""
        daemon = self._random_state.choice(self._daemons)
        sink = _ForwardSink(self._loop, self._one_way_s, attempt)
        daemon.arrive(attempt.job, sink, is_forwarded=True)

    def cancel(self, attempt: engines.Attempt) -> None:
        """Give the job up; the daemon there ends it at its deadline."""
        attempt.is_over = True


@attrs.define
class _ForwardSink:
    loop: events.Loop
    one_way_s: float
    attempt: engines.Attempt

    def began(self, job: engines.Job) -> None:
        self.loop.after(self.one_way_s, self.attempt.begin)

    def ended(self, job: engines.Job, result: engines.Result, n_tries: int) -> None:
        self.loop.after(self.one_way_s, lambda: self.attempt.end(result))


MakePolicy = Callable[[Daemon, int], Policy]
