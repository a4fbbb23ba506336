"""At most once: who alone may run a request that may not repeat, and what came of it.

Ownership never moves. A key belongs to one incarnation of one daemon: the one that
issued its prefix, or the one that holds its claim in the store. Only the owner sends
the request, and it remembers that it did until the key has expired, after which it
refuses the key. A frozen owner that thaws, a lost answer or a partition therefore can
make an outcome unknown, but never run a request twice.

See Also
--------
bilberryridge.decisions.at_most_once_handlers : how requests are brought to their owner.
"""

import enum
import hashlib

import attrs

from bilberryridge.decisions import events

KEY_MARKER = "brk"
KEY_SEPARATOR = "~"
N_PREFIX_PARTS = 5

KEY_LIFETIME_S = 3600.0
"""From the issue of a prefix until its owner refuses its keys."""

PREFIX_VALID_S = 1800.0
"""How long a caller may make new keys with a prefix."""

CLAIM_LIFETIME_S = 86400.0
"""How long an outcome under a caller's own key is kept, and its claim in the store."""

MAX_RUNS = 20_000
MAX_STORED_BODY_BYTES = 16 * 1024
MAX_STORED_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Owner:
    """The one incarnation of a daemon that may run a key."""

    vm: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.vm}/{self.incarnation}"


def parse_owner(text: str) -> Owner:
    """Read ``<vm>/<incarnation>``."""
    vm, _, incarnation = text.partition("/")
    return Owner(vm, incarnation)


@attrs.frozen
class IssuedKey:
    """A key whose prefix some daemon issued."""

    owner: Owner
    issued_s: int
    proof: str


def parse_key(key: str) -> IssuedKey | None:
    """Read a key's prefix; None for a key that the caller made up on its own.

    Examples
    --------
    >>> parse_key("brk~vm-1~f3~120~00ff~booking-7").owner
    Owner(vm='vm-1', incarnation='f3')
    >>> parse_key("booking-7") is None
    True
    """
    parts = key.split(KEY_SEPARATOR, N_PREFIX_PARTS)
    if len(parts) != N_PREFIX_PARTS + 1 or parts[0] != KEY_MARKER:
        return None
    _, vm, incarnation, issued, proof, _ = parts
    if not issued.isdecimal():
        return None
    return IssuedKey(Owner(vm, incarnation), int(issued), proof)


def scope_of(organisation: str, key: str) -> str:
    """Return what a key is unique in: one organisation's keys."""
    return f"{organisation}\n{key}"


def claim_name(scope: str) -> str:
    """Return the store's name for the claim of a scope."""
    return hashlib.sha256(scope.encode()).hexdigest()


