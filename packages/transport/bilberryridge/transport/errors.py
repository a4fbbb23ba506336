"""Errors of the transport layer."""

from bilberryridge.core import outcomes


class TransportError(Exception):
    """Base of the transport layer's errors."""


class BadRequestError(TransportError):
    """A request that no service can be asked.

    Parameters
    ----------
    reason : outcomes.Reason
    detail : str
        One sentence for the caller's developer.
    retry_after_s : float or None
        When to come back, where that may help.
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
    """The caller's socket takes nothing any more."""


class EnvelopeError(TransportError):
    """An envelope that is missing, malformed or not proven by its code."""
