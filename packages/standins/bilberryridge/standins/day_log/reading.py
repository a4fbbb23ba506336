"""Groups log lines into a trace of each request at each daemon."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

LogLine = dict[str, Any]


@attrs.define
class RequestTrace:
    """Log lines of one request at one daemon.

    Parameters
    ----------
    vm, request, own_id : str
        Name of the daemon's VM, the caller's id of the request, and the daemon's id.
    arrived_s : float
        Unix time.
    attempts, attempt_ends : list of dict
        Lines logged at the start and the end of its attempts.
    final_line : dict or None
        The line that ended the request; None if it was open at the end of the log.
    """

    vm: str
    request: str
    own_id: str
    arrived_s: float
    attempts: list[LogLine] = attrs.field(factory=list)
    attempt_ends: list[LogLine] = attrs.field(factory=list)
    final_line: LogLine | None = None

    @property
    def route(self) -> str:
        """Name of the route; empty if the request was refused before it was matched."""
        for line in (*self.attempts, self.final_line or {}):
            if "route" in line:
                return str(line["route"])
        return ""


def lines_of(raw_lines: Iterable[str]) -> Iterator[LogLine]:
    """Decode the JSON object at the end of each raw line; skip lines without one."""
    for raw_line in raw_lines:
        json_start = raw_line.find("{")
        if json_start < 0:
            continue
        try:
            line = json.loads(raw_line[json_start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "message" in line:
            yield line


def traces_of(lines: Iterable[LogLine]) -> list[RequestTrace]:
    """Group the lines by request and daemon; return traces in order of arrival."""
    traces: dict[tuple[str, str, str], RequestTrace] = {}
    for line in lines:
        if "request" not in line or "own_id" not in line:
            continue
        trace_id = (line["vm"], line["request"], line["own_id"])
        if trace_id not in traces:
            arrived_s = line["time"] - line.get("after_s", 0.0)
            traces[trace_id] = RequestTrace(*trace_id, arrived_s)
        _add_line(traces[trace_id], line)
    return sorted(traces.values(), key=lambda trace: trace.arrived_s)


def _add_line(trace: RequestTrace, line: LogLine) -> None:
    message = line["message"]
    if message in ("send to server", "send to peer"):
        trace.attempts.append(line)
        trace.final_line = None
    elif message == "attempt ended":
        trace.attempt_ends.append(line)
        trace.final_line = line
    elif message in ("refuse", "cut stream", "caller gone"):
        trace.final_line = line
