"""Whether this daemon can open connections to a backend server.

A lost path is not a dead server: the other daemons of the region may reach it. Only a
new connection shows that a path is back, and probes look for it, so that no caller's
request does.
"""

import math

FIRST_PROBE_AFTER_S, MAX_PROBE_AFTER_S = 0.1, 2.0
"""Time from a failed connection to the next probe; doubled with each failed probe."""
MIN_PROBE_INTERVAL_S = 0.5
"""Shortest time between probes of a path that isn't known to be lost."""


class ServerPath:
    """The path from this daemon to one start of one backend server.

    Attributes
    ----------
    is_lost : bool
        Whether the last new connection failed.
    is_probing : bool
        Whether a probe has begun and not ended.

    Examples
    --------
    >>> path = ServerPath()
    >>> path.record_failure(10.0)
    >>> path.is_open, path.is_probe_due(10.0), path.is_probe_due(10.1)
    (False, False, True)
    >>> path.begin_probe(10.1)
    >>> path.record_connected()
    >>> path.is_open
    True
    """

    def __init__(self) -> None:
        self.is_lost = False
        self.is_probing = False
        self._is_doubted = False
        self._probe_after_s = FIRST_PROBE_AFTER_S
        self._probe_s = math.inf
        self._probed_s = -math.inf

    @property
    def is_open(self) -> bool:
        """Whether it is neither lost nor in doubt."""
        return not (self.is_lost or self._is_doubted)

    @property
    def returns_s(self) -> float:
        """When it is probed next; negative infinity while it is open."""
        return self._probe_s if self.is_lost else -math.inf

    def record_failure(self, now_s: float) -> None:
        """Record that a new connection failed."""
        if self.is_lost and self.is_probing:
            self._probe_after_s = min(MAX_PROBE_AFTER_S, 2 * self._probe_after_s)
        if not self.is_lost or self.is_probing:
            self._probe_s = now_s + self._probe_after_s
        self.is_lost = True
        self._is_doubted = False
        self.is_probing = False

    def record_connected(self) -> None:
        """Record that a new connection was made."""
        if self.is_lost:
            self._probe_s = math.inf
        self.is_lost = False
        self._is_doubted = False
        self.is_probing = False
        self._probe_after_s = FIRST_PROBE_AFTER_S

    def ask(self, now_s: float, is_doubted: bool = False) -> None:
        """Ask for a probe, as the path may be lost.

        Parameters
        ----------
        now_s : float
        is_doubted : bool
            Whether new work should take another way until the probe has ended.
        """
        if self.is_lost or self.is_probing:
            return
        if now_s - self._probed_s >= MIN_PROBE_INTERVAL_S:
            self._is_doubted = self._is_doubted or is_doubted
            self._probe_s = now_s

    def ask_for_other(self, now_s: float) -> None:
        """Ask for a probe that begins after another daemon lost its path."""
        if not self.is_lost:
            self._probe_s = max(now_s, self._probed_s + MIN_PROBE_INTERVAL_S)

    def is_probed_since(self, at_s: float) -> bool:
        """Return whether a probe has begun since a moment."""
        return self._probed_s >= at_s

    def is_probe_due(self, now_s: float) -> bool:
        """Return whether a probe should begin."""
        return not self.is_probing and now_s >= self._probe_s

    def begin_probe(self, now_s: float) -> None:
        """Record that a probe has begun."""
        self.is_probing = True
        self._probed_s = now_s
        self._probe_s = math.inf
