"""Loads of other regions and estimates of how fast they would answer a request."""

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import estimates, load_messages

STALE_S = 3.0
"""Loads older than this are ignored; regions report every 0.3 s."""
INTER_REGION_ROUND_TRIP_S = 0.13
"""Network time that a request to another region adds to its first answer."""
BODY_S_PER_TOKEN = 2.5e-6
"""Transfer time of a prompt's body between regions, at about a byte per token: a TCP
window of some 20 kB is sent in each round trip of 0.11 s."""
UNCACHED_FRACTION = 0.6
"""Fraction of a prompt's shared tokens that the other region is assumed not to have
cached."""
HERD_FACTOR = 1.5
"""Weight of this daemon's own requests since the last report: other daemons see the
same loads and send requests to the region as well."""
DRAIN_FRACTION = 0.6
"""Fraction of its prefill rate at which a region is assumed to reduce its backlog; its
own callers continue to send."""


@attrs.define
class RegionView:
    """State of another region as seen by this daemon.

    Parameters
    ----------
    loads : RegionLoads
    received_s : float
        When the loads were received.
    sent_by_service : dict of str to (int, int)
        Number of requests and prompt tokens sent there since then, by service.
    """

    loads: load_messages.RegionLoads
    received_s: float
    sent_by_service: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    def age_s(self, now_s: float) -> float:
        """Return the time since the loads were received."""
        return now_s - self.received_s

    def record_sent(self, service: str, n_tokens: int) -> None:
        """Record a request that was sent to the region."""
        n_requests, n_before = self.sent_by_service.get(service, (0, 0))
        self.sent_by_service[service] = (n_requests + 1, n_before + n_tokens)

    def estimate(
        self,
        service: ingress.Service,
        prompt: ingress.Prompt | None,
        is_urgent: bool,
        now_s: float,
    ) -> estimates.Estimate | None:
        """Return the estimate for a request, including the network time.

        None if the region has no usable server of the service.
        """
        load = self.loads.by_service.get(service.name)
        if load is None or load.n_servers == 0:
            return None
        n_requests, n_tokens = self.sent_by_service.get(service.name, (0, 0))
        unloaded_s = INTER_REGION_ROUND_TRIP_S + load.unloaded_first_s
        if service.engine is None or prompt is None:
            n_over = load.n_open + HERD_FACTOR * n_requests - load.n_slots
            queue_s = max(0.0, n_over) * estimates.PLAIN_WORK_S / load.n_slots
            return estimates.Estimate(unloaded_s + queue_s, queue_s)
        rate = max(1.0, load.tokens_per_s)
        queue_s = self._backlog_s(load, rate, n_tokens, is_urgent, now_s)
        n_needed = HERD_FACTOR * n_tokens + prompt.n_tokens - load.n_free_tokens
        queue_s += max(0.0, n_needed) / estimates.FREED_TOKENS_PER_S
        unloaded_s += BODY_S_PER_TOKEN * prompt.n_tokens
        n_shared = prompt.n_tokens - prompt.n_unshared_tokens
        n_prefill = prompt.n_unshared_tokens + int(UNCACHED_FRACTION * n_shared)
        prefill_s = n_prefill / rate
        first_s = unloaded_s + queue_s + prefill_s
        stream_s = prompt.n_answer_tokens * load.inter_token_s
        pause_s = service.engine.n_tokens_per_event * load.inter_token_s + prefill_s
        pause_s += self._backlog_s(load, rate, n_tokens, False, now_s)
        return estimates.Estimate(
            first_s, queue_s, n_prefill, prefill_s, stream_s, pause_s=pause_s
        )

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
        n_ahead += HERD_FACTOR * UNCACHED_FRACTION * n_sent_tokens
        n_ahead -= DRAIN_FRACTION * rate * load.n_servers * self.age_s(now_s)
        return max(0.0, n_ahead) / load.n_servers / rate


class Regions:
    """The other regions that have reported their loads."""

    def __init__(self) -> None:
        self._views: dict[str, RegionView] = {}

    def update(self, loads: load_messages.RegionLoads, now_s: float) -> None:
        """Store the loads that a region reported."""
        self._views[loads.region] = RegionView(loads, now_s)

    def fresh(self, now_s: float) -> dict[str, RegionView]:
        """Return the regions whose loads are younger than `STALE_S`, by name."""
        return {
            region: view
            for region, view in self._views.items()
            if view.age_s(now_s) < STALE_S
        }
