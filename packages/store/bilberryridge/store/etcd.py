"""Blocking client of the etcd v3 JSON gateway.

See Also
--------
bilberryridge.store.store_calls : The same calls on a task's selector.
bilberryridge.store.etcd_messages : Encoding and decoding of the messages.
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
NULL_METRICS = metrics.NullMetrics()

StoreFailure = store.StoreUnreachable | store.AnswerLost


def classify_result(
    call_result: calls.CallResult, decode: Callable[[bytes], T]
) -> result.Result[T, StoreFailure]:
    """Classify the result of a call to the store.

    A failure is `StoreUnreachable` only if the call changed nothing.

    Parameters
    ----------
    call_result : CallResult
    decode : callable
        Decodes the body of a successful answer or raises `AnswerError`.
    """
    if isinstance(call_result, result.Failure):
        failure = call_result.failure()
        if failure.is_sent:
            return result.Failure(store.AnswerLost(failure.detail))
        return result.Failure(store.StoreUnreachable(failure.detail))
    answer = call_result.unwrap()
    if answer.status != HTTP_OK:
        detail = f"status {answer.status}: {answer.body[:200]!r}"
        if answer.status >= HTTP_SERVER_ERROR:
            return result.Failure(store.AnswerLost(detail))
        return result.Failure(store.StoreUnreachable(detail))
    try:
        return result.Success(decode(answer.body))
    except etcd_messages.AnswerError as exc:
        return result.Failure(store.AnswerLost(str(exc)))


def as_read_result(
    call_result: result.Result[T, StoreFailure],
) -> result.Result[T, store.StoreUnreachable]:
    """Map the failures of a read to `StoreUnreachable`, since it changes nothing."""
    if isinstance(call_result, result.Success):
        return call_result
    return result.Failure(store.StoreUnreachable(call_result.failure().detail))


@attrs.frozen
class EtcdStore:
    """`store.Store` with blocking calls.

    Parameters
    ----------
    endpoint : str
        ``http://host:port``.
    prefix : str
        Common prefix of all keys.
    counts : Metrics
    timeout_s : float
        Time-out of each call.
    source_host : str
        Source address of calls; empty for any.
    """

    endpoint: str
    prefix: str
    counts: metrics.Metrics = NULL_METRICS
    timeout_s: float = CALL_TIMEOUT_S
    source_host: str = ""

    def read_prefix(
        self, prefix: str
    ) -> result.Result[store.Listing, store.StoreUnreachable]:
        """Read all keys that begin with `prefix`, as of one revision."""
        req = etcd_messages.range_request(self.prefix + prefix, is_prefix=True)
        return as_read_result(
            self._call(
                "range",
                etcd_messages.RANGE_PATH,
                req,
                lambda body: etcd_messages.listing(body, self.prefix),
            )
        )

    def commit(
        self, transaction: store.Transaction
    ) -> result.Result[store.Committed, StoreFailure | store.Conflict]:
        """Make all changes if every condition holds, otherwise none."""
        call_result = self._call(
            "commit",
            etcd_messages.TXN_PATH,
            etcd_messages.txn_request(self.prefix, transaction),
            lambda body: etcd_messages.txn_answer(body, self.prefix),
        )
        if isinstance(call_result, result.Failure):
            return result.Failure(call_result.failure())
        answer = call_result.unwrap()
        if isinstance(answer, store.Conflict):
            return result.Failure(answer)
        return result.Success(answer)

    def claim(
        self, key: str, value: bytes, lease_id: int = 0
    ) -> result.Result[store.Claimed, StoreFailure]:
        """Create the key if it does not exist, otherwise read it."""
        call_result = self._attempt_claim(key, value, lease_id)
        if isinstance(call_result, result.Failure) and isinstance(
            call_result.failure(), store.AnswerLost
        ):
            # If the first attempt took effect, the second one reads its value.
            retried = self._attempt_claim(key, value, lease_id)
            return retried if isinstance(retried, result.Success) else call_result
        return call_result

    @contextlib.contextmanager
    def watch(
        self, prefix: str, after_revision: int
    ) -> Iterator[Iterator[store.WatchAnswer]]:
        """Watch the changes after a revision; the iterator ends with the watch."""
        received = lines.Lines()
        call = self._make_call(
            "watch",
            etcd_messages.WATCH_PATH,
            etcd_messages.watch_request(self.prefix + prefix, after_revision),
        )
        curl = calls.make_curl(attrs.evolve(call, timeout_s=0.0), received.add)
        multi = pycurl.CurlMulti()
        multi.add_handle(curl)
        try:
            yield self._watch_answers(multi, received)
        finally:
            multi.remove_handle(curl)
            curl.close()
            multi.close()

    def grant_lease(self, ttl_s: int) -> result.Result[store.Lease, StoreFailure]:
        """Create a lease."""
        req = etcd_messages.grant_request(ttl_s)
        return self._call(
            "lease_grant", etcd_messages.GRANT_PATH, req, etcd_messages.lease
        )

    def keep_lease(self, lease_id: int) -> result.Result[store.Lease, StoreFailure]:
        """Renew a lease; `ttl_s` of the result is 0 or less if it has expired."""
        req = etcd_messages.lease_request(lease_id)
        return self._call(
            "lease_keepalive", etcd_messages.KEEPALIVE_PATH, req, etcd_messages.lease
        )

    def revoke_lease(self, lease_id: int) -> result.Result[None, StoreFailure]:
        """Revoke a lease; its keys are deleted."""
        req = etcd_messages.lease_request(lease_id)
        return self._call(
            "lease_revoke", etcd_messages.REVOKE_PATH, req, lambda _body: None
        )

    def _attempt_claim(
        self, key: str, value: bytes, lease_id: int
    ) -> result.Result[store.Claimed, StoreFailure]:
        return self._call(
            "claim",
            etcd_messages.TXN_PATH,
            etcd_messages.claim_request(self.prefix, key, value, lease_id),
            lambda body: etcd_messages.claim_answer(body, self.prefix, value),
        )

    def _watch_answers(
        self, multi: pycurl.CurlMulti, received: lines.Lines
    ) -> Iterator[store.WatchAnswer]:
        n_running = 1
        while n_running:
            multi.select(WATCH_POLL_S)
            _code, n_running = multi.perform()
            for line in received.take():
                yield etcd_messages.watch_answer(line, self.prefix)

    def _make_call(self, kind: str, path: str, body: bytes) -> calls.Call:
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
    ) -> result.Result[T, StoreFailure]:
        self.counts.count("store_calls", (kind,))
        call_result = calls.perform(self._make_call(kind, path, body), self.counts)
        return classify_result(call_result, decode)


@contextlib.contextmanager
def open_store(
    endpoint: str,
    prefix: str,
    counts: metrics.Metrics = NULL_METRICS,
    timeout_s: float = CALL_TIMEOUT_S,
) -> Iterator[store.Store]:
    """Open the store for blocking calls.

    Parameters
    ----------
    endpoint : str
        ``http://host:port``.
    prefix : str
        Common prefix of all keys, ``/bilberryridge/<deployment>/``.
    counts : Metrics, optional
    timeout_s : float, optional
        Time-out of each call.
    """
    yield EtcdStore(endpoint, prefix, counts, timeout_s)
