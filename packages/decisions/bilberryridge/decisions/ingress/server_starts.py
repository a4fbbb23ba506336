"""Whether a server is surely the start, and so the version, that its entry tells of.

A server may end and start again with another software version under the same id and
address. Its start is known while a connection to it lasts, and up to the moment as of
which the store's changes are known here. So it is doubted from the first connection
after all earlier ones have ended until the store has told, as of that moment or later,
that the entry is the same. Streams go on only at a server whose start is known. One
that finds no other, or that began at a doubted one, asks the store first, which takes
5 ms.
"""

import math

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    effects,
    events,
    placement,
    sending,
    server_table,
    state,
    take_ups,
)


def on_server_reached(
    st: state.State, now_s: float, event: events.ServerReached
) -> None:
    """Doubt a server to which no connection had lasted until a new one was made.

    What waits for that connection has not been sent yet.
    """
    for server in st.servers.by_id.values():
        if server.record.address != event.address:
            continue
        server.connected_s = now_s
        doubt(st, server, now_s)
        if server.is_start_known:
            continue
        for item in list(st.open_requests.values()):
            _on_doubted(st, item, server, now_s)


def on_store_contact(st: state.State, now_s: float, event: events.StoreContact) -> None:
    """Take as of when the store's changes are known here.

    Where the store is found away, servers that were reached again since its last answer
    are doubted too.
    """
    take_ups.on_store_contact(st, now_s, event)
    if event.is_current:
        st.store_known_s = event.known_s
        confirm(st, event.known_s, now_s)
        return
    st.store_known_s = min(event.known_s, now_s)
    for server in st.servers.by_id.values():
        if server.path_back_s > st.store_known_s:
            doubt_as_cold(st, server, now_s)
        elif server.reached_s > st.store_known_s:
            server.is_start_known = False


def doubt(st: state.State, server: server_table.ServerState, reached_s: float) -> None:
    """Doubt the start of a server that was reached, unless the store has told since.

    Servers that name no version have one among themselves.
    """
    if reached_s <= st.store_known_s or not server.record.version:
        return
    server.reached_s = reached_s
    server.is_start_known = False


def doubt_as_cold(
    st: state.State, server: server_table.ServerState, now_s: float
) -> None:
    """Take a server for one that may have started again, cold and of any version."""
    service = st.table.services.get(server.record.service) if st.table else None
    warmup_s = service.warmup_s if service else 0.0
    server.cold_until_s = max(server.cold_until_s, now_s + warmup_s)
    server.is_start_known = False
    server.reached_s = max(server.reached_s, server.path_back_s)
    change = f"{server.record.id} may have started again"
    log_fields = {"cause": "lost while the store is away", "cold_s": warmup_s}
    st.emit(effects.LogStateChange("start", change, log_fields))


def confirm(st: state.State, known_s: float, now_s: float) -> None:
    """End the doubt of servers that were reached before the store told their entries.

    Streams that began there meanwhile began at the version that the entry tells.

    Parameters
    ----------
    st : State
    known_s : float
        As of when the store's changes are known.
    now_s : float
    """
    for server in st.servers.by_id.values():
        if not server.is_start_known and server.reached_s <= known_s:
            server.is_start_known = True
    for item in st.open_requests.values():
        unsure = item.unsure
        if unsure is None or item.origin is not None or unsure.reached_s > known_s:
            continue
        record = unsure.server.record
        if st.servers.by_id.get(record.id) is unsure.server:
            item.origin = ingress.StreamOrigin(item.service.name, record.version)
            take_ups.record(st, item, now_s)


def await_store(
    st: state.State, item: state.OpenRequest, choice: placement.Choice, now_s: float
) -> bool:
    """Let a stream wait for the store's word if only doubted servers can continue it.

    One that another daemon forwards also waits where it would begin at such a server:
    the other daemon is told what began it with the first event, not later.

    Returns
    -------
    bool
        False if it needn't wait, or has waited already.
    """
    if isinstance(choice, placement.ServerChoice):
        is_told = item.req.is_relayed and item.route.is_resumable
        return is_told and not choice.server.is_start_known and _wait(st, item, now_s)
    if isinstance(choice, placement.PeerChoice) or item.origin is None:
        return False
    is_doubted = any(
        server.record.version == item.origin.version and not server.is_start_known
        for server in st.servers.usable(item.service.name, now_s)
    )
    return is_doubted and _wait(st, item, now_s)


def await_origin(st: state.State, item: state.OpenRequest, now_s: float) -> bool:
    """Let a broken-off stream wait for the store's word on the server that began it.

    Returns
    -------
    bool
        False if its origin can't become known.
    """
    if item.origin is not None or item.unsure is None:
        return False
    return _wait(st, item, now_s)


def take_checked(st: state.State, is_confirmed: bool) -> list[state.OpenRequest]:
    """Return the streams that a check of the store was for.

    They wait again only if the store has answered and another server is doubted.
    """
    checked = [name for name, is_asked in st.waiting_starts.items() if is_asked]
    items = []
    for request_id in checked:
        del st.waiting_starts[request_id]
        item = st.open_requests.get(request_id)
        if item is not None and item.attempt is None:
            item.place_again_s = math.inf
            if not is_confirmed:
                item.starts_awaited_until_s = -math.inf
            items.append(item)
    return items


def _on_doubted(
    st: state.State,
    item: state.OpenRequest,
    server: server_table.ServerState,
    now_s: float,
) -> None:
    attempt = item.attempt
    if attempt is None or attempt.server_id != server.record.id:
        return
    if attempt.begun_s is not None or not item.route.is_resumable:
        return
    attempt.version = None
    # Another daemon would be told the origin of a stream that it forwards.
    if item.origin is None and not item.req.is_relayed:
        return
    sending.cancel(st, item)
    item.n_server_attempts -= 1
    item.tried_servers.discard(server.record.id)
    if not _wait(st, item, now_s):
        item.place_again_s = now_s


def _wait(st: state.State, item: state.OpenRequest, now_s: float) -> bool:
    if item.starts_awaited_until_s is None:
        item.starts_awaited_until_s = now_s + take_ups.MAX_CHECK_S
    if now_s >= item.starts_awaited_until_s or not st.is_store_current:
        return False
    item.place_again_s = item.starts_awaited_until_s
    st.waiting_starts[item.req.id] = False
    take_ups.check_store(st, now_s)
    return True
