"""Servers that fell silent under answers that they had begun.

One whose machine is gone closes no connection, and a sound one may stand still. So such
a server counts as crashed only once the store no longer lists that start of it, or no
connection to it can be made while other servers are reached.
"""

from bilberryridge.core import progress, silence
from bilberryridge.decisions.ingress import holding_back, server_table, state

REVIEW_INTERVAL_S = 0.25
"""Interval at which open answers are looked through."""
SUSPECTED_FOR_S = 10.0
"""Time after which nothing is expected to show any more that a server has crashed; its
entry in the store ends within a few seconds."""
MAX_SERVERS = 100
MAX_PROMPTS = 64
"""Prompts of one server that are kept; it reads fewer at once as a rule."""
FIRST_ERROR_STATUS = 300


def note(
    st: state.State, item: state.OpenRequest, attempt: state.Attempt, now_s: float
) -> None:
    """Note an answer that its server had begun and didn't go on with."""
    if not _is_beginning(attempt) or attempt.is_noted:
        return
    attempt.is_noted = True
    silent = st.silent_servers.get(attempt.server_start)
    if silent is None:
        if len(st.silent_servers) >= MAX_SERVERS:
            del st.silent_servers[next(iter(st.silent_servers))]
        silent = state.LostServer(
            attempt.server_start, now_s, attempt.server_id, is_silent=True
        )
        st.silent_servers[attempt.server_start] = silent
    parts = frozenset(holding_back.shared_ids(item.req))
    if parts and len(silent.prompts) < MAX_PROMPTS:
        silent.prompts.append(parts)
    if item.req.content_id:
        silent.contents.add(item.req.content_id)


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


def take_ended(st: state.State, now_s: float) -> list[state.LostServer]:
    """Remove and return the servers that have turned out to have ended."""
    ended = []
    for start, silent in list(st.silent_servers.items()):
        server = find(st, silent)
        if server is not None:
            _observe(st, server, silent, now_s)
        if server is None or _is_unreachable(server, silent):
            ended.append(silent)
            del st.silent_servers[start]
        elif _is_excused(server, silent, now_s):
            del st.silent_servers[start]
    return ended


def find(st: state.State, lost: state.LostServer) -> server_table.ServerState | None:
    """Return a lost server; None if that start of it is no longer listed."""
    server = st.servers.by_id.get(lost.id)
    if server is None or server.record.start_name != lost.server:
        return None
    return server


def _is_beginning(attempt: state.Attempt) -> bool:
    return 0 < attempt.status < FIRST_ERROR_STATUS and not attempt.is_sound


def _is_silent_for(attempt: state.Attempt, silent_s: float, now_s: float) -> bool:
    return _is_beginning(attempt) and now_s - attempt.answered_s >= silent_s


def _observe(
    st: state.State,
    server: server_table.ServerState,
    silent: state.LostServer,
    now_s: float,
) -> None:
    """Learn whether other servers, or an address that fell silent, are reached."""
    path = server.path
    is_probed = path.is_probed_since(silent.at_s) and not path.is_probing
    if is_probed and path.is_open:
        # It may be another start of the server that listens there.
        silent.is_reached = True
    if any(
        other is not server and other.heard_s > silent.at_s
        for other in st.servers.by_id.values()
    ):
        silent.others_heard_s = min(silent.others_heard_s, now_s)


def _is_unreachable(server: server_table.ServerState, silent: state.LostServer) -> bool:
    """Return whether a probe has failed that began after another server was heard.

    One that began before may have failed as this daemon was cut off.
    """
    path = server.path
    is_failed = path.is_lost and not path.is_probing and not silent.is_reached
    return is_failed and path.is_probed_since(silent.others_heard_s)


def _is_excused(
    server: server_table.ServerState, silent: state.LostServer, now_s: float
) -> bool:
    """Return whether it is known to live, leaves, or nothing more is to be expected."""
    is_leaving = server.record.is_leaving or server.availability.is_leaving
    is_overdue = now_s - silent.at_s > SUSPECTED_FOR_S
    return server.heard_s > silent.at_s or is_leaving or is_overdue
