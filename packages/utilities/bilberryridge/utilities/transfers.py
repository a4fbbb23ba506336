"""Libcurl transfers on the selector of the task that owns them.

With several hundred streams, libcurl's multi-socket interface costs a tenth of the time
of polling every transfer, and it needs no extra thread.

References
----------
libcurl, ``curl_multi_socket_action``.
"""

import contextlib
import selectors
import time
from collections.abc import Callable, Iterator

import pycurl

OnDone = Callable[[pycurl.Curl, int, str], None]
"""Called with the transfer, libcurl's error number (0 for success) and its message."""


class Transfers:
    """The transfers of one task; used only on that task's thread.

    Parameters
    ----------
    selector : selectors.BaseSelector
        Selector of the task; the data of keys registered here is this object.
    """

    def __init__(self, selector: selectors.BaseSelector):
        self._selector = selector
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._registered_fds: set[int] = set()
        self._deadline_s: float | None = None
        self._on_done: dict[pycurl.Curl, OnDone] = {}

    def __len__(self) -> int:
        return len(self._on_done)

    def set_max_idle_connections(self, n_connections: int) -> None:
        """Set how many idle connections are kept.

        By default libcurl keeps only few more connections than there are transfers.
        """
        self._multi.setopt(pycurl.M_MAXCONNECTS, n_connections)

    def add(self, curl: pycurl.Curl, on_done: OnDone) -> None:
        """Start a transfer; `on_done` is called once unless it is removed earlier."""
        self._on_done[curl] = on_done
        self._multi.add_handle(curl)

    def remove(self, curl: pycurl.Curl) -> None:
        """Cancel a transfer and close its connection."""
        if self._on_done.pop(curl, None) is not None:
            self._multi.remove_handle(curl)
            curl.close()

    def timeout_s(self, longest_s: float) -> float:
        """Return how long the selector may wait, at most `longest_s`."""
        if self._deadline_s is None:
            return longest_s
        return min(longest_s, max(0.0, self._deadline_s - time.monotonic()))

    def on_ready(self, key: selectors.SelectorKey, mask: int) -> None:
        """Process the socket of a selector key whose data is this object."""
        flags = 0
        if mask & selectors.EVENT_READ:
            flags |= pycurl.CSELECT_IN
        if mask & selectors.EVENT_WRITE:
            flags |= pycurl.CSELECT_OUT
        self._multi.socket_action(key.fd, flags)

    def resume(self, curl: pycurl.Curl) -> None:
        """Resume a transfer that its write callback has paused."""
        curl.pause(pycurl.PAUSE_CONT)
        self._deadline_s = time.monotonic()

    def run_due(self) -> None:
        """Run libcurl's due timers and report the transfers that ended."""
        if self._deadline_s is not None and time.monotonic() >= self._deadline_s:
            self._deadline_s = None
            self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._report_ended()

    def close(self) -> None:
        """Cancel all transfers."""
        for curl in list(self._on_done):
            self.remove(curl)
        self._multi.close()

    def _on_socket(self, event: int, fd: int, _multi: object, _data: object) -> None:
        if event == pycurl.POLL_REMOVE:
            self._unregister(fd)
            return
        mask = 0
        if event & pycurl.POLL_IN:
            mask |= selectors.EVENT_READ
        if event & pycurl.POLL_OUT:
            mask |= selectors.EVENT_WRITE
        if fd in self._registered_fds:
            self._selector.modify(fd, mask, self)
        else:
            self._selector.register(fd, mask, self)
            self._registered_fds.add(fd)

    def _unregister(self, fd: int) -> None:
        if fd in self._registered_fds:
            self._registered_fds.discard(fd)
            self._selector.unregister(fd)

    def _on_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            self._deadline_s = None
        else:
            self._deadline_s = time.monotonic() + timeout_ms / 1e3

    def _report_ended(self) -> None:
        n_queued = 1
        while n_queued:
            n_queued, done, failed = self._multi.info_read()
            ended = [(curl, 0, "") for curl in done]
            ended += [(curl, errno, text) for curl, errno, text in failed]
            for curl, errno, text in ended:
                on_done = self._on_done.pop(curl, None)
                if on_done is None:
                    # Removed by the callback of a transfer that ended at the same time.
                    continue
                # After removal the connection of the transfer is no longer available.
                on_done(curl, errno, text)
                self._multi.remove_handle(curl)
                curl.close()


@contextlib.contextmanager
def open_transfers(selector: selectors.BaseSelector) -> Iterator[Transfers]:
    """Create the transfers of a task; all of them are cancelled at the end."""
    transfers = Transfers(selector)
    try:
        yield transfers
    finally:
        transfers.close()
