"""A deployment of `examples/` on loopback addresses.

The documents are those of the example except for addresses, tokens, the speed of the
engines, and deadlines, which suit a run of some seconds.
"""

import hashlib
import json
import pathlib
from typing import Any

import attrs

from bilberryridge.core import documents, encoding
from bilberryridge.standins import batch, configs

EXAMPLES = pathlib.Path("examples")
NAMES = ("lakeshore", "malta-calce")
STORE_REGIONS = {"lakeshore": "ontario", "malta-calce": "sicilia-est"}
SERVICE_DEADLINE_S = 8.0
SPEED = batch.Speed(
    n_slots=8,
    max_waiting=32,
    step_s=0.015,
    full_step_s=0.03,
    prefill_tokens_per_s=8000.0,
    max_chunk_tokens=128,
    n_cache_blocks=240,
)
PLATFORM = "platform"
STORE_PORT = 2379
LIST_PORT = 8500
CONTROL_PORT = 7001
LINKS_HOST = 2
FIRST_LINK_NET = 100
LINKS_PER_NET = 200
LOCAL_ONE_WAY_MS = 1.0
JITTER_MS = 2.0
SHARED_KEY = "a key of the load tool's daemons only"
OPERATORS_TOKEN = "operators"


@attrs.frozen
class Link:
    """Emulated link: the address that one place dials instead of a remote target."""

    listen: str
    target: str
    viewer: str
    place: str


@attrs.frozen
class Deployment:
    """A deployment on one subnet of loopback addresses.

    Parameters
    ----------
    name : str
        Folder below `examples/`.
    subnet : int
        Second octet of all addresses.
    docs : tuple of documents.Document
    report_lag_s : float
        Age of the engines' load reports.
    """

    name: str
    subnet: int
    docs: tuple[documents.Document, ...]
    report_lag_s: float

    def of_kind(self, kind: type) -> list[Any]:
        """Return the documents of one kind."""
        return [item for item in self.docs if isinstance(item, kind)]

    @property
    def regions(self) -> dict[str, str]:
        """Region by failure domain."""
        return {d.name: d.region for d in self.of_kind(documents.Domain)}

    @property
    def organisations(self) -> list[documents.Organisation]:
        """All organisations."""
        return self.of_kind(documents.Organisation)

    def vms(self, kind: documents.VmKind) -> list[documents.Vm]:
        """Return the VMs of one kind."""
        return [vm for vm in self.of_kind(documents.Vm) if vm.kind is kind]

    @property
    def entry_vms(self) -> list[documents.Vm]:
        """The entry VMs."""
        return self.vms(documents.VmKind.ENTRY)

    @property
    def model(self) -> str:
        """Name of the model service."""
        services = self.of_kind(documents.Service)
        return next(s.name for s in services if s.kind is documents.ServiceKind.MODEL)

    @property
    def engines(self) -> list[documents.Vm]:
        """The model service's backend servers."""
        servers = self.vms(documents.VmKind.SERVER)
        return [vm for vm in servers if vm.service == self.model]

    def host(self, third: int, fourth: int) -> str:
        """Return an address in the deployment's subnet."""
        return f"127.{self.subnet}.{third}.{fourth}"

    @property
    def platform_host(self) -> str:
        """Address of the store and of the VM list."""
        return self.host(0, 1)

    @property
    def links_control(self) -> str:
        """``host:port`` of the links' control port."""
        return f"{self.host(0, LINKS_HOST)}:{CONTROL_PORT}"

    def links(self) -> list[Link]:
        """Return a link for each target that is dialled from another place."""
        host = self.platform_host
        targets = [(PLATFORM, f"{host}:{p}") for p in (STORE_PORT, LIST_PORT)]
        for vm in self.entry_vms:
            own = (vm.address, vm.relay_address, vm.peer_address)
            targets += [(vm.domain, address) for address in own]
        targets += [(vm.domain, vm.address) for vm in self.engines]
        link_targets = [
            (viewer, place, target)
            for viewer in self.regions
            for place, target in targets
            if place != viewer
        ]
        found = []
        for n, (viewer, place, target) in enumerate(link_targets):
            third, fourth = divmod(n, LINKS_PER_NET)
            host = self.host(FIRST_LINK_NET + third, fourth + 1)
            port = target.rpartition(":")[2]
            found.append(Link(f"{host}:{port}", target, viewer, place))
        return found

    def rewrites(self, viewer: str) -> dict[str, str]:
        """Return the address that a place dials instead of each remote target."""
        links = [link for link in self.links() if link.viewer == viewer]
        return {link.target: link.listen for link in links}


def load(name: str, subnet: int, report_lag_s: float = 0.2) -> Deployment:
    """Read an example's documents and move their addresses to a subnet."""
    folder = EXAMPLES / name / "documents"
    found = []
    for path in sorted(folder.glob("*/*.yaml")):
        text = json.dumps(configs.load(path)).encode()
        found.append(
            _with_local_settings(encoding.from_json(path.parent.name, text), subnet)
        )
    return Deployment(name, subnet, tuple(found), report_lag_s)


def token_of(organisation: str) -> str:
    """Return the bearer token of an organisation's callers."""
    return f"token-of-{organisation}"


def digest_of(token: str) -> str:
    """Return the digest of a token, as stored in documents."""
    return hashlib.sha256(token.encode()).hexdigest()


def _with_local_settings(doc: documents.Document, subnet: int) -> documents.Document:
    if isinstance(doc, documents.Organisation):
        return attrs.evolve(doc, token_digests=(digest_of(token_of(doc.name)),))
    if isinstance(doc, documents.Service):
        return attrs.evolve(
            doc,
            deadline_s=SERVICE_DEADLINE_S,
            first_byte_deadline_s=SERVICE_DEADLINE_S,
        )
    if not isinstance(doc, documents.Vm):
        return doc
    names = ("address", "relay_address", "peer_address", "operators_address")
    moved: dict[str, Any] = {
        name: _move_to_subnet(getattr(doc, name), subnet) for name in names
    }
    doc = attrs.evolve(doc, **moved)
    if doc.tokens_per_s:
        rate = SPEED.n_slots / SPEED.full_step_s
        doc = attrs.evolve(doc, n_slots=SPEED.n_slots, tokens_per_s=rate)
    return doc


def _move_to_subnet(address: str, subnet: int) -> str:
    if not address:
        return ""
    first, _, rest = address.split(".", 2)
    return f"{first}.{subnet}.{rest}"
