"""Mutual authentication of both ends of a connection by the deployment's shared key.

The client's request carries its name, incarnation, the name of the target VM, the time
and a nonce, with an HMAC over them. The server's answer carries its name and
incarnation, with an HMAC over these and the client's nonce. The HMAC covers the target,
so that an intercepted request cannot be replayed to another server; the time and the
remembered nonces prevent a replay to the same server.

References
----------
RFC 2104, HMAC.
"""

import enum
import hashlib
import hmac
from collections.abc import Callable, Mapping

import attrs

TIME_WINDOW_S = 30.0
"""A request whose time differs by more than this is refused."""
MAX_NONCES = 4096
MAX_NAME_CHARS = 256
N_NONCE_BYTES = 16

VM_HEADER = "Bilberryridge-Vm"
INCARNATION_HEADER = "Bilberryridge-Incarnation"
TARGET_HEADER = "Bilberryridge-Target"
TIME_HEADER = "Bilberryridge-Time"
NONCE_HEADER = "Bilberryridge-Nonce"
MAC_HEADER = "Bilberryridge-Mac"

CLIENT_LABEL = "peer client 1"
SERVER_LABEL = "peer server 1"


class RefusalReason(enum.Enum):
    """Why authentication was refused; the values are labels in metrics."""

    INCOMPLETE = "incomplete"
    WRONG_MAC = "wrong_mac"
    WRONG_TARGET = "wrong_target"
    WRONG_TIME = "wrong_time"
    NONCE_REUSED = "nonce_reused"
    TOO_MANY_NONCES = "too_many_nonces"


class HandshakeError(Exception):
    """The remote end failed to authenticate.

    Parameters
    ----------
    reason : RefusalReason
    """

    def __init__(self, reason: RefusalReason):
        super().__init__(reason.value)
        self.reason = reason


@attrs.frozen
class Identity:
    """A daemon: its VM's name and its incarnation."""

    vm: str
    incarnation: str


def client_headers(
    key: bytes, local: Identity, target_vm: str, time_s: float, nonce: str
) -> dict[str, str]:
    """Return the headers that authenticate a client.

    Parameters
    ----------
    key : bytes
    local : Identity
        This daemon, the client.
    target_vm : str
        Name of the VM to connect to.
    time_s : float
        Since the epoch.
    nonce : str
        Must not have been used before.
    """
    time_ms = str(int(time_s * 1e3))
    mac = _mac(
        key, CLIENT_LABEL, local.vm, local.incarnation, target_vm, time_ms, nonce
    )
    return {
        VM_HEADER: local.vm,
        INCARNATION_HEADER: local.incarnation,
        TARGET_HEADER: target_vm,
        TIME_HEADER: time_ms,
        NONCE_HEADER: nonce,
        MAC_HEADER: mac,
    }


def server_headers(key: bytes, local: Identity, nonce: str) -> dict[str, str]:
    """Return the headers that authenticate a server to the client that sent `nonce`."""
    return {
        VM_HEADER: local.vm,
        INCARNATION_HEADER: local.incarnation,
        MAC_HEADER: _mac(key, SERVER_LABEL, local.vm, local.incarnation, nonce),
    }


def check_server(
    headers: Mapping[str, str], key: bytes, target_vm: str, nonce: str
) -> Identity:
    """Authenticate the server that answered a request with `nonce`.

    Raises
    ------
    HandshakeError
        The answer does not authenticate `target_vm`.
    """
    vm = _value(headers, VM_HEADER)
    incarnation = _value(headers, INCARNATION_HEADER)
    expected = _mac(key, SERVER_LABEL, vm, incarnation, nonce)
    if not hmac.compare_digest(expected, _value(headers, MAC_HEADER)):
        raise HandshakeError(RefusalReason.WRONG_MAC)
    if vm != target_vm:
        raise HandshakeError(RefusalReason.WRONG_TARGET)
    return Identity(vm, incarnation)


class ClientChecker:
    """Authenticates clients and remembers their nonces.

    Parameters
    ----------
    key : bytes
    vm : str
        Name of this VM.
    clock : callable
        Returns the time since the epoch in s.
    """

    def __init__(self, key: bytes, vm: str, clock: Callable[[], float]):
        self._key = key
        self._vm = vm
        self._clock = clock
        self._started_s = int(clock() * 1e3) / 1e3
        self._nonce_expiry_s: dict[str, float] = {}

    def check(self, headers: Mapping[str, str]) -> tuple[Identity, str]:
        """Authenticate a client by its headers; return its identity and nonce.

        Raises
        ------
        HandshakeError
            The headers do not authenticate a client of this VM.
        """
        names = (VM_HEADER, INCARNATION_HEADER, TARGET_HEADER, TIME_HEADER)
        vm, incarnation, target, time_ms = (_value(headers, name) for name in names)
        nonce = _value(headers, NONCE_HEADER)
        mac = _mac(self._key, CLIENT_LABEL, vm, incarnation, target, time_ms, nonce)
        if not hmac.compare_digest(mac, _value(headers, MAC_HEADER)):
            raise HandshakeError(RefusalReason.WRONG_MAC)
        if target != self._vm:
            raise HandshakeError(RefusalReason.WRONG_TARGET)
        self._check_time(int(time_ms) / 1e3)
        self._check_nonce(nonce)
        return Identity(vm, incarnation), nonce

    def _check_time(self, time_s: float) -> None:
        # Nonces used before this process started are not known, so that a request from
        # that time could be a replay.
        if time_s < self._started_s or abs(time_s - self._clock()) > TIME_WINDOW_S:
            raise HandshakeError(RefusalReason.WRONG_TIME)

    def _check_nonce(self, nonce: str) -> None:
        if nonce in self._nonce_expiry_s:
            raise HandshakeError(RefusalReason.NONCE_REUSED)
        now_s = self._clock()
        if len(self._nonce_expiry_s) >= MAX_NONCES:
            self._forget_expired(now_s)
        if len(self._nonce_expiry_s) >= MAX_NONCES:
            raise HandshakeError(RefusalReason.TOO_MANY_NONCES)
        self._nonce_expiry_s[nonce] = now_s + 2 * TIME_WINDOW_S

    def _forget_expired(self, now_s: float) -> None:
        unexpired = {
            nonce: expiry_s
            for nonce, expiry_s in self._nonce_expiry_s.items()
            if expiry_s > now_s
        }
        self._nonce_expiry_s = unexpired


def _value(headers: Mapping[str, str], name: str) -> str:
    try:
        value = headers[name]
    except LookupError:
        raise HandshakeError(RefusalReason.INCOMPLETE) from None
    if not value.isascii() or len(value) > MAX_NAME_CHARS:
        raise HandshakeError(RefusalReason.INCOMPLETE)
    return value


def _mac(key: bytes, *parts: str) -> str:
    digest = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.hexdigest()
