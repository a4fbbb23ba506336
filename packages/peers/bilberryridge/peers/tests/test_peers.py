"""Contract tests of the peers task over loopback sockets."""

import contextlib
import socket
import threading

import cbor2
import pytest

from bilberryridge.core import messages
from bilberryridge.peers import codec, connection, handshake
from bilberryridge.peers.tests import harness

BEAT = messages.Heartbeat(False, 1)


def encoded(body, sender="x", incarnation="i1"):
    return codec.encode(messages.Frame(sender, incarnation, 5, body))


def connected(first, second):
    return lambda: first.is_up(second.cfg.vm) and second.is_up(first.cfg.vm)


def test_two_peers_that_dial_each_other_say_everything_over_one_connection():
    with harness.running("a") as a, harness.running("b") as b:
        a.connect(("b", b.address))
        b.connect(("a", a.address))
        harness.wait_for(connected(a, b))
        said = [messages.ConfigurationRequest(number) for number in range(200)]
        for body in said:
            a.send("b", body)
            b.send("a", body)
        harness.wait_for(lambda: len(a.bodies()) == len(b.bodies()) == len(said))
        # Messages of two connections can overtake each other; none comes twice.
        assert set(a.bodies()) == set(b.bodies()) == set(said)
        harness.wait_for(lambda: len(a.task._conns) == len(b.task._conns) == 1)
        assert a.ups() == [("b", "i1")]
        assert b.ups() == [("a", "i1")]
        assert a.downs() == b.downs() == []


def text_frame(raw):
    raw.proto.send_text(b"text")


def fragment(raw):
    raw.proto.send_binary(b"part", fin=False)


def giant(raw):
    # Only the head of the frame: the length alone must do.
    size = codec.MAX_MESSAGE_BYTES + 1
    raw.sock.sendall(b"\x82\xff" + size.to_bytes(8, "big") + b"\0\0\0\0")


def unmasked(raw):
    raw.sock.sendall(b"\x82\x01\0")


def bytes_of(payload):
    return lambda raw: raw.proto.send_binary(payload)


