"""Models of callers: the requests they send and the outcome of each."""

import functools
import random
from collections.abc import Sequence

import attrs

from bilberryridge.core import ingress
from bilberryridge.standins.ingress_play import daemons, servers
from bilberryridge.standins.queueing import events

ZIPF_EXPONENT = 0.3
"""Exponent of the Zipf distribution by which shared prompt parts are chosen."""
MIN_REMAINING_S = 0.1
"""A caller with less time left doesn't retry."""
DEFAULT_RETRY_AFTER_S = 0.05
"""Pause before a retry if the refusal gives no retry time."""


@attrs.frozen
class Group:
    """Callers that send one kind of request.

    Parameters
    ----------
    name : str
        Also the first segment of the path.
    traffic_weight : float
        Relative frequency of its requests.
    goal_s : float
        Latency goal: to the first token of a stream, to the end of other answers.
    caller_timeout_s : float
        Time after which the caller gives up.
    worth, late_worth : float
        Value to the caller of an answer within the goal, and of a later one.
    priority : int
        Of the route; 0 is the most urgent.
    kind : RequestKind
    n_own_tokens, n_shared_tokens : float
        Mean lengths of the prompt's unshared and shared part; both are 0 for requests
        to plain servers.
    n_shared_parts : int
        Number of distinct shared parts.
    sigma : float
        Of the log-normal distribution of the unshared part's length.
    n_answer_tokens : float
        Mean length of the answer.
    work_s : float
        Mean processing time at a plain server.
    """

    name: str
    traffic_weight: float
    goal_s: float
    caller_timeout_s: float
    worth: float
    late_worth: float
    priority: int
    kind: ingress.RequestKind
    n_own_tokens: float = 0.0
    n_shared_tokens: float = 0.0
    n_shared_parts: int = 1
    sigma: float = 1.3
    n_answer_tokens: float = 0.0
    work_s: float = 0.015


GROUPS = (
    Group(
        name="digest",
        traffic_weight=12.0,
        goal_s=1.2,
        caller_timeout_s=12.0,
        worth=6.1,
        late_worth=1.8,
        priority=1,
        kind=ingress.RequestKind.STREAM,
        n_own_tokens=6610.0,
        n_shared_tokens=5380.0,
        n_shared_parts=45,
        n_answer_tokens=382.0,
    ),
    Group(
        name="query",
        traffic_weight=46.2,
        goal_s=0.8,
        caller_timeout_s=3.0,
        worth=1.9,
        late_worth=0.58,
        priority=0,
        kind=ingress.RequestKind.STREAM,
        n_own_tokens=1800.0,
        n_shared_tokens=568.0,
        n_shared_parts=262,
        n_answer_tokens=23.0,
    ),
    Group("booking", 14.6, 0.3, 3.0, 1.0, 0.3, 2, ingress.RequestKind.UNSAFE),
    Group("lookup", 8.0, 0.3, 3.0, 1.0, 0.3, 2, ingress.RequestKind.SAFE),
)
"""Request mix of a growers' cooperative."""
GROWN_GROUPS = (
    attrs.evolve(GROUPS[0], traffic_weight=15.2, n_shared_parts=372),
    attrs.evolve(GROUPS[1], traffic_weight=58.9, goal_s=1.0, n_shared_parts=2157),
    attrs.evolve(
        GROUPS[2], traffic_weight=18.5, goal_s=0.5, caller_timeout_s=5.0, work_s=0.06
    ),
    attrs.evolve(
        GROUPS[3], traffic_weight=7.4, goal_s=0.5, caller_timeout_s=5.0, work_s=0.06
    ),
)
"""Request mix of the same cooperative's grown deployment."""
UNEVEN_GROUPS = (
    attrs.evolve(GROUPS[0], traffic_weight=13.1, goal_s=0.85, caller_timeout_s=12.7),
    attrs.evolve(GROUPS[1], traffic_weight=40.0, goal_s=0.6, caller_timeout_s=3.1),
    attrs.evolve(
        GROUPS[2], traffic_weight=13.3, goal_s=0.47, caller_timeout_s=6.2, work_s=0.037
    ),
    attrs.evolve(
        GROUPS[3], traffic_weight=5.3, goal_s=0.47, caller_timeout_s=6.2, work_s=0.037
    ),
)
"""Request mix of a deployment whose servers differ in pace."""


