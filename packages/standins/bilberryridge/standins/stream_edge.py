"""Runs the edge task with a node that sends every request to one server.

``python -m bilberryridge.standins.stream_edge ADDRESS RELAY_ADDRESS SERVER [PROFILE]``
serves until its standard input ends; with PROFILE it writes a profile there.
"""

import contextlib
import cProfile
import sys
import threading
import time
from collections.abc import Iterator

from bilberryridge.core import outcomes
from bilberryridge.decisions import effects, events
from bilberryridge.transport import edge
from bilberryridge.utilities import metrics

DEADLINE_S = 300.0
MAX_CONNECTIONS = 8192
REFUSAL = outcomes.Refusal(outcomes.Reason.NO_SERVER, outcomes.Outcome.UNKNOWN)


class Node:
    """Sends every request to one server.

    Parameters
    ----------
    server : str
        ``host:port``.
    """

    def __init__(self, server: str):
        self._server = server
        self.task: edge.Edge

    def post(self, event: events.Event) -> None:
        """Handle an event of the edge."""
        if isinstance(event, events.RequestArrived):
            self.task.put(self._attempt_of(event))
        elif isinstance(event, events.AttemptEnded) and not event.is_committed:
            self.task.put(effects.Refuse(event.request_id, REFUSAL))

    def _attempt_of(self, event: events.RequestArrived) -> effects.SendAttempt:
        deadline_s = time.monotonic() + DEADLINE_S
        return effects.SendAttempt(
            request_id=event.req.request_id,
            attempt=1,
            vm="source",
            address=self._server,
            envelope=None,
            deadline_s=deadline_s,
            first_byte_deadline_s=deadline_s,
            is_at_most_once=False,
            has_content=True,
        )


@contextlib.contextmanager
def _profiled(path: str) -> Iterator[None]:
    if not path:
        yield
        return
    profile = cProfile.Profile()
    with profile:
        yield
    profile.dump_stats(path)


def _close_at_end_of_input(task: edge.Edge) -> None:
    sys.stdin.read()
    task.close()
    task.close()


def _address_of(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def main() -> None:
    """Serve until the input ends."""
    cfg = edge.EdgeSettings(
        vm="edge",
        caller_address=_address_of(sys.argv[1]),
        relay_address=_address_of(sys.argv[2]),
        shared_key=b"a key for runs on loopback",
        max_connections=MAX_CONNECTIONS,
        max_connections_per_address=MAX_CONNECTIONS,
    )
    profile = sys.argv[4] if len(sys.argv) > 4 else ""
    node = Node(sys.argv[3])
    with edge.open_edge(cfg, node.post, metrics.NullMetrics()) as task:
        node.task = task
        stopper = threading.Thread(target=_close_at_end_of_input, args=(task,))
        stopper.start()
        print("ready", flush=True)
        with _profiled(profile):
            task.run()
        stopper.join()


if __name__ == "__main__":
    main()
