"""Backend servers' faults, composed of a trigger and an effect."""

import random
from typing import Protocol

import attrs


@attrs.frozen
class Job:
    """A request as a backend server sees it.

    Parameters
    ----------
    request_id, content_id, vm : str
    sequence : int
        Number of the request at this start of the server, from 0.
    """

    request_id: str
    content_id: str
    vm: str
    sequence: int


class Trigger(Protocol):
    """Decides which requests a fault affects."""

    def matches(self, job: Job, random_state: random.Random) -> bool:
        """Return whether the request is affected."""


@attrs.frozen
class Share:
    """A share of all requests."""

    fraction: float

    def matches(self, job: Job, random_state: random.Random) -> bool:
        """See `Trigger`."""
        return random_state.random() < self.fraction


@attrs.frozen
class Content:
    """Requests with one content."""

    content_id: str

    def matches(self, job: Job, random_state: random.Random) -> bool:
        """See `Trigger`."""
        return job.content_id == self.content_id


@attrs.frozen
class Sender:
    """Requests from one daemon."""

    vm: str

    def matches(self, job: Job, random_state: random.Random) -> bool:
        """See `Trigger`."""
        return job.vm == self.vm


@attrs.frozen
class EachNth:
    """Each n-th request since the server's start."""

    n: int

    def matches(self, job: Job, random_state: random.Random) -> bool:
        """See `Trigger`."""
        return job.sequence % self.n == self.n - 1


@attrs.frozen
class Effect:
    """What a server does with a request, and what its answers say.

    Parameters
    ----------
    crash : bool
        It ends all connections, and starts again later.
    silent : bool
        It runs the request and doesn't answer.
    reset : bool
        It runs the request and ends the connection.
    not_run : bool
        It turns the request away, as not run.
    status : int
    slowdown : float
        Factor on the time that the request takes.
    is_leaving : bool
    asked_s, limit_per_s : float or None
        Words in the answer's head.
    """

    crash: bool = False
    silent: bool = False
    reset: bool = False
    not_run: bool = False
    status: int = 200
    slowdown: float = 1.0
    is_leaving: bool = False
    asked_s: float | None = None
    limit_per_s: float | None = None


NONE = Effect()


@attrs.frozen
class Fault:
    """A trigger and an effect, at one server or, if empty, at all, for a while.

    Parameters
    ----------
    server_id : str
    from_s, until_s : float
    trigger : Trigger
    effect : Effect
    """

    server_id: str
    from_s: float
    until_s: float
    trigger: Trigger
    effect: Effect

    def affects(
        self, now_s: float, server_id: str, job: Job, random_state: random.Random
    ) -> bool:
        """Return whether a request at a server is affected."""
        is_here = self.server_id in ("", server_id)
        is_now = self.from_s <= now_s < self.until_s
        return is_here and is_now and self.trigger.matches(job, random_state)


def combine(effects: list[Effect]) -> Effect:
    """Return the effect of several at once.

    Examples
    --------
    >>> both = combine([Effect(slowdown=2.0), Effect(limit_per_s=3.0, slowdown=2.0)])
    >>> both.slowdown, both.limit_per_s, both.status
    (4.0, 3.0, 200)
    """
    result = NONE
    for effect in effects:
        result = Effect(
            crash=result.crash or effect.crash,
            silent=result.silent or effect.silent,
            reset=result.reset or effect.reset,
            not_run=result.not_run or effect.not_run,
            status=max(result.status, effect.status),
            slowdown=result.slowdown * effect.slowdown,
            is_leaving=result.is_leaving or effect.is_leaving,
            asked_s=effect.asked_s if result.asked_s is None else result.asked_s,
            limit_per_s=(
                effect.limit_per_s if result.limit_per_s is None else result.limit_per_s
            ),
        )
    return result
