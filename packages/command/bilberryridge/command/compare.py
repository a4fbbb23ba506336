"""Compare an operator's documents with the store's and with their common base."""

import enum
from collections.abc import Mapping

import attrs

from bilberryridge.command import bases, store_client

Plain = store_client.Plain


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
    wanted: Plain | None
    held: store_client.Held | None

    @property
    def held_plain(self) -> Plain | None:
        """The store's fields."""
        return self.held.plain if self.held else None

    @property
    def held_revision(self) -> int:
        """The store's revision of it; 0 when it is not there."""
        return self.held.revision if self.held else 0

    def fields(self) -> list[tuple[str, object, object]]:
        """The fields that differ: name, the store's value, the wanted one."""
        before, after = self.held_plain or {}, self.wanted or {}
        names = [*before, *(name for name in after if name not in before)]
        return [
            (name, before.get(name), after.get(name))
            for name in names
            if before.get(name) != after.get(name)
        ]


def compare(
    wanted: Mapping[str, Plain],
    held: Mapping[str, store_client.Held],
    base: bases.Base,
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
    keys = sorted(wanted.keys() | held.keys())
    return tuple(
        _compare_one(key, wanted.get(key), held.get(key), base.get(key)) for key in keys
    )


def _compare_one(
    key: str,
    wanted: Plain | None,
    held: store_client.Held | None,
    base: Plain | None,
) -> Difference:
    held_plain = held.plain if held else None
    if wanted == held_plain:
        state = State.SAME
    elif wanted == base and not is_unreadable(held):
        state = State.BEHIND
    elif held_plain == base:
        state = State.DELETE if wanted is None else State.PUT
    else:
        state = State.CONFLICT
    return Difference(key, state, wanted, held)


def is_unreadable(held: store_client.Held | None) -> bool:
    """Whether the store holds something that is no document."""
    return held is not None and store_client.UNREADABLE in held.plain
