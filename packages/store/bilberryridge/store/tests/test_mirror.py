"""A mirror applies changes from many sources and never returns to older data."""

import random

import pytest

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


def generation_of(key, value):
    """Decode values such as ``b"3.17"`` (start 3, sequence 17)."""
    if b"." not in value:
        return None
    return mirror.Generation(*(int(number) for number in value.split(b".")))


def make_restored(held, listed, deletions=()):
    """Return a mirror that held items in era 1 and entered era 2 with others."""
    copy = mirror.Mirror(lambda keys: None, generation_of)
    items = [Item(key, value, revision) for key, value, revision in held]
    copy.apply(Changes(100, tuple(items), is_full=True, era=1))
    for key, revision in deletions:
        copy.apply(Changes(revision, (Deletion(key, revision),), era=1))
    listing = tuple(Item(key, value, revision) for key, value, revision in listed)
    copy.apply(Changes(80, listing, is_full=True, era=2))
    return copy


def test_restored_store_is_followed_from_its_lower_revision():
    copy = make_restored([("a", b"v5", 90)], [("a", b"v4", 70)])
    assert (copy.era, copy.revision) == (2, 80)
    assert copy.items["a"].value == b"v4"
    copy.apply(Changes(82, (Item("a", b"v6", 82),), era=2))
    assert copy.items["a"].value == b"v6"


@pytest.mark.parametrize(
    ("held", "listed", "kept"),
    [
        (b"0.6", b"0.5", b"0.6"),
        (b"0.6", b"0.7", b"0.7"),
        (b"3.17", b"3.12", b"3.17"),
        (b"3.17", b"3.18", b"3.18"),
        (b"3.17", b"4.1", b"4.1"),
        (b"3.17", b"unreadable", b"unreadable"),
    ],
)
def test_value_that_its_writer_has_replaced_is_not_taken_back(held, listed, kept):
    copy = make_restored([("a", held, 90)], [("a", listed, 70)])
    assert copy.items["a"].value == kept


def test_deleted_key_stays_deleted_until_it_is_written_again():
    copy = make_restored([("a", b"3.17", 90)], [("a", b"3.12", 70)], [("a", 99)])
    assert not copy.items
    copy.apply(Changes(84, (Item("a", b"3.20", 84),), era=2))
    assert copy.items["a"].value == b"3.20"
    assert not copy.withheld


def test_deleted_key_returns_at_once_when_its_writer_has_started_again():
    copy = make_restored([("a", b"3.17", 90)], [("a", b"4.1", 79)], [("a", 99)])
    assert copy.items["a"].value == b"4.1"


def test_withheld_values_are_accepted_later_unless_they_never_go_back():
    copy = make_restored(
        [("config", b"0.6", 90), ("a", b"3.17", 91), ("b", b"5.2", 92)],
        [("config", b"0.5", 60), ("a", b"3.12", 70), ("b", b"5.1", 71)],
        [("b", 99)],
    )
    copy.apply(Changes(81, (Deletion("b", 81),), era=2))
    copy.accept_withheld()
    values = {key: item.value for key, item in copy.items.items()}
    assert values == {"config": b"0.6", "a": b"3.12"}


def test_changes_of_an_earlier_era_are_ignored():
    copy = make_restored([], [("a", b"1", 70)])
    copy.apply(Changes(120, (Item("a", b"2", 120),), era=1))
    copy.apply(Changes(120, (), is_full=True, era=1))
    assert copy.items["a"].value == b"1"


def test_era_is_entered_only_with_all_keys():
    copy = make_restored([], [("a", b"1", 70)])
    with pytest.raises(ValueError, match="all keys"):
        copy.apply(Changes(120, (Item("a", b"2", 120),), era=3))


def test_daemon_that_starts_into_the_copy_learns_what_is_withheld():
    listed = [("config", b"0.5", 60), ("a", b"3.12", 70), ("b", b"5.1", 71)]
    old = make_restored([("config", b"0.6", 90), ("a", b"3.17", 91)], listed)
    old.apply(Changes(82, (Item("b", b"5.9", 82),), era=2))
    new = make_restored([], listed)
    new.apply(old.overrides())
    assert new.revision == 80
    assert new.items["config"].value == b"0.6"
    assert new.items["a"].value == b"3.17"
    assert new.items["b"].value == b"5.1"
    new.apply(old.changes_since(new.revision, new.era))
    new.apply(old.changes_since(0, 2))
    assert {k: i.value for k, i in new.items.items()} == {
        k: i.value for k, i in old.items.items()
    }


def test_peer_of_an_earlier_era_gets_all_keys():
    copy = make_restored([("a", b"3.17", 90)], [("a", b"3.12", 70)])
    assert copy.changes_since(90, era=1).is_full
    assert copy.changes_since(80, era=1).is_full
    assert not copy.changes_since(80, era=2).is_full


def test_secrets_are_neither_held_nor_handed_on():
    def redact(key, value):
        return value.replace(b"secret", b"-")

    def generation_of(key, value):
        return mirror.Generation(0, int(value[:1]))

    copy = mirror.Mirror(lambda keys: None, generation_of, redact)
    copy.apply(Changes(2, (Item("a", b"1secret", 2),), is_full=True))
    copy.apply(Changes(3, (Item("a", b"4secret", 3),)))
    assert copy.items["a"].value == b"4-"
    assert b"secret" not in repr(copy.changes_since(0)).encode()
    # A restored store brings the older value, and one that was deleted.
    copy.apply(Changes(4, (Item("b", b"5secret", 4),)))
    copy.apply(Changes(5, (Deletion("b", 5),)))
    rows = (Item("a", b"1secret", 2), Item("b", b"5secret", 4))
    copy.apply(Changes(4, rows, is_full=True, era=1))
    assert set(copy.withheld) == {"a", "b"}
    copy.accept_withheld()
    assert "secret" not in repr((copy.items, copy.withheld, copy.overrides()))
