"""Callers that open token streams and record the arrival of each token.

``python -m bilberryridge.standins.stream_reader ADDRESS N_STREAMS FROM_S UNTIL_S``
prints one JSON object: latencies and gaps of the tokens written in that time.

See Also
--------
bilberryridge.standins.stream_source : writes the sending time into each token.
"""

import itertools
import json
import re
import selectors
import socket
import sys
import time

import attrs

READ_BYTES = 65536
DRAIN_TIMEOUT_S = 10.0
DONE = b"data: [DONE]"
PERCENTS = (50, 95, 99, 99.9)
BODY = json.dumps(
    {
        "model": "m",
        "messages": [{"role": "user", "content": "how do bilberries grow"}],
        "stream": True,
    }
).encode()
REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: edge\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
) % (len(BODY), BODY)
_TOKEN = re.compile(rb'"content":"(\d+) "')


@attrs.define
class Stream:
    """One stream and its received chunks with their times."""

    sock: socket.socket
    parts: list[tuple[int, bytes]] = attrs.field(factory=list)
    is_complete: bool = False

    def tokens_ns(self) -> list[tuple[int, int]]:
        """Times at which each token was written and read."""
        tokens = []
        rest = b""
        for read_ns, data in self.parts:
            rest += data
            end = 0
            for match in _TOKEN.finditer(rest):
                tokens.append((int(match.group(1)), read_ns))
                end = match.end()
            rest = rest[end:]
        return tokens


def open_streams(address: str, n_streams: int) -> list[Stream]:
    """Connect and send requests; answers are read later."""
    host, _, port = address.rpartition(":")
    streams = []
    for _ in range(n_streams):
        sock = socket.create_connection((host, int(port)))
        sock.sendall(REQUEST)
        sock.setblocking(False)
        streams.append(Stream(sock))
    return streams


def read_all(streams: list[Stream], until_s: float) -> None:
    """Read until every stream ends, at most `DRAIN_TIMEOUT_S` after `until_s`."""
    selector = selectors.DefaultSelector()
    for stream in streams:
        selector.register(stream.sock, selectors.EVENT_READ, stream)
    n_open = len(streams)
    while n_open and time.monotonic() < until_s + DRAIN_TIMEOUT_S:
        for key, _mask in selector.select(1.0):
            data = key.fileobj.recv(READ_BYTES)  # type: ignore[union-attr]
            key.data.parts.append((time.monotonic_ns(), data))
            if not data or DONE in data:
                key.data.is_complete = bool(data)
                selector.unregister(key.fileobj)
                n_open -= 1


def spread_ms(times_ns: list[int]) -> dict[str, float]:
    """Percentiles and maximum, in milliseconds.

    Examples
    --------
    >>> spread_ms([1_000_000, 3_000_000])["p50"]
    1.0
    """
    ordered = sorted(times_ns)
    if not ordered:
        return {}
    last = len(ordered) - 1
    spread = {f"p{p}": ordered[int(last * p / 100)] / 1e6 for p in PERCENTS}
    return {**spread, "max": ordered[-1] / 1e6}


def report(streams: list[Stream], from_s: float, until_s: float) -> dict:
    """Latencies and gaps of the tokens that were written in the given time."""
    latencies, written_gaps, read_gaps = [], [], []
    for stream in streams:
        tokens = [
            (written, read)
            for written, read in stream.tokens_ns()
            if from_s <= written / 1e9 < until_s
        ]
        latencies += [read - written for written, read in tokens]
        pairs = list(itertools.pairwise(tokens))
        written_gaps += [after[0] - before[0] for before, after in pairs]
        read_gaps += [after[1] - before[1] for before, after in pairs]
    return {
        "n_streams": len(streams),
        "n_whole": sum(stream.is_complete for stream in streams),
        "n_tokens": len(latencies),
        "latency_ms": spread_ms(latencies),
        "gap_at_source_ms": spread_ms(written_gaps),
        "gap_at_caller_ms": spread_ms(read_gaps),
    }


def main() -> None:
    """Open the streams, read them and print the report."""
    address, n_streams = sys.argv[1], int(sys.argv[2])
    from_s, until_s = float(sys.argv[3]), float(sys.argv[4])
    streams = open_streams(address, n_streams)
    read_all(streams, until_s)
    print(json.dumps(report(streams, from_s, until_s)))


if __name__ == "__main__":
    main()
