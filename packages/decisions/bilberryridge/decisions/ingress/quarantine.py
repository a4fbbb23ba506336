"""Prompt parts under which backend servers crash, and which prompts are held back.

A part is in quarantine if several servers have crashed as they began to answer prompts
with it and no answer on it has gone well since. Prompts with the part share other parts
with sound ones, so a prompt is held back only if it has all the parts that are common
to the prompts of these crashes and not known to be sound. A crash counts against one
part only: that which fewest of the other prompts had.
"""

import collections
import math

import attrs

from bilberryridge.decisions.ingress import crash_reports

CRASHES_TO_QUARANTINE = 3
"""Servers that crashed until a part is in quarantine: two can end for another reason
while they begin to answer prompts with the same part."""
REPORT_TTL_S = 600.0
"""Time after which a report no longer counts; a part is tried again then."""
MAX_CRASHES = 300
"""Crashes whose reports are kept; a fleet that loses a region has fewer."""
MAX_PROMPTS = 200
"""Prompts of one crash that are kept; a server answers fewer at once."""
MAX_SOUND_PARTS = 5_000
RECENTLY_SOUND_S = 3.0
"""Time after a sound answer in which a part isn't reported after a crash."""


@attrs.define
class _Received:
    """What daemons reported of a crash, and when that was first received.

    The revision is the store's latest of these reports; 0 if it has none.
    """

    report: crash_reports.CrashReport
    at_s: float
    revision: int = 0


@attrs.define
class _Suspicion:
    """What speaks against a prompt part.

    Parameters
    ----------
    common_parts : frozenset of str
        Parts of all prompts that had the part, as far as not known to be sound.
    servers : set of str
        Servers that crashed.
    n_prompts : int
        Prompts with the part that they had just begun to answer.
    """

    common_parts: frozenset[str]
    servers: set[str] = attrs.field(factory=set)
    n_prompts: int = 0

    def add(self, prompt: frozenset[str], server: str) -> None:
        """Add a prompt with the part."""
        self.common_parts &= prompt
        self.servers.add(server)
        self.n_prompts += 1

    def order(self, part: str) -> tuple[float, int, str]:
        """Return the order in which parts are taken as the causes of crashes.

        A part that other prompts of the crashed servers had as well comes later.
        """
        return (-len(self.servers) / self.n_prompts, -len(self.servers), part)


