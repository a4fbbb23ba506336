"""Encoding and decoding of control messages.

A message is one CBOR array ``[sender, incarnation, revision, kind, field, ...]``; an
attrs object within it is an array of its attributes. An unknown kind is not an error,
since daemons are upgraded one by one: it is decoded to `UnknownMessage`.

References
----------
RFC 8949, Concise Binary Object Representation.
"""

import io
import operator
from collections.abc import Callable
from typing import Any, NoReturn

import attrs
import cbor2

from bilberryridge.core import documents, messages
from bilberryridge.peers import fields

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
MAX_DEPTH = 8
MAX_LOADS = 4096
MAX_DOMAINS = 1024
MAX_CAPACITIES = 256
MAX_VERSIONS = 65536
MAX_SERVERS = 16384
MAX_HEADERS = 128
MAX_HEADER_CHARS = 16384
MAX_DIGEST_BYTES = 64

N_HEADER_ITEMS = 4
"""Sender, incarnation, revision and kind precede the fields of the message."""

BUILT_IN_TAGS = (
    *range(6),
    25,
    *range(28, 31),
    *range(35, 38),
    52,
    54,
    100,
    256,
    258,
    260,
    261,
    1004,
    43000,
    55799,
)
"""Tags from which the decoder would build objects, some of them at great cost."""


class CodecError(ValueError):
    """Bytes that are not a control message, or a message that violates its bounds."""


@attrs.frozen
class UnknownMessage:
    """A message whose kind is unknown to this daemon.

    Parameters
    ----------
    sender, incarnation : str
    kind : str
    """

    sender: str
    incarnation: str
    kind: str


def _header_text(value: Any) -> str:
    if type(value) is not str or len(value) > MAX_HEADER_CHARS:
        raise fields.FieldError(f"not a text of at most {MAX_HEADER_CHARS} characters")
    return value


_SERVER_LOAD = fields.record(
    messages.ServerLoad,
    fields.text,
    fields.integer,
    fields.integer,
)
_CAPACITY = fields.record(
    messages.ServiceCapacity,
    fields.text,
    fields.integer,
    fields.integer,
    fields.integer,
)
_DOMAIN_SUMMARY = fields.record(
    messages.DomainSummary,
    fields.text,
    fields.integer,
    fields.array(_CAPACITY, MAX_CAPACITIES),
)
_VERSION = fields.record(
    documents.Version, fields.text, fields.integer, fields.data(MAX_MESSAGE_BYTES)
)
_FIELDS: dict[type, tuple[fields.Check, ...]] = {
    messages.Heartbeat: (fields.flag, fields.integer, fields.flag),
    messages.LoadDelta: (fields.integer, fields.array(_SERVER_LOAD, MAX_LOADS)),
    messages.DomainSummaries: (fields.array(_DOMAIN_SUMMARY, MAX_DOMAINS),),
    messages.ConfigurationRequest: (fields.integer,),
    messages.ConfigurationChanges: (
        fields.integer,
        fields.integer,
        fields.array(_VERSION, MAX_VERSIONS),
    ),
    messages.OutcomeCopy: (
        fields.text,
        fields.data(MAX_DIGEST_BYTES),
        fields.integer,
        fields.array(fields.pair(_header_text, _header_text), MAX_HEADERS),
        fields.data(MAX_MESSAGE_BYTES),
        fields.seconds,
    ),
    messages.OutcomeRequest: (fields.text,),
    messages.OutcomeMissing: (fields.text,),
    messages.LeavingServers: (fields.array(fields.text, MAX_SERVERS),),
}
_CLASS_BY_KIND = {
    "heartbeat": messages.Heartbeat,
    "load_delta": messages.LoadDelta,
    "summaries": messages.DomainSummaries,
    "configuration_wanted": messages.ConfigurationRequest,
    "configuration_changes": messages.ConfigurationChanges,
    "outcome_copy": messages.OutcomeCopy,
    "outcome_wanted": messages.OutcomeRequest,
    "outcome_missing": messages.OutcomeMissing,
    "leaving_servers": messages.LeavingServers,
}
_KIND_BY_CLASS = {message_class: kind for kind, message_class in _CLASS_BY_KIND.items()}


