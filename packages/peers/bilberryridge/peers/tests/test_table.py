from bilberryridge.core import messages
from bilberryridge.decisions import events
from bilberryridge.peers import connection, handshake, settings, table
from bilberryridge.peers.tests import harness

BEAT = messages.Heartbeat(False, 1)
OTHER = handshake.Identity("b", "i1")


class Conn:
    """What the table needs of a connection."""

    def __init__(self, target_vm=""):
        self.is_dialled = bool(target_vm)
        self.is_confirmed = False
        self.identity = None
        self.stage = connection.Stage.PROVING
        self.said = []
        self.has_room = True

    def enter(self, stage, now_s):
        self.stage = stage

    def retire(self, code, reason, now_s):
        self.stage = connection.Stage.RETIRING

    def fail(self, code, reason, now_s):
        self.stage = connection.Stage.CLOSING

    def send_keepalive(self):
        self.said.append("keepalive")

    def send_message(self, encoded):
        self.said.append(encoded)


def make(vm):
    posted = []
    cfg = settings.PeersSettings(vm, "i1", "127.0.0.1:8082", b"key")
    return table.Table(cfg, posted.append, harness.Counts()), posted


def test_second_connection_is_kept_until_the_first_is_confirmed():
    # The larger name closes the one it dialled; "c" is larger than "b".
    for vm, closed in (("c", True), ("a", False)):
        peers, posted = make(vm)
        dialled, accepted = Conn("b"), Conn()
        assert peers.add(dialled, OTHER, 0.0) == []
        assert dialled.said == ["keepalive"]
        assert peers.add(accepted, OTHER, 0.0) == []
        assert peers.confirm(dialled, 0.0) == []
        assert peers.confirm(accepted, 0.0) == [dialled] * closed
        assert peers.conn_of("b") is accepted
        assert posted == [events.PeerUp("b", "i1")]


def test_what_waits_moves_to_the_connection_that_is_left():
    peers, posted = make("a")
    first, second = Conn("b"), Conn()
    peers.add(first, OTHER, 0.0)
    peers.add(second, OTHER, 0.0)
    peers.queue("b", 1, BEAT)
    assert not peers.pump(first)
    assert peers.remove(second, 0.0) is None
    assert peers.pump(first)
    assert len(first.said) == 2
    assert peers.remove(first, 3.0) == 3.0
    assert posted[1:] == [events.PeerDown("b")]
