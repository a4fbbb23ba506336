"""Identity of a request's content, the same for each repeat of the request."""

import hashlib

from bilberryridge.transport import headers
from bilberryridge.transport.ingress import dialect

DIGEST_BYTES = 16


def content_id(head: dialect.Head, body: bytes, key_digest: bytes = b"") -> str:
    """Return a digest of credentials, method, host, target and body.

    It leaves out what differs between attempts. The address of the caller is left out
    as well, as backend servers don't see it.

    Parameters
    ----------
    head : Head
    body : bytes
    key_digest : bytes
        Taken for the credentials where daemons forward it in place of the field
        `Authorization`; empty to take that field.

    Examples
    --------
    >>> head = dialect.Head("GET", "/x", (("Host", "a"), ("X-Id", "1")))
    >>> again = dialect.Head("GET", "/x", (("Host", "a"), ("X-Id", "2")))
    >>> content_id(head, b"") == content_id(again, b"")
    True
    >>> content_id(head, b"") == content_id(head, b"1")
    False

    The daemon that is relayed the request has the digest only.

    >>> full = dialect.Head("GET", "/x", (("Host", "a"), ("Authorization", "Bearer k")))
    >>> content_id(full, b"", b"digest") == content_id(head, b"", b"digest")
    True
    """
    credentials = key_digest.hex() or headers.find(head.fields, "authorization")
    host = headers.find(head.fields, "host").lower()
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (credentials, head.method, host, head.target):
        data = text.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(8, "big") + data)
    digest.update(body)
    return digest.hexdigest()
