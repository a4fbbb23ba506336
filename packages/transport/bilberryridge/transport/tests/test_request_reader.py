"""The limit on the bodies of all requests, tested through the callers' port."""

import pytest

from bilberryridge.decisions import effects, events
from bilberryridge.transport.tests import rig

TARGET = "/services/desk/a"
CHAT_TARGET = "/v1/chat/completions"
NO_VALID_MAC = [("Bilberryridge-Envelope-Mac", "0")]
KEYED = [("Idempotency-Key", "k")]
OVER_LIMIT = [
    ("no key", TARGET, [], "not_run"),
    ("key", TARGET, KEYED, "unknown"),
    ("key, model", CHAT_TARGET, KEYED, "unknown"),
]


@pytest.mark.parametrize("case", OVER_LIMIT, ids=[case[0] for case in OVER_LIMIT])
def test_bodies_share_one_limit_and_their_bytes_are_released(case):
    _name, target, fields, outcome = case
    body = b"x" * 600
    node = rig.Node("127.0.0.1:1", is_responding=False)
    with rig.open_rig(node, max_bodies_bytes=1000) as running:
        first = running.caller()
        first.send("POST", TARGET, body)
        arrived = node.wait_for(events.RequestArrived)
        answer = running.caller().request("POST", target, body, fields)
        assert (answer.status, answer.problem["outcome"]) == (503, outcome)
        assert answer.problem["type"] == "urn:bilberryridge:problem:busy"
        assert answer.fields["retry-after"] == "1"
        running.edge.put(effects.Refuse(arrived.req.request_id, rig.NOT_RUN))
        assert first.read().status == 503
        # The bytes of refused, invalid and abandoned requests are released.
        assert running.caller().request("POST", CHAT_TARGET, body).status == 400
        relay = rig.Caller(running.edge.relay_address)
        assert relay.request("POST", TARGET, body, NO_VALID_MAC).status == 401
        leaver = running.caller()
        leaver.send("POST", TARGET, body)
        node.wait_for(events.RequestArrived, 2)
        leaver.sock.close()
        node.wait_for(events.CallerGone)
        running.caller().send("POST", TARGET, body)
        node.wait_for(events.RequestArrived, 3)


def test_bytes_of_an_incomplete_body_are_released():
    head = b"POST /services/desk/a HTTP/1.1\r\nHost: a\r\nContent-Length: 700\r\n\r\n"
    for body_deadline_s, is_left in ((0.5, False), (rig.GENEROUS_S, True)):
        node = rig.Node("127.0.0.1:1", is_responding=False)
        settings = {"max_bodies_bytes": 1000, "body_deadline_s": body_deadline_s}
        with rig.open_rig(node, **settings) as running:

            def probe(running=running):
                """Send an invalid body: 400 if its bytes can be reserved, else 503."""
                return running.caller().request("POST", CHAT_TARGET, b"x" * 600).status

            half = running.caller()
            half.send_raw(head + b"x" * 600)
            if is_left:
                rig.wait_until(lambda: probe() == 503)
                half.sock.close()
                rig.wait_until(lambda: probe() == 400)
            else:
                assert half.read().status == 408
                assert probe() == 400
