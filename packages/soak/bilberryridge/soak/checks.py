"""Checks the guarantees from callers' results and the runs of backend servers."""

import collections
import threading
from collections.abc import Iterable

import attrs

NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])


@attrs.frozen
class CallResult:
    """Result of one request as the caller received it.

    Parameters
    ----------
    id : str
    kind : str
        ``safe``, ``unsafe`` or ``stream``.
    at_s : float
        Time of sending, in seconds from the start of the run.
    took_s : float
    status : int
        0 when the connection ended before a complete response head.
    is_complete : bool
        Whether the body is complete according to its framing.
    body : bytes
    deadline_s : float
    """

    id: str
    kind: str
    at_s: float
    took_s: float
    status: int
    is_complete: bool
    body: bytes
    deadline_s: float


class Checker:
    """Collects callers' results and checks them. Thread-safe.

    Examples
    --------
    >>> checker = Checker(expected_answer=lambda a: b"answer to " + a.id.encode())
    >>> checker.add(CallResult("a", "unsafe", 0, 0.1, 503, True, b"", 3.0))
    >>> checker.check_now(["a", "a"])
    ['at most once: a ran 2 times', '"not run": a got 503 and ran']
    """

    def __init__(self, expected_answer):  # type: ignore[no-untyped-def]
        self._expected_answer = expected_answer
        self._lock = threading.Lock()
        self._answers: list[CallResult] = []

    def add(self, answered: CallResult) -> None:
        """Record a caller's result."""
        with self._lock:
            self._answers.append(answered)

    def answers(self) -> list[CallResult]:
        """Return the results recorded so far."""
        with self._lock:
            return list(self._answers)

    def check_now(self, runs: Iterable[str]) -> list[str]:
        """Return a description of each violated guarantee.

        Parameters
        ----------
        runs : iterable of str
            Ids of the attempts that backend servers ran, one entry per run.
        """
        n_runs = collections.Counter(runs)
        broken = []
        for answered in self.answers():
            broken += _check_at_most_once(answered, n_runs)
            broken += self._check_answer(answered)
        return broken

    def check_recovery(self, since_s: float, min_fraction: float) -> list[str]:
        """Check that at least a fraction of the requests since a time were served.

        Parameters
        ----------
        since_s : float
            Seconds from the start of the run.
        min_fraction : float
            Of the requests sent since then.
        """
        recent = [a for a in self.answers() if a.at_s >= since_s]
        n_served = sum(a.status == 200 and a.is_complete for a in recent)
        if recent and n_served < min_fraction * len(recent):
            return [
                f"recovery: {n_served} of {len(recent)} served since {since_s:.1f} s"
            ]
        return []

    def _check_answer(self, answered: CallResult) -> list[str]:
        broken = []
        if answered.status == 200 and answered.is_complete:
            expected = self._expected_answer(answered)
            if answered.body != expected:
                broken.append(
                    f"wrong complete answer: {answered.id} got {answered.body!r}"
                )
        elif answered.status == 200 and answered.kind == "stream":
            expected = self._expected_answer(answered)
            if not expected.startswith(answered.body):
                broken.append(f"stream order: {answered.id} got {answered.body!r}")
        if answered.status in (404, 400):
            broken.append(f"denied: {answered.id} got {answered.status}")
        return broken


def _check_at_most_once(
    answered: CallResult, n_runs: collections.Counter[str]
) -> list[str]:
    broken = []
    n = n_runs[answered.id]
    if answered.kind == "unsafe" and n > 1:
        broken.append(f"at most once: {answered.id} ran {n} times")
    is_not_run_status = answered.status in NOT_RUN_STATUSES
    if answered.kind == "unsafe" and is_not_run_status and n:
        broken.append(f'"not run": {answered.id} got {answered.status} and ran')
    return broken
