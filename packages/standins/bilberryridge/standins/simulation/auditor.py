"""Judges a run by the promises, from what callers and backend servers saw."""

import bisect
import collections
import math
from collections.abc import Callable, Iterator

from bilberryridge.standins.simulation import records

CONTACT_S = 5.0
"""Time after a disturbance of a daemon in which time bounds don't bind it."""
ANSWER_SLACK_S = 0.5
"""Time after its timeout within which a request must have been answered."""
IN_FLIGHT_S = 0.1
"""Time in which a request that was sent before a word was heard may arrive."""
ASKED_COUNTED_AFTER_S, MAX_IN_TIME_ASKED_FOR = 0.5, 2
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5
LIMIT_KNOWN_AFTER_S = 0.5
RECOVERY_S = 12.0
"""Time from the end of the last fault until the service must have recovered, as the
deployments' sheets have it."""
MIN_SERVED, MIN_RECOVERY_SAMPLE = 0.9, 30
GOOD_STATUS = 200
SOON_S = 1.0
"""Time from a loss of paths until their callers must be served like others."""
MIN_SHARE_OF_OTHERS, MAX_FAILED_FRACTION = 0.95, 0.02
MIN_SHARE_WHEN_MANY_FAIL = 2 / 3
"""The same where others are served badly as well."""
MIN_COMPARED = 20
N_SENT_UNAWARE = 2
"""Failures that say nothing in samples of that size."""
CRASHES_TOLERATED, MAX_LATER_CRASHES = 3, 3

Check = Callable[["Audit"], Iterator[str]]


class Audit:
    """The records of a run by kind, and the disturbances of daemons.

    Parameters
    ----------
    seen : tuple of Record
    quiet_s : float
        When the last fault had ended.
    """

    def __init__(self, seen: tuple[records.Record, ...], quiet_s: float = math.inf):
        self.quiet_s = quiet_s
        self.sent = [r for r in seen if isinstance(r, records.Sent)]
        self.answered = {
            r.request_id: r for r in seen if isinstance(r, records.Answered)
        }
        self.crashed = [r for r in seen if isinstance(r, records.Crashed)]
        self.received_by_request: dict[str, list[records.Received]] = (
            collections.defaultdict(list)
        )
        self.received_by_server: dict[str, list[records.Received]] = (
            collections.defaultdict(list)
        )
        self.said_by_server: dict[str, list[records.Said]] = collections.defaultdict(
            list
        )
        self.n_first_tries = collections.Counter(
            r.content_id for r in self.sent if r.is_first_try
        )
        self.paths_lost = [r for r in seen if isinstance(r, records.PathsLost)]
        self._disturbed: dict[str, list[records.Disturbed]] = collections.defaultdict(
            list
        )
        for record in seen:
            if isinstance(record, records.Received):
                self.received_by_request[record.request_id].append(record)
                self.received_by_server[record.server].append(record)
            elif isinstance(record, records.Said):
                self.said_by_server[record.server].append(record)
            elif isinstance(record, records.Disturbed):
                self._disturbed[record.vm].append(record)

    def is_served(self, sent: records.Sent) -> bool:
        """Return whether a request got a good answer."""
        answered = self.answered.get(sent.request_id)
        return answered is not None and answered.status == GOOD_STATUS

    def is_answered(self, sent: records.Sent) -> bool:
        """Return whether a request got a server's answer, good or not."""
        answered = self.answered.get(sent.request_id)
        return answered is not None and bool(answered.answer_of)

    def is_in_touch(self, vm: str, from_s: float, until_s: float) -> bool:
        """Return whether a daemon was undisturbed throughout a time and before it."""
        return not any(
            disturbed.at_s <= until_s
            and from_s < disturbed.at_s + disturbed.for_s + CONTACT_S
            for disturbed in self._disturbed[vm]
        )


def at_most_once(audit: Audit) -> Iterator[str]:
    """Requests that must not repeat run once at most."""
    for sent in audit.sent:
        runs = [r for r in audit.received_by_request[sent.request_id] if r.has_run]
        if not sent.is_repeatable and len(runs) > 1:
            yield f"{sent.request_id} ran {len(runs)} times"


def not_run_is_true(audit: Audit) -> Iterator[str]:
    """A request of which a refusal says that it did not run never runs."""
    for answered in audit.answered.values():
        runs = [r for r in audit.received_by_request[answered.request_id] if r.has_run]
        if answered.is_not_run and runs:
            yield f"{answered.request_id} ran at {runs[0].at_s:.3f} s"


