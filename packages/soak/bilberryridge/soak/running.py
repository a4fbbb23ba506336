"""Runs a fault schedule against a deployment under load and checks its guarantees."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.soak import checks, schedules

CHECK_INTERVAL_S = 0.5
RECOVERY_S = 4.0
"""Time to recover after the last fault. A daemon is ready 1 s after its start, a lease
of the store is restored after 2.5 s and an excluded server is used again after 4 s."""
MIN_RECOVERED_FRACTION = 0.9
"""Fraction of the later requests that must be served; 1 in 10 may still meet the end of
a fault."""


class Deployment(Protocol):
    """Deployment under test."""

    def begin(self, step: schedules.Step) -> Callable[[], None]:
        """Inject a fault; return a function that reverts it."""

    def runs(self) -> list[str]:
        """Return the ids of all attempts that backend servers ran."""

    def ask(self, caller: int, number: int, now_s: float) -> checks.CallResult:
        """Send one request as a caller and return its result."""

    def problems(self) -> list[str]:
        """Return other problems, such as a daemon that exited unexpectedly."""


@attrs.frozen
class Report:
    """Result of a run.

    Parameters
    ----------
    seed : int
    n_requests, n_served : int
    broken : tuple of str
    """

    seed: int
    n_requests: int
    n_served: int
    broken: tuple[str, ...]


def run(
    deployment: Deployment,
    checker: checks.Checker,
    seed: int,
    length_s: float,
    n_steps: int,
    n_callers: int,
) -> Report:
    """Run a fault schedule against a deployment that already serves requests.

    Parameters
    ----------
    deployment : Deployment
    checker : Checker
    seed : int
        Seed of the schedule.
    length_s : float
    n_steps : int
        Number of faults.
    n_callers : int
        Number of threads, each of which sends one request after another.
    """
    began_s = time.monotonic()
    stop_event = threading.Event()
    threads = [
        threading.Thread(
            target=_send_requests,
            args=(deployment, checker, caller, began_s, stop_event),
        )
        for caller in range(n_callers)
    ]
    for thread in threads:
        thread.start()
    steps = schedules.draw(seed, length_s, n_steps)
    broken, late_s = _run_steps(deployment, checker, steps, began_s, length_s)
    stop_event.set()
    for thread in threads:
        thread.join()
    end_s = max((step.at_s + step.duration_s for step in steps), default=0.0)
    broken += checker.check_now(deployment.runs())
    since_s = end_s + late_s + RECOVERY_S
    broken += checker.check_recovery(since_s, MIN_RECOVERED_FRACTION)
    broken += deployment.problems()
    answers = checker.answers()
    n_served = sum(a.status == 200 and a.is_complete for a in answers)
    return Report(seed, len(answers), n_served, tuple(dict.fromkeys(broken)))


def _run_steps(
    deployment: Deployment,
    checker: checks.Checker,
    steps: list[schedules.Step],
    began_s: float,
    length_s: float,
) -> tuple[list[str], float]:
    """Run the steps; return what was broken and how late the last fault was reverted.

    A revert may wait, such as for a planned stop, and then restarts a daemon later than
    planned. The run is prolonged by that time.
    """
    planned_end_s = max((step.at_s + step.duration_s for step in steps), default=0.0)
    late_s = 0.0
    waiting = list(steps)
    reverts: list[tuple[float, Callable[[], None]]] = []
    broken: list[str] = []
    next_check_s = CHECK_INTERVAL_S
    while (now_s := time.monotonic() - began_s) < length_s + late_s:
        while waiting and waiting[0].at_s <= now_s:
            step = waiting.pop(0)
            reverts.append((step.at_s + step.duration_s, deployment.begin(step)))
        for due in [due for due in reverts if due[0] <= now_s]:
            reverts.remove(due)
            due[1]()
            late_s = max(0.0, time.monotonic() - began_s - planned_end_s)
        if now_s >= next_check_s:
            next_check_s += CHECK_INTERVAL_S
            broken += checker.check_now(deployment.runs())
        time.sleep(0.02)
    for _, revert in reverts:
        revert()
    return broken, late_s


def _send_requests(
    deployment: Deployment,
    checker: checks.Checker,
    caller: int,
    began_s: float,
    stop_event: threading.Event,
) -> None:
    number = 0
    while not stop_event.is_set():
        number += 1
        checker.add(deployment.ask(caller, number, time.monotonic() - began_s))
        time.sleep(0.03)
