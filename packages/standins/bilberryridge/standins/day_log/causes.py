"""Classification of requests by the cause of a late or incomplete answer."""

import collections
from collections.abc import Iterable, Mapping

import attrs

from bilberryridge.decisions.ingress import prefill_load
from bilberryridge.standins.day_log import reading

FAST_ENOUGH = "answered in time"
ANSWERED = "answered"
LATE_PREFILL = "late: its own prompt took longer to read than the goal"
LATE_QUEUED = "late: placed behind more than was expected"
LATE_RETRIED = "late: an earlier attempt failed"
CALLER_LEFT = "caller left while it waited"
STREAM_ABORTED = "stream cut"
STILL_OPEN = "open at the end of the log"


def cause_of(trace: reading.RequestTrace, goal_s: float | None) -> str:
    """Return the result of a request at a daemon, or the cause of its failure.

    Parameters
    ----------
    trace : RequestTrace
    goal_s : float or None
        Latency goal of its route; None if unknown.
    """
    final_line = trace.final_line
    if final_line is None:
        return STILL_OPEN
    message = final_line["message"]
    if message == "refuse":
        return f"refused: {final_line['reason']}"
    if message == "cut stream":
        return f"{STREAM_ABORTED}: {final_line.get('reason', 'at its deadline')}"
    if message == "caller gone":
        return CALLER_LEFT
    if final_line["result"] != "answered":
        return f"ended: {final_line['result']}"
    if final_line["status"] >= 500:
        return f"the server's own {final_line['status']}"
    return _cause_of_answer(trace, final_line, goal_s)


def _cause_of_answer(
    trace: reading.RequestTrace, final_line: reading.LogLine, goal_s: float | None
) -> str:
    if goal_s is None:
        return ANSWERED
    first_s = final_line["after_s"] - final_line["took_s"] + final_line["first_s"]
    if first_s <= goal_s:
        return FAST_ENOUGH
    if len(trace.attempts) > 1:
        return LATE_RETRIED
    n_prefill_tokens = trace.attempts[-1].get("unread", 0) if trace.attempts else 0
    if n_prefill_tokens / prefill_load.TOKENS_PER_S > goal_s:
        return LATE_PREFILL
    return LATE_QUEUED


@attrs.frozen
class CauseCounts:
    """Number of requests of each route with each cause."""

    counts_by_route: Mapping[str, Mapping[str, int]]

    def text(self) -> str:
        """Return the counts as text, the most frequent cause of a route first."""
        rows = []
        for route, counts in sorted(self.counts_by_route.items()):
            n_requests = sum(counts.values())
            rows.append(f"{route or 'no route'}: {n_requests}")
            for cause, n in sorted(counts.items(), key=lambda pair: -pair[1]):
                rows.append(f"  {n:7} {n / n_requests:7.1%}  {cause}")
        return "\n".join(rows)


def tabulate(
    traces: Iterable[reading.RequestTrace], goals_s: Mapping[str, float]
) -> CauseCounts:
    """Count the causes by route, without requests that another daemon relayed.

    A request counts once at each daemon that its caller sent it to.
    """
    traces = list(traces)
    relayed_requests = _relayed_requests(traces)
    counts_by_route: dict[str, collections.Counter[str]] = {}
    for trace in traces:
        if (trace.vm, trace.request) in relayed_requests:
            continue
        counts = counts_by_route.setdefault(trace.route, collections.Counter())
        counts[cause_of(trace, goals_s.get(trace.route))] += 1
    return CauseCounts(counts_by_route)


def _relayed_requests(traces: Iterable[reading.RequestTrace]) -> set[tuple[str, str]]:
    return {
        (attempt["peer"], trace.request)
        for trace in traces
        for attempt in trace.attempts
        if "peer" in attempt
    }
