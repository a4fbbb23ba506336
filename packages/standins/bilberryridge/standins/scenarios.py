"""Scripted scenarios over real processes.

``python -m bilberryridge.standins.scenarios [FILES]`` runs the files of ``scenarios/``,
several at a time, each on its own loopback subnet, and prints a line for each. The exit
status is 1 when one failed that ``KNOWN-RED.txt`` does not list.

See Also
--------
bilberryridge.standins.script : the file format.
bilberryridge.standins.fleet_actions : steps that act on the fleet.
bilberryridge.standins.request_actions : steps that send requests.
"""

import argparse
import asyncio
import pathlib
import sys
import time
import traceback

import attrs

from bilberryridge.standins import (
    audit,
    fleet,
    fleet_actions,
    processes,
    request_actions,
    script,
    subnets,
)

FOLDER = pathlib.Path("scenarios")
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
MAX_CONCURRENT = 4
TIMEOUT_S = 120.0
EXPECTED_ERRORS = (audit.InvariantError, fleet.ConditionTimeoutError, TimeoutError)


@attrs.frozen
class Outcome:
    """Result of a scenario.

    Parameters
    ----------
    name : str
    took_s : float
    failure : str
        Empty when it passed.
    """

    name: str
    took_s: float
    failure: str = ""


class StepError(Exception):
    """A failed step; the text has its number."""


async def play(scenario: script.Scenario, running: fleet.Fleet) -> None:
    """Run the steps of a scenario on its fleet."""
    await running.start_surroundings()
    async with asyncio.TaskGroup() as tasks:
        request_steps = request_actions.RequestActions(running, tasks)
        fleet_steps = fleet_actions.FleetActions(running)
        for number, (action, arguments) in enumerate(scenario.steps, start=1):
            method = getattr(fleet_steps, action, None) or getattr(
                request_steps, action
            )
            try:
                await method(arguments)
            except Exception as exc:
                text = f"step {number} ({action}): {_describe(exc)}"
                raise StepError(text) from exc
    await request_steps.audit.check()


def _describe(exc: BaseException) -> str:
    return f"{exc}" if isinstance(exc, EXPECTED_ERRORS) else f"{exc!r}"


async def run(path: pathlib.Path, semaphore: asyncio.Semaphore) -> Outcome:
    """Run one scenario once the semaphore admits it."""
    async with semaphore:
        began_s = time.monotonic()
        failure = await _failure_of(script.load(path))
        return Outcome(path.stem, time.monotonic() - began_s, failure)


async def _failure_of(scenario: script.Scenario) -> str:
    with (
        subnets.held_subnet() as subnet,
        fleet.open_fleet(scenario.plan(subnet)) as running,
    ):
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await play(scenario, running)
        except Exception as exc:
            ends = [
                f"--- {name}\n{running.log_end(name)}"
                for name in running.children.names()
                if running.log_end(name)
            ]
            return "\n".join([*_lines_of(exc), *ends])
    return ""


def _lines_of(exc: BaseException) -> list[str]:
    if isinstance(exc, BaseExceptionGroup):
        return [line for inner in exc.exceptions for line in _lines_of(inner)]
    if isinstance(exc, (StepError, *EXPECTED_ERRORS)):
        return [f"{type(exc).__name__}: {exc}"]
    return ["".join(traceback.format_exception(exc))]


def known_red(text: str) -> set[str]:
    """Return the names of scenarios that are listed as known to fail.

    Examples
    --------
    >>> known_red("# entries\\nscenario stop | make scenarios | cut | #3\\n")
    {'stop'}
    """
    tests = [line.partition("|")[0].split() for line in text.splitlines()]
    return {test[1] for test in tests if len(test) == 2 and test[0] == "scenario"}


async def run_all(paths: list[pathlib.Path], may_fail: set[str]) -> int:
    """Run scenarios; return the number of failures not listed in `may_fail`."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT)
    n_failed = 0
    for fut in asyncio.as_completed([run(path, semaphore) for path in paths]):
        outcome = await fut
        is_known = outcome.name in may_fail
        word = "passed"
        if outcome.failure:
            word = "failed, known" if is_known else "FAILED"
            n_failed += not is_known
        elif is_known:
            word = "passed, but KNOWN-RED lists it"
        print(f"{outcome.name}: {word} in {outcome.took_s:.1f} s", flush=True)
        if outcome.failure:
            print(outcome.failure, flush=True)
    return n_failed


def main() -> int:
    """Run the scenarios that the command line names; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="*", type=pathlib.Path)
    paths = parser.parse_args().files or sorted(FOLDER.glob("*.yaml"))
    may_fail = known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else set()
    with processes.ended_by_signals():
        return 1 if asyncio.run(run_all(paths, may_fail)) else 0


if __name__ == "__main__":
    sys.exit(main())
