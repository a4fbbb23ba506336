"""Concurrent requests to the operators' ports of entry VMs.

See Also
--------
bilberryridge.daemon.operators : the server side.
"""

import collections
import json
import selectors
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import pycurl

from bilberryridge.store import calls
from bilberryridge.utilities import transfers

CALL_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MAX_CALLS = 64
MAX_SELECT_WAIT_S = 0.5


@attrs.frozen
class Answer:
    """The answer of an entry VM.

    Parameters
    ----------
    status : int
        HTTP status; 0 if there was no complete answer.
    body : bytes
    fault : str
        Why there was no complete answer.
    """

    status: int = 0
    body: bytes = b""
    fault: str = ""

    def as_json(self) -> dict[str, Any]:
        """Return the JSON object of an answer with status 200, else an empty dict."""
        try:
            value = json.loads(self.body) if self.status == 200 else {}
        except ValueError:
            value = {}
        return value if isinstance(value, dict) else {}


class _Body:
    def __init__(self) -> None:
        self.data = bytearray()

    def write(self, data: bytes) -> int:
        if len(self.data) + len(data) > MAX_ANSWER_BYTES:
            return 0
        self.data += data
        return len(data)


def ask(
    addresses: Mapping[str, str], method: str, path: str, token: str
) -> dict[str, Answer]:
    """Send the same request to several VMs concurrently and wait for all answers.

    Each call has a timeout of `CALL_TIMEOUT_S`.

    Parameters
    ----------
    addresses : mapping of str to str
        Operators' address ``host:port`` by VM name.
    method, path : str
    token : str
        The operators' bearer token.
    """
    answers: dict[str, Answer] = {}
    pending = collections.deque(sorted(addresses.items()))
    with (
        selectors.DefaultSelector() as selector,
        transfers.open_transfers(selector) as active,
    ):
        while pending or len(active):
            while pending and len(active) < MAX_CALLS:
                vm, address = pending.popleft()
                url = f"http://{address}{path}"
                _start(active, _make_curl(url, method, token), vm, answers)
            for key, mask in selector.select(active.timeout_s(MAX_SELECT_WAIT_S)):
                active.on_ready(key, mask)
            active.run_due()
    return answers


def _start(
    active: transfers.Transfers,
    curl_and_body: tuple[pycurl.Curl, _Body],
    vm: str,
    answers: dict[str, Answer],
) -> None:
    curl, body = curl_and_body

    def on_done(curl: pycurl.Curl, errno: int, text: str) -> None:
        if errno:
            answers[vm] = Answer(fault=text or f"libcurl error {errno}")
        else:
            status = curl.getinfo(pycurl.RESPONSE_CODE)
            answers[vm] = Answer(status, bytes(body.data))

    active.add(curl, on_done)


def _make_curl(url: str, method: str, token: str) -> tuple[pycurl.Curl, _Body]:
    body = _Body()
    call = calls.Call("operators", method, url, timeout_s=CALL_TIMEOUT_S)
    curl = calls.make_curl(call, body.write)
    curl.setopt(pycurl.HTTPHEADER, [f"Authorization: Bearer {token}"])
    return curl, body


def unanswered(answers: Mapping[str, Answer]) -> Iterable[str]:
    """Yield the VMs that failed to answer, with reasons; status 404 is an answer."""
    for vm, answer in sorted(answers.items()):
        if answer.status not in (200, 202, 404):
            yield f"{vm}: {answer.fault or f'status {answer.status}'}"
