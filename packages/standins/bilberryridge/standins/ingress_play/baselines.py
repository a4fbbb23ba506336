"""Simple placement rules, as baselines for the production one."""

from bilberryridge.decisions.ingress import (
    estimates,
    placement,
    prefix_cache_model,
    server_table,
    state,
)

MAX_FIRST_S = 1e9
"""Time to the first token that no estimate reaches: a baseline refuses no request that
some server may take."""


def _usable(
    st: state.State, item: state.OpenRequest, now_s: float
) -> list[server_table.ServerState]:
    return st.servers.usable(item.service.name, now_s)


def _server_choice(
    server: server_table.ServerState, item: state.OpenRequest, now_s: float
) -> placement.ServerChoice:
    engine, prompt = item.service.engine, item.req.prompt
    expected = estimates.at_server(server, engine, prompt, item.is_urgent, now_s)
    return placement.ServerChoice(server, expected)


def at_random(
    st: state.State, item: state.OpenRequest, now_s: float
) -> placement.Choice:
    """Choose a server of the region at random."""
    return _server_choice(st.random_state.choice(_usable(st, item, now_s)), item, now_s)


def least_running(
    st: state.State, item: state.OpenRequest, now_s: float
) -> placement.Choice:
    """Choose the server of the region with the fewest open requests."""
    usable = _usable(st, item, now_s)
    st.random_state.shuffle(usable)
    return _server_choice(
        min(usable, key=lambda server: server.work.sums.n_open), item, now_s
    )


def by_prompt(
    st: state.State, item: state.OpenRequest, now_s: float
) -> placement.Choice:
    """Choose the server of the region with the longest cached prefix of the prompt."""
    usable = _usable(st, item, now_s)
    st.random_state.shuffle(usable)
    parts = item.req.prompt.parts if item.req.prompt else ()

    def n_cached_tokens(server: server_table.ServerState) -> int:
        cache: prefix_cache_model.PrefixCacheModel = server.cache
        return cache.n_cached_tokens(parts)

    return _server_choice(max(usable, key=n_cached_tokens), item, now_s)


RULES: dict[str, state.PlacementRule | None] = {
    "ours": None,
    "random": at_random,
    "least running": least_running,
    "by prompt": by_prompt,
}
