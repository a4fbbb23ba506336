"""Splitting of streams: pieces of any size, and streams without an event's end."""

import itertools
import time

import hypothesis
import pytest
from hypothesis import strategies

from bilberryridge.transport import errors
from bilberryridge.transport.ingress import answer_bounds, event_stream

TEXTS = strategies.lists(
    strategies.sampled_from(
        [
            b"\n",
            b"\r",
            b"\r\n",
            b"id: 7",
            b"id:",
            b"id",
            b"id: 8\x00",
            b"\xef\xbb\xbf",
            b"data: a",
            b":",
            b"\x00\xff",
            b"x" * 9,
        ]
    ),
    max_size=40,
).map(b"".join)


def feed_all(pieces):
    """Return the bytes, the last id and the number of all complete events."""
    splitter = event_stream.EventSplitter()
    fed = [splitter.feed(piece) for piece in pieces]
    ids = [events.last_id for events in fed if events.last_id is not None]
    data = b"".join(events.data for events in fed)
    n_events = sum(events.n_events for events in fed)
    return data, ids[-1:], n_events, splitter.incomplete


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([b"id: 1\n", b"id: 2\n", b"id: 3\n", b""]),
        strategies.sampled_from([b"data: a\n", b"data: id: 9\n", b":c\n"]),
    ),
    max_size=8,
).map(lambda events: b"".join(first + second + b"\n" for first, second in events))


@hypothesis.given(
    TEXTS | EVENTS, strategies.lists(strategies.integers(0, 200), max_size=8)
)
def test_any_pieces_give_the_events_of_one_piece(text, cuts):
    bounds = [0, *sorted(min(cut, len(text)) for cut in cuts), len(text)]
    pieces = [text[a:b] for a, b in itertools.pairwise(bounds)]
    whole = feed_all([text])
    assert feed_all(pieces) == whole
    assert feed_all(text[n : n + 1] for n in range(len(text))) == whole
    assert whole[0] + whole[3] == text


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_events_read_at_once_do_not_hide_the_last_id(line_end):
    text = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: c\n\nid: 3"
    splitter = event_stream.EventSplitter()
    events = splitter.feed(text.replace(b"\n", line_end))
    assert (events.last_id, events.n_events) == ("2", 3)


@pytest.mark.parametrize(
    ("text", "last_id"),
    [
        (b"id: 7\n\nid:\n\n", ""),
        (b"id: 7\n\nid\n\n", ""),
        (b"id: 7\n\nid: \n\n", ""),
        (b"id: 7\n\n: comment\n\n", "7"),
        (b"id: 7\n\nid: 8\x00\n\n", "7"),
        (b"id: 7\n\nidx: 8\n\n", "7"),
        (b"id: 7\n\ndata: id: 8\n\n", "7"),
        (b"id:7\ndata: a\n\n", "7"),
        (b"id: 7\nid: 8\n\n", "8"),
        (b"id:  7 8\n\n", ""),
        (b"id: 7 8\n\n", "7 8"),
        (b"id: \x01\n\n", ""),
        (b"\xef\xbb\xbfid: 7\n\n", "7"),
        (b"data: a\n\n\xef\xbb\xbfid: 7\n\n", None),
        (b"data: a\n\n", None),
        (b"id: 7\r\n\r\nid: 8\n\r\n", "8"),
        (b"id: 7\n\rid: 8\n\n", "8"),
        (b"id: 7\r\n\r\nid: 8\r\n\r", "7"),
    ],
)
def test_last_id_is_the_one_that_the_format_defines_however_it_is_cut(text, last_id):
    ids = [last_id] if last_id is not None else []
    for size in range(1, len(text) + 1):
        pieces = (text[n : n + size] for n in range(0, len(text), size))
        assert feed_all(pieces)[1] == ids


@pytest.mark.parametrize("n_piece_bytes", [1, 100, 64 << 10])
def test_bytes_without_an_event_are_refused_within_the_bound(n_piece_bytes):
    splitter = event_stream.EventSplitter()
    piece = b"x" * n_piece_bytes
    n_accepted = answer_bounds.MAX_EVENT_BYTES // n_piece_bytes
    began_s = time.process_time()
    for _ in range(n_accepted):
        splitter.feed(piece)
    with pytest.raises(errors.AnswerBoundError):
        splitter.feed(piece)
    if n_piece_bytes > 1:
        assert time.process_time() - began_s < 0.1


def test_long_stream_of_whole_events_is_split_in_linear_time():
    splitter = event_stream.EventSplitter()
    event = b"id: 1\ndata: " + b"x" * 100 + b"\n\n"
    n_events = sum(splitter.feed(event * 500).n_events for _ in range(100))
    assert n_events == 50_000
    assert splitter.incomplete == b""
