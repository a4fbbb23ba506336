"""Classification of the result of an attempt."""

import attrs

from bilberryridge.core import outcomes
from bilberryridge.decisions import events

RESULT = events.AttemptResult
COMPLETE_ANSWERS = frozenset([RESULT.COMPLETE, RESULT.REFUSED, RESULT.FAILED])
"""Results of an answer that was received to its end and is valid."""
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
FIRST_SERVER_ERROR = 500
FIRST_CLIENT_ERROR = 400


@attrs.frozen
class AttemptObservations:
    """What was observed of an attempt that has ended.

    Parameters
    ----------
    may_have_been_sent : bool
        Whether any byte of the request may have been sent.
    is_timed_out : bool
        Whether a deadline of the attempt passed.
    is_caller_slow : bool
        Whether the caller read so slowly that the server had to wait.
    is_crossed : bool
        Whether the answer carries the id of another request.
    is_complete : bool
        Whether the answer was received to its end.
    is_blank : bool
        Whether a successful answer is empty although the service always returns
        content.
    status : int
    outcome : str
        Value of `Bilberryridge-Outcome`.
    is_from_daemon : bool
        Whether another daemon answered, not a backend server.
    is_at_most_once : bool
        Whether the request must not be executed twice.
    """

    may_have_been_sent: bool = True
    is_timed_out: bool = False
    is_caller_slow: bool = False
    is_crossed: bool = False
    is_complete: bool = True
    is_blank: bool = False
    status: int = 200
    outcome: str = ""
    is_from_daemon: bool = False
    is_at_most_once: bool = False


def classify(observed: AttemptObservations) -> events.AttemptResult:
    """Classify an attempt; when in doubt as lost.

    Examples
    --------
    >>> classify(AttemptObservations(status=503)).value
    'refused'
    >>> classify(AttemptObservations(status=503, is_at_most_once=True)).value
    'failed'
    """
    if not observed.may_have_been_sent:
        return RESULT.NOT_SENT
    if observed.is_timed_out:
        # The timeout was caused by the caller, so it isn't counted against the server.
        return RESULT.CANCELLED if observed.is_caller_slow else RESULT.TIMED_OUT
    if observed.is_crossed or not observed.is_complete:
        return RESULT.LOST
    if _is_refused(observed):
        return RESULT.REFUSED
    if is_failure(observed.status):
        return RESULT.FAILED
    if observed.is_blank:
        return RESULT.LOST
    return RESULT.COMPLETE


def is_failure(status: int) -> bool:
    """Whether an answer with this status is a failure, which the node handles."""
    return status >= FIRST_SERVER_ERROR or status == TOO_MANY_REQUESTS


def _is_refused(observed: AttemptObservations) -> bool:
    if observed.is_from_daemon:
        is_not_run = observed.outcome == outcomes.Outcome.NOT_RUN.value
        return is_not_run and observed.status >= FIRST_CLIENT_ERROR
    if observed.is_at_most_once:
        return False
    return observed.status in (TOO_MANY_REQUESTS, UNAVAILABLE)
