from bilberryridge.core import documents
from bilberryridge.standins.bench import deployments, files


def test_traffic_between_regions_shares_the_trunk_of_its_document():
    for name in deployments.NAMES:
        dep = deployments.load(name, 130)
        cfg = files.links(dep)
        store = deployments.STORE_REGIONS[name]
        places = {**dep.regions, deployments.PLATFORM: store}
        rates = {t["name"]: t.get("megabits_per_s") for t in cfg["trunks"]}
        for link in dep.of_kind(documents.Link):
            assert rates[f"{link.a}~{link.b}"] == link.megabits_per_s
        for pair in cfg["pairs"]:
            ends = sorted((places[pair["a"]], places[pair["b"]]))
            is_local = ends[0] == ends[1]
            assert pair["trunk"] == ("local" if is_local else "~".join(ends))


def test_other_domains_are_only_dialled_through_links():
    dep = deployments.load("lakeshore", 130)
    for vm in dep.entry_vms:
        instead = {r["dialled"] for r in files.daemon(dep, vm)["address_rewrites"]}
        for other in dep.entry_vms:
            is_elsewhere = other.domain != vm.domain
            assert (other.relay_address in instead) == is_elsewhere
            assert (other.peer_address in instead) == is_elsewhere


def test_engines_have_the_speed_given_in_their_documents():
    dep = deployments.load("malta-calce", 130)
    made = [e for d in dep.regions for e in files.servers(dep, d)["engines"]]
    by_name = {item["name"]: item["speed"] for item in made}
    assert len(by_name) == 9
    for vm in dep.engines:
        speed = by_name[vm.name]
        assert speed["n_slots"] == vm.n_slots
        assert abs(speed["n_slots"] / speed["full_step_s"] - vm.tokens_per_s) < 1e-6
