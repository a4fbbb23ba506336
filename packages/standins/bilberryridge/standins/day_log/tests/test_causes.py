"""Classification of requests from log lines."""

import json

import pytest

from bilberryridge.standins.day_log import causes, reading

ID = {"vm": "vm-1", "request": "r1", "own_id": "1"}
SEND = {"message": "send to server", "route": "digest", "unread": 1_000, "after_s": 0.0}
TO_PEER = {"message": "send to peer", "route": "digest", "peer": "vm-2", "after_s": 0.0}
ENDED = {
    "message": "attempt ended",
    "result": "answered",
    "status": 200,
    "after_s": 2.0,
    "took_s": 2.0,
    "first_s": 0.4,
}
REFUSED = {"message": "refuse", "route": "digest", "reason": "no-capacity"}
LOST = {**ENDED, "result": "lost", "status": 0}


def traces(*lines, **changes):
    raw_lines = [
        f"12.5 vm-1 {json.dumps({'time': 100.0 + n, **ID, **line, **changes})}"
        for n, line in enumerate(lines)
    ]
    return reading.traces_of(reading.lines_of(["a table", "{broken", *raw_lines]))


CASES = [
    ([SEND, ENDED], 0.8, causes.FAST_ENOUGH),
    ([SEND, ENDED], None, causes.ANSWERED),
    ([SEND, {**ENDED, "first_s": 0.9}], 0.8, causes.LATE_QUEUED),
    ([{**SEND, "unread": 50_000}, {**ENDED, "first_s": 0.9}], 0.8, causes.LATE_PREFILL),
    ([SEND, LOST, SEND, {**ENDED, "first_s": 0.9}], 0.8, causes.LATE_RETRIED),
    ([SEND, {**ENDED, "status": 500}], 0.8, "the server's own 500"),
    ([SEND, LOST, REFUSED], 0.8, "refused: no-capacity"),
    (
        [SEND, {"message": "cut stream"}],
        0.8,
        f"{causes.STREAM_ABORTED}: at its deadline",
    ),
    ([SEND, {"message": "caller gone"}], 0.8, causes.CALLER_LEFT),
    ([SEND, LOST], 0.8, "ended: lost"),
    ([SEND], 0.8, causes.STILL_OPEN),
]


@pytest.mark.parametrize(("lines", "goal_s", "expected"), CASES)
def test_cause_of_a_request(lines, goal_s, expected):
    [trace] = traces(*lines)
    assert trace.route == "digest"
    assert causes.cause_of(trace, goal_s) == expected


def test_a_relayed_request_counts_only_at_the_daemon_its_caller_sent_it_to():
    at_sender = traces(TO_PEER, ENDED)
    at_peer = traces(SEND, ENDED, vm="vm-2")
    text = causes.tabulate([*at_sender, *at_peer], {"digest": 0.8}).text()
    assert text.splitlines() == [
        "digest: 1",
        f"        1  100.0%  {causes.FAST_ENOUGH}",
    ]
