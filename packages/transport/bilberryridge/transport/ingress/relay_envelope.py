"""What daemons add to the heads of requests that they relay and of the answers."""

import base64
import binascii
from collections.abc import Sequence
from typing import Any

import attrs
import cbor2

from bilberryridge.core import ingress
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
    origin : StreamOrigin or None
        What alone can continue the stream; None for a new one.
    key_digest : bytes
        Of the caller's key; empty if it needs none, or if a daemon of an older build
        sends the request.
    """

    request_id: str
    remaining_s: float
    table_version: int
    origin: ingress.StreamOrigin | None = None
    key_digest: bytes = attrs.field(default=b"", repr=False)


NO_ORIGIN = ("", "")
"""Takes the place of the origin of a new stream before a key digest. A daemon of an
older build, which checks no keys and names no organisation to servers, then finds no
service of that name and refuses the request as not run; an absent origin there would
be malformed to it, and its refusal would be taken for a server's answer."""


def encode(envelope: Envelope) -> str:
    """Encode an envelope as a header value.

    Examples
    --------
    >>> decode(encode(Envelope("a", 1.5, 3)))
    Envelope(request_id='a', remaining_s=1.5, table_version=3, origin=None)
    """
    row: list[object] = [
        envelope.request_id,
        envelope.remaining_s,
        envelope.table_version,
    ]
    origin = attrs.astuple(envelope.origin) if envelope.origin else None
    # A daemon of an older build refuses what it can't continue rightly.
    if envelope.key_digest:
        row += [origin or NO_ORIGIN, envelope.key_digest]
    elif origin is not None:
        row.append(origin)
    return _encode_row(row)


def decode(text: str) -> Envelope:
    """Decode a header value.

    Raises
    ------
    errors.EnvelopeError
        If the value is malformed.
    """
    try:
        request_id, remaining_s, version, *rest = _decode_row(text)
        has_origin = bool(rest) and tuple(rest[0]) != NO_ORIGIN
        origin = _origin(rest[0]) if has_origin else None
        key_digest = _digest(rest[1]) if len(rest) > 1 else b""
        return Envelope(
            str(request_id), float(remaining_s), int(version), origin, key_digest
        )
    except (TypeError, ValueError, OverflowError) as exc:
        raise errors.EnvelopeError(f"unreadable envelope: {exc}") from exc


def encode_origin(origin: ingress.StreamOrigin) -> str:
    """Encode the origin of a relayed stream as a header value.

    Examples
    --------
    >>> decode_origin(encode_origin(ingress.StreamOrigin("model", "v 1")))
    StreamOrigin(service='model', version='v 1')
    """
    return _encode_row(attrs.astuple(origin))


def decode_origin(text: str) -> ingress.StreamOrigin:
    """Decode a header value.

    Raises
    ------
    errors.EnvelopeError
        If the value is malformed.
    """
    try:
        return _origin(_decode_row(text))
    except (TypeError, ValueError) as exc:
        raise errors.EnvelopeError(f"unreadable stream origin: {exc}") from exc


def _origin(row: Any) -> ingress.StreamOrigin:
    service, version = row
    return ingress.StreamOrigin(str(service), str(version))


def _digest(value: Any) -> bytes:
    if not isinstance(value, bytes):
        raise TypeError("the digest of a key is no bytes")
    return value


def _encode_row(row: Sequence[object]) -> str:
    return base64.urlsafe_b64encode(cbor2.dumps(row)).decode()


def _decode_row(text: str) -> Any:
    try:
        return cbor2.loads(base64.urlsafe_b64decode(text))
    except (binascii.Error, cbor2.CBORError, RecursionError) as exc:
        raise errors.EnvelopeError(f"unreadable envelope: {exc}") from exc
