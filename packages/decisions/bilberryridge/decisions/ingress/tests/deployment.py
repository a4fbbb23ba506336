"""A small simulated deployment for tests of an ingress node."""

import random

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import effects, events, load_messages, node, state

REGION_BY_DOMAIN = {"d1": "east", "d2": "west"}
HOST = "desk.example"


def entry(name, domain="d1", incarnation="i1"):
    region = REGION_BY_DOMAIN[domain]
    addresses = [f"{name}:{port}" for port in (80, 81, 82)]
    return ingress.EntryVm(name, incarnation, domain, region, *addresses)


def route(name, kind, **changes):
    values = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": ingress.RequestKind(kind),
        "shares": (ingress.TrafficShare(changes.pop("service", "desk")),),
        "timeout_s": 10.0,
        "latency_goal_s": 0.8,
        "max_attempts": 2,
    }
    return ingress.Route(**{**values, **changes})


ENGINE = ingress.Engine(64, 400_000)
SERVICES = {
    "desk": ingress.Service("desk", warmup_s=3.0, warmup_requests_per_s=2.0),
    "model": ingress.Service("model", 3.0, 2.0, engine=ENGINE),
}
ROUTES = (
    route("safe", "safe"),
    route("unsafe", "unsafe"),
    route("digest", "stream", service="model", is_resumable=True, priority=1),
    route("query", "stream", service="model", max_attempts=1),
    route("home", "safe", allowed_regions=frozenset(["west"])),
)


def table(version=1, routes=ROUTES, organisations=()):
    return ingress.RoutingTable(
        version, routes, SERVICES, organisations=tuple(organisations)
    )


def server(server_id, service="desk", domain="d1", **changes):
    address = f"{server_id}:9000"
    return ingress.BackendServer(
        server_id, service, address, domain, **{"n_slots": 6, **changes}
    )


def prompt(n_tokens=1_000, parts=()):
    return ingress.Prompt(n_tokens, 100, parts)


def request(request_id, path, **changes):
    values = {"caller_timeout_s": 10.0, **changes}
    return ingress.Request(request_id, f"c{request_id}", HOST, f"/{path}/x", **values)


def loads(region="west", **changes):
    values = {
        "n_servers": 4,
        "unloaded_first_s": 0.03,
        "n_pending_tokens": 0,
        "n_urgent_tokens": 0,
        "tokens_per_s": 50_000,
        "n_open": 0,
        "n_slots": 256,
        "n_free_tokens": 1_000_000,
    }
    load = load_messages.ServiceLoad(**{**values, **changes})
    return load_messages.RegionLoads(region, {"model": load, "desk": load})


class Daemon:
    """An ingress node with a simulated clock."""

    def __init__(self, servers=(), peers=(), own="vm-1", **settings):
        cfg = state.NodeSettings(entry(own), REGION_BY_DOMAIN, **settings)
        self.node = node.Node(cfg, random.Random(1))
        self.now_s = 100.0
        self.handle(events.TableRead(table()))
        self.handle(events.EntriesRead(tuple(peers)))
        for peer in peers:
            self.handle(events.LinkUp(peer))
        self.handle(events.ServersRead(tuple(servers)))

    def handle(self, event):
        return self.node.handle(self.now_s, event)

    def arrive(self, request_id, path, **changes):
        [effect] = self.handle(
            events.RequestArrived(request(request_id, path, **changes))
        )
        return effect

    def end(self, sent, result, **changes):
        ended = events.AttemptEnded(
            sent.request_id, sent.attempt_id, events.AttemptResult(result), **changes
        )
        return [
            effect
            for effect in self.handle(ended)
            if not isinstance(effect, effects.LogStateChange | effects.ProbeServer)
        ]

    def tick(self, seconds):
        self.now_s += seconds
        return [
            effect
            for effect in self.handle(events.Tick())
            if not isinstance(effect, effects.ProbeServer)
        ]
