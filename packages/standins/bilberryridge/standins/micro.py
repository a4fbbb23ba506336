"""Benchmarks time and memory of the decisions at growing sizes.

``python -m bilberryridge.standins.micro`` prints the time of one decision and the bytes
of one state's entry, each at several sizes, so that its growth shows.
"""

import gc
import random
import tracemalloc
from collections.abc import Callable, Iterator

import attrs

from bilberryridge.core import documents, messages, requests
from bilberryridge.decisions import (
    admission,
    entry_ranking,
    loads,
    placement,
    prefixes,
    retries,
)
from bilberryridge.standins import timing
from bilberryridge.standins.ingress_play import decision_time

SERVICE = documents.Service("m", documents.ServiceKind.MODEL, ("r",))
WEIGHTS = documents.Weights()


@attrs.frozen
class Row:
    """One line of the table.

    Parameters
    ----------
    what : str
    size : int
        Number of the items that the row is measured by.
    time_us : float
        Time of one call; the minimum of several runs.
    """

    what: str
    size: int
    time_us: float


def allocated(make: Callable[..., object], *arguments: object) -> int:
    """Bytes that the return value of `make` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        value = make(*arguments)
        gc.collect()
        n_bytes, _ = tracemalloc.get_traced_memory()
        del value
    finally:
        tracemalloc.stop()
    return n_bytes


def make_servers(n: int) -> list[placement.Candidate]:
    """Backend servers of one service in one domain."""
    vms = [
        documents.Vm(f"s{index}", documents.VmKind.SERVER, "d", "", service="m")
        for index in range(n)
    ]
    return [placement.Candidate(vm, True, "d", "r") for vm in vms]


def make_loads(servers: list[placement.Candidate], n_running: int) -> loads.LoadTable:
    """Reported loads of all servers, with local requests open."""
    random_state = random.Random(1)
    load_table = loads.LoadTable(1000, random_state)
    load_table.n_daemons = 6
    for item in servers:
        load_table.server(item.vm.name, "m", item.vm.n_slots)
        n = random_state.randint(max(n_running - 3, 0), n_running)
        load_table.on_report(0.0, item.vm.name, n, 0, 0.5)
        load_table.on_sent(
            0.1, item.vm.name, item.vm.name, 200, 50, requests.Priority.QUICK
        )
    return load_table


def make_remotes(n: int) -> list[placement.RemoteDomain]:
    """Summaries of other domains."""
    return [
        placement.RemoteDomain(
            f"d{index}",
            "r",
            0.02,
            messages.ServiceSummary(f"d{index}", "m", 64, 20, 0, 1.0),
        )
        for index in range(n)
    ]


def make_request(number: int, n_blocks: int = 32) -> requests.Request:
    """A request of one of 2,100 organisations, with its own last blocks."""
    shared = [number % 2100 * 100 + index for index in range(n_blocks // 2)]
    own = [-number * 100 - index for index in range(n_blocks - n_blocks // 2)]
    return requests.Request(
        str(number),
        "POST",
        "m",
        "/",
        prefix_digests=tuple(shared + own),
        n_prompt_tokens=2000,
        n_output_tokens=100,
    )


def placement_us(n_servers: int, n_remotes: int, n_running: int) -> float:
    """Time of one placement with up to `n_running` requests at each server."""
    servers = make_servers(n_servers)
    remotes = make_remotes(n_remotes)
    load_table = make_loads(servers, n_running)
    prefix_table = prefixes.PrefixTable(50_000)
    for number in range(1500):
        prefix_table.record_sent(
            f"s{number % n_servers}", make_request(number).prefix_digests
        )
    reqs = [make_request(number) for number in range(3000)]
    random_state = random.Random(1)

    def choose(index: int) -> object:
        req = reqs[index % len(reqs)]
        return placement.choose(
            1.0,
            req,
            SERVICE,
            servers,
            remotes,
            load_table,
            prefix_table,
            WEIGHTS,
            "r",
            random_state,
        )

    return timing.timed(choose, 600)


def request_us(n_servers: int) -> float:
    """Time to record that a request is sent, begins and ends."""
    load_table = make_loads(make_servers(n_servers), 10)

    def note(index: int) -> None:
        name = f"s{index % n_servers}"
        load_table.on_sent(1.0, name, str(index), 100, 50, requests.Priority.QUICK)
        load_table.on_began(1.1, str(index), 0.1)
        load_table.on_ended(1.2, str(index), True)

    return timing.timed(note, 2000)


def report_us(n_servers: int) -> float:
    """Time to record a load report."""
    load_table = make_loads(make_servers(n_servers), 10)
    return timing.timed(
        lambda index: load_table.on_report(
            1.0 + index, f"s{index % n_servers}", 9, 0, 0.2
        ),
        2000,
    )


def record_prefix_us(n_blocks: int) -> float:
    """Time to record where a prompt was sent."""
    prefix_table = prefixes.PrefixTable(50_000)
    digests = [make_request(number, n_blocks).prefix_digests for number in range(4000)]
    return timing.timed(
        lambda index: prefix_table.record_sent(f"s{index % 30}", digests[index % 4000]),
        1000,
    )


def look_up_prefix_us(n_blocks: int) -> float:
    """Time to look up the servers that cache a prompt's prefix."""
    prefix_table = prefixes.PrefixTable(50_000)
    digests = [make_request(number, n_blocks).prefix_digests for number in range(4000)]
    for number in range(1000):
        prefix_table.record_sent(f"s{number % 30}", digests[number])
    return timing.timed(
        lambda index: prefix_table.cached_blocks(digests[index % 4000], 6), 1000
    )


