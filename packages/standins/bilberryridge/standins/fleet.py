"""Runs the fleet of a layout on loopback, each component in its own process.

See Also
--------
bilberryridge.standins.layout : its names and addresses.
bilberryridge.standins.processes : the processes.
"""

import asyncio
import base64
import contextlib
import functools
import json
import pathlib
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, TypeVar

from bilberryridge.core import documents, encoding
from bilberryridge.standins import (
    caller,
    configs,
    faults,
    layout,
    layout_files,
    processes,
)

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
N_LOG_LINES = 15
DAEMON = "bilberryridge.daemon.main"
STANDINS = "bilberryridge.standins"
LINKS = "links"

T = TypeVar("T")


class ConditionTimeoutError(Exception):
    """A condition was not met within its time limit."""


async def wait_for(
    what: str, probe: Callable[[], Awaitable[T]], timeout_s: float = START_TIMEOUT_S
) -> T:
    """Poll a probe until it returns a true value; return that value.

    Raises
    ------
    ConditionTimeoutError
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    while True:
        result = await probe()
        if result:
            return result
        if loop.time() >= until_s:
            raise ConditionTimeoutError(
                f"condition not met within {timeout_s} s: {what}"
            )
        await asyncio.sleep(POLL_INTERVAL_S)


class Fleet:
    """A fleet.

    Parameters
    ----------
    plan : layout.Layout
    children : processes.Processes
    folder : pathlib.Path
        For settings files.
    """

    def __init__(
        self,
        plan: layout.Layout,
        children: processes.Processes,
        folder: pathlib.Path,
    ):
        self.plan = plan
        self.children = children
        self.vms = {vm.name: vm for vm in plan.vms()}
        self.revision = 0
        self._folder = folder

    async def start_surroundings(self) -> None:
        """Start platform, links and backend servers; write the documents."""
        self._start(
            layout.PLATFORM, "platform_server", layout_files.platform_file(self.plan)
        )
        if self.plan.has_links:
            self._start(LINKS, LINKS, layout_files.links_file(self.plan))
        for vm in self.plan.servers():
            self._start(vm.name, "servers", layout_files.server_file(self.plan, vm))
        await wait_for("the platform", self._is_platform_open)
        if self.plan.has_links:
            await wait_for("the links", lambda: is_open(self.plan.links_control))
        for vm in self.plan.servers():
            await wait_for(vm.name, functools.partial(is_open, vm.address))
        await self.put_documents(self.plan.all_documents())

    def start_daemon(self, name: str, seeds: tuple[str, ...] = ()) -> None:
        """Start the daemon of an entry VM; do not wait for it."""
        path = self._folder / f"{name}.yaml"
        configs.save(path, layout_files.daemon_file(self.plan, self.vms[name], seeds))
        self.children.start(name, DAEMON, "--settings", str(path))

    async def start_daemons(self, names: list[str]) -> None:
        """Start daemons; wait until they serve with all documents."""
        for name in names:
            self.start_daemon(name)
        for name in names:
            await self.wait_serving(name)

    async def wait_serving(self, name: str) -> None:
        """Wait until a daemon serves with all documents in force."""

        async def serves() -> bool:
            if not self.children.is_running(name):
                raise ConditionTimeoutError(f"{name} ended: {self.log_end(name)}")
            status = await self.status(name)
            return status.get("state") == "serving" and (
                status["revision"] >= self.revision
            )

        await wait_for(f"{name} serves", serves)

    async def wait_joined(self, name: str, others: list[str]) -> None:
        """Wait until a daemon is connected to a daemon of each of the domains."""

        async def is_joined() -> bool:
            peers = (await self.status(name)).get("peers", [])
            domains = {self.vms[peer].domain for peer in peers}
            return set(others) <= domains

        await wait_for(f"{name} knows {others}", is_joined)

    async def status(self, name: str) -> dict[str, Any]:
        """Return a daemon's status; empty when it does not answer."""
        return await self.ask_operators(name, "/v1/status") or {}

    async def ask_operators(self, name: str, target: str) -> Any:
        """Query a daemon's operators' port; None when it does not answer."""
        headers = {"authorization": f"Bearer {layout.OPERATORS_TOKEN}"}
        address = self.vms[name].operators_address
        req = caller.Request(address, "GET", target, headers, timeout_s=2.0)
        answer = await caller.send(req)
        return answer.json() if answer.status == 200 else None

    async def explain(self, request_id: str) -> list[tuple[float, str, str, str]]:
        """Return a request's steps at all daemons as (time, VM, step, why)."""
        steps = []
        for vm in self.plan.entry_vms():
            result = await self.ask_operators(vm.name, f"/v1/explain/{request_id}")
            for step in (result or {}).get("steps", []):
                steps.append((step["time_s"], vm.name, step["step"], step["why"]))
        return sorted(steps)

    async def put_documents(self, docs: list[documents.Document]) -> None:
        """Change documents in one transaction at the store."""
        puts = [
            {
                "requestPut": {
                    "key": _to_text(_store_key(doc)),
                    "value": base64.b64encode(encoding.to_json(doc)).decode(),
                }
            }
            for doc in docs
        ]
        answer = await caller.post_json(
            f"{self.plan.platform_host}:{layout.STORE_PORT}",
            "/v3/kv/txn",
            {"success": puts},
        )
        self.revision = int(answer["header"]["revision"])

    async def set_platform_fault(self, part: str, fault: dict[str, Any]) -> None:
        """Set a fault of the ``store`` or of the ``list``."""
        await caller.post_json(self.plan.platform_control, f"/{part}", fault)

    async def set_link_fault(self, fault: dict[str, Any]) -> None:
        """Set a fault between two places."""
        await caller.post_json(self.plan.links_control, "/fault", fault)

    async def set_server_fault(self, name: str, fault: dict[str, Any]) -> None:
        """Set a fault of a backend server."""
        await caller.post_json(self._control_of(name), "/fault", fault)

    async def runs(self, name: str) -> list[dict[str, Any]]:
        """Return what a backend server has run."""
        result = await caller.get_json(self._control_of(name), "/ran")
        if result is None:
            raise ConditionTimeoutError(f"control port of {name} does not answer")
        return result["runs"]

    async def all_runs(self) -> list[dict[str, Any]]:
        """Return what all backend servers have run, with `server` and `domain`."""
        return [
            {**run, "server": vm.name, "domain": vm.domain}
            for vm in self.plan.servers()
            for run in await self.runs(vm.name)
        ]

    async def kill(self, name: str) -> None:
        """End a daemon at once, as the loss of its VM does."""
        self.children.kill(name)
        await self._report_to_links(name, "down")

    async def replace(self, name: str, seeds: tuple[str, ...] = ()) -> None:
        """Start a daemon of the same name in place of one that has ended."""
        if self.children.is_running(name):
            await self.kill(name)
        await self._report_to_links(name, "up")
        self.start_daemon(name, seeds)

    def log_end(self, name: str) -> str:
        """Return the last lines that a process wrote."""
        lines = self.children.log_path(name).read_text().splitlines()
        return "\n".join(_shortened(line) for line in lines[-N_LOG_LINES:])

    async def _report_to_links(self, name: str, kind: str) -> None:
        if self.plan.has_links:
            host = self.vms[name].address.rpartition(":")[0]
            await self.set_link_fault({"kind": kind, "host": host})

    async def _is_platform_open(self) -> bool:
        return await is_open(self.plan.platform_control)

    def _control_of(self, name: str) -> str:
        host, _, port = self.vms[name].address.rpartition(":")
        return f"{host}:{int(port) + faults.CONTROL_PORT_OFFSET}"

    def _start(self, name: str, module: str, cfg: dict[str, Any]) -> None:
        path = self._folder / f"{name}.yaml"
        configs.save(path, cfg)
        self.children.start(name, f"{STANDINS}.{module}", "--config", str(path))


async def is_open(address: str) -> bool:
    """Whether something listens at ``host:port``."""
    host, _, port = address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.transport.abort()
    return True


@contextlib.contextmanager
def open_fleet(plan: layout.Layout) -> Iterator[Fleet]:
    """Provide a fleet, not yet started, whose processes end with the context."""
    with tempfile.TemporaryDirectory(prefix="bilberryridge-") as name:
        folder = pathlib.Path(name)
        with processes.open_processes(folder) as children:
            yield Fleet(plan, children, folder)


def _shortened(line: str) -> str:
    if not line.startswith("{"):
        return line
    fields = json.loads(line)
    return f"{fields['time']} {fields['message']} {fields.get('exc_info', '')}"


def document_key(doc: documents.Document) -> str:
    """Return a document's key ``<kind>/<name>``."""
    kind = next(k for k, cls in documents.KINDS.items() if type(doc) is cls)
    name = f"{doc.a}~{doc.b}" if isinstance(doc, documents.Link) else doc.name
    return f"{kind}/{name}"


def _store_key(doc: documents.Document) -> str:
    return f"/bilberryridge/{layout.DEPLOYMENT}/documents/{document_key(doc)}"


def _to_text(key: str) -> str:
    return base64.b64encode(key.encode()).decode()
