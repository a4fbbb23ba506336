"""Runs the processes of a deployment and tests one policy at a time on them."""

import asyncio
import base64
import contextlib
import functools
import json
import pathlib
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import attrs

from bilberryridge.core import documents, encoding
from bilberryridge.standins import caller, configs, faults, processes
from bilberryridge.standins.bench import (
    arrivals,
    cases,
    deployments,
    files,
    load,
    policies,
)

READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
LEAD_S = 1.5
"""Time from the start of the load processes to the first arrival."""

SETTLE_S = 0.5
FIRST_SUMMARIES_S = 3.0
MAX_TXN_PUTS = 100
STANDINS = "bilberryridge.standins"
RETRIES = "bilberryridge_retries_total"


class NotReadyError(Exception):
    """Raised if the fleet does not become ready or a load process fails."""


@attrs.frozen
class Run:
    """Measurements of one policy in one case.

    Parameters
    ----------
    records : list of load.Record as dict
    servers : dict
        Servers that ran each request, in order, by request id.
    server_s : float
        Working time of all engines.
    n_bytes : int
        Bytes sent between regions.
    n_retries : int
    """

    records: list[dict[str, Any]]
    servers: dict[str, list[str]]
    server_s: float
    n_bytes: int
    n_retries: int


@attrs.frozen
class _Snapshot:
    n_runs: dict[str, int]
    runs: dict[str, list[str]]
    server_s: float
    n_bytes: int
    n_retries: float


