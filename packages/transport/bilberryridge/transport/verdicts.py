"""How an attempt ended, from what was seen of it."""

import attrs

from bilberryridge.core import outcomes
from bilberryridge.decisions import events

RESULT = events.AttemptResult
WHOLE_ANSWERS = frozenset([RESULT.COMPLETE, RESULT.REFUSED, RESULT.FAILED])
"""Results of an answer that came to its end and is what it should be."""
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
SERVER_ERRORS = 500
ERRORS = 400


@attrs.frozen
class Facts:
    """What was seen of an attempt that is over.

    Parameters
    ----------
    may_have_left : bool
        Whether any byte of the request may have left.
    is_late : bool
    is_held_up : bool
        Whether the caller read so slowly that the server had to wait.
    is_crossed : bool
        Whether the answer names another request.
    is_complete : bool
        Whether the answer came to its own end.
    is_blank : bool
        Whether a success has no content though the service promises some.
    status : int
    outcome : str
        Value of `Bilberryridge-Outcome`.
    is_daemon : bool
        Whether a daemon answered.
    is_at_most_once : bool
        Whether the request may not repeat.
    """

    may_have_left: bool = True
    is_late: bool = False
    is_held_up: bool = False
    is_crossed: bool = False
    is_complete: bool = True
    is_blank: bool = False
    status: int = 200
    outcome: str = ""
    is_daemon: bool = False
    is_at_most_once: bool = False


def of(facts: Facts) -> events.AttemptResult:
    """Judge an attempt; in doubt it counts as lost.

    Examples
    --------
    >>> of(Facts(status=503)).value, of(Facts(status=503, is_at_most_once=True)).value
    ('refused', 'failed')
    """
    if not facts.may_have_left:
        return RESULT.NOT_SENT
    if facts.is_late:
        # The server isn't to be held for its caller's slowness.
        return RESULT.CANCELLED if facts.is_held_up else RESULT.TIMED_OUT
    if facts.is_crossed or not facts.is_complete:
        return RESULT.LOST
    if _is_refused(facts):
        return RESULT.REFUSED
    if is_failure(facts.status):
        return RESULT.FAILED
    if facts.is_blank:
        return RESULT.LOST
    return RESULT.COMPLETE


def is_failure(status: int) -> bool:
    """Whether the status leaves the decision on the answer to the node."""
    return status >= SERVER_ERRORS or status == TOO_MANY_REQUESTS


def _is_refused(facts: Facts) -> bool:
    if facts.is_daemon:
        is_not_run = facts.outcome == outcomes.Outcome.NOT_RUN.value
        return is_not_run and facts.status >= ERRORS
    if facts.is_at_most_once:
        return False
    return facts.status in (TOO_MANY_REQUESTS, UNAVAILABLE)
