"""Requests under which backend servers crash, recognized by their content."""

import collections
import math

import attrs

from bilberryridge.decisions.ingress import crash_reports

CRASHES_TO_HOLD_BACK = 3
"""Servers that crashed until a request is held back; see `quarantine`."""
REPORT_TTL_S = 600.0
"""Time after which a crash no longer counts; the request is tried again then."""
MAX_CONTENTS = 5_000


@attrs.define
class _Crash:
    """A crash and when it was heard of; the revision is 0 if it isn't stored yet."""

    at_s: float
    revision: int = 0


@attrs.define
class _History:
    """Crashes of servers that had one request, by the start of the server."""

    crashes: dict[str, _Crash] = attrs.field(factory=dict)
    sound_s: float = -math.inf
    sound_revision: int = 0

    def counting(self, now_s: float) -> list[_Crash]:
        """Return the crashes since the last sound answer that haven't expired."""
        return [
            crash
            for crash in self.crashes.values()
            if crash.at_s > max(self.sound_s, now_s - REPORT_TTL_S)
            and not 0 < crash.revision < self.sound_revision
        ]


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

    def record_crash(self, content_id: str, server: str, now_s: float) -> None:
        """Record that a server crashed; a crash that is known keeps its time."""
        history = self._history(content_id)
        history.crashes.setdefault(server, _Crash(now_s))
        self._evict(now_s)

    def record_sound(self, content_id: str, now_s: float) -> int:
        """Record an answer; return the number of crashes that it shows not to count."""
        history = self._by_content.get(content_id)
        if history is None:
            return 0
        n_crashes = len(history.counting(now_s))
        history.sound_s = now_s
        return n_crashes

    def apply_stored(self, stored: crash_reports.StoredReports, now_s: float) -> None:
        """Apply the crashes and sound answers that the store holds."""
        for report, revision in stored.crashed_requests:
            for content_id in report.contents:
                self.record_crash(content_id, report.server, now_s)
                history = self._by_content[content_id]
                history.crashes[report.server].revision = revision
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
        crashes = history.counting(now_s) if history else []
        if len(crashes) < CRASHES_TO_HOLD_BACK:
            return None
        times_s = sorted(crash.at_s for crash in crashes)
        return times_s[-CRASHES_TO_HOLD_BACK] + REPORT_TTL_S - now_s

    def _history(self, content_id: str) -> _History:
        history = self._by_content.setdefault(content_id, _History())
        self._by_content.move_to_end(content_id)
        return history

    def _evict(self, now_s: float) -> None:
        """Drop the oldest, those that are held back last."""
        if len(self._by_content) <= MAX_CONTENTS:
            return
        for content_id in self._by_content:
            if self.held_back_for_s(content_id, now_s) is None:
                del self._by_content[content_id]
                return
        self._by_content.popitem(last=False)
