"""A request's way through this node: screening, admission, placement, attempts.

See Also
--------
bilberryridge.decisions.once_flow : what comes before admission for a request that may
    not repeat.
bilberryridge.decisions.attempt_flow : what comes after an attempt.
"""

from bilberryridge.core import documents, outcomes, requests
from bilberryridge.decisions import (
    admission,
    effects,
    events,
    once_flow,
    placement,
    state,
)

MAX_SKIPPED = 8
"""Waiting requests that can't be placed now and let others pass, per dispatch."""

RETRY_SOON_S = 1.0
EXPECTED_TOKENS_PER_S = 25.0
"""Of one stream."""
LEAST_WORK_S = 0.05
MAX_WORK_SHARE = 0.25
"""Of the service's deadline."""
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def on_arrived(st: state.State, now_s: float, event: events.RequestArrived) -> None:
    """Screen a request, then bring it to its owner or to admission."""
    req = event.req
    if st.daemon_state == "starting":
        refuse_early(st, req, outcomes.Reason.NO_CONFIGURATION, RETRY_SOON_S)
        return
    if st.daemon_state in ("finishing", "stopped"):
        refuse_early(st, req, outcomes.Reason.STOPPING, RETRY_SOON_S)
        return
    if len(st.open) >= state.MAX_OPEN_REQUESTS:
        refuse_early(st, req, outcomes.Reason.BUSY, RETRY_SOON_S)
        return
    if not _is_path_sound(st, req):
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
    if not is_allowed_here(st, service, organisation):
        refuse_early(st, req, outcomes.Reason.NOT_ALLOWED_HERE)
        return
    if _is_behind(st, req, service, organisation):
        refuse_early(st, req, outcomes.Reason.NO_CONFIGURATION, RETRY_SOON_S)
        return
    _open(st, now_s, req, service, organisation)


def _open(
    st: state.State,
    now_s: float,
    req: requests.Request,
    service: documents.Service,
    organisation: documents.Organisation,
) -> None:
    left_s = service.deadline_s
    if req.envelope is not None:
        left_s = min(left_s, req.envelope.remaining_s)
    open_req = state.Open(
        req=req,
        service=service,
        organisation=organisation,
        arrived_s=now_s,
        deadline_s=now_s + left_s,
        state=st.request_chart.initial,
        is_once=may_not_repeat(service, req),
        is_from_peer=req.envelope is not None,
    )
    st.open[req.request_id] = open_req
    st.count("requests", service.name, "relayed" if req.envelope else "entered")
    st.explain(
        req.request_id,
        "arrived",
        f"{req.method} {service.name} of {organisation.name}, "
        f"{'at most once' if open_req.is_once else 'may repeat'}",
    )
    if open_req.is_once:
        once_flow.arrived(st, now_s, open_req)
    else:
        admit(st, now_s, open_req)


def may_not_repeat(service: documents.Service, req: requests.Request) -> bool:
    """Whether the system sends the request at most once."""
    if service.kind is documents.ServiceKind.MODEL:
        return False
    if req.method in service.idempotent_methods:
        return False
    return not (service.server_checks_keys and req.idempotency_key)


def is_allowed_here(
    st: state.State, service: documents.Service, organisation: documents.Organisation
) -> bool:
    """Whether the organisation's data of the service may be in this region."""
    allowed = st.deployment.allowed_regions(service, organisation)
    return st.cfg.region in allowed


def _is_path_sound(st: state.State, req: requests.Request) -> bool:
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
    # A sender with newer rules may know that the data must not be here.
    if req.envelope is None:
        return False
    own = governing_revision(st, service, organisation)
    return req.envelope.revision > own


def governing_revision(
    st: state.State, service: documents.Service, organisation: documents.Organisation
) -> int:
    """Return the newest revision of the documents that say where data may go."""
    return max(
        st.replica.revision_of(f"service/{service.name}"),
        st.replica.revision_of(f"organisation/{organisation.name}"),
    )


def refuse_early(
    st: state.State,
    req: requests.Request,
    reason: outcomes.Reason,
    retry_after_s: float | None = None,
) -> None:
    """Refuse a request that was not opened."""
    # An earlier try with the same key may have run through another daemon.
    is_keyed = bool(req.idempotency_key) and req.method not in SAFE_METHODS
    outcome = outcomes.Outcome.UNKNOWN if is_keyed else outcomes.Outcome.NOT_RUN
    # The sender of a relayed request knows what it sent; here nothing ran.
    if req.envelope is not None and not req.envelope.is_relay:
        outcome = outcomes.Outcome.NOT_RUN
    after_s = None if retry_after_s is None else st.jittered(retry_after_s)
    refusal = outcomes.Refusal(reason, outcome, "", after_s)
    st.count("refusals", reason.value, outcome.value)
    st.explain(req.request_id, "refused", f"{reason.value}, {outcome.value}")
    st.emit(effects.Refuse(req.request_id, refusal))


