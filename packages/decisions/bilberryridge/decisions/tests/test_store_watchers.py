"""Which daemon follows the store, and when the others follow it themselves."""

import pytest

from bilberryridge.core import ingress
from bilberryridge.decisions import store_watchers

Position = store_watchers.StorePosition


def make_entry(name, domain="d1"):
    return ingress.EntryVm(name, "i1", domain, "east", "a:1", "a:2", "a:3")


DOMAIN = [make_entry(f"vm-{n}") for n in range(33)]
OTHERS = [make_entry(f"other-{n}", "d2") for n in range(33)]


def firsts(entries):
    """Return the daemons that follow the store, if all of these are linked."""
    views = {entry.name: store_watchers.StoreWatchers(entry) for entry in entries}
    return [name for name, view in views.items() if view.is_first(entries)]


@pytest.mark.parametrize("n_daemons", [1, 2, 33])
def test_one_daemon_of_a_domain_follows_the_store(n_daemons):
    assert len(firsts(DOMAIN[:n_daemons])) == 1
    assert len(firsts(DOMAIN[:n_daemons] + OTHERS)) == 2


def test_another_one_follows_when_the_first_is_gone_or_cut_off():
    [first] = firsts(DOMAIN)
    rest = [entry for entry in DOMAIN if entry.name != first]
    assert len(firsts(rest)) == 1
    assert len(firsts(rest[:16])) == len(firsts(rest[16:])) == 1


@pytest.mark.parametrize(
    ("position", "heard_for_s", "is_covered"),
    [
        (Position(1, 100, 0.0, True), 0.4, True),
        (Position(1, 90, 0.6, True), 0.4, True),
        (Position(1, 101, 0.0, True), 0.0, False),
        (Position(2, 50, 0.0, True), 0.0, False),
        (Position(0, 100, 0.0, True), 0.0, False),
        (Position(1, 100, 1.5, True), 0.2, False),
        (Position(1, 100, 0.0, True), 1.7, False),
    ],
)
def test_only_a_recent_position_that_is_not_ahead_covers(
    position, heard_for_s, is_covered
):
    view = store_watchers.StoreWatchers(DOMAIN[0])
    view.record("vm-1", position, 10.0)
    assert view.is_covered(1, 100, 10.0 + heard_for_s) is is_covered
    view.remove("vm-1")
    assert not view.is_covered(1, 100, 10.0)


def test_daemon_that_lags_asks_the_one_that_is_ahead():
    view = store_watchers.StoreWatchers(DOMAIN[0])
    view.record("vm-1", Position(1, 101, 0.0, True), 10.0)
    view.record("vm-2", Position(1, 99, 0.0, False), 10.0)
    assert view.ahead(1, 100, 10.0) == ["vm-1"]
    assert view.ahead(1, 100, 12.0) == []


def test_report_of_an_outage_holds_for_the_settling_time_though_the_daemon_is_silent():
    # Issue 61: it lapsed with the position, before servers were registered again.
    view = store_watchers.StoreWatchers(DOMAIN[0])
    for n in range(3):
        view.record("vm-2", Position(1, 99, 0.0, False), 10.0 + 0.4 * n)
    view.remove("vm-2")
    assert not view.is_settled(12.4)
    assert view.is_settled(12.5)


@pytest.mark.parametrize(
    ("reports", "settled_s"),
    [
        ([(10.0, False), (10.4, True)], 10.4),
        ([(10.0 + 0.4 * n, False) for n in range(20)], 12.5),
        # The store was away again in between.
        ([(10.0, False), (12.0, False)], 14.5),
        ([(10.0, False), (10.4, True), (10.8, False)], 13.3),
    ],
)
def test_outage_is_settled_as_reported_or_after_the_settling_time(reports, settled_s):
    view = store_watchers.StoreWatchers(DOMAIN[0])
    known = []
    for at_s, is_settled in reports:
        # Just before a report only those before it are known.
        known.append(view.is_settled(at_s - 0.01))
        view.record("vm-2", Position(1, 99, 0.0, is_settled), at_s)
    assert known[:2] == [True, False]
    if not reports[-1][1]:
        assert not view.is_settled(settled_s - 0.01)
    assert view.is_settled(settled_s)
