"""The platform's list of VMs and its directory for clients, in Consul's conventions."""

import asyncio
import collections
import contextlib
from typing import Any

import attrs

from bilberryridge.standins import web

STATUS_BY_STATE = {"live": "passing", "leaving": "warning"}


@attrs.frozen
class View:
    """State of the list from a time on."""

    since_s: float
    states: dict[str, str]


class ListServer:
    """HTTP server of the list, whose view may lag or be frozen.

    Parameters
    ----------
    address : str
        ``host:port``.
    states : dict of str
        State of each VM by name: ``live`` or ``leaving``.
    """

    def __init__(self, address: str, states: dict[str, str]):
        self.server = web.Server(address, self._serve)
        self.counts: collections.Counter[str] = collections.Counter()
        self._lag_s = 0.0
        self._frozen: dict[str, str] | None = None
        self._views = [View(0.0, dict(states))]
        self._registered: dict[str, dict] = {}

    async def set_fault(self, fault: dict) -> None:
        """Set a fault.

        Kinds: those of `web.set_listener_fault`; ``lag`` (`lag_s`), ``freeze`` (the
        list shows no further change), ``vm`` (sets `name` to the `state` ``live``,
        ``leaving`` or ``dead``).
        """
        kind = fault["kind"]
        if kind == "heal":
            self._lag_s = 0.0
            self._frozen = None
        if await web.set_listener_fault(self.server, fault):
            return
        if kind == "lag":
            self._lag_s = float(fault["lag_s"])
        elif kind == "freeze":
            self._frozen = self._visible_states()
        elif kind == "vm":
            self._set_state(fault["name"], fault["state"])
        else:
            raise ValueError(f"unknown fault {kind!r}")

    def status(self) -> dict[str, Any]:
        """Return calls by kind, the current list and the directory."""
        return {
            "calls": dict(self.counts),
            "vms": self._views[-1].states,
            "directory": sorted(self._registered),
        }

    def _set_state(self, name: str, state: str) -> None:
        states = {k: v for k, v in self._views[-1].states.items() if k != name}
        if state != "dead":
            states[name] = state
        self._views.append(View(asyncio.get_running_loop().time(), states))

    def _visible_states(self) -> dict[str, str]:
        if self._frozen is not None:
            return self._frozen
        visible_at_s = asyncio.get_running_loop().time() - self._lag_s
        visible_states = self._views[0].states
        for view in self._views:
            if view.since_s <= visible_at_s:
                visible_states = view.states
        return visible_states

    async def _serve(self, call: web.Call) -> None:
        kind = call.path.removeprefix("/v1/")
        self.counts["/".join(kind.split("/")[:3])] += 1
        if kind == "health/service/vm":
            call.respond_json(
                [_vm_entry(*item) for item in self._visible_states().items()]
            )
        elif kind.startswith("health/service/"):
            call.respond_json(self._directory(kind.rpartition("/")[2]))
        elif call.method == "PUT" and kind == "agent/service/register":
            body = call.json()
            self._registered[body.get("ID") or body["Name"]] = body
            call.respond(200, b"")
        elif call.method == "PUT" and kind.startswith("agent/service/deregister/"):
            with contextlib.suppress(KeyError):
                del self._registered[kind.rpartition("/")[2]]
            call.respond(200, b"")
        else:
            call.respond_json({}, 404)

    def _directory(self, name: str) -> list[dict]:
        return [
            {"Node": {"Node": service_id}, "Service": body}
            for service_id, body in sorted(self._registered.items())
            if body["Name"] == name
        ]


def _vm_entry(name: str, state: str) -> dict:
    return {"Node": {"Node": name}, "Checks": [{"Status": STATUS_BY_STATE[state]}]}
