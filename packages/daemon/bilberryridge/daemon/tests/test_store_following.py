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
    """A loop whose time stands still and whose timers run when they are told to."""

    def __init__(self):
        self.time_s = 10.0
        self._repeated = []

    def now_s(self):
        return self.time_s

    def after(self, seconds, action):
        pass

    def every(self, interval_s, action):
        self._repeated.append(action)

    def run_repeated(self):
        for action in self._repeated:
            action()


class Peers:
    def __init__(self):
        self.sent = []

    def send(self, vm, message):
        self.sent.append((vm, message))
        return True

    def linked_entries(self):
        return [OTHER]


class Platform:
    """A platform whose store answers the first call at most; it decodes versions."""

    first_answer = None
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
        if self.first_answer is not None:
            on_answer(self.first_answer)

    def watch(self, after, wait_s, on_answer):
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


def test_missing_servers_are_looked_at_again_when_reports_of_an_outage_stop():
    # Issue 61: a server that was removed meanwhile was kept until another change.
    loop, platform, lists = Loop(), Platform(), []
    platform.first_answer = changes(70, b"5", is_full=True)

    def post(event):
        if isinstance(event, events.ServersRead):
            lists.append(event)

    following = store_following.StoreFollowing(
        platform, loop, None, LOCAL, Peers(), random.Random(1), post
    )
    following.start()
    position = store_watchers.StorePosition(2, 70, 0.0, False)
    following.on_message("vm-2", position)
    removal = mirror.Changes(71, (mirror.Deletion("config", 71),), era=2)
    following.on_message("vm-2", link_codec.StoreChanges(removal, False, since=70))
    assert not lists[-1].is_settled
    times_s = []
    while len(times_s) < 30:
        loop.time_s += 0.1
        loop.run_repeated()
        times_s.append((loop.time_s, lists[-1].is_settled))
    settled_s = [at_s for at_s, is_settled in times_s if is_settled]
    assert settled_s
    assert 12.0 <= settled_s[0] <= 13.0
    assert lists[-1].known_s <= 10.0
