"""The proof that a daemon of the deployment sent a request on.

See Also
--------
bilberryridge.transport.envelope : encodes envelopes and makes their codes.
"""

import re

from bilberryridge.core import outcomes, requests
from bilberryridge.transport import envelope, errors, headers, routes

_REQUEST_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


def require_mac(head: routes.Head) -> None:
    """Refuse a request without any proof before its body is read.

    Raises
    ------
    errors.BadRequestError
    """
    if not headers.find(head.fields, headers.ENVELOPE_MAC):
        raise _unauthenticated()


def verify(
    shared_key: bytes, head: routes.Head, body: bytes
) -> tuple[str, requests.Envelope]:
    """Check the proof of a whole request; return its id and envelope.

    Raises
    ------
    errors.BadRequestError
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


def proof_fields(
    shared_key: bytes,
    sent: requests.Envelope,
    request_id: str,
    head: routes.Head,
    body: bytes,
) -> headers.Fields:
    """Envelope and proof of a request that is sent on."""
    encoded = envelope.encode(sent)
    code = envelope.mac(shared_key, encoded, request_id, head.method, head.target, body)
    return ((headers.ENVELOPE, encoded), (headers.ENVELOPE_MAC, code))


def _unauthenticated() -> errors.BadRequestError:
    detail = "only daemons of this deployment may ask here"
    return errors.BadRequestError(outcomes.Reason.UNAUTHENTICATED, detail)
