import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from bilberryridge.core import documents, messages
from bilberryridge.peers import codec

LOAD = messages.ServerLoad("s", 1, 2)
SUMMARY = messages.DomainSummary("d", 15, (messages.ServiceCapacity("s", 16, 3, 0),))
VERSION = documents.Version("vm/a", 7, b"{}")
BODIES = [
    messages.Heartbeat(True, 3, True),
    messages.OutcomeRequest("growers\nkey"),
    messages.OutcomeMissing("growers\nkey"),
    messages.LoadDelta(500, (LOAD, LOAD)),
    messages.LoadDelta(0, ()),
    messages.DomainSummaries((SUMMARY,)),
    messages.ConfigurationRequest(12),
    messages.ConfigurationChanges(3, 9, (VERSION, documents.Version("vm/b", 9, b""))),
    messages.OutcomeCopy("o/k", b"\1" * 32, 200, (("a", "b"),), b"body", 60.0),
    messages.LeavingServers(("s", "t")),
]


def frame(body):
    return messages.Frame("a", "i", 5, body)


@pytest.mark.parametrize("body", BODIES)
def test_decoded_message_equals_the_encoded_one(body):
    assert codec.decode(codec.encode(frame(body))) == frame(body)


def test_unknown_kind_is_not_an_error():
    encoded = cbor2.dumps(["a", "i", 5, "later_kind", {"x": 1}])
    assert codec.decode(encoded) == codec.UnknownMessage("a", "i", "later_kind")


HEAD = ["a", "i", 5]
BAD = [
    b"",
    b"\xff",
    b"\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
    b"\x5b\x00\xff\xff\xff\xff\xff\xff\xff",
    b"\x81" * 100,
    b"\x9f\x01\xff",
    cbor2.dumps([*HEAD, "heartbeat", False, 1]) + b"\0",
    cbor2.dumps({"kind": "heartbeat"}),
    cbor2.dumps(HEAD),
    cbor2.dumps(["a", "i", "5", "heartbeat", False, 1]),
    cbor2.dumps(["a", "i", -1, "heartbeat", False, 1]),
    cbor2.dumps(["a", "i", 2**63, "heartbeat", False, 1]),
    cbor2.dumps(["a" * 10000, "i", 5, "heartbeat", False, 1]),
    cbor2.dumps([*HEAD, b"heartbeat", False, 1]),
    cbor2.dumps([*HEAD, "heartbeat", False]),
    cbor2.dumps([*HEAD, "heartbeat", False, 1, 2]),
    cbor2.dumps([*HEAD, "heartbeat", 0, 1]),
    cbor2.dumps([*HEAD, "heartbeat", False, True]),
    cbor2.dumps([*HEAD, "heartbeat", False, 1.0]),
    cbor2.dumps([*HEAD, "heartbeat", False, None]),
    cbor2.dumps([*HEAD, "load_delta", [["s", 1, 2, float("nan"), False]]]),
    cbor2.dumps([*HEAD, "load_delta", [["s", 1, 2, float("inf"), False]]]),
    cbor2.dumps([*HEAD, "load_delta", [["s", 1, 2, -0.5, False]]]),
    cbor2.dumps([*HEAD, "load_delta", [["s", 1, 2, 2**70, False]]]),
    cbor2.dumps([*HEAD, "load_delta", [[]] * (codec.MAX_LOADS + 1)]),
    cbor2.dumps([*HEAD, "configuration_changes", 1, 2, [["vm/a", 2, "text"]]]),
    cbor2.dumps([*HEAD, "outcome_copy", "s", b"\1" * 65, 200, [], b"", 1.0]),
    # 10 ** 10 ** 9 as a decimal fraction and as a big float, both costly to build
    cbor2.dumps([*HEAD, "heartbeat", False, cbor2.CBORTag(4, [10**9, 1])]),
    cbor2.dumps([*HEAD, "heartbeat", False, cbor2.CBORTag(5, [10**9, 1])]),
]


@pytest.mark.parametrize("encoded", BAD)
def test_invalid_bytes_are_refused(encoded):
    with pytest.raises(codec.CodecError):
        codec.decode(encoded)


@pytest.mark.parametrize("tag", [0, 2, 4, 5, 25, 28, 30, 35, 36, 258, 260])
def test_no_object_is_built_for_a_tag(tag):
    # Decoding a MIME message (tag 36) of the largest size would take a second.
    encoded = cbor2.dumps([*HEAD, "heartbeat", cbor2.CBORTag(tag, "a: b"), 1])
    with pytest.raises(codec.CodecError, match="tags are not used"):
        codec.decode(encoded)


@pytest.mark.parametrize(
    "body",
    [
        messages.Heartbeat(False, -1),
        messages.LoadDelta(0, (LOAD,) * (codec.MAX_LOADS + 1)),
        messages.OutcomeCopy("s", b"", 200, (), b"x" * codec.MAX_MESSAGE_BYTES, 1.0),
    ],
)
def test_message_that_peers_would_refuse_is_not_encoded(body):
    with pytest.raises(codec.CodecError):
        codec.encode(frame(body))


bounded = hypothesis.settings(max_examples=300)
anything = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.binary(max_size=20)
    | strategies.text(max_size=20)
    | strategies.datetimes().map(lambda at: cbor2.CBORTag(0, at.isoformat()))
    | strategies.builds(cbor2.CBORTag, strategies.integers(0, 300), strategies.none()),
    lambda items: strategies.lists(items, max_size=6),
    max_leaves=20,
)
kinds = strategies.sampled_from(
    [codec.kind_of(body) for body in BODIES] + ["later_kind"]
)


def decode_or_refuse(encoded):
    try:
        decoded = codec.decode(encoded)
    except codec.CodecError:
        return
    if isinstance(decoded, messages.Frame):
        assert codec.decode(codec.encode(decoded)) == decoded


@bounded
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_are_decoded_or_refused(encoded):
    decode_or_refuse(encoded)


@bounded
@hypothesis.given(kinds, strategies.lists(anything, max_size=7))
def test_arbitrary_fields_are_decoded_or_refused(kind, fields):
    decode_or_refuse(cbor2.dumps(["a", "i", 5, kind, *fields]))


@bounded
@hypothesis.given(
    strategies.sampled_from(BODIES),
    strategies.integers(0, 10**6),
    strategies.integers(0, 255),
)
def test_message_with_one_changed_byte_is_decoded_or_refused(body, position, value):
    encoded = bytearray(codec.encode(frame(body)))
    encoded[position % len(encoded)] = value
    decode_or_refuse(bytes(encoded))
