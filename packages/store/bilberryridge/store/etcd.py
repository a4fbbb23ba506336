"""The blocking adapter to the etcd v3 JSON gateway.

See Also
--------
bilberryridge.store.store_calls : the same calls on a task's selector.
bilberryridge.store.etcd_messages : what is sent and received.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import TypeVar

import attrs
import pycurl
from returns import result

from bilberryridge.store import calls, etcd_messages, lines, store
from bilberryridge.utilities import metrics

T = TypeVar("T")

CALL_TIMEOUT_S = 2.0
WATCH_POLL_S = 0.5
HTTP_OK = 200
HTTP_SERVER_ERROR = 500
DISCARDED = metrics.NullMetrics()

Lost = store.StoreUnreachable | store.AnswerLost


def settle(
    ended: calls.CallResult, decode: Callable[[bytes], T]
) -> result.Result[T, Lost]:
    """Say what an ended call to the store means.

    Parameters
    ----------
    ended : CallResult
    decode : callable
        Decodes the body of a good answer or raises `AnswerError`.
    """
    if isinstance(ended, result.Failure):
        failure = ended.failure()
        if failure.is_sent:
            return result.Failure(store.AnswerLost(failure.detail))
        return result.Failure(store.StoreUnreachable(failure.detail))
    answer = ended.unwrap()
    if answer.status != HTTP_OK:
        detail = f"status {answer.status}: {answer.body[:200]!r}"
        if answer.status >= HTTP_SERVER_ERROR:
            return result.Failure(store.AnswerLost(detail))
        return result.Failure(store.StoreUnreachable(detail))
    try:
        return result.Success(decode(answer.body))
    except etcd_messages.AnswerError as exc:
        return result.Failure(store.AnswerLost(str(exc)))


def as_read(
    ended: result.Result[T, Lost],
) -> result.Result[T, store.StoreUnreachable]:
    """Reduce the failures of a call that changes nothing."""
    if isinstance(ended, result.Success):
        return ended
    return result.Failure(store.StoreUnreachable(ended.failure().detail))


@attrs.frozen
class EtcdStore:
    """The store over blocking calls; see `store.Store`.

    Parameters
    ----------
    endpoint : str
        ``http://host:port``.
    prefix : str
        What all keys begin with.
    counts : Metrics
    timeout_s : float
        Of each call.
    source_host : str
        Address that calls leave from; empty for any.
    """

    endpoint: str
    prefix: str
    counts: metrics.Metrics = DISCARDED
    timeout_s: float = CALL_TIMEOUT_S
    source_host: str = ""

    def read_prefix(
        self, prefix: str
    ) -> result.Result[store.Listing, store.StoreUnreachable]:
        """Read all keys that begin with `prefix`, as of one revision."""
        req = etcd_messages.range_request(self.prefix + prefix, is_prefix=True)
        return as_read(
            self._call(
                "range",
                etcd_messages.RANGE_PATH,
                req,
                lambda body: etcd_messages.listing(body, self.prefix),
            )
        )

    def commit(
        self, transaction: store.Transaction
    ) -> result.Result[store.Committed, Lost | store.Conflict]:
        """Make all changes if every condition holds, else none."""
        ended = self._call(
            "commit",
            etcd_messages.TXN_PATH,
            etcd_messages.txn_request(self.prefix, transaction),
            lambda body: etcd_messages.txn_answer(body, self.prefix),
        )
        if isinstance(ended, result.Failure):
            return result.Failure(ended.failure())
        answer = ended.unwrap()
        if isinstance(answer, store.Conflict):
            return result.Failure(answer)
        return result.Success(answer)

    def claim(
        self, key: str, value: bytes, lease_id: int = 0
    ) -> result.Result[store.Claimed, Lost]:
        """Create the key if it is absent, else read it."""
        ended = self._claim_once(key, value, lease_id)
        if isinstance(ended, result.Failure) and isinstance(
            ended.failure(), store.AnswerLost
        ):
            # The second try reads back what the first one did.
            again = self._claim_once(key, value, lease_id)
            return again if isinstance(again, result.Success) else ended
        return ended

    @contextlib.contextmanager
    def watch(
        self, prefix: str, after_revision: int
    ) -> Iterator[Iterator[store.WatchAnswer]]:
        """Follow the changes after a revision; the iterator ends with the watch."""
        received = lines.Lines()
        call = self._describe(
            "watch",
            etcd_messages.WATCH_PATH,
            etcd_messages.watch_request(self.prefix + prefix, after_revision),
        )
        curl = calls.make_curl(attrs.evolve(call, timeout_s=0.0), received.add)
        multi = pycurl.CurlMulti()
        multi.add_handle(curl)
        try:
            yield self._answers(multi, received)
        finally:
            multi.remove_handle(curl)
            curl.close()
            multi.close()

    def grant_lease(self, ttl_s: int) -> result.Result[store.Lease, Lost]:
        """Make a lease."""
        req = etcd_messages.grant_request(ttl_s)
        return self._call(
            "lease_grant", etcd_messages.GRANT_PATH, req, etcd_messages.lease
        )

    def keep_lease(self, lease_id: int) -> result.Result[store.Lease, Lost]:
        """Renew a lease; the answer's `ttl_s` says whether it still lives."""
        req = etcd_messages.lease_request(lease_id)
        return self._call(
            "lease_keepalive", etcd_messages.KEEPALIVE_PATH, req, etcd_messages.lease
        )

    def revoke_lease(self, lease_id: int) -> result.Result[None, Lost]:
        """End a lease; its keys go with it."""
        req = etcd_messages.lease_request(lease_id)
        return self._call(
            "lease_revoke", etcd_messages.REVOKE_PATH, req, lambda _body: None
        )

    def _claim_once(
        self, key: str, value: bytes, lease_id: int
    ) -> result.Result[store.Claimed, Lost]:
        return self._call(
            "claim",
            etcd_messages.TXN_PATH,
            etcd_messages.claim_request(self.prefix, key, value, lease_id),
            lambda body: etcd_messages.claim_answer(body, self.prefix, value),
        )

    def _answers(
        self, multi: pycurl.CurlMulti, received: lines.Lines
    ) -> Iterator[store.WatchAnswer]:
        n_running = 1
        while n_running:
            multi.select(WATCH_POLL_S)
            _code, n_running = multi.perform()
            for line in received.take():
                yield etcd_messages.watch_answer(line, self.prefix)

    def _describe(self, kind: str, path: str, body: bytes) -> calls.Call:
        return calls.Call(
            kind=kind,
            method="POST",
            url=self.endpoint + path,
            body=body,
            timeout_s=self.timeout_s,
            source_host=self.source_host,
        )

    def _call(
        self, kind: str, path: str, body: bytes, decode: Callable[[bytes], T]
    ) -> result.Result[T, Lost]:
        self.counts.count("store_calls", (kind,))
        ended = calls.perform(self._describe(kind, path, body), self.counts)
        return settle(ended, decode)


@contextlib.contextmanager
def open_store(
    endpoint: str,
    prefix: str,
    counts: metrics.Metrics = DISCARDED,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Iterator[store.Store]:
    """Open the store for blocking calls.

    Parameters
    ----------
    endpoint : str
        ``http://host:port``.
    prefix : str
        What all keys begin with, ``/bilberryridge/<deployment>/``.
    counts : Metrics, optional
    timeout_s : float, optional
        Of each call.
    """
    yield EtcdStore(endpoint, prefix, counts, timeout_s)
