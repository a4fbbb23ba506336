"""Daemons that divide quotas, with a simulated network and clocks."""

import collections
import heapq
import itertools
import random

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    division_messages,
    quotas,
    rate_division,
    token_exchange,
)

TICK_S = 0.05
COUNT_INTERVAL_S = 1.0
BOUND = rate_division.Bound(8.0, 0.1, 140_000)


def organisation(name, rate_per_s, burst):
    unit = ingress.QuotaUnit.TOKENS
    quota = ingress.Quota(rate_per_s, burst, unit, 200)
    return ingress.Organisation(name, quota=quota)


@attrs.define
class Vm:
    """An entry VM and its daemon."""

    name: str
    region: str
    clock_rate: float = 1.0
    clock_offset_s: float = 0.0
    run: int = 0
    node: quotas.Quotas | None = None
    linked_runs: set = attrs.field(factory=set)

    def now_s(self, at_s):
        return self.clock_offset_s + at_s * self.clock_rate


@attrs.define
class Call:
    """A caller's request."""

    vm: str
    organisation: str
    n_tokens: float
    asked_s: float
    taken_s: float | None = None
    refused_s: float | None = None


class Fleet:
    """Daemons of several regions.

    Parameters
    ----------
    n_by_region : dict of str to int
    random_state : random.Random
    organisations : tuple of Organisation
    local_s, remote_s : float
        Time that a message takes within a region and between two.
    drift : float
        Largest relative error of a clock.
    hold_s : float
    """

    def __init__(
        self,
        n_by_region,
        random_state,
        organisations,
        local_s=0.002,
        remote_s=0.055,
        drift=2e-4,
        hold_s=600.0,
        bound=BOUND,
    ):
        self.random_state = random_state
        self.now_s = 0.0
        self.local_s, self.remote_s = local_s, remote_s
        self.hold_s, self.bound = hold_s, bound
        self.organisations = organisations
        self.vms = {}
        self.side = {}
        self.calls = {}
        self.n_messages = collections.Counter()
        self.is_store_up = True
        self.loss = self.repeat = self.longest_delay_s = 0.0
        self._order = itertools.count()
        self._events = []
        for region, n_vms in n_by_region.items():
            for index in range(n_vms):
                self.add_vm(f"{region}-{index}", region, drift)
        self.run_for(3.0)

    def add_vm(self, name, region, drift=2e-4):
        clock_rate = 1 + self.random_state.uniform(-drift, drift)
        offset_s = self.random_state.uniform(0, 1e4)
        self.vms[name] = Vm(name, region, clock_rate, offset_s)
        self.start(name)

    def start(self, name):
        """Start a daemon, in place of the one that runs there."""
        vm = self.vms[name]
        vm.run += 1
        random_state = random.Random(self.random_state.random())
        vm.node = quotas.Quotas(name, vm.region, self.bound, self.hold_s, random_state)
        vm.linked_runs = set()
        vm.node.set_organisations(self.organisations, vm.now_s(self.now_s))
        self._count(vm)
        run = vm.run
        self._after(self.random_state.uniform(0, TICK_S), lambda: self._tick(vm, run))
        self._after(COUNT_INTERVAL_S, lambda: self._count_again(vm, run))
        for other in self.vms.values():
            if other is not vm and other.node is not None:
                self._count(other)

    def stop(self, name):
        """End a daemon for good."""
        self.vms[name].node = None
        self.vms[name].run += 1

    def cut(self, names):
        """Cut daemons off from the others; nobody for an empty list."""
        self.side = dict.fromkeys(names, 1)
        for vm in self.vms.values():
            if vm.node is not None:
                self._count(vm)

    def set_organisations(self, organisations, longest_s=0.0):
        """Bring new limits into force, at each daemon at another time."""
        self.organisations = organisations
        for vm in self.vms.values():
            delay_s = self.random_state.uniform(0, longest_s)
            self._after(delay_s, lambda vm=vm: self._apply(vm, organisations))

    def request(self, vm_name, name, n_tokens, wait_s=0.08):
        vm = self.vms[vm_name]
        if vm.node is None:
            return None
        request_id = f"{vm_name}/{vm.run}/{next(self._order)}"
        call = self.calls[request_id] = Call(vm_name, name, n_tokens, self.now_s)
        now_s = vm.now_s(self.now_s)
        verdict = vm.node.take(request_id, name, n_tokens, wait_s, now_s)
        if verdict is None:
            call.taken_s = self.now_s
        elif verdict is token_exchange.Verdict.REFUSED:
            call.refused_s = self.now_s
        self._send(vm)
        return request_id

    def request_at(self, at_s, *args):
        self.call_at(at_s, lambda: self.request(*args))

    def end(self, request_id, is_run):
        """End a request that was taken; one that was not run counts no more."""
        call = self.calls[request_id]
        vm = self.vms[call.vm]
        if vm.node is None or call.taken_s is None:
            return
        if request_id not in vm.node.charges:
            return
        vm.node.end(request_id, is_run, vm.now_s(self.now_s))
        if not is_run:
            del self.calls[request_id]

    def call_at(self, at_s, function):
        heapq.heappush(self._events, (at_s, next(self._order), function))

    def run_for(self, seconds):
        end_s = self.now_s + seconds
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, function = heapq.heappop(self._events)
            function()
        self.now_s = end_s

    def taken(self, name):
        """Return time and tokens of the requests that were sent."""
        return sorted(
            (call.taken_s, call.n_tokens)
            for call in self.calls.values()
            if call.organisation == name and call.taken_s is not None
        )

    def taken_part(self, name, from_s=0.0):
        """Return the tokens taken as a part of those asked for, from a time on."""
        calls = [
            call
            for call in self.calls.values()
            if call.organisation == name and call.asked_s >= from_s
        ]
        n_taken = sum(call.n_tokens for call in calls if call.taken_s is not None)
        return n_taken / sum(call.n_tokens for call in calls)

    def _after(self, seconds, function):
        self.call_at(self.now_s + seconds, function)

    def _is_linked(self, vm, other):
        is_near = self.side.get(vm.name, 0) == self.side.get(other.name, 0)
        return is_near and other.node is not None and other is not vm

    def _count(self, vm):
        linked = {o.name: o.region for o in self.vms.values() if self._is_linked(vm, o)}
        seen = set(linked)
        if self.is_store_up:
            seen |= {o.name for o in self.vms.values() if o.node and o is not vm}
        now_s = vm.now_s(self.now_s)
        vm.node.update_daemons(seen, linked, now_s)
        runs = {(name, self.vms[name].run) for name in linked}
        for name, _ in sorted(runs - vm.linked_runs):
            vm.node.greet(name, now_s)
        vm.linked_runs = runs
        self._send(vm)

    def _count_again(self, vm, run):
        if vm.run == run:
            self._count(vm)
            self._after(COUNT_INTERVAL_S, lambda: self._count_again(vm, run))

    def _apply(self, vm, organisations):
        if vm.node is not None:
            vm.node.set_organisations(organisations, vm.now_s(self.now_s))
            self._send(vm)

    def _tick(self, vm, run):
        if vm.run != run:
            return
        vm.node.on_tick(vm.now_s(self.now_s))
        self._send(vm)
        self._after(TICK_S, lambda: self._tick(vm, run))

    def _send(self, vm):
        for request_id, is_taken in vm.node.take_settled():
            call = self.calls[request_id]
            if is_taken:
                call.taken_s = self.now_s
            else:
                call.refused_s = self.now_s
        for peer, message in vm.node.take_messages():
            self.n_messages[vm.name] += 1
            other = self.vms[peer]
            is_local = other.region == vm.region
            for _ in range(1 + (self.random_state.random() < self.repeat)):
                is_lossy = not isinstance(message, division_messages.HeldDaemons)
                if is_lossy and self.random_state.random() < self.loss:
                    continue
                delay_s = self.local_s if is_local else self.remote_s
                delay_s += self.random_state.uniform(0, self.longest_delay_s)
                self._after(
                    delay_s, lambda v=vm, o=other, m=message: self._receive(v, o, m)
                )

    def _receive(self, vm, other, message):
        if other.node is None or self.side.get(vm.name, 0) != self.side.get(
            other.name, 0
        ):
            return
        other.node.on_message(vm.name, message, other.now_s(self.now_s))
        self._send(other)


def worst_window(taken, window_s):
    """Return the most tokens taken in any window, and when it began."""
    worst, worst_s, n_tokens, first = 0.0, 0.0, 0.0, 0
    for at_s, n_added in taken:
        n_tokens += n_added
        while taken[first][0] <= at_s - window_s:
            n_tokens -= taken[first][1]
            first += 1
        if n_tokens > worst:
            worst, worst_s = n_tokens, taken[first][0]
    return worst, worst_s


def allowed(rate_per_s, burst, bound=BOUND):
    """Return the tokens allowed in any window."""
    return (rate_per_s * bound.window_s + burst) * (1 + bound.overshoot) + bound.slack
