"""Places a request and sends it: to a server, another domain or the owner of its key.

See Also
--------
bilberryridge.decisions.placement : chooses among the candidates.
"""

from bilberryridge.core import documents, outcomes, requests
from bilberryridge.decisions import (
    admission,
    at_most_once,
    effects,
    ending,
    placement,
    residency,
    state,
)


def try_place(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    waiting: admission.WaitingRequest,
) -> bool:
    """Send a request if it can be placed now; return whether it no longer waits."""
    reason = _refresh_documents(st, open_req)
    if reason is not None:
        ending.refuse(st, open_req, reason)
        return True
    choice = _choose(st, now_s, open_req, waiting)
    if choice is None:
        return False
    if isinstance(choice, placement.ServerChoice):
        _send_to_server(st, now_s, open_req, choice)
        return True
    return _send_to_domain(st, now_s, open_req, choice)


def _refresh_documents(
    st: state.State, open_req: state.OpenRequest
) -> outcomes.Reason | None:
    """Apply the documents in force now instead of those at the arrival.

    Returns the reason to refuse the request if they do not allow it any more.
    """
    service = st.deployment.services.get(open_req.service.name)
    if service is None:
        return outcomes.Reason.UNKNOWN_SERVICE
    organisation = st.deployment.organisations.get(open_req.organisation.name)
    if organisation is None:
        return outcomes.Reason.UNAUTHENTICATED
    open_req.service = service
    open_req.organisation = organisation
    if not residency.is_allowed_here(st, service, organisation):
        return outcomes.Reason.NOT_ALLOWED_HERE
    return None


def _choose(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    waiting: admission.WaitingRequest,
) -> placement.Choice | None:
    servers = [
        c
        for c in candidates(st, open_req.service.name)
        if st.members.accepts_new_requests(now_s, c.vm)
    ]
    choice = _choose_among(st, now_s, open_req, waiting, servers, open_req.excluded)
    tried = {c.vm.name for c in servers} & open_req.excluded
    if choice is None and tried and len(tried) == len(servers):
        # Every server and domain was tried: retry a tried server rather than none.
        excluded = open_req.excluded - tried
        return _choose_among(st, now_s, open_req, waiting, servers, excluded)
    return choice


def _choose_among(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    waiting: admission.WaitingRequest,
    servers: list[placement.Candidate],
    excluded: frozenset[str],
) -> placement.Choice | None:
    # The expected wait of the queue does not include the wait for the slot of its first
    # request. The time already waited stands in for it, so that a request that has
    # waited long goes to another domain.
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
        reserved_share=st.admission.reserved_share(now_s, waiting),
        max_wait_s=open_req.deadline_s - waiting.cost - now_s,
    )


def candidates(st: state.State, service: str) -> list[placement.Candidate]:
    """Return the servers of the local failure domain that run the service."""
    listed = st.candidates.get(service)
    if listed is None:
        listed = [
            placement.Candidate(vm, True, st.cfg.domain, st.cfg.region)
            for vm in st.deployment.servers(st.cfg.domain)
            if vm.service == service
        ]
        st.candidates[service] = listed
        for item in listed:
            st.loads.server(item.vm.name, service, item.vm.n_slots)
    return listed


def remotes(
    st: state.State, now_s: float, open_req: state.OpenRequest
) -> list[placement.RemoteDomain]:
    """Return the other failure domains that may serve the request."""
    allowed = st.deployment.allowed_regions(open_req.service, open_req.organisation)
    capacities = st.remote_capacities.get(open_req.service.name, {})
    return [
        remote
        for domain, remote in capacities.items()
        if remote.region in allowed and domain not in open_req.excluded
    ]


def _send_to_server(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    choice: placement.ServerChoice,
) -> None:
    req = open_req.req
    vm = st.deployment.vms[choice.server]
    _record_sent(st, now_s, req, choice.load_key, choice.n_prefill_tokens)
    st.prefixes.record_sent(vm.name, req.prefix_digests)
    open_req.domain = ""
    _send(st, now_s, open_req, vm.name, vm.address, None, choice.why)


def _record_sent(
    st: state.State,
    now_s: float,
    req: requests.Request,
    load_key: str,
    n_prefill_tokens: int,
) -> None:
    st.loads.on_sent(
        now_s,
        load_key,
        req.request_id,
        n_prefill_tokens,
        req.n_output_tokens,
        req.priority,
    )


def _send_to_domain(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    choice: placement.DomainChoice,
) -> bool:
    vm = _pick_daemon(st, now_s, open_req, choice.domain)
    if vm is None:
        open_req.excluded |= {choice.domain}
        return False
    open_req.domain = choice.domain
    # Count the request as load of the domain until its next summary includes it.
    req = open_req.req
    _record_sent(st, now_s, req, choice.load_key, req.n_prompt_tokens)
    envelope = make_envelope(st, now_s, open_req)
    st.count("forwards", open_req.service.name, choice.domain)
    _send(st, now_s, open_req, vm.name, vm.relay_address, envelope, choice.why)
    return True


def _pick_daemon(
    st: state.State, now_s: float, open_req: state.OpenRequest, domain: str
) -> documents.Vm | None:
    live = [
        vm
        for vm in st.domain_daemons(domain)
        if st.members.is_live_daemon(now_s, vm.name)
        and not st.members.is_leaving_daemon(vm.name)
        and vm.name not in open_req.excluded
    ]
    return st.random_state.choice(live) if live else None


def _send(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    vm: str,
    address: str,
    envelope: requests.Envelope | None,
    why: str,
) -> None:
    st.step(open_req, "send")
    open_req.attempt += 1
    open_req.n_possible_runs += 1
    open_req.vm = vm
    st.count(
        "attempts", open_req.service.name, "first" if open_req.attempt == 1 else "retry"
    )
    st.explain(open_req.req.request_id, f"attempt {open_req.attempt} to {vm}", why)
    send_attempt(st, now_s, open_req, address, envelope)


def relay(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    owner: at_most_once.Owner,
    to_vm: str,
) -> None:
    """Relay a request to the owner of its key, or to a daemon that may have a copy."""
    st.step(open_req, "relay")
    open_req.attempt += 1
    open_req.vm = to_vm
    open_req.excluded |= {to_vm}
    st.count("relays")
    st.explain(open_req.req.request_id, f"relay to {to_vm}", f"{owner} owns the key")
    envelope = make_envelope(st, now_s, open_req, str(owner))
    address = st.deployment.vms[to_vm].relay_address
    send_attempt(st, now_s, open_req, address, envelope)


def make_envelope(
    st: state.State, now_s: float, open_req: state.OpenRequest, owner: str = ""
) -> requests.Envelope:
    """Return the envelope with which the request is sent to another daemon."""
    before = open_req.req.envelope
    path = (*(before.path if before else ()), st.cfg.vm)
    return requests.Envelope(
        path=path,
        organisation=open_req.organisation.name,
        remaining_s=max(0.0, open_req.deadline_s - now_s),
        revision=residency.governing_revision(
            st, open_req.service, open_req.organisation
        ),
        is_relay=bool(owner),
        owner=owner,
    )


def send_attempt(
    st: state.State,
    now_s: float,
    open_req: state.OpenRequest,
    address: str,
    envelope: requests.Envelope | None,
) -> None:
    """Emit the effect that sends the current attempt."""
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
        is_at_most_once=open_req.is_at_most_once,
        has_content=service.has_content and open_req.req.method != "HEAD",
    )
    st.emit(attempt)
