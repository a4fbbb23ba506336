"""Simple rules of placement, to compare the product's with."""

from bilberryridge.decisions.ingress import (
    estimates,
    placement,
    prefix_cache_model,
    server_table,
    state,
)

MAX_FIRST_S = 1e9
"""Stands for no refusal: a baseline never refuses what some server may take."""


def _usable(
    st: state.State, item: state.OpenRequest, now_s: float
) -> list[server_table.ServerState]:
    return st.servers.usable(item.service.name, now_s)


def _to(
    server: server_table.ServerState, item: state.OpenRequest, now_s: float
) -> placement.ServerChoice:
    engine, prompt = item.service.engine, item.req.prompt
    expected = estimates.at_server(server, engine, prompt, item.is_urgent, now_s)
    return placement.ServerChoice(server, expected)


def at_random(
    st: state.State, item: state.OpenRequest, now_s: float
) -> placement.Choice:
    """Send to any server of the region."""
    return _to(st.random_state.choice(_usable(st, item, now_s)), item, now_s)


def least_running(
    st: state.State, item: state.OpenRequest, now_s: float
) -> placement.Choice:
    """Send to the server of the region with the fewest requests."""
    usable = _usable(st, item, now_s)
    st.random_state.shuffle(usable)
    return _to(min(usable, key=lambda server: server.work.sums.n_open), item, now_s)


def by_prompt(
    st: state.State, item: state.OpenRequest, now_s: float
) -> placement.Choice:
    """Send to the server of the region that keeps most of the prompt."""
    usable = _usable(st, item, now_s)
    st.random_state.shuffle(usable)
    parts = item.req.prompt.parts if item.req.prompt else ()

    def n_cached_tokens(server: server_table.ServerState) -> int:
        cache: prefix_cache_model.PrefixCacheModel = server.cache
        return cache.n_cached_tokens(parts)

    return _to(max(usable, key=n_cached_tokens), item, now_s)


RULES: dict[str, state.PlacementRule | None] = {
    "ours": None,
    "random": at_random,
    "least running": least_running,
    "by prompt": by_prompt,
}
