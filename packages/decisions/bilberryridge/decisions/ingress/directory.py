"""Choice of the entry VMs that a caller should use."""

import random

from bilberryridge.core import ingress

MAX_ENTRIES = 64
"""Maximum number of entry VMs in one answer that callers accept."""


def choose(
    entries: list[ingress.EntryVm],
    allowed_by_route: list[frozenset[str]],
    region: str,
    domain: str,
    random_state: random.Random,
) -> list[ingress.EntryVm]:
    """Choose the entry VMs for a caller.

    The nearest non-empty group is returned: the caller's failure domain, its region, or
    the regions allowed by most of the host's routes; all entry VMs only if no route
    restricts its regions.

    Parameters
    ----------
    entries : list of EntryVm
        Entry VMs that are serving.
    allowed_by_route : list of frozenset of str
        Allowed regions of each route of the host that restricts them.
    region, domain : str
        Region and failure domain of the caller.
    random_state : random.Random
        Shuffles the answer.
    """
    groups = (
        [e for e in entries if e.domain == domain and e.region == region],
        [e for e in entries if e.region == region],
        _in_allowed_regions(entries, allowed_by_route) if allowed_by_route else entries,
    )
    chosen = next((group for group in groups if group), [])
    chosen = random_state.sample(chosen, len(chosen))
    return chosen[:MAX_ENTRIES]


def _in_allowed_regions(
    entries: list[ingress.EntryVm], allowed_by_route: list[frozenset[str]]
) -> list[ingress.EntryVm]:
    n_by_region = {
        entry.region: sum(entry.region in regions for regions in allowed_by_route)
        for entry in entries
    }
    max_n_routes = max(n_by_region.values(), default=0)
    if max_n_routes == 0:
        return []
    return [entry for entry in entries if n_by_region[entry.region] == max_n_routes]
