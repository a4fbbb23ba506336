"""Measures the cost of control traffic and state at a given deployment size.

Runs the nodes of a deployment in one process: the pure decisions and the real codec,
without sockets. In each simulated second, every node ticks, reads its load reports and
receives configuration changes and its peers' messages. The cost of the daemons of one
domain is measured in processor time, bytes sent and received, and memory.

    python -m bilberryridge.standins.capacity --n-domains 67 --seconds 20

See Also
--------
docs/CAPACITY.md : use of the figures.
"""

import collections
import json
import random
import time
import tracemalloc
from typing import Annotated

import attrs
import typer

from bilberryridge.core import documents, encoding, messages
from bilberryridge.decisions import effects, events, node, state
from bilberryridge.peers import codec

TICKS_PER_S = round(1 / events.TICK_INTERVAL_S)
CHANGES_PER_DAY = 48_000
S_PER_DAY = 86_400
WARM_UP_S = 6
N_MODELS = 6
N_SLOTS = 16
REQUESTS_PER_SERVER_PER_S = 13_000 / 12_000
WEBSOCKET_OVERHEAD_BYTES = 8
TCP_IP_OVERHEAD_BYTES = 52


@attrs.frozen
class Size:
    """Size of a deployment."""

    n_domains: int
    n_daemons: int
    n_servers: int
    n_organisations: int
    n_regions: int


@attrs.frozen
class Cost:
    """Cost of control for one daemon.

    Parameters
    ----------
    cpu_share : float
        Fraction of one core, for decisions and codec.
    sent_bytes_per_s, received_bytes_per_s : float
        Including the overhead of websocket, TCP and IP.
    n_messages_per_s : float
    n_peers : int
    sent_by_kind : dict of str to float
        Bytes sent a second by kind of message.
    """

    cpu_share: float
    sent_bytes_per_s: float
    received_bytes_per_s: float
    n_messages_per_s: float
    n_peers: int
    sent_by_kind: dict[str, float]


