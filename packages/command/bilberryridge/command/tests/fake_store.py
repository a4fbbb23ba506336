"""An in-memory store that injects faults."""

import collections
import contextlib

import returns.result

from bilberryridge.store import store

DOWN = "down"
LOST_AFTER = "the answer is lost after the change took effect"
LOST_BEFORE = "the answer is lost, and the change is still in flight"


class FakeStore:
    """Stands in for the store's client.

    Each commit takes the next fault from `faults`, if any. `before_commit` runs once,
    before the next commit. `late` holds the transactions that are still in flight, and
    `sizes` the number of changes of each committed transaction.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.faults = collections.deque()
        self.is_down = False
        self.late = []
        self.sizes = []
        self.before_commit = None

    @contextlib.contextmanager
    def open(self, profile):
        yield self

    def read_prefix(self, prefix):
        if self.is_down:
            return returns.result.Failure(store.StoreUnreachable("no route"))
        items = [item for key, item in sorted(self.items.items())]
        items = tuple(item for item in items if item.key.startswith(prefix))
        header = store.Header(1, self.revision)
        return returns.result.Success(store.Listing(header, items, len(items)))

    def commit(self, transaction):
        if self.before_commit is not None:
            before, self.before_commit = self.before_commit, None
            before()
        fault = self.faults.popleft() if self.faults else None
        if fault == DOWN:
            return returns.result.Failure(store.StoreUnreachable("no route"))
        if fault == LOST_BEFORE:
            self.late.append(transaction)
            return returns.result.Failure(store.AnswerLost("timed out"))
        answer = self.run(transaction)
        if fault == LOST_AFTER:
            return returns.result.Failure(store.AnswerLost("timed out"))
        return answer

    def run(self, transaction):
        now = {key: item.mod_revision for key, item in self.items.items()}
        if any(now.get(c.key, 0) != c.mod_revision for c in transaction.compares):
            current = [self.items.get(c.key) for c in transaction.compares]
            current = tuple(item for item in current if item is not None)
            return returns.result.Failure(store.Conflict(current, self.revision))
        self.revision += 1
        self.sizes.append(len(transaction.changes))
        for change in transaction.changes:
            self.put(change.key, getattr(change, "value", None), self.revision)
        return returns.result.Success(store.Committed(self.revision))

    def put(self, key, value, revision=None):
        if revision is None:
            self.revision = revision = self.revision + 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = store.KeyValue(key, value, revision)

    def values(self, prefix="documents/"):
        return {k: i.value for k, i in self.items.items() if k.startswith(prefix)}
