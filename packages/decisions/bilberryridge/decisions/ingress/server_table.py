"""State of the backend servers of the region as seen by one daemon."""

import math
from typing import Any

import attrs

from bilberryridge.core import ingress, silence
from bilberryridge.decisions import rendezvous
from bilberryridge.decisions.ingress import (
    events,
    load_messages,
    open_work,
    prefill_load,
    prefix_cache_model,
    server_availability,
    server_limit,
    server_pace,
    server_path,
    server_room,
    server_words,
    slow_start,
    warm_up,
)

INTER_TOKEN_GAIN = 0.1
"""Smoothing factor of the inter-token slowdown: weight of the newest stream."""
MIN_INTER_TOKEN_SLOWDOWN, MAX_INTER_TOKEN_SLOWDOWN = 0.5, 4.0
"""Bounds of the measured inter-token slowdown."""
SLOWDOWN_GAIN = 0.15
"""Smoothing factor of the slowdown: weight of the newest first token, so that about the
last seven answers count."""
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.5, 10.0
"""Bounds of a server's measured slowdown relative to the estimate."""
HOLD_GAIN = 0.1
"""Smoothing factor of the time that a service's requests are in flight."""
FAILURE_RATE_GAIN = 0.25
"""Smoothing factor of the failure rate: weight of the newest attempt."""
FAILURE_RATE_HALF_LIFE_S = 3.0
"""Half-life of the failure rate of an unused server, so that it is tried again."""
PEER_FAILURE_RATE_WEIGHT = 0.5
"""Weight of a failure rate reported by another daemon; the cause may be the network
path from that daemon."""
ERROR_STATUS_SEVERITY = 0.4
"""Severity of an error status, lower than that of a lost answer, as the request itself
may be the cause."""
MIN_SILENT_S, SILENT_FACTOR = 0.3, 3.0
"""Time without a word from a server, at least and as a multiple of the estimate, after
which it counts as silent. It covers a retransmission."""
MAX_RANKINGS = 200
"""Maximum number of cached server rankings, some 20 kB each with 200 servers."""
CACHE_FRACTION = 0.7
"""Fraction of an engine's memory that is assumed to be available for cached prompt
parts."""


_COUNTED = (
    "parts",
    "n_limited_sends",
    "n_turned_away",
    "n_reached",
    "is_limit_named",
    "n_limit_unnamed",
    "stated_pace",
    "pace_age_s",
    "n_in_time",
    "n_out_of_time",
)
"""Fields of a share that tell what has happened since the message before."""
_NO_COUNTS: dict[str, Any] = {
    name: getattr(load_messages.ServerShare(), name) for name in _COUNTED
}


