"""The project's policy and the baselines it is compared with."""

import random

import attrs

from bilberryridge.core import documents, messages, requests
from bilberryridge.decisions import admission, loads, placement, prefixes, retries
from bilberryridge.standins.queueing import daemons, engines

SERVICE = "model"
REGION = "home"
PREFIX_BLOCK_TOKENS = 64
MAX_BLOCKS = 32
CACHE_BLOCKS = 400
MAX_BASELINE_ATTEMPTS = 3
MAX_PUT_BACK = 8


class Baseline:
    """Sends each job immediately to a server chosen by a rule; retries up to twice.

    Parameters
    ----------
    rule : str
        ``random``, ``round_robin``, ``least_outstanding`` (counting this daemon's
        attempts only) or ``two_choices`` (by the last load report and this daemon's
        attempts since then).
    """

    def __init__(
        self,
        daemon: daemons.Daemon,
        servers: list[engines.Engine],
        random_state: random.Random,
        rule: str,
    ):
        self._daemon = daemon
        self._names = [item.name for item in servers]
        self._random_state = random_state
        self._rule = getattr(self, "_" + rule)
        self._next = random_state.randrange(len(servers))
        self._n_open = dict.fromkeys(self._names, 0)
        self._n_reported = dict.fromkeys(self._names, 0)
        self._n_sent_since_report = dict.fromkeys(self._names, 0)

    def on_arrived(self, open_job: daemons.OpenJob) -> None:
        """Send the job immediately."""
        self._send(open_job)

    def on_began(self, open_job: daemons.OpenJob) -> None:
        """Do nothing."""

    def on_ended(self, open_job: daemons.OpenJob, is_good: bool | None) -> None:
        """Count the attempt as ended."""
        self._n_open[open_job.target] -= 1
        self._n_sent_since_report[open_job.target] -= 1

    def may_retry(self, open_job: daemons.OpenJob) -> bool:
        """Retry regardless of load, up to the maximum of attempts."""
        if open_job.n_attempts >= MAX_BASELINE_ATTEMPTS:
            return False
        self._send(open_job)
        return True

    def on_report(
        self, server: str, n_running: int, n_waiting: int, age_s: float
    ) -> None:
        """Store the report and ignore its age."""
        self._n_reported[server] = n_running + n_waiting
        self._n_sent_since_report[server] = 0

    def on_tick(self) -> None:
        """Do nothing: a baseline has no queue."""

    def _send(self, open_job: daemons.OpenJob) -> None:
        name = self._rule()
        self._n_open[name] += 1
        self._n_sent_since_report[name] += 1
        self._daemon.send(open_job, name)

    def _random(self) -> str:
        return self._random_state.choice(self._names)

    def _round_robin(self) -> str:
        self._next = (self._next + 1) % len(self._names)
        return self._names[self._next]

    def _least_outstanding(self) -> str:
        min_open = min(self._n_open.values())
        least_loaded = [name for name in self._names if self._n_open[name] == min_open]
        return self._random_state.choice(least_loaded)

    def _two_choices(self) -> str:
        pair = self._random_state.sample(self._names, min(2, len(self._names)))
        return min(
            pair,
            key=lambda name: self._n_reported[name] + self._n_sent_since_report[name],
        )


BASELINES = ("random", "round_robin", "least_outstanding", "two_choices")


@attrs.define
class RemoteDomainState:
    """State of a remote domain as seen by the local one."""

    domain: str
    region: str
    one_way_s: float
    summary: messages.ServiceSummary | None = None
    received_s: float = 0.0


