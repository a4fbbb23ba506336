"""Generate the documents of a deployment from answers to the questionnaire.

See Also
--------
bilberryridge.command.interview : asks the questions at the terminal.
"""

import pathlib
from collections.abc import Iterator, Mapping, Sequence
from typing import Any

import attrs
import returns.result
from returns.result import Result

from bilberryridge.configuration import (
    crosschecks,
    documents,
    located,
    problems,
    rules,
    structure,
)
from bilberryridge.core import documents as core_documents


@attrs.frozen
class Ports:
    """The ports that all VMs use; `servers` is that of backend servers."""

    callers: int = 8080
    relay: int = 8081
    peers: int = 8082
    operators: int = 8083
    servers: int = 9000


@attrs.frozen
class DomainAnswer:
    """A failure domain and the IP addresses of its entry VMs."""

    name: str
    region: str
    entry_ips: tuple[str, ...]


@attrs.frozen
class ServersAnswer:
    """The IP addresses of a service's backend servers in one failure domain."""

    domain: str
    ips: tuple[str, ...]


@attrs.frozen
class ServiceAnswer:
    """A service, the regions that may hold its data, and its retryable requests.

    Parameters
    ----------
    regions : tuple of str
        Regions where its data may be served or processed.
    retryable_methods : tuple of str
        HTTP methods whose requests may be retried; others run at most once.
    n_slots : int
        Requests that one backend server processes concurrently.
    tokens_per_s : float
        Throughput of one backend server with all slots busy; 0 for a plain service.

    Other parameters are those of `bilberryridge.core.documents.Service`.
    """

    name: str
    kind: core_documents.ServiceKind
    regions: tuple[str, ...]
    servers: tuple[ServersAnswer, ...]
    retryable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    key_required: bool = True
    server_checks_keys: bool = False
    has_content: bool = True
    deadline_s: float = 30.0
    first_byte_deadline_s: float = 10.0
    n_slots: int = 16
    tokens_per_s: float = 0.0
    checks_fencing: bool = False


@attrs.frozen
class Answers:
    """All answers to the questionnaire.

    Parameters
    ----------
    deployment : str
    domains : tuple of DomainAnswer
    services : tuple of ServiceAnswer
    organisations : tuple of Organisation
    links : tuple of Link
    weights : Weights
    ports : Ports
    """

    deployment: str
    domains: tuple[DomainAnswer, ...]
    services: tuple[ServiceAnswer, ...]
    organisations: tuple[core_documents.Organisation, ...]
    links: tuple[core_documents.Link, ...] = ()
    weights: core_documents.Weights = attrs.field(factory=core_documents.Weights)
    ports: Ports = attrs.field(factory=Ports)


PORT = rules.within(1, rules.MAX_PORT)
RULES: structure.Rules = {
    Answers: {"deployment": rules.check_name},
    Ports: {field.name: PORT for field in attrs.fields(Ports)},
}

SERVICE_FIELDS = (
    "name",
    "kind",
    "regions",
    "key_required",
    "server_checks_keys",
    "has_content",
    "deadline_s",
    "first_byte_deadline_s",
)
SERVER_FIELDS = ("n_slots", "tokens_per_s", "checks_fencing")


@attrs.frozen
class Draft:
    """The unchecked values of a document to be generated.

    Parameters
    ----------
    kind : str
    values : mapping of str to object
    where : str
        Field path of the answer it is generated from, as ``domains[0]``.
    """

    kind: str
    values: Mapping[str, Any]
    where: str


@attrs.frozen
class Generated:
    """The documents generated from a file of answers.

    Parameters
    ----------
    deployment : str
    docs : tuple of LocatedDocument
        Each with the lines of the answers that its values come from.
    warnings : tuple of Problem
    """

    deployment: str
    docs: tuple[documents.LocatedDocument, ...]
    warnings: problems.Problems


def generate(file: str, data: bytes) -> Result[Generated, problems.Problems]:
    """Generate the documents from a file of answers, or return all its problems."""
    return located.from_yaml(file, data).bind(lambda node: _from_node(file, node))


def write(
    docs: Sequence[documents.LocatedDocument], out: pathlib.Path
) -> tuple[pathlib.Path, ...]:
    """Write each document to ``<out>/<kind>/<name>.yaml``.

    Returns
    -------
    tuple of Path
        Files of earlier documents that no answer generates any more; they are kept.
    """
    written = set()
    for doc in docs:
        key = documents.key_of(doc.document)
        path = out / f"{key}{documents.SUFFIX}"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(documents.to_yaml(doc.document))
        written.add(path)
    return tuple(sorted(set(out.glob(f"*/*{documents.SUFFIX}")) - written))


