"""Expected load of each backend server now.

A load report is already old when it arrives. It is corrected by the requests that this
daemon sent and saw end since. Its weight decays with age towards the mean load of the
server's pool, so an unknown load counts neither as zero nor as infinite.

See Also
--------
bilberryridge.decisions.server_state : the state of one server and of a pool.
bilberryridge.decisions.health : ejection, slowness and recovery of a server.

References
----------
M. Dahlin, "Interpreting Stale Load Information", IEEE Transactions on Parallel and
Distributed Systems 11 (10), 2000.
"""

import math
import random

import attrs

from bilberryridge.core import requests
from bilberryridge.decisions import server_state

REPORT_DECAY_S = 10.0
"""Time constant with which the weight of a report decays."""
MAX_OPEN = 20_000
"""Bound on the requests tracked; the oldest is dropped first."""
MAX_EJECTED_FRACTION = 0.5
"""Fraction of a pool that may be ejected, but always one server."""
HOLD_EWMA_WEIGHT = 0.05
"""Weight of a new sample in the moving averages of the hold time."""


@attrs.frozen
class Estimate:
    """Expected load of a server.

    Parameters
    ----------
    n_busy, n_waiting : float
        Requests being served and in the server's queue.
    age_s : float
        Age of the report that it is based on; infinite if there is none.
    """

    n_busy: float
    n_waiting: float
    age_s: float


@attrs.define
class _OpenRequest:
    state: server_state.Server
    sent_s: float
    priority: requests.Priority
    n_output_tokens: int = 0
    has_begun: bool = False


