"""Every metric of a daemon: its name, kind, help text and labels.

See Also
--------
bilberryridge.daemon.metrics : counts and renders them.
"""

import enum

import attrs

PREFIX = "bilberryridge_"


class Kind(enum.Enum):
    """How a metric is recorded and rendered."""

    COUNTER = "counter"
    GAUGE = "gauge"
    LATENCY = "summary"


SUFFIXES = {Kind.COUNTER: "_total", Kind.GAUGE: "", Kind.LATENCY: "_seconds"}


@attrs.frozen
class Metric:
    """One metric.

    Parameters
    ----------
    name : str
        As the code records it, without prefix and suffix.
    kind : Kind
    help : str
    labels : tuple of str
        Label names, in the order in which values are given.
    """

    name: str
    kind: Kind
    help: str
    labels: tuple[str, ...] = ()

    @property
    def full_name(self) -> str:
        """The name in the Prometheus text format.

        Examples
        --------
        >>> Metric("retries", Kind.COUNTER, "").full_name
        'bilberryridge_retries_total'
        """
        return f"{PREFIX}{self.name}{SUFFIXES[self.kind]}"


def _counter(name: str, text: str, *labels: str) -> Metric:
    return Metric(name, Kind.COUNTER, text, labels)


def _gauge(name: str, text: str, *labels: str) -> Metric:
    return Metric(name, Kind.GAUGE, text, labels)


def _latency(name: str, text: str, *labels: str) -> Metric:
    return Metric(name, Kind.LATENCY, text, labels)


METRICS = (
    _counter("requests", "Requests that arrived.", "service", "way"),
    _counter("answers", "Answers handed over whole.", "service"),
    _counter("refusals", "Requests refused.", "reason", "outcome"),
    _counter("attempts", "Attempts that ended.", "target", "result"),
    _counter("retries", "Attempts after the first.", "cause"),
    _counter("forwards", "Requests sent to another domain.", "domain"),
    _counter("sent_away", "Requests served outside the home region.", "service"),
    _counter("entry_answers", "Answers to callers that ask which VM to use."),
    _counter("stored_answers", "Retries answered with a stored outcome."),
    _counter("claims", "Claims on idempotency keys in the store.", "result"),
    _counter("callers_gone", "Callers that hung up before their answer was whole."),
    _counter("connections_refused", "Connections closed at a limit.", "port"),
    _counter("store_calls", "Calls to the store.", "call", "result"),
    _counter("list_calls", "Calls to the platform's list.", "result"),
    _counter("load_reads", "Load reports read from backend servers.", "result"),
    _counter("peer_messages", "Control messages.", "direction", "kind"),
    _counter("peer_bytes", "Bytes of control messages.", "direction"),
    _counter("peers_refused", "Peers that proved nothing or sent rubbish.", "cause"),
    _counter("configuration_changes", "Versions of documents taken in.", "source"),
    _counter("configuration_refused", "Versions of documents refused.", "cause"),
    _counter("table_evictions", "Entries dropped at a table's bound.", "table"),
    _counter("unknown_metrics", "Records under a name that is not registered."),
    _gauge("configuration_revision", "Revision up to which configuration is complete."),
    _gauge("open_requests", "Requests open at this daemon."),
    _gauge("peers_up", "Other daemons with an open control connection."),
    _gauge("store_reachable", "1 while the last call to the store got an answer."),
    _gauge("stopping", "1 while the daemon takes no new callers."),
    _gauge(
        "servers_live", "Backend servers of the own domain that take work.", "service"
    ),
    _latency("request", "From arrival to the end of the answer.", "service"),
    _latency("first_content", "From arrival to the first content.", "service"),
    _latency("store_call", "Calls to the store.", "call"),
    _latency("step", "One event in the control task.", "event"),
)

BY_NAME = {metric.name: metric for metric in METRICS}


def table() -> str:
    """The metrics as the Markdown table of the operators' page."""
    lines = ["| metric | kind | labels | what |", "|---|---|---|---|"]
    for metric in METRICS:
        labels = " ".join(f"`{label}`" for label in metric.labels)
        cells = (f"`{metric.full_name}`", metric.kind.value, labels, metric.help)
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"
