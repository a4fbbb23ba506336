"""Whether a request is sent again, within its own bounds and the retry budget."""

import enum

from bilberryridge.decisions.ingress import access, holding_back, state

MAX_ATTEMPTS = 8
"""Maximum attempts of one request, including those that reached no server."""
MIN_REMAINING_S = 0.03
"""Minimum time to the deadline for another attempt."""
MAX_LOST_BEGINNINGS = 2
"""Servers lost as they began to answer a request after which it is not sent again."""


class Obstacle(enum.Enum):
    """Why a request is not sent again."""

    ATTEMPTS = "attempts"
    LOST_BEGINNINGS = "lost beginnings"
    HELD_BACK = "held back"
    RELAYED = "relayed"
    """The daemon that its caller is connected to decides."""
    DEADLINE = "deadline"
    BUDGET = "budget"
    ACCESS = "access"
    """Its key was revoked, or its organisation may not use the route any more."""


def reserve(st: state.State, item: state.OpenRequest, now_s: float) -> bool:
    """Take a retry of a request from the budget; return whether it may be sent."""
    return may_retry(st, item, now_s) and take_budget(st, item, now_s)


def may_retry(st: state.State, item: state.OpenRequest, now_s: float) -> bool:
    """Return whether attempts and time are left, regardless of the retry budget."""
    obstacle = _find_obstacle(st, item, now_s)
    item.obstacle = obstacle.value if obstacle else ""
    return obstacle is None


def reserve_send(st: state.State, item: state.OpenRequest, now_s: float) -> bool:
    """Take what a further send needs; return whether the request may be placed.

    Only what may reach a server after the request has reached one is a retry.
    """
    if not _has_time(item, now_s):
        item.obstacle = Obstacle.DEADLINE.value
        return False
    return item.n_arrivals <= item.n_counted or take_budget(st, item, now_s)


def _has_time(item: state.OpenRequest, now_s: float) -> bool:
    remaining_s = item.deadline_s - now_s
    return remaining_s > MIN_REMAINING_S and item.n_attempts < MAX_ATTEMPTS


def take_budget(
    st: state.State, item: state.OpenRequest, now_s: float, fraction: float = 1.0
) -> bool:
    """Count a retry if that fraction of the budget allows it; return whether so."""
    if not st.budget.take(item.service.name, now_s, fraction):
        item.obstacle = Obstacle.BUDGET.value
        return False
    item.n_counted += 1
    return True


def _find_obstacle(
    st: state.State, item: state.OpenRequest, now_s: float
) -> Obstacle | None:
    if access.renew(st, item, now_s) is not None:
        return Obstacle.ACCESS
    if (
        item.n_server_attempts >= item.route.max_attempts
        or item.n_attempts >= MAX_ATTEMPTS
    ):
        return Obstacle.ATTEMPTS
    if item.n_lost_beginnings >= MAX_LOST_BEGINNINGS:
        return Obstacle.LOST_BEGINNINGS
    if holding_back.find(st, item.req, now_s) is not None:
        return Obstacle.HELD_BACK
    if item.req.is_relayed:
        return Obstacle.RELAYED
    if item.deadline_s - now_s <= MIN_REMAINING_S:
        return Obstacle.DEADLINE
    return None
