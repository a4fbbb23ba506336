"""How daemons move a divided rate to where it is asked for.

Requests may be large against one daemon's part, so that tokens have to gather. In each
region one daemon, chosen by hashing the key, collects: the others ask it for what they
lack, it borrows the shares of the region's daemons while it is asked, and it asks the
collecting daemons of the other regions for what it lacks itself. Nothing depends on
daemons agreeing on who collects: each only lends what it has, see `rate_division`. No
message is sent while own parts suffice.
"""

import enum
import math
from collections.abc import Iterator

import attrs

from bilberryridge.decisions.ingress import division_messages, rate_division

SHARE_S = 2.0
"""Time for which a share is lent. What a daemon that ends had borrowed is lost for that
long; a shorter time costs more messages."""
RENEW_BEFORE_S = 0.6
SHARE_INTERVAL_S = 0.3
"""Time before its end at which a share is asked for again, and least time between two
questions to one daemon."""
ACTIVE_S = 60.0
"""Time after a request that own parts did not cover for which shares are collected: the
tokens that have gathered are lost when the loans end."""
RECENT_S = 1.0
"""Time for which it is assumed that another region has no more than it told."""
RETURN_PART = 0.35
"""Part of the time of a loan of tokens that is left when those not used are returned;
the way to another region takes a tenth."""
REMOTE_INTERVAL_S = 0.1
"""Least time between two questions to one collecting daemon of another region; an
answer takes some 0.12 s."""
REMOTE_AHEAD_S = 0.25
"""Time at the demand for which tokens are asked from other regions ahead of need."""
STOCK_COSTS = 0.7
"""Large requests for which tokens are asked as well, where the demand of a region
exceeds its part."""
LOCAL_AHEAD_S = 0.05
"""The same within a region, by a daemon that would ask more often otherwise."""
AHEAD_PART = 0.1
"""Part of its tokens that a collecting daemon gives ahead of need to one other."""
RESERVE_S = 0.15
"""Time at the own demand for which tokens are not lent to other regions."""
REMOTE_WAIT_S = 0.03
"""Time for which a question from another region waits for the shares of this one."""
MIN_WAIT_S = 0.01
"""Time to its deadline from which on nothing more is asked for a request."""
UNUSED_S = 0.15
"""Time for which tokens are lent beyond that."""
KEPT_WAIT_PART = 0.3
"""Part of the time that a request may wait after which tokens are kept for it."""
KEPT_SHARE_GAIN = 1.5
"""Multiple of its own part of the demand that a daemon doesn't lend of its share."""
USEFUL_COSTS = 2.0
"""Large requests that a daemon's own part of the burst must hold to be of use there:
the tokens of parts that can't cover one would be missing elsewhere."""
MUTE_S = 5.0
"""Time for which nothing is asked of a collecting daemon that did not answer."""
KNOWN_S = 3.0
"""Time for which the demand that a collecting daemon told is used."""
DEMAND_S = 1.0
"""Time constant of the demand."""
LARGE_COST_DECAY = 0.99
"""Factor applied with each request to the largest one seen."""
EXHAUSTED_S = 0.1
"""Time for which no more is asked for than what a collecting daemon did not have."""
MAX_RETRY_AFTER_S = 8.0
MIN_RETRY_AFTER_S = 0.1
"""Bounds of the time after which a caller is to return."""


class Verdict(enum.Enum):
    """What becomes of a request for which no tokens were taken at once."""

    WAITING = "waiting"
    REFUSED = "refused"


@attrs.frozen
class Neighbours:
    """The linked daemons that divide a rate with this one, for one key.

    Parameters
    ----------
    region : tuple of str
        The other daemons of this region.
    collector : str
        The daemon that collects in this region; empty for this one.
    remote : tuple of str
        The collecting daemons of the other regions.
    """

    region: tuple[str, ...] = ()
    collector: str = ""
    remote: tuple[str, ...] = ()


