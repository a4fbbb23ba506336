"""Cases of the load tool: load, timed faults, policies and repeats."""

from typing import Any

import attrs

from bilberryridge.standins.bench import policies

LAKESHORE = "lakeshore"
MALTA = "malta-calce"
USUAL_LAG_S = 0.2


@attrs.frozen
class Fault:
    """A fault that is injected during a run.

    Parameters
    ----------
    begin_s, end_s : float
        Since the start of the run.
    server : str
        Affected backend server; ``*`` for all; empty for a failure domain.
    domain : str
        Failure domain that is partitioned from all others and from the platform.
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
    """Load and fault under which policies are compared.

    Parameters
    ----------
    name : str
    deployment : str
    load : float
        As a fraction of capacity.
    duration_s : float
    policies : tuple of str
    n_repeats : int
    fault : Fault or None
    report_lag_s : float
    greedy : str
        Organisation that sends `GREEDY_FACTOR` times its usual load; empty for none.
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
BEST_PAIR = (policies.OURS, policies.FEWEST)
GREEDY = "landscapers"
ENGINE = "grower-assistant"

OURS = (policies.OURS,)
SIMPLE = (policies.RANDOM, policies.ROUND_ROBIN, policies.TWO_CHOICES)

QUICK = (
    Case("0.8", LAKESHORE, 0.8, 8.0, QUICK_POLICIES),
    Case("1.2", LAKESHORE, 1.2, 9.0, QUICK_POLICIES),
)


def _engine(name: str, begin_s: float, end_s: float, **command: Any) -> Fault:
    return Fault(begin_s, end_s, name, command=command)


FULL = (
    Case("0.8", LAKESHORE, 0.8, 8.0, BEST_PAIR, n_repeats=3),
    Case("1.2", LAKESHORE, 1.2, 9.0, BEST_PAIR, n_repeats=3),
    Case("0.8, simpler baselines", LAKESHORE, 0.8, 8.0, SIMPLE),
    Case("0.5", LAKESHORE, 0.5, 8.0, OURS),
    Case("0.95", LAKESHORE, 0.95, 8.0, OURS),
    Case(
        "half a region lost, 4 to 8 s",
        LAKESHORE,
        0.6,
        12.0,
        BEST_PAIR,
        fault=_engine(f"{ENGINE}-grand-haven-1", 4.0, 8.0, kind="kill"),
    ),
    Case(
        "one server 4 times slower, 2 to 9 s",
        LAKESHORE,
        0.6,
        11.0,
        BEST_PAIR,
        fault=_engine(
            f"{ENGINE}-painesville-1", 2.0, 9.0, kind="answers", slow_factor=4.0
        ),
    ),
    Case(
        "a domain cut off, 4 to 8 s",
        LAKESHORE,
        0.6,
        14.0,
        OURS,
        fault=Fault(4.0, 8.0, domain="painesville"),
    ),
    Case(
        "load reports absent",
        LAKESHORE,
        0.8,
        8.0,
        OURS,
        fault=_engine("*", -1.0, 8.0, kind="answers", is_silent=True),
    ),
    Case("0.6 for the next", LAKESHORE, 0.6, 8.0, OURS),
    Case("an organisation at 10 times", LAKESHORE, 0.6, 8.0, OURS, greedy=GREEDY),
    Case("0.5", MALTA, 0.5, 8.0, OURS),
    Case("0.8", MALTA, 0.8, 8.0, BEST_PAIR),
    Case("0.95", MALTA, 0.95, 8.0, OURS),
    Case("1.2", MALTA, 1.2, 9.0, OURS),
    Case("load reports 5 s late", LAKESHORE, 0.8, 9.0, OURS, report_lag_s=5.0),
)
