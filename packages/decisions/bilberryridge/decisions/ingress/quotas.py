"""The quotas of organisations, kept by all daemons together.

Work and memory are those of the organisations in use: an account is made when the first
request or question comes, with the tokens that it would have gathered by then, and is
removed once it is full again.
"""

import random
import zlib
from collections.abc import Iterable, Iterator, Mapping

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    daemon_shares,
    division_messages,
    rate_division,
    token_exchange,
)

HOLD_S = 600.0
"""Time for which a daemon that is gone is counted: nothing shows whether it is cut off
and goes on. Until then its share is lost, 1.2 % with 82 daemons."""
HOLD_REVOCATION_BOUNDS = 3.0
"""The same where a daemon without proof of its configuration stops: in multiples of the
time in which it does. Some daemons may still hear of it then and prolong its proof."""
JOIN_MARGIN_S = 0.1
"""Added to the time for which shares are lent before a new daemon holds any."""
WAIT_GOAL_FRACTION, MAX_WAIT_GOAL_FRACTION = 0.1, 0.25
"""Fraction of a route's latency goal for which a request may wait for tokens, and most
of it if that is less than another region takes to answer."""
REMOTE_ANSWER_S = 0.15
"""Time in which another region answers, 55 ms away, with the time between two ticks."""
MAX_WAIT_S = 0.25
"""Longest time that a request waits; what isn't there by then is not expected."""
SWEEP_INTERVAL_S = 1.0
N_SWEPT = 32
"""Interval of the search for accounts that are full, and most that are looked at."""
MAX_FIRST_NUMBER = 1 << 40
"""The numbers of questions begin at random below, so that an answer to a daemon's
predecessor is not taken for one to it."""
N_NAMED = 8
REST = "other"
"""Organisations with counters of their own in the metrics, and the name of the rest."""


@attrs.define
class Charge:
    """What a request has taken.

    Parameters
    ----------
    organisation : str
    n_tokens : float
    taken : Taken or None
        None while it waits.
    """

    organisation: str
    n_tokens: float
    taken: rate_division.Taken | None = None


@attrs.define
class Counts:
    """What became of an organisation's requests since the counts were last taken.

    Parameters
    ----------
    n_taken, n_refused, n_given_back : int
        Requests.
    n_tokens_taken, n_tokens_refused : float
    """

    n_taken: int = 0
    n_refused: int = 0
    n_given_back: int = 0
    n_tokens_taken: float = 0.0
    n_tokens_refused: float = 0.0


def hold_s(revocation_bound_s: float | None) -> float:
    """Return the time for which a daemon that is gone is counted.

    Parameters
    ----------
    revocation_bound_s : float or None
        Time after which a daemon without proof of its configuration stops.
    """
    if revocation_bound_s is None:
        return HOLD_S
    return HOLD_REVOCATION_BOUNDS * revocation_bound_s


def wait_s(latency_goal_s: float) -> float:
    """Return the time that a request of a route may wait for tokens.

    Examples
    --------
    >>> [round(wait_s(goal_s), 3) for goal_s in (2.5, 0.8, 0.6, 0.4)]
    [0.25, 0.15, 0.15, 0.1]
    """
    at_least_s = min(MAX_WAIT_GOAL_FRACTION * latency_goal_s, REMOTE_ANSWER_S)
    return min(MAX_WAIT_S, max(WAIT_GOAL_FRACTION * latency_goal_s, at_least_s))


@attrs.define
class _Entry:
    """An organisation in use."""

    quota: ingress.Quota
    exchange: token_exchange.TokenExchange
    membership: int = -1


