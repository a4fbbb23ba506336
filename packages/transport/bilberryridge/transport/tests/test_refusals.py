"""What a refusal at the port says of what ran."""

from bilberryridge.core import requests
from bilberryridge.transport import envelope, refusals

KEYED = [("Idempotency-Key", "k")]


def keyed(**envelope_fields):
    sent = requests.Envelope(("a",), "growers", 5.0, 7, **envelope_fields)
    return [*KEYED, ("Bilberryridge-Envelope", envelope.encode(sent))]


SAID = [
    (None, "unknown"),
    ([], "not_run"),
    (KEYED, "unknown"),
    (keyed(is_relay=True), "unknown"),
    (keyed(), "not_run"),
    ([*KEYED, ("Bilberryridge-Envelope", "x")], "unknown"),
]


def test_a_refusal_at_the_port_says_no_more_than_is_known():
    for fields, outcome in SAID:
        assert refusals.outcome_at_port(fields).value == outcome
