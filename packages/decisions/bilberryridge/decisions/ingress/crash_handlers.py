"""Finds the prompts and requests under which backend servers crash."""

import collections
import functools
from collections.abc import Callable, Iterable
from typing import Any

from bilberryridge.decisions.ingress import (
    crash_reports,
    crashing_requests,
    effects,
    events,
    holding_back,
    path_handlers,
    server_table,
    silent_servers,
    state,
)

AT_ONCE_S = 0.1
"""Servers whose connections end within this time have one cause, such as a failed rack
or link; also the time for which a crash is not reported yet."""
MAX_SERVERS_AT_ONCE = 2
"""Servers lost at once beyond which their crashes aren't reported one by one."""
MIN_CRASHES_TO_STORE = 2
"""Crashes from which on a request's are stored: calls to the store are limited, and
most crashes have another cause."""
MIN_SERVERS_AT_ONCE = 2
"""Of so many servers lost at once, those that had the same request are reported."""
REACH_KNOWN_S = 0.6
"""Time, besides two load reports, in which daemons probe a server for one that has lost
its path: 0.5 s may pass between two probes."""
REFUTED_AFTER_S = 0.5
"""Time after a reported crash from which on an answer of that start of the server shows
that it had not crashed; an earlier one may have been on its way."""
FIRST_ERROR_STATUS = 300
MAX_LOGGED = 8
"""Contents that a log line names."""


def on_attempt_ended(
    st: state.State,
    item: state.OpenRequest,
    attempt: state.Attempt,
    event: events.AttemptEnded,
    now_s: float,
) -> None:
    """Learn from the end of an attempt at a server."""
    if not attempt.server_id:
        return
    parts, content_id = holding_back.shared_ids(item.req), item.req.content_id
    is_success = 0 < event.status < FIRST_ERROR_STATUS
    is_answered = event.result is events.AttemptResult.ANSWERED
    is_shown_whole = event.is_end_marked or not is_success or attempt.is_sound
    if is_answered and not is_shown_whole:
        silent_servers.note_unproven(st, item, attempt, now_s)
    elif is_answered and is_success:
        log_fields = _answer_fields(item, attempt, "answered", now_s)
        _record_sound(st, parts, log_fields, now_s)
    is_sound = (is_answered and is_shown_whole) or attempt.is_sound
    if is_sound:
        silent_servers.on_sound(st, attempt)
        _record_sound_request(st, content_id, now_s)
    if event.is_disconnected:
        # A server that crashes on a request may crash before it answers.
        is_beginning = is_success and bool(parts) and not attempt.is_sound
        if is_success and parts and not is_beginning:
            _log_lost_answer(st, item, attempt, "past its beginning", now_s)
        item.n_lost_beginnings += is_beginning
        suspects = parts if is_beginning else []
        _record_lost(st, attempt, suspects, "" if is_sound else content_id, now_s)
    elif event.is_silent:
        silent_servers.note(st, item, attempt, now_s)


def on_attempt_went_on(
    st: state.State, now_s: float, event: events.AttemptWentOn
) -> None:
    """Learn that a server didn't crash as it began an answer."""
    item = st.open_requests.get(event.request_id)
    attempt = item.attempt if item is not None else None
    if item is None or attempt is None or attempt.id != event.attempt_id:
        return
    if not attempt.server_id:
        return
    attempt.is_sound = True
    silent_servers.on_sound(st, attempt)
    log_fields = _answer_fields(item, attempt, "went on", now_s)
    _record_sound(st, holding_back.shared_ids(item.req), log_fields, now_s)
    _record_sound_request(st, item.req.content_id, now_s)


def on_tick(st: state.State, now_s: float) -> None:
    """Report crashes and drop expired reports."""
    for attempt in silent_servers.review(st, now_s):
        path_handlers.on_silent(st, attempt, now_s)
    turned_out = silent_servers.take_ended(st, now_s)
    for answer in turned_out.sound:
        log_fields = {"shown_by": "its server went on"}
        _record_sound(st, sorted(answer.parts), log_fields, now_s)
        _record_sound_request(st, answer.content_id, now_s)
    for lost in turned_out.servers:
        _record_silent(st, lost)
    if st.lost_servers and now_s - st.lost_servers[0].at_s >= AT_ONCE_S:
        _report_lost(st, now_s)
    _change(st, lambda: st.quarantine.expire(now_s))


