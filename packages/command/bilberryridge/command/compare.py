"""Three-way comparison of local documents, stored documents and their merge base."""

import enum
from collections.abc import Mapping

import attrs

from bilberryridge.command import merge_bases, store_client

Fields = store_client.Fields


class State(enum.Enum):
    """Result of comparing one document."""

    SAME = "same"
    """The directory and the store agree."""
    PUT = "put"
    """The operator created or changed it; an apply puts it."""
    DELETE = "delete"
    """The operator removed it; an apply deletes it."""
    BEHIND = "behind"
    """Only the stored document changed; the operator's copy is older."""
    CONFLICT = "conflict"
    """Both changed it differently, or the stored document can't be read."""


@attrs.frozen
class Difference:
    """One document, compared between directory, store and merge base.

    Parameters
    ----------
    key : str
    state : State
    local : dict or None
        Fields in the directory; None if it is not there.
    stored : StoredDocument or None
        The document in the store; None if it is not there.
    """

    key: str
    state: State
    local: Fields | None
    stored: store_client.StoredDocument | None

    @property
    def stored_fields(self) -> Fields | None:
        """Fields in the store; None if it is not there."""
        return self.stored.fields if self.stored else None

    @property
    def stored_revision(self) -> int:
        """Revision of its last change in the store; 0 if it is not there."""
        return self.stored.revision if self.stored else 0

    def changed_fields(self) -> list[tuple[str, object, object]]:
        """The fields that differ: name, stored value and local value."""
        before, after = self.stored_fields or {}, self.local or {}
        names = [*before, *(name for name in after if name not in before)]
        return [
            (name, before.get(name), after.get(name))
            for name in names
            if before.get(name) != after.get(name)
        ]


def compare(
    local: Mapping[str, Fields],
    stored: Mapping[str, store_client.StoredDocument],
    merge_base: merge_bases.MergeBase,
) -> tuple[Difference, ...]:
    """Compare all documents, in order of their keys.

    Parameters
    ----------
    local : mapping
        Fields of the directory's documents by key.
    stored : mapping
        The store's documents by key.
    merge_base : mapping
        Fields by key, as when directory and store last agreed.
    """
    keys = sorted(local.keys() | stored.keys())
    return tuple(
        _compare_one(key, local.get(key), stored.get(key), merge_base.get(key))
        for key in keys
    )


def _compare_one(
    key: str,
    local: Fields | None,
    stored: store_client.StoredDocument | None,
    merge_base: Fields | None,
) -> Difference:
    stored_fields = stored.fields if stored else None
    if local == stored_fields:
        state = State.SAME
    elif local == merge_base and not is_unreadable(stored):
        state = State.BEHIND
    elif stored_fields == merge_base:
        state = State.DELETE if local is None else State.PUT
    else:
        state = State.CONFLICT
    return Difference(key, state, local, stored)


def is_unreadable(stored: store_client.StoredDocument | None) -> bool:
    """Whether the stored value can't be decoded as a document."""
    return stored is not None and store_client.UNREADABLE in stored.fields
