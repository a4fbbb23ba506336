"""Which pieces of an answer show that it goes on."""

import pytest

from bilberryridge.core import progress


@pytest.mark.parametrize(
    ("pieces_s", "is_shown"),
    [
        ([0.0], False),
        # Nothing is known of the server since its last piece.
        ([0.0, 5.0], False),
        # A server that stood still catches up before it crashes.
        ([0.0, 1.3, 1.3, 1.31, 1.31], False),
        # So does a daemon that stood still.
        ([0.0, 0.1, 2.0, 2.0, 2.0], False),
        ([0.1 * n for n in range(12)], True),
        ([0.4 * n for n in range(5)], True),
    ],
)
def test_pauses_do_not_show_that_an_answer_goes_on(pieces_s, is_shown):
    tested = progress.AnswerProgress()
    assert any(tested.record(at_s) for at_s in pieces_s) is is_shown


def test_progress_is_told_once():
    tested = progress.AnswerProgress()
    told = [tested.record(0.1 * n) for n in range(40)]
    assert told.count(True) == 1
