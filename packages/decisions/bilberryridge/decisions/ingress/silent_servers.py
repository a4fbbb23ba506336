"""Servers of which an answer that they had begun doesn't tell whether they crashed.

One whose machine is gone closes no connection, and a sound one may stand still. An
answer without a length or chunks ends with its connection, also where a crash ends it.
So such a server counts as crashed only once the store no longer lists that start of it,
or no connection to it can be made while other servers are reached.
"""

import math

import attrs

from bilberryridge.core import progress, silence
from bilberryridge.decisions.ingress import holding_back, server_table, state

REVIEW_INTERVAL_S = 0.25
"""Interval at which open answers are looked through."""
SUSPECTED_FOR_S = 10.0
"""Time after which nothing is expected to show any more that a server has crashed; its
entry in the store ends within a few seconds."""
HEARD_AFTER_S = 0.5
"""Time after which an answer shows that the server lives; an earlier one may have been
on its way."""
MAX_SERVERS = 100
MAX_ANSWERS = 64
"""Answers of one server that are kept, the latest; it begins fewer within
`HEARD_AFTER_S` for one daemon."""
FIRST_ERROR_STATUS = 300


@attrs.frozen
class Ended:
    """What has turned out since answers were noted.

    Parameters
    ----------
    servers : list of LostServer
        Servers that have ended.
    sound : list of SilentAnswer
        Answers that were whole, as their servers went on serving.
    """

    servers: list[state.LostServer]
    sound: list[state.SilentAnswer]


def note(
    st: state.State, item: state.OpenRequest, attempt: state.Attempt, now_s: float
) -> None:
    """Note an answer that its server had begun and didn't go on with."""
    if _is_beginning(attempt):
        _note(st, item, attempt, now_s, is_whole=False)


def note_unproven(
    st: state.State, item: state.OpenRequest, attempt: state.Attempt, now_s: float
) -> None:
    """Note an answer that is whole unless a crash has ended its connection."""
    _note(st, item, attempt, now_s, is_whole=True)


def on_given_up(st: state.State, item: state.OpenRequest, now_s: float) -> None:
    """Note the answer of an attempt that this daemon ends, if it has been silent."""
    attempt = item.attempt
    if attempt is not None and _is_silent_for(attempt, progress.BEGINNING_S, now_s):
        note(st, item, attempt, now_s)


def on_sound(st: state.State, attempt: state.Attempt) -> None:
    """Forget the silence of a server that goes on with an answer."""
    if attempt.is_noted:
        st.silent_servers.pop(attempt.server_start, None)


def review(st: state.State, now_s: float) -> list[state.Attempt]:
    """Note open answers that have been silent for long; return their attempts."""
    if now_s - st.silence_reviewed_s < REVIEW_INTERVAL_S:
        return []
    st.silence_reviewed_s = now_s
    noted = []
    for item in st.open_requests.values():
        attempt = item.attempt
        if attempt is None or attempt.is_noted:
            continue
        if _is_silent_for(attempt, silence.SOUND_SILENCE_S, now_s):
            note(st, item, attempt, now_s)
            noted.append(attempt)
    return noted


def take_ended(st: state.State, now_s: float) -> Ended:
    """Remove and return what has turned out to have ended."""
    servers, sound = [], []
    for start, silent in list(st.silent_servers.items()):
        server = find(st, silent)
        if server is not None:
            sound += _take_sound(server, silent)
            _observe(st, server, silent, now_s)
        if server is None or _is_unreachable(server, silent):
            servers.append(_as_lost(silent, now_s))
            del st.silent_servers[start]
        elif _is_excused(server, silent, now_s):
            del st.silent_servers[start]
    return Ended(servers, sound)


def find(
    st: state.State, lost: state.LostServer | state.SilentServer
) -> server_table.ServerState | None:
    """Return a lost server; None if that start of it is no longer listed."""
    server = st.servers.by_id.get(lost.id)
    if server is None or server.record.start_name != lost.server:
        return None
    return server


def _note(
    st: state.State,
    item: state.OpenRequest,
    attempt: state.Attempt,
    now_s: float,
    is_whole: bool,
) -> None:
    if attempt.is_noted:
        return
    attempt.is_noted = True
    silent = st.silent_servers.get(attempt.server_start)
    if silent is None:
        if len(st.silent_servers) >= MAX_SERVERS:
            del st.silent_servers[next(iter(st.silent_servers))]
        silent = state.SilentServer(attempt.server_start, attempt.server_id, now_s)
        st.silent_servers[attempt.server_start] = silent
    parts = frozenset(holding_back.shared_ids(item.req))
    answer = state.SilentAnswer(now_s, parts, item.req.content_id, is_whole)
    silent.answers = [*silent.answers, answer][-MAX_ANSWERS:]
    silent.noted_s = now_s
    silent.is_reached = False
    silent.others_heard_s = math.inf


def _is_beginning(attempt: state.Attempt) -> bool:
    return 0 < attempt.status < FIRST_ERROR_STATUS and not attempt.is_sound


def _is_silent_for(attempt: state.Attempt, silent_s: float, now_s: float) -> bool:
    return _is_beginning(attempt) and now_s - attempt.answered_s >= silent_s


def _take_sound(
    server: server_table.ServerState, silent: state.SilentServer
) -> list[state.SilentAnswer]:
    """Remove the answers after which the server went on; return the whole ones."""
    before_s = server.shown_s - HEARD_AFTER_S
    heard_after = [answer for answer in silent.answers if answer.at_s < before_s]
    silent.answers = [answer for answer in silent.answers if answer.at_s >= before_s]
    return [answer for answer in heard_after if answer.is_whole]


def _observe(
    st: state.State,
    server: server_table.ServerState,
    silent: state.SilentServer,
    now_s: float,
) -> None:
    """Learn whether other servers, or an address that fell silent, are reached."""
    path = server.path
    is_probed = path.is_probed_since(silent.noted_s) and not path.is_probing
    if is_probed and path.is_open:
        # It may be another start of the server that listens there.
        silent.is_reached = True
    if any(
        other is not server and other.heard_s > silent.noted_s
        for other in st.servers.by_id.values()
    ):
        silent.others_heard_s = min(silent.others_heard_s, now_s)


def _is_unreachable(
    server: server_table.ServerState, silent: state.SilentServer
) -> bool:
    """Return whether a probe has failed that began after another server was heard.

    One that began before may have failed as this daemon was cut off.
    """
    path = server.path
    is_failed = path.is_lost and not path.is_probing and not silent.is_reached
    return is_failed and path.is_probed_since(silent.others_heard_s)


def _is_excused(
    server: server_table.ServerState, silent: state.SilentServer, now_s: float
) -> bool:
    """Return whether it lives, leaves, or nothing more is to be expected."""
    is_leaving = server.record.is_leaving or server.availability.is_leaving
    is_overdue = now_s - silent.noted_s > SUSPECTED_FOR_S
    return not silent.answers or is_leaving or is_overdue


def _as_lost(silent: state.SilentServer, now_s: float) -> state.LostServer:
    prompts = [answer.parts for answer in silent.answers if answer.parts]
    contents = {answer.content_id for answer in silent.answers if answer.content_id}
    return state.LostServer(
        silent.server, now_s, silent.id, prompts, contents, silent.noted_s
    )
