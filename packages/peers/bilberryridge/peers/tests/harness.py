"""Peers tasks on loopback addresses, a raw client, and a relay that can drop data."""

import collections
import concurrent.futures
import contextlib
import itertools
import os
import random
import selectors
import socket
import threading
import time

from websockets import frames, http11

from bilberryridge.decisions import effects, events
from bilberryridge.peers import handshake, peers, sessions

NET = int(os.environ.get("BILBERRYRIDGE_TEST_NET", 2 + os.getpid() % 200))
PORT = 8082
KEY = b"the deployment's key"
DEADLINE_S = 15.0
_hosts = itertools.count(1)


def new_host():
    number = next(_hosts)
    return f"127.{NET}.{88 + number // 250}.{1 + number % 250}"


def wait_for(condition, deadline_s=DEADLINE_S):
    give_up_s = time.monotonic() + deadline_s
    while not condition():
        assert time.monotonic() < give_up_s, "condition did not come true"
        time.sleep(0.005)


class CountingMetrics:
    """Metrics that count in memory."""

    def __init__(self):
        self.counters = collections.Counter()

    def count(self, name, labels=(), n=1):
        self.counters[(name, *labels)] += n

    def observe_s(self, name, labels, seconds):
        pass


class Node:
    """A running task with the events that it posted."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.address = cfg.peer_address
        self.posted = []
        self.counts = CountingMetrics()
        self.task = None

    def events_of(self, kind):
        return [event for event in list(self.posted) if isinstance(event, kind)]

    def ups(self):
        return [
            (event.vm, event.incarnation) for event in self.events_of(events.PeerUp)
        ]

    def downs(self):
        return [event.vm for event in self.events_of(events.PeerDown)]

    def is_up(self, vm):
        ups = [event.vm for event in self.events_of(events.PeerUp)]
        return ups.count(vm) > self.downs().count(vm)

    def bodies(self):
        return [event.frame.body for event in self.events_of(events.PeerSaid)]

    def connect(self, *vms):
        self.task.put(effects.ConnectPeers(vms))

    def send(self, vm, body):
        self.task.put(effects.SendPeerMessage(vm, 5, body))


@contextlib.contextmanager
def running(vm, incarnation="i1", host=None, key=KEY, **options):
    address = f"{host or new_host()}:{PORT}"
    cfg = peers.PeersSettings(vm, incarnation, address, key, **options)
    node = Node(cfg)
    with (
        concurrent.futures.ThreadPoolExecutor(1) as pool,
        peers.open_peers(
            cfg, node.posted.append, node.counts, random.Random(1)
        ) as node.task,
    ):
        run_future = pool.submit(node.task.run)
        try:
            yield node
        finally:
            node.task.close()
            run_future.result(DEADLINE_S)


class RawClient:
    """A blocking client that can violate the protocol."""

    def __init__(self, address, receive_buffer_bytes=0):
        host, port = address.rsplit(":", 1)
        self.proto = sessions.client_protocol(host, int(port))
        self.sock = socket.socket()
        if receive_buffer_bytes:
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self.sock.settimeout(DEADLINE_S)
        self.sock.connect((host, int(port)))
        self._events = []

    def authenticate(
        self, vm, target, incarnation="i1", nonce="n", key=KEY, time_s=None
    ):
        own = handshake.Identity(vm, incarnation)
        at_s = time.time() if time_s is None else time_s
        return self.open_handshake(
            handshake.client_headers(key, own, target, at_s, nonce)
        )

    def open_handshake(self, headers):
        """Send the opening handshake; return the answer."""
        req = self.proto.connect()
        req.headers.update(headers)
        self.proto.send_request(req)
        self.flush()
        return self.receive(lambda event: isinstance(event, http11.Response))

    def send(self, encoded):
        self.proto.send_binary(encoded)
        self.flush()

    def flush(self):
        for data in self.proto.data_to_send():
            if data:
                self.sock.sendall(data)

    def receive(self, is_wanted):
        """Wait for an event; return None if the connection ends first."""
        while True:
            self._events += self.proto.events_received()
            while self._events:
                event = self._events.pop(0)
                if is_wanted(event):
                    return event
            try:
                data = self.sock.recv(65536)
            except ConnectionResetError:
                return None
            if not data:
                return None
            self.proto.receive_data(data)

    def closing_code(self):
        """Wait until the remote end closes; return the code of its close frame."""
        frame = self.receive(
            lambda event: getattr(event, "opcode", None) is frames.Opcode.CLOSE
        )
        return frames.Close.parse(frame.data).code if frame else None

    def close(self):
        self.sock.close()


class Relay:
    """Forwards bytes between a client and a server; each direction can be dropped."""

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server((new_host(), PORT))
        self.address = f"{self._listener.getsockname()[0]}:{PORT}"
        self.drop_to_server = False
        self.drop_to_client = False
        self._is_open = True
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def close(self):
        self._is_open = False
        self._thread.join()

    def _run(self):
        with selectors.DefaultSelector() as selector, self._listener:
            selector.register(self._listener, selectors.EVENT_READ)
            while self._is_open:
                for key, _mask in selector.select(0.02):
                    if key.fileobj is self._listener:
                        self._accept(selector)
                    else:
                        self._forward(selector, key)
            for key in list(selector.get_map().values()):
                key.fileobj.close()

    def _accept(self, selector):
        inbound, _address = self._listener.accept()
        host, port = self._target.rsplit(":", 1)
        outbound = socket.create_connection((host, int(port)))
        selector.register(inbound, selectors.EVENT_READ, (outbound, "server"))
        selector.register(outbound, selectors.EVENT_READ, (inbound, "client"))

    def _forward(self, selector, key):
        other, towards = key.data
        is_dropped = self.drop_to_server if towards == "server" else self.drop_to_client
        try:
            data = key.fileobj.recv(65536)
        except OSError:
            data = b""
        if data and not is_dropped:
            with contextlib.suppress(OSError):
                other.sendall(data)
        elif not data:
            selector.unregister(key.fileobj)
            if not is_dropped:
                with contextlib.suppress(OSError):
                    other.shutdown(socket.SHUT_WR)
