"""Interface of the platform's key-value store.

See Also
--------
bilberryridge.store.etcd : Implementation for etcd.
"""

import contextlib
from collections.abc import Iterator
from typing import Protocol

import attrs
from returns import result


@attrs.frozen
class StoreUnreachable:
    """The call failed and has changed nothing.

    Parameters
    ----------
    detail : str
    """

    detail: str


@attrs.frozen
class AnswerLost:
    """The answer was lost; the change may have taken effect or still may do so.

    Parameters
    ----------
    detail : str
    """

    detail: str


@attrs.frozen
class KeyValue:
    """A key with its value and revisions.

    Parameters
    ----------
    key : str
    value : bytes
    mod_revision : int
        Revision of its last change.
    create_revision : int
        Revision of its creation.
    lease_id : int
        Lease that the key is attached to; 0 for none.
    """

    key: str
    value: bytes
    mod_revision: int
    create_revision: int = 0
    lease_id: int = 0


@attrs.frozen
class Header:
    """State of the store, sent with every answer.

    Parameters
    ----------
    cluster_id : int
    revision : int
        Revision of the latest change of any key.
    """

    cluster_id: int
    revision: int


@attrs.frozen
class Listing:
    """Snapshot of keys at one revision.

    Parameters
    ----------
    header : Header
    items : tuple of KeyValue
    n_keys : int
        In the whole range, even if only some keys were requested.
    """

    header: Header
    items: tuple[KeyValue, ...]
    n_keys: int


@attrs.frozen
class Compare:
    """Condition of a transaction on the revision of a key's last change.

    Parameters
    ----------
    key : str
    mod_revision : int
        0 if the key must not exist.
    """

    key: str
    mod_revision: int


@attrs.frozen
class Put:
    """Set a key in a transaction."""

    key: str
    value: bytes
    lease_id: int = 0


@attrs.frozen
class Delete:
    """Delete a key in a transaction."""

    key: str


@attrs.frozen
class Transaction:
    """Changes that are made atomically if every condition holds.

    Parameters
    ----------
    compares : tuple of Compare
    changes : tuple of Put or Delete
    """

    compares: tuple[Compare, ...]
    changes: tuple[Put | Delete, ...]


@attrs.frozen
class Committed:
    """The transaction was committed at a revision."""

    revision: int


@attrs.frozen
class Conflict:
    """A condition did not hold and nothing was changed.

    Parameters
    ----------
    current : tuple of KeyValue
        Current state of the compared keys that exist.
    revision : int
    """

    current: tuple[KeyValue, ...]
    revision: int


@attrs.frozen
class Claimed:
    """Result of claiming a key.

    Parameters
    ----------
    is_held : bool
        Whether the key has the claimed value.
    value : bytes
        Value of the key.
    revision : int
    """

    is_held: bool
    value: bytes
    revision: int


@attrs.frozen
class KeyChange:
    """A change of one key.

    Parameters
    ----------
    item : KeyValue
    is_deleted : bool
    """

    item: KeyValue
    is_deleted: bool


@attrs.frozen
class WatchAnswer:
    """Changes in the order of their revisions.

    Parameters
    ----------
    header : Header
    changes : tuple of KeyChange
    is_cancelled : bool
        Whether the store ended the watch.
    compact_revision : int
        If not 0, the history before it was compacted and all keys must be read again.
    """

    header: Header
    changes: tuple[KeyChange, ...]
    is_cancelled: bool = False
    compact_revision: int = 0


@attrs.frozen
class Lease:
    """A lease.

    Parameters
    ----------
    lease_id : int
    ttl_s : float
        Time to live; 0 or less if the lease has expired.
    """

    lease_id: int
    ttl_s: float


class Store(Protocol):
    """Operations of the store; each fails after its time-out.

    Keys are relative to the prefix with which the store was opened.
    """

    def read_prefix(self, prefix: str) -> result.Result[Listing, StoreUnreachable]:
        """Read all keys that begin with `prefix`, as of one revision."""

    def commit(
        self, transaction: Transaction
    ) -> result.Result[Committed, StoreUnreachable | AnswerLost | Conflict]:
        """Make all changes if every condition holds, otherwise none."""

    def claim(
        self, key: str, value: bytes, lease_id: int = 0
    ) -> result.Result[Claimed, StoreUnreachable | AnswerLost]:
        """Create the key if it does not exist, otherwise read it.

        After a lost answer the claim is repeated once, which reads the result of the
        first attempt; `AnswerLost` is returned only if that is not answered either.
        """

    def watch(
        self, prefix: str, after_revision: int
    ) -> contextlib.AbstractContextManager[Iterator[WatchAnswer]]:
        """Watch the changes after a revision; the iterator ends with the watch."""

    def grant_lease(
        self, ttl_s: int
    ) -> result.Result[Lease, StoreUnreachable | AnswerLost]:
        """Create a lease."""

    def keep_lease(
        self, lease_id: int
    ) -> result.Result[Lease, StoreUnreachable | AnswerLost]:
        """Renew a lease; `ttl_s` of the result is 0 or less if it has expired."""

    def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, StoreUnreachable | AnswerLost]:
        """Revoke a lease; its keys are deleted."""
