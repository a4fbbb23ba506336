"""Parses model requests: estimated sizes, priority and prompt prefixes."""

import hashlib
import json
from typing import Any

import attrs

from bilberryridge.core import outcomes, requests
from bilberryridge.transport import errors

BLOCK_BYTES = 256
MAX_BLOCKS = 32
BYTES_PER_TOKEN = 4
LONG_ANSWER_TOKENS = 512
DEFAULT_OUTPUT_TOKENS = 256
DIGEST_BYTES = 8


@attrs.frozen
class Prompt:
    """A parsed model request.

    Parameters
    ----------
    model : str
    is_streamed : bool
    priority : requests.Priority
    n_prompt_tokens, n_output_tokens : int
        Estimates.
    prefix_digests : tuple of int
        Digests of the prompt's prefixes, the shortest first.
    body : bytes
        The request as JSON with its priority added.
    """

    model: str
    is_streamed: bool
    priority: requests.Priority
    n_prompt_tokens: int
    n_output_tokens: int
    prefix_digests: tuple[int, ...]
    body: bytes


def read(body: bytes) -> Prompt:
    """Parse the body of a chat completion request.

    Raises
    ------
    errors.BadRequestError
        If it is not JSON or lacks a model or messages.
    """
    fields = _parse_object(body)
    model = fields.get("model")
    messages = fields.get("messages")
    if not isinstance(model, str) or not model:
        raise _bad_request("`model` must be a name")
    if not isinstance(messages, list) or not messages:
        raise _bad_request("`messages` must be a list that is not empty")
    text = _canonical_text(messages)
    n_output_tokens = _n_output_tokens(fields)
    priority = _priority_of(fields, n_output_tokens)
    fields["priority"] = priority.value
    return Prompt(
        model=model,
        is_streamed=fields.get("stream") is True,
        priority=priority,
        n_prompt_tokens=len(text) // BYTES_PER_TOKEN,
        n_output_tokens=n_output_tokens,
        prefix_digests=prefix_digests(text),
        body=json.dumps(fields, separators=(",", ":")).encode(),
    )


def prefix_digests(text: bytes) -> tuple[int, ...]:
    """Digest each prefix of the text that ends at a block boundary.

    Examples
    --------
    >>> one, two = prefix_digests(b"a" * 600)
    >>> prefix_digests(b"a" * 300 + b"b" * 300)[0] == one
    True
    """
    digests = []
    previous = b""
    n_blocks = min(len(text) // BLOCK_BYTES, MAX_BLOCKS)
    for start in range(0, n_blocks * BLOCK_BYTES, BLOCK_BYTES):
        block = text[start : start + BLOCK_BYTES]
        previous = hashlib.blake2b(previous + block, digest_size=DIGEST_BYTES).digest()
        digests.append(int.from_bytes(previous, "big"))
    return tuple(digests)


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as exc:
        raise _bad_request("the body is not JSON") from exc
    if not isinstance(fields, dict):
        raise _bad_request("the body is not a JSON object")
    return fields


def _refuse_constant(text: str) -> None:
    raise ValueError(f"{text} is not valid JSON")


def _canonical_text(messages: list) -> bytes:
    """Text of the messages, independent of the formatting of their JSON."""
    parts = []
    for message in messages:
        if not isinstance(message, dict):
            raise _bad_request("each of `messages` must be an object")
        content = message.get("content")
        if not isinstance(content, str):
            content = json.dumps(content, separators=(",", ":"), sort_keys=True)
        parts.append(f"{message.get('role')}\n{content}\n")
    return "".join(parts).encode(errors="surrogatepass")


def _n_output_tokens(fields: dict[str, Any]) -> int:
    max_tokens = fields.get("max_completion_tokens", fields.get("max_tokens"))
    if max_tokens is None:
        return DEFAULT_OUTPUT_TOKENS
    if type(max_tokens) is not int or max_tokens < 0:
        raise _bad_request("`max_tokens` must be a whole number")
    return max_tokens


def _priority_of(fields: dict[str, Any], n_output_tokens: int) -> requests.Priority:
    if fields.get("service_tier") == "flex" or n_output_tokens > LONG_ANSWER_TOKENS:
        return requests.Priority.LONG
    return requests.Priority.QUICK


def _bad_request(detail: str) -> errors.BadRequestError:
    return errors.BadRequestError(outcomes.Reason.BAD_REQUEST, detail)
