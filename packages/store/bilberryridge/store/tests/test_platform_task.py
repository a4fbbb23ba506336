"""Contract tests of the platform task against fakes with injected faults."""

import concurrent.futures
import contextlib
import random

import pytest

from bilberryridge.decisions import effects, events
from bilberryridge.store import platform_task
from bilberryridge.store.tests import fakes

FAST = {
    "call_timeout_s": 1.0,
    "check_interval_s": 0.3,
    "list_interval_s": 0.1,
    "load_interval_s": 0.1,
    "directory_interval_s": 0.2,
    "min_backoff_s": 0.05,
    "max_backoff_s": 0.2,
}
ENTRY = platform_task.DirectoryEntry("vm", "d", "r", "127.0.0.9:8080")


class Bench:
    """A running task with its fakes and the events that it posted."""

    def __init__(self):
        self.store = fakes.FakeStore()
        self.platform = fakes.FakePlatform()
        self.counts = fakes.CountingMetrics()
        self.posted = []
        self.after_revision = 0

    def events_of(self, kind):
        return [event for event in list(self.posted) if isinstance(event, kind)]

    def documents(self):
        """Return the documents after all events; a full read replaces all."""
        versions, complete_revision = {}, self.after_revision
        for event in self.events_of(events.ConfigurationRead):
            assert event.after_revision in (0, complete_revision)
            if event.after_revision == 0:
                versions = {}
            for version in event.versions:
                versions[version.key] = version.value
            complete_revision = event.complete_revision
        return {key: value for key, value in versions.items() if value}

    def wait_for_documents(self, expected):
        fakes.wait_for(lambda: self.documents() == expected)

    def count_of(self, *name):
        return self.counts.counters[name]


@contextlib.contextmanager
def running(**options):
    bench = Bench()
    with (
        fakes.serve(bench.store, fakes.StoreHandler, 2379) as store_address,
        fakes.serve(bench.platform, fakes.PlatformHandler, 8500) as bench.list_address,
        concurrent.futures.ThreadPoolExecutor(1) as pool,
    ):
        cfg = platform_task.PlatformSettings(
            "vm",
            "test",
            f"http://{store_address}",
            f"http://{bench.list_address}",
            **(FAST | options),
        )
        with platform_task.open_platform(
            cfg, bench.posted.append, bench.counts, random.Random(1)
        ) as bench.task:
            run_future = pool.submit(bench.task.run)
            try:
                yield bench
            finally:
                bench.task.close()
                run_future.result(fakes.DEADLINE_S)
                bench.store.end_watches()


@contextlib.contextmanager
def watching(after_revision=0, **options):
    with running(**options) as bench:
        bench.store.put("documents/vm/a", b"1")
        bench.after_revision = after_revision
        bench.task.put(effects.WatchStore(True, after_revision))
        bench.wait_for_documents({"vm/a": b"1"})
        # The tests inject faults into an open watch.
        fakes.wait_for(lambda: bench.store.n_watches_opened >= 1)
        yield bench


def test_documents_are_read_and_followed():
    with watching() as bench:
        bench.store.put("claims/x", b"not a document")
        bench.store.put("documents/vm/b", b"2")
        bench.store.put("documents/vm/a", b"3")
        bench.store.delete("documents/vm/b")
        bench.store.put("documents/vm/c", b"4")
        bench.wait_for_documents({"vm/a": b"3", "vm/c": b"4"})
        last = bench.events_of(events.ConfigurationRead)[-1]
        assert last.complete_revision == bench.store.revision
        checks = bench.store.calls["/v3/kv/range"]
        fakes.wait_for(lambda: bench.store.calls["/v3/kv/range"] > checks + 3)
        assert bench.count_of("store_calls", "read_documents") == 1
        assert bench.events_of(events.StoreReachable) == [events.StoreReachable(True)]
        bench.task.put(effects.WatchStore(False, 0))
        fakes.wait_for(lambda: bench.task._watcher._current_call is None)
        assert bench.task._watcher._check_call is None


