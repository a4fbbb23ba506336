"""Random fault schedules, reproducible from a seed."""

import enum
import random

import attrs


class Fault(enum.Enum):
    """Kind of fault; each ends by itself or is reverted after its duration."""

    KILL = "kill a daemon"
    TERMINATE = "stop a daemon as planned"
    PAUSE = "freeze a daemon"
    HANG_UP = "send SIGHUP to a daemon"
    STORE_DOWN = "turn all calls of the store away"
    STORE_REFUSES = "turn one daemon's calls of the store away"
    STORE_LOSES = "lose answers of the store's writes"
    STORE_FORGETS = "drop the store's history"
    STORE_LAPSES = "end all leases"
    STORE_LINK = "disturb the connections to the store"
    SERVER_FAULTS = "let a backend server fail requests"
    SERVER_LINK = "disturb the connections to a backend server"
    SERVER_LEAVES = "take a backend server out and back"
    EVACUATE = "evacuate a failure domain"
    CONFIGURE = "change the routing table"
    STORE_RESTORED = "let the store come back from an older copy"
    SERVER_ENDLESS = "let a backend server send without end"
    SERVER_BREAKS_OFF = "let an engine break its streams off"
    SERVER_SAYS_LEAVING = "let a backend server say in its answers that it leaves"
    SERVICE_BUSY = "let backend servers of a service ask to be left alone"
    SERVICE_LIMITED = "let backend servers of a service name a rate limit"
    CRASHING_REQUEST = "send a request that crashes backend servers again and again"
    SERVERS_PAUSE = "let all backend servers of a service stand still for a second"
    CRASHING_PROMPT = "send prompts with a part that crashes engines in several ways"


ALL_FAULTS = tuple(fault for fault in Fault if fault is not Fault.CRASHING_PROMPT)
FIRST_FAULTS = ALL_FAULTS[: ALL_FAULTS.index(Fault.CONFIGURE) + 1]
"""The kinds from which the schedules of seeds up to 999 are drawn, so that a seed keeps
its schedule when kinds are added."""
SECOND_FAULTS = ALL_FAULTS[: ALL_FAULTS.index(Fault.SERVER_ENDLESS) + 1]
"""Likewise for the seeds from 1,000 to 1,999."""
THIRD_FAULTS = ALL_FAULTS[: ALL_FAULTS.index(Fault.SERVICE_BUSY) + 1]
"""Likewise for the seeds from 2,000 to 2,999."""
FOURTH_FAULTS = ALL_FAULTS[: ALL_FAULTS.index(Fault.CRASHING_REQUEST) + 1]
"""Likewise for the seeds from 3,000 to 4,999."""
FIRST_SEED_OF_SECOND, FIRST_SEED_OF_THIRD, FIRST_SEED_OF_FOURTH = 1_000, 2_000, 3_000
FIRST_SEED_OF_ALL = 5_000


@attrs.frozen
class Step:
    """One fault.

    Parameters
    ----------
    at_s, duration_s : float
        Start, in seconds from the start of the run, and duration.
    fault : Fault
    choice_seed : int
        Seed for the choice of the target and of the fault's parameters.
    """

    at_s: float
    duration_s: float
    fault: Fault
    choice_seed: int


def draw(seed: int, length_s: float, n_steps: int) -> list[Step]:
    """Draw a schedule; the same for the same arguments.

    Seeds from `FIRST_SEED_OF_ALL` on draw from all kinds of fault.

    Few kinds of fault are drawn and repeated, and faults overlap; seeds from
    `FIRST_SEED_OF_ALL` on have prompts that crash engines besides. All have ended
    before the last third of the run, in which the deployment must recover.

    Examples
    --------
    >>> draw(1, 9.0, 3) == draw(1, 9.0, 3)
    True
    >>> max(step.at_s + step.duration_s for step in draw(2, 9.0, 20)) <= 6.0
    True
    """
    random_state = random.Random(seed)
    kinds = _kinds_of(seed)
    faults = random_state.sample(kinds, min(len(kinds), max(2, n_steps // 2)))
    end_s = length_s * 2 / 3
    steps = []
    for _ in range(n_steps):
        at_s = random_state.uniform(0.5, end_s * 0.8)
        duration_s = min(random_state.uniform(0.3, 3.0), end_s - at_s)
        fault = random_state.choice(faults)
        steps.append(Step(at_s, duration_s, fault, random_state.randrange(1 << 30)))
    if seed >= FIRST_SEED_OF_ALL:
        # The bound on what still reaches engines begins seconds after the crashes.
        at_s, fault = random_state.uniform(0.5, end_s / 4), Fault.CRASHING_PROMPT
        steps.append(Step(at_s, end_s - at_s, fault, random_state.randrange(1 << 30)))
    return sorted(steps, key=lambda step: step.at_s)


def _kinds_of(seed: int) -> tuple[Fault, ...]:
    if seed < FIRST_SEED_OF_SECOND:
        return FIRST_FAULTS
    if seed < FIRST_SEED_OF_THIRD:
        return SECOND_FAULTS
    if seed < FIRST_SEED_OF_FOURTH:
        return THIRD_FAULTS
    return FOURTH_FAULTS if seed < FIRST_SEED_OF_ALL else ALL_FAULTS
