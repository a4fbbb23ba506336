"""Requests under which backend servers crash, recognized by their content.

A request that is held back is tried again twice, by one daemon: the crashes may have
had another cause, and without an answer nothing would show it.
"""

import collections
import math

import attrs

from bilberryridge.decisions.ingress import crash_reports

CRASHES_TO_HOLD_BACK = 3
"""Servers that crashed until a request is held back; see `quarantine`."""
REPORT_TTL_S = 600.0
"""Time after which a crash no longer counts; the request is tried again then."""
MAX_CONTENTS = 5_000
RECENTLY_SOUND_S = 3.0
"""Time after an answer in which a request isn't blamed for a crash."""
TRIAL_AFTER_S = (8.0, 120.0)
"""Time from the latest crash or trial to each trial; the first is soon enough for a
service to recover within 12 s of its last crash."""


@attrs.define
class _Crash:
    """A crash and when it was heard of; the revision is 0 if it isn't stored yet.

    It is refuted if that start of the server has answered since.
    """

    at_s: float
    revision: int = 0
    is_refuted: bool = False


@attrs.define
class _History:
    """Crashes of servers that had one request, by the start of the server."""

    crashes: dict[str, _Crash] = attrs.field(factory=dict)
    sound_s: float = -math.inf
    sound_revision: int = 0
    n_trials: int = 0
    tried_s: float = -math.inf

    def counting(self, now_s: float) -> dict[str, _Crash]:
        """Return the crashes since the last sound answer that haven't expired."""
        return {
            server: crash
            for server, crash in self.crashes.items()
            if crash.at_s > max(self.sound_s, now_s - REPORT_TTL_S)
            and not 0 < crash.revision < self.sound_revision
            and not crash.is_refuted
        }

    def trial_s(self, now_s: float) -> float:
        """Return when the request may be tried; infinite if no trial is left."""
        crashes = self.counting(now_s)
        n_trials = max(self.n_trials, len(crashes) - CRASHES_TO_HOLD_BACK)
        if n_trials >= len(TRIAL_AFTER_S):
            return math.inf
        latest_s = max(self.tried_s, *(crash.at_s for crash in crashes.values()))
        return latest_s + TRIAL_AFTER_S[n_trials]


class CrashingRequests:
    """Which requests are held back, as servers crashed that had begun them.

    Examples
    --------
    >>> requests = CrashingRequests()
    >>> for n in range(3):
    ...     requests.record_crash("a", f"server {n}", now_s=float(n))
    >>> requests.held_back_for_s("a", now_s=3.0), requests.held_back_for_s("b", 3.0)
    (597.0, None)
    >>> requests.record_sound("a", now_s=4.0)
    3
    >>> requests.held_back_for_s("a", now_s=5.0) is None
    True
    """

    def __init__(self) -> None:
        self._by_content: collections.OrderedDict[str, _History] = (
            collections.OrderedDict()
        )
        self._sound_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._contents_by_server: dict[str, set[str]] = {}

    def record_crash(
        self, content_id: str, server: str, now_s: float, revision: int = 0
    ) -> None:
        """Record that a server crashed; a crash that is known keeps its time.

        Parameters
        ----------
        content_id, server : str
        now_s : float
        revision : int
            Of the store, which may tell what has been refuted; 0 for a new report.
        """
        history = self._history(content_id)
        crash = history.crashes.setdefault(server, _Crash(now_s))
        if crash.is_refuted and not revision:
            history.crashes[server] = _Crash(now_s)
        crash.revision = max(crash.revision, revision)
        self._contents_by_server.setdefault(server, set()).add(content_id)
        self._evict(now_s)

    def refute(self, server: str, before_s: float) -> None:
        """Record that a server answers that was reported as crashed before a time."""
        for content_id in self._contents_by_server.get(server, ()):
            crash = self._by_content[content_id].crashes[server]
            if crash.at_s < before_s:
                crash.is_refuted = True

    def record_sound(self, content_id: str, now_s: float) -> int:
        """Record an answer; return the crashes since the last, also refuted ones."""
        self._sound_s[content_id] = now_s
        self._sound_s.move_to_end(content_id)
        if len(self._sound_s) > MAX_CONTENTS:
            self._sound_s.popitem(last=False)
        history = self._by_content.get(content_id)
        if history is None:
            return 0
        latest_s = (crash.at_s for crash in history.crashes.values())
        n_crashes = sum(at_s > history.sound_s for at_s in latest_s)
        history.sound_s = now_s
        history.n_trials = 0
        return n_crashes

    def record_trial(self, content_id: str, now_s: float) -> None:
        """Record that a request that is held back is tried."""
        history = self._by_content[content_id]
        history.n_trials += 1
        history.tried_s = now_s

    def is_recently_sound(self, content_id: str, now_s: float) -> bool:
        """Return whether the request has just been answered here."""
        return now_s - self._sound_s.get(content_id, -math.inf) < RECENTLY_SOUND_S

    def trial_s(self, content_id: str, now_s: float) -> float:
        """Return when a request that is held back may be tried."""
        return self._by_content[content_id].trial_s(now_s)

    def held_back(self, now_s: float) -> list[crash_reports.CrashedRequests]:
        """Return the crashes that requests are held back for."""
        return [
            crash_reports.CrashedRequests(server, (content_id,))
            for content_id, history in self._by_content.items()
            if len(history.counting(now_s)) >= CRASHES_TO_HOLD_BACK
            for server in history.counting(now_s)
        ]

    def apply_stored(self, stored: crash_reports.StoredReports, now_s: float) -> None:
        """Apply the crashes and sound answers that the store holds."""
        for report, revision in stored.crashed_requests:
            for content_id in report.contents:
                self.record_crash(content_id, report.server, now_s, revision)
        for sound, revision in stored.sound_parts:
            if sound.part in self._by_content:
                self._by_content[sound.part].sound_revision = revision

    def n_crashes(self, content_id: str, now_s: float) -> int:
        """Return the number of servers that crashed since the last sound answer."""
        history = self._by_content.get(content_id)
        return len(history.counting(now_s)) if history else 0

    def held_back_for_s(self, content_id: str, now_s: float) -> float | None:
        """Return how long a request is still held back; None if it is not."""
        history = self._by_content.get(content_id)
        crashes = history.counting(now_s) if history else {}
        if len(crashes) < CRASHES_TO_HOLD_BACK:
            return None
        times_s = sorted(crash.at_s for crash in crashes.values())
        return times_s[-CRASHES_TO_HOLD_BACK] + REPORT_TTL_S - now_s

    def _history(self, content_id: str) -> _History:
        history = self._by_content.setdefault(content_id, _History())
        self._by_content.move_to_end(content_id)
        return history

    def _evict(self, now_s: float) -> None:
        """Drop the oldest, those that are held back last."""
        if len(self._by_content) <= MAX_CONTENTS:
            return
        oldest = next(iter(self._by_content))
        for content_id in self._by_content:
            if self.held_back_for_s(content_id, now_s) is None:
                oldest = content_id
                break
        for server in self._by_content.pop(oldest).crashes:
            self._contents_by_server[server].discard(oldest)
            if not self._contents_by_server[server]:
                del self._contents_by_server[server]
