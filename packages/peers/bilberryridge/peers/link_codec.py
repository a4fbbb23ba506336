"""Encoding and decoding of the messages on links between ingress daemons.

A message is a CBOR array ``[kind, field, ...]``.

References
----------
RFC 8949, Concise Binary Object Representation.
"""

import math
from collections.abc import Callable
from typing import Any

import attrs
import cbor2

from bilberryridge.core import ingress
from bilberryridge.decisions import proof_renewal, store_watchers
from bilberryridge.decisions.ingress import (
    admission,
    crash_reports,
    division_messages,
    load_messages,
    stream_origins,
)
from bilberryridge.peers import codec
from bilberryridge.store import mirror

N_EXACT_BELOW = 1_000
"""Amounts from which on fractions are left out where they only estimate."""
MAX_WORK_PER_S = 1e4
"""Servers that one daemon's callers may keep busy; one core forwards less."""


@attrs.frozen
class Hello:
    """The first message on a link, which identifies the sender."""

    entry: ingress.EntryVm


@attrs.frozen
class ChangesRequest:
    """Requests the store's changes after a revision from a daemon that reaches it.

    Parameters
    ----------
    revision : int
    era : int or None
        None from a daemon of an older build, which decodes no era in the answer.
    """

    revision: int
    era: int | None = 0


@attrs.frozen
class StoreChanges:
    """Relays the store's changes.

    Parameters
    ----------
    changes : Changes
    is_settled : bool
        Whether a missing key was removed, rather than lost in an outage, as known to
        the sender.
    has_era : bool
        Whether the era is encoded; a daemon of an older build doesn't decode it.
    since : int
        The revision after which all changes are listed; they are of no use to a daemon
        that is behind it.
    """

    changes: mirror.Changes
    is_settled: bool
    has_era: bool = True
    since: int = 0


Message = (
    Hello
    | store_watchers.StorePosition
    | ChangesRequest
    | load_messages.DaemonLoads
    | load_messages.RegionLoads
    | crash_reports.Report
    | StoreChanges
    | proof_renewal.ProofRequest
    | proof_renewal.ProofAnswer
    | division_messages.Message
)


def encode(message: Message) -> bytes:
    """Encode a message.

    Examples
    --------
    >>> decode(encode(ChangesRequest(3)))
    ChangesRequest(revision=3, era=0)
    """
    kind, pack = _PACK[type(message)]
    return cbor2.dumps([kind, *pack(message)])


def decode(data: bytes) -> Message:
    """Decode a message.

    Raises
    ------
    codec.CodecError
        The bytes are not a message.
    """
    try:
        kind, *fields = cbor2.loads(data)
        return _UNPACK[kind](fields)
    except (
        cbor2.CBORError,
        LookupError,
        TypeError,
        ValueError,
        AttributeError,
        ArithmeticError,
        RecursionError,
    ) as exc:
        raise codec.CodecError(f"not a message on a link: {exc!r}") from exc


def _pack_daemon_loads(message: load_messages.DaemonLoads) -> list[Any]:
    fields_by_server = {
        server_id: [
            share.n_open,
            share.n_pending_tokens,
            share.n_urgent_tokens,
            share.n_memory_tokens,
            [list(part) for part in share.parts],
            share.failure_rate,
            share.n_sent_tokens,
            share.leaving_start_ms,
            share.limit_per_s,
            share.n_limited_sends,
            share.is_unreachable,
            share.brittle_per_s,
            share.n_turned_away,
            share.n_reached,
            share.is_limit_named,
            share.n_limit_unnamed,
            share.stated_pace,
            share.pace_age_s,
            share.window,
            share.n_in_time,
            share.n_out_of_time,
        ]
        for server_id, share in message.by_server.items()
    }
    streams = [
        [stream.id, stream.origin.service, stream.origin.version]
        for stream in message.streams
    ]
    offered = _pack_offered(message.offered)
    return _without_last_empty([fields_by_server, streams, offered], 2)


def _without_last_empty(fields: list[Any], n_always: int) -> list[Any]:
    """Leave out empty optional fields at the end of a message."""
    while len(fields) > n_always and not fields[-1]:
        fields.pop()
    return fields


