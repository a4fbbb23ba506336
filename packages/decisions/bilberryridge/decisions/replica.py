"""Replica of the configuration documents at this node.

For each key the highest revision wins permanently. A replica is complete up to one
revision: for each key it holds the newest version that is not newer than that revision.
Changes that would leave a gap are rejected, so completeness is never claimed wrongly.

See Also
--------
bilberryridge.decisions.configuration_handlers : receives and distributes changes.
"""

from collections.abc import Sequence

from bilberryridge.core import documents, encoding, messages

MAX_CHUNK_BYTES = 256 * 1024
"""Bound on the versions in one message; a reader requests the rest afterwards."""

N_CHUNK_OVERHEAD_BYTES = 32
"""Added for each version to the size of its key and value."""


class GapError(Exception):
    """The changes begin after the revision up to which the replica is complete."""


class RevertError(Exception):
    """The changes are older than the documents in force or lack some of them."""


class Replica:
    """Versions by key, complete up to `complete_revision`.

    Examples
    --------
    >>> replica = Replica()
    >>> version = documents.Version("domain/niagara", 7, b'{"name": "niagara"}')
    >>> replica.merge(0, 8, [version])
    ['domain/niagara']
    >>> replica.complete_revision
    8
    """

    def __init__(self) -> None:
        self.complete_revision = 0
        self._versions: dict[str, documents.Version] = {}

    def __len__(self) -> int:
        return len(self._versions)

    def get(self, key: str) -> documents.Version | None:
        """Return the newest version of a key, a tombstone included."""
        return self._versions.get(key)

    def revision_of(self, key: str) -> int:
        """Return the revision of the newest version of a key; 0 for none."""
        version = self._versions.get(key)
        return version.revision if version else 0

    def merge(
        self,
        after_revision: int,
        complete_revision: int,
        versions: Sequence[documents.Version],
    ) -> list[str]:
        """Merge changes; return the keys that changed.

        Parameters
        ----------
        after_revision, complete_revision : int
            The versions are the newest of each key changed in between.
        versions : sequence of Version

        Raises
        ------
        GapError
            Changes before `after_revision` are missing here.
        """
        if after_revision > self.complete_revision:
            raise GapError(
                f"replica is complete to revision {self.complete_revision}, "
                f"changes begin after {after_revision}"
            )
        changed = []
        for version in versions:
            if version.revision > self.revision_of(version.key):
                self._versions[version.key] = version
                changed.append(version.key)
        self.complete_revision = max(self.complete_revision, complete_revision)
        return changed

    def merge_snapshot(
        self, complete_revision: int, versions: Sequence[documents.Version]
    ) -> list[str]:
        """Merge the store's complete state; documents it lacks become tombstones.

        Raises
        ------
        RevertError
            The state is older than the documents in force here.
        """
        if complete_revision < self.complete_revision:
            raise RevertError(f"store at {complete_revision}, behind what is in force")
        present = {version.key for version in versions}
        deleted = [
            documents.Version(key, complete_revision, b"")
            for key, version in self._versions.items()
            if key not in present and not version.is_tombstone
        ]
        return self.merge(0, complete_revision, [*versions, *deleted])

    def is_covered_by(self, versions: Sequence[documents.Version]) -> bool:
        """Whether a state contains each document in force, as new or with its value."""
        by_key = {version.key: version for version in versions}
        for key, held in self._versions.items():
            if held.is_tombstone:
                continue
            other = by_key.get(key)
            if other is None:
                return False
            if other.revision < held.revision and other.value != held.value:
                return False
        return True

    def since(self, after_revision: int) -> messages.ConfigurationChanges:
        """Return the changes after a revision, as many as fit in one message.

        The oldest changes come first, so that the chunk is complete up to its own
        `complete_revision`.
        """
        newer = [v for v in self._versions.values() if v.revision > after_revision]
        newer.sort(key=lambda version: version.revision)
        chunk: list[documents.Version] = []
        n_bytes = 0
        for version in newer:
            n_bytes += len(version.key) + len(version.value) + N_CHUNK_OVERHEAD_BYTES
            is_same_revision = bool(chunk) and chunk[-1].revision == version.revision
            # A transaction may change several keys at one revision; don't split it.
            if chunk and n_bytes > MAX_CHUNK_BYTES and not is_same_revision:
                break
            chunk.append(version)
        is_complete = len(chunk) == len(newer)
        complete = self.complete_revision if is_complete else chunk[-1].revision
        return messages.ConfigurationChanges(after_revision, complete, tuple(chunk))


