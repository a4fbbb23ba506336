"""The operators' command-line interface.

Exit status: 0 success; 1 invalid input, or a revision not in force at every entry VM;
3 conflict; 4 not applied, or the store is unreachable; 5 unknown whether the change was
applied.
"""

import os
import pathlib
from typing import Annotated

import returns.result
import typer

from bilberryridge.command import (
    applying,
    changes,
    fleet,
    interview,
    profiles,
    sessions,
    show,
)
from bilberryridge.configuration import questionnaire

ANSWERS_NAME = "answers.yaml"
HTTP_ACCEPTED = 202

app = typer.Typer(
    no_args_is_help=True, add_completion=False, help="Operate a bilberryridge fleet."
)

Directory = Annotated[
    pathlib.Path, typer.Argument(help="Holds <kind>/<name>.yaml.", file_okay=False)
]
Note = Annotated[str, typer.Option(help="Kept in the record of the change.")]
DocumentsOption = Annotated[
    pathlib.Path | None,
    typer.Option("--documents", help="Find entry VMs here instead of in the store."),
]


@app.callback()
def prepare(
    ctx: typer.Context,
    profile: Annotated[str, typer.Option(help="YAML file.")] = "",
    store: Annotated[str, typer.Option(help="URL of the store.")] = "",
    deployment: Annotated[str, typer.Option(help="Name of the deployment.")] = "",
    token: Annotated[str, typer.Option(help="The operators' bearer token.")] = "",
    who: Annotated[str, typer.Option(help="Named in the record of a change.")] = "",
) -> None:
    """Load the profile; options override the environment, which overrides the file."""
    options = {"store": store, "deployment": deployment, "token": token, "who": who}
    match profiles.load(profile, os.environ, options):
        case returns.result.Success(loaded):
            ctx.obj = sessions.Session(loaded, ctx.obj or sessions.open_client)
        case returns.result.Failure(found_problems):
            sessions.fail(found_problems)


@app.command()
def init(
    out: Annotated[pathlib.Path, typer.Option(help="Where documents are written.")],
    answers: Annotated[
        pathlib.Path | None, typer.Option(help="Answers, instead of questions.")
    ] = None,
) -> None:
    """Generate the documents of a deployment from the questionnaire."""
    if answers is None:
        text = interview.ask_all(typer.prompt)
        out.mkdir(parents=True, exist_ok=True)
        answers = out / ANSWERS_NAME
        answers.write_text(text)
    try:
        data = answers.read_bytes()
    except OSError as exc:
        sessions.fail([f"{answers}:0: can't be read: {exc.strerror}"])
    match questionnaire.generate(str(answers), data):
        case returns.result.Success(generated):
            sessions.print_lines(generated.warnings)
            stale = questionnaire.write(generated.docs, out)
            typer.echo(f"{len(generated.docs)} documents below {out}")
            if stale:
                sessions.fail([f"{path}:0: follows from no answer" for path in stale])
        case returns.result.Failure(found_problems):
            sessions.fail(found_problems)


@app.command()
def check(directory: Directory) -> None:
    """Check each document of a directory, and all of them as a set."""
    docs = sessions.read_checked_directory(directory)
    typer.echo(f"{len(docs)} documents, no problem")


@app.command()
def diff(ctx: typer.Context, directory: Directory) -> None:
    """Show what apply would change, and what other operators changed."""
    docs = sessions.read_checked_directory(directory)
    with sessions.open_store(ctx) as client:
        comparison = sessions.compare_with_store(directory, docs, client)
    sessions.print_lines(show.differences(comparison.differences))


@app.command()
def apply(ctx: typer.Context, directory: Directory, note: Note = "") -> None:
    """Commit a directory's changes to the store and print the revision."""
    docs = sessions.read_checked_directory(directory)
    who = ctx.obj.profile.who
    with sessions.open_store(ctx) as client:
        comparison = sessions.compare_with_store(directory, docs, client)
        sessions.require_no_errors(applying.check_result(comparison, docs))
        applied = applying.apply(comparison, client, who, note)
    shown = applied.committed
    if isinstance(applied.failed, changes.Conflicted):
        keys = applied.failed.keys
        shown += tuple(
            difference
            for difference in comparison.differences
            if difference.key in keys
        )
    sessions.print_lines(show.differences(shown))
    if applied.revision:
        typer.echo(f"revision {applied.revision}")
    if applied.failed is not None:
        sessions.fail_change(applied.failed)
    if not applied.committed:
        typer.echo("nothing to apply")


