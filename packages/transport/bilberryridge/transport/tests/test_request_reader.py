"""The bound over the bodies of all requests, seen from the callers' port."""

import pytest

from bilberryridge.decisions import effects, events
from bilberryridge.transport.tests import rig

TARGET = "/services/desk/a"
CHAT_TARGET = "/v1/chat/completions"
UNPROVEN = [("Bilberryridge-Envelope-Mac", "0")]
KEYED = [("Idempotency-Key", "k")]
HELD_BODIES = [
    ("no key", TARGET, [], "not_run"),
    ("key", TARGET, KEYED, "unknown"),
    ("key, model", CHAT_TARGET, KEYED, "unknown"),
]


@pytest.mark.parametrize("case", HELD_BODIES, ids=[case[0] for case in HELD_BODIES])
def test_bodies_are_bounded_together_and_their_room_comes_back(case):
    _name, target, fields, outcome = case
    body = b"x" * 600
    node = rig.Node("127.0.0.1:1", is_answering=False)
    with rig.open_rig(node, max_bodies_bytes=1000) as running:
        first = running.caller()
        first.send("POST", TARGET, body)
        arrived = node.wait_for(events.RequestArrived)
        answer = running.caller().ask("POST", target, body, fields)
        assert (answer.status, answer.problem["outcome"]) == (503, outcome)
        assert answer.problem["type"] == "urn:bilberryridge:problem:busy"
        assert answer.fields["retry-after"] == "1"
        running.edge.put(effects.Refuse(arrived.req.request_id, rig.NOT_RUN))
        assert first.read().status == 503
        # Room comes back from requests that are refused, bad or left by their callers.
        assert running.caller().ask("POST", CHAT_TARGET, body).status == 400
        relay = rig.Caller(running.edge.relay_address)
        assert relay.ask("POST", TARGET, body, UNPROVEN).status == 401
        leaver = running.caller()
        leaver.send("POST", TARGET, body)
        node.wait_for(events.RequestArrived, 2)
        leaver.sock.close()
        node.wait_for(events.CallerGone)
        running.caller().send("POST", TARGET, body)
        node.wait_for(events.RequestArrived, 3)


def test_room_of_half_a_body_comes_back():
    head = b"POST /services/desk/a HTTP/1.1\r\nHost: a\r\nContent-Length: 700\r\n\r\n"
    for body_deadline_s, is_left in ((0.5, False), (rig.GENEROUS_S, True)):
        node = rig.Node("127.0.0.1:1", is_answering=False)
        settings = {"max_bodies_bytes": 1000, "body_deadline_s": body_deadline_s}
        with rig.open_rig(node, **settings) as running:

            def probe(running=running):
                """400 where there is room to find that it is no JSON, else 503."""
                return running.caller().ask("POST", CHAT_TARGET, b"x" * 600).status

            half = running.caller()
            half.send_raw(head + b"x" * 600)
            if is_left:
                rig.wait_until(lambda: probe() == 503)
                half.sock.close()
                rig.wait_until(lambda: probe() == 400)
            else:
                assert half.read().status == 408
                assert probe() == 400
