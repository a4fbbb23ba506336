"""Definitions of all metrics of a daemon: name, kind, help text and labels.

See Also
--------
bilberryridge.daemon.metrics : records and renders them.
"""

import enum

import attrs

PREFIX = "bilberryridge_"
N_LARGEST_ORGANISATIONS = 8
"""A deployment may have thousands, which would be as many series at each daemon."""


class Kind(enum.Enum):
    """Metric type; the value is its type in the Prometheus text format."""

    COUNTER = "counter"
    GAUGE = "gauge"
    LATENCY = "summary"


SUFFIXES = {Kind.COUNTER: "_total", Kind.GAUGE: "", Kind.LATENCY: "_seconds"}


@attrs.frozen
class Metric:
    """Definition of one metric.

    Parameters
    ----------
    name : str
        Name used for recording, without prefix and suffix.
    kind : Kind
    help : str
    labels : tuple of str
        Label names, in the order of the recorded values.
    n_largest : int
        Values of the first label that are rendered, those with the largest sums; the
        others are rendered as one. 0 for all values.
    """

    name: str
    kind: Kind
    help: str
    labels: tuple[str, ...] = ()
    n_largest: int = 0

    @property
    def full_name(self) -> str:
        """The name in the Prometheus text format.

        Examples
        --------
        >>> Metric("retries", Kind.COUNTER, "").full_name
        'bilberryridge_retries_total'
        >>> Metric("platform_call_s", Kind.LATENCY, "").full_name
        'bilberryridge_platform_call_seconds'
        """
        name = self.name
        if self.kind is Kind.LATENCY:
            name = name.removesuffix("_s")
        return f"{PREFIX}{name}{SUFFIXES[self.kind]}"


def _counter(name: str, help_text: str, *labels: str) -> Metric:
    return Metric(name, Kind.COUNTER, help_text, labels)


def _gauge(name: str, help_text: str, *labels: str) -> Metric:
    return Metric(name, Kind.GAUGE, help_text, labels)


def _latency(name: str, help_text: str, *labels: str) -> Metric:
    return Metric(name, Kind.LATENCY, help_text, labels)


