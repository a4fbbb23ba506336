"""When a connection shows that another start of a server may listen at its address."""

import contextlib
import socket
import time

import pytest

from bilberryridge.transport.ingress import connection_pool, event_loop

TIMEOUT_S = 5.0


class Rig:
    """A pool, a listener, and the addresses that were reached anew."""

    def __init__(self, stack):
        self.loop = stack.enter_context(event_loop.open_loop())
        self.listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.address = self.listener.getsockname()
        self.reached = []
        self.pool = connection_pool.Pool(self.loop, self.reached.append)
        stack.callback(self.pool.close)

    def connect(self):
        """Make a connection that is kept; return the server's end of it."""
        ended = []
        self.pool.probe(self.address, ended.append)
        accepted, _ = self.listener.accept()
        self.run_until(lambda: ended)
        assert ended == [True]
        return accepted

    def run_until(self, condition):
        end_s = self.loop.now_s() + TIMEOUT_S
        while not condition():
            assert self.loop.now_s() < end_s
            self.loop.run_once()

    def open_conns(self):
        return list(self.pool._open)


@pytest.fixture
def rig():
    with contextlib.ExitStack() as stack:
        yield Rig(stack)


def test_further_connections_are_to_the_same_start(rig):
    with rig.connect(), rig.connect(), rig.connect():
        assert rig.reached == [rig.address]


def test_server_that_ended_its_connections_is_reached_anew(rig):
    rig.connect().close()
    rig.run_until(lambda: not rig.open_conns())
    with rig.connect():
        assert rig.reached == [rig.address] * 2


def test_end_of_a_connection_that_is_not_handled_yet_counts(rig):
    # The loop handles the new connection first.
    rig.connect().close()
    time.sleep(0.05)
    with rig.connect():
        assert rig.reached == [rig.address] * 2


def test_connection_that_this_side_closed_just_before_hides_no_new_start(rig):
    with rig.connect():
        for conn in rig.open_conns():
            conn.cancel()
    with rig.connect():
        assert rig.reached == [rig.address]


def test_time_without_a_connection_may_hide_a_new_start(rig):
    with rig.connect():
        for conn in rig.open_conns():
            conn.cancel()
    now_s = rig.loop.now_s()
    rig.loop.now_s = lambda: now_s + connection_pool.MIN_RESTART_S + 0.01
    with rig.connect():
        assert rig.reached == [rig.address] * 2