@attrs.define
class _Asked:
    """A question without an answer."""

    peer: str
    asked_s: float
    is_share: bool
    request_id: str = ""
    n_wanted: float = 0.0


@attrs.define
class _Waiting:
    """A request, of a caller or of another daemon, that waits for tokens."""

    n_needed: float
    deadline_s: float
    received_s: float
    request_id: str = ""
    peer: str = ""
    number: int = 0
    n_wanted: float = 0.0
    n_reserved: float = 0.0
    is_asked: bool = False

    def n_kept(self, now_s: float) -> float:
        """Return the tokens that are not given to those that come later.

        Without that, requests that are larger than most would find none.
        """
        kept_s = KEPT_WAIT_PART * (self.deadline_s - self.received_s)
        if self.is_asked or now_s < self.received_s + kept_s:
            return self.n_reserved
        return self.n_needed


@attrs.define
class _Demand:
    """Tokens asked for in a second, decaying."""

    per_s: float = 0.0
    large_cost: float = 0.0
    _updated_s: float = 0.0

    def record(self, n_tokens: float, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        if elapsed_s > 0:
            self.per_s *= math.exp(-elapsed_s / DEMAND_S)
            self._updated_s = now_s
        self.per_s += n_tokens / DEMAND_S
        self.large_cost = max(n_tokens, LARGE_COST_DECAY * self.large_cost)

    def at(self, now_s: float) -> float:
        return self.per_s * math.exp(min(0.0, self._updated_s - now_s) / DEMAND_S)


class TokenExchange:
    """One key's account at one daemon, and its questions to other daemons.

    Parameters
    ----------
    key : str
    account : Account
    numbers : iterator of int
        Numbers of questions, which all keys of a daemon share.
    now_s : float

    Attributes
    ----------
    messages : list of (str, PartMessage)
        To be sent to the daemons named.
    settled : list of (str, Taken or None)
        Requests that wait no longer, and what was taken for them.
    """

    def __init__(
        self,
        key: str,
        account: rate_division.Account,
        numbers: Iterator[int],
        now_s: float,
    ):
        self.key = key
        self.account = account
        self.messages: list[tuple[str, division_messages.PartMessage]] = []
        self.settled: list[tuple[str, rate_division.Taken | None]] = []
        self.used_s = now_s
        self._numbers = numbers
        self._around = Neighbours()
        self._own = _Demand()
        self._all = _Demand()
        self._told_demand = 0.0
        self._told_demand_s = -math.inf
        self._asked: dict[int, _Asked] = {}
        self._shares_until_s: dict[str, float] = {}
        self._share_asked_s: dict[str, float] = {}
        self._remote_asked_s: dict[str, float] = {}
        self._left_at: dict[str, tuple[float, float]] = {}
        self._waiting: list[_Waiting] = []
        self._active_until_s = -math.inf
        self._exhausted_until_s = -math.inf
        self._n_exhausted = 0.0
        self._told_until_s = -math.inf
        self._mute_until_s = -math.inf

    def set_neighbours(self, around: Neighbours) -> None:
        """Apply another list of linked daemons."""
        self._around = around

    def is_busy(self, now_s: float) -> bool:
        """Return whether `on_tick` has something to do."""
        return (
            bool(self._waiting or self._asked)
            or now_s < self._active_until_s
            or self.account.has_lots
        )

    def is_removable(self, now_s: float) -> bool:
        """Return whether nothing is lost if the object is made anew when needed."""
        return (
            not self.is_busy(now_s)
            and now_s >= max(self.used_s + RECENT_S, self._told_until_s)
            and not self.account.has_loans
            and self.account.is_full(now_s)
        )

    def take(
        self, request_id: str, n_tokens: float, wait_s: float, now_s: float
    ) -> rate_division.Taken | Verdict:
        """Take tokens for a request, or let it wait until `settled` names it.

        Parameters
        ----------
        request_id : str
        n_tokens : float
        wait_s : float
            Time that it may wait.
        now_s : float
        """
        self.used_s = now_s
        self._own.record(n_tokens, now_s)
        self._all.record(n_tokens, now_s)
        n_kept = self._n_kept(now_s) if self._waiting else 0.0
        taken = self.account.take(n_tokens, now_s, n_kept)
        if taken is not None:
            return taken
        is_exhausted = now_s < self._exhausted_until_s and n_tokens >= self._n_exhausted
        if wait_s <= 0 or is_exhausted:
            return Verdict.REFUSED
        waiting = _Waiting(n_tokens, now_s + wait_s, now_s, request_id)
        if self._around.collector:
            if not self._waiting:
                waiting.n_reserved = self.account.n_spendable(now_s)
            waiting.is_asked = True
            self._ask_collector(waiting, wait_s, now_s)
            self._waiting.append(waiting)
            return Verdict.WAITING
        if not self._may_cover(waiting, now_s):
            self._active_until_s = now_s + ACTIVE_S
            return Verdict.REFUSED
        self._collect_for(waiting, now_s)
        return Verdict.WAITING

    def withdraw(self, request_id: str) -> None:
        """Forget a request whose caller has left."""
        self._waiting = [w for w in self._waiting if w.request_id != request_id]

    def drop_waiting(self) -> list[str]:
        """Forget all that waits; return the requests of callers."""
        request_ids = [w.request_id for w in self._waiting if w.request_id]
        self._waiting = []
        return request_ids

    def retry_after_s(self, n_tokens: float, n_daemons: int, now_s: float) -> float:
        """Return when a refused caller is to return, after those told to before it.

        Parameters
        ----------
        n_tokens : float
        n_daemons : int
            Daemons that divide the rate, for the least part that is this daemon's.
        now_s : float
        """
        if self.account.limit.rate_per_s <= 0:
            return MAX_RETRY_AFTER_S
        own_per_s = self._own.at(now_s)
        all_per_s = max(own_per_s, self.known_demand(now_s)[0])
        part = max(1 / n_daemons, own_per_s / all_per_s if all_per_s else 1.0)
        told_s = max(now_s, self._told_until_s)
        told_s += n_tokens / (part * self.account.limit.rate_per_s)
        self._told_until_s = min(told_s, now_s + MAX_RETRY_AFTER_S)
        return max(MIN_RETRY_AFTER_S, self._told_until_s - now_s)

    def known_demand(self, now_s: float) -> tuple[float, float]:
        """Return the demand in tokens a second at all daemons known, and its age."""
        here = self._all.at(now_s)
        age_s = now_s - self._told_demand_s
        if age_s > KNOWN_S or here >= self._told_demand:
            return here, 0.0
        return self._told_demand, age_s

    def on_message(
        self, peer: str, message: division_messages.PartMessage, now_s: float
    ) -> None:
        """Apply a question or an answer of another daemon."""
        self.used_s = now_s
        if isinstance(message, division_messages.PartGrant):
            self._on_grant(peer, message, now_s)
        elif isinstance(message, division_messages.PartReturn):
            account = self.account
            account.restore(message.n_tokens, peer, message.number, now_s)
            self._serve(now_s)
        elif message.is_share:
            self._lend_share(peer, message, now_s)
        else:
            self._on_tokens_wanted(peer, message, now_s)

    def on_tick(self, now_s: float) -> None:
        """End what has waited too long, and renew what is collected."""
        self._serve(now_s)
        overdue = [w for w in self._waiting if now_s >= w.deadline_s]
        if overdue:
            self._waiting = [w for w in self._waiting if now_s < w.deadline_s]
            for waiting in overdue:
                self._give_up(waiting, now_s)
        for number, asked in list(self._asked.items()):
            if now_s - asked.asked_s >= self._answer_s(asked.is_share):
                del self._asked[number]
                if asked.request_id:
                    self._mute_until_s = now_s + MUTE_S
        if now_s < self._active_until_s:
            self._collect(now_s)
        if self.account.has_lots and not self._waiting:
            self._return_unused(now_s)

    def _return_unused(self, now_s: float) -> None:
        lapses_s = now_s + RETURN_PART * self.account.limit.loan_s
        for lot in self.account.take_unused(lapses_s, now_s):
            message = division_messages.PartReturn(self.key, lot.number, lot.n_tokens)
            self.messages.append((lot.peer, message))

    def _collector(self, now_s: float) -> str:
        """Return the daemon that collects in this region; empty for this one.

        One that doesn't answer is slow, cut off or of an older build.
        """
        return "" if now_s < self._mute_until_s else self._around.collector

    def _answer_s(self, is_share: bool) -> float:
        return SHARE_S if is_share else self.account.limit.loan_s

    # Asking.

    def _ask(self, peer: str, asked: _Asked, **fields: float | bool) -> None:
        number = next(self._numbers)
        self._asked[number] = asked
        message = division_messages.PartRequest(self.key, number, **fields)  # type: ignore[arg-type]
        self.messages.append((peer, message))

    def _ask_collector(self, waiting: _Waiting, wait_s: float, now_s: float) -> None:
        n_needed = waiting.n_needed - waiting.n_reserved
        n_ahead = LOCAL_AHEAD_S * self._own.at(now_s)
        collector = self._around.collector
        asked = _Asked(collector, now_s, False, waiting.request_id)
        self._ask(
            collector,
            asked,
            n_needed=n_needed,
            n_wanted=n_ahead if n_ahead > waiting.n_needed else 0.0,
            wait_s=wait_s,
        )

    def _may_cover(self, waiting: _Waiting, now_s: float) -> bool:
        """Return whether tokens for a request can be expected before its deadline."""
        around = self._around
        if not around.region and not around.remote:
            return False
        if now_s >= self._active_until_s:
            return True
        if any(asked.is_share for asked in self._asked.values()):
            return True
        per_s = max(0.0, self.account.share) * self.account.limit.rate_per_s
        n_ahead = sum(w.n_needed for w in self._waiting)
        n_expected = self.account.n_spendable(now_s)
        n_expected += per_s * (waiting.deadline_s - now_s)
        n_expected += sum(self._n_expected_at(peer, now_s) for peer in around.remote)
        n_expected += sum(asked.n_wanted for asked in self._asked.values())
        return n_ahead + waiting.n_needed <= n_expected

    def _n_expected_at(self, peer: str, now_s: float) -> float:
        """Return the tokens that another region is expected to have to spare."""
        n_left, told_s = self._left_at.get(peer, (0.0, -math.inf))
        limit = self.account.limit
        if now_s - told_s > RECENT_S:
            return limit.burst
        per_s = limit.rate_per_s * (1 - max(0.0, self.account.share))
        n_accrued = per_s * (now_s - told_s) / max(1, len(self._around.remote))
        return min(limit.burst, n_left + n_accrued)

    def _collect_for(self, waiting: _Waiting, now_s: float) -> None:
        self._waiting.append(waiting)
        self._active_until_s = now_s + ACTIVE_S
        self._collect(now_s)

    def _collect(self, now_s: float) -> None:
        """Ask for the shares of the region, and other regions for what is lacking."""
        for peer in self._around.region:
            is_due = self._shares_until_s.get(peer, -math.inf) < now_s + RENEW_BEFORE_S
            last_s = self._share_asked_s.get(peer, -math.inf)
            if is_due and now_s - last_s >= SHARE_INTERVAL_S:
                self._share_asked_s[peer] = now_s
                self._ask(peer, _Asked(peer, now_s, True), is_share=True)
        if not self._around.remote:
            return
        n_lacking = sum(w.n_needed for w in self._waiting)
        lacking_per_s = self._lacking_per_s(now_s)
        if lacking_per_s > 0:
            n_lacking += REMOTE_AHEAD_S * lacking_per_s
            n_lacking += STOCK_COSTS * self._all.large_cost
        n_lacking -= self.account.n_spendable(now_s)
        if n_lacking <= 0:
            return
        n_expected = {p: self._n_expected_at(p, now_s) for p in self._around.remote}
        n_total = sum(n_expected.values())
        for peer, n_there in n_expected.items():
            last_s = self._remote_asked_s.get(peer, -math.inf)
            if now_s - last_s >= REMOTE_INTERVAL_S:
                part = n_there / n_total if n_total > n_lacking else 1.0
                self._remote_asked_s[peer] = now_s
                asked = _Asked(peer, now_s, False, n_wanted=part * n_lacking)
                self._ask(peer, asked, n_wanted=asked.n_wanted)

    def _lacking_per_s(self, now_s: float) -> float:
        limit = self.account.limit
        per_s = min(self._all.at(now_s), limit.rate_per_s)
        return max(0.0, per_s - max(0.0, self.account.share) * limit.rate_per_s)

    def _on_grant(
        self, peer: str, grant: division_messages.PartGrant, now_s: float
    ) -> None:
        asked = self._asked.get(grant.number)
        if asked is None or asked.peer != peer:
            return
        del self._asked[grant.number]
        if asked.is_share:
            until_s = asked.asked_s + min(SHARE_S, grant.lasts_s)
            # A daemon that lends nothing is asked again as late as one that does.
            self._shares_until_s[peer] = asked.asked_s + SHARE_S
            if grant.share > 0:
                self.account.borrow(peer, grant.share, grant.n_tokens, until_s, now_s)
            self._serve(now_s)
            return
        lasts_s = min(self.account.limit.loan_s, grant.lasts_s)
        lot = rate_division.Lot(
            asked.asked_s + lasts_s, grant.n_tokens, peer, grant.number
        )
        self.account.deposit(lot, now_s)
        if not asked.request_id:
            self._left_at[peer] = (grant.n_left, now_s)
            self._serve(now_s)
            return
        self._told_demand, self._told_demand_s = grant.demand_per_s, now_s
        # What was asked for one request must not be used up by those before it.
        self._waiting.sort(key=lambda w: w.request_id != asked.request_id)
        self._serve(now_s)
        for waiting in self._waiting:
            if waiting.request_id != asked.request_id:
                continue
            if grant.n_tokens and now_s + MIN_WAIT_S < waiting.deadline_s:
                waiting.n_reserved = self.account.n_spendable(now_s)
                self._ask_collector(waiting, waiting.deadline_s - now_s, now_s)
                return
            self._n_exhausted = waiting.n_needed
            self._exhausted_until_s = now_s + EXHAUSTED_S
            self._waiting.remove(waiting)
            self._give_up(waiting, now_s)
            return

    # Lending.

    def _lend_share(
        self, peer: str, message: division_messages.PartRequest, now_s: float
    ) -> None:
        account = self.account
        n_lendable = account.n_lendable(peer, now_s)
        n_useful = USEFUL_COSTS * self._own.large_cost
        if 0 < n_useful <= n_lendable * account.limit.burst:
            own_part = self._own.at(now_s) / account.limit.rate_per_s
            n_lendable -= KEPT_SHARE_GAIN * own_part
        share, n_tokens = account.lend(peer, n_lendable, SHARE_S, now_s)
        grant = division_messages.PartGrant(
            self.key, message.number, n_tokens, share, SHARE_S
        )
        self.messages.append((peer, grant))

    def _on_tokens_wanted(
        self, peer: str, message: division_messages.PartRequest, now_s: float
    ) -> None:
        wait_s = REMOTE_WAIT_S
        if message.n_needed:
            wait_s = max(0.0, message.wait_s - MIN_WAIT_S)
        waiting = _Waiting(
            message.n_needed,
            now_s + wait_s,
            now_s,
            peer=peer,
            number=message.number,
            n_wanted=message.n_wanted,
        )
        if message.n_needed:
            self._all.record(message.n_needed, now_s)
        if self._can_serve(waiting, self._n_kept(now_s), now_s):
            self._grant(waiting, now_s)
        elif self._may_cover(waiting, now_s):
            self._collect_for(waiting, now_s)
        else:
            self._active_until_s = now_s + ACTIVE_S
            self._give_up(waiting, now_s)

    def _n_kept(self, now_s: float) -> float:
        return sum(w.n_kept(now_s) for w in self._waiting)

    def _can_serve(self, waiting: _Waiting, n_kept: float, now_s: float) -> bool:
        n_spendable = self.account.n_spendable(now_s)
        if waiting.n_needed:
            return n_spendable >= waiting.n_needed + n_kept
        return self._n_surplus(now_s) >= waiting.n_wanted

    def _n_surplus(self, now_s: float) -> float:
        """Return the tokens that this region doesn't need for its own demand."""
        n_kept = RESERVE_S * self._all.at(now_s)
        n_kept += sum(w.n_needed for w in self._waiting)
        return max(0.0, self.account.n_spendable(now_s) - n_kept)

    def _n_left(self, now_s: float) -> float:
        """Return what another region may expect beside what it gets."""
        if now_s < self._active_until_s or not self._around.region:
            return self._n_surplus(now_s)
        # The shares of the region will be collected when more is asked for.
        return self.account.limit.burst / (1 + len(self._around.remote))

    def _serve(self, now_s: float) -> None:
        """Serve what waits, in the order of arrival, as far as the tokens reach."""
        if not self._waiting:
            return
        are_shares_due = any(asked.is_share for asked in self._asked.values())
        left: list[_Waiting] = []
        n_kept = 0.0
        for waiting in self._waiting:
            is_last_chance = not waiting.n_needed and not are_shares_due
            if self._can_serve(waiting, n_kept, now_s) or is_last_chance:
                if waiting.peer:
                    self._grant(waiting, now_s)
                else:
                    taken = self.account.take(waiting.n_needed, now_s)
                    self.settled.append((waiting.request_id, taken))
            else:
                left.append(waiting)
                if not waiting.is_asked:
                    n_kept += waiting.n_kept(now_s)
        self._waiting = left

    def _grant(self, waiting: _Waiting, now_s: float) -> None:
        n_tokens = waiting.n_needed
        duration_s = self.account.limit.loan_s
        if not waiting.n_wanted:
            # The request for which they are asked waits no longer; if it has left,
            # they serve another one or come back.
            left_s = max(0.0, waiting.deadline_s - now_s)
            duration_s = min(duration_s, left_s + UNUSED_S)
        n_over = self.account.n_spendable(now_s) - n_tokens
        if not waiting.n_needed:
            n_tokens = min(waiting.n_wanted, self._n_surplus(now_s))
        elif waiting.n_wanted:
            n_tokens += max(0.0, min(waiting.n_wanted, AHEAD_PART * n_over))
        n_tokens, lapses_s = self.account.withdraw(
            n_tokens, waiting.peer, waiting.number, duration_s, now_s
        )
        grant = division_messages.PartGrant(
            self.key,
            waiting.number,
            n_tokens,
            lasts_s=lapses_s - waiting.received_s,
            demand_per_s=self._all.at(now_s),
            n_left=self._n_left(now_s),
        )
        self.messages.append((waiting.peer, grant))

    def _give_up(self, waiting: _Waiting, now_s: float) -> None:
        if not waiting.peer:
            self.settled.append((waiting.request_id, None))
        elif not waiting.n_needed:
            self._grant(waiting, now_s)
        else:
            demand = self._all.at(now_s)
            grant = division_messages.PartGrant(
                self.key, waiting.number, demand_per_s=demand
            )
            self.messages.append((waiting.peer, grant))
