"""The configuration files of a deployment's processes."""

from typing import Any

import attrs

from bilberryridge.core import documents
from bilberryridge.standins.bench import deployments


def platform(deployment: deployments.Deployment) -> dict[str, Any]:
    """Return the configuration of `platform_server`."""
    host = deployment.platform_host
    vms = deployment.of_kind(documents.Vm)
    return {
        "store": f"{host}:{deployments.STORE_PORT}",
        "list": f"{host}:{deployments.LIST_PORT}",
        "control": f"{host}:{deployments.CONTROL_PORT}",
        "vms": {vm.name: "live" for vm in vms},
    }


def servers(deployment: deployments.Deployment, domain: str) -> dict[str, Any]:
    """Return the configuration of `servers` for one failure domain."""
    engines = [
        {
            "name": vm.name,
            "address": vm.address,
            "model": deployment.model,
            "report_lag_s": deployment.report_lag_s,
            "speed": attrs.asdict(deployments.SPEED),
        }
        for vm in deployment.engines
        if vm.domain == domain
    ]
    plain = [
        {"name": vm.name, "address": vm.address, "n_slots": vm.n_slots}
        for vm in deployment.vms(documents.VmKind.SERVER)
        if vm.domain == domain and vm.service != deployment.model
    ]
    return {"engines": engines, "plain": plain}


def links(deployment: deployments.Deployment) -> dict[str, Any]:
    """Return the configuration of `links`: one trunk for each pair of regions."""
    regions = deployment.regions
    store = deployments.STORE_REGIONS[deployment.name]
    places = {**regions, deployments.PLATFORM: store}
    names = list(places)
    trunks = [
        {
            "name": f"{link.a}~{link.b}",
            "one_way_ms": link.one_way_ms,
            "jitter_ms": deployments.JITTER_MS,
            "megabits_per_s": link.megabits_per_s,
        }
        for link in deployment.of_kind(documents.Link)
    ]
    trunks.append({"name": "local", "one_way_ms": deployments.LOCAL_ONE_WAY_MS})
    pairs = []
    for n, a in enumerate(names):
        for b in names[n + 1 :]:
            ends = sorted((places[a], places[b]))
            trunk = "local" if ends[0] == ends[1] else "~".join(ends)
            ends_of = {"a_end": places[a], "b_end": places[b]}
            if trunk == "local":
                ends_of = {"a_end": a, "b_end": b}
            pairs.append({"a": a, "b": b, "trunk": trunk, **ends_of})
    return {
        "control": deployment.links_control,
        "trunks": trunks,
        "pairs": pairs,
        "links": [attrs.asdict(link) for link in deployment.links()],
    }


def daemon(deployment: deployments.Deployment, vm: documents.Vm) -> dict[str, Any]:
    """Return the settings of one daemon."""
    instead = deployment.rewrites(vm.domain)
    host = deployment.platform_host
    store = f"{host}:{deployments.STORE_PORT}"
    vm_list = f"{host}:{deployments.LIST_PORT}"
    return {
        "vm": vm.name,
        "domain": vm.domain,
        "region": deployment.regions[vm.domain],
        "deployment": deployment.name,
        "addresses": {
            "callers": vm.address,
            "relay": vm.relay_address,
            "peers": vm.peer_address,
            "operators": vm.operators_address,
        },
        "platform": {
            "store": f"http://{instead[store]}",
            "list": f"http://{instead[vm_list]}",
        },
        "shared_key": deployments.SHARED_KEY,
        "operators_token_digest": deployments.digest_of(deployments.OPERATORS_TOKEN),
        "address_rewrites": [
            {"dialled": target, "instead": listen}
            for target, listen in instead.items()
            if target not in (store, vm_list)
        ],
    }
