"""CPU time of one placement decision of the ingress node."""

import random

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    events,
    load_messages,
    node,
    placement,
    state,
)
from bilberryridge.standins import timing
from bilberryridge.standins.ingress_play import callers, daemons, play

N_CALLS = 300
REGION = play.Region("ontario", 1, 0, 0, 1.0, 0.0)
BUSY, FULL = (20, 9_000, 3_000, 240_000), (60, 120_000, 60_000, 420_000)
"""Load of all other daemons together at each server, in the order of the fields of
`load_messages.ServerShare`: 0.2 s of prefill, and more than any latency goal."""


def placement_us(n_servers: int, n_daemons: int, is_full: bool) -> float:
    """Return the CPU time in microseconds of placing a long prompt with shared parts.

    Parameters
    ----------
    n_servers, n_daemons : int
        Number in the region.
    is_full : bool
        Whether no server meets the latency goal, so that all are compared.
    """
    n_open, n_pending, n_urgent, n_memory = (
        n // (n_daemons - 1) for n in (FULL if is_full else BUSY)
    )
    share = load_messages.ServerShare(n_open, n_pending, n_urgent, n_memory)
    st = _state(n_servers, n_daemons, share)
    assert st.table is not None
    service = st.table.services["model"]
    route = st.table.routes[0]
    random_state = random.Random(1)
    items = []
    for number in range(N_CALLS):
        call = callers.draw_call(callers.GROWN_GROUPS[0], str(number), random_state)
        req = ingress.Request(
            str(number), "", daemons.HOST, call.path, 12.0, call.prompt
        )
        items.append(state.OpenRequest(req, route, service, 1.0, 13.0))
    return timing.timed(
        lambda index: placement.choose(st, items[index % N_CALLS], 1.0), N_CALLS
    )


def _state(
    n_servers: int, n_daemons: int, share: load_messages.ServerShare
) -> state.State:
    entries = tuple(play.entry_of(REGION, number) for number in range(n_daemons))
    cfg = state.NodeSettings(entries[0], {REGION.name: REGION.name})
    ingress_node = node.Node(cfg, random.Random(1))
    ingress_node.handle(0.0, events.TableRead(play.table_of(callers.GROWN_GROUPS)))
    ingress_node.handle(0.0, events.EntriesRead(entries))
    names = [f"engine-{number}" for number in range(n_servers)]
    records = tuple(
        ingress.BackendServer(name, "model", name, REGION.name, daemons.ENGINE.n_slots)
        for name in names
    )
    ingress_node.handle(0.0, events.ServersRead(records))
    for entry in entries[1:]:
        ingress_node.handle(0.0, events.LinkUp(entry))
        loads = load_messages.DaemonLoads(dict.fromkeys(names, share))
        ingress_node.handle(0.0, events.PeerSaid(entry.name, loads))
    return ingress_node.state
