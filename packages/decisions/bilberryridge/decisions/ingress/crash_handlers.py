"""Finds the prompts and requests under which backend servers crash."""

import functools
from collections.abc import Callable
from typing import Any

from bilberryridge.decisions.ingress import (
    crash_reports,
    crashing_requests,
    effects,
    events,
    holding_back,
    lost_servers,
    path_handlers,
    server_table,
    silent_servers,
    state,
)

MIN_CRASHES_TO_STORE = 2
"""Crashes from which on a request's are stored: calls to the store are limited, and
most crashes have another cause."""
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
        lost_servers.record(
            st, attempt, suspects, "" if is_sound else content_id, now_s
        )
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
        lost_servers.record_silent(st, lost)
    at_once = lost_servers.take_due(st, now_s)
    for crashed in lost_servers.request_reports(st, at_once):
        _report_requests(st, crashed, now_s)
    for report in lost_servers.prompt_reports(st, at_once):
        _report_prompts(st, report, now_s)
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


def _report_prompts(
    st: state.State, report: crash_reports.CrashReport, now_s: float
) -> None:
    change = f"{report.server} ended as it began to answer"
    prompts = [sorted(prompt) for prompt in report.prompts]
    st.emit(effects.LogStateChange("crash", change, {"prompts": prompts}))
    _tell_peers(st, report)
    st.unstored_reports.append(report)
    _change(st, functools.partial(st.quarantine.record_crash, report, now_s))


def _report_requests(
    st: state.State, report: crash_reports.CrashedRequests, now_s: float
) -> None:
    change = f"{report.server} ended under requests"
    contents = list(report.contents)
    st.emit(effects.LogStateChange("crash", change, {"contents": contents}))
    _tell_peers(st, report)
    for content_id in contents:
        single = crash_reports.CrashedRequests(report.server, (content_id,))
        st.unstored_requests.append(single)
    _record_crashed(st, report, now_s)


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
