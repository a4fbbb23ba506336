"""Writes records to the store that outlive the daemon that wrote them."""

import collections
import logging
from typing import Any

import attrs

from bilberryridge.store import follower, registration, store_era

LOGGER = logging.getLogger("bilberryridge")

RECORD_TTL_S = 600.0
"""Lease of a record, which nothing renews; the longest that stores of today grant."""
RETRY_DELAY_S = 0.5
MAX_RECORDS = 100
"""Records that are kept to be written, or to be written again; the oldest yield."""


@attrs.define
class _Record:
    key: str
    value: bytes
    made_s: float
    is_written: bool = False
    lease: int | None = None


class LastingRecords:
    """Writes records one after another, each under a lease of its own.

    A call that fails is made again until the record would have expired. Records are
    written again if the store comes back from an older copy. A record that replaces one
    with the same key expires with it.

    Parameters
    ----------
    writer : LeaseWriter
    clock : Clock
    eras : EraMonitor
    ttl_s : float, optional
        Lease of a record.
    """

    def __init__(
        self,
        writer: registration.LeaseWriter,
        clock: follower.Clock,
        eras: store_era.EraMonitor,
        ttl_s: float = RECORD_TTL_S,
    ):
        self._writer = writer
        self._clock = clock
        self._ttl_s = ttl_s
        self._records: collections.OrderedDict[str, _Record] = collections.OrderedDict()
        self._is_writing = False
        eras.subscribe(self._on_era)

    def write(self, key: str, value: bytes) -> None:
        """Write a record; one with the same key is replaced."""
        self._drop_expired()
        before = self._records.get(key)
        if before is None:
            self._records[key] = _Record(key, value, self._clock.now_s())
        else:
            self._records[key] = attrs.evolve(before, value=value, is_written=False)
        self._records.move_to_end(key)
        if len(self._records) > MAX_RECORDS:
            oldest, _ = self._records.popitem(last=False)
            LOGGER.warning("too many records to keep", extra={"key": oldest})
        self._write_next()

    def _on_era(self, before: int, era: int) -> None:
        if before:
            for record in self._records.values():
                record.is_written = False
                record.lease = None
            self._write_next()

    def _write_next(self) -> None:
        if self._is_writing:
            return
        self._drop_expired()
        record = next((r for r in self._records.values() if not r.is_written), None)
        if record is None:
            return
        self._is_writing = True
        if record.lease is not None:
            self._put(record, record.lease)
            return
        left_s = self._ttl_s - (self._clock.now_s() - record.made_s)
        self._writer.grant(left_s, lambda answer: self._on_granted(record, answer))

    def _drop_expired(self) -> None:
        oldest_s = self._clock.now_s() - self._ttl_s + registration.LEASE_TTL_S
        for key, record in list(self._records.items()):
            if record.made_s < oldest_s:
                del self._records[key]

    def _on_granted(self, record: _Record, answer: int | follower.CallFailure) -> None:
        if isinstance(answer, follower.CallFailure):
            self._retry(record, answer.detail)
            return
        replacement = self._records.get(record.key)
        if replacement is not None:
            replacement.lease = answer
        self._put(record, answer)

    def _put(self, record: _Record, lease: int) -> None:
        # Set before the answer, which may come after the store's next era.
        record.is_written = True

        def on_put(put_answer: bool | follower.CallFailure) -> None:
            self._on_put(record, put_answer)

        self._writer.put(record.key, record.value, lease, on_put)

    def _on_put(self, record: _Record, answer: Any) -> None:
        if answer is True:
            self._is_writing = False
            self._write_next()
        else:
            # The call may still take effect; writing the same value twice is harmless.
            record.is_written = False
            if answer is False:
                self._forget_lease(record.key)
            self._retry(record, getattr(answer, "detail", "the lease has ended"))

    def _forget_lease(self, key: str) -> None:
        record = self._records.get(key)
        if record is not None:
            record.lease = None

    def _retry(self, record: _Record, detail: str) -> None:
        LOGGER.info(
            "a record is not written yet", extra={"key": record.key, "detail": detail}
        )
        self._clock.after(RETRY_DELAY_S, self._try_again)

    def _try_again(self) -> None:
        self._is_writing = False
        self._write_next()
