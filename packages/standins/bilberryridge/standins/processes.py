"""Child processes of tests; only this module starts, signals and ends them."""

import contextlib
import pathlib
import signal
import subprocess
import sys
from collections.abc import Iterator

END_TIMEOUT_S = 5.0


class Processes:
    """Child processes by name, each with its log file.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of their log files.
    """

    def __init__(self, folder: pathlib.Path):
        self._folder = folder
        self._children: dict[str, subprocess.Popen] = {}
        self._frozen: set[str] = set()

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Run a module under a name that has no running process."""
        assert not self.is_running(name), f"{name} runs already"
        with self.log_path(name).open("ab") as log:
            self._children[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def names(self) -> list[str]:
        """Return the names of all children, in the order of their start."""
        return list(self._children)

    def log_path(self, name: str) -> pathlib.Path:
        """Return the file that a child's output goes to."""
        return self._folder / f"{name}.log"

    def is_running(self, name: str) -> bool:
        """Whether a child has not ended; a frozen one counts as running."""
        child = self._children.get(name)
        return child is not None and child.poll() is None

    def exit_status(self, name: str) -> int | None:
        """Return the exit status of a child that ended; None while it runs."""
        return self._children[name].poll()

    def kill(self, name: str) -> None:
        """Kill a child and wait for its end."""
        self._children[name].kill()
        self._children[name].wait()
        self._frozen.discard(name)

    def terminate(self, name: str) -> None:
        """Send a child SIGTERM."""
        self._children[name].send_signal(signal.SIGTERM)

    def freeze(self, name: str) -> None:
        """Suspend a child with SIGSTOP."""
        self._children[name].send_signal(signal.SIGSTOP)
        self._frozen.add(name)

    def thaw(self, name: str) -> None:
        """Resume a frozen child with SIGCONT."""
        self._children[name].send_signal(signal.SIGCONT)
        self._frozen.discard(name)

    def end(self) -> None:
        """Kill every child and wait for its end."""
        for name in [n for n in self._children if self.is_running(n)]:
            self._children[name].kill()
        for child in self._children.values():
            child.wait(END_TIMEOUT_S)


@contextlib.contextmanager
def open_processes(folder: pathlib.Path) -> Iterator[Processes]:
    """Provide child processes that end with the context."""
    children = Processes(folder)
    try:
        yield children
    finally:
        children.end()


@contextlib.contextmanager
def ended_by_signals() -> Iterator[None]:
    """Raise SystemExit on SIGTERM, so that contexts close."""

    def leave(signum: int, _frame: object) -> None:
        raise SystemExit(128 + signum)

    before = signal.signal(signal.SIGTERM, leave)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, before)
