"""Logging is bounded and never blocks the daemon."""

import json
import os
import time

from bilberryridge.daemon import line_log, metrics


def test_blocked_output_does_not_delay_logging_and_volume_is_bounded():
    read_fd, write_fd = os.pipe()
    counters = metrics.Metrics(is_strict=True)
    n_lines = 20_000
    with line_log.open_line_log(write_fd, "vm", counters) as handler:
        began_s = time.monotonic()
        for n in range(n_lines):
            line_log.LOGGER.info("decision", extra={"request": f"r{n}"})
            if n % 100 == 0:
                handler.write_pending()
        took_s = time.monotonic() - began_s
        n_seconds = int(took_s) + 2
        n_kept = n_lines - handler.n_dropped
        assert n_kept <= line_log.MAX_LINES_PER_S * n_seconds
        assert counters.value("log_lines_dropped") == handler.n_dropped
        assert took_s < 5.0
        data = os.read(read_fd, 1 << 20)
        first = json.loads(data.splitlines()[0])
        assert (first["message"], first["request"], first["vm"]) == (
            "decision",
            "r0",
            "vm",
        )
    os.close(read_fd)
    os.close(write_fd)
