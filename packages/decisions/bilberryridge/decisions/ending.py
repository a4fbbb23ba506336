"""How an open request ends: refused, answered or left.

See Also
--------
bilberryridge.decisions.attempt_handlers : decides that it ends.
"""

from bilberryridge.core import outcomes
from bilberryridge.decisions import (
    effects,
    state,
)


def refuse(
    st: state.State,
    open_req: state.Open,
    reason: outcomes.Reason,
    retry_after_s: float | None = None,
    detail: str = "",
    outcome: outcomes.Outcome | None = None,
) -> None:
    """Give an open request up, at once."""
    known = outcome or open_req.outcome
    settle_refused(st, open_req, known)
    after_s = None if retry_after_s is None else st.jittered(retry_after_s)
    refusal = outcomes.Refusal(reason, known, detail, after_s)
    st.count("refusals", reason.value, known.value)
    st.explain(
        open_req.req.request_id, "refused", f"{reason.value}, {known.value}. {detail}"
    )
    st.emit(effects.Refuse(open_req.req.request_id, refusal))
    close(st, open_req, "refuse")


def close(st: state.State, open_req: state.Open, event: str) -> None:
    """End a request's chart and forget it."""
    st.step(open_req, event)
    st.admission.remove(open_req.req.request_id)
    st.open_requests.pop(open_req.req.request_id, None)


def settle_refused(
    st: state.State, open_req: state.Open, outcome: outcomes.Outcome
) -> None:
    """Bring the run of an owned request that ends without an answer to its state."""
    if not open_req.scope:
        return
    if outcome is outcomes.Outcome.NOT_RUN:
        st.runs.forget(open_req.scope)
    else:
        st.runs.lose(open_req.scope)