@app.command()
def pull(
    ctx: typer.Context, directory: Directory, theirs: bool = False, mine: bool = False
) -> None:
    """Copy others' changes to the directory; resolve conflicts for one side."""
    if theirs and mine:
        sessions.fail(["--theirs and --mine exclude each other"])
    docs = sessions.read_directory(directory) if any(directory.glob("*/*.yaml")) else ()
    with sessions.open_store(ctx) as client:
        comparison = sessions.compare_with_store(directory, docs, client)
    resolved = applying.pull(comparison, theirs, mine)
    sessions.print_lines(resolved)
    conflicts = comparison.of(applying.State.CONFLICT)
    remaining = [
        difference for difference in conflicts if difference.key not in resolved
    ]
    if remaining:
        sessions.print_lines(show.differences(remaining))
        raise typer.Exit(sessions.CONFLICT)


@app.command()
def history(ctx: typer.Context) -> None:
    """Show the latest changes, newest first."""
    with sessions.open_store(ctx) as client:
        records = changes.read_records(client)
    if isinstance(records, returns.result.Failure):
        sessions.fail([f"store: {records.failure().detail}"], sessions.NOT_APPLIED)
    sessions.print_lines(show.history(records.unwrap()))


@app.command()
def status(
    ctx: typer.Context,
    revision: Annotated[int, typer.Option(help="Of the store; default the last.")] = 0,
    source: DocumentsOption = None,
) -> None:
    """Show whether a revision is in force in every domain, and which VMs lack it."""
    vms, last = sessions.find_vms(ctx, source)
    statuses = fleet.ask_status(vms, ctx.obj.profile.token)
    # Without the store, the highest revision at any entry VM is the best estimate.
    target = revision or last or max((st.revision for st in statuses), default=0)
    sessions.print_lines(show.statuses(statuses, target))
    if fleet.behind(statuses, target):
        raise typer.Exit(sessions.BAD)


@app.command()
def drain(
    ctx: typer.Context, vm: str, note: Note = "", source: DocumentsOption = None
) -> None:
    """Drain a VM: an entry VM stops gracefully, a server gets no new requests."""
    vms, _ = sessions.find_vms(ctx, source)
    if vm not in vms:
        sessions.change_draining(ctx, vm, True, note)
        return
    answer = fleet.ask_stop(vms[vm], ctx.obj.profile.token)
    if answer.status != HTTP_ACCEPTED:
        reason = answer.fault or f"status {answer.status}"
        sessions.fail([f"{vm}: {reason}"], sessions.NOT_APPLIED)
    typer.echo(f"{vm} takes no new callers and ends when its last request has")


@app.command()
def undrain(ctx: typer.Context, vm: str, note: Note = "") -> None:
    """Let a drained backend server take requests again."""
    vms, _ = sessions.find_vms(ctx, None)
    if vm in vms:
        reason = "an entry VM takes callers again when its daemon starts"
        sessions.fail([f"{vm}: {reason}"])
    sessions.change_draining(ctx, vm, None, note)


@app.command()
def explain(
    ctx: typer.Context, request_id: str, source: DocumentsOption = None
) -> None:
    """Show the hops of a request in order of time, and why each was chosen."""
    vms, _ = sessions.find_vms(ctx, source)
    events, unanswered = fleet.explain(vms, request_id, ctx.obj.profile.token)
    sessions.print_lines(show.events(events))
    for line in unanswered:
        typer.echo(f"no answer from {line}", err=True)
    if not events:
        sessions.fail([f"no entry VM that answered has a record of {request_id}"])


def run() -> None:
    """Run the command."""
    app()