TALA_GROUPS = (
    attrs.evolve(
        GROUPS[0],
        name="long",
        traffic_weight=66.0,
        goal_s=2.5,
        caller_timeout_s=12.2,
        worth=1.0,
        late_worth=0.3,
        priority=2,
        n_shared_parts=372,
    ),
    attrs.evolve(
        GROUPS[1],
        name="short",
        traffic_weight=500.0,
        caller_timeout_s=3.1,
        worth=1.0,
        late_worth=0.3,
        n_shared_parts=2157,
    ),
    Group(
        "order", 89.0, 0.6, 3.1, 0.4, 0.1, 1, ingress.RequestKind.UNSAFE, work_s=0.06
    ),
    Group("lookup", 62.0, 0.6, 3.1, 0.4, 0.1, 1, ingress.RequestKind.SAFE, work_s=0.06),
)
"""Request mix of the tala deployment. The sizes of prompts and answers, and with them
that a long stream takes five to ten times the engine time of a short one, are those of
the other mixes."""
AKIBA_GROUPS = (
    attrs.evolve(
        TALA_GROUPS[0], traffic_weight=131, goal_s=0.85, caller_timeout_s=12.7
    ),
    attrs.evolve(TALA_GROUPS[1], traffic_weight=400, goal_s=0.6),
    attrs.evolve(TALA_GROUPS[2], traffic_weight=133, goal_s=0.47, caller_timeout_s=6.2),
    attrs.evolve(TALA_GROUPS[3], traffic_weight=53, goal_s=0.47, caller_timeout_s=6.2),
)
"""Request mix of the akiba deployment."""


@attrs.define(eq=False)
class Outcome:
    """Outcome of one request, as seen by its caller.

    Parameters
    ----------
    group : Group
    started_s : float
        Simulated time of the first attempt.
    first_s, ended_s : float or None
        Time from the start to the first token and to the end of the answer.
    n_refusals : int
    refused_after_s : float
        Time from the start to the last refusal.
    answered_refusals_s : list of float
        For each refusal, the time from that attempt's start.
    left_s : float or None
        Time from the start at which the caller left before its timeout.
    organisation : str
        Empty where there are none.
    usage : Usage
    """

    group: Group
    started_s: float
    first_s: float | None = None
    ended_s: float | None = None
    n_refusals: int = 0
    refused_after_s: float = 0.0
    answered_refusals_s: list[float] = attrs.field(factory=list)
    left_s: float | None = None
    organisation: str = ""
    usage: servers.Usage = attrs.field(factory=servers.Usage)

    @property
    def is_in_time(self) -> bool:
        """Whether the caller had the answer within the latency goal."""
        return self.earned == self.group.worth

    @property
    def earned(self) -> float:
        """Value of the answer to the caller; 0 after its timeout or once it left."""
        if (
            self.left_s is not None
            or self.ended_s is None
            or self.ended_s > self.group.caller_timeout_s
        ):
            return 0.0
        useful_s = self.ended_s if self.first_s is None else self.first_s
        is_late = useful_s > self.group.goal_s
        return self.group.late_worth if is_late else self.group.worth


@attrs.frozen
class Habits:
    """What callers do about refusals and slow answers.

    Parameters
    ----------
    n_attempts : int
        Requests that a caller sends at most.
    heeds_retry_after : bool
        Whether it waits for the time named in a refusal.
    leaving_fraction : float
        Fraction of the callers that don't wait until their timeout.
    leaves_after_goals : float
        Time after which these leave without an answer, in latency goals.
    """

    n_attempts: int = 2
    heeds_retry_after: bool = True
    leaving_fraction: float = 0.0
    leaves_after_goals: float = 0.5


HABITS = Habits()


