"""Envelope of a request that is relayed to a daemon of another region."""

import base64
import binascii

import attrs
import cbor2

from bilberryridge.transport import errors


@attrs.frozen
class Envelope:
    """Metadata of a relayed request.

    Parameters
    ----------
    request_id : str
        Id at the sending daemon, for logs.
    remaining_s : float
        Time left until the deadline of the answer.
    table_version : int
        Version of the routing table that the sender used.
    """

    request_id: str
    remaining_s: float
    table_version: int


def encode(envelope: Envelope) -> str:
    """Encode an envelope as a header value.

    Examples
    --------
    >>> decode(encode(Envelope("a", 1.5, 3)))
    Envelope(request_id='a', remaining_s=1.5, table_version=3)
    """
    return base64.urlsafe_b64encode(cbor2.dumps(attrs.astuple(envelope))).decode()


def decode(text: str) -> Envelope:
    """Decode a header value.

    Raises
    ------
    errors.EnvelopeError
        If the value is malformed.
    """
    try:
        request_id, remaining_s, version = cbor2.loads(base64.urlsafe_b64decode(text))
        return Envelope(str(request_id), float(remaining_s), int(version))
    except (binascii.Error, cbor2.CBORError, TypeError, ValueError) as exc:
        raise errors.EnvelopeError(f"unreadable envelope: {exc}") from exc
