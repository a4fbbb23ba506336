"""Who is believed to serve, and what callers are told."""

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


def test_registration_that_lapsed_in_an_outage_lingers():
    known = members.Members(A)
    known.update((A, B, C), True, 0.0)
    known.update((A,), False, 10.0)
    assert names(known.alive(10.5)) == ["b", "c"]
    known.update((A, B), True, 11.0)
    known.forget_gone(14.0)
    assert names(known.alive(14.0)) == ["b"]


def test_registration_that_ended_in_calm_ends_at_once():
    known = members.Members(A)
    known.update((A, B, C), True, 0.0)
    known.update((A, C), True, 1.0)
    assert names(known.alive(1.0)) == ["c"]


def test_open_link_outweighs_a_registration_that_was_taken_away():
    known = members.Members(A)
    known.update((A, B), True, 0.0)
    known.link_up(B)
    known.update((A,), True, 1.0)
    assert names(known.alive(1.0)) == ["b"]
    known.link_down("b", "i1", 2.0)
    assert known.alive(2.0) == []


def test_registered_daemon_without_link_is_left_out_for_a_while():
    known = members.Members(A)
    known.update((A, B), True, 0.0)
    assert known.link_down("b", "i1", 1.0)
    assert not known.link_down("b", "i1", 1.5)
    assert known.alive(2.0) == []
    assert names(known.alive(8.0)) == ["b"]


def test_link_of_an_earlier_incarnation_ends_nothing():
    known = members.Members(A)
    known.link_up(deployment.entry("b", incarnation="i2"))
    known.link_down("b", "i1", 1.0)
    assert names(known.alive(1.0)) == ["b"]


@pytest.mark.parametrize(
    ("entries", "homes", "region", "domain", "expected"),
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
def test_directory_names_the_nearest_and_no_region_without_homes(
    entries, homes, region, domain, expected
):
    random_state = random.Random(1)
    homes = [frozenset(regions) for regions in homes]
    chosen = directory.choose(list(entries), homes, region, domain, random_state)
    assert names(chosen) == expected


def test_daemon_that_has_no_table_yet_names_nobody():
    made = deployment.Daemon(peers=(B, C))
    made.node.state.table = None
    assert made.node.entries_for(100.0, deployment.HOST, "west", "d2") == []


def test_host_with_a_home_is_never_led_to_another_region():
    made = deployment.Daemon(peers=(B,))
    away = (deployment.route("home", "safe", allowed_regions=frozenset(["south"])),)
    made.handle(events.TableRead(deployment.table(2, away)))
    chosen = made.node.entries_for(100.0, deployment.HOST, "south", "d9")
    assert chosen == []


def test_stopping_daemon_names_the_others_and_not_itself():
    made = deployment.Daemon(peers=(B,))
    made.handle(events.StopAsked())
    chosen = made.node.entries_for(100.0, deployment.HOST, "east", "d1")
    assert names(chosen) == ["b"]
    alone = deployment.Daemon()
    alone.handle(events.StopAsked())
    assert alone.node.entries_for(100.0, deployment.HOST, "east", "d1") == []