class Quarantine:
    """The crash reports of all daemons and the parts in quarantine.

    Attributes
    ----------
    signatures : dict of str to frozenset of str
        For each part in quarantine the parts that a prompt must all have to be held
        back.

    Examples
    --------
    >>> quarantine = Quarantine()
    >>> for n in range(3):
    ...     prompt = frozenset(["bad", f"other {n}"])
    ...     report = crash_reports.CrashReport(f"server {n}", "vm-1", (prompt,))
    ...     quarantine.record_crash(report, now_s=float(n))
    >>> quarantine.find(["first", "bad"]), quarantine.find(["first", "other 1"])
    ('bad', None)
    """

    def __init__(self) -> None:
        self.signatures: dict[str, frozenset[str]] = {}
        self._received: dict[str, _Received] = {}
        self._sound_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._sound_revisions: dict[str, int] = {}
        self._n_crashes: dict[str, int] = {}

    def record_crash(self, report: crash_reports.CrashReport, now_s: float) -> None:
        """Take a report; a further one of the same crash adds its prompts."""
        if self._add(report, now_s):
            self._update()

    def apply_stored(self, stored: crash_reports.StoredReports, now_s: float) -> None:
        """Apply the reports that the store holds; those that it has lost still hold."""
        revisions: dict[str, int] = {}
        for report, revision in stored.crashes:
            revisions[report.server] = max(revision, revisions.get(report.server, 0))
        for server, received in self._received.items():
            if received.revision and server not in revisions:
                self._forget_revision(received)
        self._sound_revisions = {
            sound.part: revision for sound, revision in stored.sound_parts
        }
        for report, _ in stored.crashes:
            self._add(report, now_s)
        for server, received in self._received.items():
            received.revision = revisions.get(server, 0)
        self._update()

    def record_sound(self, parts: list[str], now_s: float) -> list[str]:
        """Record an answer that went well; return the parts that were suspected.

        Only those that lack one crash to a quarantine, or none, are returned.
        """
        suspected = [part for part in parts if self._is_part_suspected(part)]
        is_reported = any(part in self._n_crashes for part in parts)
        for part in parts:
            self._sound_s[part] = now_s
            self._sound_s.move_to_end(part)
        while len(self._sound_s) > MAX_SOUND_PARTS:
            self._sound_s.popitem(last=False)
        if is_reported:
            self._update()
        return suspected

    def is_suspected(self, report: crash_reports.CrashReport) -> bool:
        """Return whether a part lacks one crash to a quarantine, or none."""
        return any(
            self._is_part_suspected(part)
            for prompt in report.prompts
            for part in prompt
        )

    def is_recently_sound(self, part: str, now_s: float) -> bool:
        """Return whether an answer on the part has just gone well here."""
        return now_s - self._sound_s.get(part, -math.inf) < RECENTLY_SOUND_S

    def find(self, parts: list[str]) -> str | None:
        """Return a part for which a prompt is held back; None if there is none."""
        if not self.signatures:
            return None
        for part in parts:
            signature = self.signatures.get(part)
            if signature is not None and signature.issubset(parts):
                return part
        return None

    def held_back(self) -> list[crash_reports.CrashReport]:
        """Return the reports that parts are held back for."""
        reports = [
            self._without_sound_parts(received) for received in self._received.values()
        ]
        return [
            report
            for report in reports
            if any(not prompt.isdisjoint(self.signatures) for prompt in report.prompts)
        ]

    def ends_in_s(self, part: str, now_s: float) -> float:
        """Return the time until the reports on a part in quarantine expire."""
        newest_s = max(
            (
                received.at_s
                for received in self._received.values()
                if any(part in prompt for prompt in received.report.prompts)
            ),
            default=now_s,
        )
        return max(0.0, newest_s + REPORT_TTL_S - now_s)

    def expire(self, now_s: float) -> None:
        """Drop expired reports."""
        if not self._received:
            return
        expired = [
            server
            for server, received in self._received.items()
            if now_s - received.at_s > REPORT_TTL_S
        ]
        for server in expired:
            del self._received[server]
        if expired:
            self._update()

    def _add(self, report: crash_reports.CrashReport, now_s: float) -> bool:
        """Add a report; return whether it tells something new."""
        known = self._received.get(report.server)
        if known is None:
            self._received[report.server] = _Received(report, now_s)
            self._evict()
            return True
        prompts = known.report.prompts
        new = tuple(prompt for prompt in report.prompts if prompt not in prompts)
        prompts = (*prompts, *new)[:MAX_PROMPTS]
        known.report = attrs.evolve(known.report, prompts=prompts)
        return bool(new)

    def _evict(self) -> None:
        """Drop the oldest reports, those that parts are held back for last."""
        if len(self._received) <= MAX_CRASHES:
            return
        needed = {report.server for report in self.held_back()}
        unneeded = (server for server in self._received if server not in needed)
        del self._received[next(unneeded, next(iter(self._received)))]

    def _forget_revision(self, received: _Received) -> None:
        """Keep a report for itself; the store may issue its revision again."""
        received.report = self._without_sound_parts(received)
        received.revision = 0

    def _without_sound_parts(self, received: _Received) -> crash_reports.CrashReport:
        prompts = tuple(
            frozenset(p for p in prompt if not self._is_sound_since(p, received))
            for prompt in received.report.prompts
        )
        return attrs.evolve(received.report, prompts=prompts)

    def _update(self) -> None:
        suspicions = self._suspicions()
        self._n_crashes = {
            part: len(suspicion.servers) for part, suspicion in suspicions.items()
        }
        self.signatures = {}
        explained: set[str] = set()
        for part in sorted(suspicions, key=lambda part: suspicions[part].order(part)):
            suspicion = suspicions[part]
            if len(suspicion.servers - explained) >= CRASHES_TO_QUARANTINE:
                self.signatures[part] = suspicion.common_parts
                explained |= suspicion.servers

    def _suspicions(self) -> dict[str, _Suspicion]:
        suspicions: dict[str, _Suspicion] = {}
        for received in self._received.values():
            for suspects in self._without_sound_parts(received).prompts:
                for part in suspects:
                    suspicion = suspicions.setdefault(part, _Suspicion(suspects))
                    suspicion.add(suspects, received.report.server)
        return suspicions

    def _is_part_suspected(self, part: str) -> bool:
        return self._n_crashes.get(part, 0) >= CRASHES_TO_QUARANTINE - 1

    def _is_sound_since(self, part: str, received: _Received) -> bool:
        if self._sound_s.get(part, -math.inf) > received.at_s:
            return True
        return 0 < received.revision < self._sound_revisions.get(part, 0)
