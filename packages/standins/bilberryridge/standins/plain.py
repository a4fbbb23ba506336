"""A fake plain service: retryable lookups and at-most-once bookings.

See Also
--------
bilberryridge.standins.expected : its answers.
bilberryridge.standins.faults : fault injection.
"""

import asyncio

import attrs

from bilberryridge.standins import expected, faults, web

RETRY_AFTER_S = 1


@attrs.frozen
class Settings:
    """Settings of one plain server.

    Parameters
    ----------
    name : str
    address : str
        ``host:port``; its control port is the next one.
    work_s : float
        Processing time of one request.
    n_slots, max_waiting : int
        Largest number of requests in progress and in its queue.
    checks_keys : bool
        Whether the server itself runs each idempotency key at most once.
    """

    name: str
    address: str
    work_s: float = 0.02
    n_slots: int = 8
    max_waiting: int = 64
    checks_keys: bool = False


class PlainServer:
    """A fake plain server.

    Parameters
    ----------
    cfg : Settings
    """

    def __init__(self, cfg: Settings):
        self._cfg = cfg
        self._log = faults.RunLog()
        self._slots = asyncio.Semaphore(cfg.n_slots)
        self._n_waiting = 0
        self._n_running = 0
        self._answers: dict[str, bytes] = {}
        server = web.Server(cfg.address, self._serve)
        self.control = faults.Control(server, self._log, lambda: None)

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.control.open()
        await asyncio.Event().wait()

    async def _serve(self, call: web.Call) -> None:
        if call.path == "/metrics":
            await self._serve_report(call)
            return
        fault = self.control.faults.for_next_answer()
        if fault.status:
            call.respond_json({"error": "broken"}, fault.status)
        elif self._n_waiting >= self._cfg.max_waiting:
            self._log.n_refused += 1
            call.respond(503, b"{}", {"retry-after": str(RETRY_AFTER_S)})
        else:
            await self._run_in_slot(call, fault)

    async def _serve_report(self, call: web.Call) -> None:
        if self.control.faults.is_silent:
            await call.disconnected.wait()
        report = (
            f"service_requests_running {self._n_running}\n"
            f"service_requests_waiting {self._n_waiting}\n"
        )
        call.respond(200, report.encode(), {"content-type": "text/plain"})

    async def _run_in_slot(self, call: web.Call, fault: faults.Faults) -> None:
        self._n_waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._n_waiting -= 1
        self._n_running += 1
        try:
            answer = await self._work(call, fault)
        finally:
            self._n_running -= 1
            self._slots.release()
        _respond(call, answer, fault)

    async def _work(self, call: web.Call, fault: faults.Faults) -> bytes:
        key = call.headers.get("idempotency-key", "")
        if self._cfg.checks_keys and key in self._answers:
            return self._answers[key]
        answer = expected.plain(call.method, call.target, call.body)
        self._log.add(call)
        if key:
            self._answers[key] = answer
        work_s = self._cfg.work_s * fault.slow_factor
        self._log.server_s += work_s
        await asyncio.sleep(work_s)
        return answer


def _respond(call: web.Call, answer: bytes, fault: faults.Faults) -> None:
    request_id = call.headers.get("x-request-id", "")
    head = {"x-request-id": request_id} if request_id else {}
    if fault.is_crossed:
        head["x-request-id"] = f"{request_id}-crossed"
        answer = expected.plain("GET", "/crossed", b"")
    if fault.is_lost:
        call.reset()
    elif fault.is_blank:
        call.respond(200, b"", head)
    elif fault.cut_after is not None:
        call.start(200, {**head, "content-length": str(len(answer))})
        call.send(answer[: fault.cut_after])
        call.close()
    else:
        call.respond(200, answer, head)
