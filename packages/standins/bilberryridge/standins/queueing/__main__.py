"""Print one table for each scenario: the project and the baselines, same arrivals."""

import statistics
from typing import Annotated

import typer

from bilberryridge.standins.queueing import (
    engines,
    events,
    experiment,
    policies,
)


def _slow_server(loop: events.Loop, servers: list[engines.Engine]) -> None:
    loop.at(40.0, lambda: setattr(servers[0], "slow_factor", 4.0))


def _dead_server(loop: events.Loop, servers: list[engines.Engine]) -> None:
    loop.at(40.0, servers[0].fail)
    loop.at(90.0, lambda: setattr(servers[0], "is_failing", False))


def _half_lost(loop: events.Loop, servers: list[engines.Engine]) -> None:
    for server in servers[: len(servers) // 2]:
        loop.at(50.0, server.fail)
        loop.at(80.0, lambda server=server: setattr(server, "is_failing", False))  # type: ignore[misc]


SCENARIOS = (
    experiment.Scenario("load 0.5", 0.5),
    experiment.Scenario("load 0.8", 0.8),
    experiment.Scenario("load 0.95", 0.95),
    experiment.Scenario("load 1.2", 1.2),
    experiment.Scenario("load 0.8, reports 5 s old", 0.8, report_lag_s=5.0),
    experiment.Scenario("load 0.8, no reports", 0.8, report_lag_s=None),
    experiment.Scenario("load 0.8, one server slow", 0.8, prepare=_slow_server),
    experiment.Scenario("load 0.8, one server fails", 0.8, prepare=_dead_server),
    experiment.Scenario("load 0.8, half lost for 30 s", 0.8, prepare=_half_lost),
    experiment.Scenario("load 0.7 without the greedy one", 0.7),
    experiment.Scenario("load 0.7 beside the greedy one", 0.7, greedy_load=0.5),
)


def quantile(values: list[float], share: float) -> float:
    """The value below which `share` of the values lie.

    Examples
    --------
    >>> quantile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def measure(
    scenario: experiment.Scenario, seen: list[experiment.Seen]
) -> dict[str, float]:
    """The figures of a run; the greedy organisation's own requests left out."""
    asked = [item for item in seen if item.job.arrived_s >= experiment.WARM_UP_S]
    others = [item for item in asked if item.job.organisation != 0]
    quick = [item for item in others if not item.job.is_long]
    first_s = [item.first_token_s for item in quick if item.first_token_s is not None]
    long = [item for item in others if item.job.is_long]
    is_whole = [item.result is engines.Result.COMPLETE for item in others]
    whole = [
        item.job
        for item in seen
        if item.result is engines.Result.COMPLETE
        and experiment.WARM_UP_S <= item.ended_s <= scenario.duration_s
    ]
    n_slots = scenario.n_servers * experiment.N_SLOTS
    span_s = scenario.duration_s - experiment.WARM_UP_S
    done = sum(job.full_hold_s for job in whole) / (n_slots * span_s)
    n_refused = sum(item.result is engines.Result.REFUSED for item in others)
    n_extra = sum(max(item.n_tries - 1, 0) for item in asked)
    return {
        "p50": quantile(first_s, 0.5),
        "p95": quantile(first_s, 0.95),
        "p99": quantile(first_s, 0.99),
        "whole": statistics.mean(is_whole),
        "long": statistics.mean(
            [item.result is engines.Result.COMPLETE for item in long] or [False]
        ),
        "refused": n_refused / len(others),
        "done": done,
        "retries": n_extra / len(asked),
    }


def main(
    n_seeds: Annotated[int, typer.Option(help="Runs of each policy.")] = 3,
    only: Annotated[str, typer.Option(help="Part of the scenario's name.")] = "",
    rules: Annotated[str, typer.Option(help="Policies, by commas.")] = "",
) -> None:
    """Print medians over the seeds."""
    chosen = rules.split(",") if rules else ["project", *policies.BASELINES]
    for scenario in SCENARIOS:
        if only not in scenario.name:
            continue
        print(f"\n{scenario.name}")
        figures: dict[str, list[dict[str, float]]] = {rule: [] for rule in chosen}
        for seed in range(n_seeds):
            jobs = experiment.make_jobs(scenario, seed)
            for rule in chosen:
                seen = experiment.run(scenario, jobs, rule, seed)
                figures[rule].append(measure(scenario, seen))
        names = list(figures[chosen[0]][0])
        print(f"{'':18}" + "".join(f"{name:>9}" for name in names))
        for rule, runs in figures.items():
            medians = [statistics.median(run[name] for run in runs) for name in names]
            print(f"{rule:18}" + "".join(f"{value:9.3f}" for value in medians))


if __name__ == "__main__":
    typer.run(main)
