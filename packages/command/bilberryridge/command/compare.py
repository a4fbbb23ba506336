"""Compare an operator's documents with the store's and with their common base."""

import enum
from collections.abc import Mapping

import attrs

from bilberryridge.command import merge_bases, store_client

Fields = store_client.Fields


class State(enum.Enum):
    """How a document stands."""

    SAME = "same"
    """Directory and store agree."""
    PUT = "put"
    """The operator made or changed it."""
    DELETE = "delete"
    """The operator removed it."""
    BEHIND = "behind"
    """Only the store's changed; the operator's copy is older."""
    CONFLICT = "conflict"
    """Both changed it, and not to the same, or the store's can't be read."""


@attrs.frozen
class Difference:
    """One document in directory, store and base.

    Parameters
    ----------
    key : str
    state : State
    wanted : dict or None
        In the directory; None when it is not there.
    held : Held or None
        In the store.
    """

    key: str
    state: State
    local: Fields | None
    stored: store_client.StoredDocument | None

    @property
    def stored_fields(self) -> Fields | None:
        """The store's fields."""
        return self.stored.fields if self.stored else None

    @property
    def stored_revision(self) -> int:
        """The store's revision of it; 0 when it is not there."""
        return self.stored.revision if self.stored else 0

    def changed_fields(self) -> list[tuple[str, object, object]]:
        """The fields that differ: name, the store's value, the wanted one."""
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
    """Say how every document stands, by key.

    Parameters
    ----------
    wanted : mapping
        The directory's documents.
    held : mapping
        The store's.
    base : mapping
        As they were when both agreed.
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
    """Whether the store holds something that is no document."""
    return stored is not None and store_client.UNREADABLE in stored.fields
