"""Requests to the entry VMs of a deployment: status, stop and explain."""

import urllib.parse
from collections.abc import Mapping
from typing import Any

import attrs

from bilberryridge.command import operators_client, store_client
from bilberryridge.core import documents as core_documents

STATUS_PATH = "/v1/status"
STOP_PATH = "/v1/stop"
EXPLAIN_PATH = "/v1/explain/"
ENTRY = core_documents.VmKind.ENTRY.value
UNKNOWN_REVISION = -1


@attrs.frozen
class EntryVm:
    """An entry VM with its operators' address."""

    name: str
    domain: str
    operators_address: str


@attrs.frozen
class VmStatus:
    """The status that an entry VM reports.

    Parameters
    ----------
    vm : EntryVm
    revision : int
        Up to which its configuration is complete; `UNKNOWN_REVISION` without an answer.
    status : mapping
        All fields of its answer.
    fault : str
        Why there is no answer; empty if there is one.
    """

    vm: EntryVm
    revision: int
    status: Mapping[str, Any]
    fault: str = ""


@attrs.frozen(order=True)
class Event:
    """A decision step or a trace span of a request at one entry VM.

    Parameters
    ----------
    time_s : float
        Since the epoch.
    vm : str
    what : str
        Name of the step, or name and duration of the span.
    why : str
        Reason of the step, or ids and attributes of the span.
    """

    time_s: float
    vm: str
    what: str
    why: str


def entry_vms(documents: Mapping[str, store_client.Fields]) -> dict[str, EntryVm]:
    """Return the entry VMs among documents, by name."""
    by_name = {}
    for key, fields in sorted(documents.items()):
        if key.startswith("vm/") and fields.get("kind") == ENTRY:
            name, domain = fields["name"], fields["domain"]
            by_name[name] = EntryVm(name, domain, fields["operators_address"])
    return by_name


def ask_status(vms: Mapping[str, EntryVm], token: str) -> tuple[VmStatus, ...]:
    """Request the status of all entry VMs; sorted by domain and name."""
    answers = operators_client.ask(_addresses(vms), "GET", STATUS_PATH, token)
    reported = [_to_status(vms[name], answer) for name, answer in answers.items()]
    return tuple(sorted(reported, key=lambda st: (st.vm.domain, st.vm.name)))


def behind(statuses: tuple[VmStatus, ...], revision: int) -> tuple[VmStatus, ...]:
    """Return the entry VMs where a revision is not known to be in force."""
    return tuple(st for st in statuses if st.revision < revision)


def ask_stop(vm: EntryVm, token: str) -> operators_client.Answer:
    """Ask an entry VM to stop gracefully."""
    addresses = {vm.name: vm.operators_address}
    return operators_client.ask(addresses, "POST", STOP_PATH, token)[vm.name]


def explain(
    vms: Mapping[str, EntryVm], request_id: str, token: str
) -> tuple[tuple[Event, ...], tuple[str, ...]]:
    """Return the events of a request by time, and the VMs that failed to answer."""
    path = EXPLAIN_PATH + urllib.parse.quote(request_id, safe="")
    answers = operators_client.ask(_addresses(vms), "GET", path, token)
    events: list[Event] = []
    for name, answer in answers.items():
        report = answer.as_json()
        events += [_step_event(name, step) for step in report.get("steps", ())]
        events += [_span_event(name, span) for span in report.get("spans", ())]
    return tuple(sorted(events)), tuple(operators_client.unanswered(answers))


def _addresses(vms: Mapping[str, EntryVm]) -> dict[str, str]:
    return {name: vm.operators_address for name, vm in vms.items()}


def _to_status(vm: EntryVm, answer: operators_client.Answer) -> VmStatus:
    status = answer.as_json()
    revision = status.get("revision")
    if isinstance(revision, int):
        return VmStatus(vm, revision, status)
    fault = answer.fault or f"status {answer.status} without a revision"
    return VmStatus(vm, UNKNOWN_REVISION, status, fault)


def _step_event(vm: str, step: Mapping[str, Any]) -> Event:
    return Event(float(step["time_s"]), vm, str(step["step"]), str(step["why"]))


def _span_event(vm: str, span: Mapping[str, Any]) -> Event:
    took_ms = 1e3 * (span["ended_s"] - span["began_s"])
    attributes = " ".join(f"{name}={value}" for name, value in span["attributes"])
    ids = f"span {span['span_id']} in {span['parent_id'] or 'none'}"
    what = f"[{span['name']} {took_ms:.1f} ms]"
    return Event(float(span["began_s"]), vm, what, f"{ids} {attributes}".strip())
