"""Counters, gauges and latencies, rendered in the Prometheus text format.

Recording takes a lock, and a latency takes some microseconds. Record once per request
or call, never once per token.

References
----------
Prometheus exposition formats, text format 0.0.4.

See Also
--------
bilberryridge.daemon.registry : defines the names that may be recorded.
"""

import collections
import threading
import time
from collections.abc import Callable, Mapping

import attrs
from hdrh import histogram

from bilberryridge.daemon import registry

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
MAX_LABEL_SETS = 512
MAX_LATENCY_LABEL_SETS = 64
MAX_TRACKED_LABEL_SETS = 4_096
"""Label sets of a metric of which only the largest are rendered: 2,100 organisations
with two outcomes, in 1 MB."""
OVERFLOW_LABEL = "other"
QUANTILES = (0.5, 0.95, 0.99)
SIGNIFICANT_DIGITS = 2
LOWEST_US = 10
HIGHEST_US = 3_600_000_000
COUNT_BYTES = 4
WINDOW_S = 300.0

Labels = tuple[str, ...]


class UnknownMetricError(KeyError):
    """The metric is not in the registry, or its kind or labels differ."""


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS, word_size=COUNT_BYTES
    )


@attrs.define
class Latency:
    """Quantiles over the last one to two windows; sum and count since the start.

    Parameters
    ----------
    began_s : float
        Monotonic start time of the current window.
    """

    began_s: float
    n: int = 0
    total_s: float = 0.0
    current: histogram.HdrHistogram = attrs.field(factory=_make_histogram)
    previous: histogram.HdrHistogram | None = None

    def record(self, now_s: float, seconds: float) -> None:
        """Add one observation."""
        self.rotate(now_s)
        self.n += 1
        self.total_s += seconds
        value_us = int(seconds * 1e6)
        self.current.record_value(min(max(value_us, LOWEST_US), HIGHEST_US))

    def rotate(self, now_s: float) -> None:
        """Start a new window if the current one has ended."""
        age_s = now_s - self.began_s
        if age_s < WINDOW_S:
            return
        self.previous = self.current if age_s < 2 * WINDOW_S else None
        self.current = _make_histogram()
        self.began_s = now_s

    def quantiles(self) -> list[tuple[float, float]]:
        """Return pairs of quantile and seconds; empty without recent observations."""
        merged = _make_histogram()
        for window in (self.previous, self.current):
            if window is not None and window.total_count:
                merged.add(window)
        if not merged.total_count:
            return []
        percentiles = merged.get_percentile_to_value_dict([q * 100 for q in QUANTILES])
        return [(q, percentiles[q * 100] / 1e6) for q in QUANTILES]


