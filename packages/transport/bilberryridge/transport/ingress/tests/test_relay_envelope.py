"""Envelopes of relayed requests, also of and for daemons of the previous build."""

import base64

import cbor2
import pytest

from bilberryridge.core import ingress
from bilberryridge.transport import errors
from bilberryridge.transport.ingress import relay_envelope

ORIGIN = ingress.StreamOrigin("model", "v1")
DIGEST = bytes(range(32))


def encode_row(row):
    return base64.urlsafe_b64encode(cbor2.dumps(row)).decode()


def decode_row(text):
    return cbor2.loads(base64.urlsafe_b64decode(text))


@pytest.mark.parametrize("origin", [None, ORIGIN])
@pytest.mark.parametrize("key_digest", [b"", DIGEST])
def test_envelope_with_optional_parts_is_read_as_it_was_written(origin, key_digest):
    envelope = relay_envelope.Envelope("7", 1.5, 3, origin, key_digest)
    assert relay_envelope.decode(relay_envelope.encode(envelope)) == envelope
    assert repr(DIGEST) not in repr(envelope)


@pytest.mark.parametrize(
    ("row", "origin"),
    [(["7", 1.5, 3], None), (["7", 1.5, 3, ["model", "v1"]], ORIGIN)],
)
def test_envelope_of_the_previous_build_has_no_digest(row, origin):
    envelope = relay_envelope.decode(encode_row(row))
    assert envelope == relay_envelope.Envelope("7", 1.5, 3, origin)
    # Without a digest it is written as the previous build does.
    assert decode_row(relay_envelope.encode(envelope)) == row


def test_previous_build_refuses_a_request_with_a_digest_as_one_it_cannot_continue():
    # It reads the first four parts, of which the fourth must be two texts: a malformed
    # one is refused with 401, which the sender would pass on to the caller.
    for origin in (None, ORIGIN):
        envelope = relay_envelope.Envelope("7", 1.5, 3, origin, DIGEST)
        _, _, _, *rest = decode_row(relay_envelope.encode(envelope))
        service, version = rest[0]
        assert isinstance(service, str)
        assert isinstance(version, str)
        assert (service == "") == (origin is None)


@pytest.mark.parametrize(
    "row",
    [
        ["7", 1.5],
        ["7", 1.5, 3, None],
        ["7", 1.5, 3, "abc", DIGEST],
        ["7", 1.5, 3, ["", ""], "text"],
        ["7", 1.5, 3, ["", ""], None],
    ],
)
def test_malformed_envelope_is_refused(row):
    with pytest.raises(errors.EnvelopeError):
        relay_envelope.decode(encode_row(row))


def test_further_parts_of_a_later_build_are_ignored():
    row = ["7", 1.5, 3, ["", ""], DIGEST, "more"]
    expected = relay_envelope.Envelope("7", 1.5, 3, None, DIGEST)
    assert relay_envelope.decode(encode_row(row)) == expected
