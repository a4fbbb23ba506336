"""Validation of message fields: strict types and bounds.

Each check takes a decoded value and returns it in the type of the message's
attribute, or raises `FieldError`. The same checks run before sending, so that no
daemon sends a message that its peers would refuse.
"""

import math
from collections.abc import Callable
from typing import Any

MAX_NAME_CHARS = 512
MAX_INTEGER = 2**63 - 1
MAX_DURATION_S = 1e9

Check = Callable[[Any], Any]


class FieldError(ValueError):
    """A value has the wrong type or is out of bounds."""


def text(value: Any) -> str:
    """Check a name or other short text.

    Examples
    --------
    >>> text("toronto-a-1")
    'toronto-a-1'
    """
    if type(value) is not str or len(value) > MAX_NAME_CHARS:
        raise FieldError(f"not a text of at most {MAX_NAME_CHARS} characters")
    return value


def flag(value: Any) -> bool:
    """Check a Boolean."""
    if type(value) is not bool:
        raise FieldError("not a Boolean")
    return value


def integer(value: Any) -> int:
    """Check a non-negative integer.

    Examples
    --------
    >>> integer(True)
    Traceback (most recent call last):
    ...
    bilberryridge.peers.fields.FieldError: not an integer of at most 63 bits
    """
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise FieldError("not an integer of at most 63 bits")
    return value


def seconds(value: Any) -> float:
    """Check a finite non-negative duration in seconds."""
    if type(value) not in (int, float):
        raise FieldError("duration is not a number")
    if not (math.isfinite(value) and 0 <= value <= MAX_DURATION_S):
        raise FieldError(f"not a duration from 0 to {MAX_DURATION_S} s")
    return float(value)


def data(max_bytes: int) -> Check:
    """Return a check for a byte string."""

    def check(value: Any) -> bytes:
        if type(value) is not bytes or len(value) > max_bytes:
            raise FieldError(f"not a byte string of at most {max_bytes} bytes")
        return value

    return check


def array(item: Check, max_items: int) -> Check:
    """Return a check for an array whose items all pass the check `item`."""

    def check(value: Any) -> tuple[Any, ...]:
        if type(value) is not tuple or len(value) > max_items:
            raise FieldError(f"not an array of at most {max_items} items")
        return tuple(map(item, value))

    return check


def record(make: type, *checks: Check) -> Check:
    """Return a check for an array with one item for each attribute of class `make`."""

    def check(value: Any) -> Any:
        return make(*sequence(value, checks))

    return check


def pair(first: Check, second: Check) -> Check:
    """Return a check for an array of two items."""

    def check(value: Any) -> tuple[Any, ...]:
        return sequence(value, (first, second))

    return check


def sequence(value: Any, checks: tuple[Check, ...]) -> tuple[Any, ...]:
    """Check an array whose items each pass the check at the same position."""
    if type(value) is not tuple or len(value) != len(checks):
        raise FieldError(f"not an array of {len(checks)} items")
    return tuple(check(item) for check, item in zip(checks, value, strict=True))
