"""Whether a caller may send a request, by its key.

The same check decides on a request's head, on its arrival and before each further
attempt, so that these can't disagree.
"""

from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    configuration_proof,
    quota_handlers,
    state,
)

N_LOGGED_DIGEST_CHARS = 8
"""Hexadecimal digits of a key's digest in the log: enough for an operator who has the
key to find its lines, too few to try keys out against."""


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
    """A request waits for tokens; `Quotas.take_settled` names it afterwards."""


def check(
    st: state.State, req: ingress.Request, route: ingress.Route, now_s: float
) -> ingress.Organisation | Denial | None:
    """Return the organisation that a request is served for.

    It changes no state, and may be called several times for one request.

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
    table = st.table
    if table is None or not table.organisations or route.is_public:
        return None
    organisation = table.organisation_of_key(req.key_digest)
    if organisation is None:
        return Denial(outcomes.Reason.UNAUTHENTICATED, _log_fields(req, table))
    home_regions = organisation.allowed_regions
    is_bound_by_both = home_regions and route.allowed_regions
    if is_bound_by_both and home_regions.isdisjoint(route.allowed_regions):
        # Coming back is of no use before the configuration changes.
        log_fields = {
            "organisation": organisation.name,
            "cause": "no common home region",
        }
        return Denial(outcomes.Reason.NO_SERVER, log_fields)
    return organisation


def check_proof(
    st: state.State, req: ingress.Request, route: ingress.Route
) -> Denial | None:
    """Refuse a key, known or not, while the configuration isn't proven the newest.

    Asked when a request arrives, before its key is looked up; further attempts of a
    request that has been accepted need no proof.

    Parameters
    ----------
    st : State
    req : Request
    route : Route

    Returns
    -------
    Denial or None
        None if the key may be looked up.
    """
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


def charge(
    st: state.State,
    req: ingress.Request,
    route: ingress.Route,
    organisation: ingress.Organisation | None,
    now_s: float,
) -> Denial | Waiting | None:
    """Take what a request costs from the quota of its organisation.

    Called once for each request that is to be placed, after all else was checked.

    Parameters
    ----------
    st : State
    req : Request
    route : Route
    organisation : Organisation or None
    now_s : float

    Returns
    -------
    Denial or Waiting or None
        None if the request may be placed.
    """
    if organisation is None:
        return None
    charged = quota_handlers.charge(st, req, route, organisation, now_s)
    if isinstance(charged, quota_handlers.Excess):
        return Denial(charged.reason, charged.log_fields, charged.retry_after_s)
    return Waiting() if charged is quota_handlers.Charge.WAITING else None


def renew(st: state.State, item: state.OpenRequest, now_s: float) -> Denial | None:
    """Check an open request again, by the table in force, before a further attempt.

    The proof counts when a request arrives: the bound is on when it was sent, and an
    outage of the store must not end streams that have begun.

    Parameters
    ----------
    st : State
    item : OpenRequest
        Gets the organisation that holds its key now.
    now_s : float

    Returns
    -------
    Denial or None
        Why no further attempt may be made; None if one may.
    """
    route = st.table and st.table.find(item.req.host, item.req.path)
    checked = check(st, item.req, route or item.route, now_s)
    if isinstance(checked, Denial):
        return checked
    item.organisation = checked
    return None


def name_for_server(st: state.State, item: state.OpenRequest) -> str | None:
    """Return what `effects.SendToServer.organisation` is for a request."""
    if st.table is None or not st.table.organisations:
        return None
    return item.organisation.name if item.organisation else ""


def digest_for_peer(st: state.State, item: state.OpenRequest) -> bytes | None:
    """Return what `effects.SendToPeer.key_digest` is for a request."""
    if st.table is None or not st.table.organisations:
        return None
    return item.req.key_digest if item.organisation else b""


def log_fields(item: state.OpenRequest) -> dict[str, Any]:
    """Return whom a request is served for, for the log."""
    return log_fields_of(item.organisation)


def log_fields_of(organisation: ingress.Organisation | None) -> dict[str, Any]:
    """Return whom a request is served for, for the log."""
    return {"organisation": organisation.name} if organisation else {}


def allowed_regions(
    routes: Sequence[ingress.Route], organisation: ingress.Organisation | None
) -> list[frozenset[str]]:
    """Return the regions that may serve an organisation on each route.

    Routes that any region may serve are left out.
    """
    home_regions = organisation.allowed_regions if organisation else frozenset()
    return [
        _common_regions(
            route.allowed_regions, frozenset() if route.is_public else home_regions
        )
        for route in routes
        if route.allowed_regions or (home_regions and not route.is_public)
    ]


def _common_regions(first: frozenset[str], second: frozenset[str]) -> frozenset[str]:
    """Return the regions that two sets allow; an empty set allows all regions."""
    return first & second if first and second else first or second


def _log_fields(req: ingress.Request, table: ingress.RoutingTable) -> dict[str, Any]:
    if not req.key_digest:
        return {"cause": "no key", "version": table.version}
    return {
        "cause": "unknown key",
        "key_digest": req.key_digest.hex()[:N_LOGGED_DIGEST_CHARS],
        "version": table.version,
    }
