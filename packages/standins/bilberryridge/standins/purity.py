"""Check that core and decisions import no socket, thread or clock.

Run by ``make check``; exits 1 and names each offending import.
"""

import ast
import pathlib
import sys

from bilberryridge import core, decisions

FORBIDDEN = frozenset(
    [
        "asyncio",
        "concurrent",
        "datetime",
        "h11",
        "http",
        "logging",
        "multiprocessing",
        "os",
        "pycurl",
        "queue",
        "selectors",
        "signal",
        "socket",
        "ssl",
        "subprocess",
        "sys",
        "threading",
        "time",
        "urllib",
        "websockets",
        "werkzeug",
    ]
)
OWN_PACKAGES = ("bilberryridge.core", "bilberryridge.decisions")


def imported_modules(source: str) -> list[str]:
    """Return the names of the modules that a source text imports.

    Examples
    --------
    >>> imported_modules("import time\\nfrom bilberryridge import core")
    ['time', 'bilberryridge.core']
    """
    names = []
    for item in ast.walk(ast.parse(source)):
        if isinstance(item, ast.Import):
            names += [alias.name for alias in item.names]
        elif isinstance(item, ast.ImportFrom):
            names += [f"{item.module}.{alias.name}" for alias in item.names]
    return names


def is_allowed(name: str) -> bool:
    """Whether the pure packages may import the module."""
    if name.startswith("bilberryridge"):
        return name.startswith(OWN_PACKAGES)
    return name.split(".")[0] not in FORBIDDEN


def main() -> int:
    """Print each offending import; return the exit status."""
    violations = []
    for package in (core, decisions):
        folder = pathlib.Path(package.__path__[0])
        for path in sorted(set(folder.rglob("*.py")) - set(folder.rglob("tests/*"))):
            names = imported_modules(path.read_text())
            violations += [
                f"{path.name}: {name}" for name in names if not is_allowed(name)
            ]
    for line in violations:
        print(f"forbidden import in a pure package: {line}")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
