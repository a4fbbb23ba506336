"""Control messages to bytes and back.

A message is one CBOR array ``[sender, incarnation, revision, kind, field, ...]``; an
attrs object within it is an array of its attributes. A kind that this daemon does not
know is no error, since daemons are upgraded one by one: it comes out as
`UnknownMessage`.

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
MAX_ROOMS = 256
MAX_VERSIONS = 65536
MAX_SERVERS = 16384
MAX_HEADERS = 128
MAX_HEADER_CHARS = 16384
MAX_DIGEST_BYTES = 64

N_FRAME_ITEMS = 4
"""Sender, incarnation, revision and kind come before the message's own fields."""

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
"""Tags that the decoder would turn into objects, some of them at great cost."""


class CodecError(ValueError):
    """Bytes that are no control message, or a message that may not be sent."""


@attrs.frozen
class UnknownMessage:
    """A message of a kind that this daemon does not know.

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
        raise fields.FieldError("not a header")
    return value


_SERVER_LOAD = fields.record(
    messages.ServerLoad,
    fields.text,
    fields.integer,
    fields.integer,
)
_ROOM = fields.record(
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
    fields.array(_ROOM, MAX_ROOMS),
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
_KINDS = {
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
_KIND_BY_TYPE = {made: kind for kind, made in _KINDS.items()}


def _refuse_tag(_decoder: cbor2.CBORDecoder, *_rest: Any) -> NoReturn:
    raise cbor2.CBORDecodeError("tags are not used")


_REFUSED_TAGS = dict.fromkeys(BUILT_IN_TAGS, _refuse_tag)


def kind_of(body: messages.Message) -> str:
    """Name the kind of a message, as on the wire and in metrics.

    Examples
    --------
    >>> kind_of(messages.Heartbeat(False, 3))
    'heartbeat'
    """
    return _KIND_BY_TYPE[type(body)]


def encode(frame: messages.Frame) -> bytes:
    """Turn a frame into bytes.

    Raises
    ------
    CodecError
        A field has a wrong type or is out of bounds, or the whole is too large.
    """
    body = _array(frame.body)
    head = (frame.sender, frame.incarnation, frame.revision, kind_of(frame.body))
    try:
        _check_head(head)
        fields.sequence(body, _FIELDS[type(frame.body)])
    except fields.FieldError as exc:
        raise CodecError(f"{head[-1]}: {exc}") from exc
    encoded = cbor2.dumps(head + body)
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise CodecError(f"{head[-1]}: {len(encoded)} bytes are too many")
    return encoded


def decode(encoded: bytes) -> messages.Frame | UnknownMessage:
    """Turn bytes into a frame.

    Raises
    ------
    CodecError
        They are no control message.
    """
    if len(encoded) > MAX_MESSAGE_BYTES:
        raise CodecError("too large")
    items = _load(encoded)
    if type(items) is not tuple or len(items) < N_FRAME_ITEMS:
        raise CodecError("not an array with a sender and a kind")
    try:
        return _received(items)
    except fields.FieldError as exc:
        raise CodecError(str(exc)) from exc


def _received(items: tuple[Any, ...]) -> messages.Frame | UnknownMessage:
    sender, incarnation, revision, kind = _check_head(items[:N_FRAME_ITEMS])
    made = _KINDS.get(kind)
    if made is None:
        return UnknownMessage(sender, incarnation, kind)
    body = made(*fields.sequence(items[N_FRAME_ITEMS:], _FIELDS[made]))
    return messages.Frame(sender, incarnation, revision, body)


def _check_head(items: tuple[Any, ...]) -> tuple[Any, ...]:
    checks = (fields.text, fields.text, fields.integer, fields.text)
    return fields.sequence(items, checks)


def _load(encoded: bytes) -> Any:
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
        raise CodecError(f"bad CBOR: {exc}") from exc
    if source.tell() != len(encoded):
        raise CodecError("bytes after the message")
    return items


def _array(item: Any) -> tuple[Any, ...]:
    """Turn a message or an object within one into nested tuples."""
    return tuple(
        tuple(map(_item, value)) if type(value) is tuple else value
        for value in _VALUES[type(item)](item)
    )


def _item(item: Any) -> Any:
    if type(item) in _FLAT:
        return _VALUES[type(item)](item)
    return _array(item) if type(item) in _VALUES else item


def _values(made: Any) -> Callable[[Any], tuple[Any, ...]]:
    names = [field.name for field in attrs.fields(made)]
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda item: (getattr(item, names[0]),)


_FLAT = frozenset([messages.ServerLoad, messages.ServiceCapacity, documents.Version])
"""Most items are of these, and they hold nothing nested."""
_VALUES = {made: _values(made) for made in (*_FIELDS, *_FLAT, messages.DomainSummary)}
