"""Window of requests in flight at a backend server that has just returned.

All daemons of a region keep the same window for a server. Each counts its own answers
and those that the others report, so that the window opens with each answer in
time and halves when the server refuses, loses or delays one. A daemon has a part of it,
mostly far less than one request. So it gets credit at the rate at which its part of the
window would be used again and again, with the time that requests take, or until others
know of them. A daemon with more requests than its part gets a multiple of it while the
window is not half used, so that one daemon alone can use all of it.
"""

import math

import attrs

FIRST_FRACTION, FIRST_ALONE_FRACTION = 0.25, 0.5
"""First window, as a part of the server's slots: while other servers of the service
serve, and while none does."""
MIN_FIRST, MIN_WINDOW = 2.0, 1.0
"""Smallest first window, and smallest window."""
GAIN, ALONE_GAIN = 2.0, 3.0
"""How far an answer in time opens the window: it triples, or quadruples while no other
server serves, with each answer time."""
HALVED_GAIN = 0.25
"""The same after a halving, so that it does not soon reach the same bound again."""
HALVED_AT_ONCE_S = 0.4
"""Time after a halving in which further answers don't halve the window: one cause
delays all that are in flight, and reports of them take up to 0.3 s."""
LATE_FACTOR, LATE_MARGIN_S = 3.0, 0.1
"""An answer is late after that multiple of the expected time and the margin. Nine of
ten answers take up to 1.6 times the estimate."""
N_LATE, IN_TIME_WEIGHT = 2.0, 0.5
"""Late answers that halve the window, and how much of one an answer in time makes up
for. In the load model single late answers, of prompts that others overtook, kept
windows at 2 to 5 of 64 slots for 20 s."""
REFUSED_WEIGHT = 2
"""Late answers that a refused or lost one counts for."""
MAX_S, QUIET_S = 8.0, 2.0
"""A window ends at that age, but not sooner than so long after it was halved: with few
requests too few answers open it."""
USED_FRACTION = 0.5
"""Part of the window that is in use below which a daemon may take a larger part."""
MIN_CYCLE_S = 0.01
"""Least time that a request counts as in flight; estimates may be shorter."""
PART_GAIN = 4.0
"""Factor on the part of a daemon with too small a part, or by which it gives it back:
of 97 daemons one alone has all after four load reports, of 1 s each."""


@attrs.frozen
class Senders:
    """The daemons that share a window, as one of them knows them.

    Parameters
    ----------
    n_daemons : int
    weight : float
        Number of daemons for each one that can be heard.
    delay_s : float
        Time until the others know of a request.
    hold_s : float
        How long a request is in flight.
    """

    n_daemons: int = 1
    weight: float = 1.0
    delay_s: float = 0.1
    hold_s: float = 0.1

    @property
    def cycle_s(self) -> float:
        """Time in which the daemons together may send as many as the window holds."""
        return min(self.delay_s, self.hold_s)


