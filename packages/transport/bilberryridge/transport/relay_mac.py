"""Authentication of requests that another daemon of the deployment forwards.

See Also
--------
bilberryridge.transport.envelope : encodes envelopes and computes their MACs.
"""

import re

from bilberryridge.core import outcomes, requests
from bilberryridge.transport import envelope, errors, headers, routes

_REQUEST_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


def require(head: routes.Head) -> None:
    """Refuse a request without a MAC before its body is read.

    Raises
    ------
    errors.BadRequestError
        If the field is missing.
    """
    if not headers.find(head.fields, headers.ENVELOPE_MAC):
        raise _unauthenticated()


def verify(
    shared_key: bytes, head: routes.Head, body: bytes
) -> tuple[str, requests.Envelope]:
    """Check the MAC of a complete request; return its id and envelope.

    Raises
    ------
    errors.BadRequestError
        If the MAC or the id is wrong or the envelope can't be decoded.
    """
    encoded = headers.find(head.fields, headers.ENVELOPE)
    request_id = headers.find(head.fields, headers.REQUEST_ID)
    given = headers.find(head.fields, headers.ENVELOPE_MAC)
    expected = envelope.mac(
        shared_key, encoded, request_id, head.method, head.target, body
    )
    is_authentic = envelope.is_same_mac(given, expected)
    if not is_authentic or not _REQUEST_ID.fullmatch(request_id):
        raise _unauthenticated()
    try:
        return request_id, envelope.decode(encoded)
    except errors.EnvelopeError as exc:
        reason = outcomes.Reason.BAD_REQUEST
        raise errors.BadRequestError(reason, str(exc)) from exc


def make_fields(
    shared_key: bytes,
    sent: requests.Envelope,
    request_id: str,
    head: routes.Head,
    body: bytes,
) -> headers.Fields:
    """Envelope and MAC fields of a request that is forwarded."""
    encoded = envelope.encode(sent)
    code = envelope.mac(shared_key, encoded, request_id, head.method, head.target, body)
    return ((headers.ENVELOPE, encoded), (headers.ENVELOPE_MAC, code))


def _unauthenticated() -> errors.BadRequestError:
    detail = "only daemons of this deployment may ask here"
    return errors.BadRequestError(outcomes.Reason.UNAUTHENTICATED, detail)