class RunState(enum.Enum):
    """How far a request under a key has come."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.define
class Run:
    """One request that ran or may be running here.

    Parameters
    ----------
    body_digest : bytes
    request_id : str
    expires_s : float
    state : RunState
    answer : StoredAnswer or None
        When done.
    """

    body_digest: bytes
    request_id: str
    expires_s: float
    state: RunState = RunState.RUNNING
    answer: events.StoredAnswer | None = None


class KeyIssuer:
    """Issues and proves the key prefixes of this incarnation.

    Parameters
    ----------
    owner : Owner
    secret : bytes
        Random, of this incarnation alone.
    """

    def __init__(self, owner: Owner, secret: bytes):
        self._owner = owner
        self._secret = secret

    def prefix(self, now_s: float) -> str:
        """Return a prefix that callers complete with a unique part of their own."""
        issued_s = int(now_s)
        proof = self._proof(issued_s)
        parts = [
            KEY_MARKER,
            self._owner.vm,
            self._owner.incarnation,
            str(issued_s),
            proof,
        ]
        return KEY_SEPARATOR.join(parts) + KEY_SEPARATOR

    def is_issued_here(self, issued: IssuedKey) -> bool:
        """Whether this incarnation issued the prefix."""
        return issued.owner == self._owner and issued.proof == self._proof(
            issued.issued_s
        )

    def _proof(self, issued_s: int) -> str:
        digest = hashlib.blake2b(
            str(issued_s).encode(), key=self._secret, digest_size=8
        )
        return digest.hexdigest()


class RunTable:
    """What this incarnation sent of requests that may not repeat.

    At `MAX_RUNS` new keys are not taken. At `MAX_STORED_BYTES` the bodies of the oldest
    answers go; that they were answered stays known.
    """

    def __init__(self, max_runs: int = MAX_RUNS, max_bytes: int = MAX_STORED_BYTES):
        self._runs: dict[str, Run] = {}
        self._max_runs = max_runs
        self._max_bytes = max_bytes
        self._n_bytes = 0

    def __len__(self) -> int:
        return len(self._runs)

    @property
    def is_full(self) -> bool:
        """Whether no new key can be taken."""
        return len(self._runs) >= self._max_runs

    def get(self, now_s: float, scope: str) -> Run | None:
        """Return the run of a scope, if it has not expired."""
        run = self._runs.get(scope)
        if run is not None and run.expires_s <= now_s:
            return None
        return run

    def begin(self, scope: str, run: Run) -> None:
        """Remember a run before anything of it is sent."""
        self._runs[scope] = run

    def forget(self, scope: str) -> None:
        """Forget a run that was never sent; its key may be used again."""
        run = self._runs.pop(scope, None)
        if run is not None and run.answer is not None:
            self._n_bytes -= len(run.answer.body)

    def finish(self, scope: str, answer: events.StoredAnswer) -> None:
        """Keep the outcome of a run."""
        run = self._runs.get(scope)
        if run is None:
            return
        run.state = RunState.DONE
        run.answer = answer
        self._n_bytes += len(answer.body)
        self._drop_oldest_bodies()

    def mark_unknown(self, scope: str) -> None:
        """Note that the outcome of a run will not be known."""
        run = self._runs.get(scope)
        if run is not None and run.state is RunState.RUNNING:
            run.state = RunState.UNKNOWN

    def expire(self, now_s: float) -> None:
        """Drop runs whose keys their owner refuses by now."""
        expired = [scope for scope, run in self._runs.items() if run.expires_s <= now_s]
        for scope in expired:
            self.forget(scope)

    def _drop_oldest_bodies(self) -> None:
        for run in self._runs.values():
            if self._n_bytes <= self._max_bytes:
                return
            if run.answer is not None and run.answer.body:
                self._n_bytes -= len(run.answer.body)
                run.answer = without_body(run.answer)


BODY_DROPPED_HEADER = ("Bilberryridge-Body-Kept", "no")


def without_body(answer: events.StoredAnswer) -> events.StoredAnswer:
    """Return the answer with its body dropped and a header that says so."""
    headers = (*answer.headers, BODY_DROPPED_HEADER)
    return attrs.evolve(answer, headers=headers, body=b"")


@attrs.frozen
class Copy:
    """A peer's outcome, held for when the peer is gone."""

    body_digest: bytes
    answer: events.StoredAnswer
    expires_s: float


class CopyStore:
    """Copies of peers' outcomes; at its bound the oldest go."""

    def __init__(self, max_bytes: int = MAX_STORED_BYTES):
        self._copies: dict[str, Copy] = {}
        self._max_bytes = max_bytes
        self._n_bytes = 0

    def __len__(self) -> int:
        return len(self._copies)

    def put(self, scope: str, copy: Copy) -> None:
        """Keep a copy, in place of an older one of the same scope."""
        self._drop(scope)
        self._copies[scope] = copy
        self._n_bytes += _n_bytes_of(scope, copy)
        while self._n_bytes > self._max_bytes and len(self._copies) > 1:
            self._drop(next(iter(self._copies)))

    def get(self, now_s: float, scope: str) -> Copy | None:
        """Return the copy of a scope, if it has not expired."""
        copy = self._copies.get(scope)
        if copy is None or copy.expires_s <= now_s:
            return None
        return copy

    def expire(self, now_s: float) -> None:
        """Drop expired copies."""
        for scope in [s for s, c in self._copies.items() if c.expires_s <= now_s]:
            self._drop(scope)

    def _drop(self, scope: str) -> None:
        copy = self._copies.pop(scope, None)
        if copy is not None:
            self._n_bytes -= _n_bytes_of(scope, copy)


N_COPY_OVERHEAD_BYTES = 400


def _n_bytes_of(scope: str, copy: Copy) -> int:
    return len(scope) + len(copy.answer.body) + N_COPY_OVERHEAD_BYTES
