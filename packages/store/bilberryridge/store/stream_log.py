"""Keeps the streams that this daemon began in the store for as long as they matter."""

from collections.abc import Callable

from bilberryridge.decisions.ingress import stream_origins
from bilberryridge.store import follower, lasting_records

BATCH_S = 10.0
"""Time in which streams are added to the same key, which is written again with each.
Longer ones make longer writes, shorter ones more keys and leases."""
TTL_S = stream_origins.KEEP_S + BATCH_S
"""Lease of a key; the last stream of a batch is kept as long as daemons remember it."""

Encode = Callable[[int, tuple[stream_origins.StreamRecord, ...]], tuple[str, bytes]]
"""Takes the number of a batch and its streams; returns key and value."""


class StreamLog:
    """Writes streams in batches, each under a key and a lease of its own.

    Parameters
    ----------
    records : LastingRecords
        Writes each batch under a lease of `TTL_S`.
    clock : Clock
    encode : Callable
    """

    def __init__(
        self,
        records: lasting_records.LastingRecords,
        clock: follower.Clock,
        encode: Encode,
    ):
        self._records = records
        self._clock = clock
        self._encode = encode
        self._number = 0
        self._begun_s = float("-inf")
        self._streams: tuple[stream_origins.StreamRecord, ...] = ()

    def add(self, streams: tuple[stream_origins.StreamRecord, ...]) -> None:
        """Write streams."""
        now_s = self._clock.now_s()
        if now_s - self._begun_s >= BATCH_S:
            self._number += 1
            self._begun_s = now_s
            self._streams = ()
        self._streams += streams
        self._records.write(*self._encode(self._number, self._streams))
