"""Messages of ingress daemons to bytes and back.

A message is a CBOR array ``[kind, field, ...]``.

References
----------
RFC 8949, Concise Binary Object Representation.
"""

from collections.abc import Callable
from typing import Any

import attrs
import cbor2

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import load_messages
from bilberryridge.peers import codec
from bilberryridge.store import mirror


@attrs.frozen
class Hello:
    """The first message on a link."""

    entry: ingress.EntryVm


@attrs.frozen
class ChangesRequest:
    """Asks for the store's changes after a revision: the sender can't reach it."""

    revision: int


@attrs.frozen
class StoreChanges:
    """Hands the store's changes on.

    Parameters
    ----------
    changes : Changes
    is_settled : bool
        Whether keys that are missing are gone for good, as the sender knows.
    """

    changes: mirror.Changes
    is_settled: bool


Message = (
    Hello
    | ChangesRequest
    | load_messages.DaemonLoads
    | load_messages.RegionLoads
    | StoreChanges
)


def encode(message: Message) -> bytes:
    """Write a message.

    Examples
    --------
    >>> decode(encode(ChangesRequest(3)))
    ChangesRequest(revision=3)
    """
    kind, pack = _PACK[type(message)]
    return cbor2.dumps([kind, *pack(message)])


def decode(data: bytes) -> Message:
    """Read a message.

    Raises
    ------
    codec.CodecError
    """
    try:
        kind, *fields = cbor2.loads(data)
        return _UNPACK[kind](fields)
    except (cbor2.CBORError, KeyError, TypeError, ValueError, AttributeError) as exc:
        raise codec.CodecError(f"no message: {exc!r}") from exc


def _pack_domain(message: load_messages.DaemonLoads) -> list[Any]:
    rows = {
        server_id: [
            share.n_open,
            share.n_pending_tokens,
            share.n_urgent_tokens,
            share.n_memory_tokens,
            [list(part) for part in share.parts],
            share.failure_rate,
            share.n_sent_tokens,
        ]
        for server_id, share in message.by_server.items()
    }
    return [rows]


def _unpack_domain(fields: list[Any]) -> load_messages.DaemonLoads:
    rows = {}
    for server_id, row in fields[0].items():
        parts = tuple((str(part), int(n)) for part, n in row[4])
        n_open, n_pending, n_urgent, n_memory = (int(value) for value in row[:4])
        rows[str(server_id)] = load_messages.ServerShare(
            n_open, n_pending, n_urgent, n_memory, parts, float(row[5]), int(row[6])
        )
    return load_messages.DaemonLoads(rows)


def _pack_region(message: load_messages.RegionLoads) -> list[Any]:
    rows = {name: attrs.astuple(load) for name, load in message.by_service.items()}
    return [message.region, rows]


def _unpack_region(fields: list[Any]) -> load_messages.RegionLoads:
    rows = {}
    for name, row in fields[1].items():
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
        ) = row
        rows[str(name)] = load_messages.ServiceLoad(
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
    return load_messages.RegionLoads(str(fields[0]), rows)


def _pack_changes(message: StoreChanges) -> list[Any]:
    changes = message.changes
    items = [attrs.astuple(r) for r in changes.rows if isinstance(r, mirror.Item)]
    gone = [attrs.astuple(r) for r in changes.rows if isinstance(r, mirror.Deletion)]
    return [changes.revision, changes.is_full, items, gone, message.is_settled]


def _unpack_changes(fields: list[Any]) -> StoreChanges:
    revision, is_full, items, gone, is_settled = fields
    rows: list[mirror.Item | mirror.Deletion] = [
        mirror.Item(str(key), bytes(value), int(at)) for key, value, at in items
    ]
    rows += [mirror.Deletion(str(key), int(at)) for key, at in gone]
    changes = mirror.Changes(int(revision), tuple(rows), bool(is_full))
    return StoreChanges(changes, bool(is_settled))


def _unpack_hello(fields: list[Any]) -> Hello:
    return Hello(ingress.EntryVm(*[str(field) for field in fields]))


_PACK: dict[type, tuple[str, Callable[[Any], Any]]] = {
    Hello: ("hello", lambda message: attrs.astuple(message.entry)),
    ChangesRequest: ("want", lambda message: [message.revision]),
    load_messages.DaemonLoads: ("domain", _pack_domain),
    load_messages.RegionLoads: ("region", _pack_region),
    StoreChanges: ("changes", _pack_changes),
}
_UNPACK: dict[str, Callable[[list[Any]], Message]] = {
    "hello": _unpack_hello,
    "want": lambda fields: ChangesRequest(int(fields[0])),
    "domain": _unpack_domain,
    "region": _unpack_region,
    "changes": _unpack_changes,
}
