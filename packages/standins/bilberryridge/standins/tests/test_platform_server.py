import asyncio
import base64
import itertools
import json
import os

import pytest

from bilberryridge.standins import caller, etcd, list_server, store_server

NET = os.getpid() % 250 + 1
hosts = (f"127.{NET}.251.{n}" for n in itertools.count(1))


def b64(text):
    return base64.b64encode(text.encode()).decode()


def put(key, value):
    return {"request_put": {"key": b64(key), "value": b64(value)}}


def unless_changed(key, mod_revision, value):
    compare = {"key": b64(key), "target": "MOD", "mod_revision": str(mod_revision)}
    read = {"request_range": {"key": b64(key)}}
    return {"compare": [compare], "success": [put(key, value)], "failure": [read]}


def with_store(scenario):
    async def run():
        server = store_server.StoreServer(f"{next(hosts)}:2379")
        await server.server.open()
        leases = asyncio.create_task(server.run_leases())
        address = f"{server.server.host}:2379"
        try:
            await scenario(server, address)
        finally:
            leases.cancel()
            server.server.refuse()

    asyncio.run(run())


def post(address, target, body, timeout_s=5.0):
    data = json.dumps(body).encode()
    req = caller.Request(address, "POST", target, body=data, timeout_s=timeout_s)
    return caller.send(req)


def test_transaction_compares_and_range_pages():
    async def scenario(_server, address):
        for mod_revision, is_met in ((0, True), (0, False), (2, True), (2, False)):
            body = unless_changed("d/a", mod_revision, "1")
            answer = (await post(address, "/v3/kv/txn", body)).json()
            assert answer.get("succeeded", False) == is_met
        await post(address, "/v3/kv/txn", {"success": [put("d/b", "2")]})
        range_body = {"key": b64("d/"), "range_end": b64("d0"), "limit": "1"}
        response = (await post(address, "/v3/kv/range", range_body)).json()
        assert (response["count"], response["more"], len(response["kvs"])) == (
            "2",
            True,
            1,
        )
        assert response["kvs"][0]["version"] == "2"
        assert response["header"]["revision"] == "4"
        count_only = (
            await post(address, "/v3/kv/range", range_body | {"count_only": 1})
        ).json()
        assert "kvs" not in count_only
        sorting = {"sort_order": "DESCEND", "sort_target": "MOD"}
        newest = (await post(address, "/v3/kv/range", range_body | sorting)).json()
        assert newest["kvs"][0]["key"] == b64("d/b")
        sorting = {"sort_order": "ASCEND", "sort_target": "VERSION"}
        assert (await post(address, "/v3/kv/range", range_body | sorting)).status == 400

    with_store(scenario)


def test_write_with_lost_answer_takes_effect():
    async def scenario(server, address):
        await server.set_fault({"kind": "lose_answers", "n": 1})
        body = unless_changed("a", 0, "1")
        assert (await post(address, "/v3/kv/txn", body)).error == "cut"
        again = (await post(address, "/v3/kv/txn", body)).json()
        assert "succeeded" not in again
        assert again["responses"][0]["response_range"]["kvs"][0]["value"] == b64("1")
        assert server.counts["txn"] == 2

    with_store(scenario)


@pytest.mark.parametrize("fault", ["none", "silence_watches", "end_watches"])
def test_watch_sends_history_and_changes(fault):
    async def scenario(server, address):
        await post(address, "/v3/kv/put", {"key": b64("a"), "value": b64("1")})
        range_body = {"key": b64("a"), "start_revision": "2"}
        watched = asyncio.create_task(
            post(address, "/v3/watch", {"create_request": range_body}, 0.6)
        )
        async with asyncio.timeout(5):
            while not server.status()["n_watching"]:
                await asyncio.sleep(0.01)
        if fault != "none":
            await server.set_fault({"kind": fault})
        await post(address, "/v3/kv/put", {"key": b64("a"), "value": b64("2")})
        await post(address, "/v3/kv/deleterange", {"key": b64("a")})
        answer = await watched
        assert answer.error == ("cut" if fault == "end_watches" else "timeout")
        lines = [json.loads(line)["result"] for line in answer.body.splitlines()]
        assert lines[0]["created"]
        revisions = [e["kv"]["mod_revision"] for x in lines[1:] for e in x["events"]]
        assert revisions == (["2", "3", "4"] if fault == "none" else ["2"])

    with_store(scenario)


def test_lease_lapses_with_its_keys():
    async def scenario(server, address):
        granted = (await post(address, "/v3/lease/grant", {"TTL": "60"})).json()
        put_body = {"key": b64("a"), "value": b64("1"), "lease": granted["ID"]}
        await post(address, "/v3/kv/put", put_body)
        lease = {"ID": granted["ID"]}
        renewed = (await post(address, "/v3/lease/keepalive", lease)).json()
        assert renewed["result"]["TTL"] == "60"
        await server.set_fault({"kind": "lapse"})
        response = (await post(address, "/v3/kv/range", {"key": b64("a")})).json()
        assert "kvs" not in response
        renewed = (await post(address, "/v3/lease/keepalive", lease)).json()
        assert "TTL" not in renewed["result"]

    with_store(scenario)


def test_restore_returns_to_older_revision():
    store = etcd.Store(lambda _: None)
    for value in (b"1", b"2", b"3"):
        store.run([etcd.Put(b"a", value)])
    store.restore(3)
    (response,) = store.run([etcd.Range(b"a")])
    assert (store.revision, response.kvs[0].value) == (3, b"2")


def test_list_lags_and_freezes():
    async def run():
        server = list_server.ListServer(f"{next(hosts)}:8500", {"a": "live"})
        await server.server.open()
        address = f"{server.server.host}:8500"

        async def shown():
            entries = await caller.get_json(address, "/v1/health/service/vm")
            return {e["Node"]["Node"]: e["Checks"][0]["Status"] for e in entries}

        leaving = {"kind": "vm", "name": "a", "state": "leaving"}
        for fault, status in (
            ({"kind": "lag", "lag_s": 60}, "passing"),
            (leaving, "passing"),
            ({"kind": "freeze"}, "passing"),
            ({"kind": "lag", "lag_s": 0}, "passing"),
            ({"kind": "heal"}, "warning"),
        ):
            await server.set_fault(fault)
            assert await shown() == {"a": status}, fault
        await server.set_fault({"kind": "vm", "name": "a", "state": "dead"})
        assert await shown() == {}
        server.server.refuse()

    asyncio.run(run())
