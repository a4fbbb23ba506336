"""The project's policy and the baselines that it is compared with."""

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
N_UNBOUNDED_TRIES = 3
MAX_PUT_BACK = 8


class Baseline:
    """Sends at once to the server that a rule picks; tries again up to twice.

    Parameters
    ----------
    rule : str
        ``random``, ``round_robin``, ``least_outstanding`` (of this daemon's own) or
        ``two_choices`` (by load report and own sends since).
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
        self._reported = dict.fromkeys(self._names, 0)
        self._n_since = dict.fromkeys(self._names, 0)

    def on_arrived(self, flow: daemons.Flow) -> None:
        """Send the job at once."""
        self._send(flow)

    def on_began(self, flow: daemons.Flow) -> None:
        """Take no notice."""

    def on_ended(self, flow: daemons.Flow, is_good: bool | None) -> None:
        """Count the end."""
        self._n_open[flow.target] -= 1
        self._n_since[flow.target] -= 1

    def may_retry(self, flow: daemons.Flow) -> bool:
        """Try again, whatever the load."""
        if flow.n_tries >= N_UNBOUNDED_TRIES:
            return False
        self._send(flow)
        return True

    def on_report(
        self, server: str, n_running: int, n_waiting: int, age_s: float
    ) -> None:
        """Take the report as if it were new."""
        self._reported[server] = n_running + n_waiting
        self._n_since[server] = 0

    def on_tick(self) -> None:
        """Nothing waits here."""

    def _send(self, flow: daemons.Flow) -> None:
        name = self._rule()
        self._n_open[name] += 1
        self._n_since[name] += 1
        self._daemon.send(flow, name)

    def _random(self) -> str:
        return self._random_state.choice(self._names)

    def _round_robin(self) -> str:
        self._next = (self._next + 1) % len(self._names)
        return self._names[self._next]

    def _least_outstanding(self) -> str:
        least = min(self._n_open.values())
        equal = [name for name in self._names if self._n_open[name] == least]
        return self._random_state.choice(equal)

    def _two_choices(self) -> str:
        pair = self._random_state.sample(self._names, min(2, len(self._names)))
        return min(pair, key=lambda name: self._reported[name] + self._n_since[name])


BASELINES = ("random", "round_robin", "least_outstanding", "two_choices")


@attrs.define
class Neighbour:
    """Another domain, as this one sees it."""

    domain: str
    region: str
    one_way_s: float
    summary: messages.ServiceSummary | None = None
    received_s: float = 0.0


class Project:
    """The project's decisions, joined as a node joins them."""

    def __init__(
        self,
        daemon: daemons.Daemon,
        servers: list[engines.Engine],
        random_state: random.Random,
        region: str = REGION,
        weights: documents.Weights | None = None,
        n_daemons: int = 1,
    ):
        self.neighbours: list[Neighbour] = []
        self.loads = loads.LoadTable(1000, random_state)
        self.loads.n_daemons = n_daemons
        self._daemon = daemon
        self._region = region
        self._weights = weights or documents.Weights()
        self._random_state = random_state
        self._prefixes = prefixes.PrefixTable(20_000, CACHE_BLOCKS)
        self._admission = admission.Admission(random_state)
        self._budget = retries.RetryBudget()
        self._flows: dict[str, daemons.Flow] = {}
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

    def on_arrived(self, flow: daemons.Flow) -> None:
        """Queue the job or refuse it, then place what can be placed."""
        now_s = self._daemon.loop.now_s
        if not flow.is_forwarded:
            self._budget.on_first_attempt(now_s, SERVICE)
        self._offer(flow)

    def on_began(self, flow: daemons.Flow) -> None:
        """Note the first token."""
        now_s = self._daemon.loop.now_s
        self.loads.on_began(now_s, str(flow.job.number), now_s - flow.sent_s)

    def on_ended(self, flow: daemons.Flow, is_good: bool | None) -> None:
        """Note the end and place what waits."""
        self.loads.on_ended(self._daemon.loop.now_s, str(flow.job.number), is_good)
        self._place()

    def may_retry(self, flow: daemons.Flow) -> bool:
        """Try again within the budget."""
        if not self._budget.may_retry(self._daemon.loop.now_s, SERVICE):
            return False
        self._offer(flow)
        return True

    def on_report(
        self, server: str, n_running: int, n_waiting: int, age_s: float
    ) -> None:
        """Take the report with its age."""
        self.loads.on_report(
            self._daemon.loop.now_s, server, n_running, n_waiting, age_s
        )

    def on_tick(self) -> None:
        """Place what waits; give up what is late."""
        for item in self._admission.expire(self._daemon.loop.now_s):
            self._flows.pop(item.request_id, None)
        self._place()

    def _offer(self, flow: daemons.Flow) -> None:
        now_s = self._daemon.loop.now_s
        job = flow.job
        request_id = str(job.number)
        answer = self._admission.offer(
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
        if isinstance(answer, admission.Refused):
            self._daemon.finish(flow, engines.Result.REFUSED)
            return
        self._flows[request_id] = flow
        for item in answer.displaced:
            self._daemon.finish(
                self._flows.pop(item.request_id), engines.Result.REFUSED
            )
        self._place()

    def _place(self) -> None:
        now_s = self._daemon.loop.now_s
        n_put_back = 0
        while n_put_back < MAX_PUT_BACK:
            item = self._admission.take(now_s, SERVICE)
            if item is None:
                break
            flow = self._flows[item.request_id]
            if flow.is_over:
                del self._flows[item.request_id]
                continue
            choice = self._choose(now_s, flow, item)
            if choice is None:
                self._admission.put_back(item)
                n_put_back += 1
                continue
            del self._flows[item.request_id]
            self._send(now_s, flow, choice)

    def _choose(
        self, now_s: float, flow: daemons.Flow, item: admission.WaitingRequest
    ) -> placement.Choice | None:
        remotes = []
        if not flow.is_forwarded:
            remotes = [
                placement.RemoteDomain(
                    other.domain,
                    other.region,
                    other.one_way_s,
                    other.summary,
                    received_s=other.received_s,
                )
                for other in self.neighbours
                if other.summary is not None
            ]
        return placement.choose(
            now_s,
            request_of(flow.job),
            self._service,
            self._servers,
            remotes,
            self.loads,
            self._prefixes,
            self._weights,
            self._region,
            self._random_state,
            exclude=flow.tried,
            queue_wait_s=self._admission.expected_wait_s(now_s, SERVICE),
            reserved_share=self._admission.reserved_share(now_s, item),
        )

    def _send(self, now_s: float, flow: daemons.Flow, choice: placement.Choice) -> None:
        job = flow.job
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
            self._daemon.send(flow, choice.server)
        else:
            self._daemon.send(flow, choice.domain)


def request_of(job: engines.Job) -> requests.Request:
    """The job as the decisions see it."""
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
