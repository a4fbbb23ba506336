"""Daemons that prove their configuration, in simulated time, with faults.

Nothing is pushed to the daemons: a version reaches them by the proof's own messages and
reads alone, which is the worst case for the bound. With `has_pushes` each version also
reaches them some tenths of a second after it was written.
"""

import collections
import random

from bilberryridge.core import ingress
from bilberryridge.daemon import configuration_proving
from bilberryridge.decisions import rendezvous, store_watchers
from bilberryridge.decisions.ingress import configuration_proof
from bilberryridge.peers import link_codec
from bilberryridge.store import follower, mirror, store_era
from bilberryridge.store.tests import simulated_store

BOUND_S = 5.0
KEY = "config"
SIZES = {"d1": 22, "d2": 20, "d3": 12, "d4": 12, "d5": 8, "d6": 8}
REGIONS = {"d1": "r1", "d2": "r1", "d3": "r2", "d4": "r2", "d5": "r3", "d6": "r3"}
LOCAL_DELAY_S, REGION_DELAY_S = 0.001, 0.055
N_LINKS_PER_REGION = 2
FRAME_BYTES = 6
"""Head of a message of up to 125 bytes on the dialling side of a link, which masks it;
the other side's is 2 bytes."""
CHECK_INTERVAL_S = 0.05


class Daemon:
    """One daemon: its copy of the store, its proof, and the faults it suffers."""

    def __init__(self, fleet, entry):
        self.fleet = fleet
        self.entry = entry
        self.store_fault = None
        self.hold_s = 0.0
        self.suspended_until_s = float("-inf")
        self.waiting = []
        self.n_bytes = 0
        self.n_bytes_by_kind = collections.Counter()
        self.links = []
        self.start()

    def start(self):
        """Start, or start again without what was known before."""
        self.store_copy = mirror.Mirror(lambda keys: self.proving.on_changed())
        self.eras = store_era.EraMonitor()
        self.proof = configuration_proof.ConfigurationProof(BOUND_S)
        watchers = store_watchers.StoreWatchers(self.entry)
        self.proving = configuration_proving.ConfigurationProving(
            self,
            self,
            self.store_copy,
            self.eras,
            KEY,
            self.entry,
            self,
            random.Random(self.fleet.random_state.random()),
            lambda: watchers.is_first(self.linked_entries()),
            self.ask_for_changes,
            lambda event: self.proof.record(event.proven_s, event.source),
            BOUND_S,
        )

    @property
    def held_revision(self):
        """The version in force."""
        item = self.store_copy.items.get(KEY)
        return item.revision if item else 0

    def is_valid(self):
        """Return whether keys are accepted now."""
        return self.held_revision > 0 and self.proof.is_valid(self.boot_s())

    def run(self, action):
        """Run an action, after the suspension if there is one."""
        if self.fleet.clock.time_s < self.suspended_until_s:
            self.waiting.append(action)
        else:
            action()

    def suspend(self, seconds):
        """Stand still; what arrives meanwhile is handled afterwards."""
        self.suspended_until_s = self.fleet.clock.time_s + seconds
        self.fleet.clock.after(seconds + 1e-6, self._resume)

    def _resume(self):
        waiting, self.waiting = self.waiting, []
        for action in waiting:
            self.run(action)

    # The clock.

    def boot_s(self):
        return self.fleet.clock.time_s

    def every(self, interval_s, action):
        def tick():
            self.fleet.clock.after(interval_s, lambda: self.run(tick))
            action()

        self.fleet.clock.after(
            interval_s * self.fleet.random_state.random(), lambda: self.run(tick)
        )

    # The links.

    def linked_entries(self):
        names = [n for n in self.links if not self.fleet.is_cut(self.entry.name, n)]
        return [self.fleet.daemons[name].entry for name in names]

    def send(self, vm, message):
        data = link_codec.encode(message)
        self.n_bytes += len(data) + FRAME_BYTES
        self.n_bytes_by_kind[type(message).__name__] += len(data) + FRAME_BYTES
        other = self.fleet.daemons[vm]
        if self.fleet.is_cut(self.entry.name, vm) or self.fleet.is_lost():
            return True
        delay_s = LOCAL_DELAY_S
        if other.entry.region != self.entry.region:
            delay_s = REGION_DELAY_S
        delay_s += self.hold_s + other.hold_s
        proving = other.proving

        def arrive():
            if other.proving is proving:
                other.on_message(self.entry.name, link_codec.decode(data))

        self.fleet.clock.after(delay_s, lambda: other.run(arrive))
        return True

    def on_message(self, vm, message):
        if isinstance(message, link_codec.ChangesRequest):
            changes = self.store_copy.changes_since(message.revision, message.era or 0)
            self.send(vm, link_codec.StoreChanges(changes, True))
        elif isinstance(message, link_codec.StoreChanges):
            changes = message.changes
            if changes.era == self.store_copy.era or changes.is_full:
                self.store_copy.apply(changes)
        else:
            self.proving.on_message(vm, message)

    def ask_for_changes(self, vm):
        store_copy = self.store_copy
        self.send(vm, link_codec.ChangesRequest(store_copy.revision, store_copy.era))

    # The store.

    def read_configuration(self, timeout_s, on_answer):
        clock, fault = self.fleet.clock, self.store_fault or self.fleet.store_fault
        self.fleet.calls_s.append(clock.time_s)

        def fail():
            on_answer(follower.CallFailure("status 503"))

        if fault is not None:
            delay_s = timeout_s if fault == "silent" else 0.004
            clock.after(delay_s, lambda: self.run(fail))
            return
        clock.after(0.002, self.fleet.answer_read(self, on_answer, timeout_s))

    def read_all(self):
        """Follow the store, as after a start or in a new era."""
        if self.store_fault or self.fleet.store_fault:
            self.fleet.clock.after(0.3, lambda: self.run(self.read_all))
            return
        self.eras.observe(self.fleet.era)
        item = self.fleet.item
        changes = mirror.Changes(item.revision, (item,), True, self.fleet.era)
        self.store_copy.apply(changes)


