"""Spans and explanations of the latest requests, in bounded memory.

References
----------
W3C Trace Context; OpenTelemetry's tracing API.

See Also
--------
bilberryridge.daemon.operators : hands them to operators.
"""

import contextlib
import time
from collections.abc import Callable, Iterator, Mapping, Sequence

import attrs
from opentelemetry import context, trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import sampling
from opentelemetry.trace.propagation import tracecontext
from opentelemetry.util import types

from bilberryridge.daemon import rings

REQUEST_ID = "request.id"
VM = "vm.name"
MAX_TEXT_LENGTH = 500
SPAN_BYTES = 400

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


@attrs.frozen
class SpanRecord:
    """A span that ended.

    Parameters
    ----------
    vm, name : str
    trace_id, span_id, parent_id : str
        Hexadecimal; `parent_id` is empty for the first span of a trace.
    began_s, ended_s : float
        Since the epoch.
    attributes : tuple of (str, str)
    """

    vm: str
    name: str
    trace_id: str
    span_id: str
    parent_id: str
    began_s: float
    ended_s: float
    attributes: tuple[tuple[str, str], ...]


@attrs.frozen
class Explanation:
    """One step of a request's way and why.

    Parameters
    ----------
    time_s : float
        Since the epoch, so that steps at several VMs can be put in order.
    step, why : str
    """

    time_s: float
    step: str
    why: str


class Explanations:
    """The steps of the latest requests.

    Parameters
    ----------
    now_s : callable
        Clock since the epoch.

    Examples
    --------
    >>> explanations = Explanations(now_s=lambda: 5.0)
    >>> explanations.add("r1", "placed", "the least loaded")
    >>> explanations.steps("r1")
    (Explanation(time_s=5.0, step='placed', why='the least loaded'),)
    """

    def __init__(
        self,
        ring: rings.RequestRing[Explanation] | None = None,
        now_s: Callable[[], float] = time.time,
    ):
        self._ring = ring if ring is not None else rings.RequestRing()
        self._now_s = now_s

    def add(self, request_id: str, step: str, why: str) -> None:
        """Keep a step; long texts are cut."""
        step, why = step[:MAX_TEXT_LENGTH], why[:MAX_TEXT_LENGTH]
        found = Explanation(self._now_s(), step, why)
        self._ring.add(request_id, found, len(step) + len(why))

    def steps(self, request_id: str) -> tuple[Explanation, ...]:
        """The steps of a request, oldest first; empty when it is not known."""
        return self._ring.items(request_id)


class RecordAllSampler(sampling.Sampler):
    """Records each span here, and keeps the caller's sampling flag for others."""

    def should_sample(
        self,
        parent_context: context.Context | None,
        trace_id: int,
        name: str,
        kind: trace.SpanKind | None = None,
        attributes: types.Attributes = None,
        links: Sequence[trace.Link] | None = None,
        trace_state: trace.TraceState | None = None,
    ) -> sampling.SamplingResult:
        """Decide on one span."""
        parent = trace.get_current_span(parent_context).get_span_context()
        is_unsampled = parent.is_valid and not parent.trace_flags.sampled
        decision = sampling.Decision.RECORD_AND_SAMPLE
        if is_unsampled:
            decision = sampling.Decision.RECORD_ONLY
        return sampling.SamplingResult(decision, attributes, parent.trace_state)

    def get_description(self) -> str:
        """Name the sampler."""
        return "RecordAllSampler"


class RingProcessor(sdk_trace.SpanProcessor):
    """Keeps spans that ended in a ring."""

    def __init__(self, vm: str, ring: rings.RequestRing[SpanRecord]):
        self._vm = vm
        self._ring = ring

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Keep a span."""
        attributes = dict(span.attributes or {})
        request_id = str(attributes.pop(REQUEST_ID, ""))
        record = _make_record(self._vm, span, attributes)
        n_bytes = sum(len(key) + len(text) for key, text in record.attributes)
        self._ring.add(request_id, record, n_bytes + SPAN_BYTES)


def _make_record(
    vm: str, span: sdk_trace.ReadableSpan, attributes: Mapping[str, object]
) -> SpanRecord:
    found = span.get_span_context()
    assert found is not None
    return SpanRecord(
        vm=vm,
        name=span.name,
        trace_id=trace.format_trace_id(found.trace_id),
        span_id=trace.format_span_id(found.span_id),
        parent_id=trace.format_span_id(span.parent.span_id) if span.parent else "",
        began_s=(span.start_time or 0) / 1e9,
        ended_s=(span.end_time or 0) / 1e9,
        attributes=tuple(
            (key, str(value)[:MAX_TEXT_LENGTH]) for key, value in attributes.items()
        ),
    )


class Traces:
    """Makes the spans of a daemon, one for each hop.

    Examples
    --------
    >>> with open_traces("vm-1") as traces:
    ...     span = traces.begin("r1", "request")
    ...     hop = traces.begin("r1", "attempt", trace_parent(span))
    ...     hop.end()
    ...     span.end()
    ...     [record.name for record in traces.spans("r1")]
    ['attempt', 'request']
    """

    def __init__(self, tracer: trace.Tracer, ring: rings.RequestRing[SpanRecord]):
        self._tracer = tracer
        self._ring = ring

    def begin(
        self,
        request_id: str,
        name: str,
        parent: str = "",
        attributes: Mapping[str, str] | None = None,
    ) -> trace.Span:
        """Begin a span; the caller ends it.

        Parameters
        ----------
        request_id, name : str
        parent : str
            W3C `traceparent`; a bad or empty one begins a new trace.
        attributes : mapping of str to str, optional
        """
        carried = PROPAGATOR.extract({"traceparent": parent}, context.Context())
        values: dict[str, types.AttributeValue] = {REQUEST_ID: request_id}
        values.update(attributes or {})
        return self._tracer.start_span(name, context=carried, attributes=values)

    def spans(self, request_id: str) -> tuple[SpanRecord, ...]:
        """The spans of a request that ended, in the order in which they did."""
        return self._ring.items(request_id)


def trace_parent(span: trace.Span) -> str:
    """The W3C `traceparent` by which the next hop continues a span."""
    carrier: dict[str, str] = {}
    PROPAGATOR.inject(carrier, trace.set_span_in_context(span, context.Context()))
    return carrier.get("traceparent", "")


@contextlib.contextmanager
def open_traces(
    vm: str, ring: rings.RequestRing[SpanRecord] | None = None
) -> Iterator[Traces]:
    """Make the traces of a daemon."""
    ring = ring if ring is not None else rings.RequestRing()
    provider = sdk_trace.TracerProvider(
        sampler=RecordAllSampler(),
        resource=resources.Resource({VM: vm}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(RingProcessor(vm, ring))
    try:
        yield Traces(provider.get_tracer("bilberryridge"), ring)
    finally:
        provider.shutdown()
