"""Results of attempts by the bytes and the end of an answer."""

import pytest

from bilberryridge.decisions.ingress import events
from bilberryridge.transport import limits
from bilberryridge.transport.ingress import attempt, dialect, upstream

RESULT = events.AttemptResult
EVENT = b"id: 1\ndata: a\n\n"


class Loop:
    def now_s(self):
        return 0.0


class Owner:
    def __init__(self):
        self.data = b""
        self.ended = None

    def match_answer(self, fields):
        return upstream.Match.OWN

    def on_begun(self, source):
        pass

    def on_events(self, source, complete):
        self.data += complete.data

    def on_ended(self, source, ended):
        self.ended = ended


def receive(body, is_end_marked, is_stream=True, status=200):
    """Feed an answer to an attempt; return what its owner got."""
    owner = Owner()

    def read_head(status, fields):
        return dialect.AnswerHead(status, fields, dialect.AnswerKind.ANSWER)

    source = attempt.Attempt(
        Loop(),
        owner,
        "1",
        1,
        read_head,
        is_stream,
        None,
        None,
        0,
        limits.ByteLimit(1 << 20),
    )
    source.on_head(status, ())
    for n in range(len(body)):
        source.on_body(body[n : n + 1])
    source.on_end(is_end_marked)
    return owner


@pytest.mark.parametrize("is_end_marked", [True, False])
@pytest.mark.parametrize("n_bytes", range(1, len(EVENT)))
def test_stream_that_ends_within_an_event_is_lost(is_end_marked, n_bytes):
    owner = receive(EVENT + EVENT[:n_bytes], is_end_marked)
    assert owner.ended.result is RESULT.LOST
    assert owner.data == EVENT


@pytest.mark.parametrize(
    ("body", "is_end_marked", "result"),
    [
        (EVENT, True, RESULT.ANSWERED),
        (EVENT, False, RESULT.ANSWERED),
        (EVENT + b"\n", False, RESULT.ANSWERED),
        (EVENT.replace(b"\n", b"\r\n"), False, RESULT.ANSWERED),
        (EVENT.replace(b"\n", b"\r\n")[:-1], False, RESULT.LOST),
        (b"", True, RESULT.ANSWERED),
        (b"", False, RESULT.LOST),
    ],
)
def test_stream_is_complete_after_a_whole_event(body, is_end_marked, result):
    owner = receive(body, is_end_marked)
    assert owner.ended.result is result
    if result is RESULT.ANSWERED:
        assert owner.data == body


@pytest.mark.parametrize(("is_stream", "status"), [(False, 200), (True, 503)])
def test_answer_that_is_no_stream_may_end_with_its_connection(is_stream, status):
    owner = receive(b"id: 1", is_end_marked=False, is_stream=is_stream, status=status)
    assert owner.ended.result is RESULT.ANSWERED
