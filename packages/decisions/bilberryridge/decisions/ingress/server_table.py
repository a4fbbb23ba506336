"""What one daemon knows of the backend servers of its region."""

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions import rendezvous
from bilberryridge.decisions.ingress import (
    events,
    load_messages,
    open_work,
    prefill_load,
    prefix_cache_model,
    warm_up,
)

TOKEN_GAIN = 0.1
"""Weight of the newest stream in the measured slowness between tokens."""
MIN_TOKEN_PACE, MAX_TOKEN_PACE = 0.5, 4.0
"""Bounds of that slowness."""
PACE_GAIN = 0.15
"""Weight of the newest measured first token; about seven answers decide."""
MIN_PACE, MAX_PACE = 0.5, 10.0
"""Bounds of a server's measured slowness against the expectation."""
FAULT_GAIN = 0.25
"""Weight of the newest attempt in a server's fault rate."""
FAULT_HALF_LIFE_S = 3.0
"""An unused server's fault rate halves in this time, so that it is tried again."""
OTHERS_FAULT_PART = 0.5
"""Weight of another daemon's fault rate: its way there may be what fails."""
STATUS_FAULT = 0.4
"""A failure that the server answers weighs less: some are the request's own."""
FIRST_AWAY_S, MAX_AWAY_S = 0.5, 4.0
"""How long a server is left out after a failed connection; doubles each time."""
MAX_RANKINGS = 200
"""Rankings of servers that are kept, some 20 kB each at 200 servers."""
MEMORY_FOR_PARTS = 0.7
"""Part of an engine's memory that is expected to be left for cached prompt parts."""


@attrs.define
class ServerState:
    """A backend server, as seen from here.

    Parameters
    ----------
    record : BackendServer
    cache : PrefixCacheModel
    cold_until_s : float
    """

    record: ingress.BackendServer
    cache: prefix_cache_model.PrefixCacheModel
    cold_until_s: float = 0.0
    gate: warm_up.WarmUpGate = attrs.field(factory=warm_up.WarmUpGate)
    work: open_work.OpenWork = attrs.field(factory=open_work.OpenWork)
    new_parts: list[tuple[str, int]] = attrs.field(factory=list)
    told: load_messages.ServerShare = attrs.field(factory=load_messages.ServerShare)
    urgent_pace: float = 1.0
    other_pace: float = 1.0
    token_pace: float = 1.0
    n_sent_tokens: int = 0
    flow: prefill_load.PrefillLoad = attrs.field(factory=prefill_load.PrefillLoad)
    away_until_s: float = 0.0
    away_for_s: float = 0.0
    _fault: float = 0.0
    _fault_s: float = 0.0

    def failure_rate(self, now_s: float) -> float:
        """Return how often attempts fail lately, 0 to 1; other daemons' views count."""
        return max(self.own_fault(now_s), OTHERS_FAULT_PART * self.work.worst_fault)

    def pace(self, is_urgent: bool) -> float:
        """Return the measured slowness against the expectation.

        Requests that are not urgent are also slowed by urgent ones that come later.
        """
        return self.urgent_pace if is_urgent else self.other_pace

    def own_fault(self, now_s: float) -> float:
        """Return the fault rate of this daemon's own attempts."""
        if self._fault == 0.0:
            return 0.0
        return self._fault * 0.5 ** ((now_s - self._fault_s) / FAULT_HALF_LIFE_S)

    def note_result(self, severity: float, now_s: float) -> None:
        """Take an attempt's end into the fault rate; 0 is a success, 1 no answer."""
        before = self.own_fault(now_s)
        self._fault = before + FAULT_GAIN * (severity - before)
        self._fault_s = now_s
        if severity == 0.0:
            self.away_for_s = 0.0

    def note_away(self, now_s: float) -> None:
        """Leave the server out for a while: it takes no connection."""
        self.away_for_s = min(MAX_AWAY_S, max(FIRST_AWAY_S, 2 * self.away_for_s))
        self.away_until_s = now_s + self.away_for_s

    def note_first(self, key: open_work.Key, now_s: float) -> float | None:
        """Learn from the first bytes of an answer; return the time they took."""
        work = self.work.note_begun(key)
        if work is None:
            return None
        took_s = now_s - work.sent_s
        before = self.pace(work.is_urgent)
        ratio = min(MAX_PACE, max(MIN_PACE, took_s / work.expected_s * before))
        after = before + PACE_GAIN * (ratio - before)
        if work.is_urgent:
            self.urgent_pace = after
        else:
            self.other_pace = after
        return took_s

    def inter_token_s(self, now_s: float) -> float:
        """Return the time between two tokens of a stream now."""
        return self.token_pace * prefill_load.inter_token_s(self.flow.part(now_s))

    def note_stream(self, rest_s: float, n_tokens: int, now_s: float) -> None:
        """Learn from a stream's time after its first event."""
        if n_tokens <= 0:
            return
        ratio = rest_s / n_tokens / prefill_load.inter_token_s(self.flow.part(now_s))
        ratio = min(MAX_TOKEN_PACE, max(MIN_TOKEN_PACE, ratio))
        self.token_pace += TOKEN_GAIN * (ratio - self.token_pace)

    def note_sent(self, key: open_work.Key, work: open_work.Work, now_s: float) -> None:
        """Count an attempt of this daemon."""
        self.work.begin(key, work)
        self.n_sent_tokens += work.n_pending_tokens
        self.flow.note(work.n_pending_tokens, now_s)

    def is_cold(self, now_s: float) -> bool:
        """Return whether it still warms up."""
        return now_s < self.cold_until_s

    def own_share(
        self, parts: tuple[tuple[str, int], ...], now_s: float
    ) -> load_messages.ServerShare:
        """Return this daemon's part of the open work."""
        failure_rate = round(self.own_fault(now_s), 1)
        return self.work.share(parts, failure_rate, self.n_sent_tokens)


