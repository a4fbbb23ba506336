"""What must hold of every request in every scenario, whatever fails.

Counted at the fakes: what a backend server ran, what a caller received.
"""

import collections
from typing import Any

from bilberryridge.standins import fleet, layout, sending

NOT_RUN = "not_run"


class BrokenError(Exception):
    """Something that must hold did not."""


class Audit:
    """The requests of one scenario.

    Parameters
    ----------
    running : fleet.Fleet
    """

    def __init__(self, running: fleet.Fleet):
        self._running = running
        self.all_sent: list[sending.Sent] = []

    async def add(self, sent: sending.Sent) -> None:
        """Note an answer, and check at once what later runs could hide.

        Raises
        ------
        BrokenError
        """
        self.all_sent.append(sent)
        if sent.answer.status == 200 and sent.answer.is_complete and not sent.is_right:
            raise BrokenError(
                f"a wrong answer was taken as whole: {sent.answer.body!r}"
            )
        if sent.answer.outcome == NOT_RUN:
            runs = await self.runs_of(sent)
            if runs:
                raise BrokenError(f"{sent} but it ran: {runs}")

    async def runs_of(self, sent: sending.Sent) -> list[dict[str, Any]]:
        """Return the runs of a request, those under its key included."""
        return [
            run
            for run in await self._running.all_runs()
            if (sent.key and run["key"] == sent.key)
            or (sent.request_id and run["request_id"] == sent.request_id)
        ]

    async def check(self) -> None:
        """Check at the end that no booking ran twice.

        Raises
        ------
        BrokenError
        """
        runs = await self._running.all_runs()
        counts = collections.Counter(
            run["key"] for run in runs if run["method"] == "POST" and run["key"]
        )
        twice = [key for key, n in counts.items() if n > 1]
        if twice:
            raise BrokenError(f"ran more than once: {twice}")
        unanswered = [
            sent
            for sent in self.all_sent
            if sent.key and sent.is_right and not counts[sent.key]
        ]
        if unanswered:
            raise BrokenError(f"{layout.PLAIN} answered what no server ran")
