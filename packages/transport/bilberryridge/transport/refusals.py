"""Outcome of requests that are refused before the node sees them."""

from bilberryridge.core import outcomes
from bilberryridge.transport import envelope, errors, headers


def refusal_outcome(fields: headers.Fields | None) -> outcomes.Outcome:
    """Return `NOT_RUN`, or `UNKNOWN` if an earlier attempt may have run elsewhere.

    Parameters
    ----------
    fields : tuple of (str, str) or None
        Of the request's head; None if it could not be parsed, so that it is unknown
        whether there is an idempotency key.

    Examples
    --------
    >>> refusal_outcome(()).value
    'not_run'
    >>> refusal_outcome((("Idempotency-Key", "k"),)).value
    'unknown'
    """
    if fields is None:
        return outcomes.Outcome.UNKNOWN
    if not headers.find(fields, headers.IDEMPOTENCY_KEY) or _is_peer_attempt(fields):
        return outcomes.Outcome.NOT_RUN
    return outcomes.Outcome.UNKNOWN


def _is_peer_attempt(fields: headers.Fields) -> bool:
    """Whether another daemon, which knows of earlier attempts, sent just this one."""
    encoded = headers.find(fields, headers.ENVELOPE)
    if not encoded:
        return False
    try:
        return not envelope.decode(encoded).is_relay
    except errors.EnvelopeError:
        return False
