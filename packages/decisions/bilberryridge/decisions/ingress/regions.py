"""Other regions: their loads, and the daemons there that take requests on."""

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import estimates, load_messages

STALE_S = 3.0
"""Loads older than this say nothing; a region tells them every half second."""
HOP_S = 0.13
"""Time that the way to another region and back adds to the first answer."""
BODY_S_PER_TOKEN = 2.5e-6
"""Time that a prompt's body adds on the way, at a byte a token: a window of some 20 kB
goes through in each round trip of 0.11 s."""
UNREAD_PART = 0.6
"""Part of the shared parts of a prompt that another region is expected to read anew."""
HERD = 1.5
"""Other daemons see the same loads: what this one has sent counts so many times."""
DRAIN_PART = 0.6
"""Part of its reading rate at which a region is expected to work off its backlog: its
own callers go on sending."""


@attrs.define
class RegionView:
    """What is known of another region.

    Parameters
    ----------
    loads : RegionLoads
    read_s : float
    sent : dict of str to (int, int)
        Requests and prompt tokens sent there by service since then.
    """

    loads: load_messages.RegionLoads
    read_s: float
    sent: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def age_s(self, now_s: float) -> float:
        """Return the age of the loads."""
        return now_s - self.read_s

    def note_sent(self, service: str, n_tokens: int) -> None:
        """Count a request that was sent there."""
        n_requests, n_before = self.sent.get(service, (0, 0))
        self.sent[service] = (n_requests + 1, n_before + n_tokens)

    def expected(
        self,
        service: ingress.Service,
        prompt: ingress.Prompt | None,
        is_urgent: bool,
        now_s: float,
    ) -> estimates.Estimate | None:
        """Return what a request would meet there, the way included.

        None where the region has no server that takes work.
        """
        load = self.loads.by_service.get(service.name)
        if load is None or load.n_servers == 0:
            return None
        n_requests, n_tokens = self.sent.get(service.name, (0, 0))
        way_s = HOP_S + load.unloaded_first_s
        if service.engine is None or prompt is None:
            n_over = load.n_open + HERD * n_requests - load.n_slots
            queue_s = max(0.0, n_over) * estimates.PLAIN_S / load.n_slots
            return estimates.Estimate(way_s + queue_s, queue_s)
        rate = max(1.0, load.tokens_per_s)
        queue_s = self._backlog_s(load, rate, n_tokens, is_urgent, now_s)
        n_needed = HERD * n_tokens + prompt.n_tokens - load.n_free_tokens
        queue_s += max(0.0, n_needed) / estimates.MEMORY_TOKENS_PER_S
        way_s += BODY_S_PER_TOKEN * prompt.n_tokens
        n_shared = prompt.n_tokens - prompt.n_unshared_tokens
        n_unread = prompt.n_unshared_tokens + int(UNREAD_PART * n_shared)
        read_s = n_unread / rate
        first_s = way_s + queue_s + read_s
        rest_s = prompt.n_answer_tokens * load.inter_token_s
        return estimates.Estimate(first_s, queue_s, n_unread, read_s, rest_s)

    def _backlog_s(
        self,
        load: load_messages.ServiceLoad,
        rate: float,
        n_sent_tokens: int,
        is_urgent: bool,
        now_s: float,
    ) -> float:
        n_ahead = estimates.n_tokens_ahead(
            load.n_pending_tokens, load.n_urgent_tokens, is_urgent
        )
        n_ahead += HERD * UNREAD_PART * n_sent_tokens
        n_ahead -= DRAIN_PART * rate * load.n_servers * self.age_s(now_s)
        return max(0.0, n_ahead) / load.n_servers / rate


class Regions:
    """All other regions, as far as they are heard of."""

    def __init__(self) -> None:
        self._views: dict[str, RegionView] = {}

    def take(self, loads: load_messages.RegionLoads, now_s: float) -> None:
        """Take over a region's loads."""
        self._views[loads.region] = RegionView(loads, now_s)

    def fresh(self, now_s: float) -> dict[str, RegionView]:
        """Return the regions whose loads are recent."""
        return {
            region: view
            for region, view in self._views.items()
            if view.age_s(now_s) < STALE_S
        }
