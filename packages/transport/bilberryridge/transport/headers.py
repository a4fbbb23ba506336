"""Which header fields go on from one side to the other.

References
----------
RFC 9110, section 7.6.1, fields of one connection only.
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
BODY_KEPT = "Bilberryridge-Body-Kept"
OWN_PREFIX = "bilberryridge-"

Fields = tuple[tuple[str, str], ...]

_OF_ONE_CONNECTION = frozenset(
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


def _named_in_connection(fields: Iterable[tuple[str, str]]) -> set[str]:
    """Names that the Connection field limits to this connection."""
    named: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            named.update(http.parse_set_header(value).as_set())
    return named


def end_to_end_fields(fields: Fields, dropped: frozenset[str]) -> Fields:
    """Fields but for those of one connection and those given (lower case).

    Examples
    --------
    >>> fields = (("Connection", "x-a"), ("X-A", "1"), ("Host", "h"), ("X-B", "2"))
    >>> end_to_end_fields(fields, frozenset(["host"]))
    (('X-B', '2'),)
    """
    dropped = _OF_ONE_CONNECTION | dropped | _named_in_connection(fields)
    return tuple(
        (name, value)
        for name, value in fields
        if name.lower() not in dropped and not name.lower().startswith(OWN_PREFIX)
    )


def of_request(fields: Fields) -> Fields:
    """Fields of a caller's request that go on to the other side.

    Examples
    --------
    >>> of_request((("Host", "a"), ("Accept", "b"), ("TE", "c")))
    (('Accept', 'b'),)
    """
    return end_to_end_fields(fields, _SET_BY_THE_EDGE)


def of_answer(fields: Fields, is_daemon: bool) -> Fields:
    """Fields of an answer that go on to the caller.

    Only a daemon's word on what ran is passed on; a backend server can't say it.

    Examples
    --------
    >>> of_answer((("Server", "a"), ("Bilberryridge-Outcome", "not_run")), False)
    (('Server', 'a'),)
    """
    dropped = (
        _OF_ONE_CONNECTION | _ANSWER_SET_BY_THE_EDGE | _named_in_connection(fields)
    )
    return tuple(
        (name, value)
        for name, value in fields
        if name.lower() not in dropped
        and (is_daemon or not name.lower().startswith(OWN_PREFIX))
    )


def find(fields: Fields, wanted: str) -> str:
    """Value of the first field with that name; empty when there is none."""
    wanted = wanted.lower()
    for name, value in fields:
        if name.lower() == wanted:
            return value
    return ""


def without(fields: Fields, *names: str) -> Fields:
    """The fields but for those with the given names (lower case)."""
    return tuple(field for field in fields if field[0].lower() not in names)
