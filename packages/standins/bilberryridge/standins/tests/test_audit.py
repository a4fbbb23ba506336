import asyncio
import json

import pytest

from bilberryridge.standins import audit, caller, expected, layout, sending

TARGET = f"/services/{layout.PLAIN}{sending.BOOKING_PATH}"
BODY = b"{}"
RIGHT = expected.plain("POST", sending.BOOKING_PATH, BODY)


class FakeFleet:
    def __init__(self, n_runs):
        run = {"key": "k", "request_id": "r", "method": "POST", "domain": "east"}
        self._runs = [run] * n_runs

    async def all_runs(self):
        return self._runs


def booked(status=200, body=RIGHT, outcome="", is_framing_complete=True):
    req = caller.Request("", "POST", TARGET, {"idempotency-key": "k"}, BODY)
    headers = {"x-request-id": "other", "bilberryridge-outcome": outcome}
    return sending.Exchange(
        req, caller.Answer(status, headers, body, is_framing_complete)
    )


CASES = [
    # runs at the fake servers, answers, whether the invariants hold
    (1, [booked()], True),
    (1, [booked(), booked()], True),
    (2, [booked()], False),
    (0, [booked()], False),
    (1, [booked(body=RIGHT[:-1])], False),
    (1, [booked(body=RIGHT[:-1], is_framing_complete=False)], True),
    (0, [booked(503, json.dumps({}).encode(), audit.NOT_RUN)], True),
    (1, [booked(503, json.dumps({}).encode(), audit.NOT_RUN)], False),
    (1, [booked(503, json.dumps({}).encode(), "unknown")], True),
]


@pytest.mark.parametrize("case", CASES, ids=str)
def test_audit_reports_violated_invariants(case):
    n_runs, answers, does_hold = case

    async def run():
        checking = audit.Audit(FakeFleet(n_runs))
        for exchange in answers:
            await checking.add(exchange)
        await checking.check()

    if does_hold:
        asyncio.run(run())
    else:
        with pytest.raises(audit.InvariantError):
            asyncio.run(run())
