"""Errors of the transport layer."""

from bilberryridge.core import outcomes


class TransportError(Exception):
    """Base class of the transport layer's errors."""


class BadRequestError(TransportError):
    """A request that is refused before the node sees it.

    Parameters
    ----------
    reason : outcomes.Reason
    detail : str
        One sentence for the developer of the caller.
    retry_after_s : float or None
        Delay after which a retry may succeed; None when a retry is of no use.
    """

    def __init__(
        self,
        reason: outcomes.Reason,
        detail: str,
        retry_after_s: float | None = None,
    ):
        super().__init__(detail)
        self.reason = reason
        self.detail = detail
        self.retry_after_s = retry_after_s


class CallerClosedError(TransportError):
    """The caller's socket can no longer be written to."""


class AnswerBoundError(TransportError):
    """A server sends more than any answer to its request can have."""


class EnvelopeError(TransportError):
    """An envelope that is missing, malformed or has a wrong MAC."""