class SlowStart:
    """The window of one start of a backend server, as one daemon knows it.

    Attributes
    ----------
    window : float
        Requests in flight of all daemons of the region; infinite while there is none.
    began_s : float
        When it began or began anew.
    n_in_time, n_out_of_time : int
        What `record_own` counted since this daemon's last load report.
    ended_s : float
        When the last window ended.

    Examples
    --------
    >>> slow_start = SlowStart()
    >>> slow_start.allows(n_open=500, now_s=10.0)
    True
    >>> slow_start.begin(10.0, n_slots=16, senders=Senders(), draw=0.5)
    >>> [slow_start.allows(n_open, 10.0) for n_open in (3, 4)]
    [True, False]
    >>> slow_start.record_answers(2, 0, 10.1)
    False
    >>> slow_start.window
    8.0
    >>> slow_start.record_answers(0, 3, 10.2), slow_start.window
    (True, 4.0)
    """

    def __init__(self) -> None:
        self.window = math.inf
        self.began_s = -math.inf
        self.ended_s = -math.inf
        self.n_in_time = 0
        self.n_out_of_time = 0
        self._n_slots = 1
        self._is_alone = False
        self._threshold = math.inf
        self._halved_s = -math.inf
        self._part = 1.0
        self._credit = 1.0
        self._credited_s = 0.0
        self._cycle_s = MIN_CYCLE_S
        self._stepped_s = -math.inf
        self._n_late = 0.0

    @property
    def is_on(self) -> bool:
        """Whether the server has a window."""
        return self.window < math.inf

    def credit(self, now_s: float) -> float:
        """Return how many requests this daemon may send at once."""
        share = self._part * self.window
        gained = (now_s - self._credited_s) * share / self._cycle_s
        return min(max(1.0, share), self._credit + gained)

    def allows(self, n_open: int, now_s: float) -> bool:
        """Return whether a request may be sent.

        Parameters
        ----------
        n_open : int
            Open requests there of all daemons, as far as known.
        now_s : float
        """
        if self.window == math.inf:
            return True
        return n_open < int(self.window) and self.credit(now_s) >= 1

    def begin(
        self,
        now_s: float,
        n_slots: int,
        senders: Senders,
        draw: float,
        is_alone: bool = False,
        window: float | None = None,
        part: float = 0.0,
    ) -> None:
        """Begin a window, or begin it anew.

        Parameters
        ----------
        now_s : float
        n_slots : int
            Requests that the server runs at once; the window ends when it is as large.
        senders : Senders
        draw : float
            Random number, 0 to 1.
        is_alone : bool
            Whether no other server of the service serves without a window.
        window : float or None
            As another daemon tells it; None if this daemon is the first to know.
        part : float
            This daemon's part of the open requests to the service; it holds at least
            an equal part of the window.
        """
        self._n_slots = max(2, n_slots)
        self._is_alone = is_alone
        self._threshold = math.inf
        self._n_late = 0.0
        self.window = self._first if window is None else max(MIN_WINDOW, window)
        self.began_s = now_s
        self.n_in_time = self.n_out_of_time = 0
        self._halved_s = -math.inf
        equal_part = 1 / max(1, senders.n_daemons)
        self._part = min(1 / max(1.0, senders.weight), max(equal_part, part))
        self._cycle_s = max(MIN_CYCLE_S, senders.cycle_s)
        # So that of many daemons as many send at once as the window has room for.
        self._credit = draw + self._part * self.window
        self._credited_s = now_s
        self._stepped_s = now_s

    @property
    def _first(self) -> float:
        fraction = FIRST_ALONE_FRACTION if self._is_alone else FIRST_FRACTION
        return max(MIN_FIRST, fraction * self._n_slots)

    def set_alone(self, is_alone: bool) -> None:
        """Open the window further if no other server of the service serves."""
        self._is_alone = is_alone
        if is_alone and self.is_on and self._threshold == math.inf:
            self.window = max(self.window, self._first)

    def record_sent(self, now_s: float) -> None:
        """Record a request of this daemon."""
        if self.is_on:
            self._credit = self.credit(now_s) - 1
            self._credited_s = now_s

    def record_own(self, n_in_time: int, n_out_of_time: int, now_s: float) -> bool:
        """Count answers to this daemon also for its next load report."""
        self.n_in_time += n_in_time
        self.n_out_of_time += n_out_of_time
        return self.record_answers(n_in_time, n_out_of_time, now_s)

    def record_answers(self, n_in_time: int, n_out_of_time: int, now_s: float) -> bool:
        """Open or halve the window; return whether it was halved.

        Parameters
        ----------
        n_in_time, n_out_of_time : int
            Answers to this daemon, or to another one as it reports; each that was
            refused or lost as `REFUSED_WEIGHT`.
        now_s : float
        """
        if not self.is_on:
            return False
        if n_out_of_time > 0 and now_s - self._halved_s < HALVED_AT_ONCE_S:
            return False
        n_late = self._n_late + n_out_of_time - IN_TIME_WEIGHT * n_in_time
        self._n_late = max(0.0, n_late)
        if self._n_late >= N_LATE:
            self._n_late = 0.0
            self._halved_s = now_s
            self.window = max(MIN_WINDOW, self.window / 2)
            self._threshold = self.window
            return True
        gain = HALVED_GAIN
        if self._threshold == math.inf:
            gain = ALONE_GAIN if self._is_alone else GAIN
        self.window += gain * n_in_time
        return False

    def is_over(self, now_s: float) -> bool:
        """Return whether the window has opened so far that it ends."""
        if not self.is_on:
            return False
        if self.window >= self._n_slots:
            return True
        is_quiet = now_s - self._halved_s >= QUIET_S
        return is_quiet and now_s - self.began_s >= MAX_S

    def end(self, now_s: float) -> None:
        """End the window."""
        self.window = math.inf
        self.ended_s = now_s
        self.n_in_time = self.n_out_of_time = 0

    def step(
        self,
        now_s: float,
        n_open: int,
        senders: Senders,
        has_demand: bool,
    ) -> None:
        """Set this daemon's part of the window, once in the time of a load report.

        Parameters
        ----------
        now_s : float
        n_open : int
            Open requests there of all daemons, as far as known.
        senders : Senders
        has_demand : bool
            Whether this daemon got a request for the service since the last step.
        """
        if not self.is_on or now_s - self._stepped_s < senders.delay_s:
            return
        self._stepped_s = now_s
        equal_part = 1 / max(1, senders.n_daemons)
        is_short = has_demand and self.credit(now_s) < 1
        self._credit = self.credit(now_s)
        self._credited_s = now_s
        if is_short and n_open < USED_FRACTION * self.window:
            part = self._part * PART_GAIN
        elif not is_short or n_open > self.window:
            part = self._part / PART_GAIN
        else:
            part = self._part
        # Of daemons that can't be heard, each has to expect as many requests.
        self._part = min(1 / max(1.0, senders.weight), max(equal_part, part))
        self._cycle_s = max(MIN_CYCLE_S, senders.cycle_s)


def is_late(took_s: float, expected_s: float) -> bool:
    """Return whether an answer began late."""
    return took_s > LATE_FACTOR * expected_s + LATE_MARGIN_S
