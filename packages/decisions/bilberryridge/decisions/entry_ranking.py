"""Ranking of the entry VMs that an organisation's callers should use.

Rendezvous hashing gives each organisation a small, stable set in its home domain, so
that limits, prefix caches and the effects of a failure stay local. VMs of other allowed
domains follow as alternatives.

References
----------
D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
IEEE/ACM Transactions on Networking 6 (1), 1998.
"""

import math
import random
from collections.abc import Collection, Sequence

import attrs

from bilberryridge.core import documents
from bilberryridge.decisions import rendezvous

N_HOME = 2
LIFETIME_S = 20.0
LIFETIME_JITTER = 0.25
LOADED_RATIO = 1.5
OVERLOADED_RATIO = 3.0
LOADED_WEIGHT = 0.5
OVERLOADED_WEIGHT = 0.1
MIN_OPEN_TO_WEIGH = 16


@attrs.frozen
class EntryCandidate:
    """An entry VM and its state as seen by this node.

    Parameters
    ----------
    vm : documents.Vm
    domain, region : str
    is_live : bool
        Whether it accepts new callers: reachable and not leaving.
    n_open : int
        Number of requests open there.
    """

    vm: documents.Vm
    domain: str
    region: str
    is_live: bool
    n_open: int = 0


def rank(
    organisation: str,
    entry_vms: Sequence[EntryCandidate],
    home_domain: str,
    home_region: str,
    allowed_regions: Collection[str],
    n: int,
    random_state: random.Random,
) -> tuple[EntryCandidate, ...]:
    """Rank the entry VMs for a caller, the best first.

    Parameters
    ----------
    home_domain : str
        Empty to choose a domain of the home region by hashing the organisation's name.
    allowed_regions : collection of str
        Regions where the organisation's data may be processed; empty for all.
    n : int
        Maximal number of VMs in the answer.
    random_state : random.Random
        Spreads the organisation's callers over its home set.
    """
    usable = [
        item
        for item in entry_vms
        if item.is_live and (not allowed_regions or item.region in allowed_regions)
    ]
    key = rendezvous.score(organisation, "")
    home_domain = home_domain or _home_domain(organisation, usable, home_region)
    mean_open = sum(item.n_open for item in usable) / max(len(usable), 1)
    by_score = sorted(
        usable, key=lambda item: _score(key, item, mean_open), reverse=True
    )
    home = [item for item in by_score if item.domain == home_domain]
    others = [item for item in by_score if item.domain != home_domain]
    # The sort is stable: the home region by score, then the other regions by score.
    others.sort(key=lambda item: item.region != home_region)
    first = home[:N_HOME]
    random_state.shuffle(first)
    return tuple((first + _spread(others + home[N_HOME:], {home_domain}))[:n])


def lifetime_s(random_state: random.Random) -> float:
    """Validity of an answer, jittered so that callers do not switch VMs in unison."""
    return LIFETIME_S * random_state.uniform(1 - LIFETIME_JITTER, 1 + LIFETIME_JITTER)


def _home_domain(
    organisation: str, usable: list[EntryCandidate], home_region: str
) -> str:
    domains = {item.domain for item in usable if item.region == home_region}
    ranked = rendezvous.ranked(organisation, domains)
    return ranked[0] if ranked else ""


def _score(key: int, item: EntryCandidate, mean_open: float) -> float:
    uniform = (
        rendezvous.fast_score(key, rendezvous.seed(item.vm.name)) + 0.5
    ) / 2.0**64
    return -_weight(item, mean_open) / math.log(uniform)


def _weight(item: EntryCandidate, mean_open: float) -> float:
    # The weight changes in steps: one proportional to the load would change the home
    # sets continually.
    n_typical = max(mean_open, MIN_OPEN_TO_WEIGH)
    if item.n_open > OVERLOADED_RATIO * n_typical:
        return OVERLOADED_WEIGHT
    if item.n_open > LOADED_RATIO * n_typical:
        return LOADED_WEIGHT
    return 1.0


def _spread(items: list[EntryCandidate], domains: set[str]) -> list[EntryCandidate]:
    # One VM of each other domain first, so that the loss of a domain removes one
    # alternative rather than all of them.
    heads: list[EntryCandidate] = []
    rest: list[EntryCandidate] = []
    for item in items:
        (rest if item.domain in domains else heads).append(item)
        domains.add(item.domain)
    return heads + rest
