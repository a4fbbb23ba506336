"""An in-memory key-value store with revisions, watches, leases and faults.

It replaces a prepared platform's store in tests over real sockets. The server for the
platform's wire format is part of the adapter's tests.
"""

import contextlib
import threading
import time
from collections.abc import Iterator

import attrs


class UnknownLeaseError(Exception):
    """The lease has expired or was revoked."""


class HistoryLostError(Exception):
    """The changes after that revision were compacted."""


class WatchCutError(Exception):
    """The connection of a waiting watch was cut."""


@attrs.define
class Entry:
    """A key's state; `value` is None in the record of a deletion."""

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


@attrs.define
class Lease:
    """A lease and the keys that are removed when it ends."""

    ttl_s: float
    ends_s: float
    keys: set[str] = attrs.field(factory=set)


class KvModel:
    """The store. Thread-safe.

    Attributes
    ----------
    refused : set of str
        Names of daemons whose calls are refused.
    silent : set of str
        Names of daemons whose watches get no answer.
    is_down : bool
        Whether all calls are refused.
    n_answers_to_lose : int
        Number of next writes that take effect but whose answer is lost.
    era : int
        Rises by one each time that the store comes back from a copy.
    """

    def __init__(self) -> None:
        self.refused: set[str] = set()
        self.silent: set[str] = set()
        self.is_down = False
        self.n_answers_to_lose = 0
        self.era = 1
        self._condition = threading.Condition()
        self._entries: dict[str, Entry] = {}
        self._history: list[Entry] = []
        self._all_writes: list[Entry] = []
        self._oldest = 0
        self._revision = 1
        self._leases: dict[int, Lease] = {}
        self._n_leases = 0
        self._n_cuts = 0

    @property
    def revision(self) -> int:
        """Revision of the latest change."""
        return self._revision

    def entries(self, prefix: str = "") -> list[Entry]:
        """Return the entries whose key starts with a prefix."""
        with self._lock_after_expiry():
            matches = [e for k, e in self._entries.items() if k.startswith(prefix)]
            return sorted(matches, key=lambda entry: entry.key)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Set a key; return the revision.

        Raises
        ------
        UnknownLeaseError
        """
        with self._lock_after_expiry():
            if lease and lease not in self._leases:
                raise UnknownLeaseError
            if lease:
                self._leases[lease].keys.add(key)
            return self._write(Entry(key, value, 0, lease))

    def remove(self, key: str) -> int:
        """Remove a key; return the revision."""
        with self._lock_after_expiry():
            return self._write(Entry(key, None, 0)) if key in self._entries else 0

    def changes(self, after: int, wait_s: float) -> tuple[list[Entry], int]:
        """Wait for changes after a revision; return them and the revision.

        Raises
        ------
        HistoryLostError
        WatchCutError
        """
        end_s, n_cuts = time.monotonic() + wait_s, self._n_cuts
        while True:
            with self._lock_after_expiry():
                if self._n_cuts > n_cuts:
                    raise WatchCutError
                if not self._oldest <= after <= self._revision:
                    raise HistoryLostError
                matches = [entry for entry in self._history if entry.revision > after]
                left_s = end_s - time.monotonic()
                if matches or left_s <= 0 or self.is_down:
                    return matches, self._revision
                self._condition.wait(min(left_s, 0.1))

    def cut_watches(self) -> None:
        """Cut the watches that wait."""
        with self._condition:
            self._n_cuts += 1
            self._condition.notify_all()

    def compact_history(self) -> None:
        """Discard the history of changes so far."""
        with self._condition:
            self._history.clear()
            self._oldest = self._revision
            self._condition.notify_all()

    def restore_copy(self, revision: int) -> None:
        """Come back from a copy as of a revision; what was written since is lost.

        Leases that are younger than the copy end, and revisions are issued again.
        """
        with self._condition:
            copied = [e for e in self._all_writes if e.revision <= revision]
            self._entries = {}
            for entry in copied:
                self._entries.pop(entry.key, None)
                if entry.value is not None:
                    self._entries[entry.key] = entry
            held = {entry.lease for entry in self._entries.values()}
            self._leases = {k: v for k, v in self._leases.items() if k in held}
            self._history = [e for e in self._history if e.revision <= revision]
            self._all_writes = copied
            self._revision = revision
            self.era += 1
            self._condition.notify_all()

    def grant(self, ttl_s: float) -> int:
        """Grant a lease; return its id."""
        with self._lock_after_expiry():
            self._n_leases += 1
            self._leases[self._n_leases] = Lease(ttl_s, time.monotonic() + ttl_s)
            return self._n_leases

    def renew(self, lease: int) -> float:
        """Renew a lease; return its time to live in seconds.

        Raises
        ------
        UnknownLeaseError
        """
        with self._lock_after_expiry():
            if lease not in self._leases:
                raise UnknownLeaseError
            lease_state = self._leases[lease]
            lease_state.ends_s = time.monotonic() + lease_state.ttl_s
            return lease_state.ttl_s

    def revoke(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""
        with self._lock_after_expiry():
            self._revoke(lease)

    def revoke_all(self) -> None:
        """Revoke all leases, as after an outage longer than their time to live."""
        with self._lock_after_expiry():
            for lease in list(self._leases):
                self._revoke(lease)

    @contextlib.contextmanager
    def _lock_after_expiry(self) -> Iterator[None]:
        """Hold the lock, after removing expired leases."""
        with self._condition:
            now_s = time.monotonic()
            for lease, lease_state in list(self._leases.items()):
                if lease_state.ends_s <= now_s:
                    self._revoke(lease)
            yield

    def _revoke(self, lease: int) -> None:
        lease_state = self._leases.pop(lease, None)
        for key in lease_state.keys if lease_state else ():
            if key in self._entries and self._entries[key].lease == lease:
                self._write(Entry(key, None, 0))

    def _write(self, entry: Entry) -> int:
        self._revision += 1
        entry.revision = self._revision
        if entry.value is None:
            self._entries.pop(entry.key, None)
        else:
            self._entries[entry.key] = entry
        self._history.append(entry)
        self._all_writes.append(entry)
        self._condition.notify_all()
        return self._revision
