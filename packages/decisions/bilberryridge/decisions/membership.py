"""Daemons and backend servers as seen by this node.

There are three sources: the platform's list, which lags, heartbeats over control
connections, and failed connection attempts. A connected daemon is live while its
heartbeats arrive. One that is not connected is assumed to be live unless it is listed
or reported otherwise or a recent attempt to connect to it failed.
"""

from collections.abc import Iterable

import attrs

from bilberryridge.core import documents, messages
from bilberryridge.decisions import charts, events, rendezvous

HEARTBEAT_INTERVAL_S = 1.0
HEARTBEAT_TIMEOUT_S = 3.0
REMOTE_INTERVAL_FACTOR = 3
"""Factor on the heartbeat interval and timeout between daemons of different domains."""
UNREACHABLE_VALID_S = 5.0
LIST_FRESH_S = 5.0
REPORT_VALID_S = 8.0
"""Time for which a peer's report counts; it is repeated at shorter intervals."""
CONTACT_TIMEOUT_S = 5.0


@attrs.define
class Peer:
    """Another daemon.

    Parameters
    ----------
    vm : str
    state : str
        State in the chart ``peer``.
    incarnation : str
    last_frame_s : float
        Time at which the last frame was received.
    revision : int
    is_leaving, is_watching_store : bool
    n_open : int
    """

    vm: str
    state: str
    incarnation: str = ""
    last_frame_s: float = 0.0
    revision: int = 0
    is_leaving: bool = False
    is_watching_store: bool = False
    n_open: int = 0