class Deployment:
    """The parsed documents in force, indexed for lookups."""

    def __init__(self) -> None:
        self.domains: dict[str, documents.Domain] = {}
        self.vms: dict[str, documents.Vm] = {}
        self.services: dict[str, documents.Service] = {}
        self.organisations: dict[str, documents.Organisation] = {}
        self.links: dict[str, documents.Link] = {}
        self.weights = documents.Weights()
        self._organisation_by_digest: dict[str, str] = {}
        self._entry_vms: dict[str, dict[str, documents.Vm]] = {}
        self._servers: dict[str, dict[str, documents.Vm]] = {}

    def update(self, version: documents.Version) -> None:
        """Bring one document in force.

        Raises
        ------
        bilberryridge.core.encoding.DocumentError
            The document is invalid; the previous one stays in force.
        """
        kind, _, name = version.key.partition("/")
        document = None
        if not version.is_tombstone:
            document = encoding.from_json(kind, version.value)
        if kind == "organisation":
            self._index_tokens(name, document)
        if kind == "vm":
            self._index_vm(name, document)
        if kind == "weights":
            is_weights = isinstance(document, documents.Weights)
            self.weights = document if is_weights else documents.Weights()  # type: ignore[assignment]
            return
        table = self._table(kind)
        if table is None:
            return
        if document is None:
            table.pop(name, None)
        else:
            table[name] = document

    def organisation_of(self, token_digest: str) -> documents.Organisation | None:
        """Return the organisation that the token belongs to."""
        name = self._organisation_by_digest.get(token_digest)
        return self.organisations.get(name) if name else None

    def entry_vms(self, domain: str) -> list[documents.Vm]:
        """Return the entry VMs of a failure domain."""
        return list(self._entry_vms.get(domain, {}).values())

    def servers(self, domain: str) -> list[documents.Vm]:
        """Return the backend servers of a failure domain."""
        return list(self._servers.get(domain, {}).values())

    def region_of(self, domain: str) -> str:
        """Return the region of a failure domain; empty when it is unknown."""
        document = self.domains.get(domain)
        return document.region if document else ""

    def allowed_regions(
        self, service: documents.Service, organisation: documents.Organisation
    ) -> frozenset[str]:
        """Return the regions where the organisation's data of the service may be."""
        allowed = frozenset(service.regions)
        if organisation.regions:
            allowed &= frozenset(organisation.regions)
        return allowed

    def _table(self, kind: str) -> dict | None:
        tables: dict[str, dict] = {
            "domain": self.domains,
            "vm": self.vms,
            "service": self.services,
            "organisation": self.organisations,
            "link": self.links,
        }
        return tables.get(kind)

    def _index_vm(self, name: str, document: documents.Document | None) -> None:
        before = self.vms.get(name)
        if before is not None:
            self._vm_index(before).pop(name, None)
        if isinstance(document, documents.Vm):
            self._vm_index(document)[name] = document

    def _vm_index(self, vm: documents.Vm) -> dict[str, documents.Vm]:
        is_entry = vm.kind is documents.VmKind.ENTRY
        by_domain = self._entry_vms if is_entry else self._servers
        return by_domain.setdefault(vm.domain, {})

    def _index_tokens(self, name: str, document: documents.Document | None) -> None:
        before = self.organisations.get(name)
        for digest in before.token_digests if before else ():
            self._organisation_by_digest.pop(digest, None)
        if isinstance(document, documents.Organisation):
            for digest in document.token_digests:
                self._organisation_by_digest[digest] = name
