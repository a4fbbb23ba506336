"""Trace spans of the requests that are open at this daemon.

Each request has one span, and each attempt has a child span, which the next hop uses as
its parent.

See Also
--------
bilberryridge.daemon.traces : creates spans and stores the ended ones.
"""

import attrs
from opentelemetry import trace

from bilberryridge.core import requests
from bilberryridge.daemon import traces as traces_module
from bilberryridge.decisions import effects, events


class Spans:
    """Open spans of requests and attempts.

    Parameters
    ----------
    traces : Traces
    """

    def __init__(self, traces: traces_module.Traces):
        self._traces = traces
        self._requests: dict[str, trace.Span] = {}
        self._attempts: dict[tuple[str, int], trace.Span] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def on_arrived(self, req: requests.Request) -> None:
        """Start the span of a request."""
        attributes = {"service": req.service, "method": req.method}
        if req.envelope is not None:
            attributes["path"] = " ".join(req.envelope.path)
        span = self._traces.begin(
            req.request_id, "request", req.trace_parent, attributes
        )
        self._requests[req.request_id] = span

    def on_attempt(self, effect: effects.SendAttempt) -> effects.SendAttempt:
        """Start the span of an attempt; return the attempt with its trace parent."""
        parent = self._requests.get(effect.request_id)
        traceparent = traces_module.trace_parent(parent) if parent is not None else ""
        attributes = {"to": effect.vm, "attempt": str(effect.attempt)}
        span = self._traces.begin(effect.request_id, "attempt", traceparent, attributes)
        self._attempts[effect.request_id, effect.attempt] = span
        return attrs.evolve(effect, trace_parent=traces_module.trace_parent(span))

    def on_attempt_ended(self, event: events.AttemptEnded) -> None:
        """End the span of an attempt."""
        span = self._attempts.pop((event.request_id, event.attempt), None)
        if span is not None:
            span.set_attribute("result", event.result.value)
            span.end()

    def on_closed(self, request_id: str, end_reason: str) -> None:
        """End the spans of a request and of its attempts."""
        span = self._requests.pop(request_id, None)
        if span is None:
            return
        span.set_attribute("end", end_reason)
        span.end()
        for key in [key for key in self._attempts if key[0] == request_id]:
            self._attempts.pop(key).end()
