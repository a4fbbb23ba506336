"""What happens in a run, drawn from its seed."""

import enum
import random
from collections.abc import Callable, Mapping, Sequence

import attrs

from bilberryridge.standins.simulation import faults, paths

LENGTH_S = 45.0
"""Time in which callers send."""
FAULTS_WITHIN_S = 30.0
MAX_FAULT_S = 15.0
MAX_FAULTS, MAX_DISTURBANCES, MAX_REPEATED = 5, 3, 2
MAX_LOST_PATHS = 2
MAX_FLEET_REPEATED = 4
CRASH = faults.Effect(crash=True)
MAX_CUT_OFF = 4
"""Of six daemons; two at least reach the servers if the losses don't overlap."""
ALL_SERVERS_FRACTION = 0.7
"""Losses that concern all servers."""
LIMITS_PER_S = (0.0, 0.4, 1.0, 2.2, 5.0, 20.0)
ASKED_S = (0.3, 2.0, 8.0, 40.0)


@attrs.frozen
class Layout:
    """The failure domains of a deployment, and what stands in each.

    Parameters
    ----------
    domains : mapping of str to sequence of str
        By region.
    n_daemons, n_servers : mapping of str to int
        By failure domain.
    """

    domains: Mapping[str, Sequence[str]]
    n_daemons: Mapping[str, int]
    n_servers: Mapping[str, int]

    @property
    def region_by_domain(self) -> dict[str, str]:
        """The region of each failure domain."""
        return {d: region for region, each in self.domains.items() for d in each}

    def vm_names(self) -> list[str]:
        """Return the names of the VMs of all failure domains."""
        return _numbered(self.n_daemons, "vm")

    def server_names(self) -> list[str]:
        """Return the ids of the backend servers."""
        return _numbered(self.n_servers, "s")


def _numbered(counts: Mapping[str, int], kind: str) -> list[str]:
    return [
        f"{domain}-{kind}{n}" for domain, count in counts.items() for n in range(count)
    ]


SMALL = Layout(
    {"east": ("d1", "d2"), "west": ("d3",)},
    {"d1": 2, "d2": 2, "d3": 2},
    {"d1": 2, "d2": 1, "d3": 1},
)
FLEET = Layout(
    {"east": ("d1", "d2"), "west": ("d3",)},
    {"d1": 11, "d2": 11, "d3": 4},
    {"d1": 8, "d2": 8, "d3": 3},
)
"""A region with as many daemons as the grown deployments have."""


class Disturbance(enum.Enum):
    """What may happen to a daemon or the store."""

    KILL = "kill"
    FREEZE = "freeze"
    CUT = "cut"
    STORE_AWAY = "store away"


@attrs.frozen
class Step:
    """A disturbance of a VM, or of the store if `vm` is empty."""

    at_s: float
    for_s: float
    kind: Disturbance
    vm: str = ""


@attrs.frozen
class Repeated:
    """A request that callers send again and again, with new ids."""

    content_id: str
    from_s: float
    requests_per_s: float
    is_repeatable: bool


@attrs.frozen
class Schedule:
    """All that happens in a run besides the steady traffic.

    Parameters
    ----------
    seed : int
    requests_per_s : float
    faults : tuple of Fault
    steps : tuple of Step
    repeated : tuple of Repeated
    lost_paths : tuple of LostPaths
    layout : Layout
    lost_packets : float
        Fraction of the packets from servers that arrive with a retransmission.
    """

    seed: int
    requests_per_s: float
    faults: tuple[faults.Fault, ...]
    steps: tuple[Step, ...]
    repeated: tuple[Repeated, ...]
    lost_paths: tuple[paths.LostPaths, ...] = ()
    layout: Layout = SMALL
    lost_packets: float = 0.0

    @property
    def quiet_s(self) -> float:
        """When the last fault and disturbance have ended."""
        fault_ends_s = [fault.until_s for fault in self.faults]
        step_ends_s = [step.at_s + step.for_s for step in self.steps]
        path_ends_s = [lost.at_s + lost.for_s for lost in self.lost_paths]
        return max([*fault_ends_s, *step_ends_s, *path_ends_s], default=0.0)


def draw(seed: int) -> Schedule:
    """Draw a schedule; the same for the same seed.

    Examples
    --------
    >>> draw(7) == draw(7)
    True
    """
    random_state = random.Random(seed)
    repeated = tuple(
        Repeated(
            f"repeated-{n}",
            random_state.uniform(0.5, 8.0),
            random_state.choice([1.0, 3.0, 8.0]),
            random_state.random() < 0.5,
        )
        for n in range(random_state.randint(0, MAX_REPEATED))
    )
    planned = tuple(
        _draw_fault(random_state, repeated)
        for _ in range(random_state.randint(1, MAX_FAULTS))
    )
    steps = tuple(
        _draw_step(random_state)
        for _ in range(random_state.randint(0, MAX_DISTURBANCES))
    )
    requests_per_s = random_state.choice([10.0, 30.0, 80.0])
    return Schedule(seed, requests_per_s, planned, steps, repeated)


