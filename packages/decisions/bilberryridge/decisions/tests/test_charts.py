import pytest

from bilberryridge.decisions import charts

DEAD_END = """
name: broken
initial: a
final: [c]
transitions:
  a: {go: b, end: c}
"""
UNREACHED = """
name: broken
initial: a
final: [c]
transitions:
  a: {end: c}
  d: {end: c}
"""


@pytest.mark.parametrize("text", [DEAD_END, UNREACHED])
def test_broken_chart_is_refused(text):
    with pytest.raises(charts.ChartError):
        charts.parse(text)


@pytest.mark.parametrize("name", ["daemon", "peer", "request", "server"])
def test_charts_are_valid(name):
    assert charts.load(name).initial


def test_event_that_a_state_rejects_raises():
    chart = charts.load("request")
    with pytest.raises(charts.ChartError):
        chart.step("answered", "send")
