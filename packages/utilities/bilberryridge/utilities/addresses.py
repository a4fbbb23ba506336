"""Addresses of the form ``host:port``."""

Address = tuple[str, int]
"""Host and port."""
MAX_PORT, MAX_PORT_DIGITS = 65_535, 5


def split(text: str) -> Address:
    """Split ``host:port``.

    Raises
    ------
    ValueError
        The port is not one in ASCII digits.

    Examples
    --------
    >>> split("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    is_decimal = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not is_decimal or int(port) > MAX_PORT:
        raise ValueError(f"invalid port in {text!r}")
    return host, int(port)
