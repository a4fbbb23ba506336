"""Print one table per scenario that compares the project with the baselines."""

import statistics
from typing import Annotated

import typer

from bilberryridge.standins.queueing import (
    engines,
    events,
    experiment,
    policies,
)


def _slow_server(event_loop: events.Loop, servers: list[engines.Engine]) -> None:
    event_loop.at(40.0, lambda: setattr(servers[0], "slow_factor", 4.0))


def _failing_server(event_loop: events.Loop, servers: list[engines.Engine]) -> None:
    event_loop.at(40.0, servers[0].fail)
    event_loop.at(90.0, lambda: setattr(servers[0], "is_failing", False))


def _half_lost(event_loop: events.Loop, servers: list[engines.Engine]) -> None:
    for server in servers[: len(servers) // 2]:
        event_loop.at(50.0, server.fail)
        event_loop.at(80.0, lambda server=server: setattr(server, "is_failing", False))  # type: ignore[misc]


SCENARIOS = (
    experiment.Scenario("load 0.5", 0.5),
    experiment.Scenario("load 0.8", 0.8),
    experiment.Scenario("load 0.95", 0.95),
    experiment.Scenario("load 1.2", 1.2),
    experiment.Scenario("load 0.8, reports 5 s old", 0.8, report_lag_s=5.0),
    experiment.Scenario("load 0.8, no reports", 0.8, report_lag_s=None),
    experiment.Scenario("load 0.8, one server slow", 0.8, prepare=_slow_server),
    experiment.Scenario("load 0.8, one server fails", 0.8, prepare=_failing_server),
    experiment.Scenario("load 0.8, half lost for 30 s", 0.8, prepare=_half_lost),
    experiment.Scenario("load 0.7 without the greedy one", 0.7),
    experiment.Scenario("load 0.7 beside the greedy one", 0.7, greedy_load=0.5),
)


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which the given fraction of the values lie.

    Examples
    --------
    >>> quantile([1.0, 2.0, 3.0, 4.0], 0.5)
    3.0
    """
    ordered = sorted(values)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


def measure(
    scenario: experiment.Scenario, outcomes: list[experiment.Outcome]
) -> dict[str, float]:
    """Return the figures of a run without the requests of the greedy organisation."""
    arrived_jobs = [
        item for item in outcomes if item.job.arrived_s >= experiment.WARM_UP_S
    ]
    other_jobs = [item for item in arrived_jobs if item.job.organisation != 0]
    quick_jobs = [item for item in other_jobs if not item.job.is_long]
    first_s = [
        item.first_token_s for item in quick_jobs if item.first_token_s is not None
    ]
    long_jobs = [item for item in other_jobs if item.job.is_long]
    is_complete = [item.result is engines.Result.COMPLETE for item in other_jobs]
    completed_jobs = [
        item.job
        for item in outcomes
        if item.result is engines.Result.COMPLETE
        and experiment.WARM_UP_S <= item.ended_s <= scenario.duration_s
    ]
    n_slots = scenario.n_servers * experiment.N_SLOTS
    span_s = scenario.duration_s - experiment.WARM_UP_S
    done_fraction = sum(job.full_hold_s for job in completed_jobs) / (n_slots * span_s)
    n_refused = sum(item.result is engines.Result.REFUSED for item in other_jobs)
    n_retries = sum(max(item.n_attempts - 1, 0) for item in arrived_jobs)
    return {
        "p50": quantile(first_s, 0.5),
        "p95": quantile(first_s, 0.95),
        "p99": quantile(first_s, 0.99),
        "whole": statistics.mean(is_complete),
        "long": statistics.mean(
            [item.result is engines.Result.COMPLETE for item in long_jobs] or [False]
        ),
        "refused": n_refused / len(other_jobs),
        "done": done_fraction,
        "retries": n_retries / len(arrived_jobs),
    }


def main(
    n_seeds: Annotated[int, typer.Option(help="Runs of each policy.")] = 3,
    only: Annotated[str, typer.Option(help="Part of the scenario's name.")] = "",
    rules: Annotated[str, typer.Option(help="Policies, by commas.")] = "",
) -> None:
    """Print the medians over all seeds."""
    chosen_rules = rules.split(",") if rules else ["project", *policies.BASELINES]
    for scenario in SCENARIOS:
        if only not in scenario.name:
            continue
        print(f"\n{scenario.name}")
        figures: dict[str, list[dict[str, float]]] = {rule: [] for rule in chosen_rules}
        for seed in range(n_seeds):
            jobs = experiment.make_jobs(scenario, seed)
            for rule in chosen_rules:
                outcomes = experiment.run(scenario, jobs, rule, seed)
                figures[rule].append(measure(scenario, outcomes))
        names = list(figures[chosen_rules[0]][0])
        print(f"{'':18}" + "".join(f"{name:>9}" for name in names))
        for rule, runs in figures.items():
            medians = [statistics.median(run[name] for run in runs) for name in names]
            print(f"{rule:18}" + "".join(f"{value:9.3f}" for value in medians))


if __name__ == "__main__":
    typer.run(main)
