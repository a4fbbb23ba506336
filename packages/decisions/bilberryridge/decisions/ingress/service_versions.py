"""Software versions of the registered backend servers of all regions.

Servers of several versions of one service may serve at the same time. What two versions
write of one stream doesn't fit together.
"""

from collections.abc import Iterable, Mapping

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import stream_origins


class ServiceVersions:
    """Which versions of which service each region has, and had lately.

    Parameters
    ----------
    region_by_domain : mapping of str to str

    Examples
    --------
    >>> versions = ServiceVersions({"d1": "east"})
    >>> server = ingress.BackendServer("i-1", "model", "a:1", "d1", version="v2")
    >>> versions.update([server], now_s=10.0)
    >>> versions.serves("east", ingress.StreamOrigin("model", "v2"))
    True
    >>> versions.serves("east", ingress.StreamOrigin("model", "v1"))
    False
    >>> versions.update([], now_s=11.0)
    >>> versions.recent("model")
    {StreamOrigin(service='model', version='v2')}
    """

    def __init__(self, region_by_domain: Mapping[str, str]):
        self._region_by_domain = region_by_domain
        self._serving: frozenset[tuple[str | None, ingress.StreamOrigin]] = frozenset()
        self._registered: frozenset[ingress.StreamOrigin] = frozenset()
        self._left_s: dict[ingress.StreamOrigin, float] = {}

    def update(self, servers: Iterable[ingress.BackendServer], now_s: float) -> None:
        """Apply the list of registered servers."""
        servers = list(servers)
        before = self._registered
        self._serving = frozenset(
            (self._region_by_domain.get(server.domain), _origin(server))
            for server in servers
            if not server.is_leaving
        )
        self._registered = frozenset(_origin(server) for server in servers)
        for origin in before - self._registered:
            self._left_s[origin] = now_s
        for origin, left_s in list(self._left_s.items()):
            if now_s - left_s >= stream_origins.KEEP_S:
                del self._left_s[origin]

    def serves(self, region: str, origin: ingress.StreamOrigin) -> bool:
        """Return whether a region has a server that can continue a stream."""
        return (region, origin) in self._serving

    def is_served(self, origin: ingress.StreamOrigin) -> bool:
        """Return whether any region has a server that can continue a stream."""
        return any(serving == origin for _, serving in self._serving)

    def recent(self, service: str) -> set[ingress.StreamOrigin]:
        """Return what has begun streams of a service that may still be taken up."""
        origins = self._registered | self._left_s.keys()
        return {origin for origin in origins if origin.service == service}


def _origin(server: ingress.BackendServer) -> ingress.StreamOrigin:
    return ingress.StreamOrigin(server.service, server.version)