def test_watch_continues_after_the_known_revision():
    with watching(after_revision=1) as bench:
        first = bench.events_of(events.ConfigurationRead)[0]
        assert (first.after_revision, first.complete_revision) == (1, 2)
        assert bench.count_of("store_calls", "read_documents") == 0


def end_watch(bench):
    bench.store.end_watches()


def silence_watch(bench):
    bench.store.is_watch_silent = True


def compact(bench):
    with bench.store.changed:
        bench.store.revision += 10
        bench.store.compact_revision = bench.store.revision


def restart(bench):
    bench.store.is_down = True
    fakes.wait_for(lambda: events.StoreReachable(False) in bench.posted)
    bench.store.is_down = False


NO_CHECK = {"check_interval_s": 60.0}
WATCH_FAULTS = [
    ("ended", end_watch, "watches_ended", NO_CHECK),
    ("without a word", silence_watch, "watches_missed_changes", {}),
    ("compacted", compact, "watches_cancelled", NO_CHECK),
    ("store down and back", restart, "watches_ended", NO_CHECK),
]


@pytest.mark.parametrize(
    ("fault", "counter", "options"),
    [case[1:] for case in WATCH_FAULTS],
    ids=[case[0] for case in WATCH_FAULTS],
)
def test_no_change_is_missed_when_the_watch_fails(fault, counter, options):
    with watching(**options) as bench:
        fault(bench)
        bench.store.put("documents/vm/b", b"2")
        bench.store.delete("documents/vm/a")
        bench.wait_for_documents({"vm/b": b"2"})
        fakes.wait_for(lambda: bench.count_of(counter) >= 1)


def test_deletion_missed_by_the_watch_is_noticed():
    with watching() as bench:
        bench.store.is_watch_silent = True
        bench.store.delete("documents/vm/a")
        bench.wait_for_documents({})


def test_store_that_went_back_is_counted_and_its_state_posted():
    with watching() as bench:
        with bench.store.changed:
            old = bench.store._header(), dict(bench.store.keys)
        bench.store.put("documents/vm/a", b"2")
        bench.wait_for_documents({"vm/a": b"2"})
        bench.store.stale_copy = old
        bench.wait_for_documents({"vm/a": b"1"})
        assert bench.events_of(events.ConfigurationRead)[-1].complete_revision == 2
        assert bench.count_of("store_revision_went_back") == 1
        bench.store.stale_copy = None
        bench.wait_for_documents({"vm/a": b"2"})


def test_restored_store_past_the_known_revision_is_read_completely():
    with watching(**NO_CHECK) as bench:
        bench.store.put("documents/vm/b", b"2")
        bench.wait_for_documents({"vm/a": b"1", "vm/b": b"2"})
        with bench.store.changed:
            # Restore the store to its first document, then write at the revision of the
            # second.
            bench.store.revision = 2
            bench.store.put("documents/vm/b", b"restored")
            bench.store.history.clear()
            bench.store.revision = 9
            bench.store.watch_epoch += 1
        bench.wait_for_documents({"vm/a": b"1", "vm/b": b"restored"})


def test_replaced_store_is_counted_and_read_completely():
    with watching() as bench:
        bench.store.cluster_id = 8
        fakes.wait_for(lambda: bench.count_of("store_cluster_changed") == 1)
        fakes.wait_for(lambda: bench.count_of("store_calls", "read_documents") == 2)


