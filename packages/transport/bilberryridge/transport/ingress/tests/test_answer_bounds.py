"""Bounds on what is received for one request, and on all held answers together."""

import pytest

from bilberryridge.transport import errors, limits
from bilberryridge.transport.ingress import answer_bounds


def make_meter(n_answer_tokens=0, limit=None):
    limit = limit or limits.ByteLimit(answer_bounds.MAX_TOTAL_HELD_BYTES)
    return answer_bounds.AnswerMeter(n_answer_tokens, limits.Reservation(limit))


def test_stream_of_all_its_tokens_in_small_chunks_is_within_the_bounds():
    meter = make_meter(4_000)
    for _ in range(4_000):
        for _ in range(6):
            meter.add_piece(8)
        meter.add_events(1)


@pytest.mark.parametrize("n_bytes", [16, 100])
def test_events_far_beyond_the_tokens_asked_for_are_refused(n_bytes):
    meter = make_meter(400)
    for _ in range(400 + answer_bounds.MAX_EXTRA_EVENTS):
        meter.add_piece(n_bytes)
        meter.add_events(1)
    with pytest.raises(errors.AnswerBoundError):
        meter.add_events(1)


def test_stream_longer_than_its_tokens_can_be_is_refused():
    meter = make_meter(100)
    meter.add_piece(answer_bounds.MIN_STREAM_BYTES)
    meter.add_events(1)
    meter.add_piece(1)
    with pytest.raises(errors.AnswerBoundError):
        meter.add_events(1)


def test_pieces_of_one_byte_are_refused_before_they_take_long():
    meter = make_meter()
    for _ in range(answer_bounds.MAX_SMALL_PIECES):
        meter.add_piece(1)
    with pytest.raises(errors.AnswerBoundError):
        meter.add_piece(1)


def test_large_held_answers_share_a_limit_and_small_ones_need_none():
    limit = limits.ByteLimit(1 << 20)
    first, second, small = (make_meter(limit=limit) for _ in range(3))
    n_second = answer_bounds.FREE_HELD_BYTES + (1 << 17)
    first.hold(1 << 20)
    with pytest.raises(errors.AnswerBoundError):
        second.hold(n_second)
    small.hold(answer_bounds.FREE_HELD_BYTES)
    first.release()
    second.hold(n_second)
    second.release()
    assert limit.n_bytes == 0


def test_incomplete_events_share_the_limit_until_they_are_complete():
    limit = limits.ByteLimit(1 << 16)
    first, second = (make_meter(limit=limit) for _ in range(2))
    first.hold_event(answer_bounds.MAX_FREE_EVENT_BYTES + (1 << 16))
    with pytest.raises(errors.AnswerBoundError):
        second.hold_event(answer_bounds.MAX_FREE_EVENT_BYTES + 1)
    first.hold_event(100)
    second.hold_event(answer_bounds.MAX_FREE_EVENT_BYTES + (1 << 16))
    second.hold_event(0)
    assert limit.n_bytes == 0
