"""Whether a caller may send a request."""

from collections.abc import Mapping
from typing import Any

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import configuration_proof, state


@attrs.frozen
class Denial:
    """A request is refused before it is placed.

    Parameters
    ----------
    reason : Reason
    log_fields : mapping
    retry_after_s : float or None
    """

    reason: outcomes.Reason
    log_fields: Mapping[str, Any] = attrs.field(factory=dict)
    retry_after_s: float | None = None


def check(
    st: state.State, req: ingress.Request, route: ingress.Route, now_s: float
) -> ingress.Organisation | Denial | None:
    """Return the organisation that a request is served for.

    Parameters
    ----------
    st : State
    req : Request
    route : Route
    now_s : float

    Returns
    -------
    Organisation or Denial or None
        None where the routing table names no organisations or the route is public.
    """
    unproven = _check_proof(st, req, route)
    if unproven is not None:
        return unproven
    return None


def _check_proof(
    st: state.State, req: ingress.Request, route: ingress.Route
) -> Denial | None:
    """Refuse a key, known or not, while the configuration isn't proven the newest."""
    if st.table is None or st.proof.is_valid(st.boot_s):
        return None
    if not configuration_proof.is_needed(st.table, route, req):
        return None
    age_s = st.proof.age_s(st.boot_s)
    return Denial(
        outcomes.Reason.CONFIGURATION_UNPROVEN,
        {"proof_age_s": None if age_s is None else round(age_s, 3)},
        st.proof.retry_after_s(st.boot_s, st.random_state),
    )
