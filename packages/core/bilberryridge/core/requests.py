"""A caller's request as the decisions see it, without its body."""

import enum

import attrs


class Priority(enum.Enum):
    """The class of a request for queues and engines; a lower value goes first."""

    QUICK = 0
    LONG = 1


@attrs.frozen
class Envelope:
    """What a request carries between two daemons.

    Parameters
    ----------
    path : tuple of str
        Names of the VMs that it has passed, the first entry VM first.
    organisation : str
    remaining_s : float
        Time left until its deadline when it was sent on.
    revision : int
        Newest revision of the documents that govern it, as the sender has them.
    is_relay : bool
        Whether it is sent to the owner of its idempotency key; else it is sent to
        be served, and the receiver never sends it to another domain.
    owner : str
        ``<vm>/<incarnation>`` that alone may run it, when it is a relay.
    """

    path: tuple[str, ...]
    organisation: str
    remaining_s: float
    revision: int
    is_relay: bool = False
    owner: str = ""


@attrs.frozen
class Request:
    """A request with everything that its placement depends on.

    Parameters
    ----------
    request_id : str
    method : str
    service : str
        Service name; for a model service the model's name.
    path : str
        Path and query at the backend server.
    caller_digest : str
        Hexadecimal SHA-256 digest of the bearer token; empty when forwarded.
    idempotency_key : str
        Empty when there is none.
    body_digest : bytes
        SHA-256 of method, path and body, to notice a key reused for another request.
    n_body_bytes : int
    prefix_digests : tuple of int
        Digests of the prompt's prefixes at block boundaries, the shortest first.
    n_prompt_tokens, n_output_tokens : int
        Estimated; 0 for a plain service.
    priority : Priority
    is_streamed : bool
    envelope : Envelope or None
        Set when another daemon sent the request on.
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
