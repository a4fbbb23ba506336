"""Whether a request is held back because backend servers crash under it.

See Also
--------
bilberryridge.decisions.ingress.crash_handlers : finds such requests.
"""

from typing import Any

import attrs

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions import rendezvous
from bilberryridge.decisions.ingress import effects, state

MIN_RETRY_AFTER_S = 5.0
"""Shortest Retry-After of a request that is held back."""


@attrs.frozen
class HoldBack:
    """Why a request is held back.

    Parameters
    ----------
    reason : outcomes.Reason
    log_fields : dict
    for_s : float
    is_trial_due : bool
        Whether this daemon should try such a request now.
    """

    reason: outcomes.Reason
    log_fields: dict[str, Any]
    for_s: float
    is_trial_due: bool = False


def find(st: state.State, req: ingress.Request, now_s: float) -> HoldBack | None:
    """Return why a request is held back; None if it is not."""
    part = None
    if st.quarantine.signatures:
        part = st.quarantine.find(shared_ids(req))
    if part is not None:
        for_s = st.quarantine.ends_in_s(part, now_s)
        return HoldBack(outcomes.Reason.PROMPT_HELD_BACK, {"part": part}, for_s)
    content_id = req.content_id
    ends_in_s = st.crashing_requests.held_back_for_s(content_id, now_s)
    if ends_in_s is None:
        return None
    trial_in_s = st.crashing_requests.trial_s(content_id, now_s) - now_s
    is_trial_due = (
        trial_in_s <= 0 and not req.is_relayed and _is_trying(st, content_id, now_s)
    )
    for_s = min(ends_in_s, max(MIN_RETRY_AFTER_S, trial_in_s))
    log_fields = {"content": content_id}
    return HoldBack(outcomes.Reason.REQUEST_HELD_BACK, log_fields, for_s, is_trial_due)


def tell_all(st: state.State, vm: str, now_s: float) -> None:
    """Tell a newly linked daemon the prompts and requests that are held back."""
    for crash in st.quarantine.held_back():
        st.emit(effects.SendPeerMessage(vm, crash))
    for crashed in st.crashing_requests.held_back(now_s):
        st.emit(effects.SendPeerMessage(vm, crashed))


def _is_trying(st: state.State, content_id: str, now_s: float) -> bool:
    """Return whether this daemon is the one that tries a request."""
    names = [entry.name for entry in st.members.alive(now_s)]
    names.append(st.cfg.local_entry.name)
    return rendezvous.ranked(content_id, names)[0] == st.cfg.local_entry.name


def shared_ids(req: ingress.Request) -> list[str]:
    """Return the ids of the shared parts of a request's prompt."""
    return [part.id for part in req.prompt.shared_parts] if req.prompt else []
