"""Helpers of all commands: profile, store access, output and exit statuses."""

import contextlib
import pathlib
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import NoReturn

import attrs
import returns.result
import typer

from bilberryridge.command import (
    applying,
    changes,
    fleet,
    profiles,
    show,
    store_client,
)
from bilberryridge.configuration import crosschecks, documents, problems
from bilberryridge.store import etcd

BAD, CONFLICT, NOT_APPLIED, OUTCOME_UNKNOWN = 1, 3, 4, 5


@attrs.frozen
class Session:
    """State shared by the commands of one invocation.

    Parameters
    ----------
    profile : Profile
    open_client : callable
        Opens a store client for a profile; returns a context manager.
    """

    profile: profiles.Profile
    open_client: Callable[
        [profiles.Profile], contextlib.AbstractContextManager[store_client.StoreClient]
    ]


@contextlib.contextmanager
def open_client(profile: profiles.Profile) -> Iterator[store_client.StoreClient]:
    """Open a client for the store of a profile's deployment."""
    prefix = store_client.prefix_of(profile.deployment)
    with etcd.open_store(profile.store, prefix) as client:
        yield client


def read_directory(directory: pathlib.Path) -> Sequence[documents.LocatedDocument]:
    """Read a directory's documents, or exit with all their problems."""
    read = documents.read_directory(directory)
    if isinstance(read, returns.result.Failure):
        fail(read.failure())
    return read.unwrap()


def read_checked_directory(
    directory: pathlib.Path,
) -> Sequence[documents.LocatedDocument]:
    """Read a directory's documents and check them as a set, or exit."""
    docs = read_directory(directory)
    require_no_errors(crosschecks.check(docs))
    return docs


def require_no_errors(found_problems: problems.Problems) -> None:
    """Print the warnings; exit if any problem is not a warning."""
    if any(not problem.is_warning for problem in found_problems):
        fail(found_problems)
    for problem in found_problems:
        typer.echo(str(problem), err=True)


@contextlib.contextmanager
def open_store(ctx: typer.Context) -> Iterator[store_client.StoreClient]:
    """Open a store client, or exit if the profile lacks the store or deployment."""
    profile = ctx.obj.profile
    missing = [name for name in ("store", "deployment") if not getattr(profile, name)]
    if missing:
        fail([f"--{name} is not given, nor in the profile" for name in missing])
    with ctx.obj.open_client(profile) as client:
        yield client


def compare_with_store(
    directory: pathlib.Path,
    docs: Sequence[documents.LocatedDocument],
    client: store_client.StoreClient,
) -> applying.Comparison:
    """Compare a directory with the store, or exit if either can't be read."""
    compared = applying.compare_with_store(directory, docs, client)
    if isinstance(compared, returns.result.Failure):
        fail([compared.failure().detail], NOT_APPLIED)
    return compared.unwrap()


def find_vms(
    ctx: typer.Context, source: pathlib.Path | None
) -> tuple[dict[str, fleet.EntryVm], int]:
    """Return the entry VMs by name, and the revision of the last stored change.

    With `source`, a directory of documents, the store isn't read; the revision is 0.
    """
    if source is not None:
        fields = {
            documents.key_of(doc.document): documents.non_default_fields(doc.document)
            for doc in read_directory(source)
        }
        return fleet.entry_vms(fields), 0
    with open_store(ctx) as client:
        return entry_vms(client), _last_revision(client)


def entry_vms(client: store_client.StoreClient) -> dict[str, fleet.EntryVm]:
    """Return the entry VMs among the store's documents; exit if it is unreachable."""
    stored = store_client.read_documents(client)
    if isinstance(stored, returns.result.Failure):
        reason = f"store: {stored.failure().detail} (--documents DIR works without it)"
        fail([reason], NOT_APPLIED)
    by_key = stored.unwrap().by_key
    return fleet.entry_vms({key: doc.fields for key, doc in by_key.items()})


def _last_revision(client: store_client.StoreClient) -> int:
    stored = store_client.read_documents(client).map(_newest)
    records = changes.read_records(client).map(
        lambda recent: max((record.revision for record in recent), default=0)
    )
    return max(stored.value_or(0), records.value_or(0))


def _newest(stored: store_client.StoredDocuments) -> int:
    return max((doc.revision for doc in stored.by_key.values()), default=0)


def change_draining(
    ctx: typer.Context, vm: str, is_draining: bool | None, note: str
) -> None:
    """Set or reset `is_draining` of a backend server, and print the revision."""
    who, fields = ctx.obj.profile.who, {"is_draining": is_draining}
    with open_store(ctx) as client:
        changed = applying.change_one(client, f"vm/{vm}", fields, who, note)
    match changed:
        case returns.result.Success(revision):
            typer.echo(f"revision {revision}")
        case returns.result.Failure(failed):
            fail_change(failed)


def fail_change(failed: changes.Failed | applying.Unusable) -> NoReturn:
    """Exit with the status and text for a failed change."""
    codes = {changes.Conflicted: CONFLICT, changes.OutcomeUnknown: OUTCOME_UNKNOWN}
    fail([show.failure(failed)], codes.get(type(failed), NOT_APPLIED))


def print_lines(lines: Iterable[object]) -> None:
    """Print each item on a line of its own."""
    for line in lines:
        typer.echo(str(line))


def fail(lines: Iterable[object], status: int = BAD) -> NoReturn:
    """Print lines to standard error and exit with a status."""
    for line in lines:
        typer.echo(str(line), err=True)
    raise typer.Exit(status)
