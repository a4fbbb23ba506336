"""Paths between daemons and backend servers, each of which can be lost for a while."""

import collections
import enum

import attrs

CONNECT_TIMEOUT_S = 0.4
KEPT_FOR_S = 10.0
"""How long a daemon keeps a connection that it doesn't use."""
SILENCE_S = 2.5
"""Silence after which a daemon gives a connection up."""


class State(enum.Enum):
    """What happens to the connections of a path."""

    OPEN = "open"
    REFUSED = "refused"
    """Open connections are reset, and new ones refused."""
    HANGING = "hanging"
    """No byte passes, and no new connection is made."""
    KEPT = "kept"
    """Open connections live on, and new ones are refused."""


@attrs.frozen
class LostPaths:
    """Paths that are lost for a while.

    Parameters
    ----------
    at_s, for_s : float
    state : State
    vms : tuple of str
    server_ids : tuple of str
        Empty for all servers.
    """

    at_s: float
    for_s: float
    state: State
    vms: tuple[str, ...]
    server_ids: tuple[str, ...] = ()


class PathTable:
    """The state of all paths, and which of them have a kept connection.

    Examples
    --------
    >>> table = PathTable()
    >>> lost = LostPaths(1.0, 2.0, State.KEPT, ("vm-1",), ("s-1",))
    >>> table.record_used("vm-1", "s-1", 0.9)
    >>> table.begin(lost, ["s-1", "s-2"])
    >>> table.can_send("vm-1", "s-1", 1.1), table.can_connect("vm-1", "s-1")
    (True, False)
    >>> table.end(lost, ["s-1", "s-2"])
    >>> table.can_connect("vm-1", "s-1")
    True
    """

    def __init__(self) -> None:
        self._lost: dict[tuple[str, str], list[State]] = collections.defaultdict(list)
        self._used_s: dict[tuple[str, str], float] = {}

    def begin(self, lost: LostPaths, all_servers: list[str]) -> None:
        """Lose paths; resets those of the state `REFUSED`."""
        for vm in lost.vms:
            for server_id in lost.server_ids or all_servers:
                self._lost[vm, server_id].append(lost.state)
                if lost.state is State.REFUSED:
                    self._used_s.pop((vm, server_id), None)

    def end(self, lost: LostPaths, all_servers: list[str]) -> None:
        """Give paths back."""
        for vm in lost.vms:
            for server_id in lost.server_ids or all_servers:
                self._lost[vm, server_id].remove(lost.state)

    def is_hanging(self, vm: str, server_id: str) -> bool:
        """Return whether nothing passes, without a word to either side."""
        return State.HANGING in self._lost[vm, server_id]

    def can_connect(self, vm: str, server_id: str) -> bool:
        """Return whether a new connection is made."""
        return not self._lost[vm, server_id]

    def can_send(self, vm: str, server_id: str, now_s: float) -> bool:
        """Return whether a request can be sent, at least into a silent connection."""
        if self.can_connect(vm, server_id):
            return True
        used_s = self._used_s.get((vm, server_id))
        return used_s is not None and now_s - used_s < KEPT_FOR_S

    def record_used(self, vm: str, server_id: str, now_s: float) -> None:
        """Record that an answer left a connection that is kept."""
        self._used_s[vm, server_id] = now_s

    def forget(self, vm: str) -> None:
        """Close the connections of a daemon that ends."""
        self._used_s = {key: at for key, at in self._used_s.items() if key[0] != vm}
