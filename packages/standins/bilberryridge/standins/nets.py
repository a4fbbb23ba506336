"""Loopback nets for tests that run beside each other.

A held net is a bound socket, so it is free again when its holder has ended.
"""

import contextlib
import os
import socket
from collections.abc import Iterator

NET_VARIABLE = "BILBERRYRIDGE_TEST_NET"
N_NETS = 250
LOCK_HOST = 9
LOCK_PORT = 7009


@contextlib.contextmanager
def held_net() -> Iterator[int]:
    """Hold the second octet of addresses ``127.<net>.x.y`` that nobody else holds."""
    first = int(os.environ.get(NET_VARIABLE, os.getpid()))
    with socket.socket() as lock:
        yield _bind(lock, first)


def _bind(lock: socket.socket, first: int) -> int:
    for n in range(N_NETS):
        net = (first + n) % N_NETS + 1
        with contextlib.suppress(OSError):
            lock.bind((f"127.{net}.0.{LOCK_HOST}", LOCK_PORT))
            return net
    raise OSError("no net is free")
