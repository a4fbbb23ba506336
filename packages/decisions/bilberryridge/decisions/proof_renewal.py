"""When a daemon renews its proof that its configuration is the newest, and where.

A proof says: what this daemon holds contains each change of the configuration that the
store had acknowledged at a time. It comes from a linearizable read of the store, dated
at the moment of the call, or from a linked daemon that was asked for its proof, dated
at the moment of asking less the age that the daemon stated. So a message that is held
up, on whatever way, makes a proof older, never younger. All times are of a clock that
counts the time for which the VM was suspended.

In each failure domain the daemon that follows the store for the others reads; the
others ask it, then other linked daemons, then read themselves.

See Also
--------
bilberryridge.decisions.ingress.configuration_proof : what the proof permits.
bilberryridge.decisions.store_watchers : which daemon follows the store for others.
"""

import math
import random

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions import rendezvous

CHECK_INTERVAL_S = 0.1
"""Interval at which it is decided whether to renew the proof."""
READING_AGE_FRACTION = 0.2
"""Age, as a fraction of the bound, at which the daemon that follows the store reads: 1
of 5 s, which makes 6 calls a second for six failure domains."""
ASKING_AGE_FRACTION = 0.4
"""Age at which the other daemons ask: 2 of 5 s. Answers are at most 1.2 s old in normal
operation, and 2.5 s remain for the case that none comes."""
MIN_GAIN_FRACTION = 0.1
"""An answer ends the search if it is younger than the asking age by this fraction of
the bound; an older one counts, but the next daemon is asked."""
ASK_TIMEOUT_S = 0.3
"""Time after which the next daemon is asked. An answer from another region takes
0.11 s."""
READ_TIMEOUT_S = 0.6
"""Time after which a read of the store has failed. It usually takes 4 ms; the store may
be 60 times slower."""
MAX_READ_OPEN_S = 2 * READ_TIMEOUT_S
"""Time after which another read is begun though the last one has neither been answered
nor failed, as after a suspension."""
MAX_ASKS = 3
"""Daemons that are asked before this one reads itself: of the daemons that the store
refuses, a third of all, one in 27 asks three such ones."""
SET_ASIDE_S = 3.0
"""Time for which a daemon that has not answered is asked last: it stands still, is cut
off, or is of a build that doesn't know the question."""
ROUND_S = 0.6
"""Time after which daemons that gave no good proof are asked again."""
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.3, 4.0
"""Wait before the next read after one that failed; doubled each time. While the store
is down, 82 daemons at 1 s made 103 calls a second; the others learn of its return from
those that follow it."""
MAX_READER_BACKOFF_S = 1.0
"""Longest wait of the daemon that follows the store for the others."""
ERA_SETTLING_S = 2.5
"""Time after the store came back from an older copy in which its answers prove nothing:
what the copy lacks is handed on by daemons and written again by the operator."""
MAX_ANSWER_AGE_S = 60.0
"""Time for which an unanswered question is remembered; its answer would be too old for
any bound."""
FIRST_NUMBER_BITS = 24
"""Numbers of questions begin at random, so that an answer to a question of the run
before a restart matches none."""


@attrs.frozen(order=True)
class Version:
    """A version of the configuration in the store.

    Parameters
    ----------
    era, revision : int
    """

    era: int
    revision: int


@attrs.frozen
class ProofRequest:
    """Asks a daemon for its proof.

    Parameters
    ----------
    number : int
        Repeated in the answer.
    """

    number: int


@attrs.frozen
class ProofAnswer:
    """Answers a `ProofRequest`.

    Parameters
    ----------
    number : int
        Of the request.
    version : Version
        What the answering daemon holds.
    age_s : float or None
        Age of its proof when it answered; None if it has none.
    """

    number: int
    version: Version
    age_s: float | None


@attrs.frozen
class Ask:
    """Ask a linked daemon for its proof."""

    vm: str
    request: ProofRequest


@attrs.frozen
class Read:
    """Read the configuration from the store.

    Parameters
    ----------
    number : int
        Given back with the answer.
    """

    number: int


Action = Ask | Read


@attrs.frozen
class _Question:
    vm: str
    asked_s: float


@attrs.frozen
class _Pending:
    """Proof of a version that this daemon does not hold yet."""

    version: Version
    proven_s: float
    source: str