def own_answer(audit: Audit) -> Iterator[str]:
    """Each caller gets the answer to its own request."""
    for answered in audit.answered.values():
        if answered.answer_of not in ("", answered.request_id):
            yield f"{answered.request_id} got the answer to {answered.answer_of}"


def answered_in_time(audit: Audit) -> Iterator[str]:
    """A request has its final answer by the end of its timeout."""
    for sent in audit.sent:
        due_s = sent.at_s + sent.timeout_s + ANSWER_SLACK_S
        answered = audit.answered.get(sent.request_id)
        is_late = answered is None or answered.at_s > due_s
        if is_late and audit.is_in_touch(sent.vm, sent.at_s, due_s):
            yield f"{sent.request_id} at {sent.vm} has no answer at {due_s:.1f} s"


def leaving_is_obeyed(audit: Audit) -> Iterator[str]:
    """A server gets nothing more from a daemon that it has told that it leaves."""
    for server, said in audit.said_by_server.items():
        told_s: dict[str, float] = {}
        for word in said:
            if word.is_leaving:
                told_s.setdefault(word.vm, word.at_s)
        for received in audit.received_by_server[server]:
            at_s = told_s.get(received.vm)
            if at_s is None or received.at_s <= at_s + IN_FLIGHT_S:
                continue
            if audit.is_in_touch(received.vm, at_s, received.at_s):
                yield f"{server} left and got {received.request_id} of {received.vm}"


def time_asked_for_is_given(audit: Audit) -> Iterator[str]:
    """A server that asks for time gets two requests at most from that daemon in it."""
    for server, said in audit.said_by_server.items():
        for word in said:
            if word.asked_s is None:
                continue
            until_s = word.at_s + word.asked_s
            late = [
                received
                for received in audit.received_by_server[server]
                if received.vm == word.vm
                and word.at_s + ASKED_COUNTED_AFTER_S < received.at_s < until_s
            ]
            is_in_touch = audit.is_in_touch(word.vm, word.at_s, until_s)
            if len(late) > MAX_IN_TIME_ASKED_FOR and is_in_touch:
                yield f"{server} asked {word.vm} for {word.asked_s} s, got {len(late)}"


def limit_is_kept(audit: Audit) -> Iterator[str]:
    """A server gets no more than its limit from all daemons that know it."""
    for server, said in audit.said_by_server.items():
        for words in _runs_of_one_limit(said):
            yield from _over_limit(audit, server, words)


def _runs_of_one_limit(said: list[records.Said]) -> Iterator[list[records.Said]]:
    run: list[records.Said] = []
    for word in said:
        if run and word.limit_per_s != run[0].limit_per_s:
            yield run
            run = []
        if word.limit_per_s is not None:
            run.append(word)
    if run:
        yield run


def _over_limit(audit: Audit, server: str, words: list[records.Said]) -> Iterator[str]:
    limit_per_s = words[0].limit_per_s
    assert limit_per_s is not None
    told_s: dict[str, float] = {}
    for word in words:
        told_s.setdefault(word.vm, word.at_s)
    from_s, until_s = words[0].at_s + CONTACT_S, words[-1].at_s
    times_s = [
        received.at_s
        for received in audit.received_by_server[server]
        if from_s <= received.at_s <= until_s
        and received.at_s >= told_s.get(received.vm, until_s) + LIMIT_KNOWN_AFTER_S
        and audit.is_in_touch(received.vm, received.at_s, received.at_s)
    ]
    n_allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit_per_s + LIMIT_SLACK
    for n, at_s in enumerate(times_s):
        n_received = bisect.bisect_right(times_s, at_s + LIMIT_WINDOW_S) - n
        if n_received > n_allowed:
            yield f"{server} takes {limit_per_s} a second, got {n_received} in 4 s"
            return


def crashing_requests_stop(audit: Audit) -> Iterator[str]:
    """A request that has crashed three servers crashes three more at most.

    One that another server answers meanwhile does not crash each server that runs it.
    """
    answered_s = collections.defaultdict(list)
    for sent in audit.sent:
        answered = audit.answered.get(sent.request_id)
        if answered is not None and answered.answer_of:
            answered_s[sent.content_id].append(answered.at_s)
    by_content = collections.defaultdict(list)
    for crashed in audit.crashed:
        by_content[crashed.content_id].append(crashed)
    for content_id, crashes in by_content.items():
        if len(crashes) <= CRASHES_TOLERATED:
            continue
        third_s = crashes[CRASHES_TOLERATED - 1].at_s
        later_s = [at_s for at_s in answered_s[content_id] if at_s > third_s]
        sound_s = min(later_s, default=math.inf)
        later = [
            crashed
            for crashed in crashes
            if third_s + CONTACT_S < crashed.at_s < sound_s
            and audit.is_in_touch(crashed.vm, crashed.at_s, crashed.at_s)
        ]
        if len(later) > MAX_LATER_CRASHES:
            yield f"{content_id} crashed {len(later)} servers more"


