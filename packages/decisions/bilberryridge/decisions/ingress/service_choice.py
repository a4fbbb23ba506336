"""Which of a route's services gets a request."""

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import state


def choose(
    st: state.State,
    table: ingress.RoutingTable,
    route: ingress.Route,
    req: ingress.Request,
) -> ingress.Service | None:
    """Return the service of a request; None if its stream can't go on on the route."""
    if req.origin is None:
        return _draw(st, table, route)
    name = req.origin.service
    if all(share.service != name for share in route.shares):
        return None
    return table.services.get(name) or ingress.Service(name)


def _draw(
    st: state.State, table: ingress.RoutingTable, route: ingress.Route
) -> ingress.Service:
    weights = [share.weight for share in route.shares]
    names = [share.service for share in route.shares]
    name = names[0]
    if len(names) > 1 and sum(weights) > 0:
        name = st.random_state.choices(names, weights)[0]
    return table.services.get(name) or ingress.Service(name)