def _pack_offered(offered: admission.Offered | None) -> list[Any] | None:
    if offered is None:
        return None
    flows = [
        [flow.service, flow.route, flow.priority, flow.standing.value, work]
        for flow, work in offered.flows
    ]
    sharers = [
        [sharer.service, sharer.priority, sharer.name, work]
        for sharer, work in offered.sharers
    ]
    return [flows, sharers]


def _work(value: Any) -> float:
    """Return offered work; an absurd value would take the capacity from all others."""
    work = float(value)
    if not 0.0 <= work <= MAX_WORK_PER_S:
        raise ValueError(f"work offered: {work}")
    return work


def _unpack_offered(fields: list[Any] | None) -> admission.Offered | None:
    if fields is None:
        return None
    flows = tuple(
        (
            admission.Flow(
                str(service), str(route), int(priority), admission.Standing(standing)
            ),
            _work(work),
        )
        for service, route, priority, standing, work, *_ in fields[0]
    )
    sharers = tuple(
        (admission.Sharer(str(service), int(priority), str(name)), _work(work))
        for service, priority, name, work, *_ in fields[1]
    )
    return admission.Offered(flows, sharers)


def _unpack_streams(rows: list[Any]) -> tuple[stream_origins.StreamRecord, ...]:
    return tuple(
        stream_origins.StreamRecord(
            str(stream_id), ingress.StreamOrigin(str(service), str(version))
        )
        for stream_id, service, version in rows
    )


def _unpack_daemon_loads(fields: list[Any]) -> load_messages.DaemonLoads:
    by_server = {}
    for server_id, share in fields[0].items():
        parts = tuple((str(part), int(n)) for part, n in share[4])
        n_open, n_pending, n_urgent, n_memory = (int(value) for value in share[:4])
        # Daemons of older builds tell seven, eight, ten or thirteen values.
        brittle_per_s, n_turned_away = share[11:13] if len(share) > 12 else (None, 0)
        stated_pace, pace_age_s = share[16:18] if len(share) > 17 else (None, 0.0)
        window, n_in_time, n_out_of_time = (
            share[18:21] if len(share) > 20 else (None, 0, 0)
        )
        leaving_start_ms = int(share[7]) if len(share) > 7 else 0
        limit_per_s, n_limited_sends = share[8:10] if len(share) > 9 else (None, 0)
        by_server[str(server_id)] = load_messages.ServerShare(
            n_open,
            n_pending,
            n_urgent,
            n_memory,
            parts,
            float(share[5]),
            int(share[6]),
            leaving_start_ms,
            None if limit_per_s is None else float(limit_per_s),
            int(n_limited_sends),
            bool(share[10]) if len(share) > 10 else False,
            None if brittle_per_s is None else float(brittle_per_s),
            int(n_turned_away),
            int(share[13]) if len(share) > 13 else 0,
            bool(share[14]) if len(share) > 14 else False,
            int(share[15]) if len(share) > 15 else 0,
            None if stated_pace is None else float(stated_pace),
            float(pace_age_s),
            None if window is None else float(window),
            int(n_in_time),
            int(n_out_of_time),
        )
    # Daemons of older builds tell no streams.
    streams = _unpack_streams(fields[1]) if len(fields) > 1 else ()
    offered = _unpack_offered(fields[2]) if len(fields) > 2 else None
    return load_messages.DaemonLoads(by_server, streams, offered)


def _pack_region_loads(message: load_messages.RegionLoads) -> list[Any]:
    fields_by_service = {
        name: attrs.astuple(load) for name, load in message.by_service.items()
    }
    cut_off, rationed = sorted(message.cut_off), sorted(message.rationed)
    fields = [message.region, fields_by_service, cut_off, rationed]
    return _without_last_empty(fields, 3)


