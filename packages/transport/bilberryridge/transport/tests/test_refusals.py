"""Outcome reported for a request that is refused before the node sees it."""

from bilberryridge.core import requests
from bilberryridge.transport import envelope, refusals

KEYED = [("Idempotency-Key", "k")]


def keyed(**envelope_fields):
    sent = requests.Envelope(("a",), "growers", 5.0, 7, **envelope_fields)
    return [*KEYED, ("Bilberryridge-Envelope", envelope.encode(sent))]


REPORTED_OUTCOMES = [
    (None, "unknown"),
    ([], "not_run"),
    (KEYED, "unknown"),
    (keyed(is_relay=True), "unknown"),
    (keyed(), "not_run"),
    ([*KEYED, ("Bilberryridge-Envelope", "x")], "unknown"),
]


def test_refusal_at_the_port_reports_only_a_known_outcome():
    for fields, outcome in REPORTED_OUTCOMES:
        assert refusals.refusal_outcome(fields).value == outcome
