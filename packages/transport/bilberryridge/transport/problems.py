"""Encodes refusals as problem documents.

References
----------
RFC 9457, Problem Details for HTTP APIs.
"""

import json
import math

from bilberryridge.core import outcomes
from bilberryridge.transport import headers

CONTENT_TYPE = "application/problem+json"


def body_of(refusal: outcomes.Refusal, request_id: str) -> bytes:
    """Encode the refusal as a JSON problem document.

    Examples
    --------
    >>> refusal = outcomes.Refusal(outcomes.Reason.BUSY, outcomes.Outcome.NOT_RUN)
    >>> b'"type":"urn:bilberryridge:problem:busy"' in body_of(refusal, "r")
    True
    """
    problem = {
        "type": refusal.problem_type,
        "title": refusal.reason.value.replace("-", " ").capitalize(),
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "request_id": request_id,
    }
    return json.dumps(problem, separators=(",", ":")).encode()


def fields_of(refusal: outcomes.Refusal) -> headers.Fields:
    """Header fields of the refusal, without Content-Length."""
    fields = (
        ("Content-Type", CONTENT_TYPE),
        (headers.OUTCOME, refusal.outcome.value),
    )
    if refusal.retry_after_s is None:
        return fields
    # The field has whole seconds; rounded up, as an early retry is refused again.
    whole_s = max(1, math.ceil(refusal.retry_after_s))
    return (*fields, (headers.RETRY_AFTER, str(whole_s)))


def event_of(refusal: outcomes.Refusal, request_id: str) -> bytes:
    """Encode the refusal as the last event of a stream that can't be completed."""
    return b"event: error\ndata: " + body_of(refusal, request_id) + b"\n\n"
