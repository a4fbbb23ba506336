"""Checks that need the whole set of documents.

See Also
--------
bilberryridge.configuration.documents : checks of one document.
"""

import collections
import itertools
from collections.abc import Iterable, Iterator, Sequence
from typing import TypeVar

import attrs

from bilberryridge.configuration import documents, problems
from bilberryridge.core import documents as core_documents

D = TypeVar("D")

ADDRESS_FIELDS = ("address", "relay_address", "peer_address", "operators_address")
SERVER = core_documents.VmKind.SERVER


@attrs.frozen
class Index:
    """The regions, services and servers that a set of documents defines.

    Parameters
    ----------
    regions : mapping of str to str
        Region by failure domain.
    services : mapping of str to Service
        By name.
    server_regions : mapping of str to set of str
        Regions with a backend server, by service.
    """

    regions: dict[str, str]
    services: dict[str, core_documents.Service]
    server_regions: dict[str, set[str]]

    def is_region(self, name: str) -> bool:
        """Whether any failure domain is in a region of this name."""
        return name in self.regions.values()

    def available_services(self, regions: Iterable[str]) -> list[str]:
        """Services with a server in one of `regions` that the service also allows."""
        return [
            name
            for name, service in self.services.items()
            if self.server_regions[name] & set(service.regions) & set(regions)
        ]


def check(docs: Sequence[documents.LocatedDocument]) -> problems.Problems:
    """Return all problems and warnings of a set of documents, by file and line."""
    index = _make_index(docs)
    found_problems = itertools.chain(
        _check_domains(docs),
        _check_vms(docs, index),
        _check_services(docs, index),
        _check_organisations(docs, index),
        _check_links(docs, index),
        _check_unique(docs),
    )
    return tuple(sorted(found_problems))


def _documents_of(
    docs: Iterable[documents.LocatedDocument], cls: type[D]
) -> Iterator[tuple[documents.LocatedDocument, D]]:
    for item in docs:
        if isinstance(item.document, cls):
            yield item, item.document


def _make_index(docs: Sequence[documents.LocatedDocument]) -> Index:
    domains = [domain for _, domain in _documents_of(docs, core_documents.Domain)]
    services = [service for _, service in _documents_of(docs, core_documents.Service)]
    regions = {domain.name: domain.region for domain in domains}
    server_regions = collections.defaultdict(set)
    for _, vm in _documents_of(docs, core_documents.Vm):
        if vm.kind is SERVER and vm.domain in regions:
            server_regions[vm.service].add(regions[vm.domain])
    by_name = {service.name: service for service in services}
    return Index(regions, by_name, server_regions)


def _check_domains(
    docs: Sequence[documents.LocatedDocument],
) -> Iterator[problems.Problem]:
    domains_with_entry = {
        vm.domain
        for _, vm in _documents_of(docs, core_documents.Vm)
        if vm.kind is core_documents.VmKind.ENTRY
    }
    for doc, domain in _documents_of(docs, core_documents.Domain):
        if domain.name not in domains_with_entry:
            yield doc.problem("name", f"{domain.name} has no entry VM")


def _check_vms(
    docs: Sequence[documents.LocatedDocument], index: Index
) -> Iterator[problems.Problem]:
    for doc, vm in _documents_of(docs, core_documents.Vm):
        if vm.domain not in index.regions:
            yield doc.problem("domain", f"{vm.domain} is not a domain")
        if vm.kind is not SERVER:
            continue
        service = index.services.get(vm.service)
        region = index.regions.get(vm.domain)
        if service is None:
            yield doc.problem("service", f"{vm.service} is not a service")
        elif region is not None and region not in service.regions:
            reason = f"{vm.domain} is in {region}, where {service.name} is not allowed"
            yield doc.problem("domain", reason)


def _check_services(
    docs: Sequence[documents.LocatedDocument], index: Index
) -> Iterator[problems.Problem]:
    for doc, service in _documents_of(docs, core_documents.Service):
        yield from _check_regions(doc, service.regions, index)
        if not index.server_regions[service.name] & set(service.regions):
            reason = f"no backend server of {service.name} is in any of them"
            yield doc.problem("regions", reason)


def _check_organisations(
    docs: Sequence[documents.LocatedDocument], index: Index
) -> Iterator[problems.Problem]:
    for doc, organisation in _documents_of(docs, core_documents.Organisation):
        home = organisation.home_region
        if not index.is_region(home):
            yield doc.problem("home_region", f"{home} is not a region")
        yield from _check_regions(doc, organisation.regions, index)
        allowed = organisation.regions or tuple(index.regions.values())
        available = index.available_services(allowed)
        if index.services and not available:
            yield doc.problem("regions", "no backend server is left to serve it")
        for name in index.services.keys() - set(available) if available else ():
            reason = f"no backend server of {name} is left to serve it"
            yield doc.problem("regions", reason, is_warning=True)


def _check_regions(
    doc: documents.LocatedDocument, regions: Iterable[str], index: Index
) -> Iterator[problems.Problem]:
    for region in regions:
        if not index.is_region(region):
            yield doc.problem("regions", f"{region} is not a region")


def _check_links(
    docs: Sequence[documents.LocatedDocument], index: Index
) -> Iterator[problems.Problem]:
    linked = set()
    for doc, link in _documents_of(docs, core_documents.Link):
        linked.add((link.a, link.b))
        for field, region in (("a", link.a), ("b", link.b)):
            if not index.is_region(region):
                yield doc.problem(field, f"{region} is not a region")
    pairs = itertools.combinations(sorted(set(index.regions.values())), 2)
    missing = [pair for pair in pairs if pair not in linked]
    for doc, domain in _documents_of(docs, core_documents.Domain):
        for a, b in missing:
            if domain.region == a:
                reason = f"no link is given between {a} and {b}"
                yield doc.problem("region", reason, is_warning=True)


def _check_unique(
    docs: Sequence[documents.LocatedDocument],
) -> Iterator[problems.Problem]:
    owners: dict[str, str] = {}
    for doc, field, value in _unique_values(docs):
        if value in owners:
            yield doc.problem(field, f"{value} is already that of {owners[value]}")
        owners[value] = documents.key_of(doc.document)


def _unique_values(
    docs: Sequence[documents.LocatedDocument],
) -> Iterator[tuple[documents.LocatedDocument, str, str]]:
    for doc, vm in _documents_of(docs, core_documents.Vm):
        for field in ADDRESS_FIELDS:
            if getattr(vm, field):
                yield doc, field, getattr(vm, field)
    for doc, organisation in _documents_of(docs, core_documents.Organisation):
        for digest in organisation.token_digests:
            yield doc, "token_digests", digest
