"""Closes open requests: refused, answered or abandoned by the caller.

See Also
--------
bilberryridge.decisions.attempt_handlers : decides whether a request ends.
"""

from bilberryridge.core import outcomes
from bilberryridge.decisions import (
    effects,
    state,
)


def refuse(
    st: state.State,
    open_req: state.OpenRequest,
    reason: outcomes.Reason,
    retry_after_s: float | None = None,
    detail: str = "",
    outcome: outcomes.Outcome | None = None,
) -> None:
    """Refuse an open request and close it."""
    known_outcome = outcome or open_req.outcome
    resolve_run(st, open_req, known_outcome)
    after_s = None if retry_after_s is None else st.jittered(retry_after_s)
    refusal = outcomes.Refusal(reason, known_outcome, detail, after_s)
    st.count("refusals", reason.value, known_outcome.value)
    st.explain(
        open_req.req.request_id,
        "refused",
        f"{reason.value}, {known_outcome.value}. {detail}",
    )
    st.emit(effects.Refuse(open_req.req.request_id, refusal))
    close(st, open_req, "refuse")


def close(st: state.State, open_req: state.OpenRequest, event: str) -> None:
    """Advance a request's chart to its final state and drop the request."""
    st.step(open_req, event)
    st.admission.remove(open_req.req.request_id)
    st.open_requests.pop(open_req.req.request_id, None)


def resolve_run(
    st: state.State, open_req: state.OpenRequest, outcome: outcomes.Outcome
) -> None:
    """Update the run of an owned request that ends without an answer.

    If the request did not run, its key becomes usable again; else its outcome is
    recorded as unknown.
    """
    if not open_req.scope:
        return
    if outcome is outcomes.Outcome.NOT_RUN:
        st.runs.forget(open_req.scope)
    else:
        st.runs.mark_unknown(open_req.scope)