class Membership:
    """The daemons and backend servers known to one node.

    Parameters
    ----------
    local_vm : str
        Name of this node's VM.
    """

    def __init__(self, local_vm: str):
        self._local_vm = local_vm
        self._peer_chart = charts.load("peer")
        self._server_chart = charts.load("server")
        self._peers: dict[str, Peer] = {}
        self._server_states: dict[str, str] = {}
        self._list_read_s: float | None = None
        self._unreachable_until_s: dict[str, float] = {}
        self._reported_leaving: dict[str, tuple[float, frozenset[str]]] = {}
        self._reporters: dict[str, set[str]] = {}
        self._first_tick_s: float | None = None

    def begin(self, now_s: float) -> None:
        """Record the time of the first tick; later calls have no effect."""
        if self._first_tick_s is None:
            self._first_tick_s = now_s

    def peer(self, vm: str) -> Peer | None:
        """Return the state of a daemon, or None if it is unknown."""
        return self._peers.get(vm)

    def connected_peers(self) -> list[Peer]:
        """Return the daemons with an open, authenticated connection."""
        return [p for p in self._peers.values() if p.state != "absent"]

    def on_up(self, now_s: float, vm: str, incarnation: str) -> None:
        """Record a new connection."""
        peer = self._step(vm, "connect")
        if peer.incarnation != incarnation:
            peer.is_leaving = False
        peer.incarnation = incarnation
        peer.last_frame_s = now_s
        self._unreachable_until_s.pop(vm, None)

    def on_down(self, vm: str) -> None:
        """Record that the last connection was closed."""
        self._step(vm, "disconnect")

    def on_frame(self, now_s: float, frame: messages.Frame) -> None:
        """Record a control message of a daemon."""
        peer = self._step(frame.sender, "hear")
        peer.last_frame_s = now_s
        peer.incarnation = frame.incarnation
        peer.revision = frame.revision
        if isinstance(frame.body, messages.Heartbeat):
            peer.is_leaving = frame.body.is_leaving
            peer.is_watching_store = frame.body.is_watching_store
            peer.n_open = frame.body.n_open
        if isinstance(frame.body, messages.LeavingServers):
            self._on_leaving_reported(
                now_s, frame.sender, frozenset(frame.body.servers)
            )

    def on_unreachable(self, now_s: float, vm: str) -> None:
        """Record that a connection to a daemon could not be established."""
        self._unreachable_until_s[vm] = now_s + UNREACHABLE_VALID_S

    def on_list(
        self, now_s: float, states: Iterable[tuple[str, events.VmState]]
    ) -> list[tuple[str, str, str]]:
        """Apply the platform's list; return changes as (VM, before, after)."""
        self._list_read_s = now_s
        by_vm = dict(states)
        changes = []
        for vm in by_vm.keys() | self._server_states.keys():
            before = self._server_states.get(vm, self._server_chart.initial)
            after = self._server_chart.step(before, _list_event(by_vm.get(vm)))
            self._server_states[vm] = after
            if after != before:
                changes.append((vm, before, after))
        return changes

    def expire(self, now_s: float, local_daemons: set[str]) -> list[str]:
        """Time out daemons without recent frames; return those that just timed out.

        Parameters
        ----------
        local_daemons : set of str
            Names of the daemons of the local failure domain.
        """
        silent = []
        for peer in self._peers.values():
            interval_factor = 1 if peer.vm in local_daemons else REMOTE_INTERVAL_FACTOR
            is_late = now_s - peer.last_frame_s > interval_factor * HEARTBEAT_TIMEOUT_S
            if peer.state == "connected" and is_late:
                peer.state = self._peer_chart.step(peer.state, "time_out")
                silent.append(peer.vm)
        return silent

    def accepts_new_requests(self, now_s: float, vm: documents.Vm) -> bool:
        """Whether a backend server may be sent new requests."""
        if vm.is_draining:
            return False
        if self._server_states.get(vm.name) in ("leaving", "gone"):
            return False
        return self._is_list_fresh(now_s) or not self._is_reported_leaving(
            now_s, vm.name
        )

    def listed_leaving(self) -> set[str]:
        """Return the VMs that are leaving or gone according to the platform's list."""
        return {vm for vm, s in self._server_states.items() if s in ("leaving", "gone")}

    def leaving_reported_by(self, now_s: float, sender: str) -> frozenset[str]:
        """Return the VMs that a daemon recently reported as leaving."""
        reported_s, vms = self._reported_leaving.get(
            sender, (float("-inf"), frozenset())
        )
        return vms if now_s - reported_s <= REPORT_VALID_S else frozenset()

    def is_live_daemon(self, now_s: float, vm: str) -> bool:
        """Whether a daemon counts as live; it may be leaving."""
        if vm == self._local_vm:
            return True
        peer = self._peers.get(vm)
        if peer is not None and peer.state == "connected":
            return True
        if self._unreachable_until_s.get(vm, 0.0) > now_s:
            return False
        if peer is not None and peer.state == "silent":
            return False
        if self._is_reported_leaving(now_s, vm):
            return False
        return self._server_states.get(vm) != "gone"

    def is_live_local_daemon(self, now_s: float, vm: str) -> bool:
        """Whether a daemon of the local failure domain is live.

        All daemons of a domain keep connections to each other, so one without a
        connection is down. Just after its start, a node allows them time to connect.
        """
        if vm == self._local_vm or self.is_connected(vm):
            return True
        is_new = (
            self._first_tick_s is None
            or now_s - self._first_tick_s <= HEARTBEAT_TIMEOUT_S
        )
        return is_new and vm not in self._peers

    def is_leaving_daemon(self, vm: str) -> bool:
        """Whether a daemon refuses new callers because it is leaving."""
        peer = self._peers.get(vm)
        if peer is not None and peer.state == "connected":
            return peer.is_leaving
        return self._server_states.get(vm) == "leaving"

    def is_connected(self, vm: str) -> bool:
        """Whether the daemon is connected and its frames arrive in time."""
        peer = self._peers.get(vm)
        return peer is not None and peer.state == "connected"

    def is_replaced_incarnation(self, vm: str, incarnation: str) -> bool:
        """Whether another incarnation of the daemon has been seen since."""
        peer = self._peers.get(vm)
        return (
            peer is not None
            and bool(peer.incarnation)
            and (peer.incarnation != incarnation)
        )

    def _step(self, vm: str, event: str) -> Peer:
        peer = self._peers.get(vm)
        if peer is None:
            peer = Peer(vm, self._peer_chart.initial)
            self._peers[vm] = peer
        peer.state = self._peer_chart.step(peer.state, event)
        return peer

    def _is_list_fresh(self, now_s: float) -> bool:
        return (
            self._list_read_s is not None and now_s - self._list_read_s <= LIST_FRESH_S
        )

    def _on_leaving_reported(
        self, now_s: float, sender: str, vms: frozenset[str]
    ) -> None:
        _, before = self._reported_leaving.get(sender, (0.0, frozenset()))
        for vm in before - vms:
            self._reporters[vm].discard(sender)
            if not self._reporters[vm]:
                del self._reporters[vm]
        for vm in vms - before:
            self._reporters.setdefault(vm, set()).add(sender)
        self._reported_leaving[sender] = (now_s, vms)

    def _is_reported_leaving(self, now_s: float, vm: str) -> bool:
        senders = self._reporters.get(vm, ())
        return any(
            now_s - self._reported_leaving[sender][0] <= REPORT_VALID_S
            for sender in senders
        )


def _list_event(state: events.VmState | None) -> str:
    if state is None:
        return "list_without"
    if state is events.VmState.LEAVING:
        return "list_leaving"
    return "list_live"


def responsible_for(key: str, vms: Iterable[str]) -> str | None:
    """Return the VM among `vms` that is responsible for a key, or None if empty."""
    names = list(vms)
    return rendezvous.ranked(key, names)[0] if names else None
