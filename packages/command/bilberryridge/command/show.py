"""Format the results of commands for the terminal."""

import datetime
from collections.abc import Iterator, Sequence

from bilberryridge.command import applying, changes, compare, fleet

STATE_TEXTS = {
    compare.State.PUT: "put",
    compare.State.DELETE: "delete",
    compare.State.BEHIND: "changed by others",
    compare.State.CONFLICT: "CONFLICT",
}
N_KEYS_SHOWN = 5
DEFAULT_TEXT = "(default)"


def differences(diffs: Sequence[compare.Difference]) -> Iterator[str]:
    """Yield a line for each document that differs, and one for each changed field.

    A document that exists on one side only has no lines for its fields.
    """
    for difference in diffs:
        if difference.state is compare.State.SAME:
            continue
        since = (
            f" at revision {difference.stored_revision}" if difference.stored else ""
        )
        yield f"{STATE_TEXTS[difference.state]} {difference.key}{since}"
        if difference.stored is None or difference.local is None:
            continue
        for name, before, after in difference.changed_fields():
            yield f"  {name}: {_value(before)} -> {_value(after)}"


def failure(failed: changes.Failed | applying.Unusable) -> str:
    """Return why a change was not made, and what the operator can do."""
    match failed:
        case changes.Conflicted(keys):
            names = ", ".join(keys)
            return (
                f"another operator changed {names}; nothing of this batch was applied. "
                "See `diff`, then `pull --theirs` or `pull --mine`, and apply again."
            )
        case changes.NotApplied(detail):
            return f"not applied: {detail}"
        case changes.OutcomeUnknown(change_id, detail):
            return (
                f"not known whether change {change_id} took effect ({detail}). "
                "Apply again once the store answers: it is safe."
            )
        case _:
            return failed.detail


def history(records: Sequence[changes.Record]) -> Iterator[str]:
    """Yield a line for each change, newest first."""
    for record in reversed(records):
        what = "given up, no effect" if record.is_void else _keys_text(record)
        note = f"  ({record.note})" if record.note else ""
        yield f"{record.revision}  {record.at}  {record.who}  {what}{note}"


def statuses(vm_statuses: Sequence[fleet.VmStatus], revision: int) -> Iterator[str]:
    """Yield a line for each entry VM in the given order, then a summary."""
    for status in vm_statuses:
        state = "in force" if status.revision >= revision else "BEHIND"
        text = f"revision {status.revision}  {state}"
        if status.fault:
            text = f"NO ANSWER  {status.fault}"
        yield f"{status.vm.domain}  {status.vm.name}  {text}"
    behind = [status for status in vm_statuses if status.revision < revision]
    if not behind:
        yield f"revision {revision} is in force at all {len(vm_statuses)} entry VMs"
        return
    domains = ", ".join(sorted({status.vm.domain for status in behind}))
    yield (
        f"revision {revision} is not known to be in force at {len(behind)} of "
        f"{len(vm_statuses)} entry VMs, in {domains}"
    )


def events(request_events: Sequence[fleet.Event]) -> Iterator[str]:
    """Yield a line for each step or span, with the milliseconds since the first."""
    began_s = request_events[0].time_s if request_events else 0.0
    if request_events:
        at = datetime.datetime.fromtimestamp(began_s, datetime.UTC)
        yield f"from {at.isoformat(timespec='milliseconds')}, times in ms"
    for hop in request_events:
        yield f"{1e3 * (hop.time_s - began_s):10.1f}  {hop.vm}  {hop.what}  {hop.why}"


def _keys_text(record: changes.Record) -> str:
    shown = [f"{what} {key}" for key, what in list(record.keys.items())[:N_KEYS_SHOWN]]
    n_more = len(record.keys) - len(shown)
    return ", ".join(shown) + (f" and {n_more} more" if n_more > 0 else "")


def _value(value: object) -> str:
    return DEFAULT_TEXT if value is None else str(value)
