"""What daemons tell each other of backend servers' loads."""

import attrs


@attrs.frozen
class ServerShare:
    """What one daemon has sent to one backend server and is not over.

    Parameters
    ----------
    n_open : int
        Requests.
    n_pending_tokens : int
        Prompt tokens still to be read, without those in the server's memory.
    n_urgent_tokens : int
        The part of `n_pending_tokens` that belongs to requests of priority 0.
    n_memory_tokens : int
        Memory that the open requests need at their end.
    parts : tuple of (str, int)
        Prompt parts sent there since the last message, with their tokens.
    failure_rate : float
        How often it fails, 0 to 1.
    n_sent_tokens : int
        Prompt tokens sent there to be read since the daemon's start.
    """

    n_open: int = 0
    n_pending_tokens: int = 0
    n_urgent_tokens: int = 0
    n_memory_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    failure_rate: float = 0.0
    n_sent_tokens: int = 0


@attrs.frozen
class DaemonLoads:
    """One daemon's part of the load of the backend servers of its region.

    Parameters
    ----------
    by_server : dict of str to ServerShare
        Only servers whose share has changed.
    """

    by_server: dict[str, ServerShare]


@attrs.frozen
class ServiceLoad:
    """A region's load of one service.

    Parameters
    ----------
    n_servers : int
        That take work.
    unloaded_first_s : float
        Time to the first token of an empty prompt, or to the answer, at the best server
        if no prompt waited there.
    n_pending_tokens, n_urgent_tokens : int
        Prompt tokens still to be read at all its servers, as in `ServerShare`.
    tokens_per_s : float
        Prompt tokens that one server reads.
    n_open, n_slots : int
        Of all its servers.
    n_free_tokens : int
        Memory left, of all its servers.
    inter_token_s : float
        Time between two tokens of a stream at the best server.
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
    """What a region's servers bear, for the other regions."""

    region: str
    by_service: dict[str, ServiceLoad]
