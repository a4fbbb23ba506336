"""Print the causes by route, and the log lines of some requests with one cause."""

import pathlib
from typing import Annotated

import typer

from bilberryridge.standins.day_log import causes, reading


def main(
    file: pathlib.Path,
    goal: Annotated[list[str], typer.Option(help="ROUTE=SECONDS")] = [],  # noqa: B006
    show: Annotated[str, typer.Option(help="Part of a cause to show.")] = "",
    n: Annotated[int, typer.Option(help="Requests to show.")] = 3,
) -> None:
    """Print why requests were answered late or not in full."""
    goals_s = {}
    for pair in goal:
        route, _, seconds = pair.partition("=")
        goals_s[route] = float(seconds)
    with file.open(errors="replace") as raw_lines:
        traces = reading.traces_of(reading.lines_of(raw_lines))
    print(causes.tabulate(traces, goals_s).text())
    if not show:
        return
    matching = [
        trace
        for trace in traces
        if show in causes.cause_of(trace, goals_s.get(trace.route))
    ]
    for trace in matching[:n]:
        print(f"\n{trace.request} at {trace.vm}")
        lines = [*trace.attempts, *trace.attempt_ends, trace.final_line or {}]
        for line in sorted(lines, key=lambda item: item.get("after_s", 0.0)):
            print(f"  {line}")


if __name__ == "__main__":
    typer.run(main)
