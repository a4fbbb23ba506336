"""Names, addresses and documents of a fleet on loopback.

Every VM has its own address ``127.<subnet>.<domain>.<host>``; connections
of a failure domain to another one or to the platform may pass through `links`.

See Also
--------
bilberryridge.standins.fleet : runs the fleet.
"""

import hashlib
from typing import Any

import attrs

from bilberryridge.core import documents
from bilberryridge.standins import batch

DEPLOYMENT = "yard"
MODEL = "grower-assistant"
PLAIN = "order-desk"
SHARED_KEY = "a key that only this fleet's daemons have"
OPERATORS_TOKEN = "operators"

CALLERS_PORT = 8080
RELAY_PORT = 8081
PEERS_PORT = 8082
OPERATORS_PORT = 8083
SERVER_PORT = 9000
STORE_PORT = 2379
LIST_PORT = 8500
CONTROL_PORT = 7001

PLATFORM = "platform"
"""Place of the store and of the list in the simulated network."""

PLATFORM_HOST = 1
LINKS_HOST = 2
FIRST_ENTRY_HOST = 10
FIRST_SERVER_HOST = 100
FIRST_LINK_OCTET = 100
LINKS_PER_OCTET = 200
ONE_WAY_MS = 2.0


@attrs.frozen
class DomainLayout:
    """One failure domain.

    Parameters
    ----------
    name, region : str
    n_entry_vms, n_engines, n_plain : int
    engine : dict
        Fields of `engine.Settings` and, in `speed`, of `batch.Speed`.
    plain : dict
        Fields of `plain.Settings`.
    """

    name: str
    region: str
    n_entry_vms: int = 2
    n_engines: int = 1
    n_plain: int = 1
    engine: dict[str, Any] = attrs.field(factory=dict)
    plain: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Layout:
    """A fleet.

    Parameters
    ----------
    subnet : int
        Second octet of all its addresses.
    domains : tuple of DomainLayout
    organisations : tuple of documents.Organisation
        Token of their callers: `token_of` their name.
    has_links : bool
        Whether traffic between places passes through `links`.
    services : dict
        By service name, the fields of `documents.Service` that differ from their
        defaults.
    """

    subnet: int
    domains: tuple[DomainLayout, ...]
    organisations: tuple[documents.Organisation, ...]
    has_links: bool = False
    services: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    def host(self, third: int, fourth: int) -> str:
        """Return an address of the fleet's own subnet."""
        return f"127.{self.subnet}.{third}.{fourth}"

    @property
    def platform_host(self) -> str:
        """Address of the store and of the list."""
        return self.host(0, PLATFORM_HOST)

    @property
    def links_control(self) -> str:
        """``host:port`` of the links' control port."""
        return f"{self.host(0, LINKS_HOST)}:{CONTROL_PORT}"

    @property
    def platform_control(self) -> str:
        """``host:port`` of the platform's control port."""
        return f"{self.platform_host}:{CONTROL_PORT}"

    def vms(self) -> list[documents.Vm]:
        """Return the documents of all VMs."""
        return [
            vm
            for index, domain in enumerate(self.domains, start=1)
            for vm in (*self._entry_vms(index, domain), *self._servers(index, domain))
        ]

    def entry_vms(self) -> list[documents.Vm]:
        """Return the documents of the entry VMs."""
        return [vm for vm in self.vms() if vm.kind is documents.VmKind.ENTRY]

    def servers(self) -> list[documents.Vm]:
        """Return the documents of the backend servers."""
        return [vm for vm in self.vms() if vm.kind is documents.VmKind.SERVER]

    def all_documents(self) -> list[documents.Document]:
        """Return all documents of the configuration."""
        regions = tuple(sorted({domain.region for domain in self.domains}))
        pairs = [(a, b) for a in regions for b in regions if a <= b]
        return [
            *(documents.Domain(d.name, d.region) for d in self.domains),
            *self.vms(),
            self._service(MODEL, documents.ServiceKind.MODEL, regions),
            self._service(PLAIN, documents.ServiceKind.PLAIN, regions),
            *(
                attrs.evolve(org, token_digests=(digest_of(token_of(org.name)),))
                for org in self.organisations
            ),
            *(documents.Link(a, b, ONE_WAY_MS) for a, b in pairs),
            documents.Weights(),
        ]

    def domain(self, name: str) -> DomainLayout:
        """Return a failure domain by its name."""
        return next(domain for domain in self.domains if domain.name == name)

    def _service(
        self, name: str, kind: documents.ServiceKind, regions: tuple[str, ...]
    ) -> documents.Service:
        service = documents.Service(name, kind, regions)
        return attrs.evolve(service, **self.services.get(name, {}))

    def _entry_vms(self, index: int, domain: DomainLayout) -> list[documents.Vm]:
        hosts = [
            self.host(index, FIRST_ENTRY_HOST + n) for n in range(domain.n_entry_vms)
        ]
        return [
            documents.Vm(
                name=f"{domain.name}-entry-{n}",
                kind=documents.VmKind.ENTRY,
                domain=domain.name,
                address=f"{host}:{CALLERS_PORT}",
                relay_address=f"{host}:{RELAY_PORT}",
                peer_address=f"{host}:{PEERS_PORT}",
                operators_address=f"{host}:{OPERATORS_PORT}",
            )
            for n, host in enumerate(hosts, start=1)
        ]

    def _servers(self, index: int, domain: DomainLayout) -> list[documents.Vm]:
        services_and_names = [
            *(
                (MODEL, f"{domain.name}-engine-{n + 1}")
                for n in range(domain.n_engines)
            ),
            *((PLAIN, f"{domain.name}-plain-{n + 1}") for n in range(domain.n_plain)),
        ]
        return [
            documents.Vm(
                name=name,
                kind=documents.VmKind.SERVER,
                domain=domain.name,
                address=f"{self.host(index, FIRST_SERVER_HOST + n)}:{SERVER_PORT}",
                service=service,
                n_slots=_n_slots(domain, service),
                tokens_per_s=_tokens_per_s(domain, service),
            )
            for n, (service, name) in enumerate(services_and_names)
        ]


def _n_slots(domain: DomainLayout, service: str) -> int:
    if service == MODEL:
        return _speed(domain).n_slots
    return int(domain.plain.get("n_slots", 8))


def _tokens_per_s(domain: DomainLayout, service: str) -> float:
    speed = _speed(domain)
    return speed.n_slots / speed.full_step_s if service == MODEL else 0.0


def _speed(domain: DomainLayout) -> batch.Speed:
    return batch.Speed(**domain.engine.get("speed", {}))


def token_of(name: str) -> str:
    """Return the bearer token of an organisation's callers."""
    return f"token of {name}".replace(" ", "-")


def digest_of(token: str) -> str:
    """Return a token's digest as documents hold it."""
    return hashlib.sha256(token.encode()).hexdigest()
