"""Commit changes to the store by compare-and-swap, with a record of each change.

A transaction also creates its change record. If its answer is lost, the record shows
whether it took effect; creating a void record under the same key ensures that it never
will.
"""

import datetime
import json
import threading
from collections.abc import Callable, Sequence
from typing import Any

import attrs
import returns.result
from returns.result import Result

from bilberryridge.command import compare, store_client
from bilberryridge.store import store

MAX_DOCUMENTS_PER_CHANGE = 100
MAX_OLD_RECORDS_PER_CHANGE = 20
MAX_RECORDS = 1000
N_RESOLVE_ATTEMPTS = 5
RESOLVE_INTERVAL_S = 1.0


@attrs.frozen
class Author:
    """The author, id, time and note of a change.

    Parameters
    ----------
    who : str
    change_id : str
        Unique among all changes.
    at : datetime
    note : str
    """

    who: str
    change_id: str
    at: datetime.datetime
    note: str = ""


@attrs.frozen
class Record:
    """The stored record of a change.

    Parameters
    ----------
    key : str
        Its key below ``changes/``, which begins with its time.
    revision : int
    who, at, note : str
    keys : dict of str to str
        ``put`` or ``delete`` by document key.
    is_void : bool
        Whether the change was given up and took no effect.
    """

    key: str
    revision: int
    who: str = ""
    at: str = ""
    note: str = ""
    keys: dict[str, str] = attrs.field(factory=dict)
    is_void: bool = False


@attrs.frozen
class Conflicted:
    """Other operators changed documents first; nothing of this batch was committed.

    Parameters
    ----------
    keys : tuple of str
        The documents that they changed.
    """

    keys: tuple[str, ...]


@attrs.frozen
class NotApplied:
    """The store is unreachable, or the change was given up; nothing was changed."""

    detail: str


@attrs.frozen
class OutcomeUnknown:
    """It is unknown whether the change took effect; applying it again is safe."""

    change_id: str
    detail: str


Failed = Conflicted | NotApplied | OutcomeUnknown


@attrs.frozen
class Committer:
    """Commits changes to the store.

    Parameters
    ----------
    client : StoreClient
    wait : callable
        Waits for a number of seconds between attempts to resolve a lost answer.
    """

    client: store_client.StoreClient
    wait: Callable[[float], Any] = attrs.field(
        factory=lambda: threading.Event().wait, repr=False
    )

    def commit(
        self,
        author: Author,
        batch: Sequence[compare.Difference],
        old_records: Sequence[Record],
    ) -> Result[int, Failed]:
        """Commit all changes of one batch in one transaction, or none of them.

        Parameters
        ----------
        author : Author
        batch : sequence of Difference
            At most `MAX_DOCUMENTS_PER_CHANGE`.
        old_records : sequence of Record
            Records to remove in the same transaction.

        Returns
        -------
        Result of int
            The store's revision of the change.
        """
        record_key = _record_key(author)
        transaction = _make_transaction(author, record_key, batch, old_records)
        match self.client.commit(transaction):
            case returns.result.Success(committed):
                return returns.result.Success(committed.revision)
            case returns.result.Failure(store.Conflict() as conflict):
                return returns.result.Failure(_to_failure(batch, conflict))
            case returns.result.Failure(store.StoreUnreachable(detail)):
                return returns.result.Failure(NotApplied(detail))
            case _:
                return self._resolve_lost_answer(author, record_key)

    def _resolve_lost_answer(
        self, author: Author, record_key: str
    ) -> Result[int, Failed]:
        void = json.dumps({"who": author.who, "at": _time_text(author), "void": True})
        fence = store.Transaction(
            compares=(store.Compare(record_key, 0),),
            changes=(store.Put(record_key, void.encode()),),
        )
        detail = ""
        for _ in range(N_RESOLVE_ATTEMPTS):
            match self.client.commit(fence):
                case returns.result.Success(_):
                    reason = "the store did not answer, and the change was given up"
                    return returns.result.Failure(NotApplied(reason))
                case returns.result.Failure(store.Conflict(current, _)):
                    return _read_outcome(current[0])
                case returns.result.Failure(lost):
                    detail = lost.detail
            self.wait(RESOLVE_INTERVAL_S)
        return returns.result.Failure(OutcomeUnknown(author.change_id, detail))


