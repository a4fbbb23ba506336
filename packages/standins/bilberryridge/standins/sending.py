"""Requests of a caller to a fleet, and checks of their answers.

See Also
--------
bilberryridge.standins.caller : sends one request.
bilberryridge.standins.expected : the right answers.
"""

import json
from typing import Any

import attrs

from bilberryridge.standins import caller, expected, fleet, layout

BOOKING_PATH = "/bookings"
TIMEOUT_S = 60.0


@attrs.frozen
class Exchange:
    """A request and its answer.

    Parameters
    ----------
    req : caller.Request
    answer : caller.Answer
    """

    req: caller.Request
    answer: caller.Answer

    @property
    def request_id(self) -> str:
        """Request id given by the entry daemon."""
        return self.answer.headers.get("x-request-id", "")

    @property
    def key(self) -> str:
        """Its idempotency key; empty when it has none."""
        return self.req.headers.get("idempotency-key", "")

    @property
    def problem(self) -> str:
        """Last part of a refusal's problem type; empty for an answer."""
        body = self.answer.json() if self.answer.status >= 400 else None
        return str((body or {}).get("type", "")).rpartition(":")[2]

    @property
    def is_right(self) -> bool:
        """Whether the answer is complete and equals the expected one."""
        if self.answer.status != 200 or not self.answer.is_complete:
            return False
        if self.req.target.startswith("/services/"):
            path = self.req.target.removeprefix(f"/services/{layout.PLAIN}")
            expected_body = expected.plain(self.req.method, path, self.req.body)
            return self.answer.body == expected_body
        return self.answer.text() == expected.text(json.loads(self.req.body))

    def __str__(self) -> str:
        result = (
            self.answer.error or self.problem or ("right" if self.is_right else "-")
        )
        outcome = f" {self.answer.outcome}" if self.answer.outcome else ""
        return f"{self.answer.status} {result}{outcome}"


@attrs.frozen
class Caller:
    """A caller of one organisation.

    Parameters
    ----------
    running : fleet.Fleet
    organisation : str
    """

    running: fleet.Fleet
    organisation: str

    async def ask_entry(self, via: str) -> dict[str, Any]:
        """Request the recommended entry VMs and a key prefix."""
        exchange = await self._send(via, "GET", "/v1/entry")
        return exchange.answer.json() if exchange.answer.status == 200 else {}

    async def chat(
        self, via: str, prompt: str, max_tokens: int = 16, is_streamed: bool = True
    ) -> Exchange:
        """Send a chat request to the model."""
        body = {
            "model": layout.MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": is_streamed,
        }
        return await self._send(
            via, "POST", "/v1/chat/completions", json.dumps(body).encode()
        )

    async def book(self, via: str, key: str, order: str) -> Exchange:
        """Send a booking, which may not run twice."""
        body = json.dumps({"order": order}).encode()
        target = f"/services/{layout.PLAIN}{BOOKING_PATH}"
        headers = {"idempotency-key": key} if key else {}
        return await self._send(via, "POST", target, body, headers)

    async def look_up(self, via: str, path: str) -> Exchange:
        """Send a retryable lookup to the plain service."""
        return await self._send(via, "GET", f"/services/{layout.PLAIN}{path}")

    async def _send(
        self,
        via: str,
        method: str,
        target: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Exchange:
        token = layout.token_of(self.organisation)
        req = caller.Request(
            address=self.running.vms[via].address,
            method=method,
            target=target,
            headers={"authorization": f"Bearer {token}", **(headers or {})},
            body=body,
            timeout_s=TIMEOUT_S,
        )
        return Exchange(req, await caller.send(req))
