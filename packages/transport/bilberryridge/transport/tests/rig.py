"""An edge task with a simple stand-in for the node, and callers on raw sockets."""

import contextlib
import json
import socket
import threading
import time
from collections.abc import Iterator
from concurrent import futures

import attrs
import h11

from bilberryridge.core import outcomes
from bilberryridge.decisions import effects, events
from bilberryridge.transport import edge

GENEROUS_S = 20.0
SHARED_KEY = b"a key of the tests"
LOST = outcomes.Refusal(outcomes.Reason.ANSWER_LOST, outcomes.Outcome.UNKNOWN)
NOT_RUN = outcomes.Refusal(
    outcomes.Reason.NO_SERVER, outcomes.Outcome.NOT_RUN, "", retry_after_s=2.0
)
RESULT = events.AttemptResult


class Counters:
    def __init__(self):
        self.counts: dict[tuple, int] = {}

    def count(self, name, labels=(), n=1):
        key = (name, *labels)
        self.counts[key] = self.counts.get(key, 0) + n

    def observe_s(self, name, labels, seconds):
        pass


@attrs.define
class Node:
    """Sends each request once, to `address`, and answers it if the attempt fails."""

    address: str
    deadline_s: float = GENEROUS_S
    first_byte_s: float = GENEROUS_S
    is_at_most_once: bool = False
    has_content: bool = True
    envelope: object = None
    is_responding: bool = True
    seen: list = attrs.field(factory=list)
    task: object = None
    changed: threading.Condition = attrs.field(factory=threading.Condition)

    def post(self, event: events.Event) -> None:
        with self.changed:
            self.seen.append(event)
            self.changed.notify_all()
        if not self.is_responding:
            return
        if isinstance(event, events.RequestArrived):
            self.send(event.req.request_id)
        elif isinstance(event, events.AttemptEnded) and not event.is_committed:
            self.resolve(event)

    def send(self, request_id: str, attempt: int = 1) -> None:
        now_s = time.monotonic()
        effect = effects.SendAttempt(
            request_id,
            attempt,
            "server",
            self.address,
            self.envelope,
            now_s + self.deadline_s,
            now_s + self.first_byte_s,
            self.is_at_most_once,
            self.has_content,
        )
        self.task.put(effect)

    def resolve(self, ended: events.AttemptEnded) -> None:
        if ended.result is RESULT.FAILED:
            self.task.put(effects.PassAnswer(ended.request_id))
        else:
            is_not_run = ended.result in (RESULT.NOT_SENT, RESULT.REFUSED)
            refusal = NOT_RUN if is_not_run else LOST
            self.task.put(effects.Refuse(ended.request_id, refusal))

    def wait_for(self, kind: type, n: int = 1):
        """Wait for the nth event of a class and return it."""

        def matching():
            return [event for event in self.seen if isinstance(event, kind)]

        with self.changed:
            assert self.changed.wait_for(lambda: len(matching()) >= n, GENEROUS_S), kind
        return matching()[n - 1]


@attrs.define
class Answer:
    status: int
    fields: dict[str, str]
    body: bytes
    is_whole: bool

    @property
    def problem(self) -> dict:
        return json.loads(self.body)


class Caller:
    """A caller on a raw socket that parses answers with h11."""

    def __init__(self, address):
        self.sock = socket.create_connection(address, GENEROUS_S)
        self.parser = h11.Connection(h11.CLIENT)

    def send_raw(self, data: bytes) -> None:
        with contextlib.suppress(OSError):
            self.sock.sendall(data)

    def send(self, method: str, target: str, body: bytes = b"", fields=()) -> None:
        lines = [("Host", "edge"), ("Content-Length", str(len(body))), *fields]
        head = h11.Request(method=method, target=target, headers=lines)
        self.send_raw(self.parser.send(head))
        if body:
            self.send_raw(self.parser.send(h11.Data(data=body)))
        self.send_raw(self.parser.send(h11.EndOfMessage()) or b"")

    def request(self, method: str, target: str, body: bytes = b"", fields=()) -> Answer:
        self.send(method, target, body, fields)
        answer = self.read()
        if answer.is_whole and self.parser.our_state is h11.DONE:
            with contextlib.suppress(h11.LocalProtocolError):
                self.parser.start_next_cycle()
        return answer

    def read(self) -> Answer:
        head, body, is_whole = None, b"", False
        with contextlib.suppress(h11.RemoteProtocolError, ConnectionError):
            while not is_whole:
                event = self.parser.next_event()
                if event is h11.NEED_DATA:
                    self.parser.receive_data(self.sock.recv(65_536))
                elif isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.Data):
                    body += event.data
                else:
                    is_whole = isinstance(event, h11.EndOfMessage)
                    if isinstance(event, h11.ConnectionClosed):
                        break
        if head is None:
            return Answer(0, {}, b"", False)
        fields = {k.decode(): v.decode() for k, v in head.headers}
        return Answer(head.status_code, fields, body, is_whole)


@attrs.define
class Rig:
    edge: edge.Edge
    node: Node
    counters: Counters
    running: futures.Future

    def caller(self) -> Caller:
        return Caller(self.edge.caller_address)


def chat_body(is_streamed: bool = True) -> bytes:
    messages = [{"role": "user", "content": "which maples"}]
    fields = {"model": "m", "messages": messages, "stream": is_streamed}
    return json.dumps(fields).encode()


@contextlib.contextmanager
def open_rig(node: Node, **settings) -> Iterator[Rig]:
    any_port = ("127.0.0.1", 0)
    cfg = edge.EdgeSettings("vm", any_port, any_port, SHARED_KEY, **settings)
    counters = Counters()
    with (
        futures.ThreadPoolExecutor(1) as executor,
        edge.open_edge(cfg, node.post, counters) as task,
    ):
        node.task = task
        running = executor.submit(task.run)
        try:
            yield Rig(task, node, counters, running)
        finally:
            task.close()
            task.close()
            running.result(GENEROUS_S)


def wait_until(is_met) -> None:
    """Poll until a condition holds that another thread makes true."""
    waiting = threading.Event()
    for _ in range(int(GENEROUS_S * 100)):
        if is_met():
            return
        waiting.wait(0.01)
    raise AssertionError("the condition did not hold in time")