def make_documents(size: Size) -> list[documents.Document]:
    """Make the documents of a deployment of that size."""
    regions = tuple(f"region-{i}" for i in range(size.n_regions))
    models = [f"model-{i}" for i in range(N_MODELS)]
    kind = documents.ServiceKind.MODEL
    docs: list[documents.Document] = [
        documents.Service(name, kind, regions) for name in models
    ]
    for i in range(size.n_organisations):
        digest = f"{i:064x}"
        home = regions[i % size.n_regions]
        docs.append(documents.Organisation(f"org-{i}", home, (), (digest,)))
    for i in range(size.n_domains):
        domain = f"domain-{i}"
        docs.append(documents.Domain(domain, regions[i % size.n_regions]))
    for i in _simulated_daemons(size):
        docs.append(_entry_vm(i, f"domain-{i % size.n_domains}"))
    for i in range(size.n_servers):
        domain = f"domain-{i % size.n_domains}"
        docs.append(_server(i, domain, models[i // size.n_domains % N_MODELS]))
    return docs


def _simulated_daemons(size: Size) -> list[int]:
    """Return all daemons of domain 0, and one of each other domain as its peer."""
    numbers = range(size.n_daemons)
    return [i for i in numbers if i % size.n_domains == 0 or i < size.n_domains]


def _entry_vm(i: int, domain: str) -> documents.Vm:
    host = f"10.0.{i // 250}.{i % 250}"
    return documents.Vm(
        f"entry-{i}",
        documents.VmKind.ENTRY,
        domain,
        address=f"{host}:8080",
        relay_address=f"{host}:8081",
        peer_address=f"{host}:8082",
        operators_address=f"{host}:8083",
    )


def _server(i: int, domain: str, service: str) -> documents.Vm:
    address = f"10.{1 + i // 62500}.{i // 250 % 250}.{i % 250}:9000"
    return documents.Vm(
        f"server-{i}",
        documents.VmKind.SERVER,
        domain,
        address,
        service=service,
        n_slots=N_SLOTS,
        tokens_per_s=400.0,
    )


def versions_of(
    docs: list[documents.Document], revision: int
) -> tuple[documents.Version, ...]:
    """Return the documents as the store holds them."""
    by_type = {cls: kind for kind, cls in documents.KINDS.items()}
    return tuple(
        documents.Version(
            f"{by_type[type(doc)]}/{doc.name}",  # type: ignore[union-attr]
            revision,
            encoding.to_json(doc),
        )
        for doc in docs
    )


class Fleet:
    """All nodes of a deployment and the messages between them.

    Only the measured domain and one node of each other domain are simulated. Other
    nodes would cost the measured ones nothing except their documents.
    """

    def __init__(self, size: Size, seed: int):
        self.size = size
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.documents = make_documents(size)
        self.versions = versions_of(self.documents, 1)
        self.revision = 1
        self.nodes: dict[str, node.Node] = {}
        self.in_flight: collections.deque[tuple[str, bytes]] = collections.deque()
        self.reads: dict[str, tuple[tuple[str, str], ...]] = {}
        self.n_running: dict[str, int] = {}
        self.desired_peers: dict[str, set[str]] = {}
        self.watching: set[str] = set()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()
        self.n_messages: collections.Counter[str] = collections.Counter()
        self.sent_by_kind: collections.Counter[tuple[str, str]]
        self.sent_by_kind = collections.Counter()
        self.cpu_s: collections.defaultdict[str, float]
        self.cpu_s = collections.defaultdict(float)

    def start(self, vm: str, domain: str, region: str) -> None:
        """Start a node with the complete configuration."""
        cfg = state.NodeSettings(vm, domain, region, f"i-{vm}", b"secret")
        self.nodes[vm] = node.Node(cfg, random.Random(self.random.random()))
        self.desired_peers[vm] = set()
        self.handle_event(vm, events.ConfigurationRead(0, 1, self.versions))
        self.handle_event(vm, events.StoreReachable(True))

    def handle_event(self, vm: str, event: events.Event) -> None:
        """Pass an event to a node and apply its effects."""
        began_s = time.process_time()
        node_effects = self.nodes[vm].handle(self.now_s, event)
        for effect in node_effects:
            if isinstance(effect, effects.SendPeerMessage):
                self._send(vm, effect)
        self.cpu_s[vm] += time.process_time() - began_s
        for effect in node_effects:
            self._apply(vm, effect)

    def _send(self, vm: str, effect: effects.SendPeerMessage) -> None:
        frame = messages.Frame(vm, f"i-{vm}", effect.revision, effect.body)
        data = codec.encode(frame)
        n_bytes = len(data) + WEBSOCKET_OVERHEAD_BYTES + TCP_IP_OVERHEAD_BYTES
        self.sent_bytes[vm] += n_bytes
        self.received_bytes[effect.vm] += n_bytes
        self.n_messages[vm] += 1
        self.sent_by_kind[vm, codec.kind_of(effect.body)] += n_bytes
        self.in_flight.append((effect.vm, data))

    def _apply(self, vm: str, effect: effects.Effect) -> None:
        if isinstance(effect, effects.ConnectPeers):
            self._connect(vm, {name for name, _ in effect.vms})
        elif isinstance(effect, effects.ReadLoads):
            self.reads[vm] = effect.servers
        elif isinstance(effect, effects.WatchStore):
            (self.watching.add if effect.is_wanted else self.watching.discard)(vm)

    def _connect(self, vm: str, desired_peers: set[str]) -> None:
        for other in desired_peers - self.desired_peers[vm]:
            if other in self.nodes:
                self.handle_event(vm, events.PeerUp(other, f"i-{other}"))
                self.handle_event(other, events.PeerUp(vm, f"i-{vm}"))
        self.desired_peers[vm] = desired_peers

    def deliver(self) -> None:
        """Deliver every message in flight."""
        while self.in_flight:
            vm, data = self.in_flight.popleft()
            if vm not in self.nodes:
                continue
            began_s = time.process_time()
            frame = codec.decode(data)
            self.cpu_s[vm] += time.process_time() - began_s
            if isinstance(frame, messages.Frame):
                self.handle_event(vm, events.PeerSaid(frame))

    def reset_costs(self) -> None:
        """Reset the counters."""
        self.sent_bytes.clear()
        self.received_bytes.clear()
        self.n_messages.clear()
        self.sent_by_kind.clear()
        self.cpu_s.clear()

    def run_second(self, n_changes: int) -> None:
        """Simulate one second."""
        for tick in range(TICKS_PER_S):
            self.now_s += events.TICK_INTERVAL_S
            if tick < n_changes:
                self._change()
            for vm in self.nodes:
                if tick == 0:
                    self._read_loads(vm)
                self.handle_event(vm, events.Tick())
            self.deliver()

    def _read_loads(self, vm: str) -> None:
        for server, _ in self.reads.get(vm, ()):
            before = self.n_running.get(server, N_SLOTS // 2)
            step = self._n_arrivals_per_s() - self._n_arrivals_per_s()
            self.n_running[server] = min(max(before + step, 0), N_SLOTS)
            self.handle_event(vm, events.LoadRead(server, self.n_running[server], 0))

    def _n_arrivals_per_s(self) -> int:
        # Requests begin and end as Poisson processes.
        n, at_s = 0, self.random.expovariate(REQUESTS_PER_SERVER_PER_S)
        while at_s < 1.0:
            n += 1
            at_s += self.random.expovariate(REQUESTS_PER_SERVER_PER_S)
        return n

    def _change(self) -> None:
        before, self.revision = self.revision, self.revision + 1
        name = f"org-{self.random.randrange(self.size.n_organisations)}"
        document = documents.Organisation(name, "region-0", (), ("0" * 64,))
        versions = versions_of([document], self.revision)
        for vm in sorted(self.watching):
            read = events.ConfigurationRead(before, self.revision, versions)
            self.handle_event(vm, read)


def measure(size: Size, n_seconds: int, seed: int) -> Cost:
    """Measure the cost of control for the busiest daemon of one domain."""
    fleet = Fleet(size, seed)
    _start_daemons(fleet)
    rate = CHANGES_PER_DAY / S_PER_DAY
    n_due = 0.0
    for second in range(WARM_UP_S + n_seconds):
        if second == WARM_UP_S:
            fleet.reset_costs()
        n_due += rate
        fleet.run_second(int(n_due))
        n_due -= int(n_due)
    local_vms = [
        vm for vm, n in fleet.nodes.items() if n.state.cfg.domain == "domain-0"
    ]
    busiest = max(local_vms, key=lambda vm: fleet.sent_bytes[vm])
    return Cost(
        max(fleet.cpu_s[vm] for vm in local_vms) / n_seconds,
        fleet.sent_bytes[busiest] / n_seconds,
        max(fleet.received_bytes[vm] for vm in local_vms) / n_seconds,
        fleet.n_messages[busiest] / n_seconds,
        len(fleet.nodes[busiest].state.members.connected_peers()),
        {
            kind: n_bytes / n_seconds
            for (vm, kind), n_bytes in fleet.sent_by_kind.items()
            if vm == busiest
        },
    )


def _start_daemons(fleet: Fleet) -> None:
    # All daemons of domain 0, and one of each other domain as its peer.
    for i in _simulated_daemons(fleet.size):
        domain = i % fleet.size.n_domains
        region = f"region-{domain % fleet.size.n_regions}"
        fleet.start(f"entry-{i}", f"domain-{domain}", region)


def measure_memory(size: Size) -> int:
    """Return the bytes that the complete configuration takes in one node."""
    versions = versions_of(make_documents(size), 1)
    tracemalloc.start()
    cfg = state.NodeSettings("entry-0", "domain-0", "region-0", "i", b"secret")
    measured_node = node.Node(cfg, random.Random(1))
    # Copies, since values read from the wire share no memory.
    copied_versions = tuple(
        documents.Version(v.key + "", v.revision, bytes(bytearray(v.value)))
        for v in versions
    )
    measured_node.handle(0.0, events.ConfigurationRead(0, 1, copied_versions))
    del copied_versions
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def main(
    n_domains: Annotated[int, typer.Option(help="Failure domains.")] = 67,
    n_daemons: Annotated[int, typer.Option(help="Daemons.")] = 380,
    n_servers: Annotated[int, typer.Option(help="Replicas.")] = 12_000,
    n_organisations: Annotated[int, typer.Option(help="Organisations.")] = 2_100,
    n_regions: Annotated[int, typer.Option(help="Regions.")] = 20,
    seconds: Annotated[int, typer.Option(help="Of the nodes' time.")] = 20,
    seed: Annotated[int, typer.Option(help="Of all randomness.")] = 1,
) -> None:
    """Print what control costs one daemon at a size, and what its state takes."""
    size = Size(n_domains, n_daemons, n_servers, n_organisations, n_regions)
    report = {
        "size": attrs.asdict(size),
        "cost": attrs.asdict(measure(size, seconds, seed)),
        "configuration_bytes": measure_memory(size),
    }
    print(json.dumps(report, indent=1))


if __name__ == "__main__":
    typer.run(main)
