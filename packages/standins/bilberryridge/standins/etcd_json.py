"""JSON representation of etcd's gateway: base64 for bytes, strings for 64-bit numbers.

Fields with their zero value are left out, as the gateway does.
"""

import base64
from collections.abc import Callable
from typing import Any

from bilberryridge.standins import etcd


def to_bytes(text: str | None) -> bytes:
    """Decode a base64 field that may be absent."""
    return base64.b64decode(text or "")


def to_text(data: bytes) -> str:
    """Encode bytes for a field."""
    return base64.b64encode(data).decode()


def key_value(kv: etcd.KeyValue) -> dict[str, Any]:
    """Encode one version of a key.

    Examples
    --------
    >>> key_value(etcd.KeyValue(b"a", b"1", 2, 3, 1))["mod_revision"]
    '3'
    """
    numbers = {
        "create_revision": kv.create_revision,
        "mod_revision": kv.mod_revision,
        "version": kv.version,
        "lease": kv.lease,
    }
    fields: dict[str, Any] = {"key": to_text(kv.key)}
    fields |= {name: str(n) for name, n in numbers.items() if n}
    if kv.value:
        fields["value"] = to_text(kv.value)
    return fields


def event(kv: etcd.KeyValue) -> dict[str, Any]:
    """Encode an event of a watch."""
    if kv.value is None:
        return {"type": "DELETE", "kv": key_value(kv)}
    return {"kv": key_value(kv)}


def put(body: dict) -> etcd.Put:
    """Decode a put request."""
    lease = int(body.get("lease", 0))
    return etcd.Put(to_bytes(body["key"]), to_bytes(body.get("value")), lease)


def delete(body: dict) -> etcd.Delete:
    """Decode a delete request."""
    return etcd.Delete(to_bytes(body["key"]), to_bytes(body.get("range_end")))


def read(body: dict) -> etcd.Range:
    """Decode a range request.

    Raises
    ------
    ValueError
        For an unsupported order.
    """
    sorting = body.get("sort_order", "NONE"), body.get("sort_target", "KEY")
    if sorting not in SORTINGS:
        raise ValueError(f"unsupported sort order and target: {sorting}")
    return etcd.Range(
        to_bytes(body["key"]),
        to_bytes(body.get("range_end")),
        int(body.get("limit", 0)),
        bool(body.get("count_only", False)),
        SORTINGS[sorting],
    )


OPERATIONS: dict[str, Callable[[dict], etcd.Operation]] = {
    "request_put": put,
    "request_range": read,
    "request_delete_range": delete,
}
SORTINGS = {("NONE", "KEY"): False, ("DESCEND", "MOD"): True}
"""Whether the newest key is first, by sort order and target."""

OPERAND_FIELDS = {
    "MOD": "mod_revision",
    "CREATE": "create_revision",
    "VERSION": "version",
    "VALUE": "value",
}


def operation(body: dict) -> etcd.Operation:
    """Decode one operation of a transaction."""
    ((name, inner),) = body.items()
    return OPERATIONS[_snake_case(name)](inner)


def compare(body: dict) -> etcd.Compare:
    """Decode one condition of a transaction."""
    target = body.get("target", "VERSION")
    operand = body.get(OPERAND_FIELDS[target], "")
    value = to_bytes(operand) if target == "VALUE" else int(operand or 0)
    return etcd.Compare(
        to_bytes(body["key"]), target, body.get("result", "EQUAL"), value
    )


def answer(op: etcd.Operation, result: etcd.OperationResult) -> dict[str, Any]:
    """Encode an operation's result, without the header."""
    if isinstance(op, etcd.Put):
        return {}
    if isinstance(op, etcd.Delete):
        return {"deleted": str(result.count)} if result.count else {}
    fields: dict[str, Any] = {}
    if result.kvs:
        fields["kvs"] = [key_value(kv) for kv in result.kvs]
    if result.count:
        fields["count"] = str(result.count)
    if op.limit and result.count > op.limit:
        fields["more"] = True
    return fields


def answer_in_transaction(
    op: etcd.Operation, result: etcd.OperationResult
) -> dict[str, Any]:
    """Encode an operation's result inside a transaction's."""
    names = {etcd.Put: "response_put", etcd.Range: "response_range"}
    name = names.get(type(op), "response_delete_range")
    return {name: answer(op, result)}


def _snake_case(name: str) -> str:
    return "".join(f"_{c.lower()}" if c.isupper() else c for c in name)
