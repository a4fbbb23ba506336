"""Ranking of the entry VMs for callers."""

import collections
import random

import attrs

from bilberryridge.core import documents
from bilberryridge.decisions import entry_ranking

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}


def make_vms(n_each=4, **changes):
    vms = []
    for domain, region in REGIONS.items():
        for index in range(n_each):
            name = f"{domain}-{index}"
            vm = documents.Vm(name, documents.VmKind.ENTRY, domain, "")
            item = entry_ranking.EntryCandidate(vm, domain, region, True)
            vms.append(attrs.evolve(item, **changes.get(name.replace("-", "_"), {})))
    return vms


def rank(vms, organisation="o", allowed=(), seed=1, home_domain="a1", n=5):
    return entry_ranking.rank(
        organisation, vms, home_domain, "a", allowed, n, random.Random(seed)
    )


def names(ranked):
    return [item.vm.name for item in ranked]


def test_home_set_is_small_stable_and_first():
    sets = {frozenset(names(rank(make_vms(), seed=seed))[:2]) for seed in range(20)}
    assert len(sets) == 1
    firsts = {names(rank(make_vms(), seed=seed))[0] for seed in range(20)}
    assert len(firsts) == 2
    assert all(name.startswith("a1") for name in firsts)


def test_other_domains_follow_with_one_vm_each():
    ranked = rank(make_vms())
    domains = [item.domain for item in ranked]
    assert domains[:3] == ["a1", "a1", "a2"]
    assert set(domains[3:]) == {"b1", "c1"}


def test_leaving_vms_and_vms_of_forbidden_regions_are_excluded():
    gone = {"is_live": False}
    vms = make_vms(a1_0=gone, a1_1=gone, a1_2=gone, a1_3=gone)
    ranked = rank(vms, allowed={"a", "c"}, n=20)
    assert {item.domain for item in ranked} == {"a2", "c1"}
    assert rank([], n=3) == ()


def test_lost_vm_moves_only_its_own_organisations():
    before = {f"o{i}": names(rank(make_vms(), f"o{i}"))[:2] for i in range(200)}
    vms = make_vms(a1_2={"is_live": False})
    for organisation, old in before.items():
        new = names(rank(vms, organisation))[:2]
        kept = [name for name in old if name != "a1-2"]
        assert set(kept) <= set(new)


def test_organisations_are_spread_and_move_away_from_a_loaded_vm():
    def counts(vms):
        first_sets = [names(rank(vms, f"o{i}"))[:2] for i in range(400)]
        return collections.Counter(name for pair in first_sets for name in pair)

    even = counts(make_vms())
    assert min(even.values()) > 120
    loaded = counts(make_vms(a1_0={"n_open": 500}))
    assert loaded["a1-0"] < 0.4 * even["a1-0"]


def test_lifetimes_are_spread():
    random_state = random.Random(1)
    times = [entry_ranking.lifetime_s(random_state) for _ in range(50)]
    assert max(times) - min(times) > 0.2 * entry_ranking.LIFETIME_S
