"""What a daemon does with the store's changes that other daemons tell it."""

import random

import pytest

from bilberryridge.core import ingress
from bilberryridge.daemon import store_following
from bilberryridge.decisions import store_watchers
from bilberryridge.decisions.ingress import crash_reports, events
from bilberryridge.peers import link_codec
from bilberryridge.store import mirror

LOCAL = ingress.EntryVm("vm-1", "i1", "d1", "east", "a:1", "a:2", "a:3")
OTHER = ingress.EntryVm("vm-2", "i1", "d1", "east", "b:1", "b:2", "b:3")


class Loop:
    """A loop whose time stands still and whose timers never run."""

    def now_s(self):
        return 10.0

    def after(self, seconds, action):
        pass

    def every(self, interval_s, action):
        pass


class Peers:
    def __init__(self):
        self.sent = []

    def send(self, vm, message):
        self.sent.append((vm, message))
        return True

    def linked_entries(self):
        return [OTHER]


class Platform:
    """A platform whose store never answers; it decodes nothing but versions."""

    configuration_key = "config"
    entry_prefix = "entry/"
    stream_prefix = "stream/"
    table_items: list

    @property
    def decoder(self):
        return self

    def reader(self, loop, pool, eras):
        return self

    writer = configuration_reader = reader

    def read_all(self, on_answer):
        pass

    def grant(self, ttl_s, on_answer):
        pass

    def encode_entry(self, entry):
        return b""

    def redact(self, key, value):
        return value

    def generation(self, key, value):
        return mirror.Generation(0, int(value))

    def table(self, store_copy):
        item = store_copy.items.get("config")
        return item and int(item.value)

    def servers(self, store_copy):
        return ()

    entries = servers

    def streams(self, store_copy, keys):
        return tuple(sorted(keys))

    def evacuated(self, store_copy):
        return frozenset()

    def stored_reports(self, store_copy):
        return crash_reports.StoredReports()


def start():
    """Return a daemon's following, its peers and the versions that came in force."""
    peers, versions = Peers(), []

    def post(event):
        if isinstance(event, events.TableRead):
            versions.append(event.table)

    following = store_following.StoreFollowing(
        Platform(), Loop(), None, LOCAL, peers, random.Random(1), post
    )
    following.start()
    return following, peers, versions


def changes(revision, value, era=2, is_full=False):
    item = mirror.Item("config", value, revision)
    return mirror.Changes(revision, (item,), is_full, era)


def test_overrides_that_come_before_the_store_was_read_are_asked_for():
    following, peers, versions = start()
    override = mirror.Changes(0, (mirror.Item("config", b"6", 70),), era=2)
    following.on_message("vm-2", link_codec.StoreChanges(override, False))
    assert peers.sent == [("vm-2", link_codec.ChangesRequest(0, 0))]
    reply = link_codec.StoreChanges(changes(70, b"6", is_full=True), False)
    following.on_message("vm-2", reply)
    assert versions[-1] == 6
    copy = link_codec.StoreChanges(changes(70, b"5", is_full=True), False)
    following.on_message("vm-2", copy)
    assert versions[-1] == 6


def test_changes_after_a_gap_are_asked_for():
    following, peers, versions = start()
    full = link_codec.StoreChanges(changes(70, b"5", is_full=True), True)
    following.on_message("vm-2", full)
    gap = link_codec.StoreChanges(changes(90, b"7"), True, since=80)
    following.on_message("vm-2", gap)
    assert versions[-1] == 5
    assert peers.sent == [("vm-2", link_codec.ChangesRequest(70, 2))]


@pytest.mark.parametrize("is_full", [True, False])
def test_changes_of_an_earlier_era_are_dropped(is_full):
    following, peers, versions = start()
    full = link_codec.StoreChanges(changes(70, b"5", is_full=True), True)
    following.on_message("vm-2", full)
    late = link_codec.StoreChanges(changes(90, b"9", era=1, is_full=is_full), True)
    following.on_message("vm-2", late)
    assert versions[-1] == 5
    assert peers.sent == []


def test_daemon_asks_the_one_that_is_ahead():
    following, peers, _ = start()
    full = link_codec.StoreChanges(changes(70, b"5", is_full=True), True)
    following.on_message("vm-2", full)
    position = store_watchers.StorePosition(2, 75, 0.1, True)
    following.on_message("vm-2", position)
    assert peers.sent == [("vm-2", link_codec.ChangesRequest(70, 2))]
