"""Documents, numbers and addresses of other writers, made sound or refused.

Each function raises ValueError for what it refuses, whatever the value is made of.
"""

import ipaddress
import json
import math
from typing import Any

from bilberryridge.utilities import addresses

MAX_COUNT = 1 << 53
"""Largest count; the integers up to it are exact in other writers' numbers too."""


def load_json(data: bytes | bytearray | str) -> Any:
    """Decode a JSON document.

    Raises
    ------
    ValueError
        It is not valid, or is nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError as exc:
        raise ValueError("nested too deeply") from exc


def number(value: object, low: float, high: float) -> float:
    """Return a number within bounds; texts of numbers count as well.

    Raises
    ------
    ValueError
        It is not a number, or out of bounds.

    Examples
    --------
    >>> number("1.5", 0, 10)
    1.5
    >>> number(float("inf"), 0, 10)
    Traceback (most recent call last):
        ...
    ValueError: inf is not between 0 and 10
    """
    try:
        converted = float(value)  # type: ignore[arg-type]
    except (TypeError, OverflowError) as exc:
        raise ValueError(f"not a number: {type(value).__name__}") from exc
    if not math.isfinite(converted) or not low <= converted <= high:
        raise ValueError(f"{converted} is not between {low} and {high}")
    return converted


def count(value: object, high: int = MAX_COUNT) -> int:
    """Return a whole number from 0 to a bound; see `number`."""
    return int(number(value, 0, high))


def decimal(text: str, max_digits: int = 15) -> int | None:
    """Return the number that ASCII digits mean; None for any other text.

    Examples
    --------
    >>> decimal("12"), decimal("\\u00b2"), decimal("1" * 400), decimal("")
    (12, None, None, None)
    """
    is_decimal = text.isascii() and text.isdecimal() and len(text) <= max_digits
    return int(text) if is_decimal else None


def server_address(text: object) -> str:
    """Return ``IP:port`` if it is one to which a connection can be opened.

    Raises
    ------
    ValueError

    Examples
    --------
    >>> server_address("10.0.0.1:80")
    '10.0.0.1:80'
    """
    if not isinstance(text, str):
        raise ValueError(f"invalid address of type {type(text).__name__}")
    host, port = addresses.split(text)
    ipaddress.IPv4Address(host)
    if not port:
        raise ValueError(f"no port in {text!r}")
    return text
