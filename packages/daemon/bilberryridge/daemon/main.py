"""Entry point of `bilberryridged`, the daemon that runs on every entry VM."""

import concurrent.futures
import contextlib
import random
import secrets
import signal
import sys
from collections.abc import Iterator
from typing import Annotated

import attrs
import returns.result
import typer

from bilberryridge.configuration import settings as settings_module
from bilberryridge.daemon import control, logs, metrics, operators, spans, traces
from bilberryridge.decisions import events, node, state
from bilberryridge.peers import peers
from bilberryridge.store import platform_task
from bilberryridge.transport import edge
from bilberryridge.utilities import mailbox

N_TASKS = 4
N_INCARNATION_BYTES = 4
N_SECRET_BYTES = 32
SWITCH_INTERVAL_S = 0.001
"""How long a thread may hold the interpreter lock while another thread waits."""

KEEPALIVE_INTERVAL_S = 3.5
"""Longer than the heartbeat interval, so that heartbeats make pings unnecessary."""
IDLE_TIMEOUT_S = 8.0

EXIT_BAD_SETTINGS = 2


def run() -> None:
    """Run the command line."""
    typer.run(main)


def main(
    settings: Annotated[
        str, typer.Option(help="YAML file with the daemon's settings.")
    ],
    check: Annotated[
        bool, typer.Option("--check", help="Validate the settings and exit.")
    ] = False,
) -> None:
    """Serve callers at this entry VM until SIGTERM, then finish open requests."""
    loaded = settings_module.load(settings)
    if not isinstance(loaded, returns.result.Success):
        for problem in loaded.failure():
            print(problem, file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS)
    if not check:
        serve(loaded.unwrap())
        # As the interpreter ends, it gives handled signals back their default action.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)


def serve(cfg: settings_module.Settings) -> None:
    """Run the tasks until the graceful stop is complete."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    with (
        logs.open_logs(cfg.log_level, sys.stdout, cfg.vm),
        _open_tasks(cfg) as (control_task, tasks),
        concurrent.futures.ThreadPoolExecutor(N_TASKS, "task") as executor,
    ):
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, lambda *_: control_task.post(events.StopAsked()))
        futs = [executor.submit(task.run) for task in tasks]
        futs.append(executor.submit(control_task.run))
        # If one task fails the daemon must exit: it cannot serve without all of them.
        concurrent.futures.wait(futs, return_when=concurrent.futures.FIRST_COMPLETED)
        control_task.end()
        for task in tasks:
            task.close()
        for fut in futs:
            fut.result()


@contextlib.contextmanager
def _open_tasks(
    cfg: settings_module.Settings,
) -> Iterator[tuple[control.Control, tuple]]:
    incarnation = secrets.token_hex(N_INCARNATION_BYTES)
    recorder = metrics.Metrics()
    explanations = traces.Explanations()
    node_cfg = state.NodeSettings(
        cfg.vm,
        cfg.domain,
        cfg.region,
        incarnation,
        secrets.token_bytes(N_SECRET_BYTES),
        tuple((seed.vm, seed.address) for seed in cfg.seeds),
    )
    decision_node = node.Node(node_cfg, random.Random(secrets.randbits(64)))
    rewrites = {item.dialled: item.instead for item in cfg.address_rewrites}
    with contextlib.ExitStack() as stack:
        inbox = stack.enter_context(mailbox.open_mailbox())
        request_traces = stack.enter_context(traces.open_traces(cfg.vm))
        edge_task = stack.enter_context(
            edge.open_edge(_edge_settings(cfg), inbox.put, recorder)
        )
        peers_task = stack.enter_context(
            peers.open_peers(_peers_settings(cfg, incarnation), inbox.put, recorder)
        )
        store_task = stack.enter_context(
            platform_task.open_platform(_platform_settings(cfg), inbox.put, recorder)
        )
        tasks = control.Tasks(
            edge_task.put,
            peers_task.put,
            store_task.put,
            edge_task.stop_accepting,
            store_task.leave,
        )
        control_task = control.Control(
            decision_node,
            inbox,
            tasks,
            recorder,
            explanations,
            spans.Spans(request_traces),
            rewrites,
        )
        stack.enter_context(
            operators.open_operators(
                cfg.addresses.operators,
                cfg.operators_token_digest,
                recorder,
                explanations,
                request_traces,
                control_task.status,
                control_task.is_ready,
                lambda: control_task.post(events.StopAsked()),
            )
        )
        yield control_task, (edge_task, peers_task, store_task)


def _edge_settings(cfg: settings_module.Settings) -> edge.EdgeSettings:
    return edge.EdgeSettings(
        vm=cfg.vm,
        caller_address=_split_address(cfg.addresses.callers),
        relay_address=_split_address(cfg.addresses.relay),
        shared_key=cfg.shared_key,
        **attrs.asdict(cfg.limits),
    )


def _peers_settings(
    cfg: settings_module.Settings, incarnation: str
) -> peers.PeersSettings:
    return peers.PeersSettings(
        vm=cfg.vm,
        incarnation=incarnation,
        peer_address=cfg.addresses.peers,
        shared_key=cfg.shared_key,
        keepalive_interval_s=KEEPALIVE_INTERVAL_S,
        idle_timeout_s=IDLE_TIMEOUT_S,
    )


def _platform_settings(
    cfg: settings_module.Settings,
) -> platform_task.PlatformSettings:
    entry = platform_task.DirectoryEntry(
        cfg.vm, cfg.domain, cfg.region, cfg.addresses.callers
    )
    return platform_task.PlatformSettings(
        vm=cfg.vm,
        deployment=cfg.deployment,
        store_endpoint=cfg.platform.store,
        list_endpoint=cfg.platform.list,
        entry=entry,
        source_host=_split_address(cfg.addresses.peers)[0],
    )


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


if __name__ == "__main__":
    run()
