"""Checks of the fields of a message: strict types and bounds.

Each check takes a decoded value and returns it in the type of the message's
attribute, or raises `FieldError`. The same checks run before sending, so that no
daemon sends what its peers would refuse.
"""

import math
from collections.abc import Callable
from typing import Any

MAX_NAME_CHARS = 512
MAX_INTEGER = 2**63 - 1
MAX_DURATION_S = 1e9

Check = Callable[[Any], Any]


class FieldError(ValueError):
    """A value is of the wrong type or out of bounds."""


def text(value: Any) -> str:
    """Take a name or other short text.

    Examples
    --------
    >>> text("toronto-a-1")
    'toronto-a-1'
    """
    if type(value) is not str or len(value) > MAX_NAME_CHARS:
        raise FieldError("not a short text")
    return value


def flag(value: Any) -> bool:
    """Take a truth value."""
    if type(value) is not bool:
        raise FieldError("not a truth value")
    return value


def integer(value: Any) -> int:
    """Take an integer that is not negative.

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
    """Take a finite duration that is not negative."""
    if type(value) not in (int, float):
        raise FieldError("not a duration")
    if not (math.isfinite(value) and 0 <= value <= MAX_DURATION_S):
        raise FieldError("not a duration in bounds")
    return float(value)


def data(max_bytes: int) -> Check:
    """Make the check of a byte string."""

    def check(value: Any) -> bytes:
        if type(value) is not bytes or len(value) > max_bytes:
            raise FieldError(f"not a byte string of at most {max_bytes} bytes")
        return value

    return check


def array(item: Check, max_items: int) -> Check:
    """Make the check of an array whose items all pass `item`."""

    def check(value: Any) -> tuple[Any, ...]:
        if type(value) is not tuple or len(value) > max_items:
            raise FieldError(f"not an array of at most {max_items} items")
        return tuple(map(item, value))

    return check


def record(make: type, *checks: Check) -> Check:
    """Make the check of an array with one item for each attribute of `make`."""

    def check(value: Any) -> Any:
        return make(*sequence(value, checks))

    return check


def pair(first: Check, second: Check) -> Check:
    """Make the check of an array of two."""

    def check(value: Any) -> tuple[Any, ...]:
        return sequence(value, (first, second))

    return check


def sequence(value: Any, checks: tuple[Check, ...]) -> tuple[Any, ...]:
    """Take an array whose items pass one check each."""
    if type(value) is not tuple or len(value) != len(checks):
        raise FieldError(f"not an array of {len(checks)} items")
    return tuple(check(item) for check, item in zip(checks, value, strict=True))
