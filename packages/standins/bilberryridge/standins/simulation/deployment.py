"""A deployment in simulated time: daemons, servers, the store and callers."""

import functools
import hashlib
import random
from collections.abc import Callable

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import crash_reports, state
from bilberryridge.decisions.ingress import events as node_events
from bilberryridge.standins.queueing import events
from bilberryridge.standins.simulation import (
    auditor,
    daemons,
    paths,
    records,
    schedules,
    servers,
)

HOST, SERVICE = "desk.example", "desk"
TIMEOUT_S = 3.0
STORE_DELAY_S = 0.2
"""Time from a change of the store until daemons follow it."""
RESTART_AFTER_S = 1.0
DRAIN_S = 6.0
"""Time after the last request, for open ones to end."""
MAX_CALLER_RETRIES = 1
RETRANSMITTED_AFTER_S = 0.2


def _route(name: str, kind: ingress.RequestKind) -> ingress.Route:
    shares = (ingress.TrafficShare(SERVICE),)
    return ingress.Route(
        name, HOST, f"/{name}/", kind, shares, TIMEOUT_S, 0.4, 0, max_attempts=2
    )


TABLE = ingress.RoutingTable(
    1,
    (
        _route("safe", ingress.RequestKind.SAFE),
        _route("unsafe", ingress.RequestKind.UNSAFE),
    ),
    {SERVICE: ingress.Service(SERVICE)},
)


