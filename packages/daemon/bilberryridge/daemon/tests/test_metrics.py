import pytest

from bilberryridge.daemon import metrics

EXPECTED = """\
# HELP bilberryridge_refusals_total Requests refused.
# TYPE bilberryridge_refusals_total counter
bilberryridge_refusals_total{reason="a\\"b\\\\c\\nd",outcome="unknown"} 1
bilberryridge_refusals_total{reason="busy",outcome="not_run"} 3
# HELP bilberryridge_open_requests Requests open at this daemon.
# TYPE bilberryridge_open_requests gauge
bilberryridge_open_requests 7
# HELP bilberryridge_first_content_seconds From arrival to the first content.
# TYPE bilberryridge_first_content_seconds summary
"""
SECONDS = "bilberryridge_first_content_seconds"


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


def test_rendered_text_contains_every_recorded_metric():
    recorder = metrics.Metrics(is_strict=True)
    recorder.count("refusals", ("busy", "not_run"))
    recorder.count("refusals", ("busy", "not_run"), 2)
    recorder.count("refusals", ('a"b\\c\nd', "unknown"))
    recorder.set_gauge("open_requests", (), 9)
    recorder.set_gauge("open_requests", (), 7)
    for i in range(1, 101):
        recorder.observe_s("first_content", ("desk",), i / 100)
    header, latency_lines = recorder.render().split("summary\n")
    assert header + "summary\n" == EXPECTED
    values = dict(line.rsplit(" ", 1) for line in latency_lines.splitlines())
    for quantile, seconds in [("0.5", 0.5), ("0.95", 0.95), ("0.99", 0.99)]:
        key = f'{SECONDS}{{service="desk",quantile="{quantile}"}}'
        assert float(values[key]) == pytest.approx(seconds, rel=0.01)
    assert values[SECONDS + '_count{service="desk"}'] == "100"
    assert values[SECONDS + '_sum{service="desk"}'] == "50.5"


@pytest.mark.parametrize(
    ("name", "labels"),
    [("no_such", ()), ("refusals", ("busy",)), ("open_requests", ())],
)
def test_unknown_metric_raises_only_when_strict(name, labels):
    with pytest.raises(metrics.UnknownMetricError):
        metrics.Metrics(is_strict=True).count(name, labels)
    lenient = metrics.Metrics()
    lenient.count(name, labels)
    assert lenient.value("unknown_metrics") == 1


def test_label_sets_are_bounded():
    recorder = metrics.Metrics(is_strict=True)
    for i in range(metrics.MAX_LABEL_SETS + 50):
        recorder.count("retries", (str(i),))
    for i in range(metrics.MAX_LATENCY_LABEL_SETS + 5):
        recorder.observe_s("step", (str(i),), 0.01)
    lines = recorder.render().splitlines()
    assert 'bilberryridge_retries_total{cause="other"} 50' in lines
    assert 'bilberryridge_step_seconds_count{event="other"} 5' in lines


def test_quantiles_exclude_observations_older_than_two_windows():
    clock = Clock()
    recorder = metrics.Metrics(is_strict=True, now_s=clock)
    recorder.observe_s("step", ("tick",), 100.0)
    clock.now_s = metrics.WINDOW_S
    recorder.observe_s("step", ("tick",), 1.0)
    assert 'quantile="0.99"} 100' in recorder.render()
    clock.now_s = 2 * metrics.WINDOW_S
    recorder.observe_s("step", ("tick",), 1.0)
    text = recorder.render()
    assert 'quantile="0.99"} 1.0' in text
    assert 'bilberryridge_step_seconds_sum{event="tick"} 102' in text
    clock.now_s = 9 * metrics.WINDOW_S
    assert "quantile" not in recorder.render()


def test_only_the_largest_organisations_are_rendered_and_the_rest_as_one():
    counters = metrics.Metrics(is_strict=True)
    for n in range(600):
        labels = (f"o{n}", "served")
        counters.count("ingress_organisation_requests", labels, n + 1)
    counters.count("ingress_organisation_requests", ("o599", "deadline"), 5)
    lines = [
        line
        for line in counters.render().splitlines()
        if "organisation_requests" in line
    ]
    samples = [line.rpartition("{")[2] for line in lines if line[0] != "#"]
    names = {sample.split('"')[1] for sample in samples}
    assert names == {f"o{n}" for n in range(592, 600)} | {"other"}
    assert len(samples) == 10
    n_rest = sum(n + 1 for n in range(592))
    assert f'organisation="other",outcome="served"}} {n_rest}' in "\n".join(samples)
