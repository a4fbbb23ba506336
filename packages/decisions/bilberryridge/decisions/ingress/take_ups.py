"""Streams that callers take up, and what each daemon tells others of those it began.

What is known of a stream comes from this daemon itself, from the other daemons of the
region, which are told of each within a tenth of a second, and from the store, which is
told while a service has several software versions. It outlives all daemons there. While
a service has a single version, all of its streams began at that one. A daemon that was
stopped or cut off doesn't know that it hasn't heard of another version, so that it asks
the store before it concludes that.
"""

import enum
from typing import Any

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    effects,
    events,
    load_messages,
    state,
    stream_origins,
)

SAVE_INTERVAL_S = 0.25
"""Interval in which new streams are given to the store; those of the last one before
all daemons are killed are lost."""
MAX_SAVES_PER_S = 100.0
"""Maximum rate of such writes by all daemons together, of 400 that a small store
takes."""
MAX_CHECK_S = 0.4
"""Longest time that a request waits for the store's answer, which takes 5 ms."""
MAX_LOGGED_ID_CHARS = 80


class Source(enum.Enum):
    """What the origin of a stream is known from."""

    RECORD = "record"
    SINGLE_VERSION = "single version"


def is_take_up(req: ingress.Request, route: ingress.Route) -> bool:
    """Return whether a request takes up a stream that broke off."""
    return route.kind is ingress.RequestKind.STREAM and bool(req.last_event_id)


def find_origin(
    st: state.State, req: ingress.Request, route: ingress.Route
) -> tuple[ingress.StreamOrigin, Source] | None:
    """Return the origin of the stream that a request takes up; None if unknown."""
    origin = st.streams.find(req.taken_up_id)
    if origin is not None:
        return origin, Source.RECORD
    services = {share.service for share in route.shares if share.weight > 0}
    if not st.is_store_current or len(services) != 1:
        return None
    origins = _recent_origins(st, services.pop())
    return (origins.pop(), Source.SINGLE_VERSION) if len(origins) == 1 else None


def await_store(st: state.State, req: ingress.Request, now_s: float) -> None:
    """Let a request wait until the store has told all versions until now."""
    st.waiting_take_ups[req.id] = state.WaitingTakeUp(req, now_s)
    check_store(st, now_s)


def take_checked(st: state.State) -> list[ingress.Request]:
    """Return the requests that a check of the store was for; they wait no longer."""
    st.is_store_being_checked = False
    checked = [each.req for each in st.waiting_take_ups.values() if each.is_checked]
    for req in checked:
        del st.waiting_take_ups[req.id]
    return checked


def take_overdue(st: state.State, now_s: float) -> list[ingress.Request]:
    """Return the requests that have waited too long; they wait no longer."""
    check_store(st, now_s)
    waiting = st.waiting_take_ups.values()
    overdue = [e.req for e in waiting if now_s - e.arrived_s >= MAX_CHECK_S]
    for req in overdue:
        del st.waiting_take_ups[req.id]
    return overdue


def check_store(st: state.State, now_s: float) -> None:
    """Ask the store for what requests wait for, unless it is being asked."""
    is_waited_for = st.waiting_take_ups or st.waiting_starts
    if st.is_store_being_checked or not is_waited_for:
        return
    st.is_store_being_checked = True
    st.store_asked_s = now_s
    st.waiting_starts = dict.fromkeys(st.waiting_starts, True)
    for waiting in st.waiting_take_ups.values():
        waiting.is_checked = True
    st.emit(effects.CheckStore())


def record_origin(
    st: state.State,
    item: state.OpenRequest,
    attempt: state.Attempt,
    told: ingress.StreamOrigin | None,
) -> None:
    """Keep what began a stream, as nothing else can continue it.

    Parameters
    ----------
    st : State
    item : OpenRequest
    attempt : Attempt
        Brought the first event, unless another one has.
    told : StreamOrigin or None
        What the daemon that forwards the stream says.
    """
    if item.origin is not None:
        return
    if attempt.server_id:
        if attempt.version is not None:
            item.origin = ingress.StreamOrigin(item.service.name, attempt.version)
        elif item.unsure is None:
            server = st.servers.by_id.get(attempt.server_id)
            if server is not None:
                item.unsure = state.UnsureStart(server, server.reached_s)
        return
    item.origin = told
    if told is not None and st.table is not None:
        # The other daemon draws the service of a route with several itself.
        item.service = st.table.services.get(told.service, item.service)


def record(st: state.State, item: state.OpenRequest, now_s: float) -> None:
    """Remember the origin of a stream whose first event was passed on."""
    req, route = item.req, item.route
    is_recorded = route.kind is ingress.RequestKind.STREAM and route.is_resumable
    # The daemon that relayed it records it, and may meet another origin.
    if item.origin is None or req.is_relayed or not is_recorded:
        return
    stream_id = req.taken_up_id if req.last_event_id else req.caller_request_id
    st.streams.record(stream_origins.StreamRecord(stream_id, item.origin), now_s)


def log_fields(req: ingress.Request, source: Source | None = None) -> dict[str, Any]:
    """Return what tells of the stream that a request takes up, for the log."""
    if not req.last_event_id:
        return {}
    fields: dict[str, Any] = {
        "taken_up": req.taken_up_id[:MAX_LOGGED_ID_CHARS],
        "last_event": req.last_event_id[:MAX_LOGGED_ID_CHARS],
    }
    if source is not None:
        fields["origin_from"] = source.value
    return fields


def on_streams(st: state.State, now_s: float, event: events.StreamsRead) -> None:
    """Learn the streams that other daemons gave to the store."""
    st.streams.learn(event.streams, "", now_s)


def on_store_contact(st: state.State, now_s: float, event: events.StoreContact) -> None:
    """Keep whether new versions of servers would be known."""
    st.is_store_current = event.is_current


def on_tick(st: state.State, now_s: float) -> None:
    """Give new streams to the store if a service has several versions."""
    st.streams.remove_expired(now_s)
    n_daemons = st.members.n_daemons(now_s)
    interval_s = max(SAVE_INTERVAL_S, n_daemons / MAX_SAVES_PER_S)
    if now_s - st.streams_saved_s < interval_s or st.table is None:
        return
    st.streams_saved_s = now_s
    mixed = frozenset(
        name for name in st.table.services if len(_recent_origins(st, name)) > 1
    )
    streams = st.streams.take_unsaved(mixed) if mixed else ()
    if streams:
        st.emit(effects.StoreStreams(streams))


def tell(st: state.State, vm: str) -> None:
    """Tell a newly linked daemon of the region the streams begun here and at itself."""
    streams = st.streams.begun_at(st.cfg.local_entry.name, vm)
    if streams:
        message = load_messages.DaemonLoads({}, streams)
        st.emit(effects.SendPeerMessage(vm, message))


def _recent_origins(st: state.State, service: str) -> set[ingress.StreamOrigin]:
    return st.versions.recent(service) | st.streams.origins_of(service)