class LoadTable:
    """Loads and health of the servers that this daemon sends to.

    Parameters
    ----------
    max_servers : int
        At this bound the server without open requests whose last report is the
        oldest is dropped.
    random_state : random.Random
        Jitters the time for which a failing server is ejected.
    """

    def __init__(self, max_servers: int, random_state: random.Random):
        self.n_daemons = 1
        self._max_servers = max_servers
        self._random_state = random_state
        self._servers: dict[str, server_state.Server] = {}
        self._pools: dict[str, server_state.Pool] = {}
        self._open: dict[str, _OpenRequest] = {}

    def __len__(self) -> int:
        return len(self._servers)

    def server(
        self, name: str, pool: str = "", n_slots: int = 0
    ) -> server_state.Server:
        """State of a server, created if new; sets its pool and slots if given."""
        state = self._servers.get(name)
        if state is None or (pool and pool != state.pool):
            state = self._assign_pool(name, pool)
        if n_slots:
            state.n_slots = n_slots
        return state

    def _assign_pool(self, name: str, pool: str) -> server_state.Server:
        state = self._servers.get(name)
        if state is None:
            if len(self._servers) >= self._max_servers:
                self._forget_oldest()
            state = self._servers[name] = server_state.Server()
        else:
            self._leave_pool(name, state)
        state.pool = pool
        self._pool(pool).servers[name] = state
        return state

    def on_report(
        self, now_s: float, server: str, n_running: int, n_waiting: int, age_s: float
    ) -> None:
        """Record a load report unless a newer one is known."""
        state = self.server(server)
        reported_s = now_s - age_s
        if state.reported_s is not None and reported_s < state.reported_s:
            return
        state.reported_s = reported_s
        state.n_running = n_running
        state.n_waiting = n_waiting
        state.drop_changes(reported_s)

    def on_sent(
        self,
        now_s: float,
        server: str,
        request_id: str,
        n_prefill_tokens: int,
        n_output_tokens: int,
        priority: requests.Priority,
    ) -> None:
        """Record a request sent to a server.

        Parameters
        ----------
        n_prefill_tokens : int
            Prompt tokens that the server has to compute, without those in its cache.
        """
        self.on_ended(now_s, request_id, None)
        if len(self._open) >= MAX_OPEN:
            self.on_ended(now_s, next(iter(self._open)), None)
        state = self.server(server)
        self._open[request_id] = _OpenRequest(state, now_s, priority, n_output_tokens)
        state.n_open_tokens += n_output_tokens
        state.record_change(now_s, 1)
        state.add_pending(request_id, server_state.Pending(now_s, n_prefill_tokens))

    def on_began(self, now_s: float, request_id: str, waited_s: float) -> None:
        """Record that the first content of a request was received."""
        item = self._open.get(request_id)
        if item is None or item.has_begun:
            return
        item.has_begun = True
        state = item.state
        state.drop_pending(request_id)
        state.health.record_wait(now_s, waited_s)

    def on_ended(self, now_s: float, request_id: str, is_success: bool | None) -> None:
        """Record the end of a request.

        Parameters
        ----------
        is_success : bool or None
            None if the end says nothing about the server's health: the caller left,
            or the server refused because it was full.
        """
        item = self._open.pop(request_id, None)
        if item is None:
            return
        state = item.state
        state.record_change(now_s, -1)
        state.n_open_tokens -= item.n_output_tokens
        state.drop_pending(request_id)
        if state.is_forgotten:
            return
        if is_success:
            self._record_hold(state.pool, now_s - item.sent_s, item.n_output_tokens)
            state.health.record_success(now_s, item.sent_s)
        if is_success is not None and state.health.record_end(now_s, is_success):
            self._eject(now_s, state)

    def on_returned(self, now_s: float, server: str) -> None:
        """Record that a server restarted, so that its caches are cold."""
        self.server(server).health.record_restart(now_s)

    def estimate(self, now_s: float, server: str) -> Estimate:
        """Expected load of the server now."""
        state = self.server(server)
        n_open = self.expected_open(now_s, state)
        n_busy = min(n_open, float(state.n_slots))
        age_s = math.inf if state.reported_s is None else now_s - state.reported_s
        return Estimate(n_busy, n_open - n_busy, age_s)

    def expected_open(self, now_s: float, state: server_state.Server) -> float:
        """Expected number of requests being served or waiting at a server now."""
        pool = self._pools[state.pool]
        if now_s - pool.refreshed_s > server_state.POOL_REFRESH_S:
            pool.refresh(now_s, self.n_daemons)
        n_own = state.n_open
        n_without_report = (
            pool.utilisation - pool.n_own_per_slot
        ) * state.n_slots + n_own
        n_expected = n_without_report
        if state.reported_s is not None:
            n_reported = state.n_running + state.n_waiting
            # The other daemons act on the same report and are assumed to have sent as
            # many requests there as this one.
            n_reported += state.n_net_sent * (
                self.n_daemons if state.n_net_sent > 0 else 1
            )
            report_weight = math.exp((state.reported_s - now_s) / REPORT_DECAY_S)
            n_expected += report_weight * (n_reported - n_without_report)
        return n_expected if n_expected > n_own else float(n_own)

    def is_ejected(self, now_s: float, server: str) -> bool:
        """Whether the server is excluded because it failed."""
        state = self._servers.get(server)
        return state is not None and state.health.is_ejected(now_s)

    def excess_wait_s(self, now_s: float, state: server_state.Server) -> float:
        """Wait for a first byte here in excess of the typical one in the pool."""
        typical_s = self._pools[state.pool].typical_wait_s
        if typical_s is None:
            return 0.0
        excess_s = state.health.excess_wait_s(now_s, typical_s)
        if state.pending:
            longest_s = now_s - next(iter(state.pending.values())).sent_s
            excess_s = max(excess_s, longest_s - 2.0 * typical_s)
        return excess_s

    def hold_s(self, pool: str) -> float | None:
        """Mean time for which a request of the pool holds its slot; None if unknown."""
        known = self._pools.get(pool)
        return None if known is None else known.hold_s

    def open_hold_s(self, server: str, s_per_token: float) -> float | None:
        """Mean time for which this daemon's open requests there hold their slots.

        It is computed from their output bounds: the requests that have ended so far
        tend to be the short ones, so their mean does not describe the long ones that
        occupy a server now.

        Parameters
        ----------
        s_per_token : float
            Used for a pool of which no request has ended yet.
        """
        state = self._servers.get(server)
        if state is None or not state.n_open or not state.n_open_tokens:
            return None
        known = self._pools[state.pool].hold_s_per_token
        per_token_s = s_per_token if known is None else known
        return per_token_s * state.n_open_tokens / state.n_open

    def n_net_sent_since(self, server: str, since_s: float) -> int:
        """Requests of this daemon sent there since `since_s`, less those that ended."""
        state = self._servers.get(server)
        if state is None:
            return 0
        return sum(delta for at_s, delta in state.changes if at_s > since_s)

    def forget(self, server: str) -> None:
        """Drop the state of a server that was removed."""
        state = self._servers.pop(server, None)
        if state is not None:
            state.is_forgotten = True
            self._leave_pool(server, state)

    def _pool(self, name: str) -> server_state.Pool:
        return self._pools.setdefault(name, server_state.Pool())

    def _leave_pool(self, name: str, state: server_state.Server) -> None:
        pool = self._pools[state.pool]
        pool.servers.pop(name, None)
        if not pool.servers:
            del self._pools[state.pool]

    def _forget_oldest(self) -> None:
        def order(name: str) -> tuple[bool, float]:
            state = self._servers[name]
            reported_s = -math.inf if state.reported_s is None else state.reported_s
            return state.n_open > 0, reported_s

        self.forget(min(self._servers, key=order))

    def _record_hold(self, pool_name: str, hold_s: float, n_tokens: int) -> None:
        pool = self._pool(pool_name)
        if n_tokens:
            per_token_s = hold_s / n_tokens
            before = pool.hold_s_per_token
            if before is None:
                before = per_token_s
            change = HOLD_EWMA_WEIGHT * (per_token_s - before)
            pool.hold_s_per_token = before + change
        if pool.hold_s is None:
            pool.hold_s = hold_s
        pool.hold_s += HOLD_EWMA_WEIGHT * (hold_s - pool.hold_s)

    def _eject(self, now_s: float, state: server_state.Server) -> None:
        servers = self._pools[state.pool].servers.values()
        n_ejected = sum(other.health.is_ejected(now_s) for other in servers)
        # One server may always be ejected: a domain that has only one can still send
        # requests to other domains.
        if n_ejected + 1 <= max(1.0, MAX_EJECTED_FRACTION * len(servers)):
            state.health.eject(now_s, self._random_state)
