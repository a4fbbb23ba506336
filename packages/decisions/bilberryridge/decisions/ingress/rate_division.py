"""A rate and a burst divided between daemons so that their sum keeps to a bound.

Each daemon holds a share of the whole, and with it that fraction of the rate and of
the burst, as a token bucket. Shares and tokens are lent for a fixed time. The lender
neither holds nor replaces what it lent until then, and the borrower counts the time
from its own question. So the tokens of all daemons with those on the way never exceed
the burst, and no more accrue than the rate: a lost message loses tokens, and a late or
repeated one adds none.

See Also
--------
bilberryridge.decisions.ingress.token_exchange : whom a daemon asks, and for how much.
"""

import heapq
import math

import attrs

RATE_PART = 0.3
"""Part of the overshoot that raises the rate and the burst in use, to make up for the
shares of daemons that are gone and for tokens that lapse."""
BURST_PART, BURST_SLACK_PART = 0.5, 0.7
"""Parts of the rate's overshoot in a window, and of the slack, that add to the burst in
use. The rest is for daemons that not all others count and for the drift of clocks."""
MAX_LOAN_S = 0.6
LOAN_BURST_PART = 0.5
"""Longest time for which tokens are lent, and the part of the burst that is on the way
at most at the full rate. An answer from another region takes 0.12 s."""
CLOCK_MARGIN = 1e-3
"""Relative difference of two clocks that lenders allow for, more than twice the drift
of 200 ppm of each."""


@attrs.frozen
class Bound:
    """What may be used beyond a rate and a burst; see `limit_within`.

    Parameters
    ----------
    window_s : float
    overshoot : float
        Fraction of what the rate and the burst allow in a window.
    slack : float
        Units in any window.
    """

    window_s: float
    overshoot: float
    slack: float


@attrs.frozen
class Limit:
    """What all daemons together may use.

    Parameters
    ----------
    rate_per_s, burst : float
    loan_s : float
        Time for which tokens are lent.
    """

    rate_per_s: float
    burst: float
    loan_s: float


def limit_within(rate_per_s: float, burst: float, bound: Bound) -> Limit:
    """Return the limit in use that keeps to a bound with a reserve.

    Parameters
    ----------
    rate_per_s, burst : float
        As configured.
    bound : Bound

    Examples
    --------
    >>> limit = limit_within(36_000, 72_000, Bound(8, 0.1, 140_000))
    >>> round(limit.rate_per_s), round(limit.burst), limit.loan_s
    (37080, 186560, 0.6)
    """
    factor = 1.0 + RATE_PART * bound.overshoot
    rate_in_use = factor * rate_per_s
    burst_in_use = (
        factor * burst
        + BURST_PART * bound.overshoot * bound.window_s * rate_per_s
        + BURST_SLACK_PART * bound.slack
    )
    loan_s = MAX_LOAN_S
    if rate_in_use > 0:
        loan_s = min(MAX_LOAN_S, LOAN_BURST_PART * burst_in_use / rate_in_use)
    return Limit(rate_in_use, burst_in_use, loan_s)


@attrs.define
class Lot:
    """Borrowed tokens.

    Parameters
    ----------
    lapses_s : float
    n_tokens : float
    peer : str
        The daemon that lent them; empty where they can't be brought back.
    number : int
        Of the question for them.
    """

    lapses_s: float
    n_tokens: float
    peer: str = ""
    number: int = 0


@attrs.define
class _Loan:
    """A share until a time."""

    share: float
    until_s: float


@attrs.define
class Taken:
    """Where the tokens of a request came from.

    Parameters
    ----------
    n_tokens : float
    n_from_level : float
        Of this daemon's own; the others were borrowed.
    lots : tuple of (float, float)
        When borrowed ones lapse, and how many.
    """

    n_tokens: float
    n_from_level: float
    lots: tuple[tuple[float, float], ...] = ()


