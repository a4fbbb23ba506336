"""Compare rules of placement: ``python -m bilberryridge.standins.ingress_play``."""

import importlib
import statistics
from typing import Annotated

import typer

from bilberryridge.standins.ingress_play import baselines, callers, play

PRODUCT = "bilberryridge.decisions.ingress"


def _set(changes: list[str]) -> None:
    """Change constants of the decisions, written ``placement.READ_WEIGHT=2.0``."""
    for change in changes:
        name, _, value = change.partition("=")
        module_name, _, constant = name.partition(".")
        module = importlib.import_module(f"{PRODUCT}.{module_name}")
        if not hasattr(module, constant):
            raise typer.BadParameter(f"no constant {name}")
        setattr(module, constant, float(value))


def _in_time(played: play.Played, group: str) -> float:
    seen = played.of(group)
    return sum(item.earned == item.group.worth for item in seen) / len(seen)


def _unanswered(played: play.Played) -> float:
    return sum(item.ended_s is None for item in played.seen) / len(played.seen)


def main(
    x: Annotated[list[float], typer.Option(help="Times the usual load.")] = [1.0],  # noqa: B006
    n_seeds: Annotated[int, typer.Option(help="Plays of each rule.")] = 3,
    rules: Annotated[str, typer.Option(help="Rules, by commas.")] = "",
    change: Annotated[list[str], typer.Option(help="MODULE.CONSTANT=VALUE.")] = [],  # noqa: B006
    grown: Annotated[bool, typer.Option(help="The grown deployment.")] = False,
    length_s: Annotated[float, typer.Option(help="Time in which requests come.")] = 34,
) -> None:
    """Print means: worth, in time by group, unanswered, tokens read again, fetched."""
    _set(change)
    regions = play.GROWN if grown else play.REGIONS
    groups = callers.GROWN_GROUPS if grown else callers.GROUPS
    names = [group.name for group in groups]
    for load_x in x:
        head = "".join(
            f"{name:>9}" for name in ["worth", *names, "none", "again", "fetched"]
        )
        print(f"load {load_x:4}  {head}")
        for rule in rules.split(",") if rules else baselines.RULES:
            choose = baselines.RULES[rule]
            load = play.Load(load_x, length_s, regions, groups)
            plays = [play.run(load, seed, choose) for seed in range(n_seeds)]
            rows = [
                [
                    played.part_earned,
                    *(_in_time(played, name) for name in names),
                    _unanswered(played),
                    played.n_read_again / 1e6,
                    played.n_fetched / 1e6,
                ]
                for played in plays
            ]
            means = [statistics.mean(column) for column in zip(*rows, strict=True)]
            print(f"{rule:11}" + "".join(f"{mean:9.3f}" for mean in means))


if __name__ == "__main__":
    typer.run(main)
