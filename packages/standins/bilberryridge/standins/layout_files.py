"""The configuration files of a fleet's processes.

See Also
--------
bilberryridge.standins.layout : names and addresses of the fleet.
"""

from typing import Any

import attrs

from bilberryridge.core import documents
from bilberryridge.standins import layout


def platform_file(plan: layout.Layout) -> dict[str, Any]:
    """Return the configuration of `platform_server`."""
    host = plan.platform_host
    return {
        "store": f"{host}:{layout.STORE_PORT}",
        "list": f"{host}:{layout.LIST_PORT}",
        "control": plan.platform_control,
        "vms": {vm.name: "live" for vm in plan.vms()},
    }


def server_file(plan: layout.Layout, vm: documents.Vm) -> dict[str, Any]:
    """Return the configuration of `servers` for one backend server."""
    domain = plan.domain(vm.domain)
    fields = {"name": vm.name, "address": vm.address}
    if vm.service == layout.MODEL:
        return {"engines": [{**fields, "model": layout.MODEL, **domain.engine}]}
    return {"plain": [{**fields, **domain.plain}]}


def links_file(plan: layout.Layout) -> dict[str, Any]:
    """Return the configuration of `links`."""
    places = [*(domain.name for domain in plan.domains), layout.PLATFORM]
    pairs = [(a, b) for n, a in enumerate(places) for b in places[n + 1 :]]
    return {
        "control": plan.links_control,
        "trunks": [
            {"name": f"{a}~{b}", "one_way_ms": layout.ONE_WAY_MS} for a, b in pairs
        ],
        "pairs": [{"a": a, "b": b, "trunk": f"{a}~{b}"} for a, b in pairs],
        "links": [attrs.asdict(link) for link in _links(plan)],
    }


def daemon_file(
    plan: layout.Layout, vm: documents.Vm, seeds: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Return the settings of one daemon; `seeds` are names of entry VMs."""
    instead = {
        link.target: link.listen for link in _links(plan) if link.viewer == vm.domain
    }
    store = f"{plan.platform_host}:{layout.STORE_PORT}"
    vm_list = f"{plan.platform_host}:{layout.LIST_PORT}"
    peers = {peer.name: peer.peer_address for peer in plan.entry_vms()}
    return {
        "vm": vm.name,
        "domain": vm.domain,
        "region": plan.domain(vm.domain).region,
        "deployment": layout.DEPLOYMENT,
        "addresses": {
            "callers": vm.address,
            "relay": vm.relay_address,
            "peers": vm.peer_address,
            "operators": vm.operators_address,
        },
        "platform": {
            "store": f"http://{instead.get(store, store)}",
            "list": f"http://{instead.get(vm_list, vm_list)}",
        },
        "shared_key": layout.SHARED_KEY,
        "operators_token_digest": layout.digest_of(layout.OPERATORS_TOKEN),
        "seeds": [
            {"vm": name, "address": instead.get(peers[name], peers[name])}
            for name in seeds
        ],
        "address_rewrites": [
            {"dialled": target, "instead": listen}
            for target, listen in instead.items()
            if target not in (store, vm_list)
        ],
    }


@attrs.frozen
class _Link:
    listen: str
    target: str
    viewer: str
    place: str


def _links(plan: layout.Layout) -> list[_Link]:
    if not plan.has_links:
        return []
    targets = [
        (layout.PLATFORM, f"{plan.platform_host}:{layout.STORE_PORT}"),
        (layout.PLATFORM, f"{plan.platform_host}:{layout.LIST_PORT}"),
        *((vm.domain, vm.relay_address) for vm in plan.entry_vms()),
        *((vm.domain, vm.peer_address) for vm in plan.entry_vms()),
    ]
    routes = [
        (viewer.name, place, target)
        for viewer in plan.domains
        for place, target in targets
        if place != viewer.name
    ]
    links = []
    for n, (viewer_name, place, target) in enumerate(routes):
        third, fourth = divmod(n, layout.LINKS_PER_OCTET)
        listen = f"{plan.host(layout.FIRST_LINK_OCTET + third, fourth + 1)}"
        port = target.rpartition(":")[2]
        links.append(_Link(f"{listen}:{port}", target, viewer_name, place))
    return links
