"""A local copy of part of the store, updated from its changes, never to older data.

A store may come back from a copy that is some seconds old. Its revisions then go back
and are issued again, and its era, a number in each of its answers, rises by one.
Changes are ordered by era first. What this copy held and the restored store no longer
has is kept or dropped as `Mirror.apply` says.
"""

import collections
from collections.abc import Callable, Iterable

import attrs

MAX_TOMBSTONES = 2_000
"""Deletions that are remembered, so that other daemons can follow this copy."""


@attrs.frozen(order=True)
class Generation:
    """Order of the values of one key, as their writer counts them.

    Unlike revisions, it is comparable between eras.

    Parameters
    ----------
    start : int
        Which run of the writer; 0 if the numbers never go back.
    sequence : int
        Number of the write.
    """

    start: int
    sequence: int


GenerationOf = Callable[[str, bytes], Generation | None]
"""Takes key and value; returns None if the value says nothing about its order."""


Redact = Callable[[str, bytes], bytes]
"""Takes key and value; returns the value without the secrets in it."""


def unredacted(key: str, value: bytes) -> bytes:
    """Return a value as it is: a `Redact` for keys that hold no secrets."""
    return value


def unordered(key: str, value: bytes) -> Generation | None:
    """Return None: a `GenerationOf` for values without an order of their own."""
    return None


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
    era : int
        Era of the store; 0 if it tells none.
    """

    revision: int
    updates: tuple[Item | Deletion, ...]
    is_full: bool = False
    era: int = 0


OnChanged = Callable[[frozenset[str]], None]
"""Called with the keys that have changed."""


@attrs.frozen
class _Tombstone:
    """A remembered deletion and the generation of the deleted value."""

    revision: int
    generation: Generation | None


class Mirror:
    """A local copy of part of the store.

    Parameters
    ----------
    on_changed : Callable
        Called with the changed keys after each update that changes any.
    generation_of : Callable
        Returns the generation of a value.
    redact : Callable
        Removes secrets from a value before it is held, and so before it is handed on
        to other daemons.

    Attributes
    ----------
    items : dict of str to Item
    era, revision : int
        Position in the store's changes.
    withheld : dict of str to Item
        Values that the restored store lists and this copy does not take yet.

    Examples
    --------
    >>> mirror = Mirror(lambda keys: print(sorted(keys)))
    >>> mirror.apply(Changes(5, (Item("a", b"1", 5),), is_full=True))
    ['a']
    >>> mirror.apply(Changes(4, (Item("a", b"0", 4), Deletion("a", 4))))
    >>> mirror.items["a"].value, mirror.revision
    (b'1', 5)
    """

    def __init__(
        self,
        on_changed: OnChanged,
        generation_of: GenerationOf = unordered,
        redact: Redact = unredacted,
    ):
        self.items: dict[str, Item] = {}
        self.era = 0
        self.revision = 0
        self.withheld: dict[str, Item] = {}
        self._on_changed = on_changed
        self._generation_of = generation_of
        self._redact = redact
        self._tombstones: collections.OrderedDict[str, _Tombstone] = (
            collections.OrderedDict()
        )
        self._pruned_revision = 0

    def apply(self, changes: Changes) -> None:
        """Apply changes; an update older than the copy of its key is ignored.

        Changes of an earlier era are ignored. Those of a later era must be full; see
        `enter_era`.

        Raises
        ------
        ValueError
            The changes are of a later era and not full.
        """
        if changes.era < self.era:
            return
        if changes.era > self.era:
            self.enter_era(changes)
            return
        changed = {
            update.key for update in changes.updates if self._apply_update(update)
        }
        if changes.is_full:
            changed |= self._delete_unlisted(changes)
        self.revision = max(self.revision, changes.revision)
        if changed:
            self._on_changed(frozenset(changed))

    def enter_era(self, changes: Changes) -> None:
        """Replace this copy by all keys of a store that came back from an older copy.

        A listed value that is older than the one held, by its generation, is withheld,
        and so is one whose key was deleted, unless its writer has started again since.
        Unlisted keys are dropped.

        Raises
        ------
        ValueError
            Not all keys are listed.
        """
        if not changes.is_full:
            raise ValueError("an era begins with a reading of all keys")
        held, tombstones = self.items, self._tombstones
        self.era, self.revision = changes.era, changes.revision
        self.items, self.withheld = {}, {}
        self._tombstones = collections.OrderedDict()
        self._pruned_revision = changes.revision
        for update in changes.updates:
            if not isinstance(update, Item):
                continue
            if self._is_older(update, held.get(update.key)):
                self.withheld[update.key] = self._redacted(update)
                kept_value = held[update.key].value
                self.items[update.key] = attrs.evolve(update, value=kept_value)
            elif self._is_deleted(update, tombstones.get(update.key)):
                self.withheld[update.key] = self._redacted(update)
                self._tombstones[update.key] = attrs.evolve(
                    tombstones[update.key], revision=update.revision
                )
            else:
                self.items[update.key] = self._redacted(update)
        changed = {
            key
            for key in held.keys() | self.items.keys()
            if _value_of(held.get(key)) != _value_of(self.items.get(key))
        }
        if changed:
            self._on_changed(frozenset(changed))

    def accept_withheld(self) -> None:
        """Take the withheld values that the store still has.

        A value whose numbers never go back stays withheld.
        """
        accepted = [
            item for item in self.withheld.values() if not self._is_lasting(item)
        ]
        for item in accepted:
            del self.withheld[item.key]
            self.items[item.key] = item
            self._tombstones.pop(item.key, None)
        if accepted:
            self._on_changed(frozenset(item.key for item in accepted))

    def overrides(self) -> Changes:
        """Return what this copy holds in place of the withheld values."""
        updates = [
            self.items.get(key) or Deletion(key, item.revision)
            for key, item in self.withheld.items()
        ]
        # Not up to any revision: the receiver may lack other changes.
        return Changes(0, tuple(updates), era=self.era)

    def changes_since(self, revision: int, era: int = 0) -> Changes:
        """Return the changes after a revision of an era.

        All items are returned for another era or revision 0, and if deletions after the
        revision are no longer known.
        """
        is_full = revision < self._pruned_revision or revision == 0 or era != self.era
        updates: list[Item | Deletion] = [
            item for item in self.items.values() if is_full or item.revision > revision
        ]
        if not is_full:
            updates += [
                Deletion(key, tombstone.revision)
                for key, tombstone in self._tombstones.items()
                if tombstone.revision > revision
            ]
        return Changes(self.revision, tuple(updates), is_full, self.era)

    def items_with_prefix(self, prefix: str) -> Iterable[Item]:
        """Return the items whose key begins with a prefix."""
        return [item for key, item in self.items.items() if key.startswith(prefix)]

    def _apply_update(self, update: Item | Deletion) -> bool:
        current = self.items.get(update.key)
        tombstone = self._tombstones.get(update.key)
        newest = max(
            current.revision if current else 0, tombstone.revision if tombstone else 0
        )
        if update.revision < newest or (
            update.revision == newest and not self._is_override(update, current)
        ):
            return False
        withheld = self.withheld.get(update.key)
        if withheld is not None and update.revision > withheld.revision:
            del self.withheld[update.key]
        if isinstance(update, Item):
            self.items[update.key] = self._redacted(update)
            self._tombstones.pop(update.key, None)
            return True
        self._delete(update.key, update.revision)
        return current is not None

    def _redacted(self, item: Item) -> Item:
        value = self._redact(item.key, item.value)
        return item if value is item.value else attrs.evolve(item, value=value)

    def _is_lasting(self, item: Item) -> bool:
        generation = self._generation_of(item.key, item.value)
        return generation is not None and generation.start == 0

    def _is_override(self, update: Item | Deletion, current: Item | None) -> bool:
        """Return whether another daemon holds something newer than a restored value."""
        if current is None:
            return False
        return isinstance(update, Deletion) or self._is_older(current, update)

    def _is_older(self, item: Item, other: Item | None) -> bool:
        """Return whether an item's generation is lower than that of another item."""
        if other is None or other.value == item.value:
            return False
        generation = self._generation_of(item.key, item.value)
        other_generation = self._generation_of(other.key, other.value)
        if generation is None or other_generation is None:
            return False
        return generation < other_generation

    def _is_deleted(self, item: Item, tombstone: _Tombstone | None) -> bool:
        """Return whether an item is the value that was deleted, or an older one."""
        if tombstone is None or tombstone.generation is None:
            return False
        generation = self._generation_of(item.key, item.value)
        if generation is None or item.revision > tombstone.revision:
            return False
        return generation.start <= tombstone.generation.start

    def _delete(self, key: str, revision: int) -> None:
        item = self.items.pop(key, None)
        generation = self._generation_of(key, item.value) if item else None
        self._tombstones.pop(key, None)
        self._tombstones[key] = _Tombstone(revision, generation)
        while len(self._tombstones) > MAX_TOMBSTONES:
            _, oldest = self._tombstones.popitem(last=False)
            self._pruned_revision = max(self._pruned_revision, oldest.revision)

    def _delete_unlisted(self, changes: Changes) -> set[str]:
        listed = {update.key for update in changes.updates if isinstance(update, Item)}
        deleted = {
            key
            for key, item in self.items.items()
            if key not in listed and item.revision <= changes.revision
        }
        for key in deleted:
            self._delete(key, changes.revision)
        for key in self.withheld.keys() - listed:
            del self.withheld[key]
        return deleted


def _value_of(item: Item | None) -> bytes | None:
    return item.value if item else None
