"""A fake model engine with OpenAI's chat completions API.

See Also
--------
bilberryridge.standins.batch : timing of the tokens.
bilberryridge.standins.expected : content of the tokens.
bilberryridge.standins.faults : fault injection.
"""

import asyncio
import collections
import json

import attrs

from bilberryridge.standins import batch, expected, faults, prefix_cache, web

CROSSED_BODY = {"model": "crossed", "messages": []}
RETRY_AFTER_S = 1
REPORT_INTERVAL_S = 0.1
METRIC_NAMES = (
    "vllm:num_requests_running",
    "vllm:num_requests_waiting",
    "vllm:prefix_cache_queries_total",
    "vllm:prefix_cache_hits_total",
    "vllm:generation_tokens_total",
)


@attrs.frozen
class Settings:
    """Settings of one engine.

    Parameters
    ----------
    name : str
    address : str
        ``host:port``; its control port is the next one.
    model : str
    report_lag_s : float
        Age of the values in its load report.
    speed : batch.Speed
    """

    name: str
    address: str
    model: str
    report_lag_s: float = 0.2
    speed: batch.Speed = attrs.field(factory=batch.Speed)


class Engine:
    """A fake engine.

    Parameters
    ----------
    cfg : Settings
    """

    def __init__(self, cfg: Settings):
        self._cfg = cfg
        self._batch = batch.Batch(cfg.speed)
        self._log = faults.RunLog()
        server = web.Server(cfg.address, self._serve)
        self.control = faults.Control(server, self._log, self._batch.clear)
        self._reports: collections.deque[tuple[float, bytes]] = collections.deque()

    async def run(self) -> None:
        """Serve until cancelled."""
        await self.control.open()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._batch.run())
            tasks.create_task(self._run_reports())

    async def _run_reports(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now_s = loop.time()
            self._reports.append((now_s, self._report()))
            while len(self._reports) > 1 and self._is_old_enough(1, now_s):
                self._reports.popleft()
            self._batch.slow_factor = self.control.faults.slow_factor
            self._log.server_s = self._batch.busy_s
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _is_old_enough(self, index: int, now_s: float) -> bool:
        return self._reports[index][0] <= now_s - self._cfg.report_lag_s

    def _report(self) -> bytes:
        values = (
            len(self._batch.running),
            self._batch.n_waiting,
            self._batch.n_prompt_tokens,
            self._batch.n_cached_tokens,
            self._batch.n_output_tokens,
        )
        label = f'{{model_name="{self._cfg.model}"}}'
        pairs = zip(METRIC_NAMES, values, strict=True)
        return "".join(f"{name}{label} {value}\n" for name, value in pairs).encode()

    async def _serve(self, call: web.Call) -> None:
        if call.path == "/metrics":
            await self._serve_report(call)
        elif call.path == "/v1/models":
            models = [{"id": self._cfg.model, "object": "model"}]
            call.respond_json({"object": "list", "data": models})
        elif call.path == "/v1/chat/completions" and call.method == "POST":
            await self._serve_chat(call)
        else:
            call.respond_json({"error": {"message": "not found"}}, 404)

    async def _serve_report(self, call: web.Call) -> None:
        if self.control.faults.is_silent:
            await call.disconnected.wait()
        call.respond(200, self._reports[0][1], {"content-type": "text/plain"})

    async def _serve_chat(self, call: web.Call) -> None:
        fault = self.control.faults.for_next_answer()
        if fault.status:
            call.respond_json({"error": {"message": "broken"}}, fault.status)
            return
        if self._batch.is_full:
            self._log.n_refused += 1
            call.respond(503, b"{}", {"retry-after": str(RETRY_AFTER_S)})
            return
        self._log.add(call)
        answer = _Answer(call, call.json(), fault)
        self._batch.add(answer.seq)
        try:
            await answer.ended.wait()
        except asyncio.CancelledError:
            self._log.n_cancelled += 1
            raise
        finally:
            self._batch.cancel(answer.seq)


class _Answer:
    """One answer, streamed or not."""

    def __init__(self, call: web.Call, body: dict, fault: faults.Faults):
        self.ended = asyncio.Event()
        self._call = call
        self._fault = fault
        self._is_streamed = bool(body.get("stream"))
        self._body = body
        self._text: list[str] = []
        self._request_id = call.headers.get("x-request-id", "")
        if fault.is_crossed:
            self._request_id += "-crossed"
            body = {**CROSSED_BODY, "max_tokens": expected.n_output_tokens(body)}
        tokens = [] if fault.is_blank else expected.tokens(body)
        self.seq = batch.Sequence(
            priority=int(self._body.get("priority", 0)),
            tokens=tokens or [""],
            digests=prefix_cache.chained_digests(expected.prompt(self._body)),
            n_prompt_tokens=_n_prompt_tokens(self._body),
            on_token=self._on_token,
            on_end=self._on_end,
        )
        self._head = {"x-request-id": self._request_id} if self._request_id else {}
        # The JSON around the tokens is encoded once: encoding costs more than sending.
        event = {
            "id": f"chatcmpl-{self._request_id}",
            "object": "chat.completion.chunk",
            "model": body.get("model", ""),
            "choices": [{"index": 0, "delta": {"content": "@"}, "finish_reason": None}],
        }
        self._before, _, self._after = json.dumps(event).rpartition("@")

    def _on_token(self, token: str) -> None:
        n_sent = len(self._text)
        if n_sent == self._fault.cut_after:
            self._call.close()
            self._fail()
            return
        self._text.append(token)
        if not self._is_streamed or self._fault.is_lost:
            return
        if not n_sent:
            head = {**self._head, "content-type": "text/event-stream"}
            self._call.start(200, head)
        if token:
            event = f"data: {self._before}{token}{self._after}\n\n"
            self._call.send(event.encode())

    def _fail(self) -> None:
        self.seq.is_cancelled = True
        self.ended.set()

    def _on_end(self) -> None:
        if self.ended.is_set():
            return
        if self._fault.is_lost:
            self._call.reset()
        elif self._is_streamed:
            self._end_stream()
        else:
            self._respond()
        self.ended.set()

    def _end_stream(self) -> None:
        if not self._fault.is_blank:
            choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
            event = {"object": "chat.completion.chunk", "choices": [choice]}
            self._call.send(f"data: {json.dumps(event)}\n\n".encode())
            self._call.send(b"data: [DONE]\n\n")
        self._call.end()

    def _respond(self) -> None:
        if self._fault.is_blank:
            self._call.respond(200, b"", self._head)
            return
        text = "".join(self._text)
        n_prompt = self.seq.n_prompt_tokens
        n_output = len(self._text)
        message = {"role": "assistant", "content": text}
        answer = {
            "id": f"chatcmpl-{self._request_id}",
            "object": "chat.completion",
            "model": self._body.get("model", ""),
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {
                "prompt_tokens": n_prompt,
                "completion_tokens": n_output,
                "total_tokens": n_prompt + n_output,
                "prompt_tokens_details": {"cached_tokens": self.seq.n_cached_tokens},
            },
        }
        self._call.respond(200, json.dumps(answer).encode(), self._head)


def _n_prompt_tokens(body: dict) -> int:
    return max(1, len(expected.prompt(body)) // expected.BYTES_PER_TOKEN)
