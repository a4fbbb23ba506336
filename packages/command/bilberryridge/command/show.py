"""Text of what the command found, for the terminal."""

import datetime
from collections.abc import Iterator, Sequence

from bilberryridge.command import applying, changes, compare, fleet

MARKS = {
    compare.State.PUT: "put",
    compare.State.DELETE: "delete",
    compare.State.BEHIND: "changed by others",
    compare.State.CONFLICT: "CONFLICT",
}
N_KEYS_SHOWN = 5
NOT_WRITTEN = "(default)"


def differences(found: Sequence[compare.Difference]) -> Iterator[str]:
    """One line a document that differs, then one a field: the store's, the wanted.

    A document that is only on one side has no line a field.
    """
    for one in found:
        if one.state is compare.State.SAME:
            continue
        since = f" at revision {one.held_revision}" if one.held else ""
        yield f"{MARKS[one.state]} {one.key}{since}"
        if one.held is None or one.wanted is None:
            continue
        for name, before, after in one.fields():
            yield f"  {name}: {_value(before)} -> {_value(after)}"


def failure(failed: changes.Failed | applying.Unusable) -> str:
    """Why a change was not made, and what to do."""
    match failed:
        case changes.Conflicted(keys):
            names = ", ".join(keys)
            return (
                f"another operator changed {names}; nothing of this batch was applied. "
                "See `diff`, then `pull --theirs` or `pull --mine`, and apply again."
            )
        case changes.NotApplied(detail):
            return f"not applied: {detail}"
        case changes.Unsettled(change_id, detail):
            return (
                f"not known whether change {change_id} took effect ({detail}). "
                "Apply again once the store answers: it is safe."
            )
        case _:
            return failed.detail


def history(records: Sequence[changes.Record]) -> Iterator[str]:
    """One line a change, the newest first."""
    for record in reversed(records):
        what = "given up, no effect" if record.is_void else _keys_text(record)
        note = f"  ({record.note})" if record.note else ""
        yield f"{record.revision}  {record.at}  {record.who}  {what}{note}"


def statuses(found: Sequence[fleet.VmStatus], revision: int) -> Iterator[str]:
    """One line an entry VM, by domain, then one for the whole."""
    for one in found:
        state = "in force" if one.revision >= revision else "BEHIND"
        text = f"revision {one.revision}  {state}"
        if one.fault:
            text = f"NO ANSWER  {one.fault}"
        yield f"{one.vm.domain}  {one.vm.name}  {text}"
    missing = [one for one in found if one.revision < revision]
    if not missing:
        yield f"revision {revision} is in force at all {len(found)} entry VMs"
        return
    domains = ", ".join(sorted({one.vm.domain for one in missing}))
    yield (
        f"revision {revision} is not known to be in force at {len(missing)} of "
        f"{len(found)} entry VMs, in {domains}"
    )


def events(found: Sequence[fleet.Event]) -> Iterator[str]:
    """One line a step or span, with the time since the first in milliseconds."""
    began_s = found[0].time_s if found else 0.0
    if found:
        at = datetime.datetime.fromtimestamp(began_s, datetime.UTC)
        yield f"from {at.isoformat(timespec='milliseconds')}, times in ms"
    for one in found:
        yield f"{1e3 * (one.time_s - began_s):10.1f}  {one.vm}  {one.what}  {one.why}"


def _keys_text(record: changes.Record) -> str:
    shown = [f"{what} {key}" for key, what in list(record.keys.items())[:N_KEYS_SHOWN]]
    n_more = len(record.keys) - len(shown)
    return ", ".join(shown) + (f" and {n_more} more" if n_more > 0 else "")


def _value(value: object) -> str:
    return NOT_WRITTEN if value is None else str(value)
