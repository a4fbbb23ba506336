"""One run: arrivals, engines, daemons with one policy, and what callers saw."""

import random
from collections.abc import Callable

import attrs

from bilberryridge.standins.queueing import daemons, engines, events, policies

N_SERVERS = 6
N_SLOTS = 16
N_DAEMONS = 3
N_ORGANISATIONS = 20
LONG_SHARE = 0.15
QUICK_DEADLINE_S = 30.0
LONG_DEADLINE_S = 120.0
WARM_UP_S = 30.0
REPORT_INTERVAL_S = 1.0
TICK_S = 0.05


@attrs.frozen
class Scenario:
    """What a run is put through.

    Parameters
    ----------
    name : str
    load : float
        Work offered, as a share of what the engines do with all slots busy.
    report_lag_s : float or None
        None for no load reports.
    greedy_load : float
        Work that organisation 0 offers on top.
    prepare : callable
        Called with the loop and the engines before the run.
    """

    name: str
    load: float
    report_lag_s: float | None = 0.5
    greedy_load: float = 0.0
    duration_s: float = 200.0
    n_servers: int = N_SERVERS
    n_daemons: int = N_DAEMONS
    prepare: Callable[[events.Loop, list[engines.Engine]], None] | None = None


@attrs.define
class Seen:
    """What the caller of one job saw."""

    job: engines.Job
    first_token_s: float | None = None
    result: engines.Result | None = None
    ended_s: float = 0.0
    n_tries: int = 0


class Record:
    """What all callers of a run saw."""

    def __init__(self, loop: events.Loop):
        self._loop = loop
        self.seen: dict[int, Seen] = {}

    def arrive(self, job: engines.Job) -> None:
        """Note a job that is about to arrive."""
        self.seen[job.number] = Seen(job)

    def began(self, job: engines.Job) -> None:
        """Note the first token."""
        seen = self.seen[job.number]
        if seen.first_token_s is None:
            seen.first_token_s = self._loop.now_s - job.arrived_s

    def ended(self, job: engines.Job, result: engines.Result, n_tries: int) -> None:
        """Note the end."""
        seen = self.seen[job.number]
        seen.result = result
        seen.ended_s = self._loop.now_s
        seen.n_tries = n_tries


def make_jobs(scenario: Scenario, seed: int) -> list[engines.Job]:
    """Draw the arrivals of a run; the same for each policy."""
    random_state = random.Random(seed)
    n_slots = scenario.n_servers * N_SLOTS
    jobs = _draw(random_state, scenario, scenario.load * n_slots, None)
    if scenario.greedy_load:
        jobs += _draw(random_state, scenario, scenario.greedy_load * n_slots, 0)
    jobs.sort(key=lambda job: job.arrived_s)
    return [attrs.evolve(job, number=number) for number, job in enumerate(jobs)]


def _draw(
    random_state: random.Random,
    scenario: Scenario,
    work_per_s: float,
    organisation: int | None,
) -> list[engines.Job]:
    # Work arrives at the rate wanted on the average: count what the mean job holds.
    sample = [_job(random.Random(index), 0.0, 0) for index in range(2000)]
    mean_hold_s = sum(job.full_hold_s for job in sample) / len(sample)
    jobs: list[engines.Job] = []
    now_s = 0.0
    while True:
        now_s += random_state.expovariate(work_per_s / mean_hold_s)
        if now_s > scenario.duration_s:
            return jobs
        name = organisation
        if name is None:
            name = 1 + random_state.randrange(N_ORGANISATIONS - 1)
        jobs.append(_job(random_state, now_s, name))


def _job(
    random_state: random.Random, arrived_s: float, organisation: int
) -> engines.Job:
    is_long = random_state.random() < LONG_SHARE
    n_output_tokens = round(random_state.expovariate(1.0 / (600 if is_long else 80)))
    n_prefix_tokens = 4000 if is_long else 1500
    n_unshared_tokens = random_state.randrange(100, 1000)
    deadline_s = LONG_DEADLINE_S if is_long else QUICK_DEADLINE_S
    return engines.Job(
        0,
        organisation,
        is_long,
        n_prefix_tokens + n_unshared_tokens,
        n_prefix_tokens,
        min(n_output_tokens + 8, 1500),
        arrived_s,
        arrived_s + deadline_s,
    )


def run(
    scenario: Scenario, jobs: list[engines.Job], rule: str, seed: int
) -> list[Seen]:
    """Run the jobs through one policy; return what callers saw."""
    loop = events.Loop()
    servers = [
        engines.Engine(loop, f"s{index}", N_SLOTS)
        for index in range(scenario.n_servers)
    ]
    targets: dict[str, engines.Target] = {item.name: item for item in servers}
    entry = []
    for index in range(scenario.n_daemons):
        daemon = daemons.Daemon(loop, targets, {})
        random_state = random.Random(seed * 100 + index)
        daemon.policy = make_policy(
            rule, daemon, servers, random_state, scenario.n_daemons
        )
        entry.append(daemon)
    if scenario.prepare is not None:
        scenario.prepare(loop, servers)
    _report(scenario, loop, servers, entry)
    record = Record(loop)
    router = random.Random(seed)
    for job in jobs:
        record.arrive(job)
        daemon = entry[job.organisation % len(entry)]
        if router.random() < 0.5:
            daemon = entry[(job.organisation + 1) % len(entry)]
        loop.at(job.arrived_s, _arrival(daemon, job, record))
    for daemon in entry:
        loop.every(TICK_S, daemon.policy.on_tick, scenario.duration_s + 120.0)
    loop.run()
    return list(record.seen.values())


def make_policy(
    rule: str,
    daemon: daemons.Daemon,
    servers: list[engines.Engine],
    random_state: random.Random,
    n_daemons: int,
) -> daemons.Policy:
    """Make the policy of that name for a daemon."""
    if rule == "project":
        return policies.Project(daemon, servers, random_state, n_daemons=n_daemons)
    return policies.Baseline(daemon, servers, random_state, rule)


def _arrival(
    daemon: daemons.Daemon, job: engines.Job, record: Record
) -> Callable[[], None]:
    return lambda: daemon.arrive(job, record)


def _report(
    scenario: Scenario,
    loop: events.Loop,
    servers: list[engines.Engine],
    entry: list[daemons.Daemon],
) -> None:
    lag_s = scenario.report_lag_s
    if lag_s is None:
        return

    def send_all() -> None:
        for server in servers:
            load = (server.name, server.n_running, server.n_waiting, lag_s)
            loop.after(lag_s, lambda load=load: deliver(*load))  # type: ignore[misc]

    def deliver(name: str, n_running: int, n_waiting: int, age_s: float) -> None:
        for daemon in entry:
            daemon.policy.on_report(name, n_running, n_waiting, age_s)

    loop.every(REPORT_INTERVAL_S, send_all, scenario.duration_s)
