"""Handlers for queries of callers: the entry VMs and models that they may use."""

from bilberryridge.core import documents, outcomes
from bilberryridge.decisions import at_most_once, effects, entry_ranking, events, state

N_ENTRY_VMS = 5
RETRY_CONFIGURATION_S = 1.0


def on_entry_asked(st: state.State, now_s: float, event: events.EntryAsked) -> None:
    """Answer which entry VMs the caller should use."""
    organisation = _authenticate(st, event.request_id, event.caller_digest)
    if organisation is None:
        return
    ranked = entry_ranking.rank(
        organisation.name,
        _entry_vms(st, now_s),
        home_domain=_home_domain(st, organisation),
        home_region=organisation.home_region,
        allowed_regions=frozenset(organisation.regions),
        n=N_ENTRY_VMS,
        random_state=st.random_state,
    )
    answer = effects.AnswerEntry(
        event.request_id,
        tuple(_entry_vm(item) for item in ranked),
        entry_ranking.lifetime_s(st.random_state),
        st.issuer.prefix(now_s),
        at_most_once.PREFIX_VALID_S,
    )
    st.emit(answer)


def on_models_asked(st: state.State, now_s: float, event: events.ModelsAsked) -> None:
    """Answer which model services the caller may use in this region."""
    organisation = _authenticate(st, event.request_id, event.caller_digest)
    if organisation is None:
        return
    models = sorted(
        service.name
        for service in st.deployment.services.values()
        if service.kind is documents.ServiceKind.MODEL
        and st.cfg.region in st.deployment.allowed_regions(service, organisation)
    )
    st.emit(effects.AnswerModels(event.request_id, tuple(models)))


def _authenticate(
    st: state.State, request_id: str, digest: str
) -> documents.Organisation | None:
    if st.daemon_state == "starting":
        refuse_unconfigured(st, request_id)
        return None
    organisation = st.deployment.organisation_of(digest)
    if organisation is None:
        refusal = outcomes.Refusal(
            outcomes.Reason.UNAUTHENTICATED,
            outcomes.Outcome.NOT_RUN,
            "no organisation has this bearer token",
        )
        st.emit(effects.Refuse(request_id, refusal))
    return organisation


def refuse_unconfigured(st: state.State, request_id: str) -> None:
    """Refuse a query because this daemon has no configuration yet."""
    refusal = outcomes.Refusal(
        outcomes.Reason.NO_CONFIGURATION,
        outcomes.Outcome.NOT_RUN,
        "this daemon has no configuration yet",
        st.jittered(RETRY_CONFIGURATION_S),
    )
    st.emit(effects.Refuse(request_id, refusal))


def _entry_vms(st: state.State, now_s: float) -> list[entry_ranking.EntryCandidate]:
    candidates = []
    for vm in st.deployment.vms.values():
        if vm.kind is not documents.VmKind.ENTRY:
            continue
        peer = st.members.peer(vm.name)
        is_local = vm.name == st.cfg.vm
        is_leaving = _is_leaving(st, vm)
        is_available = st.is_available(now_s, vm)
        candidates.append(
            entry_ranking.EntryCandidate(
                vm,
                vm.domain,
                st.deployment.region_of(vm.domain),
                is_available and not is_leaving,
                len(st.open_requests) if is_local else (peer.n_open if peer else 0),
            )
        )
    return candidates


def _is_leaving(st: state.State, vm: documents.Vm) -> bool:
    if vm.is_draining:
        return True
    if vm.name == st.cfg.vm:
        return st.daemon_state != "serving"
    return st.members.is_leaving_daemon(vm.name)


def _entry_vm(item: entry_ranking.EntryCandidate) -> effects.EntryVm:
    return effects.EntryVm(item.vm.name, item.domain, item.region, item.vm.address)


def _home_domain(st: state.State, organisation: documents.Organisation) -> str:
    # A caller that asks in its home region stays in the domain that it reached.
    is_home = organisation.home_region == st.cfg.region
    return st.cfg.domain if is_home else ""