class Quotas:
    """This daemon's accounts of all organisations.

    Parameters
    ----------
    name, region : str
        Of this daemon.
    bound : Bound
    hold_s : float
        Time for which a daemon that is not seen is counted.
    random_state : random.Random

    Attributes
    ----------
    charges : dict of str to Charge
        What open requests have taken, by request.
    """

    def __init__(
        self,
        name: str,
        region: str,
        bound: rate_division.Bound,
        hold_s: float,
        random_state: random.Random,
    ):
        self.charges: dict[str, Charge] = {}
        self._counts: dict[str, Counts] = {}
        self._named: frozenset[str] = frozenset()
        self._name = name
        self._region = region
        self._bound = bound
        self._hold_s = hold_s
        self._random_state = random_state
        self._numbers: Iterator[int] | None = None
        self._shares: daemon_shares.DaemonShares | None = None
        self._has_predecessor = False
        self._quotas: Mapping[str, ingress.Quota] = {}
        self._linked_by_region: dict[str, tuple[str, ...]] = {}
        self._membership = 0
        self._entries: dict[str, _Entry] = {}
        self._busy: dict[str, _Entry] = {}
        self._messages: list[tuple[str, division_messages.Message]] = []
        self._settled: list[tuple[str, bool]] = []
        self._swept_s = float("-inf")
        self._to_sweep: list[str] = []

    def record_predecessor(self) -> None:
        """Record that this VM had a daemon before, which the others count."""
        self._has_predecessor = True
        if self._shares is not None:
            self._shares.has_predecessor = True

    @property
    def own_share(self) -> float:
        """This daemon's own share, 0 to 1."""
        return self._shares.share if self._shares else 0.0

    @property
    def is_in_use(self) -> bool:
        """Whether any organisation has a limit."""
        return bool(self._quotas)

    @property
    def n_in_use(self) -> int:
        """Organisations with an account."""
        return len(self._entries)

    def set_organisations(
        self, organisations: Iterable[ingress.Organisation], now_s: float
    ) -> None:
        """Apply the limits of another routing table."""
        self._quotas = {
            organisation.name: organisation.quota
            for organisation in organisations
            if organisation.quota and organisation.quota.rate_per_s > 0
        }
        for name, entry in list(self._entries.items()):
            quota = self._quotas.get(name)
            if quota is None:
                self._remove(name)
            elif quota != entry.quota:
                entry.quota = quota
                entry.exchange.account.set_limit(self._limit(quota), now_s)
        # The largest by rate, so that they seldom change.
        by_rate = sorted(self._quotas, key=lambda n: (-self._quotas[n].rate_per_s, n))
        self._named = frozenset(by_rate[:N_NAMED])

    def update_daemons(
        self, seen: Iterable[str], region_by_linked: Mapping[str, str], now_s: float
    ) -> None:
        """Apply the daemons that are known.

        Parameters
        ----------
        seen : iterable of str
            The other daemons that are registered or linked.
        region_by_linked : mapping of str to str
        now_s : float
        """
        shares = self._shares
        if shares is None:
            min_join_s = (
                token_exchange.SHARE_S + rate_division.MAX_LOAN_S + JOIN_MARGIN_S
            )
            shares = daemon_shares.DaemonShares(
                self._hold_s,
                min_join_s,
                now_s,
                has_predecessor=self._has_predecessor,
            )
            self._shares = shares
        before = shares.share
        share = shares.update(seen, region_by_linked, now_s)
        if share != before:
            for entry in self._entries.values():
                entry.exchange.account.set_own_share(share, now_s)
        by_region: dict[str, tuple[str, ...]] = {}
        for name in sorted(region_by_linked):
            region = region_by_linked[name]
            by_region[region] = (*by_region.get(region, ()), name)
        if by_region != self._linked_by_region:
            self._linked_by_region = by_region
            self._membership += 1

    def greet(self, vm: str, now_s: float) -> None:
        """Tell a newly linked daemon which others are counted."""
        ages_s = self._shares.held_ages_s(now_s) if self._shares else {}
        ages_s.pop(vm, None)
        if ages_s:
            self._messages.append((vm, division_messages.HeldDaemons(ages_s)))

    def take(
        self,
        request_id: str,
        organisation: str,
        n_tokens: float,
        wait_s: float,
        now_s: float,
    ) -> token_exchange.Verdict | None:
        """Take tokens for a request; see `TokenExchange.take`.

        Returns
        -------
        Verdict or None
            None if the tokens were taken, or the organisation has no limit.
        """
        entry = self._entry(organisation, now_s)
        if entry is None:
            return None
        exchange = entry.exchange
        taken = exchange.take(request_id, n_tokens, wait_s, now_s)
        if exchange.messages:
            self._collect_output(organisation, entry, now_s)
        if taken is token_exchange.Verdict.REFUSED:
            self._count_refusal(organisation, n_tokens)
            return taken
        if taken is token_exchange.Verdict.WAITING:
            self.charges[request_id] = Charge(organisation, n_tokens)
            return taken
        assert isinstance(taken, rate_division.Taken)
        self.charges[request_id] = Charge(organisation, n_tokens, taken)
        self._count_taken(organisation, n_tokens)
        return None

    def retry_after_s(self, organisation: str, n_tokens: float, now_s: float) -> float:
        """Return when a caller that was refused is to return."""
        entry = self._entry(organisation, now_s)
        if entry is None:
            return token_exchange.MIN_RETRY_AFTER_S
        n_daemons = self._shares.n_daemons if self._shares else 1
        return entry.exchange.retry_after_s(n_tokens, n_daemons, now_s)

    def log_fields(self, organisation: str, now_s: float) -> dict[str, float | str]:
        """Return what a refusal depends on, for the log."""
        entry = self._entry(organisation, now_s)
        if entry is None:
            return {"organisation": organisation}
        account = entry.exchange.account
        demand_per_s, age_s = entry.exchange.known_demand(now_s)
        return {
            "organisation": organisation,
            "part": round(account.share, 4),
            "left": round(account.n_spendable(now_s)),
            "rate_per_s": entry.quota.rate_per_s,
            "demand_per_s": round(demand_per_s),
            "demand_age_s": round(age_s, 3),
        }

    def end(self, request_id: str, is_run: bool, now_s: float) -> None:
        """Record that a request has ended; give back what it took if none ran it."""
        charge = self.charges.pop(request_id, None)
        if charge is None:
            return
        entry = self._entries.get(charge.organisation)
        if entry is None or charge.taken is None:
            return
        account = entry.exchange.account
        if is_run:
            account.settle(charge.taken)
            return
        account.give_back(charge.taken, now_s)
        self._counts_of(charge.organisation).n_given_back += 1

    def withdraw(self, request_id: str) -> None:
        """Forget a waiting request whose caller has left."""
        charge = self.charges.pop(request_id, None)
        entry = self._entries.get(charge.organisation) if charge else None
        if entry is not None:
            entry.exchange.withdraw(request_id)

    def on_message(
        self, vm: str, message: division_messages.Message, now_s: float
    ) -> None:
        """Apply the message of another daemon."""
        if isinstance(message, division_messages.HeldDaemons):
            # Of which this daemon is one if it was cut off.
            ages_s = {n: age for n, age in message.ages_s.items() if n != self._name}
            if self._shares is not None:
                self._shares.learn_held(ages_s, now_s)
            return
        entry = self._entry(message.key, now_s)
        if entry is None:
            return
        entry.exchange.on_message(vm, message, now_s)
        self._collect_output(message.key, entry, now_s)

    def on_tick(self, now_s: float) -> None:
        """Go on with the accounts that have something to do."""
        for name, entry in list(self._busy.items()):
            self._update_neighbours(name, entry)
            entry.exchange.on_tick(now_s)
            self._collect_output(name, entry, now_s)
        if now_s - self._swept_s >= SWEEP_INTERVAL_S:
            self._swept_s = now_s
            self._sweep(now_s)

    def take_messages(self) -> list[tuple[str, division_messages.Message]]:
        """Return the messages to be sent, each once."""
        messages, self._messages = self._messages, []
        return messages

    def take_settled(self) -> list[tuple[str, bool]]:
        """Return the requests that wait no longer, and whether tokens were taken."""
        settled, self._settled = self._settled, []
        return settled

    def take_counts(self) -> dict[str, Counts]:
        """Return the counts since the last call, by the names of the metrics."""
        counts, self._counts = self._counts, {}
        return counts

    def _limit(self, quota: ingress.Quota) -> rate_division.Limit:
        return rate_division.limit_within(quota.rate_per_s, quota.burst, self._bound)

    def _entry(self, name: str, now_s: float) -> _Entry | None:
        """Return the entry of an organisation; None if it has no limit."""
        entry = self._entries.get(name)
        if entry is None:
            quota = self._quotas.get(name)
            if quota is None:
                return None
            entry = self._entries[name] = self._make_entry(name, quota, now_s)
        if entry.membership != self._membership:
            self._update_neighbours(name, entry)
        return entry

    def _make_entry(self, name: str, quota: ingress.Quota, now_s: float) -> _Entry:
        if self._numbers is None:
            first = self._random_state.randrange(MAX_FIRST_NUMBER)
            self._numbers = iter(range(first, 1 << 62))
        limit = self._limit(quota)
        since_s = self._shares.since_s if self._shares else now_s
        share = self.own_share
        n_tokens = share * limit.rate_per_s * max(0.0, now_s - since_s) if share else 0
        n_tokens = min(share * limit.burst, n_tokens)
        account = rate_division.Account(limit, share, n_tokens, now_s)
        exchange = token_exchange.TokenExchange(name, account, self._numbers, now_s)
        return _Entry(quota, exchange)

    def _update_neighbours(self, name: str, entry: _Entry) -> None:
        if entry.membership == self._membership:
            return
        entry.membership = self._membership
        region = self._linked_by_region.get(self._region, ())
        collector = _collector(name, (*region, self._name))
        remote = tuple(
            _collector(name, vms)
            for at, vms in self._linked_by_region.items()
            if at != self._region
        )
        entry.exchange.set_neighbours(
            token_exchange.Neighbours(
                region, "" if collector == self._name else collector, remote
            )
        )

    def _collect_output(self, name: str, entry: _Entry, now_s: float) -> None:
        exchange = entry.exchange
        if exchange.messages:
            self._messages += exchange.messages
            exchange.messages = []
        if exchange.settled:
            for request_id, taken in exchange.settled:
                self._record_settled(name, request_id, taken)
            exchange.settled = []
        if exchange.is_busy(now_s):
            self._busy[name] = entry
        else:
            self._busy.pop(name, None)

    def _record_settled(
        self, name: str, request_id: str, taken: rate_division.Taken | None
    ) -> None:
        charge = self.charges.get(request_id)
        if charge is None:
            return
        if taken is not None:
            charge.taken = taken
            self._count_taken(name, charge.n_tokens)
        else:
            del self.charges[request_id]
            self._count_refusal(name, charge.n_tokens)
        self._settled.append((request_id, taken is not None))

    def _sweep(self, now_s: float) -> None:
        if not self._to_sweep:
            self._to_sweep = list(self._entries)
        for _ in range(min(N_SWEPT, len(self._to_sweep))):
            name = self._to_sweep.pop()
            entry = self._entries.get(name)
            if entry is not None and entry.exchange.is_removable(now_s):
                self._remove(name)

    def _remove(self, name: str) -> None:
        entry = self._entries.pop(name)
        self._busy.pop(name, None)
        for request_id in entry.exchange.drop_waiting():
            self.charges.pop(request_id, None)
            self._settled.append((request_id, True))

    def _counts_of(self, name: str) -> Counts:
        return self._counts.setdefault(name if name in self._named else REST, Counts())

    def _count_taken(self, name: str, n_tokens: float) -> None:
        counts = self._counts_of(name)
        counts.n_taken += 1
        counts.n_tokens_taken += n_tokens

    def _count_refusal(self, name: str, n_tokens: float) -> None:
        counts = self._counts_of(name)
        counts.n_refused += 1
        counts.n_tokens_refused += n_tokens


def _collector(key: str, vms: Iterable[str]) -> str:
    """Return the daemon that collects for a key, by rendezvous hashing."""
    return max(vms, key=lambda vm: (zlib.crc32(f"{vm}/{key}".encode()), vm))