class Deployment:
    """Implementation of `daemons.Network`, and what surrounds it.

    Parameters
    ----------
    schedule : Schedule

    Attributes
    ----------
    records : list of Record
        What callers and backend servers saw, in the order of time.
    """

    def __init__(self, schedule: schedules.Schedule):
        self.records: list[records.Record] = []
        self.servers: dict[str, servers.Server] = {}
        self.paths = paths.PathTable()
        self._schedule = schedule
        self._loop = events.Loop()
        self._random_state = random.Random(f"deployment {schedule.seed}")
        self._network_random_state = random.Random(f"network {schedule.seed}")
        self._daemons: dict[str, daemons.Daemon] = {}
        self._cut: set[str] = set()
        self._reports: dict[crash_reports.Report, int] = {}
        self._is_store_away = False
        self._n_starts = 0
        self._n_requests = 0

    def run(self) -> list[records.Record]:
        """Play the schedule; return what was seen."""
        for name in self._schedule.layout.server_names():
            self._add_server(name)
        for name in self._schedule.layout.vm_names():
            self._start_daemon(name)
        end_s = schedules.LENGTH_S + DRAIN_S
        self._loop.every(daemons.TICK_S, self._tick, end_s)
        for step in self._schedule.steps:
            self._loop.at(step.at_s, functools.partial(self._begin, step))
        for lost in self._schedule.lost_paths:
            self._loop.at(lost.at_s, functools.partial(self._lose_paths, lost))
        self._plan_requests()
        self._loop.run()
        return self.records

    # Implementation of the network.

    def daemon(self, name: str) -> daemons.Daemon | None:
        """See `daemons.Network`."""
        return self._daemons.get(name)

    def delay_from_server_s(self) -> float:
        """See `daemons.Network`."""
        delay_s = daemons.INTRA_REGION_DELAY_S
        lost_packets = self._schedule.lost_packets
        if lost_packets and self._network_random_state.random() < lost_packets:
            return delay_s + RETRANSMITTED_AFTER_S
        return delay_s

    def is_cut(self, first: str, second: str) -> bool:
        """See `daemons.Network`."""
        return first != second and bool(self._cut & {first, second})

    def store_report(self, report: crash_reports.Report) -> None:
        """See `daemons.Network`."""
        if self._is_store_away:
            self._loop.after(STORE_DELAY_S, lambda: self.store_report(report))
            return
        self._reports[report] = len(self._reports) + 1
        self._publish()

    def audit(self, record: records.Record) -> None:
        """See `daemons.Network`."""
        self.records.append(record)

    # The store.

    def _publish(self) -> None:
        """Let all daemons that reach the store read it."""
        if self._is_store_away:
            return
        for daemon in self._daemons.values():
            if daemon.entry.name not in self._cut:
                self._loop.after(STORE_DELAY_S, functools.partial(self._read, daemon))

    def _read(self, daemon: daemons.Daemon) -> None:
        entries = tuple(other.entry for other in self._daemons.values())
        daemon.handle(node_events.EntriesRead(entries))
        rows = tuple(server.record for server in self.servers.values())
        daemon.handle(node_events.ServersRead(rows))
        daemon.handle(node_events.CrashReportsRead(self._stored_reports()))

    def _stored_reports(self) -> crash_reports.StoredReports:
        def rows(kind: type) -> tuple:
            reports = self._reports.items()
            return tuple(row for row in reports if isinstance(row[0], kind))

        return crash_reports.StoredReports(
            rows(crash_reports.CrashReport),
            rows(crash_reports.SoundPart),
            rows(crash_reports.CrashedRequests),
        )

    # Servers and daemons.

    def _add_server(self, name: str) -> None:
        domain = name.partition("-")[0]
        record = ingress.BackendServer(
            name, SERVICE, f"{name}:1", domain, servers.N_SLOTS, start_time_ms=1
        )
        self.servers[name] = servers.Server(
            self._loop,
            record,
            list(self._schedule.faults),
            random.Random(f"{name} {self._schedule.seed}"),
            self.audit,
            lambda _: self._publish(),
        )

    def _start_daemon(self, name: str) -> None:
        domain = name.partition("-")[0]
        region_by_domain = self._schedule.layout.region_by_domain
        self._n_starts += 1
        addresses = [f"{name}:{port}" for port in (1, 2, 3)]
        start, region = f"start {self._n_starts}", region_by_domain[domain]
        entry = ingress.EntryVm(name, start, domain, region, *addresses)
        cfg = state.NodeSettings(entry, region_by_domain)
        seed = f"{name} {self._n_starts} {self._schedule.seed}"
        daemon = daemons.Daemon(self._loop, entry, cfg, random.Random(seed), self)
        self._daemons[name] = daemon
        daemon.handle(node_events.TableRead(TABLE))
        if not self._is_store_away:
            self._read(daemon)
        self._publish()
        self._link(daemon)

    def _link(self, daemon: daemons.Daemon) -> None:
        for other in self._daemons.values():
            if other is daemon or self.is_cut(daemon.entry.name, other.entry.name):
                continue
            daemon.handle(node_events.LinkUp(other.entry))
            other.handle(node_events.LinkUp(daemon.entry))

    def _unlink(self, daemon: daemons.Daemon) -> None:
        for other in self._daemons.values():
            if other is not daemon:
                entry = daemon.entry
                other.handle(node_events.LinkDown(entry.name, entry.incarnation))
                daemon.handle(node_events.LinkDown(other.entry.name))

    def _tick(self) -> None:
        for daemon in list(self._daemons.values()):
            daemon.tick()

    # Disturbances.

    def _begin(self, step: schedules.Step) -> None:
        if step.vm and step.vm not in self._daemons:
            return
        begin: dict[schedules.Disturbance, Callable[[schedules.Step], None]] = {
            schedules.Disturbance.KILL: self._kill,
            schedules.Disturbance.FREEZE: self._freeze,
            schedules.Disturbance.CUT: self._cut_off,
            schedules.Disturbance.STORE_AWAY: self._take_store_away,
        }
        begin[step.kind](step)

    def _disturb(self, vm: str, for_s: float) -> None:
        self.audit(records.Disturbed(self._loop.now_s, vm, for_s))

    def _kill(self, step: schedules.Step) -> None:
        self._disturb(step.vm, RESTART_AFTER_S)
        daemon = self._daemons.pop(step.vm)
        daemon.end()
        self.paths.forget(step.vm)
        self._unlink(daemon)
        self._publish()
        self._loop.after(RESTART_AFTER_S, lambda: self._start_daemon(step.vm))

    def _freeze(self, step: schedules.Step) -> None:
        self._disturb(step.vm, step.for_s)
        daemon = self._daemons[step.vm]
        daemon.is_frozen = True
        self._loop.after(step.for_s, daemon.thaw)

    def _cut_off(self, step: schedules.Step) -> None:
        self._disturb(step.vm, step.for_s)
        self._cut.add(step.vm)
        self._unlink(self._daemons[step.vm])

        def heal() -> None:
            self._cut.discard(step.vm)
            if step.vm in self._daemons:
                self._link(self._daemons[step.vm])
            self._publish()

        self._loop.after(step.for_s, heal)

    def _lose_paths(self, lost: paths.LostPaths) -> None:
        server_ids = list(self.servers)
        self.paths.begin(lost, server_ids)
        affected = lost.server_ids or server_ids
        for vm in lost.vms:
            at_s, is_all = self._loop.now_s, not lost.server_ids
            self.audit(records.PathsLost(at_s, vm, lost.for_s, is_all))
            if lost.state is paths.State.REFUSED and vm in self._daemons:
                self._daemons[vm].reset_paths(affected)
        self._loop.after(lost.for_s, lambda: self.paths.end(lost, server_ids))

    def _take_store_away(self, step: schedules.Step) -> None:
        self._is_store_away = True

        def give_back() -> None:
            self._is_store_away = False
            self._publish()

        self._loop.after(step.for_s, give_back)

    # Callers.

    def _plan_requests(self) -> None:
        self._plan(self._schedule.requests_per_s, 0.2, None)
        for each in self._schedule.repeated:
            self._plan(each.requests_per_s, each.from_s, each)

    def _plan(
        self, requests_per_s: float, from_s: float, repeated: schedules.Repeated | None
    ) -> None:
        """Plan requests at random moments, with new contents unless one is repeated."""
        at_s = from_s + self._random_state.expovariate(requests_per_s)
        while at_s < schedules.LENGTH_S:
            if repeated is None:
                content_id, is_repeatable = "", self._random_state.random() < 0.5
            else:
                content_id = repeated.content_id
                is_repeatable = repeated.is_repeatable
            send = functools.partial(
                self._send, content_id, is_repeatable, TIMEOUT_S, n_retries=0
            )
            self._loop.at(at_s, send)
            at_s += self._random_state.expovariate(requests_per_s)

    def _send(
        self, content_id: str, is_repeatable: bool, timeout_s: float, n_retries: int
    ) -> None:
        if not self._daemons:
            return
        self._n_requests += 1
        request_id = f"r{self._n_requests}"
        content_id = content_id or f"content of {request_id}"
        name = self._random_state.choice(sorted(self._daemons))
        self.audit(
            records.Sent(
                self._loop.now_s,
                request_id,
                name,
                content_id,
                is_repeatable,
                timeout_s,
                is_first_try=not n_retries,
            )
        )
        sent_s = self._loop.now_s

        def on_final(answer: daemons.FinalAnswer) -> None:
            self.audit(
                records.Answered(
                    self._loop.now_s,
                    request_id,
                    answer.answer_of,
                    answer.is_not_run,
                    answer.status,
                )
            )
            if not answer.is_not_run or n_retries >= MAX_CALLER_RETRIES:
                return
            left_s = timeout_s - (self._loop.now_s - sent_s)
            delay_s = answer.retry_after_s or 0.0
            if delay_s < left_s / 3:
                self._loop.after(
                    delay_s,
                    lambda: self._send(
                        content_id, is_repeatable, left_s - delay_s, n_retries + 1
                    ),
                )

        path = "/safe/x" if is_repeatable else "/unsafe/x"
        req = ingress.Request(
            "", request_id, HOST, path, timeout_s, content_id=content_id
        )
        self._daemons[name].receive(req, on_final)


@attrs.frozen
class Run:
    """A run, its digest, and the broken promises; the same for the same schedule."""

    schedule: schedules.Schedule
    records: tuple[records.Record, ...]
    digest: str
    broken: dict[str, list[str]]


def play(schedule: schedules.Schedule) -> Run:
    """Play a schedule and judge the run."""
    seen = tuple(Deployment(schedule).run())
    digest = hashlib.blake2b(repr(seen).encode(), digest_size=8).hexdigest()
    return Run(schedule, seen, digest, auditor.judge(seen, schedule.quiet_s))
