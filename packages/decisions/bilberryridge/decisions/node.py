"""One node: takes an event, returns the effects.

Examples
--------
>>> import random
>>> from bilberryridge.decisions import state
>>> cfg = state.NodeSettings("vm-1", "niagara", "ontario", "f3", b"secret")
>>> node = Node(cfg, random.Random(1))
>>> [type(effect).__name__ for effect in node.handle(0.0, events.Tick())]
['WatchStore']
"""

import random
from collections.abc import Callable

from bilberryridge.decisions import (
    attempt_flow,
    configuration_flow,
    effects,
    entry_flow,
    events,
    load_flow,
    membership_flow,
    once_flow,
    outcome_flow,
    request_flow,
    screening,
    state,
    stop_flow,
)


def _on_tick(st: state.State, now_s: float, event: events.Tick) -> None:
    configuration_flow.on_tick(st, now_s)
    membership_flow.on_tick(st, now_s)
    load_flow.on_tick(st, now_s)
    request_flow.on_tick(st, now_s)
    outcome_flow.on_tick(st, now_s)
    stop_flow.on_tick(st, now_s)


_HANDLERS: dict[type, Callable] = {
    events.RequestArrived: screening.on_arrived,
    events.CallerGone: request_flow.on_caller_gone,
    events.AttemptBegan: attempt_flow.on_began,
    events.AttemptEnded: attempt_flow.on_ended,
    events.ClaimAnswered: once_flow.on_claim,
    events.EntryAsked: entry_flow.on_entry_asked,
    events.ModelsAsked: entry_flow.on_models_asked,
    events.PeerUp: membership_flow.on_peer_up,
    events.PeerDown: membership_flow.on_peer_down,
    events.PeerSaid: membership_flow.on_peer_said,
    events.VmListRead: membership_flow.on_list,
    events.ConfigurationRead: configuration_flow.on_read,
    events.StoreReachable: configuration_flow.on_reachable,
    events.LoadRead: load_flow.on_load,
    events.StopAsked: stop_flow.on_stop,
    events.Tick: _on_tick,
}


class Node:
    """The decisions of one daemon.

    Parameters
    ----------
    cfg : NodeSettings
    random_state : random.Random
        All randomness comes from it.
    """

    def __init__(self, cfg: state.NodeSettings, random_state: random.Random):
        self.state = state.State(cfg, random_state)

    def handle(self, now_s: float, event: events.Event) -> list[effects.Effect]:
        """Take an event in; return what is to be done, in order.

        Parameters
        ----------
        now_s : float
            Monotonic; never less than in the call before.
        event : Event
        """
        self.state.now_s = now_s
        _HANDLERS[type(event)](self.state, now_s, event)
        out = self.state.out
        self.state.out = []
        return out
