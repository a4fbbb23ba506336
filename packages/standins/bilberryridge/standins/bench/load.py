"""Load process: open-loop callers of one region.

``python -m bilberryridge.standins.bench.load --config FILE`` with the fields of `Load`;
writes a list of `Record` as JSON to its `result`.
"""

import asyncio
import itertools
import json
import pathlib
import random
from typing import Any, Protocol

import attrs
import cattrs

from bilberryridge.standins import caller, configs, expected
from bilberryridge.standins.bench import arrivals, policies

MAX_ATTEMPTS = 3
ENTRY_REFRESH_S = 5.0
ENTRY_TIMEOUT_S = 2.0
TARGET = "/v1/chat/completions"


@attrs.frozen
class Demand:
    """An organisation's callers in this region.

    Parameters
    ----------
    organisation, token : str
    rate_per_s, phase : float
        See `arrivals.generate`.
    servers : dict of str
        Address by name of the backend servers where its data may be processed.
    """

    organisation: str
    token: str
    rate_per_s: float
    phase: float
    servers: dict[str, str]


@attrs.frozen
class Load:
    """Configuration of a load process.

    Parameters
    ----------
    policy : str
    model : str
    salt : str
        Prefix of all prompts; a new one makes all caches miss.
    seed : int
    begin_s : float
        Monotonic time of the run's start, the same for all load processes.
    duration_s : float
    demands : list of Demand
    entry_vms : list of str
        Addresses of entry VMs to ask first.
    instead : dict of str
        Address to dial instead of each remote address.
    result : str
    """

    policy: str
    model: str
    salt: str
    seed: int
    begin_s: float
    duration_s: float
    demands: list[Demand]
    entry_vms: list[str]
    instead: dict[str, str]
    result: str


@attrs.define
class Record:
    """Result of one request.

    Parameters
    ----------
    organisation : str
    is_long : bool
    at_s : float
        Intended send time, since the start of the run; latencies count from it.
        Negative for the warm-up.
    late_s : float
        Delay of the actual send after the intended one.
    request_id : str
    status : int
    reason : str
        Why it got no complete and correct answer; empty if it did.
    first_s, total_s : float or None
        Time to the first token and to the end.
    gaps_ms : list of float
        Between tokens.
    has_retry_after : bool
    n_tries : int
        Attempts made by this process.
    """

    organisation: str
    is_long: bool
    at_s: float
    late_s: float = 0.0
    request_id: str = ""
    status: int = 0
    reason: str = ""
    first_s: float | None = None
    total_s: float | None = None
    gaps_ms: list[float] = attrs.field(factory=list)
    has_retry_after: bool = False
    n_tries: int = 1


class Sender(Protocol):
    """Sends requests in the way of a policy's callers."""

    async def send(
        self, demand: Demand, arrival: arrivals.Arrival, body: dict, deadline_s: float
    ) -> tuple[caller.Answer, int]:
        """Send a request; return its answer and the number of attempts."""


class EntrySender:
    """Sends to the entry VMs that the system lists for each caller."""

    def __init__(self, cfg: Load):
        self._cfg = cfg
        self._addresses: dict[tuple[str, int], list[str]] = {}

    async def learn(self, demand: Demand, number: int) -> None:
        """Request the list of entry VMs for one caller."""
        headers = {"authorization": f"Bearer {demand.token}"}
        known = self._addresses.get((demand.organisation, number))
        for address in known or self._cfg.entry_vms:
            req = caller.Request(
                address, "GET", "/v1/entry", headers, timeout_s=ENTRY_TIMEOUT_S
            )
            answer = await caller.send(req)
            if answer.status == 200:
                urls = [vm["url"] for vm in answer.json()["entry_vms"]]
                found = [url.removeprefix("http://") for url in urls]
                dialled = [self._cfg.instead.get(item, item) for item in found]
                self._addresses[demand.organisation, number] = dialled
                return

    async def keep_learning(self, demand: Demand, number: int) -> None:
        """Request the list again at each refresh interval."""
        while True:
            await asyncio.sleep(ENTRY_REFRESH_S)
            await self.learn(demand, number)

    async def send(
        self, demand: Demand, arrival: arrivals.Arrival, body: dict, deadline_s: float
    ) -> tuple[caller.Answer, int]:
        """Send to the best entry VM, or to the next if the connection is refused."""
        known = self._addresses.get((demand.organisation, arrival.caller))
        headers = {"authorization": f"Bearer {demand.token}"}
        answer = caller.Answer(error="refused")
        for n, address in enumerate((known or self._cfg.entry_vms)[:MAX_ATTEMPTS]):
            answer = await _send(address, headers, body, deadline_s)
            if answer.error != "refused":
                return answer, n + 1
        return answer, MAX_ATTEMPTS


