"""The record of a run, and the way a case ends."""

import pathlib
import signal
import sys
import tempfile
import time
import traceback

import deployment


class Record:
    """Lines with the time since the start of the case."""

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._began_s = time.monotonic()
        self._path.write_text("")

    def write(self, text):
        line = f"{time.monotonic() - self._began_s:8.3f} s  {text}"
        print(line, flush=True)
        with self._path.open("a") as file:
            file.write(line + "\n")


def run(script, play):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it failed.

    `play` takes the deployment and the record; it returns whether the rule was broken.
    """
    # Ends the processes that the case has started also where it is stopped itself.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(pathlib.Path(script).with_name("record.txt"))
    try:
        with tempfile.TemporaryDirectory() as folder:
            with deployment.open_deployment(folder) as deployed:
                is_broken = play(deployed, record)
    except Exception:
        record.write("the case couldn't run:\n" + traceback.format_exc())
        sys.exit(2)
    record.write("the rule was broken" if is_broken else "the rule held")
    sys.exit(int(is_broken))
