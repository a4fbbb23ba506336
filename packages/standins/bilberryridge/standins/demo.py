"""`make demo`: requests to two failure domains that run as separate processes.

Exits 1 when a claim does not hold. With ``--keep`` the fleet runs until Ctrl-C.
"""

import argparse
import asyncio
import contextlib
import datetime
import sys
from typing import Any

from bilberryridge.core import documents
from bilberryridge.standins import fleet, layout, processes, sending, subnets

ORGANISATION = "landscapers"
NEAR, FAR = "grand-haven", "painesville"
N_SLOTS = 2
N_USUAL_TOKENS = 60
N_LONG_TOKENS = 300


class Claims:
    """Claims of the demo, and how many did not hold."""

    def __init__(self) -> None:
        self.n_broken = 0

    def say(self, text: str, is_true: bool) -> None:
        """Print a claim and whether it holds."""
        self.n_broken += not is_true
        print(f"  {'holds' if is_true else 'DOES NOT HOLD'}: {text}", flush=True)


def plan(subnet: int) -> layout.Layout:
    """Return the demo's fleet: two entry VMs, an engine and a plain server a domain."""
    engine = {"speed": {"n_slots": N_SLOTS}}
    domains = (
        layout.DomainLayout(NEAR, "michigan", engine=engine),
        layout.DomainLayout(FAR, "ohio", engine=engine),
    )
    organisations = (documents.Organisation(ORGANISATION, "michigan"),)
    return layout.Layout(subnet, domains, organisations, has_links=True)


async def run(running: fleet.Fleet, keeps_running: bool) -> int:
    """Run the demo; return how many claims did not hold."""
    claims = Claims()
    daemons = [vm.name for vm in running.plan.entry_vms()]
    await running.start_surroundings()
    await running.start_daemons(daemons)
    for name in daemons:
        own = running.vms[name].domain
        await running.wait_joined(name, [own])
    print(f"{len(daemons)} daemons serve; ask one of them for the others")
    await _show(running, claims)
    print("all held" if not claims.n_broken else f"{claims.n_broken} did not hold")
    if keeps_running:
        await _run_until_interrupted(running)
    return claims.n_broken


async def _show(running: fleet.Fleet, claims: Claims) -> None:
    caller = sending.Caller(running, ORGANISATION)
    first, second = f"{NEAR}-entry-1", f"{NEAR}-entry-2"
    entry = await caller.ask_entry(first)
    names = [vm["vm"] for vm in entry.get("entry_vms", [])]
    claims.say(f"the entry answer names {', '.join(names)}", first in names)

    print("\na streamed chat")
    question = "Which hedge for a windy lake shore?"
    exchange = await caller.chat(first, question, N_USUAL_TOKENS)
    claims.say("the answer is complete and right", exchange.is_right)
    await _trace(running, exchange)

    print("\na booking, and the same booking again through the other entry VM")
    key = entry.get("key_prefix", "") + "booking-1"
    booked = await caller.book(first, key, "40 bags of lime mortar")
    again = await caller.book(second, key, "40 bags of lime mortar")
    claims.say("both times the right answer came", booked.is_right and again.is_right)
    ran = [run for run in await running.all_runs() if run["key"] == key]
    claims.say(f"a backend server ran it once (counted {len(ran)})", len(ran) == 1)
    await _trace(running, again)

    print("\nchats while the own domain is full")
    await _cross(running, claims, caller, first)


async def _cross(
    running: fleet.Fleet, claims: Claims, caller: sending.Caller, via: str
) -> None:
    async with asyncio.TaskGroup() as tasks:
        long_tasks = [
            tasks.create_task(caller.chat(via, f"A plan, part {n}", N_LONG_TOKENS))
            for n in range(N_SLOTS)
        ]
        await fleet.wait_for("a full domain", lambda: _is_full(running))
        exchange = await caller.chat(via, "And the stock of the other yard?")
    ran = [
        r for r in await running.all_runs() if r["request_id"] == exchange.request_id
    ]
    claims.say("the answer is complete and right", exchange.is_right)
    claims.say(f"it ran once, in {FAR}", [r["domain"] for r in ran] == [FAR])
    are_right = all(task.result().is_right for task in long_tasks)
    claims.say("the long answers are complete and right", are_right)
    await _trace(running, exchange)


async def _is_full(running: fleet.Fleet) -> bool:
    return len(await running.runs(f"{NEAR}-engine-1")) > N_SLOTS


async def _trace(running: fleet.Fleet, exchange: sending.Exchange) -> None:
    print(
        f"  {exchange.req.method} {exchange.req.target}: "
        f"{exchange}, {exchange.request_id}"
    )
    steps: list[tuple[float, str, str]] = []
    spans: list[dict[str, Any]] = []
    for vm in running.plan.entry_vms():
        explanation = await running.ask_operators(
            vm.name, f"/v1/explain/{exchange.request_id}"
        )
        for step in (explanation or {}).get("steps", []):
            steps.append((step["time_s"], vm.name, f"{step['step']}: {step['why']}"))
        spans += (explanation or {}).get("spans", [])
    for time_s, vm_name, text in sorted(steps):
        when = datetime.datetime.fromtimestamp(time_s, datetime.UTC)
        print(f"    {when:%H:%M:%S.%f} {vm_name}  {text}")
    for span in sorted(spans, key=lambda span: span["began_s"]):
        took_ms = 1e3 * (span["ended_s"] - span["began_s"])
        print(f"    span {span['vm']}  {span['name']}  {took_ms:.1f} ms")


async def _run_until_interrupted(running: fleet.Fleet) -> None:
    print("\nrunning until Ctrl-C; callers' token:", layout.token_of(ORGANISATION))
    print("operators' token:", layout.OPERATORS_TOKEN)
    for vm in running.plan.entry_vms():
        print(f"  {vm.name}: http://{vm.address}, http://{vm.operators_address}")
    await asyncio.Event().wait()


def main() -> int:
    """Run the demo; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="run on until Ctrl-C")
    options = parser.parse_args()
    with (
        processes.ended_by_signals(),
        subnets.held_subnet() as subnet,
        fleet.open_fleet(plan(subnet)) as running,
    ):
        try:
            with contextlib.suppress(KeyboardInterrupt):
                return 1 if asyncio.run(run(running, options.keep)) else 0
        except fleet.ConditionTimeoutError as exc:
            print(exc)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
