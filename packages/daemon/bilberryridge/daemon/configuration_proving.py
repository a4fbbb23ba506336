"""Renews this daemon's proof that its configuration is the newest.

See Also
--------
bilberryridge.decisions.proof_renewal : decides when and where.
"""

import random
from collections.abc import Callable
from typing import Protocol

from bilberryridge.core import ingress
from bilberryridge.decisions import proof_renewal
from bilberryridge.decisions.ingress import events
from bilberryridge.peers import link_codec
from bilberryridge.store import follower, mirror, store_era

Message = proof_renewal.ProofRequest | proof_renewal.ProofAnswer
"""Messages between daemons about the proof."""
OnConfiguration = Callable[[mirror.Item | follower.CallFailure], None]


class ConfigurationReader(Protocol):
    """Reads the configuration alone; `on_answer` is called later, on this thread."""

    def read_configuration(self, timeout_s: float, on_answer: OnConfiguration) -> None:
        """Read the configuration, linearizably."""


class Clock(Protocol):
    """The functions of the event loop that are needed here."""

    def boot_s(self) -> float:
        """Return the time since boot, which counts suspensions of the VM."""

    def every(self, interval_s: float, action: Callable[[], None]) -> object:
        """Run an action repeatedly."""


class Peers(Protocol):
    """The links to other daemons."""

    def send(self, vm: str, message: link_codec.Message) -> bool:
        """Send a message to a daemon."""

    def linked_entries(self) -> list[ingress.EntryVm]:
        """Return the daemons to which a link is open."""


class ConfigurationProving:
    """The proof of this daemon, and its answers to other daemons' questions.

    Parameters
    ----------
    clock : Clock
    reader : ConfigurationReader
    store_copy : Mirror
    eras : EraMonitor
    configuration_key : str
        Key of the configuration in the store.
    local_entry : EntryVm
    peers : Peers
    random_state : random.Random
    is_first : Callable
        Returns whether this daemon follows the store for its failure domain.
    ask_for_changes : Callable
        Asks a daemon for the store's changes that this one lacks.
    post : Callable
        Takes events for the node.
    bound_s : float or None
        See `configuration_proof.ConfigurationProof`.
    """

    def __init__(
        self,
        clock: Clock,
        reader: ConfigurationReader,
        store_copy: mirror.Mirror,
        eras: store_era.EraMonitor,
        configuration_key: str,
        local_entry: ingress.EntryVm,
        peers: Peers,
        random_state: random.Random,
        is_first: Callable[[], bool],
        ask_for_changes: Callable[[str], None],
        post: Callable[[events.Event], None],
        bound_s: float | None,
    ):
        self._clock = clock
        self._reader = reader
        self._store_copy = store_copy
        self._eras = eras
        self._key = configuration_key
        self._peers = peers
        self._is_first = is_first
        self._ask_for_changes = ask_for_changes
        self._post = post
        self._renewal = proof_renewal.ProofRenewal(local_entry, random_state, bound_s)
        self._posted_s = self._renewal.proven_s
        eras.subscribe(lambda before, era: self._renewal.on_era(era, clock.boot_s()))

    def start(self) -> None:
        """Begin to renew the proof."""
        self._clock.every(proof_renewal.CHECK_INTERVAL_S, self._renew)

    def set_bound(self, bound_s: float | None) -> None:
        """Set the bound, as read again from the settings."""
        self._renewal.bound_s = bound_s
        self.on_changed()

    def on_changed(self) -> None:
        """Take the configuration that the copy of the store holds now."""
        if self._renewal.bound_s is None:
            return
        item = self._store_copy.items.get(self._key)
        revision = item.revision if item else 0
        version = proof_renewal.Version(self._store_copy.era, revision)
        self._renewal.on_held(version, self._clock.boot_s())
        self._post_proof()

    def on_message(self, vm: str, message: Message) -> None:
        """Handle another daemon's question or answer."""
        self.on_changed()
        if isinstance(message, proof_renewal.ProofRequest):
            boot_s = self._clock.boot_s()
            self._peers.send(vm, self._renewal.answer(message, boot_s))
            return
        if self._renewal.on_answer(vm, message):
            self._ask_for_changes(vm)
        self._post_proof()
        self._renew()

    def _renew(self) -> None:
        if self._renewal.bound_s is None:
            return
        boot_s = self._clock.boot_s()
        is_first, linked = self._is_first(), self._peers.linked_entries()
        for action in self._renewal.actions(boot_s, is_first, linked):
            if isinstance(action, proof_renewal.Ask):
                self._peers.send(action.vm, action.request)
            else:
                self._read(action.number)

    def _read(self, number: int) -> None:
        self._reader.read_configuration(
            proof_renewal.READ_TIMEOUT_S, lambda answer: self._on_read(number, answer)
        )

    def _on_read(self, number: int, answer: mirror.Item | follower.CallFailure) -> None:
        version = None
        if isinstance(answer, mirror.Item):
            # An answer of an earlier era is a failure, so this one is of the newest.
            era = self._eras.era
            version = proof_renewal.Version(era, answer.revision)
            if era == self._store_copy.era and self._store_copy.revision:
                # Not up to any revision: other changes may be lacking.
                self._store_copy.apply(mirror.Changes(0, (answer,), era=era))
        self.on_changed()
        self._renewal.on_read(number, version, self._clock.boot_s())
        self._post_proof()
        self._renew()

    def _post_proof(self) -> None:
        """Tell the node of a newer proof; the version it is for was told before."""
        renewal = self._renewal
        if renewal.proven_s > self._posted_s:
            self._posted_s = renewal.proven_s
            self._post(events.ConfigurationProven(renewal.proven_s, renewal.source))
