"""A caller's request without its body, the input of the decisions."""

import enum

import attrs


class Priority(enum.Enum):
    """Scheduling class for queues and engines; the lower value is served first."""

    QUICK = 0
    LONG = 1


@attrs.frozen
class Envelope:
    """Metadata that a request carries between two daemons.

    Parameters
    ----------
    path : tuple of str
        Names of the entry VMs that it has passed through, in order.
    organisation : str
    remaining_s : float
        Time until its deadline when it was forwarded.
    revision : int
        Newest configuration revision, at the sender, of the documents that apply to
        it.
    is_relay : bool
        Whether it is sent to the owner of its idempotency key. Otherwise it is sent
        to be served, and the receiver never forwards it to another domain.
    owner : str
        ``<vm>/<incarnation>`` of the only daemon that may run it, if it is a relay.
    """

    path: tuple[str, ...]
    organisation: str
    remaining_s: float
    revision: int
    is_relay: bool = False
    owner: str = ""


@attrs.frozen
class Request:
    """A request with all properties that its placement depends on.

    Parameters
    ----------
    request_id : str
    method : str
    service : str
        Service name; for a model service the name of the model.
    path : str
        Path and query at the backend server.
    caller_digest : str
        Hexadecimal SHA-256 digest of the bearer token; empty when forwarded.
    idempotency_key : str
        Empty when there is none.
    body_digest : bytes
        SHA-256 of method, path and body; detects a key reused for another request.
    n_body_bytes : int
    prefix_digests : tuple of int
        Digests of the prefixes of the prompt at block boundaries, shortest first.
    n_prompt_tokens, n_output_tokens : int
        Estimated; 0 for a plain service.
    priority : Priority
    is_streamed : bool
    envelope : Envelope or None
        Set when another daemon forwarded the request.
    trace_parent : str
        W3C `traceparent` of the span that the next hop continues.
    """

    request_id: str
    method: str
    service: str
    path: str
    caller_digest: str = ""
    idempotency_key: str = ""
    body_digest: bytes = b""
    n_body_bytes: int = 0
    prefix_digests: tuple[int, ...] = ()
    n_prompt_tokens: int = 0
    n_output_tokens: int = 0
    priority: Priority = Priority.QUICK
    is_streamed: bool = False
    envelope: Envelope | None = None
    trace_parent: str = ""
