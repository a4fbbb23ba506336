"""A store and its clock in simulated time, for tests of what follows the store."""

import heapq

from bilberryridge.store import follower, mirror

SILENT_CALL_S = 2.0
"""Time after which a call that gets no answer fails."""


class Clock:
    def __init__(self):
        self.time_s = 0.0
        self._heap = []
        self._n = 0

    def now_s(self):
        return self.time_s

    def after(self, seconds, action):
        self._n += 1
        heapq.heappush(self._heap, (self.time_s + seconds, self._n, action))

    def run_until(self, end_s):
        while self._heap and self._heap[0][0] <= end_s:
            self.time_s, _, action = heapq.heappop(self._heap)
            action()
        self.time_s = end_s


class Store:
    """A store in simulated time; `fault` is the failure of the next calls.

    It tells its era to the monitors in `eras`, unless it has none.
    """

    def __init__(self, clock):
        self.clock = clock
        self.era = 0
        self.eras = []
        self.calls = []
        self.items = {}
        self.events = []
        self.revision = 0
        self.oldest_revision = 0
        self.leases = {}
        self.n_leases = 0
        self.fault = None
        self.n_calls = 0
        self.n_cuts = 0
        self.is_watch_silent = False

    def write(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            self.events.append(mirror.Deletion(key, self.revision))
        else:
            self.items[key] = mirror.Item(key, value, self.revision)
            self.events.append(self.items[key])

    def cut_watches(self):
        """Cut the calls that wait."""
        self.n_cuts += 1

    def _has_changed(self, after):
        return self.revision != after or after < self.oldest_revision

    def _answer(self, on_answer, make_answer, is_due=lambda: True, wait_s=0.0):
        self.n_calls += 1
        is_read = make_answer.__qualname__.startswith(("Store.watch", "Store.read"))
        self.calls.append((self.clock.time_s, "read" if is_read else "write"))
        is_silent = self.is_watch_silent and wait_s > follower.CHECK_WAIT_S
        if self.fault == "refuse":
            failure = follower.CallFailure("status 503")
            self.clock.after(0.004, lambda: on_answer(failure))
        elif self.fault == "silent" or is_silent:
            failure = follower.CallFailure("no answer in time")
            self.clock.after(SILENT_CALL_S, lambda: on_answer(failure))
        elif self.fault == "lost":
            make_answer()
            failure = follower.CallFailure("no answer in time")
            self.clock.after(SILENT_CALL_S, lambda: on_answer(failure))
        else:
            end_s, n_cuts = self.clock.time_s + wait_s, self.n_cuts
            self.clock.after(
                0.004,
                lambda: self._tell(on_answer, make_answer, is_due, end_s, n_cuts),
            )

    def _tell(self, on_answer, make_answer, is_due, end_s, n_cuts):
        is_cut = self.fault or self.n_cuts > n_cuts
        if is_cut and not is_due():
            on_answer(follower.CallFailure("waiting call cut"))
            return
        if not is_due() and self.clock.time_s < end_s:
            self.clock.after(
                0.02,
                lambda: self._tell(on_answer, make_answer, is_due, end_s, n_cuts),
            )
            return
        answer = make_answer()
        for eras in self.eras:
            eras.observe(self.era)
        on_answer(answer)

    def restore_copy(self, revision):
        """Come back from a copy as of a revision."""
        self.events = [event for event in self.events if event.revision <= revision]
        self.items = {}
        for event in self.events:
            self.items.pop(event.key, None)
            if isinstance(event, mirror.Item):
                self.items[event.key] = event
        self.leases = {}
        self.revision = revision
        if self.era:
            self.era += 1

    def read_all(self, on_answer):
        self._answer(
            on_answer,
            lambda: mirror.Changes(
                self.revision, tuple(self.items.values()), True, self.era
            ),
        )

    def watch(self, after, wait_s, on_answer):
        def make_answer():
            if not self.oldest_revision <= after <= self.revision:
                return follower.CallFailure("status 410", is_history_lost=True)
            updates = tuple(update for update in self.events if update.revision > after)
            return mirror.Changes(self.revision, updates, era=self.era)

        self._answer(on_answer, make_answer, lambda: self._has_changed(after), wait_s)

    def grant(self, ttl_s, on_answer):
        def make_answer():
            self.n_leases += 1
            lease = self.n_leases
            self.leases[lease] = set()
            return lease

        self._answer(on_answer, make_answer)

    def renew(self, lease, on_answer):
        self._answer(on_answer, lambda: lease in self.leases)

    def put(self, key, value, lease, on_answer):
        def make_answer():
            if lease not in self.leases:
                return False
            self.leases[lease].add(key)
            self.write(key, value)
            return True

        self._answer(on_answer, make_answer)

    def revoke(self, lease, on_answer):
        self._answer(on_answer, lambda: self.lapse(lease))

    def lapse(self, lease):
        for key in self.leases.pop(lease, ()):
            self.write(key, None)
        return True


class Client:
    """One daemon's client of a store; tells eras to its own monitor only."""

    def __init__(self, store, eras):
        self._store = store
        self._eras = eras

    def __getattr__(self, name):
        call = getattr(self._store, name)

        def call_and_tell(*args):
            *args, on_answer = args

            def on_told(answer):
                self._eras.observe(self._store.era)
                on_answer(answer)

            return call(*args, on_told)

        return call_and_tell
