"""Contract tests of the blocking store against a gateway with injected faults."""

import contextlib
import json

import pytest
from returns import result

from bilberryridge.store import etcd, etcd_messages, store
from bilberryridge.store.tests import fakes

TIMEOUT_S = 0.5


@pytest.fixture
def gateway():
    fake = fakes.FakeStore()
    with fakes.serve(fake, fakes.StoreHandler, 2379) as address:
        fake.address = address
        yield fake
        fake.end_watches()


@contextlib.contextmanager
def opened(gateway, counts=None):
    endpoint = f"http://{gateway.address}"
    counts = counts or fakes.CountingMetrics()
    with etcd.open_store(endpoint, fakes.PREFIX, counts, TIMEOUT_S) as opened_store:
        yield opened_store


def put_if(key, mod_revision, value=b"new"):
    return store.Transaction(
        (store.Compare(key, mod_revision),), (store.Put(key, value),)
    )


def test_commit_compares_and_swaps(gateway):
    gateway.put("documents/vm/a", b"old")
    revision = gateway.revision
    with opened(gateway) as kv:
        assert kv.commit(put_if("documents/vm/a", revision)) == result.Success(
            store.Committed(revision + 1)
        )
        second = kv.commit(put_if("documents/vm/a", revision, b"other"))
        assert second.failure().current[0].value == b"new"
        absent = kv.commit(put_if("documents/vm/c", 1))
        assert absent.failure() == store.Conflict((), revision + 1)
        listing = kv.read_prefix("documents/").unwrap()
        assert [(item.key, item.value) for item in listing.items] == [
            ("documents/vm/a", b"new")
        ]


def down(gateway):
    gateway.is_down = True


def slow(gateway):
    gateway.slow_s = 3 * TIMEOUT_S


def answer_lost(gateway):
    gateway.n_lost_answers = 9


def garbled(gateway):
    gateway.is_garbled = True


def unavailable(gateway):
    gateway.status = 503


def refusing(gateway):
    gateway.status = 400


def moved(gateway):
    gateway.address = gateway.address.replace(":2379", ":2378")


def failure_classes(kv):
    """Return the failure classes of a read, a transaction and a claim."""
    results = [
        kv.read_prefix("documents/"),
        kv.commit(put_if("documents/vm/a", 0)),
        kv.claim("claims/x", b"me"),
    ]
    return [type(call_result.failure()) for call_result in results]


LOST = [store.StoreUnreachable, store.AnswerLost, store.AnswerLost]
FAULTS = [
    (down, LOST),
    (slow, LOST),
    (answer_lost, LOST),
    (garbled, LOST),
    (unavailable, LOST),
    (refusing, [store.StoreUnreachable] * 3),
    (moved, [store.StoreUnreachable] * 3),
]


@pytest.mark.parametrize(("fault", "expected"), FAULTS)
def test_failure_class_tells_whether_a_change_may_have_taken_effect(
    gateway, fault, expected
):
    fault(gateway)
    with opened(gateway) as kv:
        assert failure_classes(kv) == expected


CLAIMS = [
    ("free", None, {}, True, b"me"),
    ("own already", b"me", {}, True, b"me"),
    ("taken", b"other", {}, False, b"other"),
    ("answer lost", None, {"n_lost_answers": 1}, True, b"me"),
    ("request lost", None, {"n_lost_requests": 1}, True, b"me"),
    ("taken, answer lost", b"other", {"n_lost_answers": 1}, False, b"other"),
]


@pytest.mark.parametrize(
    ("before", "fault", "is_held", "value"),
    [case[1:] for case in CLAIMS],
    ids=[case[0] for case in CLAIMS],
)
def test_claim_has_one_holder(gateway, before, fault, is_held, value):
    if before:
        gateway.put("claims/x", before)
    for name, setting in fault.items():
        setattr(gateway, name, setting)
    with opened(gateway) as kv:
        claimed = kv.claim("claims/x", b"me").unwrap()
    assert (claimed.is_held, claimed.value) == (is_held, value)


def test_watch_returns_changes_in_order_and_ends(gateway):
    gateway.put("documents/vm/a", b"1")
    with opened(gateway) as kv, kv.watch("documents/", 0) as answers:
        assert next(answers).changes == ()
        assert [change.item.value for change in next(answers).changes] == [b"1"]
        gateway.delete("documents/vm/a")
        assert [change.is_deleted for change in next(answers).changes] == [True]
        gateway.end_watches()
        assert list(answers) == []


def test_lease_calls_are_answered_and_counted(gateway):
    counts = fakes.CountingMetrics()
    with opened(gateway, counts) as kv:
        assert kv.grant_lease(5).unwrap().ttl_s == 5
        assert kv.keep_lease(7).unwrap() == store.Lease(7, 0)
        assert kv.revoke_lease(7) == result.Success(None)
    assert counts.counters["store_calls", "lease_grant"] == 1


BAD_ANSWERS = [
    b"",
    b"[]",
    b"{",
    b'{"header": 3}',
    b'{"header": {"revision": "x"}}',
    b'{"header": {}, "kvs": [{"key": "*"}], "responses": [{"response_range": 1}]}',
    json.dumps({"result": {"events": [{}]}, "kvs": 7, "succeeded": 0}).encode(),
]


@pytest.mark.parametrize("body", BAD_ANSWERS)
def test_malformed_answers_raise_answer_error(body):
    for decode in (
        lambda: etcd_messages.listing(body, "p"),
        lambda: etcd_messages.claim_answer(body, "p", b"v"),
        lambda: etcd_messages.watch_answer(body, "p"),
    ):
        with pytest.raises(etcd_messages.AnswerError):
            decode()