def on_server_said(
    st: state.State, server: server_table.ServerState, now_s: float
) -> None:
    """Learn from an answer that the server has not crashed."""
    if server.record.start_time_ms > 0 and server.shown_s == now_s:
        st.crashing_requests.refute(server.record.start_name, now_s - REFUTED_AFTER_S)


def on_report(
    st: state.State,
    report: crash_reports.Report,
    now_s: float,
) -> None:
    """Take a report of another daemon."""
    if isinstance(report, crash_reports.SoundPart):
        if report.part in st.quarantine.signatures:
            change = f"part {report.part} is sound"
            log_fields = {"shown_by": "another daemon"}
            st.emit(effects.LogStateChange("crash", change, log_fields))
        _change(st, lambda: st.quarantine.record_sound([report.part], now_s))
        st.crashing_requests.record_sound(report.part, now_s)
    elif isinstance(report, crash_reports.CrashedRequests):
        _record_crashed(st, report, now_s)
    else:
        _change(st, lambda: st.quarantine.record_crash(report, now_s))


def on_stored_reports(
    st: state.State, now_s: float, event: events.CrashReportsRead
) -> None:
    """Apply the reports that the store holds."""
    _change(st, lambda: st.quarantine.apply_stored(event.stored, now_s))
    st.crashing_requests.apply_stored(event.stored, now_s)


def _answer_fields(
    item: state.OpenRequest, attempt: state.Attempt, shown_by: str, now_s: float
) -> dict[str, Any]:
    """Return what an answer has shown, and since when it has been received."""
    begun_s = attempt.begun_s
    return {
        "request": item.req.caller_request_id,
        "shown_by": shown_by,
        "server": attempt.server_id,
        "begun_ago_s": None if begun_s is None else round(now_s - begun_s, 3),
    }


def _log_lost_answer(
    st: state.State,
    item: state.OpenRequest,
    attempt: state.Attempt,
    reason: str,
    now_s: float,
) -> None:
    """Log why a lost answer isn't blamed on its prompt."""
    parts = holding_back.shared_ids(item.req)
    if parts:
        change = f"{attempt.server_id} is not counted as crashed"
        log_fields = _answer_fields(item, attempt, "lost", now_s)
        log_fields |= {"reason": reason, "parts": parts[:MAX_LOGGED]}
        st.emit(effects.LogStateChange("crash", change, log_fields))


def _record_sound(
    st: state.State, parts: list[str], log_fields: dict[str, Any], now_s: float
) -> None:
    suspected: list[str] = []
    _change(st, lambda: suspected.extend(st.quarantine.record_sound(parts, now_s)))
    for part in suspected:
        change = f"part {part} is sound"
        st.emit(effects.LogStateChange("crash", change, log_fields))
        report = crash_reports.SoundPart(part)
        _tell_peers(st, report)
        st.emit(effects.StoreReport(report))


def _record_sound_request(st: state.State, content_id: str, now_s: float) -> None:
    for lost in st.lost_servers:
        lost.contents.discard(content_id)
    n_crashes = st.crashing_requests.record_sound(content_id, now_s)
    if n_crashes >= crashing_requests.CRASHES_TO_HOLD_BACK - 1:
        st.emit(effects.LogStateChange("crash", f"request {content_id} is sound"))
        report = crash_reports.SoundPart(content_id)
        _tell_peers(st, report)
        st.emit(effects.StoreReport(report))


def _record_lost(
    st: state.State,
    attempt: state.Attempt,
    parts: list[str],
    content_id: str,
    now_s: float,
) -> None:
    lost = _find_lost(st, attempt.server_start)
    if lost is None:
        lost = state.LostServer(attempt.server_start, now_s, attempt.server_id)
        st.lost_servers.append(lost)
    is_suspect = not st.crashing_requests.is_recently_sound(content_id, now_s)
    if content_id and is_suspect:
        lost.contents.add(content_id)
    suspects = _suspects(st, parts, now_s)
    if suspects:
        lost.prompts.append(suspects)


def _record_silent(st: state.State, silent: state.LostServer) -> None:
    """Record a server that has turned out to have ended in silence."""
    assert silent.silent_s is not None
    prompts = [_suspects(st, prompt, silent.silent_s) for prompt in silent.prompts]
    silent.prompts = [prompt for prompt in prompts if prompt]
    silent.contents = {
        content_id
        for content_id in silent.contents
        if not st.crashing_requests.is_recently_sound(content_id, silent.silent_s)
    }
    lost = _find_lost(st, silent.server)
    if lost is None:
        st.lost_servers.append(silent)
    else:
        lost.prompts += silent.prompts
        lost.contents |= silent.contents