class ProofRenewal:
    """The newest proof of this daemon, and the search for the next one.

    Parameters
    ----------
    local_entry : EntryVm
        This daemon.
    random_state : random.Random
    bound_s : float or None
        See `configuration_proof.ConfigurationProof`; with None nothing is renewed.

    Attributes
    ----------
    proven_s : float
        When the version held was the newest; minus infinity if never.
    source : str
        ``"store"``, or the name of the daemon that was asked.
    """

    def __init__(
        self,
        local_entry: ingress.EntryVm,
        random_state: random.Random,
        bound_s: float | None,
    ):
        self.bound_s = bound_s
        self.proven_s = -math.inf
        self.source = ""
        self._local_entry = local_entry
        self._random_state = random_state
        self._held: Version | None = None
        self._era = 0
        self._era_settled_s = -math.inf
        self._pending: _Pending | None = None
        self._number = random_state.getrandbits(FIRST_NUMBER_BITS)
        self._questions: dict[int, _Question] = {}
        self._open_question: int | None = None
        self._reads: dict[int, float] = {}
        self._asked: set[str] = set()
        self._last_asked_s = -math.inf
        self._is_first = False
        self._aside_until_s: dict[str, float] = {}
        self._n_failed_reads = 0
        self._next_read_s = -math.inf

    def age_s(self, boot_s: float) -> float:
        """Return the age of the proof; infinite without one."""
        return boot_s - self.proven_s

    def answer(self, request: ProofRequest, boot_s: float) -> ProofAnswer:
        """Return the answer to another daemon's question."""
        version = self._held or Version(0, 0)
        age_s = self.age_s(boot_s)
        is_proven = self.bound_s is not None and age_s < self.bound_s
        return ProofAnswer(request.number, version, age_s if is_proven else None)

    def on_held(self, version: Version, boot_s: float) -> None:
        """Record which version of the configuration this daemon holds."""
        self.on_era(version.era, boot_s)
        self._held = version
        pending = self._pending
        if pending is None or pending.version > version:
            return
        self._pending = None
        # A later version of the same era contains all that the pending one does.
        is_same_era = pending.version.era == version.era
        if is_same_era and pending.proven_s >= self._era_settled_s:
            self._record(pending.proven_s, pending.source)

    def on_era(self, era: int, boot_s: float) -> None:
        """Record the era of the store, as told by the store or by what is held.

        The first era that a daemon learns of says nothing of when it began.
        """
        if era <= self._era:
            return
        if self._era:
            self._era_settled_s = boot_s + ERA_SETTLING_S
        self._era = era

    def actions(
        self, boot_s: float, is_first: bool, linked: list[ingress.EntryVm]
    ) -> list[Action]:
        """Return what to do now to renew the proof.

        Parameters
        ----------
        boot_s : float
        is_first : bool
            Whether this daemon follows the store for its failure domain.
        linked : list of EntryVm
            The daemons with an open link.
        """
        if self.bound_s is None:
            return []
        self._is_first = is_first
        self._forget_old(boot_s)
        age_s = self.age_s(boot_s)
        fraction = READING_AGE_FRACTION if is_first else ASKING_AGE_FRACTION
        if age_s < fraction * self.bound_s:
            return []
        actions: list[Action] = []
        vm = None
        if not is_first or self._n_failed_reads:
            if self._is_asking(boot_s):
                return self._read_if_due(boot_s) if self._n_failed_reads else []
            vm = self._next_vm(boot_s, is_first, linked)
        if vm is not None:
            actions.append(self._ask(vm, boot_s))
        if vm is None or self._n_failed_reads:
            actions += self._read_if_due(boot_s)
        return actions

    def on_answer(self, vm: str, answer: ProofAnswer) -> bool:
        """Take another daemon's answer.

        Returns
        -------
        bool
            Whether that daemon holds a newer version, so that it must be asked for the
            changes.
        """
        question = self._questions.get(answer.number)
        if question is None or question.vm != vm:
            return False
        del self._questions[answer.number]
        if self._open_question == answer.number:
            self._open_question = None
        self._aside_until_s.pop(vm, None)
        held = self._held or Version(0, 0)
        if answer.version < held or answer.age_s is None:
            return answer.version > held
        proven_s = question.asked_s - answer.age_s
        return self._take(answer.version, proven_s, vm)

    def on_read(self, number: int, version: Version | None, boot_s: float) -> None:
        """Take the store's answer to a read.

        Parameters
        ----------
        number : int
            Of the `Read`.
        version : Version or None
            Version that the store holds; None if the read has failed.
        boot_s : float
        """
        asked_s = self._reads.pop(number, None)
        if asked_s is None:
            return
        if version is not None:
            # A change may have come by another way while the read was open.
            held = self._held or Version(0, 0)
            is_contained = version.era == held.era and version.revision < held.revision
            self._take(held if is_contained else version, asked_s, "store")
        if self.proven_s >= asked_s:
            self._n_failed_reads = 0
            self._next_read_s = -math.inf
            return
        if self._pending is not None and self._pending.proven_s == asked_s:
            # The proof counts as soon as the store's changes are followed so far.
            self._n_failed_reads = 0
            self._next_read_s = boot_s + MIN_BACKOFF_S
            return
        self._n_failed_reads += 1
        backoff_s = MIN_BACKOFF_S * 2.0 ** min(self._n_failed_reads - 1, 4)
        max_backoff_s = MAX_READER_BACKOFF_S if self._is_first else MAX_BACKOFF_S
        backoff_s = min(backoff_s, max_backoff_s)
        self._next_read_s = boot_s + backoff_s * self._random_state.uniform(0.5, 1.0)

    def _take(self, version: Version, proven_s: float, source: str) -> bool:
        """Take proof of a version; return whether it is newer than the one held."""
        if version.era == self._era and proven_s < self._era_settled_s:
            return self._held is not None and version > self._held
        if version == self._held:
            self._record(proven_s, source)
            return False
        pending = self._pending
        if pending is None or (version.era, proven_s) > (
            pending.version.era,
            pending.proven_s,
        ):
            self._pending = _Pending(version, proven_s, source)
        return True

    def _record(self, proven_s: float, source: str) -> None:
        if proven_s > self.proven_s:
            self.proven_s, self.source = proven_s, source

    def _ask(self, vm: str, boot_s: float) -> Ask:
        number = self._next_number()
        self._questions[number] = _Question(vm, boot_s)
        self._open_question = number
        self._asked.add(vm)
        self._last_asked_s = boot_s
        return Ask(vm, ProofRequest(number))

    def _read_if_due(self, boot_s: float) -> list[Action]:
        is_reading = any(
            boot_s - asked_s < MAX_READ_OPEN_S for asked_s in self._reads.values()
        )
        if is_reading or boot_s < self._next_read_s:
            return []
        number = self._next_number()
        self._reads[number] = boot_s
        return [Read(number)]

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _is_asking(self, boot_s: float) -> bool:
        """Return whether an answer may still come; set a daemon aside if not."""
        if self._open_question is None:
            return False
        question = self._questions.get(self._open_question)
        if question is not None and boot_s - question.asked_s < ASK_TIMEOUT_S:
            return True
        if question is not None:
            self._aside_until_s[question.vm] = boot_s + SET_ASIDE_S
        self._open_question = None
        return False

    def _next_vm(
        self, boot_s: float, is_first: bool, linked: list[ingress.EntryVm]
    ) -> str | None:
        """Return the daemon to ask next; None if enough were asked."""
        if len(self._asked) >= MAX_ASKS:
            return None
        local = self._local_entry
        names = {entry.name: entry for entry in linked if entry.name != local.name}
        candidates = [name for name in names if name not in self._asked]
        if not candidates:
            return None
        domain = [name for name, entry in names.items() if entry.domain == local.domain]
        first = rendezvous.ranked(local.domain, domain)[0] if domain else ""

        def rank(name: str) -> tuple[bool, bool, bool, float]:
            is_aside = self._aside_until_s.get(name, -math.inf) > boot_s
            is_asked_first = name == first and not is_first
            # The other daemons of the domain ask the one that follows the store. Where
            # reads fail, the whole domain may be without proof.
            is_nearest = (names[name].domain == local.domain) is not is_first
            is_nearest = is_nearest and (is_first or not self._n_failed_reads)
            order = self._random_state.random()
            return (is_aside, not is_asked_first, not is_nearest, order)

        return min(candidates, key=rank)

    def _forget_old(self, boot_s: float) -> None:
        if self.bound_s is None:
            return
        limit_s = (ASKING_AGE_FRACTION - MIN_GAIN_FRACTION) * self.bound_s
        is_round_over = boot_s - self._last_asked_s >= ROUND_S
        if self.age_s(boot_s) < limit_s or is_round_over:
            self._asked.clear()
        overdue = [
            number
            for number, question in self._questions.items()
            if boot_s - question.asked_s > MAX_ANSWER_AGE_S
        ]
        for number in overdue:
            del self._questions[number]
        overdue = [
            number
            for number, asked_s in self._reads.items()
            if boot_s - asked_s > MAX_ANSWER_AGE_S
        ]
        for number in overdue:
            del self._reads[number]
