"""Candidates of a placement and its result.

See Also
--------
bilberryridge.decisions.placement : makes the choice.
"""

import attrs

from bilberryridge.core import documents, messages
from bilberryridge.decisions import rendezvous

DOMAIN_PRICE_S = 0.2


@attrs.frozen
class Candidate:
    """A backend server that may take the request.

    Parameters
    ----------
    vm : documents.Vm
    is_local : bool
        Whether it is in this daemon's failure domain.
    domain, region : str
    one_way_s : float
        Delay of the link to it.
    seed : int
        Hash of its name, for rendezvous hashing.
    """

    vm: documents.Vm
    is_local: bool
    domain: str
    region: str
    one_way_s: float = 0.0
    seed: int = attrs.field(init=False, repr=False, eq=False)

    @seed.default
    def _seed(self) -> int:
        return rendezvous.seed(self.vm.name)


@attrs.frozen
class RemoteDomain:
    """Another failure domain with live daemons that may serve the request.

    Parameters
    ----------
    domain, region : str
    one_way_s : float
    summary : messages.ServiceSummary
        Its capacity for the request's service.
    price_s : float
        Price of the traffic to it, in seconds of server time for a request.
    received_s : float or None
        Time at which the summary was received; None if its age is up to date.
    """

    domain: str
    region: str
    one_way_s: float
    summary: messages.ServiceSummary
    price_s: float = DOMAIN_PRICE_S
    received_s: float | None = None


@attrs.frozen
class ServerChoice:
    """Send the request to a backend server.

    Parameters
    ----------
    server : str
    cost : float
        Weighted cost in seconds.
    why : str
        Reason in one line, for operators.
    n_prefill_tokens : int
        Prompt tokens that the server has to compute, for `loads.LoadTable.on_sent`.
    """

    server: str
    cost: float
    why: str
    n_prefill_tokens: int = 0

    @property
    def load_key(self) -> str:
        """Name under which the load table counts the request."""
        return self.server


def remote_key(domain: str, service: str) -> str:
    """Name of a service of another failure domain in the load table.

    Examples
    --------
    >>> remote_key("palermo-a", "banco-modello")
    'palermo-a/banco-modello'
    """
    return f"{domain}/{service}"


@attrs.frozen
class DomainChoice:
    """Forward the request to another failure domain.

    Parameters
    ----------
    domain, service : str
    cost : float
    why : str
    """

    domain: str
    service: str
    cost: float
    why: str

    @property
    def load_key(self) -> str:
        """Name under which the load table counts the request."""
        return remote_key(self.domain, self.service)


Choice = ServerChoice | DomainChoice