METRICS = (
    # Requests, counted by the decisions.
    _counter("requests", "Requests that arrived.", "service", "way"),
    _counter("answers", "Answers handed over whole.", "service"),
    _counter("answers_cut", "Answers cut after their first content.", "service"),
    _counter("refusals", "Requests refused.", "reason", "outcome"),
    _counter("callers_gone", "Callers that left before their answer was whole."),
    _counter("attempts", "Attempts sent, first ones and retries.", "service", "which"),
    _counter("attempt_results", "Attempts that ended.", "service", "result"),
    _counter("late_attempts", "Attempts that ended after their request did."),
    _counter("retries", "Attempts after the first.", "cause"),
    _counter("retries_over_budget", "Retries not made for the budget.", "service"),
    _counter("forwards", "Requests sent to another domain.", "service", "domain"),
    _counter("relays", "Requests sent to the owner of their idempotency key."),
    _counter("stored_answers", "Retries answered with a stored outcome."),
    _counter("load_reports_missing", "Load reports of servers that did not answer."),
    # Configuration.
    _counter("configuration_changes", "Versions of documents taken in."),
    _counter("configuration_documents_refused", "Stored documents refused as bad."),
    _counter("configuration_gaps", "Changes received with others missing before."),
    _counter("configuration_reverts_refused", "Older states refused."),
    # Ports for callers and for relayed requests.
    _counter("edge_connections_refused", "Connections closed at a limit.", "limit"),
    _counter("edge_accept_paused", "Pauses in accepting connections."),
    _counter("edge_bad_input", "Requests refused as they were read.", "reason"),
    _counter("edge_refusals", "Refusals sent.", "reason"),
    _counter("edge_callers_gone", "Connections that callers closed early."),
    _counter("edge_attempts", "Attempts that ended on the wire.", "result"),
    _counter("edge_attempts_dropped", "Attempts for requests that were over."),
    _counter("edge_pauses", "Pauses of back ends for slow callers."),
    _counter("edge_twins_refused", "Requests under an id that was open already."),
    # Requests routed by host and path.
    _counter("ingress_requests", "Requests read.", "way"),
    _counter("ingress_bad_input", "Requests refused as they were read.", "reason"),
    _counter("ingress_refused", "Requests refused.", "reason"),
    _gauge(
        "configuration_proof_age_seconds",
        "Age of the proof that the configuration is the newest.",
    ),
    _counter(
        "ingress_quota_requests",
        "Requests counted in quotas.",
        "organisation",
        "result",
    ),
    _counter(
        "ingress_quota_units",
        "Tokens or requests counted in quotas.",
        "organisation",
        "result",
    ),
    _counter("ingress_rationed", "Requests refused for the sake of others."),
    _counter("ingress_sends", "Attempts sent.", "way"),
    _counter("ingress_attempts", "Attempts that ended.", "result"),
    _counter("ingress_streams_cut", "Streams that could not be finished."),
    _counter("ingress_silent_attempts", "Attempts without an answer when expected."),
    _counter("ingress_probes", "Connections opened to test a path to a server."),
    _counter(
        "ingress_take_ups",
        "Broken-off streams taken up, by what their version is known from.",
        "source",
    ),
    _counter("ingress_servers_put_aside", "Servers that got no new work.", "cause"),
    _counter(
        "ingress_slow_starts", "Windows that began, were halved or ended.", "step"
    ),
    _counter("ingress_answers_over_bound", "Answers that exceeded a bound."),
    Metric(
        "ingress_organisation_requests",
        Kind.COUNTER,
        "Requests that ended, by organisation: the largest, and `other`.",
        ("organisation", "outcome"),
        N_LARGEST_ORGANISATIONS,
    ),
    _counter("log_lines_dropped", "Log lines over the bound."),
    _counter("store_entries_unreadable", "Entries of the store left out.", "kind"),
    # Control messages.
    _counter("peer_accepts_failed", "Connections of peers that were not accepted."),
    _counter("peer_connections_ended", "Connections that ended.", "stage"),
    _counter("peer_connections_failed", "Connections that were given up.", "cause"),
    _counter("peer_handshakes_failed", "Handshakes that servers failed.", "cause"),
    _counter("peer_handshakes_refused", "Handshakes of peers refused.", "cause"),
    _counter("peer_servers_unproven", "Servers without the shared key.", "fault"),
    _counter("peer_messages_sent", "Control messages sent.", "kind"),
    _counter("peer_messages_received", "Control messages received.", "kind"),
    _counter("peer_messages_dropped", "Control messages not sent.", "kind", "cause"),
    _counter("peer_messages_unknown", "Control messages that were not understood."),
    # Platform.
    _counter("platform_calls_ended", "Calls to the platform.", "call", "result"),
    _counter("store_calls", "Calls to the store.", "call"),
    _counter("store_cluster_changed", "Times the store was another one."),
    _counter("store_revision_went_back", "Times the store had an older revision."),
    _counter("watches_ended", "Watches on the store that ended."),
    _counter("watches_cancelled", "Watches that the store cancelled."),
    _counter("watches_refused", "Watches that the store refused."),
    _counter("watches_unanswered", "Watches that went silent."),
    _counter("watches_missed_changes", "Watches that left out a change."),
    _counter("claims_answered", "Claims on idempotency keys.", "result"),
    _counter("claims_read_back", "Claims settled after a lost answer."),
    _counter("claims_refused", "Claims not sent for the bound on open ones."),
    _counter("loads_unread", "Load reports that could not be read."),
    _counter("vm_lists_unread", "Lists of VMs that could not be read."),
    _counter("vm_lists_bad", "Lists of VMs that made no sense."),
    _counter("directory_calls_failed", "Calls to the directory that failed."),
    # The daemon as a whole.
    _counter("unknown_metrics", "Records under a name that is not registered."),
    _gauge("configuration_revision", "Revision up to which configuration is complete."),
    _gauge("open_requests", "Requests open at this daemon."),
    _gauge("peers_up", "Other daemons with an open control connection."),
    _gauge("store_reachable", "1 while the last call to the store got an answer."),
    _gauge("stopping", "1 while the daemon takes no new callers."),
    _latency("ingress_request_s", "From a request's end to its answer's.", "outcome"),
    _latency("request", "From arrival to the end of the request.", "service"),
    _latency("first_content", "From arrival to the first content.", "service"),
    _latency("edge_first_content_s", "From sending an attempt to its first content."),
    _latency("platform_call_s", "Calls to the platform.", "call"),
    _latency("step", "One event in the control task.", "event"),
)

BY_NAME = {metric.name: metric for metric in METRICS}


def table() -> str:
    """Return the Markdown table of all metrics for the operators' page."""
    lines = ["| metric | kind | labels | what |", "|---|---|---|---|"]
    for metric in METRICS:
        labels = " ".join(f"`{label}`" for label in metric.labels)
        cells = (f"`{metric.full_name}`", metric.kind.value, labels, metric.help)
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"
