"""Play seeds of the simulation, and search for broken promises.

``python -m bilberryridge.standins.simulation search 0 999 --jobs 4``
"""

import time
from collections.abc import Iterator
from concurrent import futures
from typing import Annotated

import attrs
import typer

from bilberryridge.standins.simulation import deployment, schedules

MAX_SHOWN = 3

app = typer.Typer(add_completion=False, no_args_is_help=True)


@attrs.frozen
class Verdict:
    """The judgement of one seed."""

    seed: int
    digest: str
    broken: dict[str, list[str]]


def judge_seed(seed: int) -> Verdict:
    """Play and judge a seed."""
    run = deployment.play(schedules.draw(seed))
    return Verdict(seed, run.digest, run.broken)


def shrink(schedule: schedules.Schedule, check: str) -> schedules.Schedule:
    """Return a schedule with fewest events that still breaks a promise.

    Parameters
    ----------
    schedule : Schedule
        Breaks the promise.
    check : str
        Name of the promise in `auditor.CHECKS`.
    """
    n_before = 0
    while n_before != _n_events(schedule):
        n_before = _n_events(schedule)
        for smaller in _without_one_event(schedule):
            if check in deployment.play(smaller).broken:
                schedule = smaller
                break
    return schedule


def _n_events(schedule: schedules.Schedule) -> int:
    return len(schedule.faults) + len(schedule.steps) + len(schedule.repeated)


def _without_one_event(
    schedule: schedules.Schedule,
) -> Iterator[schedules.Schedule]:
    for n in range(len(schedule.faults)):
        rest = schedule.faults[:n] + schedule.faults[n + 1 :]
        yield attrs.evolve(schedule, faults=rest)
    for n in range(len(schedule.steps)):
        yield attrs.evolve(schedule, steps=schedule.steps[:n] + schedule.steps[n + 1 :])
    for n in range(len(schedule.repeated)):
        rest_repeated = schedule.repeated[:n] + schedule.repeated[n + 1 :]
        yield attrs.evolve(schedule, repeated=rest_repeated)


@app.command()
def play(seed: int) -> None:
    """Play a seed; print its schedule and what it broke, shrunk."""
    schedule = schedules.draw(seed)
    run = deployment.play(schedule)
    typer.echo(f"seed {seed}, digest {run.digest}, {len(run.records)} records")
    _show_schedule(schedule)
    for check, findings in run.broken.items():
        typer.echo(f"BROKEN {check}: {findings[:MAX_SHOWN]}")
        typer.echo("with these events alone:")
        _show_schedule(shrink(schedule, check))
    raise typer.Exit(1 if run.broken else 0)


@app.command()
def search(
    first: int,
    last: int,
    jobs: Annotated[int, typer.Option(help="Processes to use.")] = 4,
) -> None:
    """Play seeds and print those that break a promise."""
    began_s = time.monotonic()
    n_broken = 0
    with futures.ProcessPoolExecutor(jobs) as pool:
        for verdict in pool.map(judge_seed, range(first, last + 1), chunksize=4):
            n_broken += bool(verdict.broken)
            for check, findings in verdict.broken.items():
                shown = "; ".join(findings[:MAX_SHOWN])
                typer.echo(f"seed {verdict.seed}: {check}: {shown}")
    took_s = time.monotonic() - began_s
    n_seeds = last - first + 1
    typer.echo(f"{n_seeds} seeds, {n_broken} broken, {took_s:.0f} s")
    raise typer.Exit(1 if n_broken else 0)


def _show_schedule(schedule: schedules.Schedule) -> None:
    for event in (*schedule.faults, *schedule.steps, *schedule.repeated):
        typer.echo(f"  {event}")


if __name__ == "__main__":
    app()
