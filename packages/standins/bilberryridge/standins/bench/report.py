"""Tables, JSON file and plot of a comparison."""

import json
import pathlib
from collections.abc import Sequence
from typing import Any

import attrs
from matplotlib import pyplot

from bilberryridge.standins.bench import cases

RESULTS = pathlib.Path("docs/results")
HEADINGS = (
    "deployment, case",
    "policy",
    "first p50/p95/p99 s",
    "gap p50/p95/p99 ms",
    "in time",
    "of capacity",
    "server s/answer",
    "KB/request",
    "away",
    "retries",
    "refused",
    "why not in time",
)
NOTE = """\
`ours` goes through the daemons. The baselines are in the load tool: the callers of each
region dial all servers that their organisation's residency allows, through the same
links, count what they themselves have outstanding, try up to three servers when one is
full or gone, and refuse nothing. Latencies count from the intended send time; a request
that never began counts with the time at which its caller left; refused ones are left
out. In time: whole and right within 3 s (quick) or 8 s (long). Of capacity: answers in
time over what the engines can answer if a quarter of the shared prompt tokens is
computed anew. Cost: seconds of engine work for each answer in time, and bytes
between regions for each request, control messages and the warm-up included. Away:
runs outside the organisation's home region.
"""


@attrs.frozen
class Row:
    """Figures of one policy in one case, as medians over the repeats."""

    case: cases.Case
    policy: str
    figures: dict[str, Any]


def table(rows: Sequence[Row]) -> str:
    """Return a Markdown table with one row per policy and case."""
    lines = [_line(HEADINGS), _line(["---"] * len(HEADINGS))]
    for row in rows:
        name = f"{row.case.deployment}, {row.case.name} at {row.case.load:g}"
        if row.case.n_repeats > 1:
            name += f" (median of {row.case.n_repeats})"
        lines.append(_line([name, row.policy, *_cells(row.figures)]))
    return "\n".join(lines)


def details(rows: Sequence[Row]) -> str:
    """Return a Markdown table by class, organisation and phase of the fault."""
    headings = ("deployment, case", "policy", "of", *HEADINGS[2:5], *HEADINGS[-2:])
    lines = [_line(headings), _line(["---"] * len(headings))]
    for row in rows:
        for group in ("by_class", "by_organisation", "by_phase"):
            for name, found in row.figures.get(group, {}).items():
                cells = _cells({**row.figures, **found})
                label = f"{row.case.deployment}, {row.case.name}"
                few = (*cells[:3], *cells[-2:])
                lines.append(_line([label, row.policy, name, *few]))
    return "\n".join(lines)


def save(name: str, rows: Sequence[Row], about: dict[str, Any]) -> None:
    """Write `name`.json and .md below `RESULTS`."""
    RESULTS.mkdir(parents=True, exist_ok=True)
    found = [
        {"case": attrs.asdict(r.case), "policy": r.policy, "figures": r.figures}
        for r in rows
    ]
    text = json.dumps({**about, "rows": found}, indent=1, sort_keys=True)
    (RESULTS / f"{name}.json").write_text(text + "\n")
    facts = "\n".join(f"- {key}: {value}" for key, value in about.items())
    parts = (f"# Load results: {name}", facts, NOTE.strip(), table(rows))
    page = "\n\n".join((*parts, "## By class, organisation and phase", details(rows)))
    (RESULTS / f"{name}.md").write_text(page + "\n")


def plot(name: str, rows: Sequence[Row]) -> None:
    """Write `name`.png below `RESULTS`."""
    shown = ("first_p99_s", "in_time", "away")
    labels = [f"{r.case.deployment} {r.case.name}: {r.policy}" for r in rows]
    height = 1.5 + 0.25 * len(rows)
    figure, axes = pyplot.subplots(1, len(shown), figsize=(14, height), sharey=True)
    for axis, key in zip(axes, shown, strict=True):
        values = [row.figures[key] or 0.0 for row in rows]
        is_ours = [row.policy == "ours" for row in rows]
        colours = ["tab:blue" if ours else "tab:gray" for ours in is_ours]
        axis.barh(labels, values, color=colours)
        axis.set_title(key)
    axes[0].invert_yaxis()
    figure.tight_layout()
    figure.savefig(RESULTS / f"{name}.png", dpi=70)
    pyplot.close(figure)


def _cells(found: dict[str, Any]) -> list[str]:
    reasons = sorted(found["reasons"].items(), key=lambda item: -item[1])
    return [
        "/".join(_seconds(found[f"first_{p}_s"]) for p in ("p50", "p95", "p99")),
        "/".join(_milliseconds(found[f"gap_{p}_ms"]) for p in ("p50", "p95", "p99")),
        f"{found['in_time']:.1%}",
        f"{found['of_capacity']:.2f}",
        f"{found['server_s_per_answer']:.3f}",
        f"{found['bytes_per_request'] / 1e3:.1f}",
        f"{found['away']:.1%}",
        f"{found['retries_per_request']:.3f}",
        f"{found['refused']:.1%}",
        ", ".join(f"{name} {n:g}" for name, n in reasons) or "-",
    ]


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


def _milliseconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.0f}"


def _line(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"
