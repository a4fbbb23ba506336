"""One run: callers, faults in their order, and the checker watching."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.soak import checks, schedules

CHECK_INTERVAL_S = 0.5
RECOVERY_S = 4.0
"""After the last fault; a daemon is ready 1 s after its start, a lease of the store
and a server that was left out are back after 2.5 and 4 s."""
MIN_RECOVERED_FRACTION = 0.9
"""Part of the requests that must be served then; 1 in 10 may meet what still ends."""


class Deployment(Protocol):
    """What faults are done to."""

    def begin(self, step: schedules.Step) -> Callable[[], None]:
        """Begin a fault; return what undoes it."""

    def runs(self) -> list[str]:
        """Return the ids of all attempts that backend servers ran."""

    def ask(self, caller: int, number: int, now_s: float) -> checks.CallResult:
        """Send one request, as a caller does."""

    def problems(self) -> list[str]:
        """Return what else went wrong, such as a daemon that ended by itself."""


@attrs.frozen
class Report:
    """What a run showed.

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
    """Run a schedule against a deployment that serves.

    Parameters
    ----------
    deployment : Deployment
    checker : Checker
    seed : int
        Makes the schedule.
    length_s : float
    n_steps : int
        Faults.
    n_callers : int
        Threads that send one request after the other.
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
    broken = _run_steps(deployment, checker, steps, began_s, length_s)
    stop_event.set()
    for thread in threads:
        thread.join()
    end_s = max((step.at_s + step.duration_s for step in steps), default=0.0)
    broken += checker.check_now(deployment.runs())
    broken += checker.check_recovery(end_s + RECOVERY_S, MIN_RECOVERED_FRACTION)
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
) -> list[str]:
    waiting = list(steps)
    reverts: list[tuple[float, Callable[[], None]]] = []
    broken: list[str] = []
    next_check_s = CHECK_INTERVAL_S
    while (now_s := time.monotonic() - began_s) < length_s:
        while waiting and waiting[0].at_s <= now_s:
            step = waiting.pop(0)
            reverts.append((step.at_s + step.duration_s, deployment.begin(step)))
        for due in [due for due in reverts if due[0] <= now_s]:
            reverts.remove(due)
            due[1]()
        if now_s >= next_check_s:
            next_check_s += CHECK_INTERVAL_S
            broken += checker.check_now(deployment.runs())
        time.sleep(0.02)
    for _, revert in reverts:
        revert()
    return broken


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