HELD, TAKEN, UNREACHABLE = events.ClaimResult
CLAIMS = [
    ("free", None, {}, HELD, "vm/1"),
    ("taken", b"other/1#r", {}, TAKEN, "other/1"),
    ("own, same request", b"vm/1#r", {}, HELD, "vm/1"),
    ("own, other request", b"vm/1#q", {}, TAKEN, "vm/1"),
    ("answer lost after effect", None, {"n_lost_answers": 1}, HELD, "vm/1"),
    ("answers lost after effect", None, {"n_lost_answers": 2}, UNREACHABLE, ""),
    ("taken, answer lost", b"other/1#r", {"n_lost_answers": 1}, TAKEN, "other/1"),
    ("down", None, {"is_down": True}, UNREACHABLE, ""),
    ("slow", None, {"slow_s": 0.7}, UNREACHABLE, ""),
    ("garbled", None, {"is_garbled": True}, UNREACHABLE, ""),
]


@pytest.mark.parametrize(
    ("before", "fault", "answer", "holder"),
    [case[1:] for case in CLAIMS],
    ids=[case[0] for case in CLAIMS],
)
def test_claim_result(before, fault, answer, holder):
    with running() as bench:
        if before:
            bench.store.put("claims/x", before)
        for name, setting in fault.items():
            setattr(bench.store, name, setting)
        bench.task.put(effects.Claim("r", "claims/x", "vm/1"))
        expected = events.ClaimAnswered("r", answer, holder)
        fakes.wait_for(lambda: bench.events_of(events.ClaimAnswered) == [expected])


def test_claims_above_the_limit_are_answered_at_once():
    with running(max_open_claims=2) as bench:
        bench.store.slow_s = 0.2
        for number in range(5):
            bench.task.put(effects.Claim(f"r{number}", f"claims/{number}", "vm/1"))
        fakes.wait_for(lambda: len(bench.events_of(events.ClaimAnswered)) == 5)
        results = [event.result for event in bench.events_of(events.ClaimAnswered)]
        assert results == [UNREACHABLE] * 3 + [HELD] * 2
        assert bench.count_of("claims_refused") == 3


def vm(name, *statuses):
    checks = [{"Status": status} for status in statuses]
    return {"Node": {"Node": name}, "Checks": checks}


def test_vm_list_is_read_periodically():
    with running() as bench:
        bench.platform.vms = [
            vm("a", "passing"),
            vm("b", "passing", "warning"),
            vm("c", "critical"),
        ]
        live, leaving = events.VmState.LIVE, events.VmState.LEAVING
        expected = events.VmListRead((("a", live), ("b", leaving)))
        fakes.wait_for(
            lambda: bench.events_of(events.VmListRead)[-3:] == [expected] * 3
        )
        bench.platform.vms = {"no": "list"}
        fakes.wait_for(lambda: bench.count_of("vm_lists_bad") > 1)
        bench.platform.status = 500
        fakes.wait_for(lambda: bench.count_of("vm_lists_unread") > 1)
        bench.platform.status = 200
        bench.platform.vms = []
        fakes.wait_for(lambda: bench.posted[-1] == events.VmListRead(()))


REPORTS = [
    (
        b"# HELP vllm:num_requests_running n\n# TYPE vllm:num_requests_running gauge\n"
        b'vllm:num_requests_running{engine="0",model_name="m"} 3.0\n'
        b'vllm:num_requests_waiting{engine="0",model_name="m"} 1.0\n'
        b'vllm:num_requests_running{engine="1",model_name="m"} 2.0\n'
        b'vllm:num_requests_waiting_by_reason{engine="1"} 7.0\n',
        (5, 1, True),
    ),
    (b"service_requests_running 4\nservice_requests_waiting 0\n", (4, 0, True)),
    (b"service_requests_running 4\n", (0, 0, False)),
    (b"service_requests_running 1\nservice_requests_waiting NaN\n", (0, 0, False)),
    (b"service_requests_running 1\nservice_requests_waiting 1-1\n", (0, 0, False)),
    (b"service_requests_running -1\nservice_requests_waiting 1\n", (0, 0, False)),
    (b"service_requests_running 1e300\nservice_requests_waiting 1\n", (0, 0, False)),
    (b"", (0, 0, False)),
]


