"""One node: handles one event at a time and returns the effects.

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
    at_most_once_handlers,
    attempt_handlers,
    configuration_handlers,
    effects,
    entry_handlers,
    events,
    load_handlers,
    membership_handlers,
    outcome_handlers,
    request_handlers,
    request_validation,
    state,
    stop_handlers,
)


def _on_tick(st: state.State, now_s: float, event: events.Tick) -> None:
    configuration_handlers.on_tick(st, now_s)
    membership_handlers.on_tick(st, now_s)
    load_handlers.on_tick(st, now_s)
    request_handlers.on_tick(st, now_s)
    outcome_handlers.on_tick(st, now_s)
    stop_handlers.on_tick(st, now_s)


_HANDLERS: dict[type, Callable] = {
    events.RequestArrived: request_validation.on_arrived,
    events.CallerGone: request_handlers.on_caller_gone,
    events.AttemptBegan: attempt_handlers.on_began,
    events.AttemptEnded: attempt_handlers.on_ended,
    events.ClaimAnswered: at_most_once_handlers.on_claim,
    events.EntryAsked: entry_handlers.on_entry_asked,
    events.ModelsAsked: entry_handlers.on_models_asked,
    events.PeerUp: membership_handlers.on_peer_up,
    events.PeerDown: membership_handlers.on_peer_down,
    events.PeerSaid: membership_handlers.on_peer_said,
    events.VmListRead: membership_handlers.on_list,
    events.ConfigurationRead: configuration_handlers.on_read,
    events.StoreReachable: configuration_handlers.on_reachable,
    events.LoadRead: load_handlers.on_load,
    events.StopAsked: stop_handlers.on_stop,
    events.Tick: _on_tick,
}


class Node:
    """The decisions of one daemon.

    Parameters
    ----------
    cfg : NodeSettings
    random_state : random.Random
        Source of all randomness of the node, so that a run can be reproduced.
    """

    def __init__(self, cfg: state.NodeSettings, random_state: random.Random):
        self.state = state.State(cfg, random_state)

    def handle(self, now_s: float, event: events.Event) -> list[effects.Effect]:
        """Handle an event and return the effects to carry out, in order.

        Parameters
        ----------
        now_s : float
            Monotonic time; never less than in the previous call.
        event : Event
        """
        self.state.now_s = now_s
        _HANDLERS[type(event)](self.state, now_s, event)
        out = self.state.out
        self.state.out = []
        return out
