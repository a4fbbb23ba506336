"""Scenario steps that act on processes, the network, the platform and documents."""

import asyncio
import functools
from collections.abc import Sequence
from typing import Any

import attrs

from bilberryridge.core import encoding
from bilberryridge.standins import audit, fleet, layout

NAMED_BY = "name"
TIMEOUT_S = 30.0


class FleetActions:
    """Actions on the fleet; each method takes the arguments of a step.

    Parameters
    ----------
    running : fleet.Fleet
    """

    def __init__(self, running: fleet.Fleet):
        self._running = running
        self._documents = {
            fleet.document_key(doc): doc for doc in running.plan.all_documents()
        }
        self._highest = 0

    async def start(self, names: Any) -> None:
        """Start daemons, ``all`` or a list; wait until they serve and are connected."""
        if names == "all":
            names = [vm.name for vm in self._running.plan.entry_vms()]
        await self._running.start_daemons(names)
        domains = {self._running.vms[name].domain for name in names}
        for name in names:
            own = self._running.vms[name].domain
            if [self._running.vms[other].domain for other in names].count(own) > 1:
                await self._running.wait_joined(name, [own])
        for own in domains:
            await self.joined({"domain": own, "others": sorted(domains - {own})})

    async def joined(self, fields: dict[str, Any]) -> None:
        """Wait until daemons of `domain` are connected to all the `others`."""
        own, others = fields["domain"], set(fields["others"])
        names = [vm.name for vm in self._running.plan.entry_vms() if vm.domain == own]
        names = [name for name in names if self._running.children.is_running(name)]

        async def is_joined() -> bool:
            connected_domains: set[str] = set()
            for name in names:
                peers = (await self._running.status(name)).get("peers", [])
                connected_domains |= {self._running.vms[peer].domain for peer in peers}
            return others <= connected_domains

        await fleet.wait_for(f"{own} knows {sorted(others)}", is_joined)

    async def start_only(self, fields: dict[str, Any]) -> None:
        """Start the daemons `vms` with `seeds`; do not wait."""
        for name in fields["vms"]:
            self._running.start_daemon(name, tuple(fields.get("seeds", ())))

    async def replace(self, fields: dict[str, Any]) -> None:
        """Put a new daemon in place of `vm`, with `seeds`; do not wait."""
        await self._running.replace(fields["vm"], tuple(fields.get("seeds", ())))

    async def serving(self, names: Sequence[str]) -> None:
        """Wait until daemons serve with all documents in force."""
        for name in names:
            await self._running.wait_serving(name)

    async def kill(self, name: str) -> None:
        """End a daemon at once."""
        await self._running.kill(name)

    async def freeze(self, name: str) -> None:
        """Suspend a daemon."""
        self._running.children.freeze(name)

    async def thaw(self, name: str) -> None:
        """Resume a frozen daemon."""
        self._running.children.thaw(name)

    async def stop(self, name: str) -> None:
        """Send a daemon SIGTERM."""
        self._running.children.terminate(name)

    async def ended(self, name: str) -> None:
        """Wait until a daemon has exited with status 0."""
        children = self._running.children

        async def has_ended() -> bool:
            return not children.is_running(name)

        await fleet.wait_for(f"{name} ends", has_ended, TIMEOUT_S)
        if children.exit_status(name) != 0:
            raise audit.InvariantError(
                f"{name} ended with {children.exit_status(name)}"
            )

    async def store(self, fault: dict[str, Any]) -> None:
        """Set a fault of the store."""
        await self._running.set_platform_fault("store", fault)

    async def list(self, fault: dict[str, Any]) -> None:
        """Set a fault of the list, or its state of a VM."""
        await self._running.set_platform_fault("list", fault)

    async def server(self, fields: dict[str, Any]) -> None:
        """Set a fault of the backend server `name`."""
        fault = {k: v for k, v in fields.items() if k != NAMED_BY}
        await self._running.set_server_fault(fields[NAMED_BY], fault)

    async def link(self, fault: dict[str, Any]) -> None:
        """Set a fault between the places `a` and `b`."""
        await self._running.set_link_fault(fault)

    async def cut_off(self, place: str) -> None:
        """Cut a place from every other one."""
        await self._each_pair(place, "cut")

    async def rejoin(self, place: str) -> None:
        """Heal the network between a place and every other one."""
        await self._each_pair(place, "heal")

    async def change(self, fields: dict[str, Any]) -> None:
        """Set fields (`set`) of the document `key` at the store."""
        doc = self._documents[fields["key"]]
        new_values = {k: _frozen(v) for k, v in fields["set"].items()}
        changed = attrs.evolve(doc, **new_values)
        # A document that the daemons would reject must fail here.
        kind = fields["key"].partition("/")[0]
        encoding.from_json(kind, encoding.to_json(changed))
        self._documents[fields["key"]] = changed
        await self._running.put_documents([changed])
        self._highest = max(self._highest, self._running.revision)

    async def changes(self, several: Sequence[dict[str, Any]]) -> None:
        """Make several changes at once, as two operators do."""
        async with asyncio.TaskGroup() as tasks:
            for fields in several:
                tasks.create_task(self.change(fields))

    async def put_again(self, _arguments: Any) -> None:
        """Put all documents until the store exceeds every earlier revision.

        After a restore the store counts from an older revision.
        """
        while self._running.revision <= self._highest:
            await self._running.put_documents([*self._documents.values()])
        self._highest = self._running.revision

    async def not_back(self, names: Sequence[str]) -> None:
        """Check that no daemon's revision is older than the newest ever written."""
        for name in names:
            status = await self._running.status(name)
            if status["revision"] < self._highest:
                raise audit.InvariantError(f"{name} went back to {status['revision']}")

    async def revisions(self, fields: dict[str, Any]) -> None:
        """Wait until the daemons `vms` have the newest documents, `within_s`."""
        for name in fields["vms"]:
            await fleet.wait_for(
                f"{name} has revision {self._running.revision}",
                functools.partial(self._has_newest, name),
                fields.get("within_s", TIMEOUT_S),
            )

    async def status(self, fields: dict[str, Any]) -> None:
        """Wait until the status of `vm` has all fields of `has`."""

        async def is_so() -> bool:
            status = await self._running.status(fields["vm"])
            return all(status.get(k) == v for k, v in fields["has"].items())

        await fleet.wait_for(f"{fields['vm']}: {fields['has']}", is_so, TIMEOUT_S)

    async def silent(self, fields: dict[str, Any]) -> None:
        """Wait until the daemon `vm` is connected to none of `peers`."""

        async def is_silent() -> bool:
            status = await self._running.status(fields["vm"])
            return bool(status) and not set(fields["peers"]) & set(status["peers"])

        await fleet.wait_for(f"{fields['vm']} lost its peers", is_silent, TIMEOUT_S)

    async def _has_newest(self, name: str) -> bool:
        status = await self._running.status(name)
        return bool(status) and status["revision"] >= self._running.revision

    async def _each_pair(self, place: str, kind: str) -> None:
        places = [*(d.name for d in self._running.plan.domains), layout.PLATFORM]
        for other in places:
            if other != place:
                fault = {"kind": kind, "a": place, "b": other}
                await self._running.set_link_fault(fault)


def _frozen(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value
