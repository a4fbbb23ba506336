"""Settings of the peers task."""

import attrs


@attrs.frozen
class PeersSettings:
    """Identity, addresses, time-outs and limits of a daemon's control connections.

    Parameters
    ----------
    vm : str
        Name of this VM.
    incarnation : str
        Identifies this run of the daemon; new at every start.
    peer_address : str
        ``host:port`` to listen at; its host is also the source of dialled connections.
    shared_key : bytes
        Secret of the daemons of the deployment.
    keepalive_interval_s : float
        Longest time without sent data on a connection.
    idle_timeout_s : float
        A connection without received data for this time is closed.
    handshake_timeout_s : float
        From the start of the connection until the handshake is complete.
    min_backoff_s, max_backoff_s : float
        Wait before the second attempt to connect, and its upper bound, before jitter.
    max_queued_messages, max_queued_bytes : int
        Bounds of the messages queued for one peer.
    """

    vm: str
    incarnation: str
    peer_address: str
    shared_key: bytes = attrs.field(repr=False)
    keepalive_interval_s: float = 0.8
    idle_timeout_s: float = 2.5
    handshake_timeout_s: float = 2.0
    min_backoff_s: float = 0.1
    max_backoff_s: float = 2.0
    max_queued_messages: int = 512
    max_queued_bytes: int = 8 * 1024 * 1024