class DirectSender:
    """Sends to backend servers chosen by a baseline policy."""

    def __init__(self, cfg: Load):
        random_state = random.Random(f"{cfg.seed}/{cfg.policy}/{cfg.entry_vms}")
        self._cfg = cfg
        self._outstanding = policies.Outstanding()
        self._pick = policies.make_pick(cfg.policy, self._outstanding, random_state)

    async def send(
        self, demand: Demand, arrival: arrivals.Arrival, body: dict, deadline_s: float
    ) -> tuple[caller.Answer, int]:
        """Send to a server, or to another if it is full or refuses the connection."""
        name = f"{arrival.organisation}-{arrival.question}"
        headers = {"x-request-id": f"{self._cfg.salt}-{name}"}
        body = {**body, "priority": int(arrival.is_long)}
        remaining_servers = dict(demand.servers)
        answer = caller.Answer(error="refused")
        for n in range(MAX_ATTEMPTS):
            server = self._pick(sorted(remaining_servers))
            address = remaining_servers[server]
            self._outstanding.begin(server)
            address = self._cfg.instead.get(address, address)
            answer = await _send(address, headers, body, deadline_s)
            self._outstanding.end(server)
            if answer.status != 503 and answer.error != "refused":
                return answer, n + 1
            if len(remaining_servers) > 1:
                del remaining_servers[server]
        return answer, MAX_ATTEMPTS


async def _send(
    address: str, headers: dict[str, str], body: dict, deadline_s: float
) -> caller.Answer:
    headers = {**headers, "content-type": "application/json"}
    timeout_s = deadline_s - asyncio.get_running_loop().time()
    data = json.dumps(body).encode()
    req = caller.Request(
        address, "POST", TARGET, headers, data, timeout_s=max(0.0, timeout_s)
    )
    return await caller.send(req)


async def _do(
    cfg: Load, sender: Sender, demand: Demand, arrival: arrivals.Arrival
) -> Record:
    loop = asyncio.get_running_loop()
    intended_s = cfg.begin_s + arrival.at_s
    await asyncio.sleep(max(0.0, intended_s - loop.time()))
    record = Record(arrival.organisation, arrival.is_long, round(arrival.at_s, 3))
    record.late_s = round(loop.time() - intended_s, 4)
    body = arrivals.body(arrival, cfg.model, cfg.salt)
    deadline_s = intended_s + arrival.need_s
    answer, record.n_tries = await sender.send(demand, arrival, body, deadline_s)
    record.status = answer.status
    record.request_id = answer.headers.get("x-request-id", "")
    record.has_retry_after = "retry-after" in answer.headers
    record.total_s = round(answer.ended_s - intended_s, 4)
    if answer.status == 200:
        times_s = answer.token_times_s() if answer.is_stream else []
        if times_s:
            record.first_s = round(times_s[0] - intended_s, 4)
        record.gaps_ms = [
            round(1e3 * (after - before), 1)
            for before, after in itertools.pairwise(times_s)
        ]
    record.reason = _reason(answer, body)
    return record


def _reason(answer: caller.Answer, body: dict) -> str:
    if answer.status == 200:
        if answer.error:
            return answer.error
        is_right = answer.is_complete and answer.text() == expected.text(body)
        return "" if is_right else "not whole"
    problem = answer.json() if answer.status else None
    kind = problem.get("type", "") if isinstance(problem, dict) else ""
    return kind.rpartition(":")[2] or answer.error or f"status {answer.status}"


async def run(cfg: Load) -> list[Record]:
    """Send all requests; return the result of each."""
    background: list[asyncio.Task] = []
    if cfg.policy == policies.OURS:
        entry_sender = EntrySender(cfg)
        sender: Sender = entry_sender
        for demand in cfg.demands:
            for number in range(arrivals.N_CALLERS):
                await entry_sender.learn(demand, number)
                learning = entry_sender.keep_learning(demand, number)
                background.append(asyncio.create_task(learning))
    else:
        sender = DirectSender(cfg)
    planned = [
        (demand, arrival)
        for demand in cfg.demands
        for arrival in arrivals.generate(
            demand.organisation,
            demand.rate_per_s,
            cfg.duration_s,
            demand.phase,
            cfg.seed,
        )
    ]
    tasks = [asyncio.create_task(_do(cfg, sender, *item)) for item in planned]
    records = list(await asyncio.gather(*tasks))
    for task in background:
        task.cancel()
    return records


def main() -> None:
    """Send the load described by the configuration file."""
    cfg = cattrs.structure(configs.read_argument(), Load)
    records: list[Any] = [attrs.asdict(item) for item in asyncio.run(run(cfg))]
    pathlib.Path(cfg.result).write_text(json.dumps(records))


if __name__ == "__main__":
    main()