def refuse(
    st: state.State,
    open_req: state.Open,
    reason: outcomes.Reason,
    retry_after_s: float | None = None,
    detail: str = "",
    outcome: outcomes.Outcome | None = None,
) -> None:
    """Give an open request up, at once."""
    known = outcome or open_req.outcome
    once_flow.settle_refused(st, open_req, known)
    after_s = None if retry_after_s is None else st.jittered(retry_after_s)
    refusal = outcomes.Refusal(reason, known, detail, after_s)
    st.count("refusals", reason.value, known.value)
    st.explain(
        open_req.req.request_id, "refused", f"{reason.value}, {known.value}. {detail}"
    )
    st.emit(effects.Refuse(open_req.req.request_id, refusal))
    close(st, open_req, "refuse")


def close(st: state.State, open_req: state.Open, event: str) -> None:
    """End a request's chart and forget it."""
    st.step(open_req, event)
    st.admission.remove(open_req.req.request_id)
    st.open.pop(open_req.req.request_id, None)


def admit(st: state.State, now_s: float, open_req: state.Open) -> None:
    """Queue a request by fair shares, and place it if there is room."""
    if not has_any_place(st, now_s, open_req):
        refuse(st, open_req, outcomes.Reason.NO_SERVER, 2 * RETRY_SOON_S)
        return
    if open_req.is_from_peer:
        _admit_from_peer(st, now_s, open_req)
        return
    result = st.admission.offer(now_s, waiting_of(open_req))
    if isinstance(result, admission.Refused):
        # The admission spreads its retry times already.
        refuse(st, open_req, result.reason, result.retry_after_s, result.detail)
        return
    for displaced in result.displaced:
        last = st.open.get(displaced.request_id)
        if last is not None:
            refuse(st, last, outcomes.Reason.OVER_SHARE, 2 * RETRY_SOON_S)
    st.step(open_req, "queue")
    st.retries.on_first_try(now_s, open_req.service.name)
    dispatch(st, now_s, open_req.service.name)


def _admit_from_peer(st: state.State, now_s: float, open_req: state.Open) -> None:
    # The sender can look elsewhere at once, so a forwarded request never waits here,
    # and never takes room that the own callers wait for.
    st.step(open_req, "queue")
    is_owner = bool(open_req.scope)
    is_crowded = open_req.service.name in st.admission.services()
    if not is_crowded and _try_place(st, now_s, open_req):
        return
    if is_owner:
        # Only the owner may run it, so it may wait here like the own callers'.
        result = st.admission.offer(now_s, waiting_of(open_req))
        if not isinstance(result, admission.Refused):
            return
    wait_s = st.admission.expected_wait_s(now_s, open_req.service.name)
    refuse(st, open_req, outcomes.Reason.NO_CAPACITY, max(RETRY_SOON_S, wait_s))


def waiting_of(open_req: state.Open) -> admission.Waiting:
    """Return what admission needs to know of a request."""
    req = open_req.req
    work_s = req.n_output_tokens / EXPECTED_TOKENS_PER_S
    # The output bound is often far above what is generated.
    work_s = min(
        max(work_s, LEAST_WORK_S), MAX_WORK_SHARE * open_req.service.deadline_s
    )
    return admission.Waiting(
        request_id=req.request_id,
        service=open_req.service.name,
        organisation=open_req.organisation.name,
        weight=open_req.organisation.weight,
        priority=req.priority,
        # Admission leaves time for the work once; as much again is for the server's own
        # queue and for a wrong estimate, or the answer is cut off at its deadline.
        deadline_s=open_req.deadline_s - work_s,
        cost=work_s,
    )


def has_any_place(st: state.State, now_s: float, open_req: state.Open) -> bool:
    """Whether some server, here or in another domain, may ever take the request."""
    name = open_req.service.name
    if any(st.members.takes_new_work(now_s, c.vm) for c in candidates(st, name)):
        return True
    return not open_req.is_from_peer and bool(remotes(st, now_s, open_req))


