"""The cause of each request that its daemon did not answer in full."""

import collections
from collections.abc import Iterable, Mapping

import attrs

from bilberryridge.decisions.ingress import prefill_load
from bilberryridge.standins.day_log import reading

IN_TIME = "answered in time"
ANSWERED = "answered"
LATE_READ = "late: its own prompt took longer to read than the goal"
LATE_BEHIND = "late: placed behind more than was expected"
LATE_TRIED = "late: an earlier attempt failed"
LEFT = "caller left while it waited"
CUT = "stream cut"
OPEN = "open at the end of the log"


def cause_of(passage: reading.Passage, goal_s: float | None) -> str:
    """Say what became of a request at a daemon.

    Parameters
    ----------
    passage : Passage
    goal_s : float or None
        Latency goal of its route; None when not known.
    """
    last = passage.last
    if last is None:
        return OPEN
    message = last["message"]
    if message == "refuse":
        return f"refused: {last['reason']}"
    if message == "cut stream":
        return f"{CUT}: {last.get('reason', 'at its deadline')}"
    if message == "caller gone":
        return LEFT
    if last["result"] != "answered":
        return f"ended: {last['result']}"
    if last["status"] >= 500:
        return f"the server's own {last['status']}"
    return _cause_of_answer(passage, last, goal_s)


def _cause_of_answer(
    passage: reading.Passage, last: reading.Line, goal_s: float | None
) -> str:
    if goal_s is None:
        return ANSWERED
    first_s = last["after_s"] - last["took_s"] + last["first_s"]
    if first_s <= goal_s:
        return IN_TIME
    if len(passage.sends) > 1:
        return LATE_TRIED
    unread = passage.sends[-1].get("unread", 0) if passage.sends else 0
    if unread / prefill_load.TOKENS_PER_S > goal_s:
        return LATE_READ
    return LATE_BEHIND


@attrs.frozen
class Table:
    """Counts of causes by route."""

    by_route: Mapping[str, Mapping[str, int]]

    def text(self) -> str:
        """Return it as lines."""
        rows = []
        for route, counts in sorted(self.by_route.items()):
            n_all = sum(counts.values())
            rows.append(f"{route or 'no route'}: {n_all}")
            for cause, n in sorted(counts.items(), key=lambda pair: -pair[1]):
                rows.append(f"  {n:7} {n / n_all:7.1%}  {cause}")
        return "\n".join(rows)


def tabulate(
    passages: Iterable[reading.Passage], goals_s: Mapping[str, float]
) -> Table:
    """Count the causes of requests that callers sent; relayed ones stay out.

    A request counts at each daemon that its caller sent it to.
    """
    passages = list(passages)
    relayed = _relayed(passages)
    by_route: dict[str, collections.Counter[str]] = {}
    for passage in passages:
        if (passage.vm, passage.request) in relayed:
            continue
        counts = by_route.setdefault(passage.route, collections.Counter())
        counts[cause_of(passage, goals_s.get(passage.route))] += 1
    return Table(by_route)


def _relayed(passages: Iterable[reading.Passage]) -> set[tuple[str, str]]:
    return {
        (send["peer"], passage.request)
        for passage in passages
        for send in passage.sends
        if "peer" in send
    }
