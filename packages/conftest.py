"""Mark the tests that KNOWN-RED.txt lists as expected failures."""

import pathlib

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests; one that passes all the same is printed as passed."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    listed = {line.partition("|")[0].strip() for line in lines if line[:1] != "#"}
    for item in items:
        package = item.path.parent.parent.name
        if f"{package}/tests/{item.path.name}::{item.name}" in listed:
            reason = "KNOWN-RED.txt lists it"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))
