"""A sound replica: runs what it reads whole, echoes the id, seals its answers."""

import contextlib
import json
import socket
import threading
import time

SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"


class Replica:
    """A replica with a thread for each channel.

    Parameters
    ----------
    host, server_id : str
    work_s : float
        Time until the first byte of an answer.
    n_events, event_gap_s
        Of streams: requests with `Token-Counts`.
    mark : str
        Written in each event.
    """

    def __init__(
        self,
        host,
        server_id,
        work_s=0.0225,
        n_events=6,
        event_gap_s=0.05,
        body=b"ok",
        port=0,
        mark="",
    ):
        self.id = server_id
        self.work_s = work_s
        self.n_events = n_events
        self.event_gap_s = event_gap_s
        self.body = body
        self.mark = mark
        self.runs = []
        """(monotonic time, attempt id, head fields) of each run."""
        self.channels = set()
        self._lock = threading.Lock()
        self.sock = socket.create_server((host, port), backlog=512)
        self.address = f"{host}:{self.sock.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            self.channels.add(conn)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for conn in list(self.channels):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)

    def _serve(self, conn):
        with contextlib.suppress(OSError, ValueError), conn:
            file = conn.makefile("rb")
            while self._serve_one(conn, file):
                pass
        self.channels.discard(conn)

    def _serve_one(self, conn, file):
        first = file.readline().decode("latin-1").strip()
        if not first:
            return False
        fields = {}
        while line := file.readline().strip():
            name, _, value = line.decode("latin-1").partition(":")
            fields[name.strip().lower()] = value.strip()
        n_left = int(fields.get("content-length", 0))
        while n_left:
            data = file.read(min(n_left, 1 << 16))
            if not data:
                return False
            n_left -= len(data)
        method, target, _ = first.split(" ", 2)
        if target == "/health":
            head = ("HTTP/1.1 200 OK", f"Instance-Id: {self.id}", "Content-Length: 0")
            conn.sendall("\r\n".join([*head, "", ""]).encode())
            return True
        if fields.get("expect-instance", self.id) != self.id:
            return self._answer(conn, fields, "421 Misdirected", b"")
        with self._lock:
            self.runs.append((time.monotonic(), fields.get("attempt-id"), fields))
        return self.answer(conn, fields)

    def answer(self, conn, fields):
        time.sleep(self.work_s)
        if "token-counts" in fields:
            return self._stream(conn, fields)
        return self._answer(conn, fields, "200 OK", self.body, f"Response-Seal: {SEAL}")

    def _answer(self, conn, fields, status, body, *more):
        rows = (
            f"HTTP/1.1 {status}",
            f"Attempt-Id: {fields.get('attempt-id', '')}",
            *more,
            f"Content-Length: {len(body)}",
        )
        conn.sendall("\r\n".join([*rows, "", ""]).encode() + body)
        return True

    def _stream(self, conn, fields):
        rows = (
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {fields.get('attempt-id', '')}",
            f"Response-Seal: {SEAL}",
            "Weight-Versions: 1",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        conn.sendall("\r\n".join([*rows, "", ""]).encode())
        first = int(fields.get("last-event-id") or 0) + 1
        for number in range(first, self.n_events + 1):
            event = f"id: {number}\ndata: {json.dumps({'n': number, 'by': self.mark})}\n\n".encode()
            conn.sendall(b"%x\r\n%b\r\n" % (len(event), event))
            time.sleep(self.event_gap_s)
        conn.sendall(b"0\r\n\r\n")
        return True
