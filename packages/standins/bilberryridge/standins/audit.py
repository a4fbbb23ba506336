"""Invariants of every request in every scenario, whatever fault is injected.

They compare the runs that the fake backend servers counted with the answers that the
callers received.
"""

import collections
from typing import Any

from bilberryridge.standins import fleet, layout, sending

NOT_RUN = "not_run"


class InvariantError(Exception):
    """A request violated an invariant."""


class Audit:
    """Checks the invariants for the requests of one scenario.

    Parameters
    ----------
    running : fleet.Fleet
    """

    def __init__(self, running: fleet.Fleet):
        self._running = running
        self.exchanges: list[sending.Exchange] = []

    async def add(self, exchange: sending.Exchange) -> None:
        """Record an exchange; check at once what later runs could hide.

        Raises
        ------
        InvariantError
        """
        self.exchanges.append(exchange)
        if (
            exchange.answer.status == 200
            and exchange.answer.is_complete
            and not exchange.is_right
        ):
            raise InvariantError(
                f"a wrong answer looked complete: {exchange.answer.body!r}"
            )
        if exchange.answer.outcome == NOT_RUN:
            runs = await self.runs_of(exchange)
            if runs:
                raise InvariantError(f"{exchange} but it ran: {runs}")

    async def runs_of(self, exchange: sending.Exchange) -> list[dict[str, Any]]:
        """Return the runs of a request, including those under its idempotency key."""
        return [
            run
            for run in await self._running.all_runs()
            if (exchange.key and run["key"] == exchange.key)
            or (exchange.request_id and run["request_id"] == exchange.request_id)
        ]

    async def check(self) -> None:
        """Check that no booking ran twice and that each answered one ran.

        Raises
        ------
        InvariantError
        """
        runs = await self._running.all_runs()
        counts = collections.Counter(
            run["key"] for run in runs if run["method"] == "POST" and run["key"]
        )
        repeated_keys = [key for key, n in counts.items() if n > 1]
        if repeated_keys:
            raise InvariantError(f"ran more than once: {repeated_keys}")
        without_run = [
            exchange
            for exchange in self.exchanges
            if exchange.key and exchange.is_right and not counts[exchange.key]
        ]
        if without_run:
            raise InvariantError(f"{layout.PLAIN} answered what no server ran")
