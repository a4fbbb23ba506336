"""Proof of both ends of a connection that they know the deployment's shared key.

The client's request carries its name, incarnation, the name it wants to reach, the
time and a nonce, with an HMAC over them. The server's answer carries its name and
incarnation, with an HMAC over these and the client's nonce. The name to be reached is
covered so that a request that was overheard proves nothing to another server; the time
and the remembered nonces, so that it proves nothing to the same one.

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
"""A proof from further away in time is refused."""
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


class Fault(enum.Enum):
    """Why a proof is refused."""

    INCOMPLETE = "incomplete"
    WRONG_MAC = "wrong_mac"
    WRONG_TARGET = "wrong_target"
    WRONG_TIME = "wrong_time"
    NONCE_REUSED = "nonce_reused"
    TOO_MANY_NONCES = "too_many_nonces"


class HandshakeError(Exception):
    """The other end did not prove itself.

    Parameters
    ----------
    fault : Fault
    """

    def __init__(self, fault: Fault):
        super().__init__(fault.value)
        self.fault = fault


@attrs.frozen
class Identity:
    """A daemon: its VM's name and its incarnation."""

    vm: str
    incarnation: str


def client_headers(
    key: bytes, own: Identity, target_vm: str, time_s: float, nonce: str
) -> dict[str, str]:
    """Make the headers by which a client proves itself.

    Parameters
    ----------
    key : bytes
    own : Identity
    target_vm : str
        Name of the VM that is to accept the connection.
    time_s : float
        Since the epoch.
    nonce : str
        Never used before.
    """
    time_ms = str(int(time_s * 1e3))
    mac = _mac(key, CLIENT_LABEL, own.vm, own.incarnation, target_vm, time_ms, nonce)
    return {
        VM_HEADER: own.vm,
        INCARNATION_HEADER: own.incarnation,
        TARGET_HEADER: target_vm,
        TIME_HEADER: time_ms,
        NONCE_HEADER: nonce,
        MAC_HEADER: mac,
    }


def server_headers(key: bytes, own: Identity, nonce: str) -> dict[str, str]:
    """Make the headers by which a server proves itself to the client of `nonce`."""
    return {
        VM_HEADER: own.vm,
        INCARNATION_HEADER: own.incarnation,
        MAC_HEADER: _mac(key, SERVER_LABEL, own.vm, own.incarnation, nonce),
    }


def check_server(
    headers: Mapping[str, str], key: bytes, target_vm: str, nonce: str
) -> Identity:
    """Check the answer of the server that was asked with `nonce`.

    Raises
    ------
    HandshakeError
    """
    vm = _value(headers, VM_HEADER)
    incarnation = _value(headers, INCARNATION_HEADER)
    expected = _mac(key, SERVER_LABEL, vm, incarnation, nonce)
    if not hmac.compare_digest(expected, _value(headers, MAC_HEADER)):
        raise HandshakeError(Fault.WRONG_MAC)
    if vm != target_vm:
        raise HandshakeError(Fault.WRONG_TARGET)
    return Identity(vm, incarnation)


class ClientChecker:
    """Checks the proofs of clients and remembers their nonces.

    Parameters
    ----------
    key : bytes
    vm : str
        Name of this VM.
    clock : callable
        Gives the time since the epoch in s.
    """

    def __init__(self, key: bytes, vm: str, clock: Callable[[], float]):
        self._key = key
        self._vm = vm
        self._clock = clock
        self._started_s = int(clock() * 1e3) / 1e3
        self._forget_at_s: dict[str, float] = {}

    def check(self, headers: Mapping[str, str]) -> tuple[Identity, str]:
        """Check a client's request; return who it is and its nonce.

        Raises
        ------
        HandshakeError
        """
        names = (VM_HEADER, INCARNATION_HEADER, TARGET_HEADER, TIME_HEADER)
        vm, incarnation, target, time_ms = (_value(headers, name) for name in names)
        nonce = _value(headers, NONCE_HEADER)
        mac = _mac(self._key, CLIENT_LABEL, vm, incarnation, target, time_ms, nonce)
        if not hmac.compare_digest(mac, _value(headers, MAC_HEADER)):
            raise HandshakeError(Fault.WRONG_MAC)
        if target != self._vm:
            raise HandshakeError(Fault.WRONG_TARGET)
        self._check_time(int(time_ms) / 1e3)
        self._check_nonce(nonce)
        return Identity(vm, incarnation), nonce

    def _check_time(self, time_s: float) -> None:
        # Nonces from before this start are not remembered.
        if time_s < self._started_s or abs(time_s - self._clock()) > TIME_WINDOW_S:
            raise HandshakeError(Fault.WRONG_TIME)

    def _check_nonce(self, nonce: str) -> None:
        if nonce in self._forget_at_s:
            raise HandshakeError(Fault.NONCE_REUSED)
        now_s = self._clock()
        if len(self._forget_at_s) >= MAX_NONCES:
            self._forget_old(now_s)
        if len(self._forget_at_s) >= MAX_NONCES:
            raise HandshakeError(Fault.TOO_MANY_NONCES)
        self._forget_at_s[nonce] = now_s + 2 * TIME_WINDOW_S

    def _forget_old(self, now_s: float) -> None:
        kept = {
            nonce: forget_at_s
            for nonce, forget_at_s in self._forget_at_s.items()
            if forget_at_s > now_s
        }
        self._forget_at_s = kept


def _value(headers: Mapping[str, str], name: str) -> str:
    try:
        value = headers[name]
    except LookupError:
        raise HandshakeError(Fault.INCOMPLETE) from None
    if not value.isascii() or len(value) > MAX_NAME_CHARS:
        raise HandshakeError(Fault.INCOMPLETE)
    return value


def _mac(key: bytes, *parts: str) -> str:
    digest = hmac.new(key, digestmod=hashlib.sha256)
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.hexdigest()
