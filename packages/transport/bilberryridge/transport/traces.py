"""W3C trace context.

References
----------
W3C Trace Context, `traceparent`.
"""

import re
import secrets

_TRACE_PARENT = re.compile(
    r"00-(?!0{32})([0-9a-f]{32})-(?!0{16})[0-9a-f]{16}-([0-9a-f]{2})"
)


def child_trace_parent(given: str) -> str:
    """Make a new span in the given trace, or in a new trace if it is invalid.

    Examples
    --------
    >>> child_trace_parent("00-" + "a" * 32 + "-" + "b" * 16 + "-01")[:36]
    '00-aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa-'
    """
    match = _TRACE_PARENT.fullmatch(given)
    trace_id, flags = match.groups() if match else (secrets.token_hex(16), "01")
    return f"00-{trace_id}-{secrets.token_hex(8)}-{flags}"
