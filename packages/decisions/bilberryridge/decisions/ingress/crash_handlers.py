"""Finds prompts under which backend servers crash, and holds such prompts back."""

import functools
from collections.abc import Callable

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    crash_reports,
    effects,
    events,
    server_table,
    state,
)

BEGINNING_S = 1.0
"""Time after the first event of an answer after which the server didn't crash on it."""
AT_ONCE_S = 0.1
"""Servers whose connections end within this time have one cause, such as a failed rack
or link; also the time for which a crash is not reported yet."""
MAX_SERVERS_AT_ONCE = 2
"""Servers lost at once beyond which their crashes aren't reported."""
FIRST_ERROR_STATUS = 300


def on_attempt_ended(
    st: state.State,
    item: state.OpenRequest,
    attempt: state.Attempt,
    event: events.AttemptEnded,
    now_s: float,
) -> None:
    """Learn from the end of an attempt at a server."""
    parts = _shared_ids(item.req)
    server = st.servers.by_id.get(attempt.server_id)
    if not parts or server is None:
        return
    is_success = 0 < event.status < FIRST_ERROR_STATUS
    is_answered = event.result is events.AttemptResult.ANSWERED and is_success
    if is_answered or _is_past_beginning(attempt, now_s):
        _record_sound(st, parts, now_s)
    if event.is_disconnected:
        is_beginning = is_success and not _is_past_beginning(attempt, now_s)
        item.n_lost_beginnings += is_beginning
        _record_lost(st, server, parts if is_beginning else [], now_s)


def on_tick(st: state.State, now_s: float) -> None:
    """Report crashes, note answers that go well, and drop expired reports."""
    for item in st.open_requests.values():
        attempt = item.attempt
        if attempt is None or not attempt.server_id or attempt.is_sound:
            continue
        if _is_past_beginning(attempt, now_s):
            attempt.is_sound = True
            _record_sound(st, _shared_ids(item.req), now_s)
    if st.lost_servers and now_s - st.lost_servers[0].at_s >= AT_ONCE_S:
        _report_lost(st, now_s)
    _change(st, lambda: st.quarantine.expire(now_s))


def on_report(
    st: state.State,
    report: crash_reports.Report,
    now_s: float,
) -> None:
    """Take a report of another daemon."""
    if isinstance(report, crash_reports.SoundPart):
        _change(st, lambda: st.quarantine.record_sound([report.part], now_s))
    else:
        _change(st, lambda: st.quarantine.record_crash(report, now_s))


def on_stored_reports(
    st: state.State, now_s: float, event: events.CrashReportsRead
) -> None:
    """Apply the reports that the store holds."""
    _change(
        st, lambda: st.quarantine.apply_stored(event.stored, event.is_settled, now_s)
    )


def find_quarantined(st: state.State, req: ingress.Request) -> str | None:
    """Return the part for which a request is held back; None if there is none."""
    if not st.quarantine.signatures:
        return None
    return st.quarantine.find(_shared_ids(req))


def _shared_ids(req: ingress.Request) -> list[str]:
    return [part.id for part in req.prompt.shared_parts] if req.prompt else []


def _is_past_beginning(attempt: state.Attempt, now_s: float) -> bool:
    return attempt.begun_s is not None and now_s - attempt.begun_s >= BEGINNING_S


def _record_sound(st: state.State, parts: list[str], now_s: float) -> None:
    suspected: list[str] = []
    _change(st, lambda: suspected.extend(st.quarantine.record_sound(parts, now_s)))
    for part in suspected:
        st.emit(effects.LogStateChange("crash", f"part {part} is sound"))
        report = crash_reports.SoundPart(part)
        _tell_peers(st, report)
        st.emit(effects.StoreReport(report))


def _record_lost(
    st: state.State, server: server_table.ServerState, parts: list[str], now_s: float
) -> None:
    record = server.record
    name = f"{record.id}.{record.start_time_ms}"
    lost = next((lost for lost in st.lost_servers if lost.server == name), None)
    if lost is None:
        lost = state.LostServer(name, now_s)
        st.lost_servers.append(lost)
    suspects = frozenset(
        part for part in parts if not st.quarantine.is_recently_sound(part, now_s)
    )
    if suspects:
        lost.prompts.append(suspects)


def _report_lost(st: state.State, now_s: float) -> None:
    """Report the servers lost at once, unless they are too many to have crashed."""
    first_s = st.lost_servers[0].at_s
    at_once = [lost for lost in st.lost_servers if lost.at_s - first_s < AT_ONCE_S]
    del st.lost_servers[: len(at_once)]
    reports = [
        crash_reports.CrashReport(
            lost.server, st.cfg.local_entry.name, tuple(lost.prompts)
        )
        for lost in at_once
        if lost.prompts
    ]
    if len(at_once) > MAX_SERVERS_AT_ONCE:
        reports = []
    for report in reports:
        change = f"{report.server} ended as it began to answer"
        prompts = [sorted(prompt) for prompt in report.prompts]
        st.emit(effects.LogStateChange("crash", change, {"prompts": prompts}))
        _tell_peers(st, report)
        st.unstored_reports.append(report)
        _change(st, functools.partial(st.quarantine.record_crash, report, now_s))


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
