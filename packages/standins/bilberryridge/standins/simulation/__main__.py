"""Play seeds of the simulation, and search for broken promises.

``python -m bilberryridge.standins.simulation search 0 999 --jobs 4``
"""

import functools
import time
from collections.abc import Iterator
from concurrent import futures
from typing import Annotated, Any

import attrs
import typer

from bilberryridge.standins.simulation import deployment, schedules

MAX_SHOWN = 3

Draw = Annotated[
    str, typer.Option(help="What fails above all: one of `schedules.DRAWS`.")
]

app = typer.Typer(add_completion=False, no_args_is_help=True)


@attrs.frozen
class Verdict:
    """The judgement of one seed."""

    seed: int
    digest: str
    broken: dict[str, list[str]]


def judge_seed(seed: int, draw: str = "servers") -> Verdict:
    """Play and judge a seed of one of `schedules.DRAWS`."""
    run = deployment.play(schedules.DRAWS[draw](seed))
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
    parts = (schedule.faults, schedule.steps, schedule.repeated, schedule.lost_paths)
    return sum(map(len, parts))


def _without_one_event(
    schedule: schedules.Schedule,
) -> Iterator[schedules.Schedule]:
    for part in ("faults", "steps", "repeated", "lost_paths"):
        events: Any = getattr(schedule, part)
        for n in range(len(events)):
            changes: dict[str, Any] = {part: events[:n] + events[n + 1 :]}
            yield attrs.evolve(schedule, **changes)


@app.command()
def play(seed: int, draw: Draw = "servers") -> None:
    """Play a seed; print its schedule and what it broke, shrunk."""
    schedule = schedules.DRAWS[draw](seed)
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
    draw: Draw = "servers",
) -> None:
    """Play seeds and print those that break a promise."""
    began_s = time.monotonic()
    n_broken = 0
    with futures.ProcessPoolExecutor(jobs) as pool:
        judge = functools.partial(judge_seed, draw=draw)
        for verdict in pool.map(judge, range(first, last + 1), chunksize=4):
            n_broken += bool(verdict.broken)
            for check, findings in verdict.broken.items():
                shown = "; ".join(findings[:MAX_SHOWN])
                typer.echo(f"seed {verdict.seed}: {check}: {shown}")
    took_s = time.monotonic() - began_s
    n_seeds = last - first + 1
    typer.echo(f"{n_seeds} seeds, {n_broken} broken, {took_s:.0f} s")
    raise typer.Exit(1 if n_broken else 0)


def _show_schedule(schedule: schedules.Schedule) -> None:
    events = (*schedule.faults, *schedule.steps, *schedule.repeated)
    for event in (*events, *schedule.lost_paths):
        typer.echo(f"  {event}")


if __name__ == "__main__":
    app()
