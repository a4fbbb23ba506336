"""Addresses of the form ``host:port``."""

Address = tuple[str, int]
"""Host and port."""


def split(text: str) -> Address:
    """Split ``host:port``.

    Raises
    ------
    ValueError
        The port is not an integer.

    Examples
    --------
    >>> split("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    return host, int(port)
