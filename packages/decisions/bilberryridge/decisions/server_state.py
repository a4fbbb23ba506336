"""State of one server and of the pool of servers that it belongs to.

See Also
--------
bilberryridge.decisions.loads : keeps these states up to date.
"""

import collections
import math
import statistics

import attrs

from bilberryridge.decisions import health as healths

MAX_CHANGES = 256
"""Bound on the recorded changes of a server; the two oldest are merged beyond it."""
POOL_REFRESH_S = 0.2
DEFAULT_SLOTS = 16
PRIOR_UTILISATION = 0.5
"""Utilisation of a pool before its first refresh."""
MIN_TIMED_SERVERS = 2
"""Servers with measured waits that are needed for a typical wait of the pool."""


@attrs.frozen
class Pending:
    """A request of this daemon whose first content was not received yet.

    Parameters
    ----------
    sent_s : float
    n_tokens : int
        Prompt tokens that the server has to compute for the request.
    """

    sent_s: float
    n_tokens: int


@attrs.define
class Server:
    """State of one server; changed only by `loads.LoadTable`."""

    pool: str = ""
    n_slots: int = DEFAULT_SLOTS
    n_running: int = 0
    n_waiting: int = 0
    reported_s: float | None = None
    changes: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    n_net_sent: int = 0
    n_open: int = 0
    n_open_tokens: int = 0
    pending: dict[str, Pending] = attrs.field(factory=dict)
    n_pending_tokens: int = 0
    health: healths.Health = attrs.field(factory=healths.Health)
    is_forgotten: bool = False

    def record_change(self, now_s: float, delta: int) -> None:
        """Record a request of this daemon that was sent (1) or ended (-1) here."""
        self.n_open += delta
        self.n_net_sent += delta
        self.changes.append((now_s, delta))
        if len(self.changes) > MAX_CHANGES:
            _, first = self.changes.popleft()
            at_s, second = self.changes.popleft()
            self.changes.appendleft((at_s, first + second))

    def add_pending(self, request_id: str, pending: Pending) -> None:
        """Record a request that was sent and whose first content is awaited."""
        self.pending[request_id] = pending
        self.n_pending_tokens += pending.n_tokens

    def drop_pending(self, request_id: str) -> None:
        """Remove a request whose first content was received or is no longer awaited."""
        pending = self.pending.pop(request_id, None)
        if pending is not None:
            self.n_pending_tokens -= pending.n_tokens

    def drop_changes(self, until_s: float) -> None:
        """Drop the changes that a report of time `until_s` already includes."""
        while self.changes and self.changes[0][0] <= until_s:
            self.n_net_sent -= self.changes.popleft()[1]


@attrs.define
class Pool:
    """The servers of one service and their typical load and latency."""

    servers: dict[str, Server] = attrs.field(factory=dict)
    refreshed_s: float = -math.inf
    utilisation: float = PRIOR_UTILISATION
    n_own_per_slot: float = 0.0
    typical_wait_s: float | None = None
    hold_s: float | None = None
    hold_s_per_token: float | None = None

    def refresh(self, now_s: float, n_daemons: int) -> None:
        """Recompute the statistics over all servers; called each `POOL_REFRESH_S`."""
        self.refreshed_s = now_s
        servers = list(self.servers.values())
        n_slots = sum(state.n_slots for state in servers)
        n_own = sum(state.n_open for state in servers)
        self.n_own_per_slot = n_own / n_slots
        known = [state for state in servers if state.reported_s is not None]
        if known:
            n_known = sum(
                max(item.n_running + item.n_waiting + item.n_net_sent, item.n_open)
                for item in known
            )
            self.utilisation = n_known / sum(item.n_slots for item in known)
        else:
            self.utilisation = min(self.n_own_per_slot * n_daemons, 1.0)
        waits = [
            state.health.wait_s
            for state in servers
            if state.health.n_waits >= healths.MIN_WAITS
        ]
        if len(waits) >= MIN_TIMED_SERVERS:
            self.typical_wait_s = statistics.median_low(waits)
