"""Apply an operator's directory to the store, and take over what others changed.

See Also
--------
bilberryridge.command.changes : commits one batch.
"""

import datetime
import functools
import pathlib
import secrets
from collections.abc import Mapping, Sequence

import attrs
import returns.result
from returns.result import Result

from bilberryridge.command import bases, changes, compare, store_client
from bilberryridge.configuration import crosschecks, documents, problems

CHANGE_ID_BYTES = 8
State = compare.State


@attrs.frozen
class Unusable:
    """The directory or the store can't be read."""

    detail: str


@attrs.frozen
class View:
    """A directory beside the store.

    Parameters
    ----------
    directory : Path
    base : mapping
    differences : tuple of Difference
        One for each document in either.
    """

    directory: pathlib.Path
    base: bases.Base
    differences: tuple[compare.Difference, ...]

    def of(self, state: compare.State) -> list[compare.Difference]:
        """The documents in one state."""
        return [one for one in self.differences if one.state is state]

    def readable_conflicts(self) -> list[compare.Difference]:
        """The conflicts in which the store's side can be taken over."""
        conflicts = self.of(State.CONFLICT)
        return [one for one in conflicts if not compare.is_unreadable(one.held)]


@attrs.frozen
class Applied:
    """How far an apply came.

    Parameters
    ----------
    revision : int
        The store's revision of the last change that was made; 0 for none.
    made : tuple of Difference
        What was changed.
    failed : Failed or None
        Why the rest was not.
    """

    revision: int
    made: tuple[compare.Difference, ...]
    failed: changes.Failed | None = None


def view(
    directory: pathlib.Path,
    placed: Sequence[documents.Placed],
    client: store_client.StoreClient,
) -> Result[View, Unusable]:
    """Read the store and compare it with a directory's documents."""
    base = bases.load(directory)
    if isinstance(base, returns.result.Failure):
        return returns.result.Failure(Unusable(base.failure()))
    held = store_client.read_documents(client)
    if isinstance(held, returns.result.Failure):
        return returns.result.Failure(Unusable(f"store: {held.failure().detail}"))
    wanted = {
        documents.key_of(one.document): documents.to_plain(one.document)
        for one in placed
    }
    found = compare.compare(wanted, held.unwrap().by_key, base.unwrap())
    return returns.result.Success(View(directory, base.unwrap(), found))


def check_result(found: View, placed: Sequence[documents.Placed]) -> problems.Problems:
    """Problems of the whole that an apply would leave in the store.

    Documents that others made or changed count as the store holds them.
    """
    behind = found.of(State.BEHIND)
    keys = {one.key for one in behind}
    whole = [one for one in placed if documents.key_of(one.document) not in keys]
    for one in behind:
        if one.held is not None:
            read = documents.from_entry(one.key, store_client.encode(one.held.plain))
            made = read.map(functools.partial(_place, one.key))
            whole += made.map(lambda placed: [placed]).value_or([])
    return crosschecks.check(whole)


def apply(
    found: View, client: store_client.StoreClient, who: str, note: str = ""
) -> Applied:
    """Commit every change of a directory; nothing when any document conflicts."""
    conflicts = found.of(State.CONFLICT)
    if conflicts:
        keys = tuple(one.key for one in conflicts)
        return Applied(0, (), changes.Conflicted(keys))
    base = dict(found.base)
    _agree(base, found.of(State.SAME))
    applied = _commit_batches(found, client, who, note, base)
    bases.save(found.directory, base)
    return applied


def change_one(
    client: store_client.StoreClient,
    key: str,
    fields: Mapping[str, object],
    who: str,
    note: str,
) -> Result[int, Unusable | changes.Failed]:
    """Change fields of one stored document; the revision of its last change.

    A document that has the wanted fields already is left alone.
    """
    held = store_client.read_documents(client, key)
    if isinstance(held, returns.result.Failure):
        return returns.result.Failure(Unusable(f"store: {held.failure().detail}"))
    one = held.unwrap().by_key.get(key)
    if one is None or store_client.UNREADABLE in one.plain:
        return returns.result.Failure(Unusable(f"store: no readable {key}"))
    wanted = {name: value for name, value in one.plain.items() if name not in fields}
    wanted |= {name: value for name, value in fields.items() if value is not None}
    if wanted == one.plain:
        return returns.result.Success(one.revision)
    difference = compare.Difference(key, State.PUT, wanted, one)
    return changes.Committer(client).commit(_author(who, note), [difference], ())


def pull(found: View, theirs: bool = False, mine: bool = False) -> list[str]:
    """Take over what others changed in the store.

    Parameters
    ----------
    found : View
    theirs : bool
        Whether the store's version replaces the operator's where both changed.
    mine : bool
        Whether the operator's stays there, and the next apply replaces the store's.

    Returns
    -------
    list of str
        Keys of the documents that were taken over or settled. What can't be read is
        never taken over.
    """
    base = dict(found.base)
    _agree(base, found.of(State.SAME))
    taken = found.of(State.BEHIND)
    if theirs:
        taken += found.readable_conflicts()
    for one in taken:
        _write_held(found.directory, one)
    settled = found.of(State.CONFLICT) if mine else []
    _agree(base, taken + settled)
    bases.save(found.directory, base)
    return [one.key for one in taken + settled]


def _commit_batches(
    found: View,
    client: store_client.StoreClient,
    who: str,
    note: str,
    base: dict[str, store_client.Plain],
) -> Applied:
    committer = changes.Committer(client)
    made: list[compare.Difference] = []
    revision = 0
    for batch in changes.split(found.differences):
        records = changes.read_records(client)
        # Without them no old record is dropped this time.
        old = changes.records_to_drop(records.value_or(()))
        match committer.commit(_author(who, note), batch, old):
            case returns.result.Success(committed):
                revision = committed
                made += batch
                _agree_on_made(base, batch)
            case returns.result.Failure(failed):
                return Applied(revision, tuple(made), failed)
    return Applied(revision, tuple(made))


def _place(key: str, document: documents.Document) -> documents.Placed:
    return documents.Placed(f"store:{key}", document, {})


def _author(who: str, note: str) -> changes.Author:
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    return changes.Author(who, change_id, datetime.datetime.now(datetime.UTC), note)


def _agree(
    base: dict[str, store_client.Plain], differences: Sequence[compare.Difference]
) -> None:
    for one in differences:
        if one.held is None:
            base.pop(one.key, None)
        else:
            base[one.key] = one.held.plain


def _agree_on_made(
    base: dict[str, store_client.Plain], batch: Sequence[compare.Difference]
) -> None:
    for one in batch:
        if one.wanted is None:
            base.pop(one.key, None)
        else:
            base[one.key] = one.wanted


def _write_held(directory: pathlib.Path, one: compare.Difference) -> None:
    path = directory / f"{one.key}{documents.SUFFIX}"
    if one.held is None:
        path.unlink(missing_ok=True)
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(documents.plain_to_yaml(one.held.plain))
