"""The promises, checked from what callers got and what backend servers ran."""

import collections
import threading
from collections.abc import Iterable

import attrs

NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])


@attrs.frozen
class CallResult:
    """What a caller got for one attempt.

    Parameters
    ----------
    id : str
    kind : str
        ``safe``, ``unsafe`` or ``stream``.
    at_s : float
        When it was sent, from the start of the run.
    took_s : float
    status : int
        0 when the connection ended without a whole head.
    is_complete : bool
        Whether the answer ended as its framing says.
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
    """Collects what is seen; any thread may add.

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
        """Take what a caller got."""
        with self._lock:
            self._answers.append(answered)

    def answers(self) -> list[CallResult]:
        """Return what callers got so far."""
        with self._lock:
            return list(self._answers)

    def check_now(self, runs: Iterable[str]) -> list[str]:
        """Return the broken promises.

        Parameters
        ----------
        runs : iterable of str
            Ids of the attempts that backend servers ran, once a run.
        """
        n_runs = collections.Counter(runs)
        broken = []
        for answered in self.answers():
            broken += _check_at_most_once(answered, n_runs)
            broken += self._check_answer(answered)
        return broken

    def check_recovery(self, since_s: float, min_fraction: float) -> list[str]:
        """Return whether callers that came since a time were served."""
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
                broken.append(f"own, whole answer: {answered.id} got {answered.body!r}")
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
