"""Which daemons count as serving, and the entry VMs returned to callers."""

import random

import pytest

from bilberryridge.decisions.ingress import directory, events, members
from bilberryridge.decisions.ingress.tests import deployment

A, B, C = (
    deployment.entry("a"),
    deployment.entry("b"),
    deployment.entry("c", "d2"),
)


def names(entries):
    return sorted(entry.name for entry in entries)


def test_registration_that_lapsed_in_a_store_outage_counts_for_a_grace_time():
    members_of_a = members.Members(A)
    members_of_a.update((A, B, C), True, 0.0)
    members_of_a.update((A,), False, 10.0)
    assert names(members_of_a.alive(10.5)) == ["b", "c"]
    members_of_a.update((A, B), True, 11.0)
    members_of_a.remove_expired(14.0)
    assert names(members_of_a.alive(14.0)) == ["b"]


def test_registration_that_ended_without_an_outage_is_removed_at_once():
    members_of_a = members.Members(A)
    members_of_a.update((A, B, C), True, 0.0)
    members_of_a.update((A, C), True, 1.0)
    assert names(members_of_a.alive(1.0)) == ["c"]


def test_open_link_overrides_a_missing_registration():
    members_of_a = members.Members(A)
    members_of_a.update((A, B), True, 0.0)
    members_of_a.link_up(B)
    members_of_a.update((A,), True, 1.0)
    assert names(members_of_a.alive(1.0)) == ["b"]
    members_of_a.link_down("b", "i1", 2.0)
    assert members_of_a.alive(2.0) == []


def test_registered_daemon_without_a_link_is_not_used_for_a_while():
    members_of_a = members.Members(A)
    members_of_a.update((A, B), True, 0.0)
    assert members_of_a.link_down("b", "i1", 1.0)
    assert not members_of_a.link_down("b", "i1", 1.5)
    assert members_of_a.alive(2.0) == []
    assert names(members_of_a.alive(8.0)) == ["b"]


def test_closed_link_of_an_earlier_incarnation_is_ignored():
    members_of_a = members.Members(A)
    members_of_a.link_up(deployment.entry("b", incarnation="i2"))
    members_of_a.link_down("b", "i1", 1.0)
    assert names(members_of_a.alive(1.0)) == ["b"]


@pytest.mark.parametrize(
    ("entries", "allowed_by_route", "region", "domain", "expected"),
    [
        ((A, B, C), (), "east", "d1", ["a", "b"]),
        ((A, B, C), (), "east", "d9", ["a", "b"]),
        ((C,), (), "east", "d1", ["c"]),
        ((C,), (("east",),), "east", "d1", []),
        ((A, C), (("east",),), "west", "d2", ["c"]),
        ((A,), (("east",),), "west", "d2", ["a"]),
        ((C,), (("east",), ("north",)), "south", "d9", []),
        ((A, C), (("east",), ("north",), ("east", "west")), "south", "d9", ["a"]),
    ],
)
def test_directory_returns_the_nearest_entries_in_allowed_regions_only(
    entries, allowed_by_route, region, domain, expected
):
    random_state = random.Random(1)
    allowed_by_route = [frozenset(regions) for regions in allowed_by_route]
    chosen = directory.choose(
        list(entries), allowed_by_route, region, domain, random_state
    )
    assert names(chosen) == expected


def test_daemon_without_a_table_returns_no_entries():
    daemon = deployment.Daemon(peers=(B, C))
    daemon.node.state.table = None
    assert daemon.node.entries_for(100.0, deployment.HOST, "west", "d2") == []


def test_caller_is_never_directed_to_a_region_that_is_not_allowed():
    daemon = deployment.Daemon(peers=(B,))
    other_region = (
        deployment.route("home", "safe", allowed_regions=frozenset(["south"])),
    )
    daemon.handle(events.TableRead(deployment.table(2, other_region)))
    chosen = daemon.node.entries_for(100.0, deployment.HOST, "south", "d9")
    assert chosen == []


def test_stopping_daemon_names_the_others_and_not_itself():
    daemon = deployment.Daemon(peers=(B,))
    daemon.handle(events.StopAsked())
    chosen = daemon.node.entries_for(100.0, deployment.HOST, "east", "d1")
    assert names(chosen) == ["b"]
    alone = deployment.Daemon()
    alone.handle(events.StopAsked())
    assert alone.node.entries_for(100.0, deployment.HOST, "east", "d1") == []