def _unpack_region_loads(fields: list[Any]) -> load_messages.RegionLoads:
    by_service = {}
    for name, load in fields[1].items():
        (
            n_servers,
            unloaded_first_s,
            n_pending,
            n_urgent,
            rate,
            n_open,
            n_slots,
            n_free,
            inter_token_s,
        ) = load
        by_service[str(name)] = load_messages.ServiceLoad(
            int(n_servers),
            float(unloaded_first_s),
            int(n_pending),
            int(n_urgent),
            float(rate),
            int(n_open),
            int(n_slots),
            int(n_free),
            float(inter_token_s),
        )
    # Daemons of older builds name no VMs, or no services.
    cut_off = frozenset(str(vm) for vm in fields[2]) if len(fields) > 2 else frozenset()
    names = fields[3] if len(fields) > 3 else ()
    rationed = frozenset(str(name) for name in names)
    return load_messages.RegionLoads(str(fields[0]), by_service, cut_off, rationed)


def _pack_changes(message: StoreChanges) -> list[Any]:
    changes = message.changes
    items = [
        attrs.astuple(update)
        for update in changes.updates
        if isinstance(update, mirror.Item)
    ]
    deletions = [
        attrs.astuple(update)
        for update in changes.updates
        if isinstance(update, mirror.Deletion)
    ]
    era_fields = [changes.era, message.since] if message.has_era else []
    is_settled = message.is_settled
    return [
        changes.revision,
        changes.is_full,
        items,
        deletions,
        is_settled,
        *era_fields,
    ]


def _unpack_changes(fields: list[Any]) -> StoreChanges:
    revision, is_full, items, deletions, is_settled, *era_fields = fields
    era, since = era_fields or (0, 0)
    updates: list[mirror.Item | mirror.Deletion] = [
        mirror.Item(str(key), bytes(value), int(at_revision))
        for key, value, at_revision in items
    ]
    updates += [
        mirror.Deletion(str(key), int(at_revision)) for key, at_revision in deletions
    ]
    changes = mirror.Changes(int(revision), tuple(updates), bool(is_full), int(era))
    return StoreChanges(changes, bool(is_settled), bool(era_fields), int(since))


def _unpack_position(fields: list[Any]) -> store_watchers.StorePosition:
    era, revision, age_s, is_settled = fields
    return store_watchers.StorePosition(
        int(era), int(revision), float(age_s), bool(is_settled)
    )


def _pack_crash_report(report: crash_reports.CrashReport) -> list[Any]:
    return [report.server, report.vm, [sorted(prompt) for prompt in report.prompts]]


def _unpack_crash_report(fields: list[Any]) -> crash_reports.CrashReport:
    server, vm, prompts = fields
    parts = tuple(frozenset(str(part) for part in prompt) for prompt in prompts)
    return crash_reports.CrashReport(str(server), str(vm), parts)


def _unpack_crashed_requests(fields: list[Any]) -> crash_reports.CrashedRequests:
    server, contents = fields
    return crash_reports.CrashedRequests(
        str(server), tuple(str(content_id) for content_id in contents)
    )


def _unpack_changes_request(fields: list[Any]) -> ChangesRequest:
    revision, *era = fields
    return ChangesRequest(int(revision), int(era[0]) if era else None)


def _pack_proof(answer: proof_renewal.ProofAnswer) -> list[Any]:
    # Rounded up, as a proof must not get younger on the way.
    age_ms = None if answer.age_s is None else math.ceil(answer.age_s * 1000)
    return [answer.number, answer.version.era, answer.version.revision, age_ms]


def _unpack_proof(fields: list[Any]) -> proof_renewal.ProofAnswer:
    # Further fields may be appended by later builds.
    number, era, revision, age_ms = fields[:4]
    if age_ms is not None and age_ms < 0:
        raise ValueError(f"a proof of age {age_ms} ms")
    return proof_renewal.ProofAnswer(
        int(number),
        proof_renewal.Version(int(era), int(revision)),
        None if age_ms is None else int(age_ms) / 1000,
    )


def _unpack_hello(fields: list[Any]) -> Hello:
    return Hello(ingress.EntryVm(*[str(field) for field in fields]))


def _amount(value: Any) -> float:
    """Return a number of tokens, a share or a time.

    Raises
    ------
    ValueError
        It is negative or not finite.
    """
    amount = float(value)
    if not 0 <= amount < math.inf:
        raise ValueError(f"no amount: {amount}")
    return amount


