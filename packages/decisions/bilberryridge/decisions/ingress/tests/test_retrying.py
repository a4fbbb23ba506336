"""The bound of all daemons on requests that reach servers more than once."""

from bilberryridge.decisions.ingress import effects
from bilberryridge.decisions.ingress.tests import deployment

PEER = deployment.entry("vm-2", "d2")


def make_daemon(**changes):
    servers = (deployment.server("a"), deployment.server("b"))
    return deployment.Daemon(servers=changes.pop("servers", servers), **changes)


def serve(daemon, n_requests, **changes):
    for n in range(n_requests):
        daemon.end(daemon.arrive(f"s{n}", "safe", **changes), "answered", status=200)


def test_issue_44_relayed_requests_do_not_raise_the_bound_on_repeats():
    daemon = make_daemon(retry_slack=0.0)
    serve(daemon, 100, is_relayed=True)
    [refused] = daemon.end(daemon.arrive("1", "safe"), "lost")
    assert isinstance(refused, effects.Refuse)
    assert refused.log_fields["no_retry"] == "budget"
