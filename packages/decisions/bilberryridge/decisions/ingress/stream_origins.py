"""Where the streams began that callers may take up: service and software version.

A caller whose stream breaks off may take it up at any daemon. The daemon must then know
the version that began it, as no other can continue it.
"""

import collections
from collections.abc import Iterable

import attrs

from bilberryridge.core import ingress

KEEP_S = 60.0
"""How long a stream is remembered; callers wait some 15 s for a whole answer."""
MAX_STREAMS = 20_000
"""Streams that are remembered, some 300 bytes each; the oldest yield."""
MAX_ID_CHARS = 80
"""Callers choose the ids; streams with longer ones aren't remembered."""


@attrs.frozen
class StreamRecord:
    """A stream that has begun.

    Parameters
    ----------
    id : str
        `caller_request_id` of the request that brought its first event.
    origin : StreamOrigin
    """

    id: str
    origin: ingress.StreamOrigin


@attrs.define
class _Remembered:
    """A stream; its origin is None if two streams have the same id.

    `vm` is the daemon at which it began; empty if only the store told it.
    """

    origin: ingress.StreamOrigin | None
    vm: str
    at_s: float


class StreamOrigins:
    """The streams that began lately at this daemon or at others.

    Parameters
    ----------
    local_vm : str

    Examples
    --------
    >>> origins = StreamOrigins("vm-1")
    >>> origin = ingress.StreamOrigin("model", "v1")
    >>> origins.record(StreamRecord("a", origin), 10.0)
    >>> origins.find("a"), origins.find("b")
    (StreamOrigin(service='model', version='v1'), None)
    >>> origins.take_unreported()
    (StreamRecord(id='a', origin=StreamOrigin(service='model', version='v1')),)
    >>> other = ingress.StreamOrigin("model", "v2")
    >>> origins.learn([StreamRecord("a", other)], "vm-2", 11.0)
    >>> origins.find("a") is None
    True
    """

    def __init__(self, local_vm: str):
        self._local_vm = local_vm
        self._by_id: collections.OrderedDict[str, _Remembered] = (
            collections.OrderedDict()
        )
        self._unreported: list[StreamRecord] = []
        self._unsaved: collections.OrderedDict[str, StreamRecord] = (
            collections.OrderedDict()
        )
        self._n_by_origin: collections.Counter[ingress.StreamOrigin] = (
            collections.Counter()
        )

    def record(self, stream: StreamRecord, now_s: float) -> None:
        """Record a stream that began, or was taken up, at this daemon."""
        if not stream.id or len(stream.id) > MAX_ID_CHARS:
            return
        self._remember(stream, self._local_vm, now_s)
        self._unreported.append(stream)
        self._unsaved[stream.id] = stream
        if len(self._unsaved) > MAX_STREAMS:
            self._unsaved.popitem(last=False)

    def learn(self, streams: Iterable[StreamRecord], vm: str, now_s: float) -> None:
        """Record streams that began at another daemon; `vm` is empty if unknown."""
        for stream in streams:
            if stream.id and len(stream.id) <= MAX_ID_CHARS:
                self._remember(stream, vm, now_s)

    def find(self, stream_id: str) -> ingress.StreamOrigin | None:
        """Return the origin of a stream; None if it is unknown or ambiguous."""
        remembered = self._by_id.get(stream_id)
        return remembered.origin if remembered else None

    def origins_of(self, service: str) -> set[ingress.StreamOrigin]:
        """Return the origins of the remembered streams of a service."""
        return {o for o, n in self._n_by_origin.items() if n and o.service == service}

    def begun_at(self, *vms: str) -> tuple[StreamRecord, ...]:
        """Return the streams that began at some daemons."""
        return tuple(
            StreamRecord(stream_id, each.origin)
            for stream_id, each in self._by_id.items()
            if each.vm in vms and each.origin is not None
        )

    def take_unreported(self) -> tuple[StreamRecord, ...]:
        """Return the own streams that other daemons haven't been told of."""
        taken, self._unreported = self._unreported, []
        return tuple(taken)

    def take_unsaved(self, services: frozenset[str]) -> tuple[StreamRecord, ...]:
        """Return the own streams of some services that the store hasn't been given."""
        taken = [s for s in self._unsaved.values() if s.origin.service in services]
        for stream in taken:
            del self._unsaved[stream.id]
        return tuple(taken)

    def remove_expired(self, now_s: float) -> None:
        """Remove the streams that began too long ago to be taken up."""
        while self._by_id:
            stream_id, oldest = next(iter(self._by_id.items()))
            if now_s - oldest.at_s < KEEP_S and len(self._by_id) <= MAX_STREAMS:
                return
            del self._by_id[stream_id]
            self._unsaved.pop(stream_id, None)
            self._count(oldest.origin, -1)

    def _remember(self, stream: StreamRecord, vm: str, now_s: float) -> None:
        before = self._by_id.pop(stream.id, None)
        origin: ingress.StreamOrigin | None = stream.origin
        if before is not None:
            self._count(before.origin, -1)
            if before.origin != origin:
                origin = None
            vm = vm or before.vm
        self._count(origin, 1)
        self._by_id[stream.id] = _Remembered(origin, vm, now_s)

    def _count(self, origin: ingress.StreamOrigin | None, n: int) -> None:
        if origin is not None:
            self._n_by_origin[origin] += n
            if not self._n_by_origin[origin]:
                del self._n_by_origin[origin]
