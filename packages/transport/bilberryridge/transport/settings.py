"""Settings of the edge task."""

import attrs

Address = tuple[str, int]
"""Host and port."""


@attrs.frozen
class EdgeSettings:
    """Addresses, limits and deadlines of the edge task.

    Parameters
    ----------
    vm : str
        Name of this VM.
    caller_address, relay_address : (str, int)
        Host and port to listen on.
    shared_key : bytes
        Authenticates requests between the daemons of the deployment.
    max_head_bytes, max_body_bytes : int
        Limits on one request.
    max_bodies_bytes : int
        Limit on the bodies of all open requests together.
    head_deadline_s, body_deadline_s : float
        Time to receive the complete head, and then the body.
    idle_deadline_s : float
        Longest time without a request, or without accepting any output.
    max_connections, max_connections_per_address : int
        On the callers' port; the relay port has its own `max_connections` and no
        limit per address below it.
    max_buffered_bytes : int
        Buffered output of one caller above which the source is paused.
    max_held_bytes : int
        Largest part of an answer that is held back until it is complete or committed.
    drain_deadline_s : float
        Time for callers to read buffered output when the task is closed.
    """

    vm: str
    caller_address: Address
    relay_address: Address
    shared_key: bytes = attrs.field(repr=False)
    max_head_bytes: int = 32_768
    max_body_bytes: int = 8 << 20
    max_bodies_bytes: int = 64 << 20
    head_deadline_s: float = 10.0
    body_deadline_s: float = 30.0
    idle_deadline_s: float = 60.0
    max_connections: int = 4096
    max_connections_per_address: int = 1024
    max_buffered_bytes: int = 65_536
    max_held_bytes: int = 1 << 20
    drain_deadline_s: float = 30.0
