"""Fake configuration store: etcd's JSON gateway with fault injection."""

import asyncio
import collections
import json
from collections.abc import Callable
from typing import Any

import attrs

from bilberryridge.standins import etcd, etcd_json, web

LEASE_CHECK_INTERVAL_S = 0.1
WRITES = frozenset(["put", "delete", "txn"])


@attrs.define(eq=False)
class _Watch:
    """A client's watch of a key range."""

    call: web.Call
    key: bytes
    range_end: bytes
    is_silent: bool = False

    def send_events(self, header: dict, kvs: list[etcd.KeyValue]) -> None:
        """Send the events of one revision that are in the watched range."""
        events = [
            etcd_json.event(kv)
            for kv in kvs
            if etcd.is_in_range(kv.key, self.key, self.range_end)
        ]
        if events and not self.is_silent:
            result = {"header": header, "events": events}
            self.call.send(json.dumps({"result": result}).encode() + b"\n")


class StoreServer:
    """The store's HTTP server.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address: str):
        self.server = web.Server(address, self._serve)
        self.store = etcd.Store(self._notify_watches)
        self.counts: collections.Counter[str] = collections.Counter()
        self._watches: set[_Watch] = set()
        self._n_answers_to_lose = 0
        self._routes: dict[str, Callable[[dict], dict]] = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete,
            "/v3/kv/txn": self._transact,
            "/v3/lease/grant": self._grant,
            "/v3/lease/revoke": self._revoke,
            "/v3/kv/lease/revoke": self._revoke,
            "/v3/lease/timetolive": self._time_to_live,
            "/v3/kv/lease/timetolive": self._time_to_live,
        }

    async def run_leases(self) -> None:
        """End expired leases until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            self.store.end_due_leases()

    async def set_fault(self, fault: dict) -> None:
        """Set a fault.

        Kinds: those of `web.set_listener_fault`; ``lose_answers`` (the next `n` writes
        take effect but the connection is reset), ``silence_watches``, ``end_watches``,
        ``lapse`` (ends `lease`, or every lease), ``restore`` (to `revision`).
        """
        if fault["kind"] == "heal":
            self._n_answers_to_lose = 0
        if await web.set_listener_fault(self.server, fault):
            return
        faults: dict[str, Callable[[dict], None]] = {
            "lose_answers": self._lose_answers,
            "silence_watches": self._silence_watches,
            "end_watches": self._end_watches,
            "lapse": self._lapse,
            "restore": self._restore,
        }
        faults[fault["kind"]](fault)

    def status(self) -> dict[str, Any]:
        """Return calls by kind, the number of open watches and the revision."""
        return {
            "calls": dict(self.counts),
            "n_watching": len(self._watches),
            "revision": self.store.revision,
        }

    def _lose_answers(self, fault: dict) -> None:
        self._n_answers_to_lose = int(fault.get("n", 1))

    def _silence_watches(self, _fault: dict) -> None:
        for watch in self._watches:
            watch.is_silent = True

    def _end_watches(self, _fault: dict) -> None:
        for watch in list(self._watches):
            watch.call.reset()

    def _lapse(self, fault: dict) -> None:
        ids = [int(fault["lease"])] if "lease" in fault else list(self.store.leases)
        for lease_id in ids:
            self.store.end_lease(lease_id)

    def _restore(self, fault: dict) -> None:
        self.store.restore(int(fault["revision"]))
        self._end_watches(fault)

    async def _serve(self, call: web.Call) -> None:
        if call.path == "/v3/watch":
            await self._watch(call)
        elif call.path == "/v3/lease/keepalive":
            self._keep_alive(call)
        elif call.path in self._routes:
            self._answer(call)
        else:
            call.respond_json({"error": "Not Found", "code": 5}, 404)

    def _answer(self, call: web.Call) -> None:
        kind = call.path.rpartition("/")[2].replace("deleterange", "delete")
        self.counts[kind] += 1
        try:
            answer = self._routes[call.path](call.json())
        except (KeyError, ValueError, TypeError) as exc:
            call.respond_json({"error": repr(exc), "code": 3}, 400)
            return
        if kind in WRITES and self._n_answers_to_lose:
            self._n_answers_to_lose -= 1
            call.reset()
            return
        call.respond_json({"header": self._header(), **answer})

    def _header(self) -> dict[str, str]:
        return {
            "cluster_id": "1",
            "member_id": "1",
            "revision": str(self.store.revision),
            "raft_term": "1",
        }

    def _run(self, op: etcd.Operation) -> dict:
        return etcd_json.answer(op, self.store.run([op])[0])

    def _range(self, body: dict) -> dict:
        return self._run(etcd_json.read(body))

    def _put(self, body: dict) -> dict:
        return self._run(etcd_json.put(body))

    def _delete(self, body: dict) -> dict:
        return self._run(etcd_json.delete(body))

    def _transact(self, body: dict) -> dict:
        compares = [etcd_json.compare(c) for c in body.get("compare", [])]
        is_met = all(self.store.holds(c) for c in compares)
        chosen = body.get("success" if is_met else "failure", [])
        operations = [etcd_json.operation(op) for op in chosen]
        results = self.store.run(operations)
        pairs = zip(operations, results, strict=True)
        responses = [etcd_json.answer_in_transaction(op, f) for op, f in pairs]
        answer: dict[str, Any] = {"succeeded": True} if is_met else {}
        return answer | ({"responses": responses} if responses else {})

    def _grant(self, body: dict) -> dict:
        ttl_s = int(body["TTL"])
        lease_id = self.store.grant(ttl_s, int(body.get("ID", 0)))
        return {"ID": str(lease_id), "TTL": str(ttl_s)}

    def _revoke(self, body: dict) -> dict:
        self.store.end_lease(int(body["ID"]))
        return {}

    def _time_to_live(self, body: dict) -> dict:
        lease_id = int(body["ID"])
        lease = self.store.leases.get(lease_id)
        if lease is None:
            return {"ID": str(lease_id), "TTL": "-1"}
        now_s = asyncio.get_running_loop().time()
        keys = [etcd_json.to_text(k) for k in self.store.keys_of(lease_id)]
        return {
            "ID": str(lease_id),
            "TTL": str(max(0, int(lease.ends_s - now_s))),
            "grantedTTL": str(lease.ttl_s),
            **({"keys": keys} if keys and body.get("keys") else {}),
        }

    def _keep_alive(self, call: web.Call) -> None:
        self.counts["keepalive"] += 1
        lease_id = int(call.json()["ID"])
        ttl_s = self.store.keep_alive(lease_id)
        result = {"header": self._header(), "ID": str(lease_id)}
        if ttl_s:
            result["TTL"] = str(ttl_s)
        call.respond(200, json.dumps({"result": result}).encode() + b"\n")

    async def _watch(self, call: web.Call) -> None:
        self.counts["watch"] += 1
        request = call.json()["create_request"]
        key = etcd_json.to_bytes(request["key"])
        watch = _Watch(call, key, etcd_json.to_bytes(request.get("range_end")))
        call.start(200, {"content-type": "application/json"})
        created = {"header": self._header(), "created": True}
        call.send(json.dumps({"result": created}).encode() + b"\n")
        self._send_history(watch, int(request.get("start_revision", 0)))
        self._watches.add(watch)
        try:
            await call.disconnected.wait()
        finally:
            self._watches.discard(watch)

    def _send_history(self, watch: _Watch, start_revision: int) -> None:
        if start_revision:
            kvs = [kv for kv in self.store.history if kv.mod_revision >= start_revision]
            watch.send_events(self._header(), kvs)

    def _notify_watches(self, kvs: list[etcd.KeyValue]) -> None:
        for watch in list(self._watches):
            watch.send_events(self._header(), kvs)
