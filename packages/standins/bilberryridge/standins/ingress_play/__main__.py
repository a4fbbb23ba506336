"""Compare placement rules: ``python -m bilberryridge.standins.ingress_play``."""

import statistics
import time
from typing import Annotated

import attrs
import typer

from bilberryridge.standins.ingress_play import (
    baselines,
    callers,
    changes,
    overload,
    play,
)


def _fast_enough_fraction(result: play.PlayResult, group: str) -> float:
    outcomes = result.of_group(group)
    return sum(item.earned == item.group.worth for item in outcomes) / len(outcomes)


def _unanswered_fraction(result: play.PlayResult) -> float:
    return sum(item.ended_s is None for item in result.outcomes) / len(result.outcomes)


def _print_overload(load: play.Load, x: list[float], n_seeds: int) -> None:
    for load_x in x:
        for seed in range(n_seeds):
            scaled = attrs.evolve(load, load_factor=load_x)
            started_s = time.process_time()
            result = play.run(scaled, seed)
            took_s = time.process_time() - started_s
            print(f"load {load_x:4} seed {seed}, {took_s:.0f} s of processor time")
            overload.print_table(result, scaled)


def main(
    x: Annotated[list[float], typer.Option(help="Times the usual load.")] = [1.0],  # noqa: B006
    n_seeds: Annotated[int, typer.Option(help="Plays of each rule.")] = 3,
    rules: Annotated[str, typer.Option(help="Rules, by commas.")] = "",
    change: Annotated[list[str], typer.Option(help="MODULE.CONSTANT=VALUE.")] = [],  # noqa: B006
    grown: Annotated[bool, typer.Option(help="The grown deployment.")] = False,
    large: Annotated[bool, typer.Option(help="The large deployment.")] = False,
    tala: Annotated[bool, typer.Option(help="Tables of the tala deployment.")] = False,
    akiba: Annotated[bool, typer.Option(help="The same of akiba.")] = False,
    admission: Annotated[bool, typer.Option(help="With admission.")] = False,
    surge: Annotated[bool, typer.Option(help="One organisation sends 7.5x.")] = False,
    steady: Annotated[bool, typer.Option(help="No moving peaks.")] = False,
    outage: Annotated[bool, typer.Option(help="1 of 4 engines away for 5 s.")] = False,
    leaving: Annotated[float, typer.Option(help="Callers that leave early.")] = 0.0,
    n_attempts: Annotated[int, typer.Option(help="Requests of each caller.")] = 2,
    length_s: Annotated[float, typer.Option(help="Time in which requests come.")] = 34,
) -> None:
    """Print the means over all seeds for each load and placement rule.

    The columns are the earned fraction of the worth, the fraction of requests of each
    group that met the latency goal, the fraction without a complete answer, and the
    millions of prompt tokens that were recomputed and fetched.
    """
    changes.set_constants(change)
    if tala or akiba:
        load = play.TALA if tala else play.AKIBA
        if surge:
            organisations = attrs.evolve(load.organisations, surging=0)
            load = attrs.evolve(load, organisations=organisations)
        load = attrs.evolve(
            load,
            has_admission=admission,
            demand=play.SteadyDemand() if steady else load.demand,
            outage=play.Outage(0.25, 8.0, 5.0) if outage else None,
            habits=callers.Habits(
                n_attempts=n_attempts,
                heeds_retry_after=n_attempts == callers.HABITS.n_attempts,
                leaving_fraction=leaving,
            ),
        )
        _print_overload(load, x, n_seeds)
        return
    regions = play.GROWN_REGIONS if grown else play.REGIONS
    if large:
        regions = play.LARGE_REGIONS
    groups = callers.GROWN_GROUPS if grown or large else callers.GROUPS
    names = [group.name for group in groups]
    for load_x in x:
        header = "".join(
            f"{name:>9}" for name in ["worth", *names, "none", "again", "fetched"]
        )
        print(f"load {load_x:4}  {header}")
        for rule in rules.split(",") if rules else baselines.RULES:
            choose = baselines.RULES[rule]
            load = play.Load(load_x, length_s, regions, groups)
            results = [play.run(load, seed, choose) for seed in range(n_seeds)]
            samples = [
                [
                    result.earned_fraction,
                    *(_fast_enough_fraction(result, name) for name in names),
                    _unanswered_fraction(result),
                    result.n_recomputed_tokens / 1e6,
                    result.n_fetched_tokens / 1e6,
                ]
                for result in results
            ]
            means = [statistics.mean(column) for column in zip(*samples, strict=True)]
            print(f"{rule:11}" + "".join(f"{mean:9.3f}" for mean in means))


if __name__ == "__main__":
    typer.run(main)
