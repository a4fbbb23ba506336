"""Check documents and turn them from YAML and JSON into objects and back.

A document that has any problem is refused whole. Fields that have their default value
are not written, so that a daemon without a newer field still reads the document.

See Also
--------
bilberryridge.core.documents : the documents.
bilberryridge.configuration.crosschecks : checks of a whole set.
"""

import enum
import io
import json
import pathlib
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import returns.result
import ruamel.yaml
from returns.result import Result

from bilberryridge.configuration import located, problems, rules, structure
from bilberryridge.core import documents as core_documents

MAX_DOCUMENT_BYTES = 64 * 1024
MAX_DOCUMENTS = 100_000
LINK_MARK = "~"
SUFFIX = ".yaml"
WEIGHTS_NAME = "deployment"

Document = core_documents.Document

KIND_BY_CLASS = {cls: kind for kind, cls in core_documents.KINDS.items()}

OPTIONAL_ADDRESS = rules.either(rules.is_empty, rules.check_address)
WEIGHT = rules.within(0, 1e6)

RULES: structure.Rules = {
    core_documents.Domain: {"name": rules.check_name, "region": rules.check_name},
    core_documents.Vm: {
        "name": rules.check_name,
        "domain": rules.check_name,
        "address": rules.check_address,
        "relay_address": OPTIONAL_ADDRESS,
        "peer_address": OPTIONAL_ADDRESS,
        "operators_address": OPTIONAL_ADDRESS,
        "service": rules.either(rules.is_empty, rules.check_name),
        "n_slots": rules.within(1, 100_000),
        "tokens_per_s": rules.within(0, 1e7),
    },
    core_documents.Service: {
        "name": rules.check_name,
        "regions": rules.each(rules.check_name),
        "idempotent_methods": rules.check_methods,
        "deadline_s": rules.within(0.1, 3600),
        "first_byte_deadline_s": rules.within(0.05, 3600),
    },
    core_documents.Organisation: {
        "name": rules.check_name,
        "home_region": rules.check_name,
        "regions": rules.each(rules.check_name),
        "token_digests": rules.each(rules.check_digest),
        "weight": rules.within(0.001, 1000),
    },
    core_documents.Link: {
        "a": rules.check_name,
        "b": rules.check_name,
        "one_way_ms": rules.within(0, 10_000),
        "megabits_per_s": rules.within(0.001, 1e7),
    },
    core_documents.Weights: {
        "tail_latency": WEIGHT,
        "cost": WEIGHT,
        "sent_away": WEIGHT,
    },
}

Found = list[tuple[str, str]]
"""Pairs of field name and what is wrong with it."""


@attrs.frozen
class Placed:
    """A document and where it is written.

    Parameters
    ----------
    file : str
    document : Document
    lines : mapping of str to int
        The line of each field that is written.
    """

    file: str
    document: Document
    lines: Mapping[str, int]

    def problem(self, field: str, reason: str, is_warning: bool = False) -> Any:
        """A problem with one field, at its line."""
        line = self.lines.get(field, 1)
        return problems.Problem(self.file, line, f"{field}: {reason}", is_warning)


def kind_of(document: Document) -> str:
    """The kind of a document, as it stands in its key."""
    return KIND_BY_CLASS[type(document)]


def name_of(document: Document) -> str:
    """The name of a document, as it stands in its key.

    Examples
    --------
    >>> name_of(core_documents.Link("michigan", "ontario", 18.0))
    'michigan~ontario'
    """
    if isinstance(document, core_documents.Link):
        return f"{document.a}{LINK_MARK}{document.b}"
    return document.name


def key_of(document: Document) -> str:
    """The key ``<kind>/<name>`` of a document.

    Examples
    --------
    >>> key_of(core_documents.Domain("niagara", "ontario"))
    'domain/niagara'
    """
    return f"{kind_of(document)}/{name_of(document)}"


def to_plain(document: Document) -> dict[str, Any]:
    """The fields that differ from their defaults, as plain values."""
    plain = {}
    for field in attrs.fields(type(document)):
        value = getattr(document, field.name)
        if value != field.default:
            plain[field.name] = _plain_value(value)
    return plain


def to_json(document: Document) -> bytes:
    """The bytes that the store holds, the same for equal documents.

    Examples
    --------
    >>> to_json(core_documents.Domain("niagara", "ontario"))
    b'{"name":"niagara","region":"ontario"}'
    """
    return json.dumps(to_plain(document), separators=(",", ":")).encode()


def to_yaml(document: Document) -> str:
    """The text of a document's file."""
    yaml: Any = ruamel.yaml.YAML(typ="safe", pure=True)
    yaml.default_flow_style = False
    yaml.sort_base_mapping_type_on_output = False
    stream = io.StringIO()
    yaml.dump(to_plain(document), stream)
    return stream.getvalue()


def from_json(kind: str, data: bytes) -> Result[Document, problems.Problems]:
    """Read a document as the store holds it.

    Examples
    --------
    >>> from_json("domain", b'{"name":"niagara","region":"ontario"}').unwrap()
    Domain(name='niagara', region='ontario')
    >>> [str(problem) for problem in from_json("domain", b'{"name":"x"}').failure()]
    ['domain:1: region: missing']
    """
    read = located.from_json(kind, data)
    return read.bind(lambda node: _from_node(kind, kind, node)).map(_document_of)