class Account:
    """The tokens of one daemon.

    Parameters
    ----------
    limit : Limit
        Of all daemons together.
    share : float
        This daemon's own share of it, 0 to 1.
    n_tokens : float
    now_s : float

    Attributes
    ----------
    share : float
        The share in use, with what is borrowed and without what is lent. It is negative
        for a while if the own share shrinks while more than that is lent.

    Examples
    --------
    >>> account = Account(Limit(10, 20, 0.3), 0.5, 0.0, now_s=0)
    >>> account.take(2, now_s=0.5).n_from_level
    2
    >>> account.take(1, now_s=0.5) is None
    True
    """

    def __init__(self, limit: Limit, share: float, n_tokens: float, now_s: float):
        self.limit = limit
        self.share = share
        self._own_share = share
        self._level = n_tokens
        self._updated_s = now_s
        self._lent: dict[str, _Loan] = {}
        self._borrowed: dict[str, _Loan] = {}
        self._next_end_s = math.inf
        self._lots: list[Lot] = []
        self._out: list[tuple[float, str, int, Lot]] = []
        self._out_by_question: dict[tuple[str, int], Lot] = {}
        self._n_out = 0.0
        self._n_returnable = 0.0

    @property
    def capacity(self) -> float:
        """Tokens that the bucket may hold beside those that it has lent."""
        return max(0.0, self.share * self.limit.burst - self._n_out)

    @property
    def has_loans(self) -> bool:
        """Whether shares or tokens are lent or borrowed."""
        return bool(self._lent or self._borrowed or self._lots or self._out)

    def is_full(self, now_s: float) -> bool:
        """Return whether no more tokens accrue."""
        self.advance(now_s)
        return self._level >= self.capacity and not self._n_returnable

    def n_spendable(self, now_s: float) -> float:
        """Return the tokens that can be taken."""
        self.advance(now_s)
        n_lots = sum(lot.n_tokens for lot in self._lots) if self._lots else 0.0
        return max(0.0, self._level) + n_lots

    def advance(self, now_s: float) -> None:
        """Let tokens accrue and loans end until now."""
        if now_s <= self._updated_s:
            return
        while self._next_end_s <= now_s:
            self._accrue(self._next_end_s)
            self._end_loans()
        while self._out and self._out[0][0] <= now_s:
            lot = heapq.heappop(self._out)[-1]
            self._accrue(lot.lapses_s)
            self._out_by_question.pop((lot.peer, lot.number), None)
            self._n_out = self._n_out - lot.n_tokens if self._out else 0.0
        self._accrue(now_s)
        if self._lots and self._lots[0].lapses_s <= now_s:
            self._lots = [lot for lot in self._lots if lot.lapses_s > now_s]

    def set_limit(self, limit: Limit, now_s: float) -> None:
        """Apply another limit."""
        self.advance(now_s)
        self.limit = limit
        self._clip()

    def set_own_share(self, share: float, now_s: float) -> None:
        """Apply another share of its own."""
        self.advance(now_s)
        self._own_share = share
        self._sum_shares()

    def take(
        self, n_tokens: float, now_s: float, n_reserved: float = 0.0
    ) -> Taken | None:
        """Take tokens for a request; return None if there are too few.

        Parameters
        ----------
        n_tokens, now_s : float
        n_reserved : float
            Tokens that are to be left.
        """
        if self.n_spendable(now_s) < n_tokens + n_reserved:
            return None
        if not self._lots:
            self._level -= n_tokens
            self._n_returnable += n_tokens
            return Taken(n_tokens, n_tokens)
        n_from_level, lots = n_tokens, []
        while n_from_level > 0 and self._lots:
            lot = self._lots[0]
            n_used = min(n_from_level, lot.n_tokens)
            lots.append((lot.lapses_s, n_used))
            n_from_level -= n_used
            lot.n_tokens -= n_used
            if lot.n_tokens <= 0:
                self._lots.pop(0)
        self._level -= n_from_level
        self._n_returnable += n_from_level
        return Taken(n_tokens, n_from_level, tuple(lots))

    def give_back(self, taken: Taken, now_s: float) -> None:
        """Return the tokens of a request that no server ran.

        Tokens that the bucket would not have held, and borrowed ones that would have
        lapsed, are lost, so that none are used twice.
        """
        self.advance(now_s)
        n_kept = min(taken.n_from_level, self._n_returnable)
        self._n_returnable -= n_kept
        self._level += n_kept
        self._clip()
        for lapses_s, n_tokens in taken.lots:
            self.deposit(Lot(lapses_s, n_tokens), now_s)

    def settle(self, taken: Taken) -> None:
        """Record that the tokens of a request will not be given back."""
        self._n_returnable = max(0.0, self._n_returnable - taken.n_from_level)

    @property
    def has_lots(self) -> bool:
        """Whether there are borrowed tokens."""
        return bool(self._lots)

    def withdraw(
        self, n_tokens: float, peer: str, number: int, duration_s: float, now_s: float
    ) -> tuple[float, float]:
        """Take tokens to lend them, at most what there is.

        Parameters
        ----------
        n_tokens : float
        peer : str
        number : int
            Of the daemon's question; repeated ones get nothing.
        duration_s : float
            Time for which they are lent.
        now_s : float

        Returns
        -------
        tuple of float
            The tokens, and when they lapse at the latest.
        """
        duration_s = min(duration_s, self.limit.loan_s)
        lapses_s = now_s + duration_s
        if (peer, number) in self._out_by_question:
            return 0.0, lapses_s
        n_tokens = min(n_tokens, self.n_spendable(now_s))
        n_from_level = min(n_tokens, max(0.0, self._level))
        if n_from_level > 0:
            self._level -= n_from_level
            self._n_out += n_from_level
            ends_s = now_s + duration_s * (1 + CLOCK_MARGIN)
            lot = Lot(ends_s, n_from_level, peer, number)
            heapq.heappush(self._out, (ends_s, peer, number, lot))
            self._out_by_question[peer, number] = lot
        n_missing = n_tokens - n_from_level
        while n_missing > 0 and self._lots:
            lot = self._lots[-1]
            n_used = min(n_missing, lot.n_tokens)
            lapses_s = min(lapses_s, lot.lapses_s)
            n_missing -= n_used
            lot.n_tokens -= n_used
            if lot.n_tokens <= 0:
                self._lots.pop()
        return n_tokens, lapses_s

    def deposit(self, lot: Lot, now_s: float) -> None:
        """Add borrowed tokens."""
        self.advance(now_s)
        if lot.n_tokens > 0 and lot.lapses_s > now_s:
            self._lots.append(lot)
            self._lots.sort(key=lambda lot: lot.lapses_s)

    def take_unused(self, lapses_s: float, now_s: float) -> list[Lot]:
        """Remove borrowed tokens that lapse until a time and can be brought back."""
        self.advance(now_s)
        unused = [lot for lot in self._lots if lot.lapses_s <= lapses_s and lot.peer]
        if unused:
            self._lots = [lot for lot in self._lots if lot not in unused]
        return unused

    def restore(self, n_tokens: float, peer: str, number: int, now_s: float) -> None:
        """Take tokens back that were lent and that no one used.

        Once for each loan and while it lasts: then the bucket has replaced them.
        """
        self.advance(now_s)
        lot = self._out_by_question.pop((peer, number), None)
        if lot is None:
            return
        n_tokens = min(n_tokens, lot.n_tokens)
        lot.n_tokens -= n_tokens
        self._n_out -= n_tokens
        self._level += n_tokens
        self._clip()

    def n_lendable(self, peer: str, now_s: float) -> float:
        """Return the part of its own share that may be lent to a daemon."""
        self.advance(now_s)
        lent = sum(loan.share for name, loan in self._lent.items() if name != peer)
        return max(0.0, self._own_share - lent)

    def lend(
        self, peer: str, share: float, duration_s: float, now_s: float
    ) -> tuple[float, float]:
        """Lend a part of the own share, or prolong what is lent to the same daemon.

        Parameters
        ----------
        peer : str
        share : float
            The whole share that the daemon is to have; what it has is not taken back.
        duration_s : float
            Time for which the borrower may use it. It comes back later, when tokens
            that the borrower lent have lapsed.
        now_s : float

        Returns
        -------
        tuple of float
            The share that is lent to the daemon, and the tokens that go with the part
            that is new; nothing if the loan is to end.
        """
        self.advance(now_s)
        loan = self._lent.get(peer)
        before = loan.share if loan else 0.0
        n_free = self.share - self._n_out / self.limit.burst if self.limit.burst else 0
        share = min(share, before + max(0.0, n_free))
        if share <= 0 or share < before:
            return 0.0, 0.0
        added = share - before
        n_tokens = 0.0
        if added > 0:
            n_tokens = max(0.0, self._level) * added / self.share
            self._level -= n_tokens
        lasts_s = (duration_s + MAX_LOAN_S) * (1 + CLOCK_MARGIN)
        self._lent[peer] = _Loan(share, now_s + lasts_s)
        self._sum_shares()
        return share, n_tokens

    def borrow(
        self, peer: str, share: float, n_tokens: float, until_s: float, now_s: float
    ) -> None:
        """Apply what a daemon lends until a time, in place of what it lent before."""
        self.advance(now_s)
        loan = self._borrowed.get(peer)
        if until_s <= now_s or (loan is not None and loan.until_s >= until_s):
            return
        self._borrowed[peer] = _Loan(share, until_s)
        self._sum_shares()
        self._level = min(self._level + n_tokens, self.capacity)

    def _accrue(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s > 0:
            self._level += self.limit.rate_per_s * self.share * elapsed_s
            self._updated_s = now_s
            self._clip()

    def _clip(self) -> None:
        # The same as `capacity`, which takes longer.
        capacity = self.share * self.limit.burst - self._n_out
        capacity = capacity if capacity > 0 else 0.0
        if self._level > capacity:
            self._level = capacity
        if self._n_returnable:
            self._n_returnable = min(self._n_returnable, capacity - self._level)

    def _end_loans(self) -> None:
        at_s = self._updated_s
        for loans in (self._lent, self._borrowed):
            for peer in [p for p, loan in loans.items() if loan.until_s <= at_s]:
                del loans[peer]
        self._sum_shares()

    def _sum_shares(self) -> None:
        lent, borrowed = self._lent.values(), self._borrowed.values()
        self.share = self._own_share - sum(loan.share for loan in lent)
        self.share += sum(loan.share for loan in borrowed)
        ends_s = [loan.until_s for loans in (lent, borrowed) for loan in loans]
        self._next_end_s = min(ends_s, default=math.inf)
        self._clip()
