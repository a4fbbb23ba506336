"""Figures of a run: latency, goodput, cost, fraction run remotely, refusals.

Cost is measured in seconds of engine work and in bytes between regions.
"""

import collections
import statistics
from collections.abc import Callable, Sequence
from typing import Any

from bilberryridge.standins.bench import (
    arrivals,
    cases,
    deployments,
    running,
)

Record = dict[str, Any]
Figures = dict[str, Any]

REFUSAL_STATUSES = frozenset({429, 503})


def percentile(values: Sequence[float], share: float) -> float | None:
    """Return the value below which the given fraction of the values lie.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0], 0.5), percentile([], 0.5)
    (2.0, None)
    """
    if not values:
        return None
    index = min(len(values) - 1, int(share * len(values)))
    return sorted(values)[index]


def figures(
    run: running.Run, case: cases.Case, deployment: deployments.Deployment
) -> Figures:
    """Return all figures of a run."""
    capacity = arrivals.capacity_per_s(deployments.SPEED, len(deployment.engines))
    records = [record for record in run.records if record["at_s"] >= 0.0]
    found = _of_records(records)
    # Work and traffic are measured for the warm-up and the run together.
    n = max(len(run.records), 1)
    n_answers = sum(not record["reason"] for record in run.records)
    found["of_capacity"] = found["n_in_time"] / (capacity * case.duration_s)
    found["server_s_per_answer"] = run.server_s / max(n_answers, 1)
    found["bytes_per_request"] = run.n_bytes / n
    found["retries_per_request"] = run.n_retries / n
    found["away"] = _remote_fraction(run, deployment)
    found["by_class"] = _by(records, _class_of)
    found["by_organisation"] = _by(records, _organisation_of)
    if case.fault is not None:
        fault = case.fault

        def phase_of(record: Record) -> str:
            if record["at_s"] < fault.begin_s:
                return "before"
            return "during" if record["at_s"] < fault.end_s else "after"

        found["by_phase"] = _by(records, phase_of)
    return found


def median(all_figures: Sequence[Figures]) -> Figures:
    """Return the median of each figure over repeats."""
    found: Figures = {}
    for key, first in all_figures[0].items():
        values = [one.get(key) for one in all_figures]
        if isinstance(first, dict):
            found[key] = _median_of_dicts(key, values)
        else:
            known = [value for value in values if value is not None]
            found[key] = statistics.median(known) if known else None
    return found


def _median_of_dicts(key: str, values: list[Any]) -> Figures:
    names = sorted({name for value in values for name in value or {}})
    if key == "reasons":
        return {
            name: statistics.median([value.get(name, 0) for value in values])
            for name in names
        }
    return {
        name: median([value[name] for value in values if name in value])
        for name in names
    }


def _of_records(records: Sequence[Record]) -> Figures:
    n = len(records)
    in_time = [record for record in records if not record["reason"]]
    refused = [r for r in records if r["status"] in REFUSAL_STATUSES]
    reasons = collections.Counter(r["reason"] for r in records if r["reason"])
    firsts = [_first_s(r) for r in records if r["status"] not in REFUSAL_STATUSES]
    gaps = [gap for record in records for gap in record["gaps_ms"]]
    refusal_times = [r["total_s"] - r["late_s"] for r in refused]
    return {
        "n": n,
        "n_in_time": len(in_time),
        "in_time": len(in_time) / max(n, 1),
        "first_p50_s": percentile(firsts, 0.5),
        "first_p95_s": percentile(firsts, 0.95),
        "first_p99_s": percentile(firsts, 0.99),
        "gap_p50_ms": percentile(gaps, 0.5),
        "gap_p95_ms": percentile(gaps, 0.95),
        "gap_p99_ms": percentile(gaps, 0.99),
        "refused": len(refused) / max(n, 1),
        "refusal_p95_s": percentile(refusal_times, 0.95),
        "refusals_with_retry_after": sum(r["has_retry_after"] for r in refused)
        / max(len(refused), 1),
        "late_p99_s": percentile([r["late_s"] for r in records], 0.99),
        "reasons": dict(reasons),
    }


def _first_s(record: Record) -> float:
    # A request without a first token waited at least until its caller left.
    known = record["first_s"]
    return known if known is not None else record["total_s"]


def _by(records: Sequence[Record], key_of: Callable[[Record], str]) -> Figures:
    groups: dict[str, list[Record]] = {}
    for record in records:
        groups.setdefault(key_of(record), []).append(record)
    return {name: _of_records(group) for name, group in sorted(groups.items())}


def _class_of(record: Record) -> str:
    return "long" if record["is_long"] else "quick"


def _organisation_of(record: Record) -> str:
    return record["organisation"]


def _remote_fraction(run: running.Run, deployment: deployments.Deployment) -> float:
    homes = {org.name: org.home_region for org in deployment.organisations}
    regions = {vm.name: deployment.regions[vm.domain] for vm in deployment.engines}
    n_away = n_run = 0
    for record in run.records:
        for server in run.servers.get(record["request_id"], []):
            n_run += 1
            n_away += regions[server] != homes[record["organisation"]]
    return n_away / max(n_run, 1)