def split_into_batches(
    differences: Sequence[compare.Difference],
) -> list[list[compare.Difference]]:
    """Order the changes, puts first, and split them into batches.

    Puts are in order of their keys, so that domains and services precede the VMs that
    refer to them; deletes are in the reverse order.
    """
    puts = [
        difference
        for difference in differences
        if difference.state is compare.State.PUT
    ]
    deletes = [
        difference
        for difference in differences
        if difference.state is compare.State.DELETE
    ]
    ordered = puts + deletes[::-1]
    starts = range(0, len(ordered), MAX_DOCUMENTS_PER_CHANGE)
    return [ordered[start : start + MAX_DOCUMENTS_PER_CHANGE] for start in starts]


def read_records(
    client: store_client.StoreClient,
) -> Result[tuple[Record, ...], store.StoreUnreachable]:
    """Read the records of the latest changes, oldest first."""
    return client.read_prefix(store_client.CHANGES).map(_to_records)


def records_to_drop(records: Sequence[Record]) -> tuple[Record, ...]:
    """Return the oldest records above `MAX_RECORDS`, as many as one change may drop."""
    n_over = max(0, len(records) + 1 - MAX_RECORDS)
    return tuple(records[: min(n_over, MAX_OLD_RECORDS_PER_CHANGE)])


def _make_transaction(
    author: Author,
    record_key: str,
    batch: Sequence[compare.Difference],
    old_records: Sequence[Record],
) -> store.Transaction:
    assert len(batch) <= MAX_DOCUMENTS_PER_CHANGE
    compares = [store.Compare(record_key, 0)]
    edits: list[store.Put | store.Delete] = []
    for difference in batch:
        key = store_client.DOCUMENTS + difference.key
        compares.append(store.Compare(key, difference.stored_revision))
        if difference.local is None:
            edits.append(store.Delete(key))
        else:
            edits.append(store.Put(key, store_client.encode(difference.local)))
    edits.append(store.Put(record_key, _encode_record(author, batch)))
    edits += [store.Delete(store_client.CHANGES + record.key) for record in old_records]
    return store.Transaction(tuple(compares), tuple(edits))


def _encode_record(author: Author, batch: Sequence[compare.Difference]) -> bytes:
    entry = {
        "who": author.who,
        "at": _time_text(author),
        "note": author.note,
        "keys": {difference.key: difference.state.value for difference in batch},
    }
    return json.dumps(entry).encode()


def _record_key(author: Author) -> str:
    time = author.at.strftime("%Y%m%dT%H%M%S")
    return f"{store_client.CHANGES}{time}-{author.change_id}"


def _time_text(author: Author) -> str:
    return author.at.isoformat(timespec="seconds")


def _to_failure(
    batch: Sequence[compare.Difference], conflict: store.Conflict
) -> Failed:
    now = {item.key: item.mod_revision for item in conflict.current}
    keys = [
        difference.key
        for difference in batch
        if now.get(store_client.DOCUMENTS + difference.key, 0)
        != difference.stored_revision
    ]
    if not keys:
        return NotApplied("a change with this id exists already")
    return Conflicted(tuple(keys))


def _read_outcome(item: store.KeyValue) -> Result[int, Failed]:
    if _to_record(item).is_void:
        reason = "the store did not answer, and the change was given up"
        return returns.result.Failure(NotApplied(reason))
    return returns.result.Success(item.mod_revision)


def _to_records(listing: store.Listing) -> tuple[Record, ...]:
    records = [_to_record(item) for item in listing.items]
    return tuple(sorted(records, key=lambda record: record.revision))


def _to_record(item: store.KeyValue) -> Record:
    key = item.key.removeprefix(store_client.CHANGES)
    try:
        entry = json.loads(item.value)
        return Record(
            key=key,
            revision=item.mod_revision,
            who=str(entry["who"]),
            at=str(entry["at"]),
            note=str(entry.get("note", "")),
            keys=dict(entry.get("keys", {})),
            is_void=bool(entry.get("void", False)),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return Record(key, item.mod_revision, note="can't be read")
