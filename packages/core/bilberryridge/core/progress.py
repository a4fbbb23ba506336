"""Whether an answer that has begun goes on."""

BEGINNING_S = 1.0
"""Time for which an answer goes on until its server hasn't crashed as it began it."""
MAX_COUNTED_GAP_S = BEGINNING_S / 4
"""Most that the time between two pieces counts. A server that stands still shows only
that it lives when the next piece is received."""


class AnswerProgress:
    """The time for which an answer has gone on.

    Examples
    --------
    >>> progress = AnswerProgress()
    >>> [progress.record(at_s) for at_s in (0.0, 1.5, 1.7, 1.9, 2.1, 2.3)]
    [False, False, False, False, False, True]
    """

    def __init__(self) -> None:
        self._went_on_s = 0.0
        self._piece_s: float | None = None

    def record(self, now_s: float) -> bool:
        """Record a piece; return whether it is the first after the beginning."""
        is_beginning = self._went_on_s < BEGINNING_S
        if self._piece_s is not None:
            self._went_on_s += min(now_s - self._piece_s, MAX_COUNTED_GAP_S)
        self._piece_s = now_s
        return is_beginning and self._went_on_s >= BEGINNING_S
