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
    _counter("answers", "Answers that are over, whole.", "service"),
    _counter("answers_cut", "Answers cut after their first content.", "service"),
    _counter("refusals", "Requests refused.", "reason", "outcome"),
    _counter("attempts", "Attempts sent.", "service", "turn"),
    _counter("attempt_results", "Attempts that ended.", "service", "result"),
    _counter("late_attempts", "Ends of attempts that nobody waits for."),
    _counter("retries", "Attempts after the first.", "cause"),
    _counter("retries_over_budget", "Retries not made: budget spent.", "service"),
    _counter("forwards", "Requests sent to another domain.", "service", "domain"),
    _counter("relays", "Requests sent to the owner of their key."),
    _counter("stored_answers", "Retries answered with a stored outcome."),
    _counter("callers_gone", "Callers that hung up before their answer was whole."),
    _counter("configuration_changes", "Versions of documents taken in."),
    _counter("configuration_documents_refused", "Documents that are not valid."),
    _counter("configuration_gaps", "Changes not taken: earlier ones were missing."),
    _counter("configuration_reverts_refused", "Older states of the store refused."),
    _counter("load_reports_missing", "Load reports that could not be read."),
    _counter("edge_accept_paused", "Pauses in accepting: no descriptor left."),
    _counter("edge_attempts", "Attempts that ended at the edge.", "result"),
    _counter("edge_attempts_dropped", "Attempts for requests that were over."),
    _counter("edge_bad_input", "Requests that could not be read.", "reason"),
    _counter("edge_callers_gone", "Callers' connections lost with a request open."),
    _counter("edge_connections_refused", "Connections over a bound.", "bound"),
    _counter("edge_pauses", "Sources paused for a slow caller."),
    _counter("edge_refusals", "Refusals written.", "reason"),
    _counter("edge_twins_refused", "Requests under the id of an open one."),
    _counter("peer_accepts_failed", "Control connections not accepted."),
    _counter("peer_connections_ended", "Control connections that ended.", "stage"),
    _counter("peer_connections_failed", "Control connections that failed.", "cause"),
    _counter(
        "peer_handshakes_failed", "Handshakes that other daemons failed.", "cause"
    ),
    _counter("peer_handshakes_refused", "Handshakes refused here.", "cause"),
    _counter("peer_messages_dropped", "Messages not sent.", "kind", "cause"),
    _counter("peer_messages_received", "Messages received.", "kind"),
    _counter("peer_messages_sent", "Messages sent.", "kind"),
    _counter("peer_messages_unknown", "Messages of a kind not known here."),
    _counter("peer_servers_unproven", "Daemons without proof.", "cause"),
    _counter("claims_answered", "Claims on idempotency keys in the store.", "result"),
    _counter("claims_read_back", "Claims settled by reading back."),
    _counter("claims_refused", "Claims not made: too many are open."),
    _counter("directory_calls_failed", "Calls to the directory that failed."),
    _counter("loads_unread", "Load reports not read by the platform task."),
    _counter("platform_calls_ended", "Calls to the platform.", "kind", "result"),
    _counter("store_calls", "Calls to the store.", "kind"),
    _counter("store_cluster_changed", "Answers from another store than before."),
    _counter("store_revision_went_back", "Answers of the store older than before."),
    _counter("vm_lists_bad", "Lists of VMs that make no sense."),
    _counter("vm_lists_unread", "Lists of VMs that could not be read."),
    _counter("watches_cancelled", "Watches cancelled by the store."),
    _counter("watches_ended", "Watches that ended."),
    _counter("watches_missed_changes", "Watches that had missed changes."),
    _counter("watches_refused", "Watches refused by the store."),
    _counter("watches_unanswered", "Watches that never began."),
    _counter("unknown_metrics", "Records under a name that is not registered."),
    _gauge("configuration_revision", "Revision up to which configuration is complete."),
    _gauge("open_requests", "Requests open at this daemon."),
    _gauge("peers_up", "Other daemons with an open control connection."),
    _gauge("store_reachable", "1 while the last call to the store got an answer."),
    _gauge("stopping", "1 while the daemon takes no new callers."),
    _latency("request", "From arrival to the end of the answer.", "service"),
    _latency("first_content", "From arrival to the first content.", "service"),
    _latency("edge_first_content_s", "From an attempt to its first content."),
    _latency("platform_call_s", "Calls to the platform.", "kind"),
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
