"""A local copy of part of the store, updated from its changes, never to older data."""

import collections
from collections.abc import Callable, Iterable

import attrs

MAX_TOMBSTONES = 2_000
"""Deletions that are remembered, so that other daemons can follow this copy."""


@attrs.frozen
class Item:
    """A key and its value in the store.

    Parameters
    ----------
    key : str
    value : bytes
    revision : int
        Store revision of its last change.
    """

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Deletion:
    """A key that was deleted at a revision.

    Parameters
    ----------
    key : str
    revision : int
    """

    key: str
    revision: int


@attrs.frozen
class Changes:
    """Changes of the store up to a revision.

    Parameters
    ----------
    revision : int
    updates : tuple of Item or Deletion
    is_full : bool
        Whether every existing key is listed, so that an unlisted key was deleted.
    """

    revision: int
    updates: tuple[Item | Deletion, ...]
    is_full: bool = False


OnChanged = Callable[[frozenset[str]], None]
"""Called with the keys that have changed."""


class Mirror:
    """A local copy of part of the store.

    Parameters
    ----------
    on_changed : Callable
        Called with the changed keys after each update that changes any.

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
        self._tombstones: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._pruned_revision = 0

    def apply(self, changes: Changes) -> None:
        """Apply changes; an update older than the copy of its key is ignored."""
        changed = {
            update.key for update in changes.updates if self._apply_update(update)
        }
        if changes.is_full:
            changed |= self._delete_unlisted(changes)
        self.revision = max(self.revision, changes.revision)
        if changed:
            self._on_changed(frozenset(changed))

    def changes_since(self, revision: int) -> Changes:
        """Return the changes after a revision.

        All items are returned for revision 0, and if deletions after the revision are
        no longer known.
        """
        is_full = revision < self._pruned_revision or revision == 0
        updates: list[Item | Deletion] = [
            item for item in self.items.values() if is_full or item.revision > revision
        ]
        if not is_full:
            updates += [
                Deletion(k, r) for k, r in self._tombstones.items() if r > revision
            ]
        return Changes(self.revision, tuple(updates), is_full)

    def items_with_prefix(self, prefix: str) -> Iterable[Item]:
        """Return the items whose key begins with a prefix."""
        return [item for key, item in self.items.items() if key.startswith(prefix)]

    def _apply_update(self, update: Item | Deletion) -> bool:
        current = self.items.get(update.key)
        newest = max(
            current.revision if current else 0, self._tombstones.get(update.key, 0)
        )
        if update.revision <= newest:
            return False
        if isinstance(update, Item):
            self.items[update.key] = update
            self._tombstones.pop(update.key, None)
            return True
        self._delete(update.key, update.revision)
        return current is not None

    def _delete(self, key: str, revision: int) -> None:
        self.items.pop(key, None)
        self._tombstones.pop(key, None)
        self._tombstones[key] = revision
        while len(self._tombstones) > MAX_TOMBSTONES:
            _, oldest = self._tombstones.popitem(last=False)
            self._pruned_revision = max(self._pruned_revision, oldest)

    def _delete_unlisted(self, changes: Changes) -> set[str]:
        listed = {update.key for update in changes.updates if isinstance(update, Item)}
        deleted = {
            key
            for key, item in self.items.items()
            if key not in listed and item.revision <= changes.revision
        }
        for key in deleted:
            self._delete(key, changes.revision)
        return deleted
