"""Messages in which daemons report the loads of backend servers to each other."""

import attrs

from bilberryridge.decisions.ingress import admission, stream_origins


@attrs.frozen
class ServerShare:
    """One daemon's share of the open work at one backend server.

    Parameters
    ----------
    n_open : int
        Open requests.
    n_pending_tokens : int
        Prompt tokens still to be prefilled, without those that the server has cached.
    n_urgent_tokens : int
        The part of `n_pending_tokens` that belongs to requests of priority 0.
    n_memory_tokens : int
        Engine memory that the open requests need when they end.
    parts : tuple of (str, int)
        Id and token count of the prompt parts sent there since the last message.
    failure_rate : float
        Smoothed fraction of the daemon's attempts there that failed, 0 to 1.
    n_sent_tokens : int
        Prompt tokens sent to the server for prefill since the daemon's start.
    leaving_start_ms : int
        Start time of the server if it has told the daemon that it leaves; 0 otherwise.
    limit_per_s : float or None
        Rate limit that the server's answers to the daemon name; None for none.
    n_limited_sends : int
        Requests that the daemon sent there under a limit since the last message.
    is_unreachable : bool
        Whether the daemon has lost its path to the server.
    brittle_per_s : float or None
        What the server's last answer to the daemon says; see `server_room`.
    n_turned_away : int
        Requests that a brittle server had no room for since the last message.
    n_reached : int
        Probes of the server since the last message that began after another daemon had
        lost its path and connected.
    is_limit_named : bool
        Whether an answer since the last message names that limit.
    n_limit_unnamed : int
        Answers since then, and since that one, that name no limit.
    stated_pace : float or None
        Pace that the server has stated to the daemon since the last message; None if
        it has stated none.
    pace_age_s : float
        How long ago.
    window : float or None
        Requests in flight that the daemon allows all daemons there while the server
        returns; None if it does not bound them.
    n_in_time, n_out_of_time : int
        Answers to the daemon since the last message that opened, or halved, the window.
    """

    n_open: int = 0
    n_pending_tokens: int = 0
    n_urgent_tokens: int = 0
    n_memory_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    failure_rate: float = 0.0
    n_sent_tokens: int = 0
    leaving_start_ms: int = 0
    limit_per_s: float | None = None
    n_limited_sends: int = 0
    is_unreachable: bool = False
    brittle_per_s: float | None = None
    n_turned_away: int = 0
    n_reached: int = 0
    is_limit_named: bool = False
    n_limit_unnamed: int = 0
    stated_pace: float | None = None
    pace_age_s: float = 0.0
    window: float | None = None
    n_in_time: int = 0
    n_out_of_time: int = 0


@attrs.frozen
class DaemonLoads:
    """One daemon's share of the load of its region's backend servers.

    Parameters
    ----------
    by_server : dict of str to ServerShare
        Only servers whose share has changed since the last message.
    streams : tuple of StreamRecord
        Streams that began there since the last message.
    offered : Offered or None
        Work that callers offer the daemon; None if that isn't due or not asked for.
    """

    by_server: dict[str, ServerShare]
    streams: tuple[stream_origins.StreamRecord, ...] = ()
    offered: admission.Offered | None = None


@attrs.frozen
class ServiceLoad:
    """Load of one service in one region.

    Parameters
    ----------
    n_servers : int
        Usable servers that are not warming up.
    unloaded_first_s : float
        Time to the first token of an empty prompt, or to the answer, at the fastest
        server if no prompt were waiting there.
    n_pending_tokens, n_urgent_tokens : int
        Prompt tokens still to be prefilled at all servers, as in `ServerShare`.
    tokens_per_s : float
        Prefill rate of one server.
    n_open, n_slots : int
        Open requests and slots of all servers.
    n_free_tokens : int
        Free engine memory of all servers.
    inter_token_s : float
        Time between two tokens of a stream at the fastest server.
    """

    n_servers: int
    unloaded_first_s: float
    n_pending_tokens: int
    n_urgent_tokens: int
    tokens_per_s: float
    n_open: int
    n_slots: int
    n_free_tokens: int
    inter_token_s: float = 0.0


@attrs.frozen
class RegionLoads:
    """Load of a region's servers, reported to the other regions.

    Parameters
    ----------
    region : str
    by_service : dict of str to ServiceLoad
        Of the servers that any daemon of the region reaches.
    cut_off : frozenset of str
        VMs of the region that have lost their paths to all servers of a service.
    rationed : frozenset of str
        Services whose servers can't serve all callers of the region.
    """

    region: str
    by_service: dict[str, ServiceLoad]
    cut_off: frozenset[str] = frozenset()
    rationed: frozenset[str] = frozenset()
