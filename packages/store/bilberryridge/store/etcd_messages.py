"""Messages of the etcd v3 JSON gateway.

Keys and values are base64, 64-bit integers are strings, and fields whose value is zero
are omitted.

References
----------
etcd v3 API, ``rpc.proto`` and its gRPC gateway.
"""

import base64
import functools
import json
from collections.abc import Callable
from typing import Any, ParamSpec, TypeVar

from bilberryridge.store import store
from bilberryridge.utilities import untrusted

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
GRANT_PATH = "/v3/lease/grant"
KEEPALIVE_PATH = "/v3/lease/keepalive"
REVOKE_PATH = "/v3/lease/revoke"
WATCH_PATH = "/v3/watch"


P = ParamSpec("P")
T = TypeVar("T")


class AnswerError(ValueError):
    """An answer that does not conform to the gateway's documentation."""


def _checked(decode: Callable[P, T]) -> Callable[P, T]:
    """Make a decoder raise `AnswerError` for every malformed answer."""

    @functools.wraps(decode)
    def decode_checked(*args: P.args, **kwargs: P.kwargs) -> T:
        try:
            return decode(*args, **kwargs)
        except (AttributeError, LookupError, TypeError, ValueError) as exc:
            raise AnswerError(f"{decode.__name__}: {exc!r}") from exc

    return decode_checked


def range_request(
    key: str, *, is_prefix: bool = False, newest_only: bool = False
) -> bytes:
    """Encode a read of a key or of all keys with a prefix.

    Parameters
    ----------
    key : str
    is_prefix : bool, optional
    newest_only : bool, optional
        Request only the key that was changed last, without its value.
    """
    req: dict[str, Any] = {"key": _to_base64(key.encode())}
    if is_prefix:
        req["range_end"] = _to_base64(prefix_end(key.encode()))
    if newest_only:
        req |= {"limit": "1", "keys_only": True}
        req |= {"sort_order": "DESCEND", "sort_target": "MOD"}
    return _encode(req)


def txn_request(prefix: str, transaction: store.Transaction) -> bytes:
    """Encode a transaction that reads the compared keys if a condition fails."""
    compares = [
        {
            "key": _to_base64((prefix + compare.key).encode()),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(compare.mod_revision),
        }
        for compare in transaction.compares
    ]
    reads = [
        {"request_range": {"key": _to_base64((prefix + compare.key).encode())}}
        for compare in transaction.compares
    ]
    changes = [_change(prefix, change) for change in transaction.changes]
    return _encode({"compare": compares, "success": changes, "failure": reads})


def claim_request(prefix: str, key: str, value: bytes, lease_id: int) -> bytes:
    """Encode a transaction that creates a key, or reads it if it exists."""
    return txn_request(
        prefix,
        store.Transaction(
            compares=(store.Compare(key, 0),),
            changes=(store.Put(key, value, lease_id),),
        ),
    )


def watch_request(prefix: str, after_revision: int) -> bytes:
    """Encode a watch on a prefix."""
    create = {
        "key": _to_base64(prefix.encode()),
        "range_end": _to_base64(prefix_end(prefix.encode())),
        "start_revision": str(after_revision + 1),
    }
    return _encode({"create_request": create})


def grant_request(ttl_s: int) -> bytes:
    """Encode the creation of a lease."""
    return _encode({"TTL": str(ttl_s)})


def lease_request(lease_id: int) -> bytes:
    """Encode the renewal or revocation of a lease."""
    return _encode({"ID": str(lease_id)})


@_checked
def listing(body: bytes, prefix: str) -> store.Listing:
    """Decode the answer to a read."""
    answer = _decode(body)
    items = tuple(_item(kv, prefix) for kv in answer.get("kvs", ()))
    return store.Listing(_header(answer), items, _integer(answer, "count"))


@_checked
def txn_answer(body: bytes, prefix: str) -> store.Committed | store.Conflict:
    """Decode the answer to a transaction."""
    answer = _decode(body)
    revision = _header(answer).revision
    if answer.get("succeeded", False):
        return store.Committed(revision)
    current = [
        _item(kv, prefix)
        for response in answer.get("responses", ())
        for kv in response.get("response_range", {}).get("kvs", ())
    ]
    return store.Conflict(tuple(current), revision)


@_checked
def claim_answer(body: bytes, prefix: str, value: bytes) -> store.Claimed:
    """Decode the answer to a claim of a key for `value`."""
    answer = txn_answer(body, prefix)
    if isinstance(answer, store.Committed):
        return store.Claimed(True, value, answer.revision)
    if not answer.current:
        raise AnswerError("claimed key was neither created nor found")
    holder = answer.current[0].value
    return store.Claimed(holder == value, holder, answer.revision)


@_checked
def watch_answer(line: bytes, prefix: str) -> store.WatchAnswer:
    """Decode one line of a watch's answer."""
    answer = _decode(line)
    if "result" not in answer:
        raise AnswerError(f"watch refused: {line[:200]!r}")
    answer = answer["result"]
    changes = tuple(_key_change(event, prefix) for event in answer.get("events", ()))
    return store.WatchAnswer(
        _header(answer),
        changes,
        bool(answer.get("canceled", False)),
        _integer(answer, "compact_revision"),
    )


@_checked
def lease(body: bytes) -> store.Lease:
    """Decode the answer to the creation or renewal of a lease."""
    answer = _decode(body)
    answer = answer.get("result", answer)
    return store.Lease(_integer(answer, "ID"), float(_integer(answer, "TTL")))


def prefix_end(prefix: bytes) -> bytes:
    r"""Return the first key after all keys that begin with `prefix`.

    Examples
    --------
    >>> prefix_end(b"documents/")
    b'documents0'
    """
    stripped = prefix.rstrip(b"\xff")
    return stripped[:-1] + bytes([stripped[-1] + 1]) if stripped else b"\0"


def _change(prefix: str, change: store.Put | store.Delete) -> dict[str, Any]:
    key = _to_base64((prefix + change.key).encode())
    if isinstance(change, store.Delete):
        return {"request_delete_range": {"key": key}}
    put = {"key": key, "value": _to_base64(change.value)}
    if change.lease_id:
        put["lease"] = str(change.lease_id)
    return {"request_put": put}


def _key_change(event: dict[str, Any], prefix: str) -> store.KeyChange:
    is_deleted = event.get("type", "PUT") == "DELETE"
    return store.KeyChange(_item(event["kv"], prefix), is_deleted)


def _item(kv: dict[str, Any], prefix: str) -> store.KeyValue:
    key = _from_base64(kv.get("key", "")).decode()
    return store.KeyValue(
        key=key.removeprefix(prefix),
        value=_from_base64(kv.get("value", "")),
        mod_revision=_integer(kv, "mod_revision"),
        create_revision=_integer(kv, "create_revision"),
        lease_id=_integer(kv, "lease"),
    )


def _header(answer: dict[str, Any]) -> store.Header:
    header = answer.get("header", {})
    return store.Header(_integer(header, "cluster_id"), _integer(header, "revision"))


def _integer(answer: dict[str, Any], name: str) -> int:
    return int(answer.get(name, 0))


def _encode(req: dict[str, Any]) -> bytes:
    return json.dumps(req, separators=(",", ":")).encode()


def _decode(body: bytes) -> dict[str, Any]:
    answer = untrusted.load_json(body)
    if not isinstance(answer, dict):
        raise AnswerError("answer is not a JSON object")
    return answer


def _to_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _from_base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)
