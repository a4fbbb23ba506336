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
        Proves requests between the daemons of the deployment.
    max_head_bytes, max_body_bytes : int
        Of a caller's request.
    max_bodies_bytes : int
        Of all requests that are open, together.
    head_deadline_s, body_deadline_s : float
        Time for a whole head, and for the body after it.
    idle_deadline_s : float
        Time a connection may stay without a request, or without taking any output.
    max_connections, max_connections_per_address : int
        On the callers' port; the relay port has as many in all for itself.
    max_buffered_bytes : int
        Output waiting for one caller above which its source is paused.
    max_held_bytes : int
        Part of an answer that is held until it is whole or committed.
    drain_deadline_s : float
        Time that callers have for output that waits when the task is closed.
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