@attrs.define(eq=False)
class Caller:
    """A caller with one request, which it retries after a refusal."""

    event_loop: events.Loop
    entries: Sequence[daemons.Daemon]
    call: daemons.Call
    outcome: Outcome
    name: str
    random_state: random.Random
    habits: Habits = HABITS
    n_attempts_left: int = attrs.field(init=False)
    _leaves: bool = attrs.field(init=False)
    _attempt_s: float = attrs.field(init=False, default=0.0)

    def __attrs_post_init__(self) -> None:
        """Decide whether the caller leaves early."""
        self.n_attempts_left = self.habits.n_attempts
        fraction = self.habits.leaving_fraction
        self._leaves = fraction > 0 and self.random_state.random() < fraction

    def send(self) -> None:
        """Send the request to a random daemon of the region."""
        self.n_attempts_left -= 1
        remaining_s = (
            self.outcome.started_s
            + self.outcome.group.caller_timeout_s
            - self.event_loop.now_s
        )
        self._attempt_s = self.event_loop.now_s
        req_id = f"{self.name}.{self.n_attempts_left}"
        daemon = self.random_state.choice(self.entries)
        req = ingress.Request(
            req_id,
            self.name,
            daemons.HOST,
            self.call.path,
            remaining_s,
            self.call.prompt,
            key_digest=self.call.key_digest,
        )
        daemon.receive(req, self.call, self)
        self.event_loop.after(remaining_s, lambda: daemon.drop_caller(req_id))
        if self._leaves and self.outcome.left_s is None:
            group = self.outcome.group
            leaves_s = group.goal_s * self.habits.leaves_after_goals
            self.event_loop.after(leaves_s, lambda: self._leave(daemon, req_id))

    def _leave(self, daemon: daemons.Daemon, req_id: str) -> None:
        """Leave if no answer has begun."""
        if self.outcome.first_s is not None or self.outcome.ended_s is not None:
            return
        if self.outcome.left_s is None:
            self.outcome.left_s = self.event_loop.now_s - self.outcome.started_s
        daemon.drop_caller(req_id)

    def on_first(self) -> None:
        """Record the time of the first token."""
        self.outcome.first_s = self.event_loop.now_s - self.outcome.started_s

    def on_complete(self) -> None:
        """Record the time of the complete answer."""
        self.outcome.ended_s = self.event_loop.now_s - self.outcome.started_s

    def on_refused(self, retry_after_s: float | None) -> None:
        """Record the refusal; retry later if an attempt and enough time are left."""
        self.outcome.n_refusals += 1
        self.outcome.refused_after_s = self.event_loop.now_s - self.outcome.started_s
        self.outcome.answered_refusals_s.append(self.event_loop.now_s - self._attempt_s)
        if self.outcome.left_s is not None:
            return
        retry_s = retry_after_s
        if retry_s is None or not self.habits.heeds_retry_after:
            retry_s = DEFAULT_RETRY_AFTER_S
        deadline_s = self.outcome.started_s + self.outcome.group.caller_timeout_s
        if (
            self.n_attempts_left
            and self.event_loop.now_s + retry_s < deadline_s - MIN_REMAINING_S
        ):
            self.event_loop.after(retry_s, self.send)


def draw_call(group: Group, name: str, random_state: random.Random) -> daemons.Call:
    """Draw a random request of a group."""
    if not group.n_own_tokens:
        work_s = _draw_lognormal(random_state, group.work_s, 0.5)
        is_stream = False
        return daemons.Call(
            f"/{group.name}/x", None, group.priority, 0, work_s, is_stream
        )
    n_own_tokens = round(
        min(_draw_lognormal(random_state, group.n_own_tokens, group.sigma), 54_000)
    )
    weights = _part_weights(group.n_shared_parts)
    index = random_state.choices(range(group.n_shared_parts), weights)[0]
    # Seeded by the part's name: its length is the same for all callers.
    part_state = random.Random(f"{group.name}-{index}")
    n_shared_tokens = round(_draw_lognormal(part_state, group.n_shared_tokens, 0.7))
    parts = (
        ingress.PromptPart(f"{group.name}-{index}", n_shared_tokens),
        ingress.PromptPart(name, max(1, n_own_tokens)),
    )
    n_answer_tokens = max(
        1, round(_draw_lognormal(random_state, group.n_answer_tokens, 0.5))
    )
    n_hinted_tokens = max(
        1, round(n_answer_tokens * random_state.lognormvariate(0.0, 0.5))
    )
    prompt = ingress.Prompt(
        n_shared_tokens + max(1, n_own_tokens), n_hinted_tokens, parts
    )
    return daemons.Call(
        f"/{group.name}/x", prompt, group.priority, n_answer_tokens, 0.0, True
    )


@functools.cache
def _part_weights(n_parts: int) -> list[float]:
    return [1.0 / (n + 1) ** ZIPF_EXPONENT for n in range(n_parts)]


def _draw_lognormal(random_state: random.Random, mean: float, sigma: float) -> float:
    """Draw from a log-normal distribution with the given mean and sigma."""
    return mean * random_state.lognormvariate(-sigma * sigma / 2, sigma)
