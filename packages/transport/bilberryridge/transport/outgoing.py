"""Requests that are sent out, and their libcurl transfers."""

import contextlib
import os
import socket
import time

import attrs
import pycurl

from bilberryridge.transport import headers

MIN_TIMEOUT_MS = 1


@attrs.frozen
class OutgoingRequest:
    """A request as it is sent to a backend server or daemon.

    Parameters
    ----------
    address : str
        ``host:port``.
    method, target : str
    fields : tuple of (str, str)
    body : bytes
    deadline_s, first_byte_deadline_s : float
        Monotonic times.
    is_at_most_once : bool
        Whether it must be sent at most once.
    """

    address: str
    method: str
    target: str
    fields: headers.Fields
    body: bytes
    deadline_s: float
    first_byte_deadline_s: float
    is_at_most_once: bool


def make_curl(req: OutgoingRequest) -> pycurl.Curl:
    """Make the transfer of a request, without callbacks."""
    curl = pycurl.Curl()
    curl.setopt(pycurl.URL, f"http://{req.address}/")
    curl.setopt(pycurl.REQUEST_TARGET, req.target)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    # Ignore proxy settings in the environment.
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.FOLLOWLOCATION, 0)
    curl.setopt(pycurl.HTTP09_ALLOWED, 0)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    _set_body(curl, req)
    curl.setopt(pycurl.HTTPHEADER, _lines(req.fields))
    _set_deadlines(curl, req)
    if req.is_at_most_once:
        # libcurl resends a request if a reused connection turns out to be closed.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
    return curl


def shut_down_connection(curl: pycurl.Curl) -> None:
    """Shut down the connection of an ended transfer, so that it isn't reused.

    libcurl has no call that closes one connection of its cache, but it discards a
    connection that it finds shut down.
    """
    fd = curl.getinfo(pycurl.ACTIVESOCKET)
    if fd < 0:
        return
    with contextlib.suppress(OSError), socket.socket(fileno=os.dup(fd)) as sock:
        sock.shutdown(socket.SHUT_RDWR)


# libcurl adds these itself, and resends a request whose `Expect` is refused.
_ADDED_BY_LIBCURL = ("Expect", "User-Agent", "Accept", "Content-Type")


def _lines(fields: headers.Fields) -> list[str]:
    lines = [f"{name}: {value}" if value else f"{name};" for name, value in fields]
    given = {name.lower() for name, _value in fields}
    return lines + [f"{x}:" for x in _ADDED_BY_LIBCURL if x.lower() not in given]


def _set_body(curl: pycurl.Curl, req: OutgoingRequest) -> None:
    if req.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
        return
    if req.body or req.method in ("POST", "PUT", "PATCH"):
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, req.body)
    curl.setopt(pycurl.CUSTOMREQUEST, req.method)


def _set_deadlines(curl: pycurl.Curl, req: OutgoingRequest) -> None:
    now_s = time.monotonic()
    first_s = min(req.first_byte_deadline_s, req.deadline_s)
    curl.setopt(pycurl.TIMEOUT_MS, _timeout_ms(req.deadline_s - now_s))
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, _timeout_ms(first_s - now_s))


def _timeout_ms(left_s: float) -> int:
    # libcurl takes 0 as no timeout.
    return max(MIN_TIMEOUT_MS, int(left_s * 1e3))
