"""Open-loop arrivals from a seed, with daily peaks shifted between regions.

A run is one day. Each organisation's arrivals are an independent Poisson process, so
that changing one doesn't change the others.
"""

import functools
import math
import random
from collections.abc import Sequence

import attrs

from bilberryridge.core import documents
from bilberryridge.standins import batch, expected

LONG_FRACTION = 0.15
BOUND_FRACTION = 0.15
"""Fraction of requests from organisations whose data must stay in the home region."""

PEAK_FRACTION = 0.3
"""Relative amplitude of a region's peak above its mean rate."""

N_CALLERS = 8
N_QUICK_PREFIXES = 6
N_LONG_PREFIXES = 3
QUICK_PREFIX_BYTES = 2560
LONG_PREFIX_BYTES = 5120
QUESTION_BYTES = 160
QUICK_TOKENS = (8, 24)
LONG_TOKENS = (60, 100)
WARM_UP_S = 3.0
"""Time before the run in which uncounted arrivals fill the caches."""

MISS_FRACTION = 0.25
"""Assumed fraction of shared prompt tokens that are recomputed, for the capacity."""

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
        Indices of the shared prefix, the unshared question and the caller within the
        organisation.
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
        """Time after the intended send within which a complete answer is useful."""
        return LONG_NEED_S if self.is_long else QUICK_NEED_S


def server_s_per_request(speed: batch.Speed) -> float:
    """Return the mean engine time of a request on a fully loaded engine, in seconds."""

    def one(tokens: tuple[int, int], prefix_bytes: int) -> float:
        n_new = QUESTION_BYTES + MISS_FRACTION * prefix_bytes
        prefill_s = n_new / expected.BYTES_PER_TOKEN / speed.prefill_tokens_per_s
        return sum(tokens) / 2 * speed.full_step_s / speed.n_slots + prefill_s

    quick_s = one(QUICK_TOKENS, QUICK_PREFIX_BYTES)
    long_s = one(LONG_TOKENS, LONG_PREFIX_BYTES)
    return (1.0 - LONG_FRACTION) * quick_s + LONG_FRACTION * long_s


def capacity_per_s(speed: batch.Speed, n_engines: int) -> float:
    """Return the requests per second that all engines together can answer."""
    return n_engines / server_s_per_request(speed)


def shares(organisations: Sequence[documents.Organisation]) -> dict[str, float]:
    """Return each organisation's fraction of all requests.

    Organisations bound to their home region send `BOUND_FRACTION` in total. The rest
    is divided equally among the home regions of the others, and within each region
    equally among its organisations.

    Examples
    --------
    >>> bound = documents.Organisation("a", "ontario", ("ontario",))
    >>> shares([bound, documents.Organisation("b", "ohio")])
    {'a': 0.15, 'b': 0.85}
    """
    bound = [org for org in organisations if org.regions == (org.home_region,)]
    free = [org for org in organisations if org not in bound]
    found = {org.name: BOUND_FRACTION / len(bound) for org in bound}
    homes = [org.home_region for org in free]
    for org in free:
        of_home = (1.0 - BOUND_FRACTION) / len(set(homes))
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
        Time of its peak, as a fraction of the day.
    """
    random_state = random.Random(f"{seed}/{organisation}")
    max_rate_per_s = rate_per_s * (1.0 + PEAK_FRACTION)
    found: list[Arrival] = []
    at_s = random_state.expovariate(max_rate_per_s) - WARM_UP_S
    while at_s < duration_s:
        angle = 2.0 * math.pi * (at_s / duration_s - phase)
        rate = rate_per_s * (1.0 + PEAK_FRACTION * math.cos(angle))
        if random_state.random() * max_rate_per_s < rate:
            found.append(_arrival(at_s, organisation, len(found), random_state))
        at_s += random_state.expovariate(max_rate_per_s)
    return found


def _arrival(
    at_s: float, organisation: str, n: int, random_state: random.Random
) -> Arrival:
    is_long = random_state.random() < LONG_FRACTION
    n_prefixes = N_LONG_PREFIXES if is_long else N_QUICK_PREFIXES
    weights = [1.0 / (k + 1) for k in range(n_prefixes)]
    return Arrival(
        at_s=at_s,
        organisation=organisation,
        is_long=is_long,
        n_output_tokens=random_state.randint(
            *(LONG_TOKENS if is_long else QUICK_TOKENS)
        ),
        prefix=random_state.choices(range(n_prefixes), weights)[0],
        question=n,
        caller=random_state.randrange(N_CALLERS),
    )


def body(arrival: Arrival, model: str, salt: str) -> dict:
    """Return the chat request; a new `salt` gives prompts that are in no cache."""
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