def candidates(st: state.State, service: str) -> list[placement.Candidate]:
    """Return the servers of the own failure domain that run the service."""
    found = st.candidates.get(service)
    if found is None:
        found = [
            placement.Candidate(vm, True, st.cfg.domain, st.cfg.region)
            for vm in st.deployment.servers(st.cfg.domain)
            if vm.service == service
        ]
        st.candidates[service] = found
        for item in found:
            st.loads.server(item.vm.name, service, item.vm.n_slots)
    return found


def dispatch(st: state.State, now_s: float, service: str) -> None:
    """Place waiting requests while there is room."""
    skipped: list[admission.Waiting] = []
    while len(skipped) < MAX_SKIPPED:
        waiting = st.admission.take(now_s, service)
        if waiting is None:
            break
        open_req = st.open.get(waiting.request_id)
        if open_req is not None and not _try_place(st, now_s, open_req):
            skipped.append(waiting)
    for waiting in reversed(skipped):
        st.admission.put_back(waiting)


def _try_place(st: state.State, now_s: float, open_req: state.Open) -> bool:
    reason = _bring_up_to_date(st, open_req)
    if reason is not None:
        refuse(st, open_req, reason)
        return True
    choice = _choose(st, now_s, open_req)
    if choice is None:
        return False
    if isinstance(choice, placement.Local):
        _send_to_server(st, now_s, open_req, choice)
        return True
    return _send_to_domain(st, now_s, open_req, choice)


def _bring_up_to_date(st: state.State, open_req: state.Open) -> outcomes.Reason | None:
    """Let the rules in force now decide, not those of the arrival."""
    service = st.deployment.services.get(open_req.service.name)
    if service is None:
        return outcomes.Reason.UNKNOWN_SERVICE
    organisation = st.deployment.organisations.get(open_req.organisation.name)
    if organisation is None:
        return outcomes.Reason.UNAUTHENTICATED
    open_req.service = service
    open_req.organisation = organisation
    if not is_allowed_here(st, service, organisation):
        return outcomes.Reason.NOT_ALLOWED_HERE
    return None


def _choose(
    st: state.State, now_s: float, open_req: state.Open
) -> placement.Choice | None:
    servers = [
        c
        for c in candidates(st, open_req.service.name)
        if st.members.takes_new_work(now_s, c.vm)
    ]
    choice = _choose_among(st, now_s, open_req, servers, open_req.excluded)
    tried = {c.vm.name for c in servers} & open_req.excluded
    if choice is None and tried and len(tried) == len(servers):
        # Every server and domain was tried: the first one again beats none.
        excluded = open_req.excluded - tried
        return _choose_among(st, now_s, open_req, servers, excluded)
    return choice


def _choose_among(
    st: state.State,
    now_s: float,
    open_req: state.Open,
    servers: list[placement.Candidate],
    excluded: frozenset[str],
) -> placement.Choice | None:
    # The queue's expectation knows nothing of the slots that the first one waits for;
    # who has waited long goes elsewhere.
    wait_s = st.admission.expected_wait_s(now_s, open_req.service.name)
    wait_s = max(wait_s, now_s - open_req.arrived_s)
    return placement.choose(
        now_s,
        open_req.req,
        open_req.service,
        servers,
        [] if open_req.is_from_peer else remotes(st, now_s, open_req),
        loads=st.loads,
        prefixes=st.prefixes,
        weights=st.deployment.weights,
        home_region=open_req.organisation.home_region,
        random_state=st.random_state,
        exclude=excluded,
        allowed_regions=st.deployment.allowed_regions(
            open_req.service, open_req.organisation
        ),
        queue_wait_s=wait_s,
    )


def remotes(
    st: state.State, now_s: float, open_req: state.Open
) -> list[placement.RemoteDomain]:
    """Return the other failure domains that may serve the request."""
    allowed = st.deployment.allowed_regions(open_req.service, open_req.organisation)
    rooms = st.remote_rooms.get(open_req.service.name, {})
    return [
        remote
        for domain, remote in rooms.items()
        if remote.region in allowed and domain not in open_req.excluded
    ]


def _send_to_server(
    st: state.State, now_s: float, open_req: state.Open, choice: placement.Local
) -> None:
    req = open_req.req
    vm = st.deployment.vms[choice.server]
    _note_sent(st, now_s, req, choice.load_key)
    st.prefixes.learn(vm.name, req.prefix_digests)
    open_req.domain = ""
    _send(st, now_s, open_req, vm.name, vm.address, None, choice.why)