@pytest.mark.parametrize(("report", "load"), REPORTS)
def test_load_report_is_decoded(report, load):
    with running() as bench:
        bench.platform.report = report
        bench.task.put(effects.ReadLoads((("s", bench.list_address),)))
        fakes.wait_for(lambda: bench.events_of(events.LoadRead))
        assert bench.events_of(events.LoadRead)[0] == events.LoadRead("s", *load)


def test_loads_are_read_from_the_requested_servers_over_kept_connections():
    with running() as bench, contextlib.ExitStack() as stack:
        servers = [fakes.FakePlatform() for _ in range(12)]
        addresses = [
            stack.enter_context(fakes.serve(server, fakes.PlatformHandler, 9000))
            for server in servers
        ]
        requested = tuple((f"s{n}", address) for n, address in enumerate(addresses))
        bench.task.put(effects.ReadLoads((*requested, ("gone", "127.0.0.1:9"))))
        fakes.wait_for(lambda: min(server.n_requests for server in servers) > 5)
        # A read that times out closes its connection; all other connections are kept.
        posted = list(bench.posted)
        late = [
            posted.count(events.LoadRead(f"s{n}", is_answering=False))
            for n in range(12)
        ]
        n_connections = [server.n_connections for server in servers]
        assert all(n <= 1 + m for n, m in zip(n_connections, late, strict=True))
        assert events.LoadRead("gone", is_answering=False) in bench.posted
        servers[0].slow_s = 0.5
        slow = events.LoadRead("s0", is_answering=False)
        fakes.wait_for(lambda: bench.posted.count(slow) > 1)
        bench.task.put(effects.ReadLoads(requested[1:2]))
        fakes.wait_for(lambda: bench.task._loads._polled.keys() == {"s1"})
        n_before = len(bench.events_of(events.LoadRead))
        fakes.wait_for(lambda: len(bench.events_of(events.LoadRead)) > n_before + 3)
        late = bench.events_of(events.LoadRead)[n_before + 1 :]
        assert {event.server for event in late} == {"s1"}


def test_read_that_times_out_closes_only_its_connection():
    with running() as bench, contextlib.ExitStack() as stack:
        server = fakes.FakePlatform()
        address = stack.enter_context(fakes.serve(server, fakes.PlatformHandler, 9000))
        bench.task.put(effects.ReadLoads((("s", address),)))
        fakes.wait_for(lambda: server.n_requests > 3)
        n_before = server.n_connections
        server.slow_s = 0.5
        unanswered = events.LoadRead("s", is_answering=False)
        fakes.wait_for(lambda: bench.posted.count(unanswered) > 0)
        server.slow_s = 0.0
        n_requests = server.n_requests
        fakes.wait_for(lambda: server.n_requests > n_requests + 3)
        n_timed_out = bench.posted.count(unanswered)
        assert n_before < server.n_connections <= n_before + n_timed_out


def test_entry_vm_stays_registered_in_the_directory_until_leave():
    with running(entry=ENTRY) as bench:
        bench.platform.status = 500
        fakes.wait_for(lambda: bench.count_of("directory_calls_failed") >= 1)
        bench.platform.status = 200
        fakes.wait_for(lambda: "vm" in bench.platform.registered)
        bench.platform.registered.clear()
        fakes.wait_for(lambda: "vm" in bench.platform.registered)
        entry = bench.platform.registered["vm"]
        assert (entry["Address"], entry["Port"]) == ("127.0.0.9", 8080)
        assert (entry["ID"], entry["Name"]) == ("vm", "bilberryridge-entry")
        bench.task.leave()
        fakes.wait_for(lambda: not bench.platform.registered)
        n_lists = len(bench.events_of(events.VmListRead))
        fakes.wait_for(lambda: len(bench.events_of(events.VmListRead)) > n_lists + 5)
        assert not bench.platform.registered