class ServerTable:
    """The registered servers of a region, with what was learned of them.

    Parameters
    ----------
    domains : frozenset of str
        The failure domains of this region.
    """

    def __init__(self, domains: frozenset[str]):
        self.domains = domains
        self.evacuated: frozenset[str] = frozenset()
        self.by_id: dict[str, ServerState] = {}
        self._by_service: dict[str, list[ServerState]] = {}
        self._ranks: dict[tuple[str, str], dict[str, int]] = {}

    def update(
        self,
        event: events.ServersRead,
        table: ingress.RoutingTable | None,
        now_s: float,
    ) -> list[str]:
        """Take over the registered servers; return what changed, for the log."""
        records = {s.id: s for s in event.servers if s.domain in self.domains}
        changes = []
        for record in records.values():
            changes += self._take(record, table, now_s)
        for server_id in list(self.by_id):
            if server_id not in records and event.is_settled:
                del self.by_id[server_id]
                changes.append(f"{server_id} is gone")
        self._index()
        return changes

    def set_evacuated(
        self, domains: frozenset[str], table: ingress.RoutingTable | None, now_s: float
    ) -> None:
        """Send nothing to these domains; servers of a domain taken back are cold."""
        for domain in self.evacuated - domains:
            for state in self.by_id.values():
                if state.record.domain == domain and table is not None:
                    service = table.services.get(state.record.service)
                    warmup_s = service.warmup_s if service else 0.0
                    state.cold_until_s = max(state.cold_until_s, now_s + warmup_s)
        self.evacuated = domains

    def of_service(self, service: str) -> list[ServerState]:
        """Return the service's registered servers."""
        return self._by_service.get(service, [])

    def ranks(self, service: str, key: str) -> dict[str, int]:
        """Return the places of the service's servers for a key, the first 0.

        They are the same at all daemons that know the same servers, by rendezvous
        hashing.
        """
        ranks = self._ranks.get((service, key))
        if ranks is None:
            if len(self._ranks) >= MAX_RANKINGS:
                self._ranks.clear()
            names = [state.record.id for state in self.of_service(service)]
            ranked = rendezvous.ranked(key, names)
            ranks = {name: place for place, name in enumerate(ranked)}
            self._ranks[service, key] = ranks
        return ranks

    def usable(self, service: str, now_s: float) -> list[ServerState]:
        """Return the servers that may get new work at all."""
        return [
            state
            for state in self.of_service(service)
            if not state.record.is_leaving
            and state.record.domain not in self.evacuated
            and now_s >= state.away_until_s
        ]

    def forget_peer(self, vm: str) -> None:
        """Drop what another daemon told: it is gone, and its work with it."""
        for state in self.by_id.values():
            state.work.forget(vm)

    def take_share(
        self, vm: str, shares: dict[str, load_messages.ServerShare], now_s: float
    ) -> None:
        """Take over what another daemon of the region told."""
        for server_id, share in shares.items():
            state = self.by_id.get(server_id)
            if state is None:
                continue
            parts = (ingress.PromptPart(*part) for part in share.parts)
            state.cache.note(parts, now_s)
            before = state.work.others.get(vm)
            if before is not None:
                n_new = share.n_sent_tokens - before.n_sent_tokens
                state.flow.note(max(0, n_new), now_s)
            state.work.take(vm, attrs.evolve(share, parts=()))

    def changed_shares(self, now_s: float) -> dict[str, load_messages.ServerShare]:
        """Return this daemon's shares that changed since they were last told."""
        changed = {}
        for server_id, state in self.by_id.items():
            share = state.own_share(tuple(state.new_parts), now_s)
            if share == state.told:
                continue
            changed[server_id] = share
            state.new_parts.clear()
            state.told = attrs.evolve(share, parts=())
        return changed

    def all_shares(self, now_s: float) -> dict[str, load_messages.ServerShare]:
        """Return all of this daemon's shares, for a daemon that knows none."""
        return {
            server_id: state.own_share((), now_s)
            for server_id, state in self.by_id.items()
            if state.work.own
        }

    def _take(
        self,
        record: ingress.BackendServer,
        table: ingress.RoutingTable | None,
        now_s: float,
    ) -> list[str]:
        state = self.by_id.get(record.id)
        if state is None or _is_restart(state.record, record):
            self.by_id[record.id] = ServerState(
                record, _memory_of(record, table), now_s + record.warmup_remaining_s
            )
            return [f"{record.id} of {record.service} is there"]
        if state.record == record:
            return []
        before, state.record = state.record, record
        if (
            record.warmup_remaining_s > 0
            and record.warmup_remaining_s != before.warmup_remaining_s
        ):
            state.cold_until_s = max(
                state.cold_until_s, now_s + record.warmup_remaining_s
            )
        if record.is_leaving and not before.is_leaving:
            return [f"{record.id} is leaving"]
        return []

    def _index(self) -> None:
        self._by_service = {}
        self._ranks.clear()
        for state in self.by_id.values():
            self._by_service.setdefault(state.record.service, []).append(state)


def _is_restart(before: ingress.BackendServer, after: ingress.BackendServer) -> bool:
    return (before.start_time_ms, before.address, before.service) != (
        after.start_time_ms,
        after.address,
        after.service,
    )


def _memory_of(
    record: ingress.BackendServer, table: ingress.RoutingTable | None
) -> prefix_cache_model.PrefixCacheModel:
    service = table.services.get(record.service) if table else None
    engine = service.engine if service else None
    n_tokens = engine.n_memory_tokens if engine else 0
    return prefix_cache_model.PrefixCacheModel(int(n_tokens * MEMORY_FOR_PARTS))