def from_entry(key: str, data: bytes) -> Result[Document, problems.Problems]:
    """Read a document from its key ``<kind>/<name>`` and value in the store."""
    kind, _, name = key.partition("/")
    read = located.from_json(key, data).bind(lambda node: _from_node(key, kind, node))
    return read.bind(lambda placed: _check_name(placed, name)).map(_document_of)


def from_yaml(path: pathlib.Path) -> Result[Placed, problems.Problems]:
    """Read a document from its file ``.../<kind>/<name>.yaml``."""
    file, kind, name = str(path), path.parent.name, path.name.removesuffix(SUFFIX)
    try:
        with path.open("rb") as stream:
            data = stream.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as exc:
        return _fail(file, f"can't be read: {exc.strerror}")
    if len(data) > MAX_DOCUMENT_BYTES:
        return _fail(file, f"larger than {MAX_DOCUMENT_BYTES} bytes")
    read = located.from_yaml(file, data).bind(lambda node: _from_node(file, kind, node))
    return read.bind(lambda placed: _check_name(placed, name))


def read_directory(path: pathlib.Path) -> Result[tuple[Placed, ...], problems.Problems]:
    """Read every ``<kind>/<name>.yaml`` below a directory, or every problem."""
    files = sorted(path.glob(f"*/*{SUFFIX}"))
    if not files:
        return _fail(str(path), f"holds no <kind>/<name>{SUFFIX}")
    if len(files) > MAX_DOCUMENTS:
        return _fail(str(path), f"holds more than {MAX_DOCUMENTS} documents")
    placed: list[Placed] = []
    found: list[problems.Problem] = []
    for file in files:
        match from_yaml(file):
            case returns.result.Success(one):
                placed.append(one)
            case returns.result.Failure(several):
                found += several
    if found:
        return returns.result.Failure(tuple(sorted(found)))
    return returns.result.Success(tuple(placed))


def _from_node(
    file: str, kind: str, node: located.Node
) -> Result[Placed, problems.Problems]:
    cls = core_documents.KINDS.get(kind)
    if cls is None:
        return _fail(file, f"{kind} is not one of {', '.join(core_documents.KINDS)}")
    structurer = structure.Structurer(file, RULES)
    document = structurer.structure(node, cls)
    entries = node.value if isinstance(node.value, dict) else {}
    lines = {name: entry.line for name, entry in entries.items()}
    if not structurer.found:
        for field, reason in CHECKS.get(cls, _no_check)(document):
            structurer.report(lines.get(field, node.line), field, reason)
    if structurer.found:
        return returns.result.Failure(tuple(sorted(structurer.found)))
    return returns.result.Success(Placed(file, document, lines))


def _check_name(placed: Placed, name: str) -> Result[Placed, problems.Problems]:
    found = name_of(placed.document)
    if found == name:
        return returns.result.Success(placed)
    reason = f"{found} stands under the name {name}"
    return returns.result.Failure((placed.problem("name", reason),))


def _document_of(placed: Placed) -> Document:
    return placed.document


def _fail(file: str, reason: str) -> Result[Any, problems.Problems]:
    return returns.result.Failure((problems.Problem(file, 0, reason),))


def _plain_value(value: Any) -> Any:
    if isinstance(value, enum.Enum):
        return value.value
    return list(value) if isinstance(value, tuple) else value


def _no_check(_document: Any) -> Found:
    return []


def _check_vm(vm: core_documents.Vm) -> Found:
    is_entry = vm.kind is core_documents.VmKind.ENTRY
    found = []
    for field in ("relay_address", "peer_address", "operators_address"):
        if is_entry and not getattr(vm, field):
            found.append((field, "an entry VM needs it"))
        if not is_entry and getattr(vm, field):
            found.append((field, "only an entry VM has it"))
    if is_entry and vm.service:
        found.append(("service", "an entry VM runs no service"))
    if not is_entry and not vm.service:
        found.append(("service", "a backend server needs it"))
    return found


def _check_service(service: core_documents.Service) -> Found:
    found = []
    if not service.regions:
        found.append(("regions", "empty, so no region may serve it"))
    if service.first_byte_deadline_s > service.deadline_s:
        found.append(("first_byte_deadline_s", "longer than deadline_s"))
    return found


def _check_organisation(organisation: core_documents.Organisation) -> Found:
    home = organisation.home_region
    if organisation.regions and home not in organisation.regions:
        return [("home_region", f"{home} is not one of its regions")]
    return []


def _check_link(link: core_documents.Link) -> Found:
    return [("b", "comes before a; put them in order")] if link.b < link.a else []


def _check_weights(weights: core_documents.Weights) -> Found:
    return [] if weights.name == WEIGHTS_NAME else [("name", f"must be {WEIGHTS_NAME}")]


CHECKS: dict[type, Callable[[Any], Found]] = {
    core_documents.Vm: _check_vm,
    core_documents.Service: _check_service,
    core_documents.Organisation: _check_organisation,
    core_documents.Link: _check_link,
    core_documents.Weights: _check_weights,
}
