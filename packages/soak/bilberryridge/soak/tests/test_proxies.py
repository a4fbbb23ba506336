"""The proxy between daemons, servers and the store."""

import contextlib
import socket
import struct
import threading
import time

import pytest

from bilberryridge.soak import proxies


@contextlib.contextmanager
def open_conns():
    """Yield a proxy and the two ends of a connection through it."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        proxy = proxies.Proxy("127.0.0.1", listener.getsockname())
        host, port = proxy.text_address.split(":")
        with socket.create_connection((host, int(port)), 5.0) as near:
            far, _ = listener.accept()
            with far:
                yield proxy, near, far
        proxy.close()


def receive_all(sock):
    received = b""
    while data := sock.recv(65_536):
        received += data
    return received


def test_issue_61_reset_is_passed_on_as_a_reset():
    with open_conns() as (_, near, far):
        far.sendall(b"part")
        assert near.recv(4) == b"part"
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        far.close()
        with pytest.raises(ConnectionResetError):
            receive_all(near)


def test_issue_61_connection_of_which_bytes_were_dropped_does_not_end_in_order():
    with open_conns() as (proxy, near, far):
        far.sendall(b"part")
        assert near.recv(4) == b"part"
        seen = threading.Event()
        may_forward = proxy._may_forward

        def may_forward_once(is_answer):
            proxy.mode = proxies.Mode.RESET
            is_allowed = may_forward(is_answer)
            proxy.mode = proxies.Mode.PASS
            seen.set()
            return is_allowed

        proxy._may_forward = may_forward_once
        far.sendall(b"rest")
        assert seen.wait(5.0)
        with pytest.raises(ConnectionResetError):
            receive_all(near)


def test_end_in_order_is_passed_on():
    with open_conns() as (_, near, far):
        far.sendall(b"all")
        far.shutdown(socket.SHUT_WR)
        assert receive_all(near) == b"all"
        time.sleep(0.3)
        near.sendall(b"more")
        assert far.recv(4) == b"more"
