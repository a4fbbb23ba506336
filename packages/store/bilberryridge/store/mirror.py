"""A copy of a part of the store, kept by its changes; it never goes back in time."""

import collections
from collections.abc import Callable, Iterable

import attrs

MAX_TOMBSTONES = 2_000
"""Deletions that are remembered for daemons that follow this copy."""


@attrs.frozen
class Item:
    """A key as the store holds it.

    Parameters
    ----------
    key : str
    value : bytes
    revision : int
        Of its last change.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Deletion:
    """A key that is gone since a revision."""

    key: str
    revision: int


@attrs.frozen
class Changes:
    """What has changed up to a revision.

    Parameters
    ----------
    revision : int
    rows : tuple of Item or Deletion
    is_full : bool
        Whether all that exists is listed.
    """

    revision: int
    rows: tuple[Item | Deletion, ...]
    is_full: bool = False


OnChanged = Callable[[frozenset[str]], None]
"""Takes the keys that have changed."""


class Mirror:
    """A copy of a part of the store.

    Parameters
    ----------
    on_changed : Callable
        Called with the keys that a change concerns.

    Examples
    --------
    >>> mirror = Mirror(lambda keys: print(sorted(keys)))
    >>> mirror.apply(Changes(5, (Item("a", b"1", 5),), is_full=True))
    ['a']
    >>> mirror.apply(Changes(4, (Item("a", b"0", 4), Deletion("a", 4))))
    >>> mirror.items["a"].value, mirror.revision
    (b'1', 5)
    """

    def __init__(self, on_changed: OnChanged):
        self.items: dict[str, Item] = {}
        self.revision = 0
        self._on_changed = on_changed
        self._gone: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._forgotten_revision = 0

    def apply(self, changes: Changes) -> None:
        """Take changes over; what is older than this copy changes nothing."""
        changed = {row.key for row in changes.rows if self._take_row(row)}
        if changes.is_full:
            changed |= self._drop_unlisted(changes)
        self.revision = max(self.revision, changes.revision)
        if changed:
            self._on_changed(frozenset(changed))

    def changes_since(self, revision: int) -> Changes:
        """Return what has changed after a revision, or all of it."""
        is_full = revision < self._forgotten_revision or revision == 0
        rows: list[Item | Deletion] = [
            item for item in self.items.values() if is_full or item.revision > revision
        ]
        if not is_full:
            rows += [Deletion(k, r) for k, r in self._gone.items() if r > revision]
        return Changes(self.revision, tuple(rows), is_full)

    def items_with_prefix(self, prefix: str) -> Iterable[Item]:
        """Return the items below a prefix."""
        return [item for key, item in self.items.items() if key.startswith(prefix)]

    def _take_row(self, row: Item | Deletion) -> bool:
        known = self.items.get(row.key)
        newest = max(known.revision if known else 0, self._gone.get(row.key, 0))
        if row.revision <= newest:
            return False
        if isinstance(row, Item):
            self.items[row.key] = row
            self._gone.pop(row.key, None)
            return True
        self._bury(row.key, row.revision)
        return known is not None

    def _bury(self, key: str, revision: int) -> None:
        self.items.pop(key, None)
        self._gone.pop(key, None)
        self._gone[key] = revision
        while len(self._gone) > MAX_TOMBSTONES:
            _, oldest = self._gone.popitem(last=False)
            self._forgotten_revision = max(self._forgotten_revision, oldest)

    def _drop_unlisted(self, changes: Changes) -> set[str]:
        listed = {row.key for row in changes.rows if isinstance(row, Item)}
        dropped = {
            key
            for key, item in self.items.items()
            if key not in listed and item.revision <= changes.revision
        }
        for key in dropped:
            self._bury(key, changes.revision)
        return dropped
