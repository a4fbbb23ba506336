"""Encode documents as JSON, the format of the store.

Examples
--------
>>> from bilberryridge.core import documents
>>> value = to_json(documents.Domain("niagara", "ontario"))
>>> value
b'{"name": "niagara", "region": "ontario"}'
>>> from_json("domain", value)
Domain(name='niagara', region='ontario')
"""

import json

import cattrs
import cattrs.errors

from bilberryridge.core import documents


class DocumentError(Exception):
    """A stored value is not a valid document of its kind."""


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def to_json(document: documents.Document) -> bytes:
    """Encode a document; equal documents are encoded to equal bytes."""
    return json.dumps(_CONVERTER.unstructure(document), sort_keys=True).encode()


def from_json(kind: str, value: bytes) -> documents.Document:
    """Decode a document.

    Raises
    ------
    DocumentError
        The kind is unknown, or the value is not a valid document of that kind.
    """
    if kind not in documents.KINDS:
        raise DocumentError(f"unknown kind {kind!r}")
    try:
        return _CONVERTER.structure(json.loads(value), documents.KINDS[kind])
    except (
        ValueError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
        cattrs.errors.BaseValidationError,
    ) as exc:
        raise DocumentError(f"invalid {kind} document: {exc}") from exc