MISBEHAVIOUR = [
    ("bad CBOR", bytes_of(b"\xff\xff"), 1007, "bad message"),
    ("no array", bytes_of(cbor2.dumps("x")), 1007, "bad message"),
    ("wrong sender", bytes_of(encoded(BEAT, "y")), 1008, "wrong sender"),
    ("wrong incarnation", bytes_of(encoded(BEAT, "x", "j")), 1008, "wrong sender"),
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
def test_bad_peer_is_closed_with_a_reason_and_harms_nothing_else(
    misbehave, code, reason
):
    with harness.running("a") as a, harness.running("b") as b:
        b.connect(("a", a.address))
        harness.wait_for(connected(a, b))
        raw = harness.RawClient(a.address)
        assert raw.prove("x", "a").status_code == 101
        raw.send(encoded(BEAT))
        misbehave(raw)
        raw.flush()
        assert raw.closing_code() == code
        harness.wait_for(lambda: a.downs() == ["x"])
        assert a.counts.counters["peer_connections_failed", reason] == 1
        b.send("a", messages.ConfigurationRequest(1))
        harness.wait_for(lambda: len(a.bodies()) == 2)
        assert a.bodies() == [BEAT, messages.ConfigurationRequest(1)]
        raw.close()


def test_unknown_kind_is_passed_over():
    with harness.running("a") as a:
        raw = harness.RawClient(a.address)
        raw.prove("x", "a")
        raw.send(cbor2.dumps(["x", "i1", 5, "later_kind", [1]]))
        raw.send(encoded(BEAT))
        harness.wait_for(lambda: a.bodies() == [BEAT])
        assert a.counts.counters["peer_messages_unknown",] == 1
        assert a.downs() == []
        raw.close()


def overheard(address):
    headers = handshake.client_headers(
        harness.KEY, handshake.Identity("x", "i1"), "a", harness.time.time(), "once"
    )
    first = harness.RawClient(address)
    assert first.shake(headers).status_code == 101
    first.close()
    return harness.RawClient(address).shake(headers)


def proof_of(**changes):
    def prove(address):
        given = {"vm": "x", "target": "a"} | changes
        return harness.RawClient(address).prove(**given)

    return prove


REFUSALS = [
    ("without the key", proof_of(key=b"other"), "wrong_mac"),
    ("for another server", proof_of(target="c"), "wrong_target"),
    ("too old", proof_of(time_s=1.0), "wrong_time"),
    ("replayed", overheard, "nonce_reused"),
    ("nothing", lambda address: harness.RawClient(address).shake({}), "incomplete"),
]


@pytest.mark.parametrize(
    ("prove", "fault"),
    [case[1:] for case in REFUSALS],
    ids=[case[0] for case in REFUSALS],
)
def test_client_that_proves_nothing_is_refused(prove, fault):
    with harness.running("a") as a:
        assert prove(a.address).status_code == 401
        harness.wait_for(
            lambda: a.counts.counters["peer_handshakes_refused", fault] == 1
        )
        assert a.ups() == [("x", "i1")] * (fault == "nonce_reused")


@pytest.mark.parametrize(
    "sent", [b"\0" * 40000, b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 9000]
)
def test_long_handshake_is_cut_off(sent):
    with harness.running("a") as a, harness.running("b") as b:
        host, port = a.address.rsplit(":", 1)
        with socket.create_connection((host, int(port))) as sock:
            sock.settimeout(harness.DEADLINE_S)
            with contextlib.suppress(ConnectionError):
                sock.sendall(sent)
                assert sock.recv(100) in (b"", b"HTTP/1.1 431")
        b.connect(("a", a.address))
        harness.wait_for(connected(a, b))


def test_server_that_proves_nothing_is_told_nothing():
    with (
        harness.running("a", key=b"other") as impostor,
        harness.running("b") as b,
    ):
        # The impostor takes any client.
        impostor.task._sessions._checker.check = lambda headers: (
            handshake.Identity(headers[handshake.VM_HEADER], "i1"),
            headers[handshake.NONCE_HEADER],
        )
        b.connect(("a", impostor.address))
        unproven = ("peer_servers_unproven", "wrong_mac")
        harness.wait_for(lambda: b.counts.counters[unproven] >= 2)
        b.send("a", BEAT)
        harness.wait_for(lambda: b.counts.counters[unproven] >= 3)
        assert b.ups() == []
        assert impostor.bodies() == []


def cut_to_server(relay):
    relay.cut_to_server = True


def cut_to_client(relay):
    relay.cut_to_client = True


def cut_both(relay):
    relay.cut_to_server = relay.cut_to_client = True


@pytest.mark.parametrize("cut", [cut_to_server, cut_to_client, cut_both])
def test_cut_is_noticed_by_both_sides_and_healed(cut):
    with (
        harness.running("a") as a,
        harness.running("b") as b,
        contextlib.closing(harness.Relay(b.address)) as relay,
    ):
        a.connect(("b", relay.address))
        harness.wait_for(connected(a, b))
        cut(relay)
        harness.wait_for(lambda: a.downs() == ["b"] and b.downs() == ["a"])
        relay.cut_to_server = relay.cut_to_client = False
        harness.wait_for(connected(a, b))


def test_quiet_peers_stay_connected():
    short = {"keepalive_interval_s": 0.1, "idle_timeout_s": 1.0}
    with harness.running("a", **short) as a, harness.running("b", **short) as b:
        a.connect(("b", b.address))
        harness.wait_for(connected(a, b))
        conn = next(iter(a.task._conns))
        first_heard_s = conn.heard_s
        harness.wait_for(lambda: conn.heard_s > first_heard_s + 2.0)
        assert a.downs() == b.downs() == []


def test_peer_is_down_when_its_last_connection_is_gone():
    with harness.running("a") as a:
        first = harness.RawClient(a.address)
        first.prove("x", "a", nonce="1")
        second = harness.RawClient(a.address)
        second.prove("x", "a", nonce="2")
        assert first.closing_code() == 1001
        second.send(encoded(BEAT))
        harness.wait_for(lambda: a.bodies() == [BEAT])
        assert (a.ups(), a.downs()) == ([("x", "i1")], [])
        third = harness.RawClient(a.address)
        third.prove("x", "a", "i2", nonce="3")
        assert second.closing_code() == 1001
        assert (a.ups()[1:], a.downs()) == ([("x", "i2")], ["x"])
        third.close()
        harness.wait_for(lambda: a.downs() == ["x", "x"])


def test_restarted_peer_is_dialled_again_and_dropped_peer_is_not():
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
    # A keepalive would move what waits as well.
    slow = {"idle_timeout_s": 60, "keepalive_interval_s": 60, "max_queued_messages": 50}
    delta = messages.LoadDelta(0, (messages.ServerLoad("s", 1, 1),) * 400)
    wanted = [
        messages.OutcomeCopy(f"{n}", b"", 200, (), bytes(20000), 1.0) for n in range(40)
    ]
    with harness.running("a", **slow) as a:
        raw = harness.RawClient(a.address, receive_buffer_bytes=4096)
        raw.prove("x", "a")
        harness.wait_for(lambda: a.is_up("x"))
        dropped = ("peer_messages_dropped", "load_delta", "queue_full")
        while not a.counts.counters[dropped]:
            a.send("x", delta)
            harness.wait_for(lambda: a.task._box._messages.qsize() < 10)
        for body in wanted:
            a.send("x", body)
            a.send("x", delta)
        received = []

        def read():
            while len(received) < len(wanted):
                frame = raw.receive(lambda event: getattr(event, "data", b""))
                body = codec.decode(bytes(frame.data)).body
                received.extend([body] * isinstance(body, type(wanted[0])))

        reader = threading.Thread(target=read)
        reader.start()
        reader.join(harness.DEADLINE_S)
        assert received == wanted
        lost = [key for key in a.counts.counters if key[-1] == "queue_full"]
        assert lost == [dropped]
        raw.close()


def test_unproven_connections_are_bounded(monkeypatch):
    monkeypatch.setattr("bilberryridge.peers.peers.MAX_UNPROVEN", 3)
    with harness.running("a", handshake_timeout_s=0.5) as a:
        raws = [harness.RawClient(a.address) for _ in range(6)]
        refused = ("peer_handshakes_refused", "too_many")
        harness.wait_for(lambda: a.counts.counters[refused] == 3)
        # Those that say nothing are closed, and there is room again.
        harness.wait_for(lambda: not a.task._conns)
        assert harness.RawClient(a.address).prove("x", "a").status_code == 101
        for raw in raws:
            raw.close()


def test_last_messages_leave_before_the_task_ends():
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
