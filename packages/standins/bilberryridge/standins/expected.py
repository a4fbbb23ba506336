"""Deterministic answers of the fake servers, so that callers can check every byte.

An answer depends on the request alone and not on the server, so that every server gives
the same bytes. Fields that a gateway may add to a body (`priority`, `stream_options`)
are ignored.
"""

import hashlib
import json
import random

DEFAULT_MAX_TOKENS = 16
BYTES_PER_TOKEN = 4
WORDS = (
    *("maple", "cedar", "birch", "alder", "willow", "spruce", "larch", "hazel"),
    *("mortar", "lime", "brick", "trowel", "level", "plumb", "joint", "course"),
    *("stock", "yard", "crew", "truck", "dock", "bay", "order", "lift"),
)


def prompt(body: dict) -> str:
    """The prompt of a chat request as one text.

    Examples
    --------
    >>> prompt({"messages": [{"role": "user", "content": "maples?"}]})
    'user:maples?;'
    """
    return "".join(f"{m['role']}:{m['content']};" for m in body.get("messages", []))


def n_output_tokens(body: dict) -> int:
    """Number of tokens of the answer."""
    max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
    return int(max_tokens or DEFAULT_MAX_TOKENS)


def tokens(body: dict) -> list[str]:
    """The tokens of the answer to a chat request.

    Examples
    --------
    >>> body = {"model": "m", "messages": [], "max_tokens": 3}
    >>> len(tokens(body)), tokens(body) == tokens({**body, "priority": 1})
    (3, True)
    """
    key_text = f"{body.get('model')}|{prompt(body)}".encode()
    digest = hashlib.sha256(key_text).hexdigest()
    random_state = random.Random(digest)
    n_words = n_output_tokens(body) - 1
    return [digest[:16], *(f" {w}" for w in random_state.choices(WORDS, k=n_words))]


def text(body: dict) -> str:
    """The complete text of the answer to a chat request."""
    return "".join(tokens(body))


def plain(method: str, target: str, body: bytes) -> bytes:
    """The body of a plain service's answer.

    Parameters
    ----------
    method : str
    target : str
        Path and query at the backend server.
    body : bytes

    Examples
    --------
    >>> plain("GET", "/stock?yard=1", b"")
    b'{"method": "GET", "target": "/stock?yard=1", "digest": "e3b0c44298fc1c14"}'
    """
    digest = hashlib.sha256(body).hexdigest()[:16]
    answer = {"method": method, "target": target, "digest": digest}
    return json.dumps(answer).encode()
