"""Header fields that are forwarded from one connection to the other.

References
----------
RFC 9110, section 7.6.1, hop-by-hop fields.
"""

from collections.abc import Iterable

from werkzeug import http

REQUEST_ID = "X-Request-Id"
TRACE_PARENT = "traceparent"
IDEMPOTENCY_KEY = "Idempotency-Key"
RETRY_AFTER = "Retry-After"
OUTCOME = "Bilberryridge-Outcome"
ENVELOPE = "Bilberryridge-Envelope"
ENVELOPE_MAC = "Bilberryridge-Envelope-Mac"
STREAM_ORIGIN = "Bilberryridge-Stream-Origin"
SERVER_REACHED = "Bilberryridge-Server-Reached"
BODY_KEPT = "Bilberryridge-Body-Kept"
PRIVATE_PREFIX = "bilberryridge-"

Fields = tuple[tuple[str, str], ...]

_HOP_BY_HOP = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
_SET_BY_THE_EDGE = frozenset(
    [
        "authorization",
        "content-length",
        "expect",
        "host",
        REQUEST_ID.lower(),
        TRACE_PARENT,
    ]
)
_ANSWER_SET_BY_THE_EDGE = frozenset([REQUEST_ID.lower(), TRACE_PARENT])


def encode_flag(is_set: bool) -> str:
    """Return the value of a field that says yes or no."""
    return "1" if is_set else "0"


def encode(fields: Fields) -> list[tuple[bytes, bytes]]:
    """Return fields as the bytes from which they were read; values need not be ASCII.

    References
    ----------
    RFC 9110, section 5.5, obs-text.
    """
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields]


def _named_in_connection(fields: Iterable[tuple[str, str]]) -> set[str]:
    """Names that the Connection field declares hop-by-hop."""
    named: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            named.update(http.parse_set_header(value).as_set())
    return named


def end_to_end_fields(fields: Fields, dropped: frozenset[str]) -> Fields:
    """Fields without the hop-by-hop ones, the daemons' own and those in `dropped`.

    Parameters
    ----------
    fields : tuple of (str, str)
    dropped : frozenset of str
        Names in lower case.

    Examples
    --------
    >>> fields = (("Connection", "x-a"), ("X-A", "1"), ("Host", "h"), ("X-B", "2"))
    >>> end_to_end_fields(fields, frozenset(["host"]))
    (('X-B', '2'),)
    """
    dropped = _HOP_BY_HOP | dropped | _named_in_connection(fields)
    return tuple(
        (name, value)
        for name, value in fields
        if name.lower() not in dropped and not name.lower().startswith(PRIVATE_PREFIX)
    )


def forwarded_request_fields(fields: Fields) -> Fields:
    """Fields of a caller's request that are forwarded to the server.

    Examples
    --------
    >>> forwarded_request_fields((("Host", "a"), ("Accept", "b"), ("TE", "c")))
    (('Accept', 'b'),)
    """
    return end_to_end_fields(fields, _SET_BY_THE_EDGE)


def forwarded_answer_fields(fields: Fields, is_from_daemon: bool) -> Fields:
    """Fields of an answer that are forwarded to the caller.

    Only another daemon may report the outcome of a request; the daemons' own fields
    are removed from the answer of a backend server.

    Examples
    --------
    >>> fields = (("Server", "a"), ("Bilberryridge-Outcome", "not_run"))
    >>> forwarded_answer_fields(fields, is_from_daemon=False)
    (('Server', 'a'),)
    """
    dropped = _HOP_BY_HOP | _ANSWER_SET_BY_THE_EDGE | _named_in_connection(fields)
    return tuple(
        (name, value)
        for name, value in fields
        if name.lower() not in dropped
        and (is_from_daemon or not name.lower().startswith(PRIVATE_PREFIX))
    )


def find(fields: Fields, field_name: str) -> str:
    """Value of the first field with this name; empty if there is none."""
    field_name = field_name.lower()
    for name, value in fields:
        if name.lower() == field_name:
            return value
    return ""


def without(fields: Fields, *names: str) -> Fields:
    """Fields without those of the given names (lower case)."""
    return tuple(field for field in fields if field[0].lower() not in names)
