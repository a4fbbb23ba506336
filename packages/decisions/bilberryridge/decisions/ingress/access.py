"""Whether a caller may send a request."""

from collections.abc import Mapping
from typing import Any

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import state


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
    assert st.table is not None
    if not st.table.organisations or route.is_public:
        return None
    return st.table.organisation_of_key(req.key_digest)
