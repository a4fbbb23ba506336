"""Checks of single fields, for settings and documents.

Each check returns the reason why a value is invalid, or an empty string.
"""

import ipaddress
import re
import urllib.parse
from collections.abc import Callable, Sequence

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")
MAX_PORT = 65535


def check_name(value: str) -> str:
    """Check a name, which must be usable in a key, a URL path and a file name.

    Examples
    --------
    >>> check_name("grand-haven"), check_name("Grand Haven")[:23]
    ('', 'must be 1 to 63 of a-z,')
    """
    if NAME_PATTERN.fullmatch(value):
        return ""
    return "must be 1 to 63 of a-z, 0-9, '.', '_' and '-', no mark at either end"


def check_digest(value: str) -> str:
    """Check a hexadecimal SHA-256 digest."""
    if DIGEST_PATTERN.fullmatch(value):
        return ""
    return "must be a SHA-256 digest of 64 hexadecimal digits in lower case"


def check_address(value: str) -> str:
    """Check an IP address with a port; VMs address each other by IP, not host name.

    Examples
    --------
    >>> check_address("127.4.0.1:8080"), check_address("localhost:8080")
    ('', 'must be an IP number and port such as 10.0.0.5:8080')
    """
    host, _, port = value.rpartition(":")
    if _is_ip(host) and _is_port(port):
        return ""
    return "must be an IP number and port such as 10.0.0.5:8080"


def check_endpoint(value: str) -> str:
    """Check the base URL of a platform service.

    Examples
    --------
    >>> check_endpoint("http://127.4.0.1:2379")
    ''
    """
    try:
        url = urllib.parse.urlsplit(value)
        is_good = url.scheme in ("http", "https") and url.port != 0
    except ValueError:
        is_good = False
    if is_good and url.hostname and _is_ip(url.hostname) and not url.path.strip("/"):
        return ""
    return "must be a URL with an IP number such as http://10.0.0.5:2379"


def check_methods(value: Sequence[str]) -> str:
    """Check a list of HTTP methods in upper case."""
    bad = [method for method in value if not METHOD_PATTERN.fullmatch(method)]
    return f"{bad[0]!r} is not an HTTP method in upper case" if bad else ""


def either(*checks: Callable[[str], str]) -> Callable[[str], str]:
    """Return a check that passes if one of `checks` does; it gives the last reason."""

    def check(value: str) -> str:
        reasons = [check(value) for check in checks]
        return reasons[-1] if all(reasons) else ""

    return check


def check_empty(value: str) -> str:
    """Check that a text is empty."""
    return "must be empty" if value else ""


def each(check: Callable[[str], str]) -> Callable[[Sequence[str]], str]:
    """Return a check of each item of a list, which also rejects duplicates."""

    def check_each(values: Sequence[str]) -> str:
        for value in values:
            reason = check(value)
            if reason:
                return f"{value!r} {reason}"
        return "names an item twice" if len(set(values)) < len(values) else ""

    return check_each


def within(minimum: float, maximum: float) -> Callable[[float], str]:
    """Return a check that a number is between two bounds, both included.

    Examples
    --------
    >>> within(1, 10)(0)
    'must be from 1 to 10'
    """

    def check(value: float) -> str:
        return (
            ""
            if minimum <= value <= maximum
            else f"must be from {minimum} to {maximum}"
        )

    return check


def _is_ip(text: str) -> bool:
    bare = text[1:-1] if text.startswith("[") and text.endswith("]") else text
    try:
        version = ipaddress.ip_address(bare).version
    except ValueError:
        return False
    return version == 4 or bare != text or ":" not in text


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and 0 < int(text[:6]) <= MAX_PORT
