import functools
import random

from bilberryridge.core import requests
from bilberryridge.decisions import loads

QUICK = requests.Priority.QUICK


def test_long_requests_that_fill_a_server_count_by_their_own_length():
    book = loads.LoadBook(10, random.Random(1))
    book.server("s", "pool", 2)
    send = functools.partial(book.on_sent, n_prefill_tokens=10, priority=QUICK)
    for i in range(20):
        send(float(i), "s", f"short-{i}", n_output_tokens=20)
        book.on_ended(i + 0.4, f"short-{i}", True)
    assert 0.3 < book.hold_s("pool") < 0.5
    for i in range(2):
        send(30.0, "s", f"long-{i}", n_output_tokens=600)
    assert 10.0 < book.open_hold_s("s", 0.02) < 14.0
    for i in range(2):
        book.on_ended(31.0, f"long-{i}", None)
    assert book.open_hold_s("s", 0.02) is None
