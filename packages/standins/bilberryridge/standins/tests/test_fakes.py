import asyncio
import contextlib
import itertools
import json
import os

import pytest

from bilberryridge.standins import batch, caller, engine, expected, plain, web

NET = os.getpid() % 250 + 1
hosts = (f"127.{NET}.250.{n}" for n in itertools.count(1))


@contextlib.asynccontextmanager
async def running(make, cfg):
    server = make(cfg)
    task = asyncio.create_task(server.run())
    await wait_listening(cfg.address)
    try:
        yield server
    finally:
        task.cancel()
        server.control._server.refuse()
        server.control._control.refuse()


async def wait_listening(address):
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(10):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return
            await asyncio.sleep(0.01)


def chat(address, content="hi", max_tokens=6, stream=True, **fields):
    messages = [{"role": "user", "content": content}]
    body = {"model": "m", "messages": messages, "max_tokens": max_tokens}
    body |= {"stream": stream, **fields}
    head = {"x-request-id": "r1"}
    target = "/v1/chat/completions"
    data = json.dumps(body).encode()
    return body, caller.Request(address, "POST", target, head, data, timeout_s=10)


def engine_cfg(**speed):
    fields = {"step_s": 0.001, "full_step_s": 0.002, **speed}
    return engine.Settings("e", f"{next(hosts)}:9000", "m", 0.0, batch.Speed(**fields))


ENGINE_FAULTS = [
    # fault, streamed, status, framing complete, complete, right text
    ({}, True, 200, True, True, True),
    ({}, False, 200, True, True, True),
    ({"cut_after": 3}, True, 200, False, False, False),
    ({"is_lost": True}, True, 0, False, False, False),
    ({"is_blank": True}, True, 200, True, False, False),
    ({"is_blank": True}, False, 200, True, True, False),
    ({"is_crossed": True}, True, 200, True, True, False),
    ({"status": 500}, False, 500, True, True, False),
    ({"status": 500, "n_left": 0}, False, 200, True, True, True),
]


@pytest.mark.parametrize("case", ENGINE_FAULTS, ids=str)
def test_engine_answers_with_its_faults(case):
    fault, stream, status, is_framing_complete, is_complete, right = case

    async def run():
        cfg = engine_cfg()
        async with running(engine.Engine, cfg) as server:
            await server.control.set_fault({"kind": "answers", **fault})
            body, req = chat(cfg.address, stream=stream)
            answer = await caller.send(req)
            assert answer.status == status
            assert (answer.is_framing_complete, answer.is_complete) == (
                is_framing_complete,
                is_complete,
            )
            assert (answer.text() == expected.text(body)) == right

    asyncio.run(run())


def test_engine_holds_slots_queue_priority_cancel_and_cache():
    async def run():
        cfg = engine_cfg(n_slots=1, max_waiting=2, step_s=0.02)
        async with running(engine.Engine, cfg) as server:
            sent = {}
            for name, fields, n_inside in (
                ("running", {"content": "a" * 1024, "max_tokens": 50}, 1),
                ("late", {"priority": 1, "max_tokens": 2}, 2),
                ("soon", {"priority": 0, "max_tokens": 2}, 3),
            ):
                _, req = chat(cfg.address, **fields)
                sent[name] = asyncio.create_task(caller.send(req))
                async with asyncio.timeout(10):
                    while server._batch.n_inside < n_inside:
                        await asyncio.sleep(0.005)
            _, req = chat(cfg.address)
            assert (await caller.send(req)).status == 503
            done = {name: await task for name, task in sent.items()}
            assert done["soon"].ended_s < done["late"].ended_s
            _, req = chat(cfg.address, "a" * 1024, max_tokens=500)
            left = await caller.send(caller.attrs.evolve(req, disconnect_after_s=0.2))
            assert (left.error, left.is_complete) == ("left", False)
            async with asyncio.timeout(10):
                while server._batch.running:
                    await asyncio.sleep(0.005)
            assert server._log.n_cancelled == 1
            assert server._batch.n_cached_tokens == 1024 // 4
            assert len(server._log.runs) == 4

    asyncio.run(run())


def test_batch_slows_as_it_fills():
    async def times(n_sequences):
        cfg = engine_cfg(n_slots=8, step_s=0.005, full_step_s=0.05)
        async with running(engine.Engine, cfg):
            sent = [caller.send(chat(cfg.address)[1]) for _ in range(n_sequences)]
            answers = await asyncio.gather(*sent)
            return max(a.ended_s - a.began_s for a in answers)

    assert asyncio.run(times(8)) > 3 * asyncio.run(times(1))


PLAIN_FAULTS = [
    # fault, checks keys, error, right, runs after a second attempt with the same key
    ({}, False, "", True, 2),
    ({}, True, "", True, 1),
    ({"is_lost": True, "n_left": 1}, True, "cut", False, 1),
    ({"is_lost": True, "n_left": 1}, False, "cut", False, 2),
    ({"cut_after": 3, "n_left": 1}, True, "cut", False, 1),
    ({"is_blank": True, "n_left": 1}, True, "", False, 1),
]


@pytest.mark.parametrize("case", PLAIN_FAULTS, ids=str)
def test_plain_server_runs_and_logs(case):
    fault, checks_keys, error, right, n_runs = case

    async def run():
        cfg = plain.Settings("p", f"{next(hosts)}:9000", checks_keys=checks_keys)
        async with running(plain.PlainServer, cfg) as server:
            await server.control.set_fault({"kind": "answers", **fault})
            head = {"idempotency-key": "k1"}
            req = caller.Request(cfg.address, "POST", "/book", head, b"bay 4")
            answer = await caller.send(req)
            expected_body = expected.plain("POST", "/book", b"bay 4")
            assert (answer.error, answer.body == expected_body) == (error, right)
            assert (await caller.send(req)).body == expected_body
            assert [r["key"] for r in server._log.runs] == ["k1"] * n_runs

    asyncio.run(run())


def test_listener_faults_and_heal():
    async def run():
        async def handler(call):
            call.respond_json({"ok": 1})

        server = web.Server(f"{next(hosts)}:9000", handler)
        await server.open()
        req = caller.Request(f"{server.host}:9000", "GET", "/", timeout_s=0.3)
        for fault, error in (
            ({"kind": "refuse"}, "refused"),
            ({"kind": "heal"}, ""),
            ({"kind": "hang"}, "timeout"),
            ({"kind": "heal"}, ""),
            ({"kind": "slow", "delay_s": 5}, "timeout"),
        ):
            assert await web.set_listener_fault(server, fault)
            assert (await caller.send(req)).error == error, fault
        server.refuse()

    asyncio.run(run())
