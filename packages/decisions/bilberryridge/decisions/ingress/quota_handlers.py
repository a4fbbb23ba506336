"""Handlers of what quotas need: charges, messages, daemons, time."""

import enum
from collections.abc import Mapping
from typing import Any

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    division_messages,
    effects,
    quotas,
    state,
    token_exchange,
)

STOPPING_RETRY_AFTER_S = 0.05
"""Retry-After of a stopping daemon that has too few tokens."""
COUNTS_INTERVAL_S = 1.0
"""Interval at which counts are passed on to the metrics."""


class Charge(enum.Enum):
    """What becomes of a request that is within its quota as far as is known."""

    TAKEN = "taken"
    WAITING = "waiting"


@attrs.frozen
class Excess:
    """A request is over the quota of its organisation, as far as is known here.

    Parameters
    ----------
    reason : Reason
    log_fields : mapping
    retry_after_s : float
    """

    reason: outcomes.Reason
    log_fields: Mapping[str, Any]
    retry_after_s: float


def charge(
    st: state.State,
    req: ingress.Request,
    route: ingress.Route,
    organisation: ingress.Organisation,
    now_s: float,
) -> Charge | Excess:
    """Count a request for its organisation, once however often it is placed.

    The daemon that a relayed request's caller is connected to has counted it.
    """
    quota = organisation.quota
    if quota is None or quota.rate_per_s <= 0 or req.is_relayed:
        return Charge.TAKEN
    if req.id in st.quotas.charges:
        return Charge.TAKEN
    name = organisation.name
    n_tokens = max(0.0, quota.cost(req.n_stated_tokens))
    wait_s = quotas.wait_s(route.latency_goal_s)
    verdict = st.quotas.take(req.id, name, n_tokens, wait_s, now_s)
    send_messages(st)
    if verdict is token_exchange.Verdict.REFUSED:
        return excess(st, organisation, n_tokens, now_s)
    return Charge.TAKEN if verdict is None else Charge.WAITING


def excess(
    st: state.State, organisation: ingress.Organisation, n_tokens: float, now_s: float
) -> Excess:
    """Return the refusal of a request for which there are no tokens."""
    name = organisation.name
    log_fields = {
        **st.quotas.log_fields(name, now_s),
        "n_tokens": round(n_tokens, 1),
    }
    if st.is_stopping:
        # It has no links any more; other entry VMs have the tokens.
        return Excess(outcomes.Reason.STOPPING, log_fields, STOPPING_RETRY_AFTER_S)
    retry_after_s = st.quotas.retry_after_s(name, n_tokens, now_s)
    return Excess(outcomes.Reason.OVER_QUOTA, log_fields, retry_after_s)


def on_message(
    st: state.State, vm: str, message: division_messages.Message, now_s: float
) -> None:
    """Apply a message of another daemon."""
    st.quotas.on_message(vm, message, now_s)
    send_messages(st)


def on_link_up(st: state.State, vm: str, now_s: float) -> None:
    """Tell a newly linked daemon which others are counted."""
    if st.quotas.is_in_use:
        update_daemons(st, now_s)
        st.quotas.greet(vm, now_s)
        send_messages(st)


def update_daemons(st: state.State, now_s: float) -> None:
    """Count the daemons that divide the quotas."""
    if not st.quotas.is_in_use:
        return
    seen = [entry.name for entry in st.members.link_targets(now_s)]
    linked = {entry.name: entry.region for entry in st.members.linked()}
    st.quotas.update_daemons(seen, linked, now_s)


def on_table(st: state.State, now_s: float) -> None:
    """Apply the limits of another routing table."""
    assert st.table is not None
    was_in_use = st.quotas.is_in_use
    st.quotas.set_organisations(st.table.organisations, now_s)
    if st.quotas.is_in_use and not was_in_use:
        update_daemons(st, now_s)


def on_tick(st: state.State, now_s: float) -> None:
    """Go on with what is asked for, and pass counts on."""
    if not st.quotas.is_in_use:
        return
    st.quotas.on_tick(now_s)
    send_messages(st)
    if now_s - st.quotas_counted_s >= COUNTS_INTERVAL_S:
        st.quotas_counted_s = now_s
        for name, counts in st.quotas.take_counts().items():
            st.emit(effects.CountQuota(name, counts))


def send_messages(st: state.State) -> None:
    """Send what is to be said to other daemons."""
    for vm, message in st.quotas.take_messages():
        st.emit(effects.SendPeerMessage(vm, message))
