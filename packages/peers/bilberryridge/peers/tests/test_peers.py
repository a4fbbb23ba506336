"""Contract tests of the peers task over loopback sockets."""

import contextlib
import socket
import threading

import cbor2
import pytest

from bilberryridge.core import messages
from bilberryridge.peers import codec, connection, handshake
from bilberryridge.peers.tests import harness

HEARTBEAT = messages.Heartbeat(False, 1)


def encoded(body, sender="x", incarnation="i1"):
    return codec.encode(messages.Frame(sender, incarnation, 5, body))


def connected(first, second):
    return lambda: first.is_up(second.cfg.vm) and second.is_up(first.cfg.vm)


def test_two_peers_that_dial_each_other_keep_one_connection_and_lose_no_message():
    with harness.running("a") as a, harness.running("b") as b:
        a.connect(("b", b.address))
        b.connect(("a", a.address))
        harness.wait_for(connected(a, b))
        sent_bodies = [messages.ConfigurationRequest(number) for number in range(200)]
        for body in sent_bodies:
            a.send("b", body)
            b.send("a", body)
        harness.wait_for(lambda: len(a.bodies()) == len(b.bodies()) == len(sent_bodies))
        # Messages on two connections can overtake each other; none is duplicated.
        assert set(a.bodies()) == set(b.bodies()) == set(sent_bodies)
        harness.wait_for(lambda: len(a.task._conns) == len(b.task._conns) == 1)
        assert a.ups() == [("b", "i1")]
        assert b.ups() == [("a", "i1")]
        assert a.downs() == b.downs() == []


def text_frame(raw):
    raw.proto.send_text(b"text")


def fragment(raw):
    raw.proto.send_binary(b"part", fin=False)


def giant(raw):
    # Only the header of the frame, whose length alone must be refused.
    size = codec.MAX_MESSAGE_BYTES + 1
    raw.sock.sendall(b"\x82\xff" + size.to_bytes(8, "big") + b"\0\0\0\0")


def unmasked(raw):
    raw.sock.sendall(b"\x82\x01\0")


def bytes_of(payload):
    return lambda raw: raw.proto.send_binary(payload)


MISBEHAVIOUR = [
    ("bad CBOR", bytes_of(b"\xff\xff"), 1007, "bad message"),
    ("no array", bytes_of(cbor2.dumps("x")), 1007, "bad message"),
    ("wrong sender", bytes_of(encoded(HEARTBEAT, "y")), 1008, "wrong sender"),
    ("wrong incarnation", bytes_of(encoded(HEARTBEAT, "x", "j")), 1008, "wrong sender"),
    ("text frame", text_frame, 1003, "not one binary frame"),
    ("fragment", fragment, 1003, "not one binary frame"),
    ("giant message", giant, 1009, "too large"),
    ("unmasked frame", unmasked, 1002, "protocol error"),
]


@pytest.mark.parametrize(
    ("misbehave", "code", "reason"),
    [case[1:] for case in MISBEHAVIOUR],
    ids=[case[0] for case in MISBEHAVIOUR],
)
def test_misbehaving_peer_is_closed_with_a_reason_and_affects_no_other(
    misbehave, code, reason
):
    with harness.running("a") as a, harness.running("b") as b:
        b.connect(("a", a.address))
        harness.wait_for(connected(a, b))
        raw = harness.RawClient(a.address)
        assert raw.authenticate("x", "a").status_code == 101
        raw.send(encoded(HEARTBEAT))
        misbehave(raw)
        raw.flush()
        assert raw.closing_code() == code
        harness.wait_for(lambda: a.downs() == ["x"])
        assert a.counts.counters["peer_connections_failed", reason] == 1
        b.send("a", messages.ConfigurationRequest(1))
        harness.wait_for(lambda: len(a.bodies()) == 2)
        assert a.bodies() == [HEARTBEAT, messages.ConfigurationRequest(1)]
        raw.close()


def test_unknown_kind_is_ignored():
    with harness.running("a") as a:
        raw = harness.RawClient(a.address)
        raw.authenticate("x", "a")
        raw.send(cbor2.dumps(["x", "i1", 5, "later_kind", [1]]))
        raw.send(encoded(HEARTBEAT))
        harness.wait_for(lambda: a.bodies() == [HEARTBEAT])
        assert a.counts.counters["peer_messages_unknown",] == 1
        assert a.downs() == []
        raw.close()


