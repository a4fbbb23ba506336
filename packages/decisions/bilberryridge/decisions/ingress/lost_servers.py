"""Servers whose connections have ended, and which of them count as crashed.

A lost path, or a failure that several servers share, ends connections as well.
"""

import collections
from collections.abc import Callable, Iterable
from typing import Any

from bilberryridge.decisions.ingress import (
    crash_reports,
    effects,
    silent_servers,
    state,
)

AT_ONCE_S = 0.1
"""Servers whose connections end within this time have one cause, such as a failed rack
or link; also the time for which a crash is not reported yet."""
MAX_SERVERS_AT_ONCE = 2
"""Servers lost at once beyond which their crashes aren't reported one by one."""
MIN_SERVERS_AT_ONCE = 2
"""Of many servers lost at once, only what so many of them had is reported."""
REACH_KNOWN_S = 0.6
"""Time, besides two load reports, in which daemons probe a server for one that has lost
its path: 0.5 s may pass between two probes."""
MAX_LOGGED = 8
"""Contents or prompts that a log line names."""


def record(
    st: state.State,
    attempt: state.Attempt,
    parts: list[str],
    content_id: str,
    now_s: float,
) -> None:
    """Record that a server has ended the connection of an attempt.

    Parameters
    ----------
    st : State
    attempt : Attempt
    parts : list of str
        Shared parts of its prompt if the server had just begun to answer it.
    content_id : str
        Empty if the server has answered the request.
    now_s : float
    """
    lost = _find(st, attempt.server_start)
    if lost is None:
        lost = state.LostServer(attempt.server_start, now_s, attempt.server_id)
        st.lost_servers.append(lost)
    is_suspect = not st.crashing_requests.is_recently_sound(content_id, now_s)
    if content_id and is_suspect:
        lost.contents.add(content_id)
    suspects = _suspects(st, parts, now_s)
    if suspects:
        lost.prompts.append(suspects)


def record_silent(st: state.State, silent: state.LostServer) -> None:
    """Record a server that has turned out to have ended in silence."""
    assert silent.silent_s is not None
    prompts = [_suspects(st, prompt, silent.silent_s) for prompt in silent.prompts]
    silent.prompts = [prompt for prompt in prompts if prompt]
    silent.contents = {
        content_id
        for content_id in silent.contents
        if not st.crashing_requests.is_recently_sound(content_id, silent.silent_s)
    }
    lost = _find(st, silent.server)
    if lost is None:
        st.lost_servers.append(silent)
    else:
        lost.prompts += silent.prompts
        lost.contents |= silent.contents


def _find(st: state.State, server: str) -> state.LostServer | None:
    return next((lost for lost in st.lost_servers if lost.server == server), None)


def _suspects(st: state.State, parts: Iterable[str], lost_s: float) -> frozenset[str]:
    """Return the parts on which no answer had just gone well, or has since."""
    return frozenset(
        part for part in parts if not st.quarantine.is_recently_sound(part, lost_s)
    )


def take_due(st: state.State, now_s: float) -> list[state.LostServer]:
    """Remove and return servers lost at once, without those whose path alone is lost.

    The list is empty while more may be lost, or other daemons may tell of a path.
    """
    if not st.lost_servers or now_s - st.lost_servers[0].at_s < AT_ONCE_S:
        return []
    first_s = st.lost_servers[0].at_s
    at_once = [lost for lost in st.lost_servers if lost.at_s - first_s < AT_ONCE_S]
    vms = [entry.name for entry in st.members.linked_in_region()]
    is_reach_unknown = any(_is_reach_unknown(st, lost, vms) for lost in at_once)
    reach_known_s = REACH_KNOWN_S + 2 * st.daemon_loads_interval_s
    if is_reach_unknown and now_s - first_s < reach_known_s:
        return []
    del st.lost_servers[: len(at_once)]
    return _without_uncounted(st, at_once, _is_only_path_lost, "path lost")


def prompt_reports(
    st: state.State, at_once: list[state.LostServer]
) -> list[crash_reports.CrashReport]:
    """Return the reports on the prompts of servers lost at once."""
    reports = [_report(st, lost) for lost in at_once]
    if _is_shared_failure(at_once):
        disconnected = [lost for lost in at_once if lost.silent_s is None]
        for lost in disconnected:
            _log_uncounted(st, lost, "shared failure")
        reports = [_report(st, lost) for lost in at_once if lost.silent_s is not None]
        reports += _report_in_common(st, disconnected)
    return [report for report in reports if report.prompts]


def request_reports(
    st: state.State, at_once: list[state.LostServer]
) -> list[crash_reports.CrashedRequests]:
    """Return the reports on the requests of servers lost at once.

    A failure that servers share has no request as its cause, unless several had it.
    """
    crashed = _without_uncounted(st, at_once, _is_alive, "goes on")
    n_servers = collections.Counter(
        content_id for lost in crashed for content_id in lost.contents
    )
    n_min = MIN_SERVERS_AT_ONCE if _is_shared_failure(at_once) else 1
    reports = []
    for lost in crashed:
        contents = tuple(sorted(c for c in lost.contents if n_servers[c] >= n_min))
        if contents:
            reports.append(crash_reports.CrashedRequests(lost.server, contents))
    return reports


def _is_shared_failure(at_once: list[state.LostServer]) -> bool:
    # Servers that ended in silence are found out one by one, however they were lost.
    return sum(lost.silent_s is None for lost in at_once) > MAX_SERVERS_AT_ONCE


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
