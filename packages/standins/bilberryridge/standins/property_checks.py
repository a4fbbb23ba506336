"""Check that no test file sets what the profiles of property tests set.

Run by ``make check``; exits 1 and names each offending line.

See Also
--------
bilberryridge.standins.property_profiles : the profiles.
"""

import ast
import pathlib
import sys
from collections.abc import Iterator

ROOTS = ("packages", "platform")
SET_BY_PROFILES = frozenset(["derandomize", "database", "deadline"])
PROFILE_CALLS = frozenset(["register_profile", "load_profile", "seed"])


def offences(source: str) -> Iterator[tuple[int, str]]:
    """Yield the line and the name of each setting that a profile should set.

    Examples
    --------
    >>> list(offences("import hypothesis\\nhypothesis.settings(deadline=None)"))
    [(2, 'deadline')]
    >>> list(offences("import hypothesis\\nhypothesis.settings(max_examples=9)"))
    []
    >>> list(offences("import hypothesis\\nhypothesis.seed(3)"))
    [(2, 'seed')]
    >>> list(offences("import random\\nrandom.seed(3)"))
    []
    """
    if "hypothesis" not in source:
        return
    for node in ast.walk(ast.parse(source)):
        if not isinstance(node, ast.Call) or not _is_of_hypothesis(node.func):
            continue
        name = node.func.attr if isinstance(node.func, ast.Attribute) else ""
        if name in PROFILE_CALLS:
            yield node.lineno, name
        for keyword in node.keywords:
            if name == "settings" and keyword.arg in SET_BY_PROFILES:
                yield node.lineno, keyword.arg


def _is_of_hypothesis(func: ast.expr) -> bool:
    while isinstance(func, ast.Attribute):
        func = func.value
    return isinstance(func, ast.Name) and func.id == "hypothesis"


def main() -> int:
    """Check all test files; return the exit status."""
    n_offences = 0
    for root in ROOTS:
        for path in sorted(pathlib.Path(root).rglob("test_*.py")):
            for line, name in offences(path.read_text(encoding="utf-8")):
                print(f"{path}:{line}: {name} is set by the profiles")
                n_offences += 1
    return 1 if n_offences else 0


if __name__ == "__main__":
    sys.exit(main())
