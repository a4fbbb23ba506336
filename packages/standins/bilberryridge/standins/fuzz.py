"""Run all property tests with fresh seeds for a time.

Each round prints its seed. A failing example is printed in a form that can be pasted
above its test.
"""

import os
import pathlib
import random
import re
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Annotated

import typer

from bilberryridge.standins import property_profiles

N_WORKERS = 4
SEED_BITS = 32
_FAILING = re.compile(r"Failing test case: (\w+)\(\n(.*?)\n(?:E\s+)?\)", re.DOTALL)
_OUTPUT_PREFIX = re.compile(r"^(?:E\s+)?", re.MULTILINE)
_SELF = re.compile(r"\s*self=[^\n]*\n")
SUITES = (
    ((), pathlib.Path("packages")),
    (("-c", "platform/pytest.ini"), pathlib.Path("platform")),
)


def main(
    seconds: Annotated[float, typer.Argument(help="How long to run.")] = 300.0,
    first_seed: Annotated[
        int | None, typer.Option(help="Seed of the first round; random if left out.")
    ] = None,
) -> None:
    """Run rounds until the time is over; exit with 1 after a failed round."""
    end_s = time.monotonic() + seconds
    seed = random.SystemRandom().getrandbits(SEED_BITS)
    seed = seed if first_seed is None else first_seed
    n_rounds = 0
    while time.monotonic() < end_s:
        print(f"round {n_rounds + 1}: seed {seed}", flush=True)
        for options, root in SUITES:
            run_suite(options, root, seed)
        n_rounds += 1
        seed += 1
    print(f"{n_rounds} rounds passed")


def run_suite(options: tuple[str, ...], root: pathlib.Path, seed: int) -> None:
    """Run the property tests below a folder; exit the process if one fails."""
    files = [str(path) for path in property_tests(root)]
    if not files:
        return
    command = [sys.executable, "-m", "pytest", "-n", str(N_WORKERS), *options]
    variables = {property_profiles.PROFILE_VARIABLE: property_profiles.FRESH}
    finished = subprocess.run(
        [*command, f"--hypothesis-seed={seed}", *files],
        env={**os.environ, **variables},
        capture_output=True,
        text=True,
        check=False,
    )
    if finished.returncode == 0:
        return
    print(finished.stdout)
    print(finished.stderr, file=sys.stderr)
    for test, example in failing_examples(finished.stdout):
        print(f"Above {test}:\n{example}")
    sys.exit(1)


def property_tests(root: pathlib.Path) -> Iterator[pathlib.Path]:
    """Yield the test files below a folder that use hypothesis."""
    for path in sorted(root.rglob("test_*.py")):
        if "import hypothesis" in path.read_text(encoding="utf-8"):
            yield path


def failing_examples(output: str) -> Iterator[tuple[str, str]]:
    """Yield each failing test and its example as a decorator.

    Examples
    --------
    >>> output = "E   Failing test case: test_a(\\nE       n=1,\\nE   )"
    >>> [(test, example)] = failing_examples(output)
    >>> print(test, example)
    test_a @hypothesis.example(
        n=1,
    )
    """
    for found in _FAILING.finditer(output):
        arguments = _OUTPUT_PREFIX.sub("", found[2])
        lines = [line.strip() for line in _SELF.sub("", arguments).splitlines()]
        indented = "\n".join(f"    {line}" for line in lines)
        yield found[1], f"@hypothesis.example(\n{indented}\n)"


if __name__ == "__main__":
    typer.run(main)