def replay_handshake(address):
    headers = handshake.client_headers(
        harness.KEY, handshake.Identity("x", "i1"), "a", harness.time.time(), "once"
    )
    first = harness.RawClient(address)
    assert first.open_handshake(headers).status_code == 101
    first.close()
    return harness.RawClient(address).open_handshake(headers)


def authentication_with(**changes):
    def prove(address):
        given = {"vm": "x", "target": "a"} | changes
        return harness.RawClient(address).authenticate(**given)

    return prove


REFUSALS = [
    ("without the key", authentication_with(key=b"other"), "wrong_mac"),
    ("for another server", authentication_with(target="c"), "wrong_target"),
    ("too old", authentication_with(time_s=1.0), "wrong_time"),
    ("replayed", replay_handshake, "nonce_reused"),
    (
        "nothing",
        lambda address: harness.RawClient(address).open_handshake({}),
        "incomplete",
    ),
]


@pytest.mark.parametrize(
    ("prove", "fault"),
    [case[1:] for case in REFUSALS],
    ids=[case[0] for case in REFUSALS],
)
def test_unauthenticated_client_is_refused(prove, fault):
    with harness.running("a") as a:
        assert prove(a.address).status_code == 401
        harness.wait_for(
            lambda: a.counts.counters["peer_handshakes_refused", fault] == 1
        )
        assert a.ups() == [("x", "i1")] * (fault == "nonce_reused")


@pytest.mark.parametrize(
    "sent", [b"\0" * 40000, b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 9000]
)
def test_long_handshake_is_aborted(sent):
    with harness.running("a") as a, harness.running("b") as b:
        host, port = a.address.rsplit(":", 1)
        with socket.create_connection((host, int(port))) as sock:
            sock.settimeout(harness.DEADLINE_S)
            with contextlib.suppress(ConnectionError):
                sock.sendall(sent)
                assert sock.recv(100) in (b"", b"HTTP/1.1 431")
        b.connect(("a", a.address))
        harness.wait_for(connected(a, b))


def test_unauthenticated_server_receives_no_message():
    with (
        harness.running("a", key=b"other") as impostor,
        harness.running("b") as b,
    ):
        # The impostor accepts any client.
        impostor.task._sessions._client_checker.check = lambda headers: (
            handshake.Identity(headers[handshake.VM_HEADER], "i1"),
            headers[handshake.NONCE_HEADER],
        )
        b.connect(("a", impostor.address))
        unproven = ("peer_servers_unproven", "wrong_mac")
        harness.wait_for(lambda: b.counts.counters[unproven] >= 2)
        b.send("a", HEARTBEAT)
        harness.wait_for(lambda: b.counts.counters[unproven] >= 3)
        assert b.ups() == []
        assert impostor.bodies() == []


def drop_to_server(relay):
    relay.drop_to_server = True


def drop_to_client(relay):
    relay.drop_to_client = True


def drop_both(relay):
    relay.drop_to_server = relay.drop_to_client = True


@pytest.mark.parametrize("cut", [drop_to_server, drop_to_client, drop_both])
def test_network_partition_is_noticed_by_both_ends_and_recovered_from(cut):
    with (
        harness.running("a") as a,
        harness.running("b") as b,
        contextlib.closing(harness.Relay(b.address)) as relay,
    ):
        a.connect(("b", relay.address))
        harness.wait_for(connected(a, b))
        cut(relay)
        harness.wait_for(lambda: a.downs() == ["b"] and b.downs() == ["a"])
        relay.drop_to_server = relay.drop_to_client = False
        harness.wait_for(connected(a, b))


def test_idle_peers_stay_connected():
    short = {"keepalive_interval_s": 0.1, "idle_timeout_s": 1.0}
    with harness.running("a", **short) as a, harness.running("b", **short) as b:
        a.connect(("b", b.address))
        harness.wait_for(connected(a, b))
        conn = next(iter(a.task._conns))
        first_received_s = conn.last_received_s
        harness.wait_for(lambda: conn.last_received_s > first_received_s + 2.0)
        assert a.downs() == b.downs() == []


