"""Long prompts and other requests on different servers."""

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import events, long_prompts
from bilberryridge.decisions.ingress.tests import deployment

N_SERVERS = 10


def daemon_with_event_gap(max_event_gap_s, own="vm-1"):
    servers = tuple(
        deployment.server(f"s{n}", "model", n_slots=16) for n in range(N_SERVERS)
    )
    daemon = deployment.Daemon(servers, own=own)
    engine = ingress.Engine(16, 500_000, n_tokens_per_event=10)
    routes = (
        deployment.route(
            "digest", "stream", service="model", max_event_gap_s=max_event_gap_s
        ),
    )
    services = {"model": ingress.Service("model", engine=engine)}
    daemon.handle(events.TableRead(ingress.RoutingTable(2, routes, services)))
    return daemon


def chosen_servers(daemon, n_own_tokens, n_requests=12):
    """Return the servers of requests with different shared parts, one at a time."""
    chosen = set()
    for n in range(n_requests):
        parts = (
            ingress.PromptPart(f"part-{n}", 500),
            ingress.PromptPart(f"own-{n_own_tokens}-{n}", n_own_tokens),
        )
        prompt = deployment.prompt(500 + n_own_tokens, parts)
        sent = daemon.arrive(f"{n_own_tokens}-{n}", "digest", prompt=prompt)
        chosen.add(sent.server.id)
        daemon.end(sent, "answered", status=200, is_committed=True)
    return chosen


def test_long_prompts_go_to_other_servers_than_short_ones():
    """One long prompt delayed the dozen streams of its engine, at any engine."""
    daemon = daemon_with_event_gap(0.4)
    prompts = daemon.node.state.long_prompts["model"]
    prompts.record(7_500_000, is_long=False, now_s=daemon.now_s)
    prompts.record(2_500_000, is_long=True, now_s=daemon.now_s)
    shorts = chosen_servers(daemon, 2_500, n_requests=40)
    longs = chosen_servers(daemon, 20_000, n_requests=2)
    assert len(shorts) > len(longs) > 0
    assert not shorts & longs


def test_daemons_choose_the_same_servers_for_long_prompts():
    chosen = [
        chosen_servers(daemon_with_event_gap(0.4, own=f"vm-{n}"), 20_000)
        for n in range(4)
    ]
    assert all(servers == chosen[0] for servers in chosen)


def test_nothing_is_kept_apart_where_no_prompt_can_delay_streams():
    with_gap = chosen_servers(daemon_with_event_gap(1.0), 20_000)
    assert with_gap == chosen_servers(daemon_with_event_gap(None), 20_000)


def test_short_requests_use_the_servers_for_long_prompts_when_the_others_are_full():
    daemon = daemon_with_event_gap(0.4)
    used = set()
    for n in range(120):
        parts = (
            ingress.PromptPart(f"part-{n}", 500),
            ingress.PromptPart(f"own-{n}", 1_000),
        )
        prompt = deployment.prompt(1_500, parts)
        used.add(daemon.arrive(str(n), "digest", prompt=prompt).server.id)
    assert len(used) == N_SERVERS


def test_number_of_servers_follows_the_part_of_the_work():
    prompts = long_prompts.LongPrompts()
    for tick in range(1_000):
        prompts.record(10_000, is_long=False, now_s=tick / 10)
    assert prompts.n_servers(20, 100.0) == 1
    for tick in range(1_000, 2_000):
        prompts.record(10_000, is_long=tick % 2 == 0, now_s=tick / 10)
    assert prompts.n_servers(20, 200.0) == 10
