"""Time that one request spends on its organisation's quota.

Run ``python -m bilberryridge.standins.quota_cost``.
"""

import random
import statistics
import time

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import quotas, rate_division

N_REQUESTS, N_ROUNDS, N_TICKS = 20_000, 5, 2_000
N_IN_USE = 16
N_DAEMONS = 82
JOINED_S = 20.0


def _make(n_organisations: int) -> quotas.Quotas:
    bound = rate_division.Bound(8.0, 0.1, 140_000)
    made = quotas.Quotas("vm-1", "r", bound, 600.0, random.Random(1))
    unit = ingress.QuotaUnit.TOKENS
    quota = ingress.Quota(1e9, 1e9, unit, 200)
    names = [f"o{index}" for index in range(n_organisations)]
    organisations = [ingress.Organisation(n, quota=quota) for n in names]
    made.set_organisations(organisations, 0.0)
    linked = {f"vm-{index}": "r" for index in range(2, N_DAEMONS + 1)}
    for now_s in (0.0, JOINED_S):
        made.update_daemons(linked, linked, now_s)
    return made


def main() -> None:
    """Print the times for few and for many organisations."""
    for n_organisations in (N_IN_USE, 2_100):
        made = _make(n_organisations)
        now_s = JOINED_S
        rounds_us = []
        for _ in range(N_ROUNDS):
            began_s = time.perf_counter()
            for index in range(N_REQUESTS):
                now_s += 1e-4
                request_id = str(index)
                made.take(request_id, f"o{index % N_IN_USE}", 3_000.0, 0.15, now_s)
                made.end(request_id, is_run=True, now_s=now_s)
            rounds_us.append((time.perf_counter() - began_s) / N_REQUESTS * 1e6)
        ticks_us = []
        for _ in range(N_TICKS):
            now_s += 0.05
            began_s = time.perf_counter()
            made.on_tick(now_s)
            ticks_us.append((time.perf_counter() - began_s) * 1e6)
        print(
            f"{n_organisations} organisations: {min(rounds_us):.1f} to"
            f" {max(rounds_us):.1f} us a request,"
            f" {statistics.median(ticks_us):.1f} us a tick"
        )


if __name__ == "__main__":
    main()