def test_peer_is_down_when_its_last_connection_is_closed():
    with harness.running("a") as a:
        first = harness.RawClient(a.address)
        first.authenticate("x", "a", nonce="1")
        second = harness.RawClient(a.address)
        second.authenticate("x", "a", nonce="2")
        assert first.closing_code() == 1001
        second.send(encoded(HEARTBEAT))
        harness.wait_for(lambda: a.bodies() == [HEARTBEAT])
        assert (a.ups(), a.downs()) == ([("x", "i1")], [])
        third = harness.RawClient(a.address)
        third.authenticate("x", "a", "i2", nonce="3")
        assert second.closing_code() == 1001
        assert (a.ups()[1:], a.downs()) == ([("x", "i2")], ["x"])
        third.close()
        harness.wait_for(lambda: a.downs() == ["x", "x"])


def test_restarted_peer_is_dialled_again_and_removed_peer_is_not():
    with harness.running("a") as a:
        host = harness.new_host()
        with harness.running("b", "i1", host) as b:
            a.connect(("b", b.address))
            harness.wait_for(connected(a, b))
        harness.wait_for(lambda: a.downs() == ["b"])
        with harness.running("b", "i2", host) as b:
            harness.wait_for(connected(a, b))
            assert a.ups() == [("b", "i1"), ("b", "i2")]
            a.connect()
            harness.wait_for(lambda: a.downs() == ["b", "b"])
            harness.wait_for(lambda: not a.task._conns)


def test_slow_peer_loses_its_oldest_load_messages_only(monkeypatch):
    monkeypatch.setattr(connection, "USER_TIMEOUT_MS", 60000)
    # A keepalive would also flush queued messages.
    slow = {"idle_timeout_s": 60, "keepalive_interval_s": 60, "max_queued_messages": 50}
    delta = messages.LoadDelta(0, (messages.ServerLoad("s", 1, 1),) * 400)
    expected = [
        messages.OutcomeCopy(f"{n}", b"", 200, (), bytes(20000), 1.0) for n in range(40)
    ]
    with harness.running("a", **slow) as a:
        raw = harness.RawClient(a.address, receive_buffer_bytes=4096)
        raw.authenticate("x", "a")
        harness.wait_for(lambda: a.is_up("x"))
        dropped = ("peer_messages_dropped", "load_delta", "queue_full")
        while not a.counts.counters[dropped]:
            a.send("x", delta)
            harness.wait_for(lambda: a.task._inbox._messages.qsize() < 10)
        for body in expected:
            a.send("x", body)
            a.send("x", delta)
        received = []

        def read():
            while len(received) < len(expected):
                frame = raw.receive(lambda event: getattr(event, "data", b""))
                body = codec.decode(bytes(frame.data)).body
                received.extend([body] * isinstance(body, type(expected[0])))

        reader = threading.Thread(target=read)
        reader.start()
        reader.join(harness.DEADLINE_S)
        assert received == expected
        lost = [key for key in a.counts.counters if key[-1] == "queue_full"]
        assert lost == [dropped]
        raw.close()


def test_unauthenticated_connections_are_bounded(monkeypatch):
    monkeypatch.setattr("bilberryridge.peers.peers.MAX_UNAUTHENTICATED", 3)
    with harness.running("a", handshake_timeout_s=0.5) as a:
        raws = [harness.RawClient(a.address) for _ in range(6)]
        refused = ("peer_handshakes_refused", "too_many")
        harness.wait_for(lambda: a.counts.counters[refused] == 3)
        # Silent connections are closed, so that new ones are accepted again.
        harness.wait_for(lambda: not a.task._conns)
        assert harness.RawClient(a.address).authenticate("x", "a").status_code == 101
        for raw in raws:
            raw.close()


def test_last_messages_are_sent_before_the_task_ends():
    with harness.running("b") as b:
        with harness.running("a") as a:
            a.connect(("b", b.address))
            harness.wait_for(connected(a, b))
            last = [
                messages.OutcomeCopy(f"{n}", b"", 200, (), bytes(400000), 1.0)
                for n in range(15)
            ]
            for body in last:
                a.send("b", body)
        harness.wait_for(lambda: b.downs() == ["a"])
        assert b.bodies() == last
