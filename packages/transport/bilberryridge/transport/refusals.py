"""What may be said of a request that the port refuses, before the node sees it."""

from bilberryridge.core import outcomes
from bilberryridge.transport import envelope, errors, headers


def outcome_at_port(fields: headers.Fields | None) -> outcomes.Outcome:
    """Say that it did not run, unless an earlier try may have run elsewhere.

    Parameters
    ----------
    fields : tuple of (str, str) or None
        Of the request's head; None when no head could be read, so that it isn't known
        whether there is a key.

    Examples
    --------
    >>> outcome_at_port(()).value
    'not_run'
    >>> outcome_at_port((("Idempotency-Key", "k"),)).value
    'unknown'
    """
    if fields is None:
        return outcomes.Outcome.UNKNOWN
    if not headers.find(fields, headers.IDEMPOTENCY_KEY) or _is_forwarded_attempt(
        fields
    ):
        return outcomes.Outcome.NOT_RUN
    return outcomes.Outcome.UNKNOWN


def _is_forwarded_attempt(fields: headers.Fields) -> bool:
    """Whether a daemon that knows of earlier tries asks for this one only."""
    encoded = headers.find(fields, headers.ENVELOPE)
    if not encoded:
        return False
    try:
        return not envelope.decode(encoded).is_relay
    except errors.EnvelopeError:
        return False