def offer_and_take_us(n_waiting: int) -> float:
    """Time to offer and take a request while others wait."""
    queue = make_queue(n_waiting)

    def offer_and_take(index: int) -> None:
        queue.offer(1.0, make_waiting(-1 - index))
        queue.take(1.0, "m")

    return timing.timed(offer_and_take, 1000)


def put_back_us(n_waiting: int) -> float:
    """Time to take and put back a request that finds no capacity."""
    queue = make_queue(n_waiting)

    def take_and_put_back(index: int) -> None:
        item = queue.take(2.0 + index, "m")
        if item is not None:
            queue.put_back(item)

    return timing.timed(take_and_put_back, 1000)


def entry_us(n_vms: int) -> float:
    """Time to rank the entry VMs for one answer."""
    vms = [
        entry_ranking.EntryCandidate(
            documents.Vm(f"e{index}", documents.VmKind.ENTRY, f"d{index % 67}", ""),
            f"d{index % 67}",
            f"r{index % 67 % 20}",
            True,
        )
        for index in range(n_vms)
    ]
    random_state = random.Random(1)
    return timing.timed(
        lambda index: entry_ranking.rank(
            f"o{index}", vms, "d1", "r1", (), 5, random_state
        ),
        100,
    )


def time_rows() -> Iterator[Row]:
    """Time every decision at its sizes."""
    for n in (2, 6, 30, 180):
        time_us = placement_us(n, n_remotes=67, n_running=10)
        yield Row("placement with room here, by servers", n, time_us)
    for n in (3, 10, 67):
        time_us = placement_us(30, n_remotes=n, n_running=20)
        yield Row("placement with no room here, by domains", n, time_us)
    for n in (30, 180, 1000):
        yield Row("request sent, begun and ended, by servers", n, request_us(n))
        yield Row("load report, by servers", n, report_us(n))
    for n in (8, 32, 128):
        yield Row("prefix learnt, by blocks", n, record_prefix_us(n))
        yield Row("prefix looked up, by blocks", n, look_up_prefix_us(n))
    for n in (0, 100, 1900):
        yield Row("offer and take, by waiting", n, offer_and_take_us(n))
        yield Row("take and put back, by waiting", n, put_back_us(n))
    for n, n_daemons in ((15, 4), (45, 23), (200, 127)):
        time_us = decision_time.placement_us(n, n_daemons, is_full=False)
        yield Row("prompt placed with room, by servers", n, time_us)
        time_us = decision_time.placement_us(n, n_daemons, is_full=True)
        yield Row("prompt refused, by servers", n, time_us)
    for n in (8, 67, 380):
        yield Row("entry answer, by entry VMs", n, entry_us(n))


def memory_rows() -> Iterator[tuple[str, int, int]]:
    """Yield what is measured, the number of entries and total bytes."""
    for n in (30, 180, 1000):
        servers = make_servers(n)
        yield "load book, by servers", n, allocated(make_loads, servers, 9)
    for n in (5_000, 20_000, 50_000):
        yield "prefix book, by digests", n, allocated(make_prefixes, n)
    for n in (100, 500, 1900):
        yield "admission, by waiting", n, allocated(make_queue, n)
    yield "retry budgets, by services", 250, allocated(make_budget, 250)


def make_budget(n_services: int) -> retries.RetryBudget:
    """A retry budget with `n_services` services."""
    budget = retries.RetryBudget()
    for number in range(n_services):
        budget.on_first_attempt(0.0, str(number))
    return budget


def make_prefixes(n: int) -> prefixes.PrefixTable:
    """A prefix table with `n` digests."""
    prefix_table = prefixes.PrefixTable(n)
    number = 0
    while len(prefix_table) < n:
        prefix_table.record_sent(
            f"s{number % 180}", make_request(number).prefix_digests
        )
        number += 1
    return prefix_table


def make_waiting(number: int) -> admission.WaitingRequest:
    """A request of one of 2,100 organisations."""
    return admission.WaitingRequest(
        str(number),
        "m",
        f"o{number % 2100}",
        1.0,
        requests.Priority.QUICK,
        1e6,
        1.0,
    )


def make_queue(n_waiting: int) -> admission.Admission:
    """Queues in which `n_waiting` requests wait."""
    queue = admission.Admission(random.Random(1))
    for number in range(n_waiting):
        queue.offer(0.0, make_waiting(number))
    return queue


def main() -> None:
    """Print both tables."""
    print(f"{'decision':44}{'size':>8}{'us':>10}")
    for row in time_rows():
        print(f"{row.what:44}{row.size:8}{row.time_us:10.1f}")
    print(f"\n{'state':44}{'entries':>8}{'KiB':>10}{'B/entry':>10}")
    for what, n, n_bytes in memory_rows():
        print(f"{what:44}{n:8}{n_bytes / 1024:10.0f}{n_bytes / n:10.0f}")


if __name__ == "__main__":
    main()