def _refuse_tag(_decoder: cbor2.CBORDecoder, *_rest: Any) -> NoReturn:
    raise cbor2.CBORDecodeError("tags are not used")


_REFUSED_TAGS = dict.fromkeys(BUILT_IN_TAGS, _refuse_tag)


def kind_of(body: messages.Message) -> str:
    """Return the kind of a message, as on the wire and in metrics.

    Examples
    --------
    >>> kind_of(messages.Heartbeat(False, 3))
    'heartbeat'
    """
    return _KIND_BY_CLASS[type(body)]


def encode(frame: messages.Frame) -> bytes:
    """Encode a frame.

    Raises
    ------
    CodecError
        A field has a wrong type or is out of bounds, or the message is too large.
    """
    body = _to_tuples(frame.body)
    header_items = (
        frame.sender,
        frame.incarnation,
        frame.revision,
        kind_of(frame.body),
    )
    try:
        _check_header_items(header_items)
        fields.sequence(body, _FIELDS[type(frame.body)])
    except fields.FieldError as exc:
        raise CodecError(f"{header_items[-1]}: {exc}") from exc
    encoded = cbor2.dumps(header_items + body)
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise CodecError(
            f"{header_items[-1]}: {len(encoded)} bytes exceed {MAX_MESSAGE_BYTES}"
        )
    return encoded


def decode(encoded: bytes) -> messages.Frame | UnknownMessage:
    """Decode a frame.

    Raises
    ------
    CodecError
        The bytes are not a control message.
    """
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise CodecError(f"message exceeds {MAX_MESSAGE_BYTES} bytes")
    items = _load_cbor(encoded)
    if type(items) is not tuple or len(items) < N_HEADER_ITEMS:
        raise CodecError("message is not an array with a sender and a kind")
    try:
        return _decode_items(items)
    except fields.FieldError as exc:
        raise CodecError(str(exc)) from exc


def _decode_items(items: tuple[Any, ...]) -> messages.Frame | UnknownMessage:
    sender, incarnation, revision, kind = _check_header_items(items[:N_HEADER_ITEMS])
    message_class = _CLASS_BY_KIND.get(kind)
    if message_class is None:
        return UnknownMessage(sender, incarnation, kind)
    body = message_class(
        *fields.sequence(items[N_HEADER_ITEMS:], _FIELDS[message_class])
    )
    return messages.Frame(sender, incarnation, revision, body)


def _check_header_items(items: tuple[Any, ...]) -> tuple[Any, ...]:
    checks = (fields.text, fields.text, fields.integer, fields.text)
    return fields.sequence(items, checks)


def _load_cbor(encoded: bytes) -> Any:
    source = io.BytesIO(encoded)
    decoder = cbor2.CBORDecoder(
        source,
        semantic_decoders=_REFUSED_TAGS,
        max_depth=MAX_DEPTH,
        allow_indefinite=False,
    )
    try:
        items = decoder.decode(immutable=True)
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as exc:
        raise CodecError(f"message is not valid CBOR: {exc}") from exc
    if source.tell() != len(encoded):
        raise CodecError("message is followed by further bytes")
    return items


def _to_tuples(item: Any) -> tuple[Any, ...]:
    """Convert a message, or an object within one, to nested tuples."""
    return tuple(
        tuple(map(_flatten_item, value)) if type(value) is tuple else value
        for value in _GETTERS[type(item)](item)
    )


def _flatten_item(item: Any) -> Any:
    if type(item) in _FLAT_CLASSES:
        return _GETTERS[type(item)](item)
    return _to_tuples(item) if type(item) in _GETTERS else item


def _attribute_getter(message_class: Any) -> Callable[[Any], tuple[Any, ...]]:
    names = [field.name for field in attrs.fields(message_class)]
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda item: (getattr(item, names[0]),)


_FLAT_CLASSES = frozenset(
    [messages.ServerLoad, messages.ServiceCapacity, documents.Version]
)
"""Classes of most items. They hold no nested objects, so one step converts them."""
_GETTERS = {
    message_class: _attribute_getter(message_class)
    for message_class in (*_FIELDS, *_FLAT_CLASSES, messages.DomainSummary)
}
