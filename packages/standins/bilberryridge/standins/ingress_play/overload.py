"""Tables of who is served when callers ask for more than the servers can do."""

import statistics
from collections.abc import Callable, Sequence

import attrs

from bilberryridge.standins.ingress_play import callers, play

HEADER = ("offered", "in time", "late", "twice", "none", "gone", "engine")
"""Columns of a table; see `Row`."""


@attrs.frozen
class Row:
    """What became of some requests.

    Parameters
    ----------
    n_offered : int
    in_time, late : float
        Fractions that were answered within the goal, and later but in the timeout.
    refused_twice : float
        Fraction that was refused more than once.
    unanswered : float
        Fraction without an answer, for any reason.
    gone : float
        Fraction whose caller left before its timeout.
    engine_fraction : float
        Fraction of all used engine time.
    """

    n_offered: int
    in_time: float
    late: float
    refused_twice: float
    unanswered: float
    gone: float
    engine_fraction: float

    def text(self, name: str) -> str:
        """Return the row as a line of the table."""
        fractions = (
            self.in_time,
            self.late,
            self.refused_twice,
            self.unanswered,
            self.gone,
            self.engine_fraction,
        )
        cells = "".join(f"{fraction:9.3f}" for fraction in fractions)
        return f"{name:24}{self.n_offered:9}{cells}"


def row(outcomes: Sequence[callers.Outcome], all_engine_s: float) -> Row:
    """Return what became of some requests."""
    n = max(1, len(outcomes))

    def fraction(matches: Callable[[callers.Outcome], bool]) -> float:
        return sum(map(matches, outcomes)) / n

    return Row(
        len(outcomes),
        fraction(lambda item: item.is_in_time),
        fraction(lambda item: item.earned > 0 and not item.is_in_time),
        fraction(lambda item: item.n_refusals > 1),
        fraction(lambda item: item.earned == 0),
        fraction(lambda item: item.left_s is not None),
        sum(item.usage.engine_s for item in outcomes) / max(1e-9, all_engine_s),
    )


@attrs.frozen
class Summary:
    """Figures of one play.

    Parameters
    ----------
    earned_fraction : float
        Fraction of the worth of all requests that was earned.
    busy_fraction : float
        Used engine time by the engines' time while requests arrive; also an engine
        that decodes a single stream counts as busy.
    wasted_gone, wasted_late : float
        Fractions of the used engine time for callers that got no answer, and for
        answers later than the goal.
    prompt_refusals : float
        Fraction of the refusals within an eighth of the goal.
    worst_share : float
        Lowest fraction of requests in time of an organisation, by that of all.
    """

    earned_fraction: float
    busy_fraction: float
    wasted_gone: float
    wasted_late: float
    prompt_refusals: float
    worst_share: float


def summary(result: play.PlayResult, load: play.Load) -> Summary:
    """Return the figures of one play."""
    outcomes = result.outcomes
    used_s = sum(item.usage.engine_s for item in outcomes)
    refusals = [
        took_s <= item.group.goal_s / 8
        for item in outcomes
        for took_s in item.answered_refusals_s
    ]
    n_engines = sum(region.n_engines for region in load.regions)
    unserved = [item for item in outcomes if item.earned == 0]
    late = [item for item in outcomes if item.earned and not item.is_in_time]
    in_time = row(outcomes, used_s).in_time
    worst = min(
        (row(of_name, used_s).in_time for of_name in by_organisation(result).values()),
        default=in_time,
    )
    return Summary(
        result.earned_fraction,
        used_s / n_engines / load.length_s,
        sum(item.usage.engine_s for item in unserved) / used_s,
        sum(item.usage.engine_s for item in late) / used_s,
        statistics.mean(refusals) if refusals else 1.0,
        worst / in_time,
    )


def by_organisation(result: play.PlayResult) -> dict[str, list[callers.Outcome]]:
    """Return the outcomes of each organisation."""
    outcomes: dict[str, list[callers.Outcome]] = {}
    for item in result.outcomes:
        if item.organisation:
            outcomes.setdefault(item.organisation, []).append(item)
    return outcomes


def print_table(result: play.PlayResult, load: play.Load) -> None:
    """Print who was served, by kind and priority and by organisation."""
    used_s = sum(item.usage.engine_s for item in result.outcomes)
    print(f"{'':24}" + "".join(f"{name:>9}" for name in HEADER))
    for group in load.groups:
        name = f"{group.name}, priority {group.priority}"
        print(row(result.of_group(group.name), used_s).text(name))
    of_organisations = by_organisation(result)
    for name in load.organisations.names:
        print(row(of_organisations.get(name, ()), used_s).text(name))
    figures = attrs.asdict(summary(result, load))
    print("  ".join(f"{name} {value:.3f}" for name, value in figures.items()))
