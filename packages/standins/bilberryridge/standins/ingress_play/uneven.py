"""Servers of unequal pace: ``python -m bilberryridge.standins.ingress_play.uneven``."""

import collections
import statistics
from typing import Annotated

import typer

from bilberryridge.standins.ingress_play import callers, paces, play, servers


def _p99(values: list[float]) -> float:
    ordered = sorted(values)
    return ordered[int(0.99 * (len(ordered) - 1))] if ordered else float("nan")


def _first_s(outcomes: list[callers.Outcome]) -> list[float]:
    """Return the times to the first token, or to the answer of a plain request."""
    return [
        item.ended_s if item.first_s is None else item.first_s
        for item in outcomes
        if item.ended_s is not None
    ]


def _fast_enough_fraction(outcomes: list[callers.Outcome]) -> float:
    return sum(item.earned == item.group.worth for item in outcomes) / len(outcomes)


def _parts_by_pace(
    result: play.PlayResult, kind: type[servers.EngineModel | servers.PlainModel]
) -> dict[float, list[float]]:
    """Return each server's requests as a multiple of its region's mean, by pace."""
    by_region = collections.defaultdict(list)
    for server_id, server in result.servers_by_id.items():
        if isinstance(server, kind):
            by_region[server_id.partition("-")[0]].append(server)
    parts = collections.defaultdict(list)
    for of_region in by_region.values():
        mean = statistics.mean(server.n_accepted for server in of_region)
        for server in of_region:
            parts[server.pace.lasting].append(server.n_accepted / mean)
    return parts


def main(
    x: Annotated[list[float], typer.Option(help="Times the usual load.")] = [1.0],  # noqa: B006
    n_seeds: Annotated[int, typer.Option(help="Plays.")] = 3,
    length_s: Annotated[float, typer.Option(help="Time in which requests come.")] = 34,
    stated: Annotated[bool, typer.Option(help="Servers state their pace.")] = True,
    dips: Annotated[bool, typer.Option(help="Servers are slow now and then.")] = True,
) -> None:
    """Print what callers get of servers of unequal pace, for each load.

    For each group of requests: the 99th percentile of the time to the first token and
    the fraction in time. For engines and plain servers: the mean and the greatest
    number of requests of a server, as multiples of its region's mean, by its lasting
    pace. Means over the seeds.
    """
    unevenness = paces.Unevenness(is_stated=stated, dip_fraction=0.15 if dips else 0.0)
    for load_x in x:
        load = play.Load(
            load_x, length_s, play.UNEVEN_REGIONS, callers.UNEVEN_GROUPS, unevenness
        )
        results = [play.run(load, seed) for seed in range(n_seeds)]
        earned = statistics.mean(result.earned_fraction for result in results)
        print(f"load {load_x:4}  worth {earned:.4f}")
        for group in callers.UNEVEN_GROUPS:
            outcomes = [result.of_group(group.name) for result in results]
            p99_s = statistics.mean(_p99(_first_s(items)) for items in outcomes)
            fraction = statistics.mean(_fast_enough_fraction(i) for i in outcomes)
            print(f"  {group.name:9} p99 {p99_s:6.3f} s  in time {fraction:.4f}")
        for name, kind in (
            ("engines", servers.EngineModel),
            ("plain", servers.PlainModel),
        ):
            for pace in sorted(set(unevenness.lasting_paces)):
                parts = [_parts_by_pace(result, kind)[pace] for result in results]
                mean = statistics.mean(statistics.mean(part) for part in parts)
                greatest = statistics.mean(max(part) for part in parts)
                print(
                    f"  {name:9} pace {pace}: mean {mean:.2f} greatest {greatest:.2f}"
                )


if __name__ == "__main__":
    typer.run(main)
