"""Property tests draw the same examples on every run."""

import os
import subprocess
import sys

import hypothesis
import pytest

from bilberryridge.standins import fuzz, property_checks, property_profiles

FAILING = """
import hypothesis
from hypothesis import strategies


@hypothesis.given(n=strategies.integers())
def test_small(n):
    assert n < 10
"""


def test_profile_of_the_environment_is_in_force():
    settings = hypothesis.settings(max_examples=3)
    named = os.environ.get(property_profiles.PROFILE_VARIABLE)
    assert settings.derandomize == (named != property_profiles.FRESH)
    assert settings.database is None
    assert settings.deadline is None


@pytest.mark.parametrize(
    "line",
    [
        "@hypothesis.settings(derandomize=False)",
        "@hypothesis.settings(max_examples=3, deadline=9)",
        "@hypothesis.seed(3)",
    ],
)
def test_setting_of_a_profile_in_a_test_file_is_found(line):
    source = f"import hypothesis\n\n\n{line}\ndef test_a():\n    pass\n"
    [(line_number, _)] = property_checks.offences(source)
    assert line_number == 4


@pytest.mark.parametrize(
    "profile", [property_profiles.REPEATABLE, property_profiles.FRESH]
)
def test_failing_example_can_be_pasted_as_a_decorator(tmp_path, profile):
    path = tmp_path / "test_failing.py"
    path.write_text(FAILING)
    finished = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", str(path)],
        env={property_profiles.PROFILE_VARIABLE: profile},
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    [(test, example)] = fuzz.failing_examples(finished.stdout)
    assert test == "test_small"
    assert example == "@hypothesis.example(\n    n=10,\n)"
