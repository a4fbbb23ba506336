"""Validates a request on arrival.

See Also
--------
bilberryridge.decisions.at_most_once_handlers : handles requests that may not repeat.
bilberryridge.decisions.request_handlers : handles all others.
"""

from bilberryridge.core import documents, outcomes, requests
from bilberryridge.decisions import (
    at_most_once_handlers,
    effects,
    events,
    request_handlers,
    residency,
    state,
)

RETRY_SOON_S = 1.0
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def on_arrived(st: state.State, now_s: float, event: events.RequestArrived) -> None:
    """Validate a request, then pass it to its owner or to admission."""
    req = event.req
    if st.daemon_state == "starting":
        refuse_early(st, req, outcomes.Reason.NO_CONFIGURATION, RETRY_SOON_S)
        return
    if st.daemon_state in ("finishing", "stopped"):
        refuse_early(st, req, outcomes.Reason.STOPPING, RETRY_SOON_S)
        return
    if len(st.open_requests) >= state.MAX_OPEN_REQUESTS:
        refuse_early(st, req, outcomes.Reason.BUSY, RETRY_SOON_S)
        return
    if not _is_path_valid(st, req):
        refuse_early(st, req, outcomes.Reason.HOP_LIMIT)
        return
    organisation = _organisation_of(st, req)
    if organisation is None:
        refuse_early(st, req, outcomes.Reason.UNAUTHENTICATED)
        return
    service = st.deployment.services.get(req.service)
    if service is None:
        refuse_early(st, req, outcomes.Reason.UNKNOWN_SERVICE)
        return
    if not residency.is_allowed_here(st, service, organisation):
        refuse_early(st, req, outcomes.Reason.NOT_ALLOWED_HERE)
        return
    if _is_behind(st, req, service, organisation):
        refuse_early(st, req, outcomes.Reason.NO_CONFIGURATION, RETRY_SOON_S)
        return
    _open_request(st, now_s, req, service, organisation)


def _open_request(
    st: state.State,
    now_s: float,
    req: requests.Request,
    service: documents.Service,
    organisation: documents.Organisation,
) -> None:
    left_s = service.deadline_s
    if req.envelope is not None:
        left_s = min(left_s, req.envelope.remaining_s)
    open_req = state.OpenRequest(
        req=req,
        service=service,
        organisation=organisation,
        arrived_s=now_s,
        deadline_s=now_s + left_s,
        state=st.request_chart.initial,
        is_at_most_once=may_not_repeat(service, req),
        is_from_peer=req.envelope is not None,
    )
    st.open_requests[req.request_id] = open_req
    st.count("requests", service.name, "relayed" if req.envelope else "entered")
    st.explain(
        req.request_id,
        "arrived",
        f"{req.method} {service.name} of {organisation.name}, "
        f"{'at most once' if open_req.is_at_most_once else 'may repeat'}",
    )
    if open_req.is_at_most_once:
        at_most_once_handlers.resolve_owner(st, now_s, open_req)
    else:
        request_handlers.admit(st, now_s, open_req)


def may_not_repeat(service: documents.Service, req: requests.Request) -> bool:
    """Whether the request must run at most once."""
    if service.kind is documents.ServiceKind.MODEL:
        return False
    if req.method in service.idempotent_methods:
        return False
    return not (service.server_checks_keys and req.idempotency_key)


def _is_path_valid(st: state.State, req: requests.Request) -> bool:
    if req.envelope is None:
        return True
    path = req.envelope.path
    is_short = 0 < len(path) <= state.MAX_HOPS
    return is_short and st.cfg.vm not in path and len(set(path)) == len(path)


def _organisation_of(
    st: state.State, req: requests.Request
) -> documents.Organisation | None:
    if req.envelope is not None:
        return st.deployment.organisations.get(req.envelope.organisation)
    return st.deployment.organisation_of(req.caller_digest)


def _is_behind(
    st: state.State,
    req: requests.Request,
    service: documents.Service,
    organisation: documents.Organisation,
) -> bool:
    # The newer documents of the sender may forbid the data in this region.
    if req.envelope is None:
        return False
    local_revision = residency.governing_revision(st, service, organisation)
    return req.envelope.revision > local_revision


def refuse_early(
    st: state.State,
    req: requests.Request,
    reason: outcomes.Reason,
    retry_after_s: float | None = None,
) -> None:
    """Refuse a request that is not in the table of open requests."""
    # An earlier attempt with the same key may have run through another daemon.
    is_keyed = bool(req.idempotency_key) and req.method not in SAFE_METHODS
    outcome = outcomes.Outcome.UNKNOWN if is_keyed else outcomes.Outcome.NOT_RUN
    # The owner that forwarded the request accounts for its earlier attempts; it did not
    # run here.
    if req.envelope is not None and not req.envelope.is_relay:
        outcome = outcomes.Outcome.NOT_RUN
    after_s = None if retry_after_s is None else st.jittered(retry_after_s)
    refusal = outcomes.Refusal(reason, outcome, "", after_s)
    st.count("refusals", reason.value, outcome.value)
    st.explain(req.request_id, "refused", f"{reason.value}, {outcome.value}")
    st.emit(effects.Refuse(req.request_id, refusal))
