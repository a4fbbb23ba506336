"""Spans and decision steps of recent requests, in bounded memory.

References
----------
W3C Trace Context; OpenTelemetry's tracing API.

See Also
--------
bilberryridge.daemon.operators : serves them to operators.
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

from bilberryridge.daemon import request_history

REQUEST_ID = "request.id"
VM = "vm.name"
MAX_TEXT_LENGTH = 500
SPAN_OVERHEAD_BYTES = 400

PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


@attrs.frozen
class SpanRecord:
    """An ended span.

    Parameters
    ----------
    vm, name : str
    trace_id, span_id, parent_id : str
        Hexadecimal; `parent_id` is empty for the first span of a trace.
    began_s, ended_s : float
        Seconds since the epoch.
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
    """One step in the handling of a request, and the reason for it.

    Parameters
    ----------
    time_s : float
        Seconds since the epoch, so that steps of several VMs can be sorted.
    step, why : str
    """

    time_s: float
    step: str
    why: str


class Explanations:
    """The steps of recent requests.

    Parameters
    ----------
    now_s : callable
        Returns the seconds since the epoch.

    Examples
    --------
    >>> explanations = Explanations(now_s=lambda: 5.0)
    >>> explanations.add("r1", "placed", "the least loaded")
    >>> explanations.steps("r1")
    (Explanation(time_s=5.0, step='placed', why='the least loaded'),)
    """

    def __init__(
        self,
        history: request_history.RequestHistory[Explanation] | None = None,
        now_s: Callable[[], float] = time.time,
    ):
        self._history = (
            history if history is not None else request_history.RequestHistory()
        )
        self._now_s = now_s

    def add(self, request_id: str, step: str, why: str) -> None:
        """Store a step; long texts are truncated."""
        step, why = step[:MAX_TEXT_LENGTH], why[:MAX_TEXT_LENGTH]
        explanation = Explanation(self._now_s(), step, why)
        self._history.add(request_id, explanation, len(step) + len(why))

    def steps(self, request_id: str) -> tuple[Explanation, ...]:
        """Return the steps of a request, oldest first; empty for an unknown request."""
        return self._history.items(request_id)


class RecordAllSampler(sampling.Sampler):
    """Records every span locally and passes the caller's sampling flag on."""

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
        """Record the span; sample it unless its parent is not sampled."""
        parent = trace.get_current_span(parent_context).get_span_context()
        is_unsampled = parent.is_valid and not parent.trace_flags.sampled
        decision = sampling.Decision.RECORD_AND_SAMPLE
        if is_unsampled:
            decision = sampling.Decision.RECORD_ONLY
        return sampling.SamplingResult(decision, attributes, parent.trace_state)

    def get_description(self) -> str:
        """Return the name of the sampler."""
        return "RecordAllSampler"


class HistorySpanProcessor(sdk_trace.SpanProcessor):
    """Stores ended spans in a request history."""

    def __init__(self, vm: str, history: request_history.RequestHistory[SpanRecord]):
        self._vm = vm
        self._history = history

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Store an ended span."""
        attributes = dict(span.attributes or {})
        request_id = str(attributes.pop(REQUEST_ID, ""))
        record = _make_record(self._vm, span, attributes)
        n_bytes = sum(len(key) + len(text) for key, text in record.attributes)
        self._history.add(request_id, record, n_bytes + SPAN_OVERHEAD_BYTES)


def _make_record(
    vm: str, span: sdk_trace.ReadableSpan, attributes: Mapping[str, object]
) -> SpanRecord:
    span_context = span.get_span_context()
    assert span_context is not None
    return SpanRecord(
        vm=vm,
        name=span.name,
        trace_id=trace.format_trace_id(span_context.trace_id),
        span_id=trace.format_span_id(span_context.span_id),
        parent_id=trace.format_span_id(span.parent.span_id) if span.parent else "",
        began_s=(span.start_time or 0) / 1e9,
        ended_s=(span.end_time or 0) / 1e9,
        attributes=tuple(
            (key, str(value)[:MAX_TEXT_LENGTH]) for key, value in attributes.items()
        ),
    )


class Traces:
    """Starts the spans of a daemon and stores the ended ones.

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

    def __init__(
        self, tracer: trace.Tracer, history: request_history.RequestHistory[SpanRecord]
    ):
        self._tracer = tracer
        self._history = history

    def begin(
        self,
        request_id: str,
        name: str,
        parent: str = "",
        attributes: Mapping[str, str] | None = None,
    ) -> trace.Span:
        """Start a span; the caller of this method ends it.

        Parameters
        ----------
        request_id, name : str
        parent : str
            W3C `traceparent`; an invalid or empty value starts a new trace.
        attributes : mapping of str to str, optional
        """
        parent_context = PROPAGATOR.extract({"traceparent": parent}, context.Context())
        values: dict[str, types.AttributeValue] = {REQUEST_ID: request_id}
        values.update(attributes or {})
        return self._tracer.start_span(name, context=parent_context, attributes=values)

    def spans(self, request_id: str) -> tuple[SpanRecord, ...]:
        """Return the ended spans of a request, in the order of their end."""
        return self._history.items(request_id)


def trace_parent(span: trace.Span) -> str:
    """Return the W3C `traceparent` that makes a span the parent at the next hop."""
    carrier: dict[str, str] = {}
    PROPAGATOR.inject(carrier, trace.set_span_in_context(span, context.Context()))
    return carrier.get("traceparent", "")


@contextlib.contextmanager
def open_traces(
    vm: str, history: request_history.RequestHistory[SpanRecord] | None = None
) -> Iterator[Traces]:
    """Create the traces of a daemon; shut the tracer down at the end."""
    history = history if history is not None else request_history.RequestHistory()
    provider = sdk_trace.TracerProvider(
        sampler=RecordAllSampler(),
        resource=resources.Resource({VM: vm}),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(HistorySpanProcessor(vm, history))
    try:
        yield Traces(provider.get_tracer("bilberryridge"), history)
    finally:
        provider.shutdown()
