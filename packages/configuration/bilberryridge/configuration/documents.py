"""Convert documents between YAML, JSON and objects, and validate them.

A document with any problem is rejected as a whole. Fields equal to their default are
not written, so that a daemon whose version lacks a newer field can read the document.

See Also
--------
bilberryridge.core.documents : the document classes.
bilberryridge.configuration.document_rules : rules for each kind of document.
bilberryridge.configuration.crosschecks : checks across a set of documents.
"""

import enum
import io
import json
import pathlib
from collections.abc import Mapping
from typing import Any

import attrs
import returns.result
import ruamel.yaml
from returns.result import Result

from bilberryridge.configuration import document_rules, located, problems, structure
from bilberryridge.core import documents as core_documents

MAX_DOCUMENT_BYTES = 64 * 1024
MAX_DOCUMENTS = 100_000
LINK_SEPARATOR = "~"
SUFFIX = ".yaml"

Document = core_documents.Document

KIND_BY_CLASS = {cls: kind for kind, cls in core_documents.KINDS.items()}


@attrs.frozen
class LocatedDocument:
    """A document with the file and the lines that it was read from.

    Parameters
    ----------
    file : str
        Path, or the key in the store.
    document : Document
    lines : mapping of str to int
        Line of each field that the file contains, by field name.
    """

    file: str
    document: Document
    lines: Mapping[str, int]

    def problem(self, field: str, reason: str, is_warning: bool = False) -> Any:
        """Return a problem at the line of `field`, or at line 1 if it has none."""
        line = self.lines.get(field, 1)
        return problems.Problem(self.file, line, f"{field}: {reason}", is_warning)


def kind_of(document: Document) -> str:
    """Return the kind of a document as used in its key."""
    return KIND_BY_CLASS[type(document)]


def name_of(document: Document) -> str:
    """Return the name of a document as used in its key.

    Examples
    --------
    >>> name_of(core_documents.Link("michigan", "ontario", 18.0))
    'michigan~ontario'
    """
    if isinstance(document, core_documents.Link):
        return f"{document.a}{LINK_SEPARATOR}{document.b}"
    return document.name


def key_of(document: Document) -> str:
    """Return the key ``<kind>/<name>`` of a document.

    Examples
    --------
    >>> key_of(core_documents.Domain("niagara", "ontario"))
    'domain/niagara'
    """
    return f"{kind_of(document)}/{name_of(document)}"


def non_default_fields(document: Document) -> dict[str, Any]:
    """Return the fields that differ from their defaults, as JSON-compatible values."""
    fields = {}
    for field in attrs.fields(type(document)):
        value = getattr(document, field.name)
        if value != field.default:
            fields[field.name] = to_json_value(value)
    return fields


def to_json(document: Document) -> bytes:
    """Encode a document for the store; equal documents give equal bytes.

    Examples
    --------
    >>> to_json(core_documents.Domain("niagara", "ontario"))
    b'{"name":"niagara","region":"ontario"}'
    """
    return json.dumps(non_default_fields(document), separators=(",", ":")).encode()


def to_yaml(document: Document) -> str:
    """Return the YAML text of a document's file."""
    return fields_to_yaml(non_default_fields(document))


def fields_to_yaml(fields: Mapping[str, Any]) -> str:
    """Return the YAML text of the file of a document with these fields."""
    yaml: Any = ruamel.yaml.YAML(typ="safe", pure=True)
    yaml.default_flow_style = False
    yaml.sort_base_mapping_type_on_output = False
    stream = io.StringIO()
    yaml.dump(dict(fields), stream)
    return stream.getvalue()


def from_json(kind: str, data: bytes) -> Result[Document, problems.Problems]:
    """Decode a stored document of a known kind.

    Examples
    --------
    >>> from_json("domain", b'{"name":"niagara","region":"ontario"}').unwrap()
    Domain(name='niagara', region='ontario')
    >>> [str(problem) for problem in from_json("domain", b'{"name":"x"}').failure()]
    ['domain:1: region: missing']
    """
    read = located.from_json(kind, data)
    return read.bind(lambda node: from_node(kind, kind, node)).map(_document_of)


def from_entry(key: str, data: bytes) -> Result[Document, problems.Problems]:
    """Decode a stored document from its key ``<kind>/<name>`` and its value."""
    kind, _, name = key.partition("/")
    read = located.from_json(key, data).bind(lambda node: from_node(key, kind, node))
    return read.bind(lambda doc: _check_name(doc, name)).map(_document_of)


def from_yaml(path: pathlib.Path) -> Result[LocatedDocument, problems.Problems]:
    """Read a document from a file ``.../<kind>/<name>.yaml``."""
    file, kind, name = str(path), path.parent.name, path.name.removesuffix(SUFFIX)
    try:
        with path.open("rb") as stream:
            data = stream.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as exc:
        return _fail(file, f"can't be read: {exc.strerror}")
    if len(data) > MAX_DOCUMENT_BYTES:
        return _fail(file, f"larger than {MAX_DOCUMENT_BYTES} bytes")
    read = located.from_yaml(file, data).bind(lambda node: from_node(file, kind, node))
    return read.bind(lambda doc: _check_name(doc, name))


def read_directory(
    path: pathlib.Path,
) -> Result[tuple[LocatedDocument, ...], problems.Problems]:
    """Read all ``<kind>/<name>.yaml`` below a directory, or return all problems."""
    files = sorted(path.glob(f"*/*{SUFFIX}"))
    if not files:
        return _fail(str(path), f"holds no <kind>/<name>{SUFFIX}")
    if len(files) > MAX_DOCUMENTS:
        return _fail(str(path), f"holds more than {MAX_DOCUMENTS} documents")
    docs: list[LocatedDocument] = []
    found_problems: list[problems.Problem] = []
    for file in files:
        match from_yaml(file):
            case returns.result.Success(doc):
                docs.append(doc)
            case returns.result.Failure(doc_problems):
                found_problems += doc_problems
    if found_problems:
        return returns.result.Failure(tuple(sorted(found_problems)))
    return returns.result.Success(tuple(docs))


def from_node(
    file: str, kind: str, node: located.Node
) -> Result[LocatedDocument, problems.Problems]:
    """Validate the values of one document and construct it."""
    cls = core_documents.KINDS.get(kind)
    if cls is None:
        return _fail(file, f"{kind} is not one of {', '.join(core_documents.KINDS)}")
    structurer = structure.Structurer(file, document_rules.RULES)
    document = structurer.structure(node, cls)
    entries = node.value if isinstance(node.value, dict) else {}
    lines = {name: entry.line for name, entry in entries.items()}
    if not structurer.reported:
        for field, reason in document_rules.check_consistency(document):
            structurer.report(lines.get(field, node.line), field, reason)
    if structurer.reported:
        return returns.result.Failure(tuple(sorted(structurer.reported)))
    return returns.result.Success(LocatedDocument(file, document, lines))


def _check_name(
    doc: LocatedDocument, name: str
) -> Result[LocatedDocument, problems.Problems]:
    document_name = name_of(doc.document)
    if document_name == name:
        return returns.result.Success(doc)
    reason = f"{document_name} stands under the name {name}"
    return returns.result.Failure((doc.problem("name", reason),))


def _document_of(doc: LocatedDocument) -> Document:
    return doc.document


def _fail(file: str, reason: str) -> Result[Any, problems.Problems]:
    return returns.result.Failure((problems.Problem(file, 0, reason),))


def to_json_value(value: Any) -> Any:
    """Return a field's value as JSON and YAML represent it."""
    if isinstance(value, enum.Enum):
        return value.value
    return list(value) if isinstance(value, tuple) else value
