"""The cases of the load tool: load, faults with their times, policies, repeats."""

from typing import Any

import attrs

from bilberryridge.standins.bench import policies

LAKESHORE = "lakeshore"
MALTA = "malta-calce"
USUAL_LAG_S = 0.2


@attrs.frozen
class Fault:
    """A fault that begins and ends within a run.

    Parameters
    ----------
    begin_s, end_s : float
        Since the start of the run.
    server : str
        Backend server that it strikes; ``*`` for all; empty for a failure domain.
    domain : str
        Failure domain that is cut off from all others and from the platform.
    command : dict
        Sent to the control port.
    """

    begin_s: float
    end_s: float
    server: str = ""
    domain: str = ""
    command: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Case:
    """One case.

    Parameters
    ----------
    name : str
    deployment : str
    load : float
        As a share of capacity.
    duration_s : float
    policies : tuple of str
    n_repeats : int
    fault : Fault or None
    report_lag_s : float
    greedy : str
        Organisation that sends `GREEDY_FACTOR` times its share; empty for none.
    """

    name: str
    deployment: str
    load: float
    duration_s: float = 10.0
    policies: tuple[str, ...] = (policies.OURS, *policies.BASELINES)
    n_repeats: int = 1
    fault: Fault | None = None
    report_lag_s: float = USUAL_LAG_S
    greedy: str = ""


GREEDY_FACTOR = 10.0
QUICK_POLICIES = (policies.OURS, policies.FEWEST, policies.TWO_CHOICES)
PAIR = (policies.OURS, policies.TWO_CHOICES)
ENGINE = "grower-assistant"

QUICK = (
    Case("0.8", LAKESHORE, 0.8, 9.0, QUICK_POLICIES),
    Case("1.2", LAKESHORE, 1.2, 11.0, QUICK_POLICIES),
)

FULL = (
    Case("0.5", LAKESHORE, 0.5, 8.0, PAIR),
    Case("0.8", LAKESHORE, 0.8, 10.0, QUICK_POLICIES, n_repeats=3),
    Case("0.8, others", LAKESHORE, 0.8, 10.0, (policies.RANDOM, policies.ROUND_ROBIN)),
    Case("0.95", LAKESHORE, 0.95, 10.0, PAIR),
    Case("1.2", LAKESHORE, 1.2, 15.0, PAIR, n_repeats=3),
    Case(
        "half a region lost 4 to 8 s",
        LAKESHORE,
        0.6,
        14.0,
        PAIR,
        fault=Fault(4.0, 8.0, f"{ENGINE}-grand-haven-1", command={"kind": "kill"}),
    ),
    Case(
        "one server 4 times slower",
        LAKESHORE,
        0.6,
        12.0,
        PAIR,
        fault=Fault(
            2.0,
            10.0,
            f"{ENGINE}-painesville-1",
            command={"kind": "answers", "slow_factor": 4.0},
        ),
    ),
    Case(
        "partition 4 to 8 s",
        LAKESHORE,
        0.6,
        16.0,
        PAIR,
        fault=Fault(4.0, 8.0, domain="painesville"),
    ),
    Case(
        "load reports absent",
        LAKESHORE,
        0.8,
        12.0,
        PAIR,
        fault=Fault(0.0, 12.0, "*", command={"kind": "answers", "is_silent": True}),
    ),
    Case("greedy organisation alone out", LAKESHORE, 0.6, 10.0, (policies.OURS,)),
    Case(
        "greedy organisation",
        LAKESHORE,
        0.6,
        10.0,
        PAIR,
        greedy="landscapers",
    ),
    Case("load reports 5 s late", LAKESHORE, 0.8, 12.0, PAIR, report_lag_s=5.0),
    Case("0.5", MALTA, 0.5, 8.0, (policies.OURS,)),
    Case("0.8", MALTA, 0.8, 10.0, PAIR),
    Case("0.95", MALTA, 0.95, 10.0, (policies.OURS,)),
    Case("1.2", MALTA, 1.2, 12.0, PAIR),
)