class Fleet:
    """82 daemons in six failure domains of three regions, and a store."""

    def __init__(self, seed=1, has_pushes=False):
        self.random_state = random.Random(seed)
        self.clock = simulated_store.Clock()
        self.has_pushes = has_pushes
        self.store_fault = None
        self.loss_rate = 0.0
        self.groups = {}
        self.calls_s = []
        self.era = 1
        self.item = None
        self.acked = []
        """Times at which versions were acknowledged, and their revisions."""
        self.violations = []
        self.n_valid = collections.Counter()
        self.n_checks = 0
        self.daemons = {}
        for domain, size in SIZES.items():
            for n in range(size):
                entry = ingress.EntryVm(
                    f"{domain}-{n}", "i1", domain, REGIONS[domain], "a:1", "a:2", "a:3"
                )
                self.daemons[entry.name] = Daemon(self, entry)
        self._link()
        self.write()
        for daemon in self.daemons.values():
            daemon.read_all()
            daemon.proving.start()
        self.clock.after(CHECK_INTERVAL_S, self._check)

    def _link(self):
        entries = [daemon.entry for daemon in self.daemons.values()]
        pairs = set()
        for entry in entries:
            by_region = collections.defaultdict(list)
            for other in entries:
                by_region[other.region].append(other.name)
            for region, names in by_region.items():
                if region != entry.region:
                    names = rendezvous.ranked(entry.name, names)[:N_LINKS_PER_REGION]
                pairs |= {tuple(sorted((entry.name, name))) for name in names}
        for one, other in sorted(pairs):
            if one != other:
                self.daemons[one].links.append(other)
                self.daemons[other].links.append(one)

    def is_cut(self, one, other):
        """Return whether two daemons are in different groups of a partition."""
        return self.groups.get(one) != self.groups.get(other)

    def is_lost(self):
        return self.loss_rate > 0 and self.random_state.random() < self.loss_rate

    def write(self):
        """Write the next version, which removes a key of the one before."""
        revision = (self.item.revision if self.item else 0) + 1
        self.item = mirror.Item(KEY, b"%d" % revision, revision)
        self.acked.append((self.clock.time_s, revision))
        if self.has_pushes:
            for daemon in self.daemons.values():
                delay_s = self.random_state.uniform(0.05, 0.6)
                changes = mirror.Changes(revision, (self.item,), era=self.era)
                self.clock.after(
                    delay_s,
                    lambda d=daemon, c=changes: d.run(lambda: d.store_copy.apply(c)),
                )

    def answer_read(self, daemon, on_answer, timeout_s):
        """Return the action that reads at the store and sends the answer."""

        def act():
            item, era = self.item, self.era
            is_slow = self.random_state.random() < 0.02

            def arrive():
                if era < daemon.eras.era:
                    on_answer(follower.CallFailure("answer of an earlier era"))
                    return
                daemon.eras.observe(era)
                on_answer(item)

            delay_s = min(0.24, timeout_s) if is_slow else 0.002
            self.clock.after(delay_s, lambda: daemon.run(arrive))

        return act

    def restore_copy(self, n_lost):
        """Let the store come back without its last versions."""
        revision = max(1, self.item.revision - n_lost)
        self.item = mirror.Item(KEY, b"%d" % revision, revision)
        self.era += 1
        for daemon in self.daemons.values():
            delay_s = self.random_state.uniform(0.0, 0.5)
            self.clock.after(delay_s, lambda d=daemon: d.run(d.read_all))

    def run(self, seconds):
        """Let time pass."""
        self.clock.run_until(self.clock.time_s + seconds)

    def _check(self):
        """Note each daemon that accepts a key later than the bound allows."""
        self.clock.after(CHECK_INTERVAL_S, self._check)
        now_s = self.clock.time_s
        due = [revision for at_s, revision in self.acked if now_s - at_s > BOUND_S]
        required = max(due, default=0)
        self.n_checks += 1
        for name, daemon in self.daemons.items():
            is_running = now_s >= daemon.suspended_until_s
            if is_running and daemon.is_valid():
                self.n_valid[name] += 1
                if daemon.held_revision < required:
                    self.violations.append((now_s, name, daemon.held_revision))

    def reset_counts(self):
        """Count availability, calls and bytes from now on."""
        self.n_checks = 0
        self.n_valid.clear()
        self.calls_s.clear()
        for daemon in self.daemons.values():
            daemon.n_bytes = 0
            daemon.n_bytes_by_kind.clear()

    def valid_fraction(self, names=None):
        """Return the fraction of the time for which daemons accepted keys."""
        names = list(self.daemons) if names is None else list(names)
        return sum(self.n_valid[n] for n in names) / (self.n_checks * len(names))
