"""A mirror applies changes from many sources and never returns to older data."""

import random

from bilberryridge.store import mirror

Item, Deletion, Changes = mirror.Item, mirror.Deletion, mirror.Changes


def make_mirror():
    changed_keys = []
    return mirror.Mirror(lambda keys: changed_keys.append(sorted(keys))), changed_keys


def test_full_read_deletes_unlisted_keys():
    copy, changed_keys = make_mirror()
    copy.apply(Changes(2, (Item("a", b"", 1), Item("b", b"", 2)), is_full=True))
    copy.apply(Changes(5, (Item("b", b"", 2),), is_full=True))
    assert set(copy.items) == {"b"}
    assert changed_keys == [["a", "b"], ["a"]]


def test_full_read_keeps_keys_written_after_it():
    copy, _ = make_mirror()
    copy.apply(Changes(9, (Item("new", b"", 9),)))
    copy.apply(Changes(5, (Item("b", b"", 2),), is_full=True))
    assert set(copy.items) == {"b", "new"}
    assert copy.revision == 9


def test_deleted_key_is_not_restored_by_an_older_copy():
    copy, _ = make_mirror()
    copy.apply(Changes(3, (Item("a", b"", 3),)))
    copy.apply(Changes(4, (Deletion("a", 4),)))
    copy.apply(Changes(3, (Item("a", b"", 3),), is_full=True))
    assert not copy.items


def test_mirror_of_a_mirror_matches_the_store_after_any_missed_changes():
    random_state = random.Random(7)
    source, _ = make_mirror()
    target, _ = make_mirror()
    state = {}
    for revision in range(1, 400):
        key = random_state.choice("abcdefgh")
        if key in state and random_state.random() < 0.4:
            del state[key]
            source.apply(Changes(revision, (Deletion(key, revision),)))
        else:
            state[key] = str(revision).encode()
            source.apply(Changes(revision, (Item(key, state[key], revision),)))
        if random_state.random() < 0.1:
            target.apply(source.changes_since(target.revision))
            assert {k: i.value for k, i in target.items.items()} == state


def test_all_items_are_returned_when_deletions_are_no_longer_known(monkeypatch):
    monkeypatch.setattr(mirror, "MAX_TOMBSTONES", 2)
    copy, _ = make_mirror()
    for n in range(5):
        copy.apply(Changes(2 * n + 1, (Item(str(n), b"", 2 * n + 1),)))
        copy.apply(Changes(2 * n + 2, (Deletion(str(n), 2 * n + 2),)))
    assert copy.changes_since(3).is_full
    assert not copy.changes_since(8).is_full
