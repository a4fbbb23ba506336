"""Envelopes of requests between daemons: encoding, authentication, decoding."""

import base64
import binascii
import hashlib
import hmac
import math

import cbor2

from bilberryridge.core import requests
from bilberryridge.transport import errors

N_FIELDS = 6
MAX_PATH = 8
MAX_NAME_CHARACTERS = 256
MAX_REMAINING_S = 86_400.0
MAX_ENCODED_BYTES = 8192


def encode(envelope: requests.Envelope) -> str:
    """Encode an envelope as base64url of a CBOR array."""
    fields = [
        list(envelope.path),
        envelope.organisation,
        envelope.remaining_s,
        envelope.revision,
        envelope.is_relay,
        envelope.owner,
    ]
    return base64.urlsafe_b64encode(cbor2.dumps(fields)).decode()


def mac(
    shared_key: bytes,
    encoded: str,
    request_id: str,
    method: str,
    target: str,
    body: bytes,
) -> str:
    """Hexadecimal HMAC-SHA256 over every field on which the receiver acts."""
    parts = (encoded, request_id, method, target, hashlib.sha256(body).hexdigest())
    text = "\n".join(parts).encode()
    return hmac.new(shared_key, text, hashlib.sha256).hexdigest()


def is_same_mac(given: str, expected: str) -> bool:
    """Compare two MACs in constant time."""
    return hmac.compare_digest(given.encode(), expected.encode())


def decode(encoded: str) -> requests.Envelope:
    """Decode an envelope.

    Raises
    ------
    errors.EnvelopeError
        If it is malformed or a field is out of bounds.

    Examples
    --------
    >>> sent = requests.Envelope(("a",), "org", 2.5, 7, True, "b/1")
    >>> decode(encode(sent)) == sent
    True
    """
    if len(encoded) > MAX_ENCODED_BYTES:
        raise errors.EnvelopeError("the envelope is too long")
    try:
        fields = cbor2.loads(base64.urlsafe_b64decode(encoded))
    except (binascii.Error, ValueError, cbor2.CBORError, RecursionError) as exc:
        raise errors.EnvelopeError("the envelope can't be read") from exc
    if not isinstance(fields, list) or len(fields) != N_FIELDS:
        raise errors.EnvelopeError("the envelope has the wrong fields")
    path, organisation, remaining_s, revision, is_relay, owner = fields
    if not isinstance(path, list) or not 1 <= len(path) <= MAX_PATH:
        raise errors.EnvelopeError("the envelope's path is out of bounds")
    if not all(_is_name(name) for name in path) or not _is_name(organisation):
        raise errors.EnvelopeError("a name in the envelope is no name")
    if not _is_time(remaining_s) or type(revision) is not int or revision < 0:
        raise errors.EnvelopeError("a number in the envelope is out of bounds")
    if type(is_relay) is not bool or not _is_name(owner):
        raise errors.EnvelopeError("the envelope doesn't say what it is for")
    return requests.Envelope(
        tuple(path), organisation, float(remaining_s), revision, is_relay, owner
    )


def _is_name(value: object) -> bool:
    return isinstance(value, str) and len(value) <= MAX_NAME_CHARACTERS


def _is_time(value: object) -> bool:
    if type(value) not in (float, int):
        return False
    number = float(value)  # type: ignore[arg-type]
    return math.isfinite(number) and 0.0 <= number <= MAX_REMAINING_S
