"""Apply an operator's directory to the store, and pull other operators' changes.

See Also
--------
bilberryridge.command.changes : commits one batch of changes.
"""

import datetime
import functools
import pathlib
import secrets
from collections.abc import Mapping, Sequence

import attrs
import returns.result
from returns.result import Result

from bilberryridge.command import changes, compare, merge_bases, store_client
from bilberryridge.configuration import crosschecks, documents, problems

CHANGE_ID_BYTES = 8
State = compare.State


@attrs.frozen
class Unusable:
    """The directory or the store can't be read; nothing was changed."""

    detail: str


@attrs.frozen
class Comparison:
    """A three-way comparison of a directory, the store and their merge base.

    Parameters
    ----------
    directory : Path
    merge_base : mapping
        Fields by document key, as when directory and store last agreed.
    differences : tuple of Difference
        One for each document in the directory or the store.
    """

    directory: pathlib.Path
    merge_base: merge_bases.MergeBase
    differences: tuple[compare.Difference, ...]

    def of(self, state: compare.State) -> list[compare.Difference]:
        """The differences in one state."""
        return [
            difference for difference in self.differences if difference.state is state
        ]

    def readable_conflicts(self) -> list[compare.Difference]:
        """The conflicts whose stored version can be read, and so can be pulled."""
        conflicts = self.of(State.CONFLICT)
        return [
            difference
            for difference in conflicts
            if not compare.is_unreadable(difference.stored)
        ]


@attrs.frozen
class Applied:
    """The result of an apply, which may be partial.

    Parameters
    ----------
    revision : int
        The store's revision of the last batch that was committed; 0 for none.
    committed : tuple of Difference
        The changes that were committed.
    failed : Failed or None
        Why the remaining changes were not; None if there are none.
    """

    revision: int
    committed: tuple[compare.Difference, ...]
    failed: changes.Failed | None = None


def compare_with_store(
    directory: pathlib.Path,
    docs: Sequence[documents.LocatedDocument],
    client: store_client.StoreClient,
) -> Result[Comparison, Unusable]:
    """Read the store and compare it with a directory's documents."""
    merge_base = merge_bases.load(directory)
    if isinstance(merge_base, returns.result.Failure):
        return returns.result.Failure(Unusable(merge_base.failure()))
    stored = store_client.read_documents(client)
    if isinstance(stored, returns.result.Failure):
        return returns.result.Failure(Unusable(f"store: {stored.failure().detail}"))
    local = {
        documents.key_of(doc.document): documents.non_default_fields(doc.document)
        for doc in docs
    }
    differences = compare.compare(local, stored.unwrap().by_key, merge_base.unwrap())
    return returns.result.Success(
        Comparison(directory, merge_base.unwrap(), differences)
    )


def check_result(
    comparison: Comparison, docs: Sequence[documents.LocatedDocument]
) -> problems.Problems:
    """Check the set of documents that the store would contain after an apply.

    Documents that only others created or changed are taken from the store.
    """
    behind = comparison.of(State.BEHIND)
    keys = {difference.key for difference in behind}
    merged = [doc for doc in docs if documents.key_of(doc.document) not in keys]
    for difference in behind:
        if difference.stored is not None:
            read = documents.from_entry(
                difference.key, store_client.encode(difference.stored.fields)
            )
            located = read.map(functools.partial(_locate, difference.key))
            merged += located.map(lambda doc: [doc]).value_or([])
    return crosschecks.check(merged)


def apply(
    comparison: Comparison, client: store_client.StoreClient, who: str, note: str = ""
) -> Applied:
    """Commit all changes of a directory, or nothing if any document conflicts."""
    conflicts = comparison.of(State.CONFLICT)
    if conflicts:
        keys = tuple(difference.key for difference in conflicts)
        return Applied(0, (), changes.Conflicted(keys))
    merge_base = dict(comparison.merge_base)
    _update_merge_base(merge_base, comparison.of(State.SAME))
    applied = _commit_batches(comparison, client, who, note, merge_base)
    merge_bases.save(comparison.directory, merge_base)
    return applied


