"""Builds the request of an attempt from the caller's request and the effect."""

from bilberryridge.decisions import effects
from bilberryridge.transport import exchange, headers, outgoing, relay_mac


def forwarded_request(
    effect: effects.SendAttempt, ex: exchange.Exchange, shared_key: bytes
) -> outgoing.OutgoingRequest:
    """Make the request for a backend server or another daemon.

    Parameters
    ----------
    effect : effects.SendAttempt
    ex : exchange.Exchange
    shared_key : bytes
        Authenticates the request to another daemon.
    """
    assert ex.req is not None
    fields = headers.forwarded_request_fields(ex.head.fields)
    if ex.is_model:
        # The events of a stream are parsed on the way, so they must not be compressed.
        fields = headers.without(fields, "accept-encoding")
    fields = (
        *fields,
        (headers.REQUEST_ID, ex.request_id),
        (headers.TRACE_PARENT, effect.trace_parent or ex.req.trace_parent),
    )
    target = ex.req.path
    if effect.envelope is not None:
        target = ex.head.target
        mac_fields = relay_mac.make_fields(
            shared_key, effect.envelope, ex.request_id, ex.head, ex.body
        )
        fields = (*fields, *mac_fields)
    return outgoing.OutgoingRequest(
        address=effect.address,
        method=ex.head.method,
        target=target,
        fields=fields,
        body=ex.body,
        deadline_s=effect.deadline_s,
        first_byte_deadline_s=effect.first_byte_deadline_s,
        is_at_most_once=effect.is_at_most_once,
    )
