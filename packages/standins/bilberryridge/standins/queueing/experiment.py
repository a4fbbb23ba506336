"""One simulation run: arrivals, engines, daemons with one policy, and outcomes."""

import random
from collections.abc import Callable

import attrs

from bilberryridge.standins.queueing import daemons, engines, events, policies

N_SERVERS = 6
N_SLOTS = 16
N_DAEMONS = 3
N_ORGANISATIONS = 20
LONG_FRACTION = 0.15
QUICK_DEADLINE_S = 30.0
LONG_DEADLINE_S = 120.0
WARM_UP_S = 30.0
REPORT_INTERVAL_S = 1.0
TICK_S = 0.05


@attrs.frozen
class Scenario:
    """Load and faults of a run.

    Parameters
    ----------
    name : str
    load : float
        Offered work, as a fraction of the engines' capacity with all slots busy.
    report_lag_s : float or None
        Age of the load reports on arrival; None for no load reports.
    greedy_load : float
        Additional work that organisation 0 offers, as a fraction of capacity.
    prepare : callable
        Called with the event loop and the engines before the run.
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
class Outcome:
    """Outcome of one job, as seen by its caller."""

    job: engines.Job
    first_token_s: float | None = None
    result: engines.Result | None = None
    ended_s: float = 0.0
    n_attempts: int = 0


class OutcomeRecorder:
    """Records the outcome of each job of a run."""

    def __init__(self, event_loop: events.Loop):
        self._event_loop = event_loop
        self.outcomes: dict[int, Outcome] = {}

    def add(self, job: engines.Job) -> None:
        """Add a job that is about to arrive."""
        self.outcomes[job.number] = Outcome(job)

    def on_began(self, job: engines.Job) -> None:
        """Record the time to the first token."""
        outcome = self.outcomes[job.number]
        if outcome.first_token_s is None:
            outcome.first_token_s = self._event_loop.now_s - job.arrived_s

    def on_ended(
        self, job: engines.Job, result: engines.Result, n_attempts: int
    ) -> None:
        """Record the result."""
        outcome = self.outcomes[job.number]
        outcome.result = result
        outcome.ended_s = self._event_loop.now_s
        outcome.n_attempts = n_attempts


def make_jobs(scenario: Scenario, seed: int) -> list[engines.Job]:
    """Draw the arrivals of a run, which are the same for each policy."""
    random_state = random.Random(seed)
    n_slots = scenario.n_servers * N_SLOTS
    jobs = _draw_jobs(random_state, scenario, scenario.load * n_slots, None)
    if scenario.greedy_load:
        jobs += _draw_jobs(random_state, scenario, scenario.greedy_load * n_slots, 0)
    jobs.sort(key=lambda job: job.arrived_s)
    return [attrs.evolve(job, number=number) for number, job in enumerate(jobs)]


def _draw_jobs(
    random_state: random.Random,
    scenario: Scenario,
    work_per_s: float,
    organisation: int | None,
) -> list[engines.Job]:
    # The arrival rate follows from the mean time for which a job holds a slot.
    sample = [_draw_job(random.Random(index), 0.0, 0) for index in range(2000)]
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
        jobs.append(_draw_job(random_state, now_s, name))


def _draw_job(
    random_state: random.Random, arrived_s: float, organisation: int
) -> engines.Job:
    is_long = random_state.random() < LONG_FRACTION
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
) -> list[Outcome]:
    """Run the jobs with one policy; return the outcome of each."""
    event_loop = events.Loop()
    servers = [
        engines.Engine(event_loop, f"s{index}", N_SLOTS)
        for index in range(scenario.n_servers)
    ]
    targets: dict[str, engines.Target] = {item.name: item for item in servers}
    entry_daemons = []
    for index in range(scenario.n_daemons):
        daemon = daemons.Daemon(event_loop, targets, {})
        random_state = random.Random(seed * 100 + index)
        daemon.policy = make_policy(
            rule, daemon, servers, random_state, scenario.n_daemons
        )
        entry_daemons.append(daemon)
    if scenario.prepare is not None:
        scenario.prepare(event_loop, servers)
    _schedule_reports(scenario, event_loop, servers, entry_daemons)
    recorder = OutcomeRecorder(event_loop)
    routing_random_state = random.Random(seed)
    for job in jobs:
        recorder.add(job)
        daemon = entry_daemons[job.organisation % len(entry_daemons)]
        if routing_random_state.random() < 0.5:
            daemon = entry_daemons[(job.organisation + 1) % len(entry_daemons)]
        event_loop.at(job.arrived_s, _arrival_callback(daemon, job, recorder))
    for daemon in entry_daemons:
        event_loop.every(TICK_S, daemon.policy.on_tick, scenario.duration_s + 120.0)
    event_loop.run()
    return list(recorder.outcomes.values())


def make_policy(
    rule: str,
    daemon: daemons.Daemon,
    servers: list[engines.Engine],
    random_state: random.Random,
    n_daemons: int,
) -> daemons.Policy:
    """Create the named policy for a daemon."""
    if rule == "project":
        return policies.Project(daemon, servers, random_state, n_daemons=n_daemons)
    return policies.Baseline(daemon, servers, random_state, rule)


def _arrival_callback(
    daemon: daemons.Daemon, job: engines.Job, recorder: OutcomeRecorder
) -> Callable[[], None]:
    return lambda: daemon.receive(job, recorder)


def _schedule_reports(
    scenario: Scenario,
    event_loop: events.Loop,
    servers: list[engines.Engine],
    entry_daemons: list[daemons.Daemon],
) -> None:
    lag_s = scenario.report_lag_s
    if lag_s is None:
        return

    def send_all() -> None:
        for server in servers:
            load = (server.name, server.n_running, server.n_waiting, lag_s)
            event_loop.after(lag_s, lambda load=load: deliver(*load))  # type: ignore[misc]

    def deliver(name: str, n_running: int, n_waiting: int, age_s: float) -> None:
        for daemon in entry_daemons:
            daemon.policy.on_report(name, n_running, n_waiting, age_s)

    event_loop.every(REPORT_INTERVAL_S, send_all, scenario.duration_s)
