import itertools
import time

from bilberryridge.transport import completeness

CONTENT = b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n'
END = b"data: [DONE]\n\n"


def test_stream_parsing_does_not_depend_on_chunk_boundaries():
    for text in (CONTENT + CONTENT + END, (CONTENT + END).replace(b"\n", b"\r\n")):
        for first, second in itertools.combinations(range(len(text)), 2):
            stream = completeness.EventStream(has_content=True)
            parts = (text[:first], text[first:second], text[second:])
            assert b"".join(stream.feed(part) for part in parts) == text
            assert stream.is_begun
            assert stream.is_ended
            assert stream.n_events == text.count(b"content")


def test_end_marker_within_text_does_not_end_the_stream():
    for text in (
        b'data: {"a":"data: [DONE]"}\n\n',
        b"data: [DONE]x\n\n",
        b": [DONE]\n\n",
    ):
        stream = completeness.EventStream(has_content=True)
        assert stream.feed(text) == text
        assert not stream.is_ended


def test_unterminated_event_is_buffered_within_a_bound():
    stream = completeness.EventStream(has_content=False)
    part = b"x" * 100_000
    n_out = sum(len(stream.feed(part)) for _ in range(100))
    assert n_out > 100 * len(part) - 2 * completeness.MAX_EVENT_BYTES


def test_event_without_an_end_is_searched_once_whatever_its_pieces():
    stream = completeness.EventStream(has_content=False)
    part = b"x" * 16
    began_s = time.process_time()
    for _ in range(completeness.MAX_EVENT_BYTES // len(part)):
        assert stream.feed(part) == b""
    # 65,536 pieces; copying what is held for each would move 32 GiB.
    assert time.process_time() - began_s < 2.0


def test_answer_that_is_nested_deeply_has_no_content():
    deep = b"[" * 50_000 + b"]" * 50_000
    assert not completeness.has_delta_content(deep)
    assert completeness.n_tokens(b'{"usage": %b}' % deep) == 0