@attrs.define
class ServerState:
    """State of a backend server as seen by this daemon.

    Parameters
    ----------
    record : BackendServer
        The server's registration.
    cache : PrefixCacheModel
    cold_until_s : float
        When its warm-up ends.
    warm_up_gate : WarmUpGate
    work : OpenWork
    new_parts : list of (str, int)
        Prompt parts sent there since the last report, with their token counts.
    last_reported : ServerShare
        This daemon's share as last reported to other daemons.
    urgent_slowdown, other_slowdown : float
        Measured time to the first token relative to the estimate by the server's pace,
        for urgent and for other requests.
    inter_token_slowdown : float
        Measured time between tokens relative to the estimate by its pace.
    n_sent_tokens : int
        Prompt tokens that this daemon sent there for prefill since its start.
    prefill : PrefillLoad
    availability : Availability
    path : ServerPath
    limit : ServerLimit
    room : ServerRoom
    pace : ServerPace
    start_window : SlowStart
    heard_s : float
        When it last began an answer to this daemon.
    shown_s : float
        When it last did so as the start that `record` tells of, by the store's word.
    connected_s : float
        When it was last reached after no connection to it had lasted.
    lost_elsewhere_s : float
        When another daemon last told that it has lost its path.
    reached_elsewhere_s : float
        When another daemon last told that it reaches the server all the same.
    n_reached_unreported : int
        See `load_messages.ServerShare`.
    sent_s : float
        When this daemon last sent it a request.
    silence_ended_s : float
        When it last began an answer after it had been silent.
    is_start_known : bool
        Whether it is surely the start that `record` tells of; see `server_starts`.
    reached_s : float
        The same for a server that names its version.
    path_back_s : float
        When its lost path was last found to be back.
    """

    record: ingress.BackendServer
    cache: prefix_cache_model.PrefixCacheModel
    cold_until_s: float = 0.0
    warm_up_gate: warm_up.WarmUpGate = attrs.field(factory=warm_up.WarmUpGate)
    work: open_work.OpenWork = attrs.field(factory=open_work.OpenWork)
    new_parts: list[tuple[str, int]] = attrs.field(factory=list)
    last_reported: load_messages.ServerShare = attrs.field(
        factory=load_messages.ServerShare
    )
    urgent_slowdown: float = 1.0
    other_slowdown: float = 1.0
    inter_token_slowdown: float = 1.0
    n_sent_tokens: int = 0
    prefill: prefill_load.PrefillLoad = attrs.field(factory=prefill_load.PrefillLoad)
    availability: server_availability.Availability = attrs.field(
        factory=server_availability.Availability
    )
    path: server_path.ServerPath = attrs.field(factory=server_path.ServerPath)
    limit: server_limit.ServerLimit = attrs.field(factory=server_limit.ServerLimit)
    room: server_room.ServerRoom = attrs.field(factory=server_room.ServerRoom)
    pace: server_pace.ServerPace = attrs.field(factory=server_pace.ServerPace)
    start_window: slow_start.SlowStart = attrs.field(factory=slow_start.SlowStart)
    heard_s: float = -math.inf
    shown_s: float = -math.inf
    connected_s: float = -math.inf
    lost_elsewhere_s: float = -math.inf
    reached_elsewhere_s: float = -math.inf
    n_reached_unreported: int = 0
    sent_s: float = -math.inf
    silence_ended_s: float = -math.inf
    is_start_known: bool = True
    reached_s: float = -math.inf
    path_back_s: float = -math.inf
    _is_silence_counted: bool = True
    _failure_rate: float = 0.0
    _failure_rate_updated_s: float = 0.0

    def failure_rate(self, now_s: float) -> float:
        """Return the recent failure rate, 0 to 1, including other daemons' reports."""
        return max(
            self.local_failure_rate(now_s),
            PEER_FAILURE_RATE_WEIGHT * self.work.worst_failure_rate,
        )

    def slowdown(self, is_urgent: bool) -> float:
        """Return the lasting time to the first token relative to the estimate.

        It is measured separately for requests that are not urgent, which are also
        delayed by urgent requests that arrive after them.
        """
        return self.pace.lasting * self._measured_slowdown(is_urgent)

    def _measured_slowdown(self, is_urgent: bool) -> float:
        return self.urgent_slowdown if is_urgent else self.other_slowdown

    def local_failure_rate(self, now_s: float) -> float:
        """Return the failure rate of this daemon's attempts."""
        if self._failure_rate == 0.0:
            return 0.0
        return self._failure_rate * 0.5 ** (
            (now_s - self._failure_rate_updated_s) / FAILURE_RATE_HALF_LIFE_S
        )

    def record_result(self, severity: float, now_s: float) -> None:
        """Update the failure rate; a severity of 0 is a success, 1 is no answer."""
        before = self.local_failure_rate(now_s)
        self._failure_rate = before + FAILURE_RATE_GAIN * (severity - before)
        self._failure_rate_updated_s = now_s
        if severity == 0.0:
            self.availability.record_success()

    def record_first_byte(self, key: open_work.Key, now_s: float) -> float | None:
        """Update the slowdown with an answer's first byte; return the time it took.

        Of the answers that one silence has delayed, only the first counts.
        """
        attempt = self.work.mark_begun(key)
        if attempt is None:
            return None
        took_s = now_s - attempt.sent_s
        if attempt.sent_s < self.silence_ended_s:
            if self._is_silence_counted:
                return took_s
            self._is_silence_counted = True
        before = self._measured_slowdown(attempt.is_urgent)
        # What the server has stated since explains a part of the time.
        explained = self.pace.average(took_s, now_s) / attempt.pace
        ratio = took_s / (attempt.expected_s * explained) * before
        ratio = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, ratio))
        after = before + SLOWDOWN_GAIN * (ratio - before)
        if attempt.is_urgent:
            self.urgent_slowdown = after
        else:
            self.other_slowdown = after
        return took_s

    def silent_s(self, now_s: float) -> float:
        """Return for how long the server has been silent; 0 if it isn't.

        Behind a lost path it isn't the server that is silent, and one that was sent
        nothing for a while may answer again.
        """
        oldest = self.work.oldest_waiting
        if oldest is None or self.heard_s >= oldest.sent_s or self.path.is_lost:
            return 0.0
        if now_s - self.sent_s >= silence.LOST_SILENCE_S:
            return 0.0
        waited_s = now_s - oldest.sent_s
        is_late = waited_s >= max(MIN_SILENT_S, SILENT_FACTOR * oldest.expected_s)
        return waited_s if is_late else 0.0

    def record_heard(self, now_s: float, store_known_s: float = math.inf) -> None:
        """Record that the server has begun an answer.

        Parameters
        ----------
        now_s : float
        store_known_s : float
            As of when the store's changes are known; it may have started again since.
        """
        if self.connected_s <= store_known_s:
            self.shown_s = now_s
        if self.silent_s(now_s) > 0:
            self.silence_ended_s = now_s
            self._is_silence_counted = False
        self.heard_s = now_s

    def inter_token_s(self, now_s: float) -> float:
        """Return the estimated time between two tokens of a stream."""
        slowdown = self.pace.lasting * self.inter_token_slowdown
        return slowdown * prefill_load.inter_token_s(self.prefill.fraction(now_s))

    def record_stream(self, stream_s: float, n_tokens: int, now_s: float) -> None:
        """Update `inter_token_slowdown` from a stream's time after its first event."""
        if n_tokens <= 0:
            return
        ratio = (
            stream_s
            / n_tokens
            / prefill_load.inter_token_s(self.prefill.fraction(now_s))
            / self.pace.average(stream_s, now_s)
        )
        ratio = min(MAX_INTER_TOKEN_SLOWDOWN, max(MIN_INTER_TOKEN_SLOWDOWN, ratio))
        self.inter_token_slowdown += INTER_TOKEN_GAIN * (
            ratio - self.inter_token_slowdown
        )

    def record_sent(
        self, key: open_work.Key, attempt: open_work.OpenAttempt, now_s: float
    ) -> None:
        """Record an attempt of this daemon."""
        self.work.begin(key, attempt)
        self.sent_s = now_s
        self.n_sent_tokens += attempt.n_pending_tokens
        self.prefill.add(attempt.n_pending_tokens, now_s)

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is still warming up."""
        return now_s < self.cold_until_s

    def local_share(
        self, parts: tuple[tuple[str, int], ...], now_s: float
    ) -> load_messages.ServerShare:
        """Return this daemon's share of the open work."""
        failure_rate = round(self.local_failure_rate(now_s), 1)
        share = self.work.share(parts, failure_rate, self.n_sent_tokens)
        if not self.has_own_word:
            return share
        start_time_ms = self.record.start_time_ms
        return attrs.evolve(
            share,
            leaving_start_ms=start_time_ms if self.availability.is_leaving else 0,
            limit_per_s=self.limit.answered_per_s,
            is_unreachable=self.path.is_lost,
            brittle_per_s=self.room.answered_per_s,
            window=round(self.start_window.window, 1)
            if self.start_window.is_on
            else None,
        )

    def with_counts(
        self, share: load_messages.ServerShare, now_s: float
    ) -> load_messages.ServerShare:
        """Return a share with what has happened since the last load report."""
        counts: dict[str, Any] = {
            "n_limited_sends": self.limit.n_unreported,
            "n_turned_away": self.room.n_unreported,
            "n_reached": self.n_reached_unreported,
            "is_limit_named": self.limit.is_naming_unreported,
            "n_limit_unnamed": self.limit.n_unnamed_unreported,
            "n_in_time": self.start_window.n_in_time,
            "n_out_of_time": self.start_window.n_out_of_time,
        }
        if self.pace.is_unreported and self.pace.statement is not None:
            counts["stated_pace"] = self.pace.statement.pace
            counts["pace_age_s"] = round(self.pace.age_s(now_s), 3)
        return attrs.evolve(share, **counts) if any(counts.values()) else share

    def clear_counts(self) -> None:
        """Begin to count for the next load report."""
        self.new_parts.clear()
        self.limit.n_unreported = 0
        self.limit.is_naming_unreported = False
        self.limit.n_unnamed_unreported = 0
        self.room.n_unreported = 0
        self.n_reached_unreported = 0
        self.pace.is_unreported = False
        self.start_window.n_in_time = 0
        self.start_window.n_out_of_time = 0

    @property
    def has_own_word(self) -> bool:
        """Whether this daemon has more to tell of the server than its open work."""
        return (
            self.availability.is_leaving
            or self.limit.answered_per_s is not None
            or self.path.is_lost
            or self.room.answered_per_s is not None
            or self.start_window.is_on
        )

    def takes_work(self, now_s: float, n_daemons: int) -> bool:
        """Return whether it may be sent requests by a daemon that reaches it.

        Parameters
        ----------
        now_s : float
        n_daemons : int
            Daemons that may send to it.
        """
        return (
            not self.record.is_leaving
            and self.availability.is_open(now_s, self.work.local_sums.n_open)
            and self.limit.is_open(now_s)
            and self.start_window.allows(self.work.sums.n_open, now_s)
            and self.room.is_open(
                now_s,
                self.work.sums.n_open,
                self.work.local_sums.n_open,
                self.record.n_slots,
                n_daemons,
            )
        )

    def is_reached_by(self, vm: str) -> bool:
        """Return whether another daemon hasn't told that its path is lost."""
        return vm not in self.work.unreachable_vms


