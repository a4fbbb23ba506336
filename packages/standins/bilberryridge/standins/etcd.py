"""State of the fake configuration store: a subset of etcd v3.

Keys and values are bytes; `etcd_json` converts them to the JSON gateway's form.

References
----------
etcd API v3, ``etcdserver/api/etcdserverpb/rpc.proto``.
"""

import time
from collections.abc import Callable

import attrs

OPEN_END = b"\0"


@attrs.frozen
class KeyValue:
    """One version of a key; `value` is None for a delete."""

    key: bytes
    value: bytes | None
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.frozen
class Compare:
    """One condition of a transaction."""

    key: bytes
    target: str
    result: str
    operand: int | bytes


@attrs.frozen
class Put:
    """Write a key."""

    key: bytes
    value: bytes
    lease: int = 0


@attrs.frozen
class Delete:
    """Delete the keys of a range."""

    key: bytes
    range_end: bytes = b""


@attrs.frozen
class Range:
    """Read the keys of a range."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0
    count_only: bool = False
    is_newest_first: bool = False


Operation = Put | Delete | Range


@attrs.frozen
class OperationResult:
    """Result of one operation."""

    kvs: tuple[KeyValue, ...]
    count: int


@attrs.define
class Lease:
    """A lease that ends at a monotonic time."""

    ttl_s: int
    ends_s: float


def is_in_range(key: bytes, start: bytes, range_end: bytes) -> bool:
    """Whether a key is in an etcd range.

    Examples
    --------
    >>> is_in_range(b"ab", b"a", b"b"), is_in_range(b"ab", b"a", b"")
    (True, False)
    """
    if not range_end:
        return key == start
    return key >= start and (range_end == OPEN_END or key < range_end)


_COMPARISONS: dict[str, Callable] = {
    "EQUAL": lambda a, b: a == b,
    "NOT_EQUAL": lambda a, b: a != b,
    "GREATER": lambda a, b: a > b,
    "LESS": lambda a, b: a < b,
}


class Store:
    """Keys, their history and leases.

    Parameters
    ----------
    on_change : callable
        Called with the versions that one revision wrote.
    """

    def __init__(self, on_change: Callable[[list[KeyValue]], None]):
        self.revision = 1
        self.history: list[KeyValue] = []
        self.leases: dict[int, Lease] = {}
        self._keys: dict[bytes, KeyValue] = {}
        self._on_change = on_change
        self._next_lease = 1

    def run(self, operations: list[Operation]) -> list[OperationResult]:
        """Run operations as one revision; return the result of each."""
        written: list[KeyValue] = []
        results = [self._run_one(op, written) for op in operations]
        if written:
            self.revision += 1
            self.history += written
            self._on_change(written)
        return results

    def holds(self, compare: Compare) -> bool:
        """Whether a condition is true now."""
        kv = self._keys.get(compare.key)
        actual: int | bytes | None
        if compare.target == "VALUE":
            actual = kv.value if kv else None
        else:
            name = {"MOD": "mod_revision", "CREATE": "create_revision"}
            actual = getattr(kv, name.get(compare.target, "version")) if kv else 0
        return actual is not None and _COMPARISONS[compare.result](
            actual, compare.operand
        )

    def grant(self, ttl_s: int, requested_id: int = 0) -> int:
        """Grant a lease; return its id."""
        lease_id = requested_id or self._next_lease
        self._next_lease = max(self._next_lease, lease_id) + 1
        self.leases[lease_id] = Lease(ttl_s, time.monotonic() + ttl_s)
        return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease; return its time to live in seconds, 0 when it has ended."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.ends_s = time.monotonic() + lease.ttl_s
        return lease.ttl_s

    def keys_of(self, lease_id: int) -> list[bytes]:
        """Keys attached to a lease."""
        return [kv.key for kv in self._keys.values() if kv.lease == lease_id]

    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        if self.leases.pop(lease_id, None) is not None:
            self.run([Delete(key) for key in self.keys_of(lease_id)])

    def end_due_leases(self) -> None:
        """End every expired lease."""
        now_s = time.monotonic()
        for lease_id, lease in list(self.leases.items()):
            if lease.ends_s <= now_s:
                self.end_lease(lease_id)

    def restore(self, revision: int) -> None:
        """Return to an older revision, as a restore from a backup does."""
        self.history = [kv for kv in self.history if kv.mod_revision <= revision]
        self.revision = revision
        self._keys = {}
        for kv in self.history:
            self._apply(kv)

    def _run_one(self, op: Operation, written: list[KeyValue]) -> OperationResult:
        if isinstance(op, Put):
            old = self._keys.get(op.key)
            self._write(self._next_version(op, old), written)
            return OperationResult((old,) if old else (), 0)
        kvs = self._matching(op.key, op.range_end)
        if isinstance(op, Delete):
            for kv in kvs:
                deletion = KeyValue(kv.key, None, 0, self.revision + 1, 0)
                self._write(deletion, written)
            return OperationResult(tuple(kvs), len(kvs))
        if op.is_newest_first:
            kvs.sort(key=lambda kv: kv.mod_revision, reverse=True)
        returned = [] if op.count_only else kvs[: op.limit or None]
        return OperationResult(tuple(returned), len(kvs))

    def _next_version(self, op: Put, old: KeyValue | None) -> KeyValue:
        revision = self.revision + 1
        created = old.create_revision if old else revision
        version = old.version + 1 if old else 1
        return KeyValue(op.key, op.value, created, revision, version, op.lease)

    def _matching(self, key: bytes, range_end: bytes) -> list[KeyValue]:
        if not range_end:
            return [self._keys[key]] if key in self._keys else []
        names = [k for k in self._keys if is_in_range(k, key, range_end)]
        return [self._keys[k] for k in sorted(names)]

    def _write(self, kv: KeyValue, written: list[KeyValue]) -> None:
        written.append(kv)
        self._apply(kv)

    def _apply(self, kv: KeyValue) -> None:
        if kv.value is None:
            self._keys.pop(kv.key, None)
        else:
            self._keys[kv.key] = kv
