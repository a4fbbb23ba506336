"""A retry budget that limits the retries of all daemons together.

Each daemon limits itself to a part of the ratio of its own requests and of an equal
share of the fixed allowance, so daemons need not communicate before a retry. What is
allowed accrues with requests and time and is kept up to a bound. Over any window a
daemon spends at most what it had at the start of it and what accrues within. A daemon
that starts again begins with nothing, so the sum holds however often daemons start.
"""

import collections

import attrs

ACCRUED_RATIO_FRACTION, KEPT_RATIO_FRACTION = 0.65, 0.35
"""Fractions of the ratio's allowance of a window that accrue within it, and that are
kept for a burst; together they are all of it."""
ACCRUED_SLACK_FRACTION, KEPT_SLACK_FRACTION = 0.25, 0.7
"""The same of the fixed allowance; the rest covers the borders of a window."""
N_DAEMONS_HELD_S = 60.0
"""Time for which daemons that are no longer seen keep their shares: they may be cut off
and go on."""


@attrs.define
class _Account:
    """What a daemon may spend on one service.

    Parameters
    ----------
    slack_fraction : float
        Kept part of this daemon's share of the fixed allowance.
    n_from_ratio : float
        Kept retries that requests have allowed.
    updated_s : float
    requests_s : deque of float
        When the requests of the last window came.
    """

    slack_fraction: float
    n_from_ratio: float
    updated_s: float
    requests_s: collections.deque[float] = attrs.field(factory=collections.deque)


class RetryBudget:
    """Retry budget of one daemon, for each service.

    Parameters
    ----------
    ratio : float
        Retries allowed per request.
    slack : float
        Additional retries allowed in one window, for all daemons together.
    window_s : float
        Length of the sliding time window.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.2, slack=18, window_s=10)
    >>> budget.update_daemons(3, now_s=0)
    >>> [budget.take("a", now_s) for now_s in (0, 0.1, 0.2, 0.3, 0.4, 8)]
    [True, True, True, True, False, True]
    """

    def __init__(self, ratio: float, slack: float, window_s: float):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._n_daemons = 1
        self._is_restarted = False
        self._n_daemons_seen_s = 0.0
        self._accounts: dict[str, _Account] = {}

    def update_daemons(self, n_daemons: int, now_s: float) -> None:
        """Share the fixed allowance among the most daemons seen lately.

        Parameters
        ----------
        n_daemons : int
            Daemons of the deployment that are seen now, including this one.
        now_s : float
        """
        is_outdated = now_s - self._n_daemons_seen_s >= N_DAEMONS_HELD_S
        if n_daemons >= self._n_daemons or is_outdated:
            self._n_daemons = max(1, n_daemons)
            self._n_daemons_seen_s = now_s

    def record_restart(self) -> None:
        """Record that this VM had a daemon before, which may have spent its share."""
        if self._is_restarted:
            return
        self._is_restarted = True
        for account in self._accounts.values():
            account.slack_fraction = 0.0

    def record_request(self, service: str, now_s: float) -> None:
        """Record the first attempt of a request."""
        account = self._account(service, now_s)
        account.requests_s.append(now_s)
        account.n_from_ratio += ACCRUED_RATIO_FRACTION * self.ratio

    def take(self, service: str, now_s: float, fraction: float = 1.0) -> bool:
        """Count a retry; return whether the budget allows it.

        Parameters
        ----------
        service : str
        now_s : float
        fraction : float
            Part of what may be kept that the retry may use; the rest stays for others.
        """
        account = self._account(service, now_s)
        share = self.slack / self._n_daemons
        n_most = self._most_from_ratio(account) + KEPT_SLACK_FRACTION * share
        n_kept = account.n_from_ratio + account.slack_fraction * share
        if n_kept < 1.0 + (1.0 - fraction) * max(0.0, n_most - 1.0):
            return False
        n_from_slack = max(0.0, 1.0 - account.n_from_ratio)
        account.n_from_ratio -= 1.0 - n_from_slack
        if n_from_slack:
            account.slack_fraction -= n_from_slack / share
        return True

    def _account(self, service: str, now_s: float) -> _Account:
        """Return a service's account as of now."""
        account = self._accounts.get(service)
        if account is None:
            initial = 0.0 if self._is_restarted else KEPT_SLACK_FRACTION
            account = _Account(initial, 0.0, now_s)
            self._accounts[service] = account
        while account.requests_s and account.requests_s[0] <= now_s - self.window_s:
            account.requests_s.popleft()
        accrued = ACCRUED_SLACK_FRACTION * (now_s - account.updated_s) / self.window_s
        account.slack_fraction = min(
            KEPT_SLACK_FRACTION, account.slack_fraction + accrued
        )
        account.n_from_ratio = min(account.n_from_ratio, self._most_from_ratio(account))
        account.updated_s = now_s
        return account

    def _most_from_ratio(self, account: _Account) -> float:
        return KEPT_RATIO_FRACTION * self.ratio * len(account.requests_s)
