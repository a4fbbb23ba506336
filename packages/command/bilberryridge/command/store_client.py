"""The store as used by the command: operations, key layout, stored documents.

See Also
--------
bilberryridge.store.store : all operations of the store.
"""

import json
from typing import Any, Protocol

import attrs
import returns.result
from returns.result import Result

from bilberryridge.configuration import documents
from bilberryridge.store import store

DOCUMENTS = "documents/"
CHANGES = "changes/"
UNREADABLE = "(unreadable)"

Lost = store.StoreUnreachable | store.AnswerLost
Fields = dict[str, Any]
"""A document's fields that differ from their defaults."""


class StoreClient(Protocol):
    """The operations that the command uses; keys are below the deployment's prefix."""

    def read_prefix(self, prefix: str) -> Result[store.Listing, store.StoreUnreachable]:
        """Read all keys that begin with `prefix`, at one revision."""

    def commit(
        self, transaction: store.Transaction
    ) -> Result[store.Committed, Lost | store.Conflict]:
        """Make all changes if all conditions hold, else none."""


@attrs.frozen
class StoredDocument:
    """A document in the store.

    Parameters
    ----------
    revision : int
        Of its last change.
    fields : dict
        Its fields; if it can't be decoded, only `UNREADABLE` with its text.
    """

    revision: int
    fields: Fields


@attrs.frozen
class StoredDocuments:
    """The documents in the store.

    Parameters
    ----------
    revision : int
        Of the last change of any key.
    by_key : dict of str to StoredDocument
        By ``<kind>/<name>``.
    """

    revision: int
    by_key: dict[str, StoredDocument]


def prefix_of(deployment: str) -> str:
    """Return the prefix of all keys of a deployment.

    Examples
    --------
    >>> prefix_of("lakeshore")
    '/bilberryridge/lakeshore/'
    """
    return f"/bilberryridge/{deployment}/"


def read_documents(
    client: StoreClient, key: str = ""
) -> Result[StoredDocuments, store.StoreUnreachable]:
    """Read all documents, or only those whose key begins with `key`."""
    return client.read_prefix(DOCUMENTS + key).map(_to_documents)


def read_fields(key: str, value: bytes) -> Fields:
    """Decode the fields of a stored document; `UNREADABLE` with its text on failure."""
    match documents.from_entry(key, value):
        case returns.result.Success(document):
            return documents.non_default_fields(document)
        case _:
            return {UNREADABLE: value.decode(errors="replace")}


def encode(fields: Fields) -> bytes:
    """Encode fields as the value of a key in the store."""
    return json.dumps(fields, separators=(",", ":")).encode()


def _to_documents(listing: store.Listing) -> StoredDocuments:
    by_key = {}
    for item in listing.items:
        key = item.key.removeprefix(DOCUMENTS)
        by_key[key] = StoredDocument(item.mod_revision, read_fields(key, item.value))
    return StoredDocuments(listing.header.revision, by_key)