def _from_node(file: str, node: located.Node) -> Result[Generated, problems.Problems]:
    structurer = structure.Structurer(file, RULES)
    answers = structurer.structure(node, Answers)
    if structurer.reported:
        return returns.result.Failure(tuple(sorted(structurer.reported)))
    docs: list[documents.LocatedDocument] = []
    found_problems: list[problems.Problem] = []
    for draft in _drafts(answers):
        draft_node = _locate(draft, structurer.lines)
        match documents.from_node(file, draft.kind, draft_node):
            case returns.result.Success(doc):
                docs.append(doc)
            case returns.result.Failure(doc_problems):
                found_problems += doc_problems
    found_problems += _check_keys(docs) + list(crosschecks.check(docs))
    if all(problem.is_warning for problem in found_problems):
        generated = Generated(answers.deployment, tuple(docs), tuple(found_problems))
        return returns.result.Success(generated)
    return returns.result.Failure(tuple(sorted(set(found_problems))))


def _locate(draft: Draft, lines: Mapping[str, int]) -> located.Node:
    values = {
        name: _to_node(value, _line_of(draft.where, name, lines))
        for name, value in draft.values.items()
    }
    return located.Node(values, lines.get(draft.where, 1))


def _line_of(where: str, name: str, lines: Mapping[str, int]) -> int:
    """Return the line of a field of an answer, or of the nearest enclosing answer."""
    enclosing = where
    while enclosing:
        line = lines.get(f"{enclosing}.{name}")
        if line is not None:
            return line
        enclosing = enclosing.rpartition(".")[0]
    return lines.get(where, 1)


def _to_node(value: Any, line: int) -> located.Node:
    json_value = documents.to_json_value(value)
    if isinstance(json_value, list):
        return located.Node(
            tuple(located.Node(item, line) for item in json_value), line
        )
    return located.Node(json_value, line)


def _check_keys(docs: Sequence[documents.LocatedDocument]) -> list[problems.Problem]:
    found_problems, seen = [], set()
    for doc in docs:
        key = documents.key_of(doc.document)
        if key in seen:
            found_problems.append(
                doc.problem("name", f"{key} follows from two answers")
            )
        seen.add(key)
    return found_problems


def _drafts(answers: Answers) -> Iterator[Draft]:
    for i, domain in enumerate(answers.domains):
        yield from _domain_drafts(domain, f"domains[{i}]", answers.ports)
    for i, service in enumerate(answers.services):
        yield from _service_drafts(service, f"services[{i}]", answers.ports)
    for i, organisation in enumerate(answers.organisations):
        values = _values_of(organisation)
        yield Draft("organisation", values, f"organisations[{i}]")
    for i, link in enumerate(answers.links):
        a, b = sorted((link.a, link.b))
        values = _values_of(link) | {"a": a, "b": b}
        yield Draft("link", values, f"links[{i}]")
    yield Draft("weights", _values_of(answers.weights), "weights")


def _domain_drafts(domain: DomainAnswer, where: str, ports: Ports) -> Iterator[Draft]:
    yield Draft("domain", {"name": domain.name, "region": domain.region}, where)
    for i, ip in enumerate(domain.entry_ips):
        values = {
            "name": f"{domain.name}-entry-{i + 1}",
            "kind": core_documents.VmKind.ENTRY,
            "domain": domain.name,
            "address": f"{ip}:{ports.callers}",
            "relay_address": f"{ip}:{ports.relay}",
            "peer_address": f"{ip}:{ports.peers}",
            "operators_address": f"{ip}:{ports.operators}",
        }
        yield Draft("vm", values, f"{where}.entry_ips[{i}]")


def _service_drafts(
    service: ServiceAnswer, where: str, ports: Ports
) -> Iterator[Draft]:
    values = {name: getattr(service, name) for name in SERVICE_FIELDS}
    values["idempotent_methods"] = service.retryable_methods
    yield Draft("service", values, where)
    shared = {name: getattr(service, name) for name in SERVER_FIELDS}
    for i, servers in enumerate(service.servers):
        for j, ip in enumerate(servers.ips):
            values = {
                "name": f"{service.name}-{servers.domain}-{j + 1}",
                "kind": core_documents.VmKind.SERVER,
                "domain": servers.domain,
                "address": f"{ip}:{ports.servers}",
                "service": service.name,
            }
            yield Draft("vm", values | shared, f"{where}.servers[{i}].ips[{j}]")


def _values_of(document: documents.Document) -> dict[str, Any]:
    return attrs.asdict(document, recurse=False)
