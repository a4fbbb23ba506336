"""An ingress node, which handles events and returns effects.

Examples
--------
>>> import random
>>> from bilberryridge.core import ingress
>>> entry = ingress.EntryVm("vm-1", "i1", "d1", "r1", "a:1", "a:2", "a:3")
>>> node = Node(state.NodeSettings(entry, {"d1": "r1"}), random.Random(1))
>>> req = ingress.Request("1", "c1", "host", "/", 1.0)
>>> [effect] = node.handle(0.0, events.RequestArrived(req))
>>> effect.refusal.reason.value
'no-configuration'
"""

import random
from collections.abc import Callable

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    access,
    admission_handlers,
    crash_handlers,
    directory,
    effects,
    events,
    load_handlers,
    path_handlers,
    placement,
    quota_handlers,
    request_handlers,
    server_starts,
    server_word_handlers,
    silence_handlers,
    slow_start_handlers,
    state,
    take_ups,
)

DAEMONS_COUNTED_INTERVAL_S = 1.0
"""Interval at which the daemons that share the retry budget are counted, besides when
their list is read."""


def _on_table(st: state.State, now_s: float, event: events.TableRead) -> None:
    if st.table is not None and event.table.version <= st.table.version:
        return
    before = st.table.version if st.table else None
    st.table = event.table
    quota_handlers.on_table(st, now_s)
    log_fields = {"before": before, "routes": len(event.table.routes)}
    st.emit(
        effects.LogStateChange("table", f"version {event.table.version}", log_fields)
    )


def _on_proven(
    st: state.State, now_s: float, event: events.ConfigurationProven
) -> None:
    st.proof.record(event.proven_s, event.source)
    _report_proof(st)


def _report_proof(st: state.State) -> None:
    """Report that the proof of the configuration was lost or is there again."""
    change = st.proof.take_change(st.boot_s)
    if change is None:
        return
    log_fields = {
        "age_s": None if change.age_s is None else round(change.age_s, 3),
        "source": change.source,
        "after_s": round(change.after_s, 3),
    }
    text = "is proven the newest" if change.is_proven else "is not proven the newest"
    st.emit(effects.LogStateChange("configuration", text, log_fields))


def _on_servers(st: state.State, now_s: float, event: events.ServersRead) -> None:
    st.versions.update(event.servers, now_s)
    for change in st.servers.update(event, st.table, now_s):
        st.emit(effects.LogStateChange("server", change))
    if event.is_settled:
        server_starts.confirm(st, min(event.known_s, now_s), now_s)
    for server in st.servers.take_new():
        slow_start_handlers.on_returned(st, server, "start", now_s)


def _on_entries(st: state.State, now_s: float, event: events.EntriesRead) -> None:
    local = st.cfg.local_entry
    if any(
        entry.name == local.name and entry.incarnation != local.incarnation
        for entry in event.entries
    ):
        st.budget.record_restart()
        st.quotas.record_predecessor()
    before = {entry.name for entry in st.members.alive(now_s)}
    st.members.update(event.entries, event.is_settled, now_s)
    after = {entry.name for entry in st.members.alive(now_s)}
    for name in sorted(before ^ after):
        change = "serves" if name in after else "is gone"
        st.emit(effects.LogStateChange("entry", f"{name} {change}"))
    _count_daemons(st, now_s)


def _on_evacuations(
    st: state.State, now_s: float, event: events.EvacuationsRead
) -> None:
    domains = event.domains
    if not event.is_settled:
        domains |= st.servers.evacuated
    if domains == st.servers.evacuated:
        return
    taken_back = st.servers.evacuated - domains
    st.servers.set_evacuated(domains, st.table, now_s)
    st.emit(effects.LogStateChange("evacuated", " ".join(sorted(domains))))
    for server in st.servers.by_id.values():
        if server.record.domain in taken_back:
            slow_start_handlers.on_returned(st, server, "evacuation", now_s)


def _on_stop(st: state.State, now_s: float, event: events.StopAsked) -> None:
    st.stopping_s = now_s
    st.serves_until_s = now_s + event.serve_s
    for item in st.open_requests.values():
        item.deadline_s = min(item.deadline_s, st.serves_until_s)


def _count_daemons(st: state.State, now_s: float) -> None:
    st.daemons_counted_s = now_s
    st.budget.update_daemons(st.members.n_daemons(now_s), now_s)
    quota_handlers.update_daemons(st, now_s)


def _on_peer_said(st: state.State, now_s: float, event: events.PeerSaid) -> None:
    load_handlers.on_peer_said(st, now_s, event)
    request_handlers.on_charges_settled(st, now_s)


