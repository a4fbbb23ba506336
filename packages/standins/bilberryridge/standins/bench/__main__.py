"""`make bench` and `make bench-quick`: policies compared, one table.

Exits 1 when a case could not be run.
"""

import argparse
import asyncio
import os
import random
import sys
import time
from collections.abc import Sequence
from typing import Any

from bilberryridge.standins import processes
from bilberryridge.standins.bench import (
    analysis,
    arrivals,
    cases,
    deployments,
    report,
    running,
)

N_SUBNETS = 90
FIRST_SUBNET = 130
SEED = 1


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="two loads, one repeat")
    parser.add_argument("--only", default="", help="cases whose name has this text")
    parser.add_argument("--policies", default="", help="comma-separated")
    parser.add_argument("--repeats", type=int, default=0)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--name", default="", help="of the results; empty for none")
    parser.add_argument("--commit", default="", help="what is measured")
    return parser.parse_args()


async def compare(
    selected_cases: Sequence[cases.Case], options: argparse.Namespace
) -> list[report.Row]:
    """Run all cases, grouped by fleet; return one row per case and policy."""
    rows: list[report.Row] = []
    began_s = time.monotonic()
    random_state = random.Random(options.seed)
    for name, lag_s in dict.fromkeys(
        (c.deployment, c.report_lag_s) for c in selected_cases
    ):
        subnet = FIRST_SUBNET + os.getpid() % N_SUBNETS
        deployment = deployments.load(name, subnet, lag_s)
        async with running.open_fleet(deployment) as fleet:
            for case in selected_cases:
                if (case.deployment, case.report_lag_s) != (name, lag_s):
                    continue
                found = await _compare_one(fleet, case, options, random_state)
                print(report.table(found), flush=True)
                rows += found
                if options.name:
                    # Saved after each case: results are kept if a later case fails.
                    took_s = time.monotonic() - began_s
                    report.save(options.name, rows, _about(options, took_s))
    return rows


async def _compare_one(
    fleet: running.Fleet,
    case: cases.Case,
    options: argparse.Namespace,
    random_state: random.Random,
) -> list[report.Row]:
    names = [p for p in case.policies if not options.policies or p in options.policies]
    n_repeats = options.repeats or case.n_repeats
    turns = [(n, policy) for n in range(n_repeats) for policy in names]
    random_state.shuffle(turns)
    found: dict[str, list[dict[str, Any]]] = {name: [] for name in names}
    for n, policy in turns:
        salt = f"{random_state.randrange(1 << 32):08x}"
        run = await fleet.run(case, policy, options.seed + n, salt)
        found[policy].append(analysis.figures(run, case, fleet.deployment))
    return [report.Row(case, p, analysis.median(found[p])) for p in names]


def main() -> int:
    """Run the comparison; return the exit status."""
    options = _options()
    known = list(cases.QUICK if options.quick else cases.FULL)
    selected_cases = [case for case in known if options.only in case.name]
    with processes.ended_by_signals():
        try:
            rows = asyncio.run(compare(selected_cases, options))
        except running.NotReadyError as exc:
            print(exc)
            return 1
    print(report.details(rows))
    print(report.NOTE)
    if options.name:
        report.plot(options.name, rows)
    return 0


def _about(options: argparse.Namespace, took_s: float) -> dict[str, Any]:
    rate = 1.0 / arrivals.server_s_per_request(deployments.SPEED)
    return {
        "measured at": options.commit or "the working tree",
        "seed": options.seed,
        "took": f"{took_s:.0f} s",
        "capacity": f"{rate:.2f} requests/s for each engine",
    }


if __name__ == "__main__":
    sys.exit(main())
