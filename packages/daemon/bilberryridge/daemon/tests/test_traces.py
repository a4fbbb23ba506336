import io
import json
import logging
import queue

import pytest

from bilberryridge.configuration import settings
from bilberryridge.daemon import logs, request_history, traces

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"


@pytest.mark.parametrize(
    ("parent", "trace_id", "is_sampled"),
    [
        (f"00-{TRACE_ID}-b7ad6b7169203331-01", TRACE_ID, True),
        (f"00-{TRACE_ID}-b7ad6b7169203331-00", TRACE_ID, False),
        ("", None, True),
        ("00-zz-b7ad6b7169203331-01", None, True),
    ],
)
def test_span_continues_the_callers_trace(parent, trace_id, is_sampled):
    with traces.open_traces("vm-1") as request_traces:
        span = request_traces.begin("r1", "request", parent, {"service": "desk"})
        traceparent = traces.trace_parent(span)
        hop = request_traces.begin("r1", "attempt", traceparent)
        hop.end()
        span.end()
        (inner, outer) = request_traces.spans("r1")
    assert (inner.trace_id, inner.parent_id) == (outer.trace_id, outer.span_id)
    assert traceparent.startswith(f"00-{outer.trace_id}-{outer.span_id}-")
    # The lowest bit is the sampled flag; the next one flags a random trace id.
    assert int(traceparent[-2:], 16) & 1 == is_sampled
    assert trace_id in (None, outer.trace_id)
    assert outer.parent_id == ("b7ad6b7169203331" if trace_id else "")
    assert outer.attributes == (("service", "desk"),)
    assert outer.ended_s >= outer.began_s > 0


# Limits of the history, added items (request, item, bytes), and remaining items.
HISTORIES = [
    ((2, 10**6, 9), [("a", 1, 0), ("b", 2, 0), ("c", 3, 0)], {"b": (2,), "c": (3,)}),
    ((9, 1000, 9), [("a", 1, 300), ("b", 2, 300), ("b", 3, 0)], {"b": (2, 3)}),
    ((9, 10**6, 2), [("a", 1, 0), ("a", 2, 0), ("a", 3, 0)], {"a": (1, 2)}),
    ((9, 1000, 9), [("a", 1, 5000)], {}),
]


@pytest.mark.parametrize(("bounds", "added", "remaining"), HISTORIES)
def test_history_stays_within_its_limits(bounds, added, remaining):
    history = request_history.RequestHistory(*bounds)
    for request_id, item, n_bytes in added:
        history.add(request_id, item, n_bytes)
    stored = {request_id: history.items(request_id) for request_id in "abc"}
    assert {key: items for key, items in stored.items() if items} == remaining
    assert len(history) == len(remaining)
    assert history.n_bytes <= bounds[1]


def test_explanations_stay_within_the_byte_limit():
    history = request_history.RequestHistory(max_bytes=100_000)
    explanations = traces.Explanations(history, now_s=lambda: 3.0)
    for i in range(1000):
        explanations.add(f"r{i}", "placed", "x" * 10_000)
    assert history.n_bytes <= 100_000
    (step,) = explanations.steps("r999")
    assert (step.time_s, len(step.why)) == (3.0, traces.MAX_TEXT_LENGTH)
    assert explanations.steps("r0") == ()


def test_state_change_is_one_json_line():
    stream = io.StringIO()
    with logs.open_logs(settings.LogLevel.INFO, stream, "vm-1"):
        logs.log_state_change("peer", "vm-2", "up", "down")
        logs.LOGGER.debug("not written")
    (line,) = stream.getvalue().splitlines()
    fields = json.loads(line)
    assert fields.pop("time")
    assert fields == {
        "level": "INFO",
        "message": "peer vm-2: up -> down",
        "what": "peer",
        "subject": "vm-2",
        "before": "up",
        "after": "down",
        "vm": "vm-1",
    }


def test_record_over_the_limit_is_dropped_without_blocking():
    handler = logs.DroppingHandler(queue.Queue(1))
    for _ in range(3):
        handler.handle(logging.makeLogRecord({"msg": "x"}))
    assert handler.n_dropped == 2