def _pack_part_request(message: division_messages.PartRequest) -> list[Any]:
    return [
        message.key,
        message.number,
        _short(message.n_needed),
        _short(message.n_wanted),
        _short(message.wait_s),
        message.is_share,
    ]


def _unpack_part_request(fields: list[Any]) -> division_messages.PartRequest:
    key, number, n_needed, n_wanted, wait_s, is_share = fields[:6]
    return division_messages.PartRequest(
        str(key),
        int(number),
        _amount(n_needed),
        _amount(n_wanted),
        _amount(wait_s),
        bool(is_share),
    )


def _pack_part_grant(message: division_messages.PartGrant) -> list[Any]:
    return [
        message.key,
        message.number,
        message.n_tokens,
        message.share,
        _short(message.lasts_s),
        _short(message.demand_per_s),
        _short(message.n_left),
    ]


def _unpack_part_grant(fields: list[Any]) -> division_messages.PartGrant:
    key, number, n_tokens, share, lasts_s, demand_per_s, n_left = fields[:7]
    return division_messages.PartGrant(
        str(key),
        int(number),
        _amount(n_tokens),
        min(1.0, _amount(share)),
        _amount(lasts_s),
        _amount(demand_per_s),
        _amount(n_left),
    )


def _unpack_part_return(fields: list[Any]) -> division_messages.PartReturn:
    key, number, n_tokens = fields[:3]
    return division_messages.PartReturn(str(key), int(number), _amount(n_tokens))


def _unpack_held(fields: list[Any]) -> division_messages.HeldDaemons:
    ages_s = {str(name): _amount(age_s) for name, age_s in fields[0].items()}
    return division_messages.HeldDaemons(ages_s)


def _short(value: float) -> float:
    """Return a number rounded where that does no harm, as integers take less space."""
    return int(value) if value >= N_EXACT_BELOW else round(value, 3)


_PACK: dict[type, tuple[str, Callable[[Any], Any]]] = {
    Hello: ("hello", lambda message: attrs.astuple(message.entry)),
    ChangesRequest: ("want", lambda message: [message.revision, message.era]),
    load_messages.DaemonLoads: ("domain", _pack_daemon_loads),
    load_messages.RegionLoads: ("region", _pack_region_loads),
    StoreChanges: ("changes", _pack_changes),
    crash_reports.CrashReport: ("crash", _pack_crash_report),
    crash_reports.CrashedRequests: (
        "crashed",
        lambda report: [report.server, list(report.contents)],
    ),
    crash_reports.SoundPart: ("sound", lambda report: [report.part]),
    division_messages.PartRequest: ("ask", _pack_part_request),
    division_messages.PartGrant: ("part", _pack_part_grant),
    division_messages.PartReturn: (
        "unused",
        lambda message: [message.key, message.number, message.n_tokens],
    ),
    division_messages.HeldDaemons: ("held", lambda message: [message.ages_s]),
    store_watchers.StorePosition: (
        "position",
        lambda message: [
            message.era,
            message.revision,
            round(message.age_s, 3),
            message.is_settled,
        ],
    ),
    proof_renewal.ProofRequest: ("proof?", lambda message: [message.number]),
    proof_renewal.ProofAnswer: ("proof", _pack_proof),
}
_UNPACK: dict[str, Callable[[list[Any]], Message]] = {
    "hello": _unpack_hello,
    "want": _unpack_changes_request,
    "domain": _unpack_daemon_loads,
    "region": _unpack_region_loads,
    "changes": _unpack_changes,
    "crash": _unpack_crash_report,
    "crashed": _unpack_crashed_requests,
    "sound": lambda fields: crash_reports.SoundPart(str(fields[0])),
    "ask": _unpack_part_request,
    "part": _unpack_part_grant,
    "unused": _unpack_part_return,
    "held": _unpack_held,
    "position": _unpack_position,
    "proof?": lambda fields: proof_renewal.ProofRequest(int(fields[0])),
    "proof": _unpack_proof,
}
