"""Single rules of lending, each of which keeps tokens from existing twice."""

import itertools

import pytest

from bilberryridge.decisions.ingress import (
    daemon_shares,
    division_messages,
    rate_division,
    token_exchange,
)

LIMIT = rate_division.Limit(100.0, 400.0, 0.5)


def make_exchange(share=0.5, n_tokens=100.0, collector="b", region=("b",)):
    account = rate_division.Account(LIMIT, share, n_tokens, now_s=0.0)
    exchange = token_exchange.TokenExchange("o", account, itertools.count(), 0.0)
    exchange.set_neighbours(token_exchange.Neighbours(region, collector))
    return exchange


def ask(exchange, n_tokens=150.0, now_s=0.0):
    verdict = exchange.take("r", n_tokens, 0.3, now_s)
    assert verdict is token_exchange.Verdict.WAITING
    [(peer, message)] = exchange.messages
    exchange.messages = []
    return peer, message


def grant(message, n_tokens=50.0, lasts_s=0.5):
    return division_messages.PartGrant("o", message.number, n_tokens, lasts_s=lasts_s)


def test_an_answer_serves_the_request_that_waits():
    exchange = make_exchange()
    peer, message = ask(exchange)
    assert (peer, message.n_needed) == ("b", 50.0)
    exchange.on_message("b", grant(message), 0.1)
    [(request_id, taken)] = exchange.settled
    assert request_id == "r"
    assert taken.n_tokens == 150.0


@pytest.mark.parametrize(
    ("sender", "at_s"), [("b", 0.6), ("c", 0.1)], ids=["late", "of another"]
)
def test_an_answer_that_is_late_or_of_another_daemon_adds_nothing(sender, at_s):
    exchange = make_exchange(share=0.0, n_tokens=0.0)
    _, message = ask(exchange)
    exchange.on_message(sender, grant(message, 150.0), at_s)
    assert exchange.account.n_spendable(at_s) == 0.0


def test_a_repeated_answer_adds_nothing():
    exchange = make_exchange(share=0.0, n_tokens=0.0)
    _, message = ask(exchange)
    exchange.on_message("b", grant(message, 170.0), 0.1)
    exchange.on_message("b", grant(message, 170.0), 0.1)
    assert exchange.account.n_spendable(0.1) == pytest.approx(20.0)


def test_tokens_that_are_lent_are_not_replaced_until_they_lapse():
    account = rate_division.Account(LIMIT, 0.5, 200.0, now_s=0.0)
    account.withdraw(150.0, "b", 1, 0.5, 0.0)
    assert account.n_spendable(0.4) == 50.0
    assert account.n_spendable(0.6) > 50.0


def test_tokens_are_brought_back_once_and_only_while_they_are_lent():
    account = rate_division.Account(LIMIT, 0.5, 200.0, now_s=0.0)
    account.withdraw(60.0, "b", 1, 0.5, 0.0)
    account.withdraw(60.0, "b", 2, 0.5, 0.0)
    for _ in range(2):
        account.restore(60.0, "b", 1, 0.1)
    assert account.n_spendable(0.1) == 140.0
    account.restore(60.0, "b", 2, 1.0)
    assert account.n_spendable(1.0) < 200.0


def test_a_share_is_prolonged_and_comes_back_when_its_tokens_have_lapsed():
    lender = rate_division.Account(LIMIT, 0.5, 200.0, now_s=0.0)
    borrower = rate_division.Account(LIMIT, 0.5, 200.0, now_s=0.0)
    for now_s in (0.0, 1.5):
        share, n_tokens = lender.lend("b", 0.5, 2.0, now_s)
        borrower.borrow("a", share, n_tokens, now_s + 2.0, now_s)
        assert (lender.share, borrower.share) == (0.0, 1.0)
    borrower.advance(3.6)
    lender.advance(3.6)
    assert (lender.share, borrower.share) == (0.0, 0.5)
    lender.advance(4.2)
    assert lender.share == 0.5


def test_an_older_answer_does_not_shorten_a_loan():
    account = rate_division.Account(LIMIT, 0.2, 0.0, now_s=0.0)
    account.borrow("a", 0.3, 0.0, 3.0, 0.0)
    account.borrow("a", 0.3, 10.0, 2.0, 0.0)
    account.advance(2.5)
    assert account.share == 0.5


def test_what_a_full_bucket_would_have_lost_is_not_given_back():
    account = rate_division.Account(LIMIT, 0.5, 200.0, now_s=0.0)
    taken = account.take(50.0, 0.0)
    account.advance(10.0)
    account.give_back(taken, 10.0)
    assert account.n_spendable(10.0) == 200.0
    again = account.take(200.0, 10.0)
    account.give_back(again, 10.0)
    account.give_back(taken, 10.0)
    assert account.n_spendable(10.0) == 200.0


def test_a_daemon_takes_no_share_before_all_registered_ones_are_linked():
    shares = daemon_shares.DaemonShares(600.0, 2.7, started_s=0.0)
    assert shares.update(["b", "c"], ["b"], 5.0) == 0.0
    assert shares.update(["b", "c"], ["b", "c"], 6.0) == pytest.approx(1 / 3)


def test_a_daemon_counts_those_that_another_one_holds():
    shares = daemon_shares.DaemonShares(600.0, 2.7, started_s=0.0)
    shares.update(["b"], ["b"], 1.0)
    shares.learn_held({"c": 20.0, "d": 700.0}, 1.0)
    assert shares.update(["b"], ["b"], 3.0) == pytest.approx(1 / 3)
    assert shares.update(["b"], ["b"], 590.0) == pytest.approx(1 / 2)
