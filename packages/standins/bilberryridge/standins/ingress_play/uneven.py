"""Servers of unequal pace: ``python -m bilberryridge.standins.ingress_play.uneven``."""

import collections
import statistics
from typing import Annotated

import attrs
import typer

from bilberryridge.standins.ingress_play import callers, changes, paces, play, servers


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
        mean = statistics.mean(len(server.accepted_s) for server in of_region)
        for server in of_region:
            parts[server.pace.lasting].append(len(server.accepted_s) / mean)
    return parts


FAIR_FRACTION = 0.9
FAIR_WINDOW_S = 0.5
"""A server has its fair part once it accepts that fraction of what the servers of its
kind and region that stayed accept on average in such a time, by pace."""
RETURN_S = 5.0
"""Time after the return whose requests are counted."""
AWAY_FROM_S, AWAY_UNTIL_S = 4.0, 7.0
"""Within the peak of the first region."""


def _servers_away(away: str) -> frozenset[str]:
    names = [
        f"{region.name}-{kind}-{n}"
        for region in play.UNEVEN_REGIONS
        for kind, n_servers in (
            ("engine", region.n_engines),
            ("plain", region.n_plain_servers),
        )
        for n in range(n_servers)
    ]
    if away == "one":
        return frozenset(["ontario-engine-1"])
    return frozenset(names[::4])


def _fair_after_s(
    result: play.PlayResult, server_id: str, away: frozenset[str]
) -> float:
    """Return the time from a server's return until it has its fair part."""
    kind = server_id.rpartition("-")[0]
    server = result.servers_by_id[server_id]
    others = [
        other
        for other_id, other in result.servers_by_id.items()
        if other_id.rpartition("-")[0] == kind and other_id not in away
    ]

    def weight(of_server: servers.Server, since_s: float) -> float:
        until_s = since_s + FAIR_WINDOW_S
        n_accepted = sum(since_s <= at_s < until_s for at_s in of_server.accepted_s)
        return n_accepted * of_server.pace.lasting

    for tick in range(100):
        since_s = AWAY_UNTIL_S + tick / 10
        mean = statistics.mean(weight(other, since_s) for other in others)
        if weight(server, since_s) >= FAIR_FRACTION * mean:
            return tick / 10
    return 10.0


def _print_return(results: list[play.PlayResult], away: frozenset[str]) -> None:
    fair_s = [
        _fair_after_s(result, server_id, away)
        for result in results
        for server_id in sorted(away)
    ]
    since = [
        item
        for result in results
        for item in result.outcomes
        if AWAY_UNTIL_S <= item.started_s < AWAY_UNTIL_S + RETURN_S
    ]
    n_lost = sum(item.ended_s is None for item in since)
    n_late = sum(0 < item.earned < item.group.worth for item in since)
    n_refused = sum(item.n_refusals > 0 for item in since)
    print(
        f"  return of {len(away)}: fair part after {statistics.mean(fair_s):.2f} s"
        f" (most {max(fair_s):.1f}); of {len(since)} requests lost {n_lost},"
        f" late {n_late}, refused at first {n_refused}"
    )


def main(
    x: Annotated[list[float], typer.Option(help="Times the usual load.")] = [1.0],  # noqa: B006
    n_seeds: Annotated[int, typer.Option(help="Plays.")] = 3,
    length_s: Annotated[float, typer.Option(help="Time in which requests come.")] = 34,
    stated: Annotated[bool, typer.Option(help="Servers state their pace.")] = True,
    dips: Annotated[bool, typer.Option(help="Servers are slow now and then.")] = True,
    away: Annotated[str, typer.Option(help="one or quarter: away for 3 s.")] = "",
    slow_s: Annotated[float, typer.Option(help="They return slow for so long.")] = 0,
    daemons_x: Annotated[int, typer.Option(help="Times as many daemons.")] = 1,
    change: Annotated[list[str], typer.Option(help="MODULE.CONSTANT=VALUE.")] = [],  # noqa: B006
) -> None:
    """Print what callers get of servers of unequal pace, for each load.

    For each group of requests: the 99th percentile of the time to the first token and
    the fraction in time. For engines and plain servers: the mean and the greatest
    number of requests of a server, as multiples of its region's mean, by its lasting
    pace. Means over the seeds.
    """
    unevenness = paces.Unevenness(is_stated=stated, dip_fraction=0.15 if dips else 0.0)
    changes.set_constants(change)
    outage = None
    if away:
        outage = play.Restart(_servers_away(away), AWAY_FROM_S, AWAY_UNTIL_S, slow_s)
    regions = tuple(
        attrs.evolve(region, n_daemons=daemons_x * region.n_daemons)
        for region in play.UNEVEN_REGIONS
    )
    for load_x in x:
        load = play.Load(
            load_x,
            length_s,
            regions,
            callers.UNEVEN_GROUPS,
            unevenness,
            outage,
        )
        results = [play.run(load, seed) for seed in range(n_seeds)]
        earned = statistics.mean(result.earned_fraction for result in results)
        print(f"load {load_x:4}  worth {earned:.4f}")
        if outage is not None:
            _print_return(results, outage.servers)
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
