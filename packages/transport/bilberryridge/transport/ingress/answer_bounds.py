"""Bounds on what a backend server or another daemon may send for one request.

A faulty server may send bytes that are no answer, without end. One event loop serves
all requests of a daemon, so both the bytes held and the work for them are bounded.
"""

from bilberryridge.transport import errors, limits

MAX_EVENT_BYTES = 256 << 10
"""Size limit of one event of a stream, which is held until it is complete."""
MAX_HELD_BYTES = 8 << 20
"""Size limit of an answer that is held until it is complete."""
MAX_TOTAL_HELD_BYTES = 16 << 20
"""Limit on the bytes of all held answers, beyond `FREE_HELD_BYTES` each."""
FREE_HELD_BYTES = 64 << 10
"""Size up to which an answer is held whatever the other answers take."""
MAX_BYTES_PER_TOKEN = 1 << 10
MIN_STREAM_BYTES = 1 << 20
MAX_STREAM_BYTES = 64 << 20
"""Size limit of a stream whose number of tokens is not known."""
MAX_EXTRA_EVENTS = 1_000
"""Events without a token, such as comments that keep a connection open."""
SMALL_PIECE_BYTES = 16
MAX_SMALL_PIECES, MAX_SMALL_PIECES_PER_TOKEN = 4_000, 8
"""Limit on chunks of fewer bytes; each takes as long to parse as a large one."""


class AnswerMeter:
    """Counts what was received for one attempt, and ends it beyond a bound.

    Parameters
    ----------
    n_answer_tokens : int
        Most tokens that the request asks for; 0 if not known.
    held : Reservation
        Of the bytes of all held answers.

    Examples
    --------
    >>> meter = AnswerMeter(0, limits.Reservation(limits.ByteLimit(0)))
    >>> meter.add_piece(FREE_HELD_BYTES + 1)
    >>> meter.check_held()
    Traceback (most recent call last):
    ...
    bilberryridge.transport.errors.AnswerBoundError: over 65536 bytes held
    """

    def __init__(self, n_answer_tokens: int, held: limits.Reservation):
        self.n_bytes = 0
        self._n_answer_tokens = n_answer_tokens
        self._held = held
        self._n_events = 0
        self._n_small_pieces = 0
        self._n_reserved = 0

    def add_piece(self, n_bytes: int) -> None:
        """Count a piece of a body as it was received.

        Raises
        ------
        errors.AnswerBoundError
        """
        self.n_bytes += n_bytes
        if n_bytes >= SMALL_PIECE_BYTES:
            return
        self._n_small_pieces += 1
        n_allowed = self._n_answer_tokens * MAX_SMALL_PIECES_PER_TOKEN
        if self._n_small_pieces > MAX_SMALL_PIECES + n_allowed:
            raise errors.AnswerBoundError(f"{self._n_small_pieces} small pieces")

    def check_held(self) -> None:
        """Reserve the bytes received, as they are held.

        Raises
        ------
        errors.AnswerBoundError
        """
        if self.n_bytes > MAX_HELD_BYTES:
            raise errors.AnswerBoundError(f"over {MAX_HELD_BYTES} bytes")
        n_new = self.n_bytes - FREE_HELD_BYTES - self._n_reserved
        if n_new <= 0:
            return
        if not self._held.reserve(n_new):
            raise errors.AnswerBoundError(f"over {FREE_HELD_BYTES} bytes held")
        self._n_reserved += n_new

    def add_events(self, n_events: int) -> None:
        """Count events of a stream, and check the bytes received.

        Raises
        ------
        errors.AnswerBoundError
        """
        self._n_events += n_events
        n_tokens = self._n_answer_tokens
        max_bytes = MAX_STREAM_BYTES
        if n_tokens:
            max_bytes = max(MIN_STREAM_BYTES, n_tokens * MAX_BYTES_PER_TOKEN)
            if self._n_events > n_tokens + MAX_EXTRA_EVENTS:
                raise errors.AnswerBoundError(
                    f"{self._n_events} events for {n_tokens} tokens"
                )
        if self.n_bytes > max_bytes:
            raise errors.AnswerBoundError(f"over {max_bytes} bytes")

    def release(self) -> None:
        """Return the reserved bytes."""
        self._held.release()