def _note_sent(
    st: state.State, now_s: float, req: requests.Request, load_key: str
) -> None:
    st.loads.on_sent(
        now_s,
        load_key,
        req.request_id,
        req.n_prompt_tokens,
        req.n_output_tokens,
        req.priority,
    )


def _send_to_domain(
    st: state.State, now_s: float, open_req: state.Open, choice: placement.Remote
) -> bool:
    vm = _daemon_of(st, now_s, open_req, choice.domain)
    if vm is None:
        open_req.excluded |= {choice.domain}
        return False
    open_req.domain = choice.domain
    # Until the next summary the request counts as busy there.
    _note_sent(st, now_s, open_req.req, choice.load_key)
    envelope = make_envelope(st, now_s, open_req)
    st.count("forwards", open_req.service.name, choice.domain)
    _send(st, now_s, open_req, vm.name, vm.relay_address, envelope, choice.why)
    return True


def _daemon_of(
    st: state.State, now_s: float, open_req: state.Open, domain: str
) -> documents.Vm | None:
    live = [
        vm
        for vm in st.domain_daemons(domain)
        if st.members.is_live_daemon(now_s, vm.name)
        and not st.members.is_leaving_daemon(vm.name)
        and vm.name not in open_req.excluded
    ]
    return st.random_state.choice(live) if live else None


def make_envelope(
    st: state.State, now_s: float, open_req: state.Open, owner: str = ""
) -> requests.Envelope:
    """Return what the request carries to another daemon."""
    before = open_req.req.envelope
    path = (*(before.path if before else ()), st.cfg.vm)
    return requests.Envelope(
        path=path,
        organisation=open_req.organisation.name,
        remaining_s=max(0.0, open_req.deadline_s - now_s),
        revision=governing_revision(st, open_req.service, open_req.organisation),
        is_relay=bool(owner),
        owner=owner,
    )


def _send(
    st: state.State,
    now_s: float,
    open_req: state.Open,
    vm: str,
    address: str,
    envelope: requests.Envelope | None,
    why: str,
) -> None:
    st.step(open_req, "send")
    open_req.attempt += 1
    open_req.n_sent += 1
    open_req.vm = vm
    st.count(
        "attempts", open_req.service.name, "first" if open_req.attempt == 1 else "retry"
    )
    st.explain(open_req.req.request_id, f"attempt {open_req.attempt} to {vm}", why)
    send_attempt(st, now_s, open_req, address, envelope)


def send_attempt(
    st: state.State,
    now_s: float,
    open_req: state.Open,
    address: str,
    envelope: requests.Envelope | None,
) -> None:
    """Let the edge send the current attempt."""
    service = open_req.service
    first_byte_s = min(open_req.deadline_s, now_s + service.first_byte_deadline_s)
    attempt = effects.SendAttempt(
        request_id=open_req.req.request_id,
        attempt=open_req.attempt,
        vm=open_req.vm,
        address=address,
        envelope=envelope,
        deadline_s=open_req.deadline_s,
        first_byte_deadline_s=first_byte_s,
        is_once=open_req.is_once,
        has_content=service.has_content and open_req.req.method != "HEAD",
    )
    st.emit(attempt)


def on_caller_gone(st: state.State, now_s: float, event: events.CallerGone) -> None:
    """Free what a caller that left had taken."""
    open_req = st.open.get(event.request_id)
    if open_req is None:
        return
    if open_req.is_once and open_req.n_sent:
        # It may have run; its outcome is kept for the caller's next try.
        st.explain(event.request_id, "caller left", "kept until its outcome is known")
        return
    st.count("callers_gone")
    st.explain(event.request_id, "caller left", "given up")
    if open_req.n_sent or open_req.state == "relaying":
        st.emit(effects.CancelAttempt(event.request_id, open_req.attempt))
        st.loads.on_ended(now_s, event.request_id, True)
    once_flow.settle_refused(st, open_req, open_req.outcome)
    close(st, open_req, "leave")
    dispatch(st, now_s, open_req.service.name)


def on_tick(st: state.State, now_s: float) -> None:
    """Refuse what waited too long, and place what there is room for."""
    for waiting in st.admission.expire(now_s):
        open_req = st.open.get(waiting.request_id)
        if open_req is not None:
            refuse(st, open_req, outcomes.Reason.DEADLINE, RETRY_SOON_S)
    for service in st.admission.services():
        dispatch(st, now_s, service)