def draw_with_lost_paths(seed: int) -> Schedule:
    """Draw a schedule in which some daemons lose their paths to servers.

    Few other faults are drawn, and none that treats the daemons differently.
    """
    base = draw(seed)
    random_state = random.Random(f"paths {seed}")
    alike = [f for f in base.faults if not isinstance(f.trigger, faults.Sender)]
    return attrs.evolve(
        base,
        faults=tuple(alike[: random_state.randint(0, 1)]),
        steps=base.steps[: random_state.randint(0, 1)],
        repeated=base.repeated[: random_state.randint(0, 1)],
        lost_paths=tuple(
            _draw_lost_paths(random_state)
            for _ in range(random_state.randint(1, MAX_LOST_PATHS))
        ),
    )


def _draw_lost_paths(
    random_state: random.Random, layout: Layout = SMALL
) -> paths.LostPaths:
    lost = [state for state in paths.State if state is not paths.State.OPEN]
    vms = random_state.sample(layout.vm_names(), random_state.randint(1, MAX_CUT_OFF))
    all_servers = layout.server_names()
    some = random_state.sample(all_servers, random_state.randint(1, len(all_servers)))
    return paths.LostPaths(
        random_state.uniform(2.0, 0.5 * FAULTS_WITHIN_S),
        random_state.uniform(3.0, MAX_FAULT_S),
        random_state.choice(lost),
        tuple(sorted(vms)),
        () if random_state.random() < ALL_SERVERS_FRACTION else tuple(sorted(some)),
    )


def draw_fleet(seed: int) -> Schedule:
    """Draw a schedule in which requests crash servers before many daemons.

    Daemons stand still or are cut off meanwhile, lose paths, and packets are lost.
    """
    random_state = random.Random(f"fleet {seed}")
    from_s = random_state.uniform(1.0, 4.0)
    repeated = tuple(
        Repeated(
            f"repeated-{n}", from_s, random_state.choice([1.0, 3.0, 8.0]), n % 2 == 0
        )
        for n in range(random_state.randint(1, MAX_FLEET_REPEATED))
    )
    crashing = tuple(
        faults.Fault(
            "", from_s, FAULTS_WITHIN_S, faults.Content(each.content_id), CRASH
        )
        for each in repeated
    )
    vms = FLEET.vm_names()
    steps = tuple(
        Step(
            random_state.uniform(1.0, 0.5 * FAULTS_WITHIN_S),
            random_state.uniform(1.0, MAX_FAULT_S),
            random_state.choice([Disturbance.FREEZE, Disturbance.CUT]),
            vm,
        )
        for vm in random_state.sample(vms, random_state.choice([0, 1, 3, 6]))
    )
    lost_paths = tuple(
        _draw_lost_paths(random_state, FLEET)
        for _ in range(random_state.choice([0, 0, 1]))
    )
    return Schedule(
        seed,
        random_state.choice([80.0, 240.0]),
        crashing,
        steps,
        repeated,
        lost_paths,
        FLEET,
        random_state.choice([0.0, 0.0, 0.03]),
    )


DRAWS: dict[str, Callable[[int], Schedule]] = {
    "servers": draw,
    "paths": draw_with_lost_paths,
    "fleet": draw_fleet,
}
"""Ways to draw a schedule, by what fails above all."""


def _draw_fault(
    random_state: random.Random, repeated: tuple[Repeated, ...]
) -> faults.Fault:
    server_id = random_state.choice(["", *SMALL.server_names()])
    from_s = random_state.uniform(1.0, 0.6 * FAULTS_WITHIN_S)
    until_s = from_s + random_state.uniform(2.0, MAX_FAULT_S)
    triggers: list[faults.Trigger] = [
        faults.Share(1.0),
        faults.Share(random_state.uniform(0.02, 0.5)),
        faults.Sender(random_state.choice(SMALL.vm_names())),
        faults.EachNth(random_state.randint(2, 9)),
        *(faults.Content(each.content_id) for each in repeated),
    ]
    trigger = random_state.choice(triggers)
    return faults.Fault(server_id, from_s, until_s, trigger, _draw_effect(random_state))


def _draw_effect(random_state: random.Random) -> faults.Effect:
    effects = [
        faults.Effect(crash=True),
        faults.Effect(silent=True),
        faults.Effect(reset=True),
        faults.Effect(not_run=True),
        faults.Effect(status=500),
        faults.Effect(slowdown=random_state.uniform(2.0, 30.0)),
        faults.Effect(is_leaving=True),
        faults.Effect(asked_s=random_state.choice(ASKED_S)),
        faults.Effect(limit_per_s=random_state.choice(LIMITS_PER_S)),
    ]
    return faults.combine(random_state.sample(effects, random_state.choice([1, 1, 2])))


def _draw_step(random_state: random.Random) -> Step:
    kind = random_state.choice(list(Disturbance))
    at_s = random_state.uniform(1.0, 0.7 * FAULTS_WITHIN_S)
    for_s = random_state.uniform(0.5, 6.0)
    vm = "" if kind is Disturbance.STORE_AWAY else random_state.choice(SMALL.vm_names())
    return Step(at_s, for_s, kind, vm)