def _find_lost(st: state.State, server: str) -> state.LostServer | None:
    return next((lost for lost in st.lost_servers if lost.server == server), None)


def _suspects(st: state.State, parts: Iterable[str], lost_s: float) -> frozenset[str]:
    """Return the parts on which no answer had just gone well, or has since."""
    return frozenset(
        part for part in parts if not st.quarantine.is_recently_sound(part, lost_s)
    )


def _report_lost(st: state.State, now_s: float) -> None:
    """Report the servers lost at once; many have one cause and count as one crash."""
    first_s = st.lost_servers[0].at_s
    at_once = [lost for lost in st.lost_servers if lost.at_s - first_s < AT_ONCE_S]
    vms = [entry.name for entry in st.members.linked_in_region()]
    is_reach_unknown = any(_is_reach_unknown(st, lost, vms) for lost in at_once)
    reach_known_s = REACH_KNOWN_S + 2 * st.daemon_loads_interval_s
    if is_reach_unknown and now_s - first_s < reach_known_s:
        return
    del st.lost_servers[: len(at_once)]
    at_once = _without_uncounted(st, at_once, _is_only_path_lost, "path lost")
    # Servers that ended in silence are found out one by one, however they were lost.
    disconnected = [lost for lost in at_once if lost.silent_s is None]
    silent = [lost for lost in at_once if lost.silent_s is not None]
    is_shared_failure = len(disconnected) > MAX_SERVERS_AT_ONCE
    if is_shared_failure:
        reports = [_report(st, lost) for lost in silent]
        reports += _report_in_common(st, disconnected)
    else:
        reports = [_report(st, lost) for lost in at_once]
    _report_requests(st, at_once, is_shared_failure, now_s)
    if is_shared_failure:
        for lost in disconnected:
            _log_uncounted(st, lost, "shared failure")
    for report in reports:
        if not report.prompts:
            continue
        change = f"{report.server} ended as it began to answer"
        prompts = [sorted(prompt) for prompt in report.prompts]
        st.emit(effects.LogStateChange("crash", change, {"prompts": prompts}))
        _tell_peers(st, report)
        st.unstored_reports.append(report)
        _change(st, functools.partial(st.quarantine.record_crash, report, now_s))


def _report(st: state.State, lost: state.LostServer) -> crash_reports.CrashReport:
    vm = st.cfg.local_entry.name
    return crash_reports.CrashReport(lost.server, vm, tuple(lost.prompts))


def _report_in_common(
    st: state.State, lost_servers: list[state.LostServer]
) -> list[crash_reports.CrashReport]:
    """Return what the prompts of several servers had in common, as of one crash.

    Servers that stood still together crash together when they go on.
    """
    n_servers = collections.Counter(
        part for lost in lost_servers for part in frozenset().union(*lost.prompts)
    )
    common = {part for part, n in n_servers.items() if n >= MIN_SERVERS_AT_ONCE}
    prompts = {
        prompt & common
        for lost in lost_servers
        for prompt in lost.prompts
        if prompt & common
    }
    if not prompts:
        return []
    first = min(lost.server for lost in lost_servers)
    ordered = tuple(sorted(prompts, key=sorted))
    return [crash_reports.CrashReport(first, st.cfg.local_entry.name, ordered)]


def _report_requests(
    st: state.State,
    at_once: list[state.LostServer],
    is_shared_failure: bool,
    now_s: float,
) -> None:
    """Report the requests of servers that crashed.

    A failure that servers share has no request as its cause, unless several had it.
    """
    crashed = _without_uncounted(st, at_once, _is_alive, "goes on")
    n_servers = collections.Counter(
        content_id for lost in crashed for content_id in lost.contents
    )
    n_min = MIN_SERVERS_AT_ONCE if is_shared_failure else 1
    for lost in crashed:
        contents = sorted(c for c in lost.contents if n_servers[c] >= n_min)
        if not contents:
            continue
        report = crash_reports.CrashedRequests(lost.server, tuple(contents))
        change = f"{lost.server} ended under requests"
        st.emit(effects.LogStateChange("crash", change, {"contents": contents}))
        _tell_peers(st, report)
        for content_id in contents:
            single = crash_reports.CrashedRequests(lost.server, (content_id,))
            st.unstored_requests.append(single)
        _record_crashed(st, report, now_s)


