"""Rules for each kind of document, checked without other documents.

See Also
--------
bilberryridge.configuration.documents : applies them.
"""

from collections.abc import Callable
from typing import Any

from bilberryridge.configuration import rules, structure
from bilberryridge.core import documents as core_documents

WEIGHTS_NAME = "deployment"

OPTIONAL_ADDRESS = rules.either(rules.check_empty, rules.check_address)
WEIGHT = rules.within(0, 1e6)

RULES: structure.Rules = {
    core_documents.Domain: {"name": rules.check_name, "region": rules.check_name},
    core_documents.Vm: {
        "name": rules.check_name,
        "domain": rules.check_name,
        "address": rules.check_address,
        "relay_address": OPTIONAL_ADDRESS,
        "peer_address": OPTIONAL_ADDRESS,
        "operators_address": OPTIONAL_ADDRESS,
        "service": rules.either(rules.check_empty, rules.check_name),
        "n_slots": rules.within(1, 100_000),
        "tokens_per_s": rules.within(0, 1e7),
    },
    core_documents.Service: {
        "name": rules.check_name,
        "regions": rules.each(rules.check_name),
        "idempotent_methods": rules.check_methods,
        "deadline_s": rules.within(0.1, 3600),
        "first_byte_deadline_s": rules.within(0.05, 3600),
    },
    core_documents.Organisation: {
        "name": rules.check_name,
        "home_region": rules.check_name,
        "regions": rules.each(rules.check_name),
        "token_digests": rules.each(rules.check_digest),
        "weight": rules.within(0.001, 1000),
    },
    core_documents.Link: {
        "a": rules.check_name,
        "b": rules.check_name,
        "one_way_ms": rules.within(0, 10_000),
        "megabits_per_s": rules.within(0.001, 1e7),
    },
    core_documents.Weights: {
        "tail_latency": WEIGHT,
        "cost": WEIGHT,
        "sent_away": WEIGHT,
    },
}

FieldProblems = list[tuple[str, str]]
"""Pairs of a field name and the reason why its value is invalid."""


def _check_vm(vm: core_documents.Vm) -> FieldProblems:
    is_entry = vm.kind is core_documents.VmKind.ENTRY
    field_problems = []
    for field in ("relay_address", "peer_address", "operators_address"):
        if is_entry and not getattr(vm, field):
            field_problems.append((field, "an entry VM needs it"))
        if not is_entry and getattr(vm, field):
            field_problems.append((field, "only an entry VM has it"))
    if is_entry and vm.service:
        field_problems.append(("service", "an entry VM runs no service"))
    if not is_entry and not vm.service:
        field_problems.append(("service", "a backend server needs it"))
    return field_problems


def _check_service(service: core_documents.Service) -> FieldProblems:
    field_problems = []
    if not service.regions:
        field_problems.append(("regions", "empty, so no region may serve it"))
    if service.first_byte_deadline_s > service.deadline_s:
        field_problems.append(("first_byte_deadline_s", "longer than deadline_s"))
    return field_problems


def _check_organisation(organisation: core_documents.Organisation) -> FieldProblems:
    home = organisation.home_region
    if organisation.regions and home not in organisation.regions:
        return [("home_region", f"{home} is not one of its regions")]
    return []


def _check_link(link: core_documents.Link) -> FieldProblems:
    return [("b", "comes before a; put them in order")] if link.b < link.a else []


def _check_weights(weights: core_documents.Weights) -> FieldProblems:
    return [] if weights.name == WEIGHTS_NAME else [("name", f"must be {WEIGHTS_NAME}")]


CHECKS: dict[type, Callable[[Any], FieldProblems]] = {
    core_documents.Vm: _check_vm,
    core_documents.Service: _check_service,
    core_documents.Organisation: _check_organisation,
    core_documents.Link: _check_link,
    core_documents.Weights: _check_weights,
}


def check_consistency(document: Any) -> FieldProblems:
    """Check the fields of a document against each other; each is valid by itself."""
    check = CHECKS.get(type(document))
    return check(document) if check is not None else []
