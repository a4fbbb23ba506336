import pytest

from bilberryridge.peers import handshake

KEY = b"key"
OWN = handshake.Identity("a", "i1")
REASONS = handshake.RefusalReason


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


def headers(**changes):
    given = {"key": KEY, "local": OWN, "target_vm": "b", "time_s": 1000.0, "nonce": "n"}
    return handshake.client_headers(**(given | changes))


CASES = [
    ("other key", {"key": b"other"}, {}, 0, REASONS.WRONG_MAC),
    ("other server", {"target_vm": "c"}, {}, 0, REASONS.WRONG_TARGET),
    ("long ago", {}, {}, 31, REASONS.WRONG_TIME),
    ("in the future", {"time_s": 1031.0}, {}, 0, REASONS.WRONG_TIME),
    ("before this start", {"time_s": 999.0}, {}, 0, REASONS.WRONG_TIME),
    ("changed name", {}, {handshake.VM_HEADER: "c"}, 0, REASONS.WRONG_MAC),
    ("changed time", {}, {handshake.TIME_HEADER: "1000001"}, 0, REASONS.WRONG_MAC),
    ("changed nonce", {}, {handshake.NONCE_HEADER: "m"}, 0, REASONS.WRONG_MAC),
    ("no time", {}, {handshake.TIME_HEADER: None}, 0, REASONS.INCOMPLETE),
    ("no mac", {}, {handshake.MAC_HEADER: None}, 0, REASONS.INCOMPLETE),
    ("not ascii", {}, {handshake.MAC_HEADER: "\xe4"}, 0, REASONS.INCOMPLETE),
    ("long", {}, {handshake.NONCE_HEADER: "n" * 999}, 0, REASONS.INCOMPLETE),
]


@pytest.mark.parametrize(
    ("made", "changed", "later_s", "fault"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_client_with_invalid_headers_is_refused(made, changed, later_s, fault):
    clock = Clock()
    checker = handshake.ClientChecker(KEY, "b", clock)
    clock.now_s += later_s
    sent = headers(**made) | changed
    sent = {name: value for name, value in sent.items() if value is not None}
    with pytest.raises(handshake.HandshakeError) as raised:
        checker.check(sent)
    assert raised.value.reason is fault


def test_headers_are_accepted_only_once():
    checker = handshake.ClientChecker(KEY, "b", Clock())
    assert checker.check(headers()) == (OWN, "n")
    with pytest.raises(handshake.HandshakeError, match="nonce_reused"):
        checker.check(headers())


def test_nonces_are_bounded_and_forgotten_only_after_their_time_window():
    clock = Clock()
    checker = handshake.ClientChecker(KEY, "b", clock)
    for number in range(handshake.MAX_NONCES):
        checker.check(headers(nonce=str(number)))
    with pytest.raises(handshake.HandshakeError, match="too_many_nonces"):
        checker.check(headers(nonce="one more"))
    clock.now_s += 2 * handshake.TIME_WINDOW_S + 1
    checker.check(headers(nonce="one more", time_s=clock.now_s))


@pytest.mark.parametrize(
    ("key", "vm", "nonce", "fault"),
    [
        (b"other", "b", "n", REASONS.WRONG_MAC),
        (KEY, "b", "other", REASONS.WRONG_MAC),
        (KEY, "c", "n", REASONS.WRONG_TARGET),
    ],
)
def test_server_with_invalid_headers_is_refused(key, vm, nonce, fault):
    answer = handshake.server_headers(key, handshake.Identity(vm, "i"), nonce)
    with pytest.raises(handshake.HandshakeError) as raised:
        handshake.check_server(answer, KEY, "b", "n")
    assert raised.value.reason is fault