def service_recovers(audit: Audit) -> Iterator[str]:
    """Nearly all requests are served some time after the last fault.

    Servers that leave do so for good, and time that was asked for may be long.
    """
    said = [word for words in audit.said_by_server.values() for word in words]
    if any(word.is_leaving or word.asked_s is not None for word in said):
        return
    crashing = {crashed.content_id for crashed in audit.crashed}
    later = [
        sent
        for sent in audit.sent
        if sent.at_s > audit.quiet_s + RECOVERY_S and sent.content_id not in crashing
    ]
    served = [sent for sent in later if audit.is_served(sent)]
    if len(later) >= MIN_RECOVERY_SAMPLE and len(served) < MIN_SERVED * len(later):
        yield f"{len(served)} of {len(later)} served since the last fault"


def cut_off_daemons_serve_alike(audit: Audit) -> Iterator[str]:
    """Callers of daemons without paths get servers' answers like the others.

    Judged are first tries from a second after the loss, while other daemons have paths,
    of contents that are sent once: others may fail wherever they are sent.
    """
    for from_s, until_s, vms in _times_cut_off(audit):
        sent = [
            each
            for each in audit.sent
            if from_s + SOON_S <= each.at_s < until_s - ANSWER_SLACK_S
            and each.is_first_try
            and audit.n_first_tries[each.content_id] == 1
            and audit.is_in_touch(each.vm, from_s, each.at_s)
        ]
        cut = [each for each in sent if each.vm in vms]
        others = [each for each in sent if each.vm not in vms]
        if len(cut) < MIN_COMPARED or len(others) < MIN_COMPARED:
            continue
        n_cut, n_others = (sum(map(audit.is_answered, each)) for each in (cut, others))
        share, share_of_others = n_cut / len(cut), n_others / len(others)
        min_share = MIN_SHARE_OF_OTHERS
        if share_of_others < MIN_SERVED:
            min_share = MIN_SHARE_WHEN_MANY_FAIL
        n_tolerated = MAX_FAILED_FRACTION * len(sent) + N_SENT_UNAWARE
        n_failed = len(cut) - n_cut
        if share < min_share * share_of_others and n_failed > n_tolerated:
            yield (
                f"from {from_s:.1f} s {n_cut} of {len(cut)} at {sorted(vms)}, "
                f"{n_others} of {len(others)} elsewhere"
            )


def _times_cut_off(audit: Audit) -> Iterator[tuple[float, float, set[str]]]:
    """Yield the times in which the same daemons have lost all paths, and these."""
    total = [each for each in audit.paths_lost if each.is_all]
    partial = [each for each in audit.paths_lost if not each.is_all]
    for from_s in sorted({each.at_s for each in total}):
        begun = [each for each in total if each.at_s == from_s]
        until_s = min(each.at_s + each.for_s for each in begun)
        others = [each for each in [*total, *partial] if each not in begun]
        overlaps = [
            each
            for each in others
            if each.at_s < until_s and from_s < each.at_s + each.for_s
        ]
        if not overlaps:
            yield from_s, until_s, {each.vm for each in begun}


CHECKS: dict[str, Check] = {
    "at most once": at_most_once,
    "not run is true": not_run_is_true,
    "own answer": own_answer,
    "answered in time": answered_in_time,
    "leaving is obeyed": leaving_is_obeyed,
    "time asked for is given": time_asked_for_is_given,
    "limit is kept": limit_is_kept,
    "crashing requests stop": crashing_requests_stop,
    "service recovers": service_recovers,
    "cut-off daemons serve alike": cut_off_daemons_serve_alike,
}


def judge(
    seen: tuple[records.Record, ...], quiet_s: float = math.inf
) -> dict[str, list[str]]:
    """Return the broken promises, each with what broke it; see `Audit`."""
    audit = Audit(seen, quiet_s)
    broken = {name: list(check(audit)) for name, check in CHECKS.items()}
    return {name: findings for name, findings in broken.items() if findings}
