import attrs

from bilberryridge.standins.bench import analysis, cases, deployments, load, running

ENGINE = "grower-assistant"


def _record(at_s=1.0, **fields):
    made = load.Record("ohio-yards", is_long=False, at_s=at_s, total_s=0.5)
    return attrs.asdict(attrs.evolve(made, **fields))


def _figures(records, servers=None, case=cases.QUICK[0]):
    run = running.Run(records, servers or {}, server_s=3.0, n_bytes=900, n_retries=1)
    return analysis.figures(run, case, deployments.load("lakeshore", 130))


def test_latencies_exclude_refusals_and_the_warm_up():
    found = _figures(
        [
            _record(-1.0, status=200, first_s=9.0),
            _record(status=200, first_s=0.1),
            _record(status=503, reason="no-capacity", has_retry_after=True),
        ]
    )
    assert (found["n"], found["n_in_time"], found["refused"]) == (2, 1, 0.5)
    assert found["first_p99_s"] == 0.1
    assert found["refusals_with_retry_after"] == 1.0
    assert found["reasons"] == {"no-capacity": 1}
    assert found["bytes_per_request"] == 300
    assert found["server_s_per_answer"] == 1.5


def test_a_request_without_a_token_waited_until_its_caller_left():
    found = _figures([_record(reason="timeout", total_s=3.0)])
    assert found["first_p50_s"] == 3.0
    assert found["in_time"] == 0.0


def test_away_is_the_fraction_run_outside_the_home_region():
    records = [_record(status=200, request_id=name) for name in ("x", "y")]
    servers = {
        "x": [f"{ENGINE}-painesville-1"],
        "y": [f"{ENGINE}-painesville-1", f"{ENGINE}-grand-haven-1"],
        "another run's": [f"{ENGINE}-niagara-1"],
    }
    assert _figures(records, servers)["away"] == 1 / 3


def test_phases_of_a_fault_are_distinguished():
    fault = cases.Fault(4.0, 8.0, domain="painesville")
    case = attrs.evolve(cases.QUICK[0], fault=fault)
    records = [_record(at_s, status=200, first_s=0.1) for at_s in (1.0, 4.0, 8.0, 9.0)]
    phases = _figures(records, case=case)["by_phase"]
    assert {name: found["n"] for name, found in phases.items()} == {
        "before": 1,
        "during": 1,
        "after": 2,
    }


def test_medians_are_taken_figure_by_figure():
    runs = [
        {"in_time": 1.0, "first_p50_s": None, "reasons": {"timeout": 2}},
        {"in_time": 0.5, "first_p50_s": 0.2, "reasons": {}},
        {"in_time": 0.7, "first_p50_s": 0.4, "reasons": {"timeout": 4}},
    ]
    found = analysis.median(runs)
    assert found["in_time"] == 0.7
    assert abs(found["first_p50_s"] - 0.3) < 1e-9
    assert found["reasons"] == {"timeout": 2}
