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
"""Limit on the bytes of all held answers and events, beyond `FREE_HELD_BYTES` each."""
FREE_HELD_BYTES = 64 << 10
"""Size up to which an answer is held whatever the other answers take."""
MAX_FREE_EVENT_BYTES = 8 << 10
"""The same for an incomplete event, of which each open stream may have one."""
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
        Of the bytes of all held answers and events.

    Examples
    --------
    >>> meter = AnswerMeter(0, limits.Reservation(limits.ByteLimit(0)))
    >>> meter.hold(FREE_HELD_BYTES)
    >>> meter.hold(FREE_HELD_BYTES + 1)
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

    def hold(self, n_bytes: int) -> None:
        """Reserve the bytes of an answer that is held until it is complete.

        Raises
        ------
        errors.AnswerBoundError
        """
        if n_bytes > MAX_HELD_BYTES:
            raise errors.AnswerBoundError(f"over {MAX_HELD_BYTES} bytes")
        self._reserve(n_bytes, FREE_HELD_BYTES)

    def hold_event(self, n_bytes: int) -> None:
        """Reserve the bytes of an incomplete event, and release those before it.

        Raises
        ------
        errors.AnswerBoundError
        """
        self._reserve(n_bytes, MAX_FREE_EVENT_BYTES)

    def _reserve(self, n_bytes: int, n_free_bytes: int) -> None:
        if not self._held.resize(max(0, n_bytes - n_free_bytes)):
            raise errors.AnswerBoundError(f"over {n_free_bytes} bytes held")

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
