"""Scenario steps that send requests and check their results."""

import asyncio
import fnmatch
from typing import Any

from bilberryridge.standins import audit, fleet, script, sending

TIMEOUT_S = 45.0
N_SHOWN_REQUESTS = 8
"""Number of last requests whose decisions are shown when a server ran too few."""
REFUSED_STATUSES = (429, 503)
DEADLINE_STATUS = 504
ENTRY_STEP = "arrived"


class RequestActions:
    """Actions of callers; each method takes the arguments of a step.

    Parameters
    ----------
    running : fleet.Fleet
    tasks : asyncio.TaskGroup
        For requests that continue during the next steps.
    """

    def __init__(self, running: fleet.Fleet, tasks: asyncio.TaskGroup):
        self.audit = audit.Audit(running)
        self._running = running
        self._tasks = tasks
        self._keys: dict[str, str] = {}
        self._n_runs: dict[str, int] = {}
        self._tasks_by_name: dict[str, asyncio.Task[sending.Exchange]] = {}

    async def key(self, fields: dict[str, Any]) -> None:
        """Make the idempotency key `name`: issued by `via`, or the caller's own."""
        name = fields["name"]
        prefix = ""
        if "via" in fields:
            entry = await self._caller(fields).ask_entry(fields["via"])
            prefix = entry["key_prefix"]
        self._keys[name] = prefix + name

    async def send(self, fields: dict[str, Any]) -> None:
        """Send `n` (one) requests `name` to `via` without waiting for answers.

        It is a `chat` (with `max_tokens` and `is_streamed`), a `booking` (the name of
        its key) or a `look_up` (its path).
        """
        names = _names(fields)
        for name in names:
            self._tasks_by_name[name] = self._tasks.create_task(
                self._send(name, fields)
            )

    async def answers(self, fields: dict[str, Any]) -> None:
        """Wait for the answers `of`; check each against the other fields."""
        conditions = {k: v for k, v in fields.items() if k != "of"}
        for name in self._matching_names(fields):
            exchange = await self._answer(name)
            await self._check(name, exchange, conditions)

    async def load(self, fields: dict[str, Any]) -> None:
        """Send as `send` does, one after another to each of `vias`, for `seconds`."""
        until_s = asyncio.get_running_loop().time() + fields["seconds"]
        async with asyncio.TaskGroup() as tasks:
            for via in fields["vias"]:
                tasks.create_task(self._load(fields | {"via": via}, until_s))

    async def refused(self, fields: dict[str, Any]) -> None:
        """Wait for the answers `of`; check that `at_least` were refused in time.

        A refusal has a Retry-After and arrives within `within_s`, except for a request
        that waited until its deadline; all other answers are right.
        """
        n_refused = 0
        for name in self._matching_names(fields):
            exchange = await self._answer(name)
            conditions: dict[str, Any] = {"right": True}
            if exchange.answer.status in REFUSED_STATUSES:
                n_refused += 1
                conditions = {"retry_after": True, "within_s": fields["within_s"]}
            elif exchange.answer.status == DEADLINE_STATUS:
                conditions = {"retry_after": True, "outcome": audit.NOT_RUN}
            await self._check(name, exchange, conditions)
        if n_refused < fields["at_least"]:
            raise audit.InvariantError(f"{n_refused} refused, not {fields['at_least']}")

    async def retry(self, fields: dict[str, Any]) -> None:
        """Send as `send` does, repeatedly until the answer matches `until`."""

        async def fits() -> bool:
            exchange = await self._send(fields["name"], fields)
            return self._mismatch(exchange, fields["until"]) is None

        await fleet.wait_for(f"{fields['name']}: {fields['until']}", fits, TIMEOUT_S)

    async def ran(self, fields: dict[str, Any]) -> None:
        """Wait until requests `of` or under `key` ran `n` times; or check `at_most`.

        With `domains`, each run was in one of these.
        """

        async def matching_runs() -> list[dict[str, Any]]:
            return await self._runs(fields)

        if "n" in fields:
            n = fields["n"]

            async def has_run() -> bool:
                return len(await matching_runs()) >= n

            await fleet.wait_for(f"{fields} ran", has_run, TIMEOUT_S)
        runs = await matching_runs()
        if "n" in fields and len(runs) != fields["n"]:
            raise audit.InvariantError(
                f"{fields}: ran {await self._describe_runs(runs)}"
            )
        if len(runs) > fields.get("at_most", len(runs)):
            raise audit.InvariantError(
                f"{fields}: ran {await self._describe_runs(runs)}"
            )
        elsewhere = [
            r for r in runs if r["domain"] not in fields.get("domains", [r["domain"]])
        ]
        if elsewhere:
            raise audit.InvariantError(
                f"{fields}: ran {await self._describe_runs(elsewhere)}"
            )

    async def server_ran(self, fields: dict[str, Any]) -> None:
        """Wait until the backend server `name` ran `at_least`, or check `at_most`."""
        name = fields["name"]
        if "at_least" in fields:

            async def has_run() -> bool:
                return len(await self._running.runs(name)) >= fields["at_least"]

            try:
                await fleet.wait_for(f"{fields} ran", has_run, TIMEOUT_S)
            except fleet.ConditionTimeoutError as exc:
                raise audit.InvariantError(
                    f"{exc}{await self._describe_last_requests()}"
                ) from exc
        n = len(await self._running.runs(name))
        if n > fields.get("at_most", n):
            raise audit.InvariantError(f"{name} ran {n}, at most {fields['at_most']}")

    async def note_runs(self, name: str) -> None:
        """Record how many requests the backend server has run so far."""
        self._n_runs[name] = len(await self._running.runs(name))

    async def no_new_runs(self, name: str) -> None:
        """Check that the backend server has run nothing since `note_runs`."""
        n = len(await self._running.runs(name)) - self._n_runs[name]
        if n:
            raise audit.InvariantError(f"{name} has run {n} more")

    async def new_runs(self, name: str) -> None:
        """Wait until the backend server has run something since `note_runs`."""
        await self.server_ran({"name": name, "at_least": self._n_runs[name] + 1})

    async def hops(self, fields: dict[str, Any]) -> None:
        """Check that each of the answers `of` passed `at_most` daemons in all."""
        for name in self._matching_names(fields):
            exchange = await self._answer(name)
            steps = await self._running.explain(exchange.request_id)
            n = sum(step == ENTRY_STEP for _, _, step, _ in steps)
            if n > fields["at_most"]:
                raise audit.InvariantError(f"{name} arrived at {n} daemons")

    async def _runs(self, fields: dict[str, Any]) -> list[dict[str, Any]]:
        if "key" in fields:
            key = self._keys[fields["key"]]
            return [r for r in await self._running.all_runs() if r["key"] == key]
        named = self._matching_names(fields)
        ids = {(await self._answer(name)).request_id for name in named}
        return [r for r in await self._running.all_runs() if r["request_id"] in ids]

    def _matching_names(self, fields: dict[str, Any]) -> list[str]:
        return [
            name
            for pattern in fields["of"]
            for name in fnmatch.filter(self._tasks_by_name, pattern)
        ]

    async def _answer(self, name: str) -> sending.Exchange:
        return await asyncio.wait_for(
            asyncio.shield(self._tasks_by_name[name]), TIMEOUT_S
        )

    async def _load(self, fields: dict[str, Any], until_s: float) -> None:
        loop = asyncio.get_running_loop()
        n = 0
        while loop.time() < until_s:
            n += 1
            name = f"{fields['name']}-{fields['via']}-{n}"
            self._tasks_by_name[name] = self._tasks.create_task(
                self._send(name, fields)
            )
            await self._check(name, await self._answer(name), fields.get("each", {}))

    async def _send(self, name: str, fields: dict[str, Any]) -> sending.Exchange:
        caller, via = self._caller(fields), fields["via"]
        if "booking" in fields:
            order = fields.get("order", fields["booking"])
            exchange = await caller.book(via, self._keys[fields["booking"]], order)
        elif "look_up" in fields:
            exchange = await caller.look_up(via, fields["look_up"])
        else:
            chat = fields["chat"] or {}
            exchange = await caller.chat(
                via, chat.get("prompt", name), **_without_prompt(chat)
            )
        await self.audit.add(exchange)
        return exchange

    def _caller(self, fields: dict[str, Any]) -> sending.Caller:
        organisation = fields.get("organisation", script.ORGANISATION)
        return sending.Caller(self._running, organisation)

    async def _check(
        self, name: str, exchange: sending.Exchange, conditions: dict[str, Any]
    ) -> None:
        mismatch = self._mismatch(exchange, conditions)
        if mismatch:
            description = await self._describe_request(exchange.request_id)
            raise audit.InvariantError(f"{name}: {mismatch}: {exchange}{description}")

    async def _describe_runs(self, runs: list[dict[str, Any]]) -> str:
        ids = sorted({run["request_id"] for run in runs})
        descriptions = [await self._describe_request(request_id) for request_id in ids]
        return "".join([f"{len(runs)} times", *descriptions])

    async def _describe_last_requests(self) -> str:
        ended = [task for task in self._tasks_by_name.values() if task.done()]
        descriptions = [
            await self._describe_request(t.result().request_id)
            for t in ended[-N_SHOWN_REQUESTS:]
        ]
        return "".join(descriptions)

    async def _describe_request(self, request_id: str) -> str:
        steps = await self._running.explain(request_id)
        lines = [f"\n  {t:.3f} {vm} {step}: {why}" for t, vm, step, why in steps]
        return "".join([f"\n  {request_id}", *lines])

    def _mismatch(
        self, exchange: sending.Exchange, conditions: dict[str, Any]
    ) -> str | None:
        seen = {
            "right": exchange.is_right,
            "whole": exchange.answer.is_complete,
            "status": exchange.answer.status,
            "problem": exchange.problem,
            "outcome": exchange.answer.outcome,
            "retry_after": "retry-after" in exchange.answer.headers,
        }
        for field, value in conditions.items():
            if field == "within_s":
                took_s = exchange.answer.ended_s - exchange.answer.began_s
                if took_s > value:
                    return f"took {took_s:.1f} s"
            elif seen[field] not in (value if isinstance(value, list) else [value]):
                return f"{field} is not {value}"
        return None


def _names(fields: dict[str, Any]) -> list[str]:
    n = fields.get("n", 1)
    name = fields["name"]
    return [name] if n == 1 else [f"{name}-{i}" for i in range(1, n + 1)]


def _without_prompt(chat: dict[str, Any]) -> dict[str, Any]:
    return {k: v for k, v in chat.items() if k != "prompt"}
