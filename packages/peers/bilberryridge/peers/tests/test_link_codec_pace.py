"""Pace of servers in load reports, with daemons of older builds."""

import cbor2

from bilberryridge.decisions.ingress import load_messages
from bilberryridge.peers import link_codec


def test_stated_pace_is_told():
    share = load_messages.ServerShare(stated_pace=2.5, pace_age_s=0.15)
    message = load_messages.DaemonLoads({"a": share})
    assert link_codec.decode(link_codec.encode(message)) == message


def test_share_of_a_daemon_of_an_older_build_is_read():
    """Guards against a report of 16 values, as builds before the pace send it."""
    share = load_messages.ServerShare(n_open=2, n_limit_unnamed=3)
    message = load_messages.DaemonLoads({"a": share})
    kind, by_server, streams = cbor2.loads(link_codec.encode(message))
    older = {name: values[:16] for name, values in by_server.items()}
    decoded = link_codec.decode(cbor2.dumps([kind, older, streams]))
    assert decoded == message


def test_window_of_a_returning_server_is_told():
    share = load_messages.ServerShare(window=4.5, n_in_time=3, n_out_of_time=2)
    message = load_messages.DaemonLoads({"a": share})
    assert link_codec.decode(link_codec.encode(message)) == message


def test_share_with_a_pace_and_no_window_is_read():
    share = load_messages.ServerShare(stated_pace=1.3, pace_age_s=0.1)
    message = load_messages.DaemonLoads({"a": share})
    kind, by_server, streams = cbor2.loads(link_codec.encode(message))
    older = {name: values[:18] for name, values in by_server.items()}
    assert link_codec.decode(cbor2.dumps([kind, older, streams])) == message