def _on_tick(st: state.State, now_s: float, event: events.Tick) -> None:
    if now_s - st.daemons_counted_s >= DAEMONS_COUNTED_INTERVAL_S:
        _count_daemons(st, now_s)
    _report_proof(st)
    quota_handlers.on_tick(st, now_s)
    request_handlers.on_charges_settled(st, now_s)
    request_handlers.on_tick(st, now_s)
    st.members.remove_expired(now_s)
    admission_handlers.on_tick(st, now_s)
    load_handlers.on_tick(st, now_s)
    path_handlers.on_tick(st, now_s)
    take_ups.on_tick(st, now_s)
    crash_handlers.on_tick(st, now_s)
    server_word_handlers.on_tick(st, now_s)
    slow_start_handlers.on_tick(st, now_s)


_HANDLERS: dict[type, Callable] = {
    events.TableRead: _on_table,
    events.ConfigurationProven: _on_proven,
    events.ServersRead: _on_servers,
    events.EntriesRead: _on_entries,
    events.EvacuationsRead: _on_evacuations,
    events.CrashReportsRead: crash_handlers.on_stored_reports,
    events.StreamsRead: take_ups.on_streams,
    events.StoreContact: server_starts.on_store_contact,
    events.StoreChecked: request_handlers.on_store_checked,
    events.RequestArrived: request_handlers.on_request_arrived,
    events.CallerGone: request_handlers.on_caller_gone,
    events.ServerSaid: server_word_handlers.on_server_said,
    events.AttemptBegan: request_handlers.on_attempt_began,
    events.AttemptWentOn: crash_handlers.on_attempt_went_on,
    events.AttemptSilent: silence_handlers.on_attempt_silent,
    events.AttemptEnded: request_handlers.on_attempt_ended,
    events.ProbeEnded: path_handlers.on_probe_ended,
    events.ServerReached: server_starts.on_server_reached,
    events.LinkUp: load_handlers.on_link_up,
    events.LinkDown: load_handlers.on_link_down,
    events.PeerSaid: _on_peer_said,
    events.StopAsked: _on_stop,
    events.Tick: _on_tick,
}


class Node:
    """The ingress decisions of one daemon.

    Parameters
    ----------
    cfg : NodeSettings
    random_state : random.Random
        Source of all randomness.
    choose : PlacementRule or None
        Placement rule to use instead of `placement.choose`, for comparisons.
    """

    def __init__(
        self,
        cfg: state.NodeSettings,
        random_state: random.Random,
        choose: state.PlacementRule | None = None,
    ):
        self.state = state.State(cfg, random_state, choose or placement.choose)

    def handle(
        self, now_s: float, event: events.Event, boot_s: float | None = None
    ) -> list[effects.Effect]:
        """Handle an event; return the effects in the order to carry them out.

        Parameters
        ----------
        now_s : float
            Monotonic time.
        event : events.Event
        boot_s : float, optional
            Time that counts suspensions of the VM; the monotonic time by default.
        """
        self.state.boot_s = now_s if boot_s is None else boot_s
        self.state.now_s = now_s
        _HANDLERS[type(event)](self.state, now_s, event)
        emitted, self.state.effects = self.state.effects, []
        return emitted

    def is_ready(self) -> bool:
        """Return whether callers may be directed to this daemon."""
        return self.state.table is not None and not self.state.is_stopping

    @property
    def names_organisations(self) -> bool:
        """Whether requests need a key, but for public routes."""
        table = self.state.table
        return table is not None and bool(table.organisations)

    def refuse_head(
        self, now_s: float, req: ingress.Request, boot_s: float | None = None
    ) -> effects.Refuse | None:
        """Return the refusal of a request by its key before its body is read."""
        self.state.boot_s = now_s if boot_s is None else boot_s
        return request_handlers.refuse_head(self.state, now_s, req)

    def entries_for(
        self,
        now_s: float,
        host: str,
        region: str,
        domain: str,
        key_digest: bytes = b"",
    ) -> list[ingress.EntryVm]:
        """Return the entry VMs that a caller should use.

        A caller that sends its key gets those in its organisation's home regions. The
        list is empty without a routing table, as the regions that may serve the
        host are unknown then; callers ask another daemon.
        """
        st = self.state
        if st.table is None:
            return []
        entries = st.members.alive(now_s)
        if not st.is_stopping:
            entries.append(st.cfg.local_entry)
        organisation = st.table.organisation_of_key(key_digest)
        allowed_by_route = access.allowed_regions(
            st.table.routes_for_host(host), organisation
        )
        return directory.choose(
            entries, allowed_by_route, region, domain, st.random_state
        )