class ServerTable:
    """The registered servers of a region and their state.

    Parameters
    ----------
    domains : frozenset of str
        The failure domains of this region.

    Attributes
    ----------
    n_daemons : int
        Daemons of the region that may send to its servers.
    paced_services : set of str
        Services of which a server has stated its pace.
    asked_s : dict of str to float
        When this daemon last placed a request for each service.
    hold_s : dict of str to float
        Smoothed estimate of how long a request to each service is in flight.
    """

    def __init__(self, domains: frozenset[str]):
        self.domains = domains
        self.n_daemons = 1
        self.evacuated: frozenset[str] = frozenset()
        self.by_id: dict[str, ServerState] = {}
        self._by_service: dict[str, list[ServerState]] = {}
        self._ranks: dict[tuple[str, str], dict[str, int]] = {}
        self.paced_services: set[str] = set()
        self.asked_s: dict[str, float] = {}
        self.hold_s: dict[str, float] = {}
        self._words = server_words.RememberedWords()
        self._is_read = False
        self._new: list[ServerState] = []

    def update(
        self,
        event: events.ServersRead,
        table: ingress.RoutingTable | None,
        now_s: float,
    ) -> list[str]:
        """Apply the list of registered servers; return the changes, for the log."""
        records = {s.id: s for s in event.servers if s.domain in self.domains}
        changes = []
        for record in records.values():
            changes += self._update_server(record, table, now_s)
        for server_id in list(self.by_id):
            if server_id not in records and event.is_settled:
                self._remember_words(self.by_id.pop(server_id))
                changes.append(f"{server_id} is gone")
        self._rebuild_index()
        if not self._is_read:
            # What is there when the daemon starts hasn't just started.
            self._is_read = bool(records)
            self._new.clear()
        return changes

    def take_new(self) -> list[ServerState]:
        """Return the servers that were listed or started anew since the last call."""
        new, self._new = self._new, []
        return new

    def set_evacuated(
        self, domains: frozenset[str], table: ingress.RoutingTable | None, now_s: float
    ) -> None:
        """Set the evacuated domains; servers of a domain taken back start cold."""
        for domain in self.evacuated - domains:
            for server in self.by_id.values():
                if server.record.domain == domain and table is not None:
                    service = table.services.get(server.record.service)
                    warmup_s = service.warmup_s if service else 0.0
                    server.cold_until_s = max(server.cold_until_s, now_s + warmup_s)
        self.evacuated = domains

    def servers_of(self, service: str) -> list[ServerState]:
        """Return the service's registered servers."""
        return self._by_service.get(service, [])

    def ranks(self, service: str, key: str) -> dict[str, int]:
        """Return the position of each of the service's servers for a key, from 0.

        The order is by rendezvous hashing, hence the same at all daemons with the same
        registered servers and lasting paces. A server is first for a part of the keys
        by its lasting pace.
        """
        ranks = self._ranks.get((service, key))
        if ranks is None:
            if len(self._ranks) >= MAX_RANKINGS:
                self._ranks.clear()
            weights = {
                server.record.id: 1 / server.pace.part_pace
                for server in self.servers_of(service)
            }
            is_even = all(weight == 1.0 for weight in weights.values())
            ranked = (
                rendezvous.ranked(key, weights)
                if is_even
                else rendezvous.ranked_by_weight(key, weights)
            )
            ranks = {name: index for index, name in enumerate(ranked)}
            self._ranks[service, key] = ranks
        return ranks

    def record_hold(self, service: str, hold_s: float) -> None:
        """Record how long a request to a service is expected to be in flight."""
        before = self.hold_s.get(service, hold_s)
        self.hold_s[service] = before + HOLD_GAIN * (hold_s - before)

    def forget_ranks(self) -> None:
        """Rank the servers anew, as the lasting pace of one has changed."""
        self._ranks.clear()

    def usable(self, service: str, now_s: float) -> list[ServerState]:
        """Return the service's servers that may be sent requests from here."""
        return [
            server
            for server in self.servers_of(service)
            if not server.path.is_lost
            and server.record.domain not in self.evacuated
            and server.takes_work(now_s, self.n_daemons)
        ]

    def beyond_reach(self, service: str, now_s: float) -> list[ServerState]:
        """Return the service's servers to which this daemon may have no path."""
        return [
            server
            for server in self.servers_of(service)
            if not server.path.is_open
            and server.record.domain not in self.evacuated
            and server.takes_work(now_s, self.n_daemons)
        ]

    def is_cut_off(self, service: str) -> bool:
        """Return whether this daemon has lost all paths to a service's servers."""
        servers = self.servers_of(service)
        return bool(servers) and all(server.path.is_lost for server in servers)

    def n_silent(self, service: str, now_s: float) -> int:
        """Return how many of a service's servers are silent."""
        return sum(server.silent_s(now_s) > 0 for server in self.servers_of(service))

    def cut_off_vms(self, service: str) -> set[str]:
        """Return the other daemons that have lost all paths to a service's servers."""
        lost = [server.work.unreachable_vms for server in self.servers_of(service)]
        return set.intersection(*lost) if lost else set()

    def returns_s(self, service: str) -> float:
        """Return when the first of a service's servers gets work again.

        It is infinite if all leave.
        """
        return min(
            (
                max(
                    server.availability.returns_s,
                    server.limit.opens_s,
                    server.path.returns_s,
                )
                for server in self.servers_of(service)
                if not server.record.is_leaving
                and server.record.domain not in self.evacuated
            ),
            default=math.inf,
        )

    def remove_peer(self, vm: str) -> None:
        """Remove the shares that another daemon reported, as its link closed."""
        for server in self.by_id.values():
            server.work.remove_share(vm)

    def update_share(
        self, vm: str, shares: dict[str, load_messages.ServerShare], now_s: float
    ) -> None:
        """Apply the shares that another daemon of the region reported."""
        for server_id, share in shares.items():
            server = self.by_id.get(server_id)
            if server is None:
                continue
            if share.parts:
                parts = (ingress.PromptPart(*part) for part in share.parts)
                server.cache.add(parts, now_s)
            if share.stated_pace is not None:
                stated_s = now_s - max(0.0, share.pace_age_s)
                source = server_pace.Source.NEIGHBOUR
                self.paced_services.add(server.record.service)
                if server.pace.record(share.stated_pace, stated_s, now_s, source):
                    self.forget_ranks()
            share = _without_counts(share)
            if 0 < share.leaving_start_ms == server.record.start_time_ms:
                server.availability.record_leaving()
            before = server.work.peer_shares.get(vm)
            if before is not None:
                n_new = share.n_sent_tokens - before.n_sent_tokens
                server.prefill.add(max(0, n_new), now_s)
            server.work.set_share(vm, share)

    def changed_shares(self, now_s: float) -> dict[str, load_messages.ServerShare]:
        """Return this daemon's shares that changed since they were last reported."""
        changed = {}
        for server_id, server in self.by_id.items():
            share = server.local_share(tuple(server.new_parts), now_s)
            share = server.with_counts(share, now_s)
            if share == server.last_reported:
                continue
            changed[server_id] = share
            server.clear_counts()
            server.last_reported = _without_counts(share)
        return changed

    @property
    def has_unreported_limited_sends(self) -> bool:
        """Whether a request under a rate limit was sent since the last load report."""
        return any(server.limit.n_unreported for server in self.by_id.values())

    def all_shares(self, now_s: float) -> dict[str, load_messages.ServerShare]:
        """Return all of this daemon's shares, for a newly linked daemon."""
        return {
            server_id: server.local_share((), now_s)
            for server_id, server in self.by_id.items()
            if server.work.local_attempts or server.has_own_word
        }

    def _update_server(
        self,
        record: ingress.BackendServer,
        table: ingress.RoutingTable | None,
        now_s: float,
    ) -> list[str]:
        server = self.by_id.get(record.id)
        if server is None or _is_restart(server.record, record):
            was_lost = server is not None and server.path.is_lost
            if server is not None:
                self._remember_words(server)
            server = ServerState(
                record, _new_cache(record, table), now_s + record.warmup_remaining_s
            )
            if was_lost:
                # Its new start doesn't tell that this daemon reaches it again.
                server.path.ask(now_s, is_doubted=True)
            self._recall_words(server)
            self._take_over_brittleness(server, now_s)
            self.by_id[record.id] = server
            self._new.append(server)
            return [f"{record.id} of {record.service} is there"]
        if server.record == record:
            return []
        before, server.record = server.record, record
        if (
            record.warmup_remaining_s > 0
            and record.warmup_remaining_s != before.warmup_remaining_s
        ):
            server.cold_until_s = max(
                server.cold_until_s, now_s + record.warmup_remaining_s
            )
        if record.is_leaving and not before.is_leaving:
            return [f"{record.id} is leaving"]
        return []

    def _remember_words(self, server: ServerState) -> None:
        words = server_words.Words(server.availability, server.limit, server.room)
        self._words.add(server.record, words)

    def _recall_words(self, server: ServerState) -> None:
        words = self._words.take(server.record)
        if words is not None:
            server.availability = words.availability
            server.limit = words.limit
            server.room = words.room

    def _take_over_brittleness(self, server: ServerState, now_s: float) -> None:
        """Take a new server for as brittle as the others of its service."""
        named = [
            other.room.brittle_per_s
            for other in self.servers_of(server.record.service)
            if other.room.brittle_per_s is not None
        ]
        if named:
            server.room.record_named(min(named), now_s)

    def _rebuild_index(self) -> None:
        self._by_service = {}
        self._ranks.clear()
        for server in self.by_id.values():
            self._by_service.setdefault(server.record.service, []).append(server)


def _without_counts(share: load_messages.ServerShare) -> load_messages.ServerShare:
    """Return a share without what counts since the message before."""
    if not any(getattr(share, name) for name in _COUNTED):
        return share
    return attrs.evolve(share, **_NO_COUNTS)


def _is_restart(before: ingress.BackendServer, after: ingress.BackendServer) -> bool:
    return (before.start_time_ms, before.address, before.service, before.version) != (
        after.start_time_ms,
        after.address,
        after.service,
        after.version,
    )


def _new_cache(
    record: ingress.BackendServer, table: ingress.RoutingTable | None
) -> prefix_cache_model.PrefixCacheModel:
    service = table.services.get(record.service) if table else None
    engine = service.engine if service else None
    n_tokens = engine.n_memory_tokens if engine else 0
    return prefix_cache_model.PrefixCacheModel(int(n_tokens * CACHE_FRACTION))
