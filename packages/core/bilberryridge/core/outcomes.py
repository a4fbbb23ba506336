"""Refusals: whether a refused request may have run, and why it was refused.

A refusal never claims more than the daemon knows. `NOT_RUN` guarantees that no backend
server ran the request, in this or an earlier attempt with the same idempotency key.

References
----------
RFC 9457, Problem Details for HTTP APIs.
"""

import enum

import attrs

PROBLEM_PREFIX = "urn:bilberryridge:problem:"


class Outcome(enum.Enum):
    """Whether a refused request is known not to have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request is refused; the value is the suffix of the problem `type`."""

    BAD_REQUEST = "bad-request"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_SERVICE = "unknown-service"
    NOT_ALLOWED_HERE = "not-allowed-here"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_REUSED = "idempotency-key-reused"
    KEY_IN_PROGRESS = "idempotency-key-in-progress"
    KEY_EXPIRED = "idempotency-key-expired"
    KEY_UNSETTLED = "idempotency-key-unsettled"
    OWNER_UNREACHABLE = "owner-unreachable"
    OVER_SHARE = "over-share"
    NO_CAPACITY = "no-capacity"
    NO_SERVER = "no-server"
    NO_CONFIGURATION = "no-configuration"
    DEADLINE = "deadline"
    HOP_LIMIT = "hop-limit"
    STOPPING = "stopping"
    BACKEND_FAILED = "backend-failed"
    ANSWER_LOST = "answer-lost"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    BUSY = "busy"
    PROMPT_HELD_BACK = "prompt-held-back"
    REQUEST_HELD_BACK = "request-held-back"
    STREAM_ORIGIN_UNKNOWN = "stream-origin-unknown"
    OVER_QUOTA = "over-quota"
    CONFIGURATION_UNPROVEN = "configuration-unproven"


STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.NOT_ALLOWED_HERE: 421,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_REUSED: 422,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.KEY_EXPIRED: 409,
    Reason.KEY_UNSETTLED: 409,
    Reason.OWNER_UNREACHABLE: 503,
    Reason.OVER_SHARE: 429,
    Reason.NO_CAPACITY: 503,
    Reason.NO_SERVER: 503,
    Reason.NO_CONFIGURATION: 503,
    Reason.DEADLINE: 504,
    Reason.HOP_LIMIT: 508,
    Reason.STOPPING: 503,
    Reason.BACKEND_FAILED: 502,
    Reason.ANSWER_LOST: 502,
    Reason.TOO_LARGE: 413,
    Reason.TOO_SLOW: 408,
    Reason.BUSY: 503,
    Reason.PROMPT_HELD_BACK: 503,
    Reason.REQUEST_HELD_BACK: 503,
    Reason.STREAM_ORIGIN_UNKNOWN: 503,
    Reason.OVER_QUOTA: 429,
    Reason.CONFIGURATION_UNPROVEN: 503,
}


@attrs.frozen
class Refusal:
    """The final answer to a request that is refused.

    Parameters
    ----------
    reason : Reason
        Determines the problem type and the HTTP status.
    outcome : Outcome
        Whether the request is known not to have run.
    detail : str
        One sentence for the developer of the caller.
    retry_after_s : float or None
        Delay before a retry, with jitter applied; None if a retry would not help.

    Examples
    --------
    >>> refusal = Refusal(Reason.OVER_SHARE, Outcome.NOT_RUN, "over its share", 2.0)
    >>> refusal.status, refusal.problem_type
    (429, 'urn:bilberryridge:problem:over-share')
    """

    reason: Reason
    outcome: Outcome
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status."""
        return STATUS_BY_REASON[self.reason]

    @property
    def problem_type(self) -> str:
        """The problem `type`, stable between releases."""
        return PROBLEM_PREFIX + self.reason.value
