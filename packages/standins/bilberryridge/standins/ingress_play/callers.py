"""Callers: what they ask for, when, and what became of it."""

import random
from collections.abc import Sequence

import attrs

from bilberryridge.core import ingress
from bilberryridge.standins.ingress_play import daemons
from bilberryridge.standins.queueing import events

ZIPF = 0.3
"""Skew of the shared parts' use."""
LEAST_PATIENCE_S = 0.1
"""A caller with less time left doesn't return."""
RETURN_AT_ONCE_S = 0.05
"""Pause before a return where the refusal names none."""


@attrs.frozen
class Group:
    """Callers that ask for one kind of request.

    Parameters
    ----------
    name : str
        Also its path.
    mix : float
        Its part of the requests.
    goal_s, caller_timeout_s : float
    worth, late_worth : float
        Of an answer within the goal, and of a later one.
    priority : int
    n_own, n_shared : float
        Mean prompt tokens; 0 of both for plain requests.
    n_parts : int
        Shared parts to choose from.
    spread : float
        Of the own tokens, as the sigma of a log-normal.
    n_answer : float
        Mean tokens of the answer.
    kind : RequestKind
    work_s : float
    """

    name: str
    mix: float
    goal_s: float
    caller_timeout_s: float
    worth: float
    late_worth: float
    priority: int
    kind: ingress.RequestKind
    n_own: float = 0.0
    n_shared: float = 0.0
    n_parts: int = 1
    spread: float = 1.3
    n_answer: float = 0.0
    work_s: float = 0.015


GROUPS = (
    Group(
        name="digest",
        mix=12.0,
        goal_s=1.2,
        caller_timeout_s=12.0,
        worth=6.1,
        late_worth=1.8,
        priority=1,
        kind=ingress.RequestKind.STREAM,
        n_own=6610.0,
        n_shared=5380.0,
        n_parts=45,
        n_answer=382.0,
    ),
    Group(
        name="query",
        mix=46.2,
        goal_s=0.8,
        caller_timeout_s=3.0,
        worth=1.9,
        late_worth=0.58,
        priority=0,
        kind=ingress.RequestKind.STREAM,
        n_own=1800.0,
        n_shared=568.0,
        n_parts=262,
        n_answer=23.0,
    ),
    Group("booking", 14.6, 0.3, 3.0, 1.0, 0.3, 2, ingress.RequestKind.UNSAFE),
    Group("lookup", 8.0, 0.3, 3.0, 1.0, 0.3, 2, ingress.RequestKind.SAFE),
)
"""As a deployment of a growers' cooperative has them."""
GROWN_GROUPS = (
    attrs.evolve(GROUPS[0], mix=15.2, n_parts=372),
    attrs.evolve(GROUPS[1], mix=58.9, goal_s=1.0, n_parts=2157),
    attrs.evolve(GROUPS[2], mix=18.5, goal_s=0.5, caller_timeout_s=5.0, work_s=0.06),
    attrs.evolve(GROUPS[3], mix=7.4, goal_s=0.5, caller_timeout_s=5.0, work_s=0.06),
)
"""As its grown deployment has them."""


@attrs.define(eq=False)
class Seen:
    """What one caller saw."""

    group: Group
    began_s: float
    first_s: float | None = None
    ended_s: float | None = None
    n_refusals: int = 0
    refused_after_s: float = 0.0

    @property
    def earned(self) -> float:
        """What the answer was worth to the caller."""
        if self.ended_s is None or self.ended_s > self.group.caller_timeout_s:
            return 0.0
        useful_s = self.ended_s if self.first_s is None else self.first_s
        is_late = useful_s > self.group.goal_s
        return self.group.late_worth if is_late else self.group.worth


@attrs.define(eq=False)
class Caller:
    """One caller with one request, asked once more after a refusal."""

    loop: events.Loop
    entries: Sequence[daemons.Daemon]
    call: daemons.Call
    seen: Seen
    name: str
    random_state: random.Random
    n_left: int = 2

    def ask(self) -> None:
        """Send the request to some daemon."""
        self.n_left -= 1
        left_s = self.seen.began_s + self.seen.group.caller_timeout_s - self.loop.now_s
        req_id = f"{self.name}.{self.n_left}"
        daemon = self.random_state.choice(self.entries)
        req = ingress.Request(
            req_id, self.name, daemons.HOST, self.call.path, left_s, self.call.prompt
        )
        daemon.arrive(req, self.call, self)
        self.loop.after(left_s, lambda: daemon.leave(req_id))

    def first(self) -> None:
        """Note the first part."""
        self.seen.first_s = self.loop.now_s - self.seen.began_s

    def whole(self) -> None:
        """Note the end."""
        self.seen.ended_s = self.loop.now_s - self.seen.began_s

    def refused(self, retry_after_s: float | None) -> None:
        """Come back once, when told."""
        self.seen.n_refusals += 1
        self.seen.refused_after_s = self.loop.now_s - self.seen.began_s
        after_s = RETURN_AT_ONCE_S if retry_after_s is None else retry_after_s
        ends_s = self.seen.began_s + self.seen.group.caller_timeout_s
        if self.n_left and self.loop.now_s + after_s < ends_s - LEAST_PATIENCE_S:
            self.loop.after(after_s, self.ask)


def draw_call(group: Group, name: str, random_state: random.Random) -> daemons.Call:
    """Draw one request of a group."""
    if not group.n_own:
        work_s = _drawn(random_state, group.work_s, 0.5)
        is_stream = False
        return daemons.Call(
            f"/{group.name}/x", None, group.priority, 0, work_s, is_stream
        )
    n_own = round(min(_drawn(random_state, group.n_own, group.spread), 54_000))
    weights = [1.0 / (n + 1) ** ZIPF for n in range(group.n_parts)]
    index = random_state.choices(range(group.n_parts), weights)[0]
    # A part has one length, whoever sends it.
    part_state = random.Random(f"{group.name}-{index}")
    n_shared = round(_drawn(part_state, group.n_shared, 0.7))
    parts = (
        ingress.PromptPart(f"{group.name}-{index}", n_shared),
        ingress.PromptPart(name, max(1, n_own)),
    )
    n_answer = max(1, round(_drawn(random_state, group.n_answer, 0.5)))
    n_hint = max(1, round(n_answer * random_state.lognormvariate(0.0, 0.5)))
    prompt = ingress.Prompt(n_shared + max(1, n_own), n_hint, parts)
    return daemons.Call(f"/{group.name}/x", prompt, group.priority, n_answer, 0.0, True)


def _drawn(random_state: random.Random, mean: float, spread: float) -> float:
    """Draw from a log-normal of that mean."""
    return mean * random_state.lognormvariate(-spread * spread / 2, spread)
