"""Loopback subnets for tests that run in parallel.

A subnet is reserved by a bound socket, so the kernel frees it when its holder exits.
"""

import contextlib
import os
import socket
from collections.abc import Iterator

SUBNET_VARIABLE = "BILBERRYRIDGE_TEST_NET"
N_SUBNETS = 250
LOCK_HOST = 9
LOCK_PORT = 7009


@contextlib.contextmanager
def held_subnet() -> Iterator[int]:
    """Reserve a free subnet ``127.<subnet>.x.y``; yield its second octet."""
    first = int(os.environ.get(SUBNET_VARIABLE, os.getpid()))
    with socket.socket() as lock:
        yield _bind(lock, first)


def _bind(lock: socket.socket, first: int) -> int:
    for n in range(N_SUBNETS):
        subnet = (first + n) % N_SUBNETS + 1
        with contextlib.suppress(OSError):
            lock.bind((f"127.{subnet}.0.{LOCK_HOST}", LOCK_PORT))
            return subnet
    raise OSError("no loopback subnet is free")
