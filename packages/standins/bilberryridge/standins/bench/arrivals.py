"""Open-loop arrivals from a seed, with daily peaks shifted between regions.

A run is one day. Each organisation's arrivals are a Poisson process of their own, so
that a change of one leaves the others' as they are.
"""

import functools
import math
import random
from collections.abc import Sequence

import attrs

from bilberryridge.core import documents
from bilberryridge.standins import batch, expected

LONG_SHARE = 0.15
BOUND_SHARE = 0.15
"""Share of requests of organisations whose data must stay in their home region."""

PEAK_SHARE = 0.3
"""How far a region's peak is above its mean."""

N_CALLERS = 8
N_QUICK_PREFIXES = 6
N_LONG_PREFIXES = 3
QUICK_PREFIX_BYTES = 2560
LONG_PREFIX_BYTES = 5120
QUESTION_BYTES = 160
QUICK_TOKENS = (8, 24)
LONG_TOKENS = (60, 100)
WARM_UP_S = 3.0
"""Arrivals of so long before the run fill its caches and do not count."""

MISS_SHARE = 0.25
"""Share of shared prompt tokens taken to be computed anew, for the capacity."""

QUICK_NEED_S = 3.0
LONG_NEED_S = 8.0


@attrs.frozen
class Arrival:
    """One request.

    Parameters
    ----------
    at_s : float
        Intended send time, since the start of the run; negative for the warm-up.
    organisation : str
    is_long : bool
        A digest or critique; else a quick question.
    n_output_tokens : int
    prefix, question, caller : int
        Which of the organisation's shared prefixes, its own part, and who asks.
    """

    at_s: float
    organisation: str
    is_long: bool
    n_output_tokens: int
    prefix: int
    question: int
    caller: int

    @property
    def need_s(self) -> float:
        """Time from the intended send in which the whole answer is of use."""
        return LONG_NEED_S if self.is_long else QUICK_NEED_S


def server_s_per_request(speed: batch.Speed) -> float:
    """Server time that a mean request takes of a full engine."""

    def one(tokens: tuple[int, int], prefix_bytes: int) -> float:
        n_new = QUESTION_BYTES + MISS_SHARE * prefix_bytes
        prefill_s = n_new / expected.BYTES_PER_TOKEN / speed.prefill_tokens_per_s
        return sum(tokens) / 2 * speed.full_step_s / speed.n_slots + prefill_s

    quick_s = one(QUICK_TOKENS, QUICK_PREFIX_BYTES)
    long_s = one(LONG_TOKENS, LONG_PREFIX_BYTES)
    return (1.0 - LONG_SHARE) * quick_s + LONG_SHARE * long_s


def capacity_per_s(speed: batch.Speed, n_engines: int) -> float:
    """Requests a second that the engines together can answer."""
    return n_engines / server_s_per_request(speed)


def shares(organisations: Sequence[documents.Organisation]) -> dict[str, float]:
    """Return each organisation's share of all requests.

    Those bound to their home have `BOUND_SHARE` together; the other home regions
    share the rest equally, as do organisations of one home.

    Examples
    --------
    >>> bound = documents.Organisation("a", "ontario", ("ontario",))
    >>> shares([bound, documents.Organisation("b", "ohio")])
    {'a': 0.15, 'b': 0.85}
    """
    bound = [org for org in organisations if org.regions == (org.home_region,)]
    free = [org for org in organisations if org not in bound]
    found = {org.name: BOUND_SHARE / len(bound) for org in bound}
    homes = [org.home_region for org in free]
    for org in free:
        of_home = (1.0 - BOUND_SHARE) / len(set(homes))
        found[org.name] = of_home / homes.count(org.home_region)
    return found


def generate(
    organisation: str, rate_per_s: float, duration_s: float, phase: float, seed: int
) -> list[Arrival]:
    """Return an organisation's arrivals in order, from `WARM_UP_S` before the start.

    Parameters
    ----------
    rate_per_s : float
        Mean over the day.
    duration_s : float
        Length of the day.
    phase : float
        When its peak comes, as a share of the day.
    """
    random_state = random.Random(f"{seed}/{organisation}")
    highest = rate_per_s * (1.0 + PEAK_SHARE)
    found: list[Arrival] = []
    at_s = random_state.expovariate(highest) - WARM_UP_S
    while at_s < duration_s:
        angle = 2.0 * math.pi * (at_s / duration_s - phase)
        rate = rate_per_s * (1.0 + PEAK_SHARE * math.cos(angle))
        if random_state.random() * highest < rate:
            found.append(_arrival(at_s, organisation, len(found), random_state))
        at_s += random_state.expovariate(highest)
    return found


def _arrival(
    at_s: float, organisation: str, n: int, random_state: random.Random
) -> Arrival:
    is_long = random_state.random() < LONG_SHARE
    n_prefixes = N_LONG_PREFIXES if is_long else N_QUICK_PREFIXES
    often = [1.0 / (k + 1) for k in range(n_prefixes)]
    return Arrival(
        at_s=at_s,
        organisation=organisation,
        is_long=is_long,
        n_output_tokens=random_state.randint(
            *(LONG_TOKENS if is_long else QUICK_TOKENS)
        ),
        prefix=random_state.choices(range(n_prefixes), often)[0],
        question=n,
        caller=random_state.randrange(N_CALLERS),
    )


def body(arrival: Arrival, model: str, salt: str) -> dict:
    """Return the chat request; another `salt` gives prompts that no cache holds."""
    kind = "long" if arrival.is_long else "quick"
    n_bytes = LONG_PREFIX_BYTES if arrival.is_long else QUICK_PREFIX_BYTES
    owner = f"{salt}/{arrival.organisation}"
    prefix = _text(f"{owner}/{kind}/{arrival.prefix}", n_bytes)
    question = _text(f"{owner}/{arrival.question}", QUESTION_BYTES)
    fields = {
        "model": model,
        "stream": True,
        "max_tokens": arrival.n_output_tokens,
        "messages": [
            {"role": "system", "content": prefix},
            {"role": "user", "content": question},
        ],
    }
    return {**fields, "service_tier": "flex"} if arrival.is_long else fields


@functools.lru_cache(maxsize=256)
def _text(name: str, n_bytes: int) -> str:
    random_state = random.Random(name)
    n_words = n_bytes // 4
    text = f"{name} " + " ".join(random_state.choices(expected.WORDS, k=n_words))
    return text[:n_bytes]
