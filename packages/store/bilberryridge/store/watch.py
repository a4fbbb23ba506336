"""Read the configuration documents and follow their changes.

A watch alone does not guarantee that no change is missed: a stream can stall without an
error. A check therefore reads every few seconds which document was changed last and
compares it with the state of the watch.
"""

import random
from collections.abc import Callable

import attrs
import pycurl
from returns import result

from bilberryridge.core import documents
from bilberryridge.decisions import effects, events
from bilberryridge.store import (
    calls,
    etcd,
    etcd_messages,
    lines,
    settings,
    store,
    store_calls,
    timers,
)
from bilberryridge.utilities import metrics

DOCUMENTS = "documents/"
MIN_JITTER = 0.5
RECHECK_DELAY_S = 0.5
"""An event may be in flight when a check is answered, so the check is repeated."""


@attrs.frozen
class Discrepancy:
    """A difference between the store and the state received by the watch.

    Parameters
    ----------
    newest_revision : int
        Of the last changed document in the store.
    n_keys : int
        In the store.
    complete_revision : int
        Up to which the watch has delivered all changes.
    """

    newest_revision: int
    n_keys: int
    complete_revision: int


class Watcher:
    """Holds the watch on the documents while it is requested.

    Parameters
    ----------
    cfg : PlatformSettings
    store_client : StoreCalls
    task_timers : Timers
    post : callable
        Takes events.
    counts : Metrics
    random_state : random.Random
    """

    def __init__(
        self,
        cfg: settings.PlatformSettings,
        store_client: store_calls.StoreCalls,
        task_timers: timers.Timers,
        post: store_calls.Post,
        counts: metrics.Metrics,
        random_state: random.Random,
    ):
        self._cfg = cfg
        self._prefix = cfg.prefix + DOCUMENTS
        self._store_client = store_client
        self._timers = task_timers
        self._post = post
        self._counts = counts
        self._random_state = random_state
        self._is_active = False
        self._complete_revision = 0
        self._n_keys: int | None = None
        self._header: store.Header | None = None
        self._discrepancy: Discrepancy | None = None
        self._backoff_s = cfg.min_backoff_s
        self._current_call: pycurl.Curl | None = None
        self._check_call: pycurl.Curl | None = None
        self._answer_timer: timers.Timer | None = None
        self._retry_timer: timers.Timer | None = None
        self._check_timer: timers.Timer | None = None
        self._received = lines.Lines()

    def follow(self, effect: effects.WatchStore) -> None:
        """Start or stop the watch."""
        if not effect.is_wanted:
            self.stop()
        elif not self._is_active:
            self._is_active = True
            self._complete_revision = effect.after_revision
            self._n_keys = None
            if effect.after_revision:
                self._watch()
                self._check_now()
            else:
                self._read()

    def stop(self) -> None:
        """Stop the watch and its checks."""
        self._is_active = False
        self._cancel_current()
        self._cancel_check()

    def _read(self) -> None:
        """Read all documents."""
        self._cancel_current()
        self._cancel_check()
        self._current_call = self._store_client.start(
            "read_documents",
            etcd_messages.RANGE_PATH,
            etcd_messages.range_request(self._prefix, is_prefix=True),
            lambda body: etcd_messages.listing(body, self._prefix),
            self._on_listing,
        )

    def _on_listing(
        self, call_result: result.Result[store.Listing, etcd.StoreFailure]
    ) -> None:
        self._current_call = None
        if isinstance(call_result, result.Failure):
            self._retry(self._read)
            return
        listing = call_result.unwrap()
        self._check_header(listing.header)
        self._complete_revision = listing.header.revision
        self._n_keys = listing.n_keys
        versions = tuple(_version(item) for item in listing.items)
        self._post(events.ConfigurationRead(0, self._complete_revision, versions))
        self._watch()
        self._check_later(self._cfg.check_interval_s)

    def _watch(self) -> None:
        """Watch the changes after the last complete revision."""
        self._cancel_current()
        self._received = lines.Lines()
        self._current_call = self._store_client.start_stream(
            "watch",
            etcd_messages.WATCH_PATH,
            etcd_messages.watch_request(self._prefix, self._complete_revision),
            self._on_data,
            self._on_watch_ended,
        )
        self._answer_timer = self._schedule(
            self._cfg.call_timeout_s, self._on_watch_timeout
        )

    def _on_data(self, data: bytes) -> int:
        n_accepted = self._received.add(data)
        # Libcurl must not be called from its own write callback.
        self._schedule(0.0, self._process_lines)
        return n_accepted

    def _process_lines(self) -> bool:
        """Process the received lines; return whether the watch may continue."""
        for line in self._received.take():
            try:
                answer = etcd_messages.watch_answer(line, self._prefix)
            except etcd_messages.AnswerError:
                self._counts.count("watches_refused")
                self._retry(self._read)
                return False
            if answer.is_cancelled or answer.compact_revision:
                self._counts.count("watches_cancelled")
                self._retry(self._read)
                return False
            self._on_answer(answer)
        return True

    def _on_answer(self, answer: store.WatchAnswer) -> None:
        _cancel(self._answer_timer)
        self._backoff_s = self._cfg.min_backoff_s
        self._store_client.report_reachability(True)
        if not answer.changes:
            return
        newest = {
            change.item.key: _changed_version(change) for change in answer.changes
        }
        after_revision = self._complete_revision
        self._complete_revision = answer.changes[-1].item.mod_revision
        self._count_keys(answer.changes)
        self._post(
            events.ConfigurationRead(
                after_revision, self._complete_revision, tuple(newest.values())
            )
        )

    def _count_keys(self, changes: tuple[store.KeyChange, ...]) -> None:
        if self._n_keys is None:
            return
        for change in changes:
            if change.is_deleted:
                self._n_keys -= 1
            elif change.item.create_revision == change.item.mod_revision:
                self._n_keys += 1

    def _on_watch_ended(self, _call_result: calls.CallResult) -> None:
        self._current_call = None
        self._counts.count("watches_ended")
        if self._process_lines():
            # A store restored from a backup may already be past the known revision; a
            # watch from that revision would miss the changes before it.
            self._retry(self._read)

    def _on_watch_timeout(self) -> None:
        self._counts.count("watches_unanswered")
        self._retry(self._watch)

    def _check_now(self) -> None:
        """Read which document was changed last."""
        self._cancel_check()
        self._check_call = self._store_client.start(
            "check_documents",
            etcd_messages.RANGE_PATH,
            etcd_messages.range_request(self._prefix, is_prefix=True, newest_only=True),
            lambda body: etcd_messages.listing(body, self._prefix),
            self._on_checked,
        )

    def _on_checked(
        self, call_result: result.Result[store.Listing, etcd.StoreFailure]
    ) -> None:
        self._check_call = None
        if isinstance(call_result, result.Failure):
            self._check_later(self._cfg.check_interval_s)
            return
        listing = call_result.unwrap()
        if self._check_header(listing.header):
            self._complete_revision = 0
            self._read()
            return
        discrepancy = self._compare(listing)
        if discrepancy is None:
            self._discrepancy = None
            self._check_later(self._cfg.check_interval_s)
        elif discrepancy != self._discrepancy:
            self._discrepancy = discrepancy
            self._check_later(RECHECK_DELAY_S)
        else:
            self._counts.count("watches_missed_changes")
            self._discrepancy = None
            self._read()

    def _compare(self, listing: store.Listing) -> Discrepancy | None:
        newest_revision = max((item.mod_revision for item in listing.items), default=0)
        is_behind = newest_revision > self._complete_revision
        is_count_different = self._n_keys is not None and listing.n_keys != self._n_keys
        if not is_behind and not is_count_different:
            return None
        return Discrepancy(newest_revision, listing.n_keys, self._complete_revision)

    def _check_header(self, header: store.Header) -> bool:
        """Return whether the store was replaced or went back, and count it."""
        before, self._header = self._header, header
        if before is None:
            has_gone_back = header.revision < self._complete_revision
            is_other_cluster = False
        else:
            newest_revision = max(before.revision, self._complete_revision)
            has_gone_back = header.revision < newest_revision
            is_other_cluster = header.cluster_id != before.cluster_id
        if has_gone_back:
            self._counts.count("store_revision_went_back")
        if is_other_cluster:
            self._counts.count("store_cluster_changed")
        return has_gone_back or is_other_cluster

    def _retry(self, action: Callable[[], None]) -> None:
        self._cancel_current()
        jitter = self._random_state.uniform(MIN_JITTER, 1.0)
        self._retry_timer = self._schedule(jitter * self._backoff_s, action)
        self._backoff_s = min(2 * self._backoff_s, self._cfg.max_backoff_s)

    def _check_later(self, wait_s: float) -> None:
        self._cancel_check()
        self._check_timer = self._schedule(wait_s, self._check_now)

    def _cancel_current(self) -> None:
        _cancel(self._answer_timer)
        _cancel(self._retry_timer)
        if self._current_call is not None:
            self._store_client.cancel(self._current_call)
            self._current_call = None

    def _cancel_check(self) -> None:
        _cancel(self._check_timer)
        if self._check_call is not None:
            self._store_client.cancel(self._check_call)
            self._check_call = None

    def _schedule(self, wait_s: float, action: Callable[[], object]) -> timers.Timer:
        return self._timers.at(store_calls.now_s() + wait_s, action)


def _cancel(timer: timers.Timer | None) -> None:
    if timer is not None:
        timer.cancel()


def _version(item: store.KeyValue) -> documents.Version:
    return documents.Version(item.key, item.mod_revision, item.value)


def _changed_version(change: store.KeyChange) -> documents.Version:
    value = b"" if change.is_deleted else change.item.value
    return documents.Version(change.item.key, change.item.mod_revision, value)