class Project:
    """Combines the project's decision modules in the same way as a node."""

    def __init__(
        self,
        daemon: daemons.Daemon,
        servers: list[engines.Engine],
        random_state: random.Random,
        region: str = REGION,
        weights: documents.Weights | None = None,
        n_daemons: int = 1,
    ):
        self.remote_domains: list[RemoteDomainState] = []
        self.loads = loads.LoadTable(1000, random_state)
        self.loads.n_daemons = n_daemons
        self._daemon = daemon
        self._region = region
        self._weights = weights or documents.Weights()
        self._random_state = random_state
        self._prefixes = prefixes.PrefixTable(20_000, CACHE_BLOCKS)
        self._admission = admission.Admission(random_state)
        self._budget = retries.RetryBudget()
        self._open_jobs: dict[str, daemons.OpenJob] = {}
        self._service = documents.Service(
            SERVICE, documents.ServiceKind.MODEL, ("home", "near", "far")
        )
        self._servers = [
            placement.Candidate(
                documents.Vm(
                    item.name,
                    documents.VmKind.SERVER,
                    "here",
                    "",
                    service=SERVICE,
                    n_slots=item.n_slots,
                ),
                True,
                "here",
                region,
            )
            for item in servers
        ]

    def on_arrived(self, open_job: daemons.OpenJob) -> None:
        """Queue or refuse the job, then place as many queued jobs as possible."""
        now_s = self._daemon.event_loop.now_s
        if not open_job.is_forwarded:
            self._budget.on_first_attempt(now_s, SERVICE)
        self._offer(open_job)

    def on_began(self, open_job: daemons.OpenJob) -> None:
        """Record the time to the first token."""
        now_s = self._daemon.event_loop.now_s
        self.loads.on_began(now_s, str(open_job.job.number), now_s - open_job.sent_s)

    def on_ended(self, open_job: daemons.OpenJob, is_good: bool | None) -> None:
        """Record the end of the attempt and place queued jobs."""
        self.loads.on_ended(
            self._daemon.event_loop.now_s, str(open_job.job.number), is_good
        )
        self._place()

    def may_retry(self, open_job: daemons.OpenJob) -> bool:
        """Retry if the retry budget allows it."""
        if not self._budget.may_retry(self._daemon.event_loop.now_s, SERVICE):
            return False
        self._offer(open_job)
        return True

    def on_report(
        self, server: str, n_running: int, n_waiting: int, age_s: float
    ) -> None:
        """Store the report with its age."""
        self.loads.on_report(
            self._daemon.event_loop.now_s, server, n_running, n_waiting, age_s
        )

    def on_tick(self) -> None:
        """Drop expired jobs from the queue and place the others."""
        for item in self._admission.expire(self._daemon.event_loop.now_s):
            self._open_jobs.pop(item.request_id, None)
        self._place()

    def _offer(self, open_job: daemons.OpenJob) -> None:
        now_s = self._daemon.event_loop.now_s
        job = open_job.job
        request_id = str(job.number)
        offer_result = self._admission.offer(
            now_s,
            admission.WaitingRequest(
                request_id,
                SERVICE,
                str(job.organisation),
                1.0,
                requests.Priority.LONG if job.is_long else requests.Priority.QUICK,
                job.deadline_s,
                job.full_hold_s,
            ),
        )
        if isinstance(offer_result, admission.Refused):
            self._daemon.finish(open_job, engines.Result.REFUSED)
            return
        self._open_jobs[request_id] = open_job
        for item in offer_result.displaced:
            self._daemon.finish(
                self._open_jobs.pop(item.request_id), engines.Result.REFUSED
            )
        self._place()

    def _place(self) -> None:
        now_s = self._daemon.event_loop.now_s
        n_put_back = 0
        while n_put_back < MAX_PUT_BACK:
            item = self._admission.take(now_s, SERVICE)
            if item is None:
                break
            open_job = self._open_jobs[item.request_id]
            if open_job.is_over:
                del self._open_jobs[item.request_id]
                continue
            choice = self._choose(now_s, open_job, item)
            if choice is None:
                self._admission.put_back(item)
                n_put_back += 1
                continue
            del self._open_jobs[item.request_id]
            self._send(now_s, open_job, choice)

    def _choose(
        self, now_s: float, open_job: daemons.OpenJob, item: admission.WaitingRequest
    ) -> placement.Choice | None:
        remotes = []
        if not open_job.is_forwarded:
            remotes = [
                placement.RemoteDomain(
                    remote.domain,
                    remote.region,
                    remote.one_way_s,
                    remote.summary,
                    received_s=remote.received_s,
                )
                for remote in self.remote_domains
                if remote.summary is not None
            ]
        return placement.choose(
            now_s,
            request_of(open_job.job),
            self._service,
            self._servers,
            remotes,
            self.loads,
            self._prefixes,
            self._weights,
            self._region,
            self._random_state,
            exclude=open_job.attempted_targets,
            queue_wait_s=self._admission.expected_wait_s(now_s, SERVICE),
            reserved_share=self._admission.reserved_share(now_s, item),
        )

    def _send(
        self, now_s: float, open_job: daemons.OpenJob, choice: placement.Choice
    ) -> None:
        job = open_job.job
        req = request_of(job)
        n_prefill = req.n_prompt_tokens
        if isinstance(choice, placement.ServerChoice):
            n_prefill = choice.n_prefill_tokens
        self.loads.on_sent(
            now_s,
            choice.load_key,
            req.request_id,
            n_prefill,
            req.n_output_tokens,
            req.priority,
        )
        if isinstance(choice, placement.ServerChoice):
            self._prefixes.record_sent(choice.server, req.prefix_digests)
            self._daemon.send(open_job, choice.server)
        else:
            self._daemon.send(open_job, choice.domain)


def request_of(job: engines.Job) -> requests.Request:
    """Return the job as a request for the decision code."""
    n_blocks = min(job.n_prompt_tokens // PREFIX_BLOCK_TOKENS, MAX_BLOCKS)
    n_shared = job.n_prefix_tokens // PREFIX_BLOCK_TOKENS
    digests = tuple(
        hash((job.organisation, job.is_long, index, index >= n_shared and job.number))
        for index in range(n_blocks)
    )
    return requests.Request(
        request_id=str(job.number),
        method="POST",
        service=SERVICE,
        path="/v1/chat/completions",
        prefix_digests=digests,
        n_prompt_tokens=job.n_prompt_tokens,
        n_output_tokens=job.n_output_tokens,
        priority=requests.Priority.LONG if job.is_long else requests.Priority.QUICK,
        is_streamed=True,
    )
