"""The checker reports each guarantee that a result violates."""

import pytest

from bilberryridge.soak import checks


def answered(**changes):
    values = {
        "id": "a",
        "kind": "unsafe",
        "at_s": 1.0,
        "took_s": 0.1,
        "status": 200,
        "is_complete": True,
        "body": b"answer to a",
        "deadline_s": 3.0,
    }
    return checks.CallResult(**{**values, **changes})


def check(row, runs=("a",)):
    checker = checks.Checker(lambda a: b"answer to " + a.id.encode())
    checker.add(row)
    return checker.check_now(runs)


def test_correct_result_violates_no_guarantee():
    assert check(answered()) == []
    assert check(answered(status=503, body=b""), ()) == []
    assert check(answered(status=0, is_complete=False, body=b"")) == []


@pytest.mark.parametrize(
    ("row", "runs", "promise"),
    [
        (answered(), ("a", "a"), "at most once"),
        (answered(status=502), ("a", "a"), "at most once"),
        (answered(status=503), ("a",), '"not run"'),
        (answered(status=429), ("a",), '"not run"'),
        (answered(body=b"answer to b"), ("a",), "wrong complete answer"),
        (answered(body=b"answer"), ("a",), "wrong complete answer"),
        (
            answered(kind="stream", is_complete=False, body=b"swer"),
            ("a",),
            "stream order",
        ),
        (answered(status=404), (), "denied"),
    ],
)
def test_violated_guarantee_is_reported(row, runs, promise):
    [broken] = check(row, runs)
    assert broken.startswith(promise)


def test_retryable_request_may_run_twice():
    assert check(answered(kind="safe"), ("a", "a")) == []


def test_deployment_that_does_not_recover_is_reported():
    checker = checks.Checker(lambda a: b"answer to a")
    for n in range(10):
        checker.add(answered(at_s=10.0, status=200 if n < 5 else 503))
    assert checker.check_recovery(9.0, 0.9)
    assert not checker.check_recovery(11.0, 0.9)