def change_one(
    client: store_client.StoreClient,
    key: str,
    fields: Mapping[str, object],
    who: str,
    note: str,
) -> Result[int, Unusable | changes.Failed]:
    """Change fields of one stored document; returns the revision of its last change.

    A value of None resets a field to its default. Nothing is committed if the document
    has these values already.
    """
    stored = store_client.read_documents(client, key)
    if isinstance(stored, returns.result.Failure):
        return returns.result.Failure(Unusable(f"store: {stored.failure().detail}"))
    current = stored.unwrap().by_key.get(key)
    if current is None or store_client.UNREADABLE in current.fields:
        return returns.result.Failure(Unusable(f"store: no readable {key}"))
    edited = {
        name: value for name, value in current.fields.items() if name not in fields
    }
    edited |= {name: value for name, value in fields.items() if value is not None}
    if edited == current.fields:
        return returns.result.Success(current.revision)
    edit = compare.Difference(key, State.PUT, edited, current)
    return changes.Committer(client).commit(_author(who, note), [edit], ())


def pull(comparison: Comparison, theirs: bool = False, mine: bool = False) -> list[str]:
    """Copy other operators' changes from the store to the directory.

    Parameters
    ----------
    comparison : Comparison
    theirs : bool
        Whether conflicts are resolved for the store's version.
    mine : bool
        Whether conflicts are resolved for the operator's version: the next apply
        replaces the store's.

    Returns
    -------
    list of str
        Keys of the documents that were copied or resolved. A stored document that can't
        be read is never copied.
    """
    merge_base = dict(comparison.merge_base)
    _update_merge_base(merge_base, comparison.of(State.SAME))
    accepted = comparison.of(State.BEHIND)
    if theirs:
        accepted += comparison.readable_conflicts()
    for difference in accepted:
        _write_stored(comparison.directory, difference)
    resolved = comparison.of(State.CONFLICT) if mine else []
    _update_merge_base(merge_base, accepted + resolved)
    merge_bases.save(comparison.directory, merge_base)
    return [difference.key for difference in accepted + resolved]


def _commit_batches(
    comparison: Comparison,
    client: store_client.StoreClient,
    who: str,
    note: str,
    merge_base: dict[str, store_client.Fields],
) -> Applied:
    committer = changes.Committer(client)
    committed: list[compare.Difference] = []
    revision = 0
    for batch in changes.split_into_batches(comparison.differences):
        records = changes.read_records(client)
        # If the records can't be read, this batch drops no old ones.
        old_records = changes.records_to_drop(records.value_or(()))
        match committer.commit(_author(who, note), batch, old_records):
            case returns.result.Success(new_revision):
                revision = new_revision
                committed += batch
                _record_committed(merge_base, batch)
            case returns.result.Failure(failed):
                return Applied(revision, tuple(committed), failed)
    return Applied(revision, tuple(committed))


def _locate(key: str, document: documents.Document) -> documents.LocatedDocument:
    return documents.LocatedDocument(f"store:{key}", document, {})


def _author(who: str, note: str) -> changes.Author:
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    return changes.Author(who, change_id, datetime.datetime.now(datetime.UTC), note)


def _update_merge_base(
    merge_base: dict[str, store_client.Fields],
    differences: Sequence[compare.Difference],
) -> None:
    for difference in differences:
        if difference.stored is None:
            merge_base.pop(difference.key, None)
        else:
            merge_base[difference.key] = difference.stored.fields


def _record_committed(
    merge_base: dict[str, store_client.Fields], batch: Sequence[compare.Difference]
) -> None:
    for difference in batch:
        if difference.local is None:
            merge_base.pop(difference.key, None)
        else:
            merge_base[difference.key] = difference.local


def _write_stored(directory: pathlib.Path, difference: compare.Difference) -> None:
    path = directory / f"{difference.key}{documents.SUFFIX}"
    if difference.stored is None:
        path.unlink(missing_ok=True)
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(documents.fields_to_yaml(difference.stored.fields))