def _is_alive(st: state.State, lost: state.LostServer) -> bool:
    """Return whether a server went on serving this daemon after a lost connection.

    Where no new connection is made, an open answer may only not have ended here yet.
    """
    server = silent_servers.find(st, lost)
    if server is None:
        return False
    has_open_answer = not server.path.is_lost and any(
        attempt.has_begun for attempt in server.work.local_attempts.values()
    )
    return has_open_answer or server.shown_s > lost.at_s


def _without_uncounted(
    st: state.State,
    lost_servers: list[state.LostServer],
    is_uncounted: Callable[[state.State, state.LostServer], bool],
    reason: str,
) -> list[state.LostServer]:
    """Return the servers whose loss counts as a crash; log the others."""
    counted = []
    for lost in lost_servers:
        if is_uncounted(st, lost):
            _log_uncounted(st, lost, reason)
        else:
            counted.append(lost)
    return counted


def _log_uncounted(st: state.State, lost: state.LostServer, reason: str) -> None:
    contents = sorted(lost.contents)[:MAX_LOGGED]
    log_fields: dict[str, Any] = {"reason": reason, "contents": contents}
    if lost.prompts:
        prompts = [sorted(prompt) for prompt in lost.prompts[:MAX_LOGGED]]
        log_fields["prompts"] = prompts
    change = f"{lost.server} is not counted as crashed"
    st.emit(effects.LogStateChange("crash", change, log_fields))


def _is_reach_unknown(st: state.State, lost: state.LostServer, vms: list[str]) -> bool:
    """Return whether other daemons may still tell that they reach a server."""
    server = silent_servers.find(st, lost)
    if server is None or not vms or _is_only_path_lost(st, lost):
        return False
    if server.path.is_lost:
        return any(server.is_reached_by(vm) for vm in vms)
    return server.path.is_probing


def _is_only_path_lost(st: state.State, lost: state.LostServer) -> bool:
    """Return whether another daemon has shown that it reaches a server.

    One that tells nothing may stand still, be cut off, or not have tried.
    """
    server = silent_servers.find(st, lost)
    if server is None or not server.path.is_lost:
        return False
    return server.reached_elsewhere_s > lost.at_s


def _record_crashed(
    st: state.State, report: crash_reports.CrashedRequests, now_s: float
) -> None:
    """Count a crash against the requests that a server had."""
    known = st.crashing_requests
    for content_id in report.contents:
        was_held_back = known.held_back_for_s(content_id, now_s) is not None
        known.record_crash(content_id, report.server, now_s)
        if not was_held_back and known.held_back_for_s(content_id, now_s) is not None:
            change = f"request {content_id} is held back"
            st.emit(effects.LogStateChange("quarantine", change))
    for single in list(st.unstored_requests):
        if known.n_crashes(single.contents[0], now_s) >= MIN_CRASHES_TO_STORE:
            st.unstored_requests.remove(single)
            st.emit(effects.StoreReport(single))


def _tell_peers(st: state.State, report: crash_reports.Report) -> None:
    for entry in st.members.linked():
        st.emit(effects.SendPeerMessage(entry.name, report))


def _store_suspected(st: state.State) -> None:
    """Store this daemon's reports on parts that other servers crashed on as well.

    Calls to the store are limited, and most crashes have no such part.
    """
    for report in list(st.unstored_reports):
        if st.quarantine.is_suspected(report):
            st.unstored_reports.remove(report)
            st.emit(effects.StoreReport(report))


def _change(st: state.State, action: Callable[[], object]) -> None:
    """Change the quarantine, and log the parts that enter or leave it."""
    before = st.quarantine.signatures
    action()
    after = st.quarantine.signatures
    if after is before:
        return
    _store_suspected(st)
    for part in sorted(after.keys() - before.keys()):
        log_fields = {"with": sorted(after[part] - {part})}
        change = f"part {part} is held back"
        st.emit(effects.LogStateChange("quarantine", change, log_fields))
    for part in sorted(before.keys() - after.keys()):
        change = f"part {part} is no longer held back"
        st.emit(effects.LogStateChange("quarantine", change))