class Metrics:
    """The metrics of one daemon; safe to use from any thread.

    Parameters
    ----------
    is_strict : bool
        Whether an unknown name or a wrong number of labels raises, as in tests.
        Otherwise it is counted as ``unknown_metrics``.
    now_s : callable
        Monotonic clock.

    Examples
    --------
    >>> metrics = Metrics(is_strict=True)
    >>> metrics.count("retries", ("lost",), 2)
    >>> metrics.value("retries", ("lost",))
    2
    """

    def __init__(
        self, is_strict: bool = False, now_s: Callable[[], float] = time.monotonic
    ):
        self._is_strict = is_strict
        self._now_s = now_s
        self._lock = threading.Lock()
        self._numbers: dict[str, dict[Labels, float]] = {}
        self._latencies: dict[str, dict[Labels, Latency]] = {}

    def count(self, name: str, labels: Labels = (), n: int = 1) -> None:
        """Add to a counter."""
        if not self._is_known(name, labels, registry.Kind.COUNTER):
            return
        with self._lock:
            series = self._numbers.setdefault(name, {})
            is_tracked = registry.BY_NAME[name].n_largest > 0
            max_sets = MAX_TRACKED_LABEL_SETS if is_tracked else MAX_LABEL_SETS
            labels = _limit_labels(series, labels, max_sets)
            series[labels] = series.get(labels, 0) + n

    def set_gauge(self, name: str, labels: Labels, value: float) -> None:
        """Set a gauge."""
        if not self._is_known(name, labels, registry.Kind.GAUGE):
            return
        with self._lock:
            series = self._numbers.setdefault(name, {})
            series[_limit_labels(series, labels, MAX_LABEL_SETS)] = value

    def observe_s(self, name: str, labels: Labels, seconds: float) -> None:
        """Record a latency."""
        if not self._is_known(name, labels, registry.Kind.LATENCY):
            return
        now_s = self._now_s()
        with self._lock:
            series = self._latencies.setdefault(name, {})
            labels = _limit_labels(series, labels, MAX_LATENCY_LABEL_SETS)
            if labels not in series:
                series[labels] = Latency(now_s)
            series[labels].record(now_s, seconds)

    def value(self, name: str, labels: Labels = ()) -> float:
        """Return the value of a counter or gauge; 0 if it was never recorded."""
        with self._lock:
            return self._numbers.get(name, {}).get(labels, 0)

    def render(self) -> str:
        """Return all recorded metrics in the text format."""
        lines = []
        for metric in registry.METRICS:
            samples = self._samples(metric)
            if samples:
                lines.append(f"# HELP {metric.full_name} {metric.help}")
                lines.append(f"# TYPE {metric.full_name} {metric.kind.value}")
                lines += samples
        return "\n".join(lines) + "\n"

    def _is_known(self, name: str, labels: Labels, kind: registry.Kind) -> bool:
        metric = registry.BY_NAME.get(name)
        if metric and metric.kind is kind and len(metric.labels) == len(labels):
            return True
        if self._is_strict:
            raise UnknownMetricError(
                f"unknown metric: {kind.value} {name} with labels {labels}"
            )
        # A misspelt metric name must not stop the daemon.
        self.count("unknown_metrics")
        return False

    def _samples(self, metric: registry.Metric) -> list[str]:
        name, labels = metric.full_name, metric.labels
        if metric.kind is not registry.Kind.LATENCY:
            with self._lock:
                numbers = sorted(self._numbers.get(metric.name, {}).items())
            if metric.n_largest:
                numbers = _merge_smaller(numbers, metric.n_largest)
            return [
                f"{name}{_label_text(labels, values)} {number:.12g}"
                for values, number in numbers
            ]
        # One series is locked at a time, so recording does not wait for all of them.
        with self._lock:
            keys = sorted(self._latencies.get(metric.name, {}))
        return [line for key in keys for line in self._latency_samples(metric, key)]

    def _latency_samples(self, metric: registry.Metric, values: Labels) -> list[str]:
        name, labels = metric.full_name, metric.labels
        with self._lock:
            latency = self._latencies[metric.name][values]
            latency.rotate(self._now_s())
            quantiles, n, total_s = latency.quantiles(), latency.n, latency.total_s
        lines = [
            f"{name}{_label_text((*labels, 'quantile'), (*values, str(q)))} {value_s:g}"
            for q, value_s in quantiles
        ]
        text = _label_text(labels, values)
        return [*lines, f"{name}_sum{text} {total_s:.9g}", f"{name}_count{text} {n}"]


def _limit_labels(
    series: Mapping[Labels, object], labels: Labels, max_series: int
) -> Labels:
    if labels in series or len(series) < max_series:
        return labels
    return (OVERFLOW_LABEL,) * len(labels)


def _merge_smaller(
    numbers: list[tuple[Labels, float]], n_largest: int
) -> list[tuple[Labels, float]]:
    """Sum all but the largest values of the first label under `OVERFLOW_LABEL`.

    Examples
    --------
    >>> numbers = [(("a", "x"), 1), (("b", "x"), 3), (("c", "x"), 2)]
    >>> _merge_smaller(numbers, 1)
    [(('b', 'x'), 3), (('other', 'x'), 3)]
    """
    totals: collections.Counter[str] = collections.Counter()
    for labels, number in numbers:
        totals[labels[0]] += number  # type: ignore[assignment]
    del totals[OVERFLOW_LABEL]
    largest = {value for value, _ in totals.most_common(n_largest)}
    merged: dict[Labels, float] = {}
    for labels, number in numbers:
        first = labels[0] if labels[0] in largest else OVERFLOW_LABEL
        key = (first, *labels[1:])
        merged[key] = merged.get(key, 0) + number
    return sorted(merged.items())


def _label_text(names: Labels, values: Labels) -> str:
    if not names:
        return ""
    pairs = zip(names, values, strict=True)
    return "{" + ",".join(f'{name}="{_escape(value)}"' for name, value in pairs) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
