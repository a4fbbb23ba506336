"""Identity of a request's content, the same for each repeat of the request."""

import hashlib

from bilberryridge.transport import headers
from bilberryridge.transport.ingress import dialect

DIGEST_BYTES = 16


def content_id(caller: str, head: dialect.Head, body: bytes) -> str:
    """Return a digest of what a caller sends, without the id that each attempt has.

    Parameters
    ----------
    caller : str
        Identifies callers that send no credentials.
    head : Head
    body : bytes

    Examples
    --------
    >>> head = dialect.Head("GET", "/x", (("Host", "a"), ("X-Id", "1")))
    >>> again = dialect.Head("GET", "/x", (("Host", "a"), ("X-Id", "2")))
    >>> content_id("vm", head, b"") == content_id("vm", again, b"")
    True
    >>> content_id("vm", head, b"") == content_id("vm", head, b"1")
    False
    """
    caller = headers.find(head.fields, "authorization") or caller
    host = headers.find(head.fields, "host").lower()
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (caller, head.method, host, head.target):
        data = text.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(8, "big") + data)
    digest.update(body)
    return digest.hexdigest()