class Fleet:
    """The processes of a deployment."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        children: processes.Processes,
        folder: pathlib.Path,
    ):
        self.deployment = deployment
        self._children = children
        self._folder = folder
        self._n_loads = 0

    async def start(self) -> None:
        """Start all processes and wait until all daemons serve with all documents."""
        dep = self.deployment
        self._start("platform", f"{STANDINS}.platform_server", files.platform(dep))
        self._start("links", f"{STANDINS}.links", files.links(dep))
        for domain in dep.regions:
            name = f"servers-{domain}"
            self._start(name, f"{STANDINS}.servers", files.servers(dep, domain))
        control = f"{dep.platform_host}:{deployments.CONTROL_PORT}"
        for address in (control, dep.links_control, *map(_control, dep.engines)):
            await self._wait(address, functools.partial(_is_open, address))
        revision = await self._put_documents()
        for vm in dep.entry_vms:
            module = "bilberryridge.daemon.main"
            self._start(vm.name, module, files.daemon(dep, vm), "--settings")
        for vm in dep.entry_vms:
            await self._wait(vm.name, functools.partial(self._serves, vm, revision))
        await asyncio.sleep(FIRST_SUMMARIES_S)

    async def run(self, case: cases.Case, policy: str, seed: int, salt: str) -> Run:
        """Run a case with a policy; the same `seed` gives the same arrivals."""
        before = await self._snapshot()
        self._n_loads += 1
        begin_s = time.monotonic() + LEAD_S + arrivals.WARM_UP_S
        results = []
        names = []
        for index, region in enumerate(sorted(set(self.deployment.regions.values()))):
            cfg = self._load(case, policy, region, index, begin_s)
            result = self._folder / f"load-{self._n_loads}-{region}.json"
            cfg = attrs.evolve(cfg, seed=seed, salt=salt, result=str(result))
            name = f"load-{self._n_loads}-{region}"
            self._start(name, f"{STANDINS}.bench.load", attrs.asdict(cfg))
            results.append(result)
            names.append(name)
        await self._apply_fault(case.fault, begin_s)
        for name in names:
            await self._wait_ended(name)
        await asyncio.sleep(SETTLE_S)
        after = await self._snapshot()
        records = [r for path in results for r in json.loads(path.read_text())]
        if policy == policies.OURS:
            n_retries = round(after.n_retries - before.n_retries)
        else:
            n_retries = sum(record["n_tries"] - 1 for record in records)
        return Run(
            records=records,
            servers=_new_runs(before, after),
            server_s=after.server_s - before.server_s,
            n_bytes=after.n_bytes - before.n_bytes,
            n_retries=n_retries,
        )

    def _load(
        self, case: cases.Case, policy: str, region: str, index: int, begin_s: float
    ) -> load.Load:
        dep = self.deployment
        total = case.load * arrivals.capacity_per_s(deployments.SPEED, len(dep.engines))
        shares = arrivals.shares(dep.organisations)
        n_regions = len(set(dep.regions.values()))
        domain = next(name for name, home in dep.regions.items() if home == region)
        demands = [
            load.Demand(
                organisation=org.name,
                token=deployments.token_of(org.name),
                rate_per_s=total
                * shares[org.name]
                * (cases.GREEDY_FACTOR if org.name == case.greedy else 1.0),
                phase=index / n_regions,
                servers=self._allowed_servers(org),
            )
            for org in dep.organisations
            if org.home_region == region
        ]
        entry_vms = [vm.address for vm in dep.entry_vms if vm.domain == domain]
        return load.Load(
            policy=policy,
            model=dep.model,
            salt="",
            seed=0,
            begin_s=begin_s,
            duration_s=case.duration_s,
            demands=demands,
            entry_vms=entry_vms,
            instead=dep.rewrites(domain),
            result="",
        )

    def _allowed_servers(self, org: documents.Organisation) -> dict[str, str]:
        regions = self.deployment.regions
        return {
            vm.name: vm.address
            for vm in self.deployment.engines
            if not org.regions or regions[vm.domain] in org.regions
        }

    async def _apply_fault(self, fault: cases.Fault | None, begin_s: float) -> None:
        if fault is None:
            return
        await asyncio.sleep(begin_s + fault.begin_s - time.monotonic())
        await self._set_fault(fault, fault.command)
        await asyncio.sleep(begin_s + fault.end_s - time.monotonic())
        await self._set_fault(fault, {"kind": "heal"})

    async def _set_fault(self, fault: cases.Fault, command: dict[str, Any]) -> None:
        dep = self.deployment
        if fault.domain:
            others = [*(n for n in dep.regions if n != fault.domain)]
            for other in (*others, deployments.PLATFORM):
                cut = {"kind": "cut", **command, "a": fault.domain, "b": other}
                await caller.post_json(dep.links_control, "/fault", cut)
            return
        for vm in dep.engines:
            if fault.server in ("*", vm.name):
                await caller.post_json(_control(vm), "/fault", command)

    async def _snapshot(self) -> _Snapshot:
        dep = self.deployment
        runs: dict[str, list[str]] = {}
        server_s = 0.0
        for vm in dep.engines:
            shown = await caller.get_json(_control(vm), "/ran")
            runs[vm.name] = [run["request_id"] for run in shown["runs"]]
            server_s += shown["server_s"]
        ways = await caller.get_json(dep.links_control, "/bytes")
        return _Snapshot(
            n_runs={name: len(ids) for name, ids in runs.items()},
            runs=runs,
            server_s=server_s,
            n_bytes=sum(n for way, n in ways.items() if not way.startswith("local:")),
            n_retries=sum([await self._n_retries(vm) for vm in dep.entry_vms]),
        )

    async def _n_retries(self, vm: documents.Vm) -> float:
        answer = await self._ask(vm, "/metrics")
        lines = answer.body.decode().splitlines()
        return sum(float(ln.split()[-1]) for ln in lines if ln.startswith(RETRIES))

    async def _ask(self, vm: documents.Vm, target: str) -> caller.Answer:
        headers = {"authorization": f"Bearer {deployments.OPERATORS_TOKEN}"}
        return await caller.send(
            caller.Request(vm.operators_address, "GET", target, headers, timeout_s=5.0)
        )

    async def _serves(self, vm: documents.Vm, revision: int) -> bool:
        if not self._children.is_running(vm.name):
            raise NotReadyError(f"{vm.name} ended: {self._log_end(vm.name)}")
        status = (await self._ask(vm, "/v1/status")).json() or {}
        is_serving = status.get("state") == "serving" and bool(status["peers"])
        return is_serving and status["revision"] >= revision

    async def _put_documents(self) -> int:
        docs = self.deployment.docs
        target = f"{self.deployment.platform_host}:{deployments.STORE_PORT}"
        revision = 0
        for first in range(0, len(docs), MAX_TXN_PUTS):
            puts = [self._put(doc) for doc in docs[first : first + MAX_TXN_PUTS]]
            answer = await caller.post_json(target, "/v3/kv/txn", {"success": puts})
            revision = int(answer["header"]["revision"])
        return revision

    def _put(self, doc: documents.Document) -> dict[str, Any]:
        kind = next(k for k, made in documents.KINDS.items() if type(doc) is made)
        name = f"{doc.a}~{doc.b}" if isinstance(doc, documents.Link) else doc.name
        key = f"/bilberryridge/{self.deployment.name}/documents/{kind}/{name}"
        value = base64.b64encode(encoding.to_json(doc)).decode()
        encoded = base64.b64encode(key.encode()).decode()
        return {"requestPut": {"key": encoded, "value": value}}

    def _start(
        self, name: str, module: str, cfg: dict[str, Any], option: str = "--config"
    ) -> None:
        path = self._folder / f"{name}.yaml"
        configs.save(path, cfg)
        self._children.start(name, module, option, str(path))

    async def _wait_ended(self, name: str) -> None:
        async def has_ended() -> bool:
            return not self._children.is_running(name)

        await self._wait(name, has_ended)
        if self._children.exit_status(name):
            raise NotReadyError(f"{name} failed: {self._log_end(name)}")

    async def _wait(
        self, what: str, probe: Callable[[], Coroutine[Any, Any, bool]]
    ) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not await probe():
            if time.monotonic() > deadline_s:
                raise NotReadyError(f"{what}: not ready within {READY_TIMEOUT_S} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    def _log_end(self, name: str) -> str:
        return self._children.log_path(name).read_text()[-2000:]


def _new_runs(before: _Snapshot, after: _Snapshot) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for server, ids in after.runs.items():
        for request_id in ids[before.n_runs[server] :]:
            found.setdefault(request_id, []).append(server)
    return found


def _control(vm: documents.Vm) -> str:
    host, _, port = vm.address.rpartition(":")
    return f"{host}:{int(port) + faults.CONTROL_PORT_OFFSET}"


async def _is_open(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.transport.abort()
    return True


@contextlib.asynccontextmanager
async def open_fleet(deployment: deployments.Deployment) -> AsyncIterator[Fleet]:
    """Start a fleet whose processes end with the context."""
    with tempfile.TemporaryDirectory(prefix="bilberryridge-bench-") as name:
        folder = pathlib.Path(name)
        with processes.open_processes(folder) as children:
            fleet = Fleet(deployment, children, folder)
            await fleet.start()
            yield fleet
