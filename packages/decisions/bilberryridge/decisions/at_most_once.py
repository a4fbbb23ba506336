"""At-most-once execution: ownership of idempotency keys and stored outcomes.

Ownership never moves. A key belongs to one incarnation of one daemon: the one that
issued its prefix, or the one that holds its claim in the store. Only the owner sends
the request. It records that it did until the key has expired, and refuses the key
afterwards. A frozen owner that resumes, a lost answer or a partition can therefore make
an outcome unknown, but never run a request twice.

See Also
--------
bilberryridge.decisions.at_most_once_handlers : relays requests to their owner.
"""

import enum
import hashlib

import attrs

from bilberryridge.decisions import events

KEY_MARKER = "brk"
KEY_SEPARATOR = "~"
N_PREFIX_PARTS = 5

KEY_LIFETIME_S = 3600.0
"""Time from the issue of a prefix until its owner refuses keys that begin with it."""

PREFIX_VALID_S = 1800.0
"""Time for which a caller may create new keys with a prefix."""

CLAIM_LIFETIME_S = 86400.0
"""Time for which the outcome of a caller's own key and its claim are stored."""

MAX_RUNS = 20_000
MAX_STORED_BODY_BYTES = 16 * 1024
MAX_STORED_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Owner:
    """The incarnation of a daemon that alone may run the request of a key."""

    vm: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.vm}/{self.incarnation}"


def parse_owner(text: str) -> Owner:
    """Parse ``<vm>/<incarnation>``."""
    vm, _, incarnation = text.partition("/")
    return Owner(vm, incarnation)


@attrs.frozen
class IssuedKey:
    """Parsed prefix of a key that a daemon issued."""

    owner: Owner
    issued_s: int
    proof: str


def parse_key(key: str) -> IssuedKey | None:
    """Parse a key's prefix; None for a key that the caller chose itself.

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
    """Return the scope of a key: keys are unique within one organisation."""
    return f"{organisation}\n{key}"


def claim_name(scope: str) -> str:
    """Return the key in the store for the claim of a scope."""
    return hashlib.sha256(scope.encode()).hexdigest()


class RunState(enum.Enum):
    """State of the request of a key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.define
class Run:
    """A request that this owner ran or may be running.

    Parameters
    ----------
    body_digest : bytes
    request_id : str
    expires_s : float
    state : RunState
    answer : StoredAnswer or None
        Set when it is done.
    """

    body_digest: bytes
    request_id: str
    expires_s: float
    state: RunState = RunState.RUNNING
    answer: events.StoredAnswer | None = None


class KeyIssuer:
    """Issues and verifies the key prefixes of this incarnation.

    Parameters
    ----------
    owner : Owner
    secret : bytes
        Random, different for each incarnation.
    """

    def __init__(self, owner: Owner, secret: bytes):
        self._owner = owner
        self._secret = secret

    def prefix(self, now_s: float) -> str:
        """Return a prefix to which callers append a unique part of their own."""
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
    """Requests that must run at most once and were sent by this incarnation.

    At `MAX_RUNS` new keys are refused. At `MAX_STORED_BYTES` the bodies of the oldest
    answers are dropped, but not the fact that they were answered.
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
        """Whether new keys are refused."""
        return len(self._runs) >= self._max_runs

    def get(self, now_s: float, scope: str) -> Run | None:
        """Return the run of a scope, if it has not expired."""
        run = self._runs.get(scope)
        if run is not None and run.expires_s <= now_s:
            return None
        return run

    def begin(self, scope: str, run: Run) -> None:
        """Record a run before any part of the request is sent."""
        self._runs[scope] = run

    def forget(self, scope: str) -> None:
        """Drop a run that was never sent or has expired; its key may be used again."""
        run = self._runs.pop(scope, None)
        if run is not None and run.answer is not None:
            self._n_bytes -= len(run.answer.body)

    def finish(self, scope: str, answer: events.StoredAnswer) -> None:
        """Store the outcome of a run."""
        run = self._runs.get(scope)
        if run is None:
            return
        run.state = RunState.DONE
        run.answer = answer
        self._n_bytes += len(answer.body)
        self._drop_oldest_bodies()

    def mark_unknown(self, scope: str) -> None:
        """Record that the outcome of a run is unknown for good."""
        run = self._runs.get(scope)
        if run is not None and run.state is RunState.RUNNING:
            run.state = RunState.UNKNOWN

    def expire(self, now_s: float) -> None:
        """Drop the runs of expired keys; the owner refuses these keys."""
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
    """Return the answer without its body and with a header that marks this."""
    headers = (*answer.headers, BODY_DROPPED_HEADER)
    return attrs.evolve(answer, headers=headers, body=b"")


@attrs.frozen
class Copy:
    """Copy of the outcome of a peer, for when the peer is unavailable."""

    body_digest: bytes
    answer: events.StoredAnswer
    expires_s: float


class CopyStore:
    """Copies of peers' outcomes; at its bound the oldest are dropped."""

    def __init__(self, max_bytes: int = MAX_STORED_BYTES):
        self._copies: dict[str, Copy] = {}
        self._max_bytes = max_bytes
        self._n_bytes = 0

    def __len__(self) -> int:
        return len(self._copies)

    def put(self, scope: str, copy: Copy) -> None:
        """Store a copy, replacing an older one of the same scope."""
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
