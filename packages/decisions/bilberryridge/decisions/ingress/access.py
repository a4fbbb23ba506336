"""Whether a caller may send a request."""

from collections.abc import Mapping
from typing import Any

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import allotment_handlers, state


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


@attrs.frozen
class Waiting:
    """A request waits for tokens; `Allotments.take_settled` names it afterwards."""


def check(
    st: state.State, req: ingress.Request, route: ingress.Route, now_s: float
) -> ingress.Organisation | Denial | Waiting | None:
    """Return the organisation that a request is served for.

    Parameters
    ----------
    st : State
    req : Request
    route : Route
    now_s : float

    Returns
    -------
    Organisation or Denial or Waiting or None
        None where the routing table names no organisations or the route is public.
    """
    if st.table is None or not st.table.organisations or route.is_public:
        return None
    organisation = st.table.organisation_of_key(req.key_digest)
    if organisation is None:
        return None
    return _charge(st, req, route, organisation, now_s)


def _charge(
    st: state.State,
    req: ingress.Request,
    route: ingress.Route,
    organisation: ingress.Organisation,
    now_s: float,
) -> ingress.Organisation | Denial | Waiting:
    """Count a request for its organisation, which is allowed to send it."""
    charge = allotment_handlers.charge(st, req, route, organisation, now_s)
    if isinstance(charge, allotment_handlers.Excess):
        return Denial(charge.reason, charge.log_fields, charge.retry_after_s)
    is_waiting = charge is allotment_handlers.Charge.WAITING
    return Waiting() if is_waiting else organisation
