"""State charts, parsed from the YAML files in this folder.

A chart is checked when it is loaded: each state must be reachable, and from each state
some final state must be reachable if the chart has any.

Examples
--------
>>> chart = load("daemon")
>>> chart.step(chart.initial, "configured")
'serving'
"""

import functools
import importlib.resources
from collections.abc import Iterable, Mapping

import attrs
from ruamel import yaml
from transitions import core as machines


class ChartError(Exception):
    """A chart with unreachable or dead states, or an event that a state rejects."""


@attrs.frozen
class Chart:
    """A validated state chart.

    Parameters
    ----------
    name, initial : str
    final : frozenset of str
    table : mapping of (state, event) to state
    """

    name: str
    initial: str
    final: frozenset[str]
    table: Mapping[tuple[str, str], str]

    def step(self, state: str, event: str) -> str:
        """Return the state that follows an event.

        Raises
        ------
        ChartError
            The state does not accept the event.
        """
        try:
            return self.table[state, event]
        except KeyError:
            raise ChartError(
                f"{self.name}: event {event!r} not accepted in state {state!r}"
            ) from None

    def accepts_event(self, state: str, event: str) -> bool:
        """Whether the state accepts the event."""
        return (state, event) in self.table


@attrs.define
class _Model:
    """Model whose state a machine changes while the transition table is computed."""

    state: str


@functools.cache
def load(name: str) -> Chart:
    """Load and check the chart of this folder's ``<name>.yaml``."""
    folder = importlib.resources.files(__package__)
    text = (folder / f"{name}.yaml").read_text()
    return parse(text)


def parse(text: str) -> Chart:
    """Parse and check the YAML text of a chart.

    Raises
    ------
    ChartError
        A state can't be reached, or no final state can be reached from it.
    """
    raw = yaml.YAML(typ="safe").load(text)
    arcs = [
        (state, event, target)
        for state, row in raw["transitions"].items()
        for event, target in row.items()
    ]
    final = frozenset(raw["final"])
    _check(raw["name"], raw["initial"], final, arcs)
    return Chart(raw["name"], raw["initial"], final, _table(raw["initial"], arcs))


def _table(
    initial: str, arcs: Iterable[tuple[str, str, str]]
) -> dict[tuple[str, str], str]:
    # Each arc is stepped once by the library here, because a lookup in the table costs
    # a hundredth of a step.
    listed_arcs = list(arcs)
    states = sorted(
        {name for state, _, target in listed_arcs for name in (state, target)}
    )
    machine = machines.Machine(
        model=None,
        states=states,
        initial=initial,
        transitions=[[event, state, target] for state, event, target in listed_arcs],
        auto_transitions=False,
    )
    table = {}
    for state, event, _ in listed_arcs:
        stepped = _Model(state)
        machine.events[event].trigger(stepped)
        table[state, event] = stepped.state
    return table


def _check(
    name: str, initial: str, final: frozenset[str], arcs: list[tuple[str, str, str]]
) -> None:
    states = {s for state, _, target in arcs for s in (state, target)} | final
    forward = _closure({initial}, [(state, target) for state, _, target in arcs])
    if forward != states:
        raise ChartError(f"{name}: unreachable states: {sorted(states - forward)}")
    if not final:
        return
    backward = _closure(set(final), [(target, state) for state, _, target in arcs])
    if backward != states:
        raise ChartError(
            f"{name}: no final state reachable from: {sorted(states - backward)}"
        )


def _closure(start: set[str], arcs: list[tuple[str, str]]) -> set[str]:
    reached = set(start)
    is_growing = True
    while is_growing:
        new = {target for state, target in arcs if state in reached} - reached
        reached |= new
        is_growing = bool(new)
    return reached
