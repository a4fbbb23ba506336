import asyncio

import pytest

from bilberryridge.standins import scenarios, script

TEXT = """
about: A step that {about}.
domains: [{{name: east, region: east, n_entry_vms: 1, n_engines: 0, n_plain: 0}}]
steps:
  - {step}
"""
CASES = [
    # step, text in the runner's output; empty when the step passes
    ("store: {kind: heal}", ""),
    ("store: {kind: nothing}", "step 1 (store)"),
    ("nothing: {}", "nothing"),
]


@pytest.mark.parametrize("case", CASES, ids=str)
@pytest.mark.parametrize("may_fail", [set(), {"one"}], ids=str)
def test_runs_steps_and_counts_failures(tmp_path, capsys, case, may_fail):
    step, expected_text = case
    path = tmp_path / "one.yaml"
    path.write_text(TEXT.format(about="is run", step=step))
    assert script.load(path).steps[0][0] == step.partition(":")[0]
    n_failed = asyncio.run(scenarios.run_all([path], may_fail))
    assert n_failed == (bool(expected_text) and not may_fail)
    assert expected_text in capsys.readouterr().out
