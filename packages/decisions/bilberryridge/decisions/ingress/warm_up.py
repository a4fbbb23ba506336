"""Rate limit of requests to a cold backend server, for all daemons together."""


class WarmUpGate:
    """Limits the rate at which this daemon sends requests to one cold server.

    The `n_daemons` that may send to the server take turns. Whose turn it is
    follows from the server's remaining warm-up time and each daemon's index, so daemons
    need not communicate. The tolerance of the limit covers daemons that join or leave.

    Examples
    --------
    >>> gate = WarmUpGate()
    >>> gate.is_open(10.0, cold_for_s=4.0, requests_per_s=2.0, index=0, n_daemons=2)
    True
    >>> gate.record_send(10.0)
    >>> gate.is_open(10.2, cold_for_s=3.8, requests_per_s=2.0, index=0, n_daemons=2)
    False
    >>> gate.is_open(11.1, cold_for_s=2.9, requests_per_s=2.0, index=0, n_daemons=2)
    False
    >>> gate.is_open(11.1, cold_for_s=2.9, requests_per_s=2.0, index=1, n_daemons=2)
    True
    """

    def __init__(self) -> None:
        self._last_send_s = float("-inf")

    def is_open(
        self,
        now_s: float,
        cold_for_s: float,
        requests_per_s: float,
        index: int,
        n_daemons: int,
    ) -> bool:
        """Return whether a request may be sent now.

        Parameters
        ----------
        now_s : float
        cold_for_s : float
            Remaining warm-up time of the server.
        requests_per_s : float
            Rate limit of the cold server; 0 for no limit.
        index : int
            Index of this daemon among those that may send to the server, from 0.
        n_daemons : int
        """
        if requests_per_s <= 0:
            return True
        if now_s - self._last_send_s < max(1, n_daemons - 1) / requests_per_s:
            return False
        return int(cold_for_s * requests_per_s) % n_daemons == index

    def record_send(self, now_s: float) -> None:
        """Record that a request was sent."""
        self._last_send_s = now_s
