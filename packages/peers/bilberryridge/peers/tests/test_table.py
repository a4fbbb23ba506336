from bilberryridge.core import messages
from bilberryridge.decisions import events
from bilberryridge.peers import connection, handshake, settings, table
from bilberryridge.peers.tests import harness

HEARTBEAT = messages.Heartbeat(False, 1)
OTHER = handshake.Identity("b", "i1")


class Conn:
    """Stand-in for the parts of a connection that the table uses."""

    def __init__(self, target_vm=""):
        self.is_dialled = bool(target_vm)
        self.is_confirmed = False
        self.identity = None
        self.stage = connection.Stage.HANDSHAKE
        self.sent = []
        self.is_writable = True

    def enter(self, stage, now_s):
        self.stage = stage

    def retire(self, code, reason, now_s):
        self.stage = connection.Stage.RETIRING

    def fail(self, code, reason, now_s):
        self.stage = connection.Stage.CLOSING

    def send_keepalive(self):
        self.sent.append("keepalive")

    def send_message(self, encoded):
        self.sent.append(encoded)


def make_table(vm):
    posted = []
    cfg = settings.PeersSettings(vm, "i1", "127.0.0.1:8082", b"key")
    return table.PeerTable(cfg, posted.append, harness.CountingMetrics()), posted


def test_second_connection_is_kept_until_the_first_is_confirmed():
    # The daemon with the larger name closes the connection it dialled; "c" > "b".
    for vm, closed in (("c", True), ("a", False)):
        peers, posted = make_table(vm)
        dialled, accepted = Conn("b"), Conn()
        assert peers.add(dialled, OTHER, 0.0) == []
        assert dialled.sent == ["keepalive"]
        assert peers.add(accepted, OTHER, 0.0) == []
        assert peers.confirm(dialled, 0.0) == []
        assert peers.confirm(accepted, 0.0) == [dialled] * closed
        assert peers.conn_to("b") is accepted
        assert posted == [events.PeerUp("b", "i1")]


def test_queued_messages_move_to_the_remaining_connection():
    peers, posted = make_table("a")
    first, second = Conn("b"), Conn()
    peers.add(first, OTHER, 0.0)
    peers.add(second, OTHER, 0.0)
    peers.queue("b", 1, HEARTBEAT)
    assert not peers.send_waiting(first)
    assert peers.remove(second, 0.0) is None
    assert peers.send_waiting(first)
    assert len(first.sent) == 2
    assert peers.remove(first, 3.0) == 3.0
    assert posted[1:] == [events.PeerDown("b")]
