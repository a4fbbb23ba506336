"""Keeps this daemon's copy of the store: from the store itself or from other daemons.

See Also
--------
bilberryridge.decisions.store_watchers : which daemon follows the store for others.
bilberryridge.store.follower : follows the store.
"""

import logging
import random
from collections.abc import Callable
from typing import Protocol

import attrs

from bilberryridge.core import ingress
from bilberryridge.daemon import configuration_proving, ingress_platform
from bilberryridge.decisions import store_watchers
from bilberryridge.decisions.ingress import crash_reports, events, stream_origins
from bilberryridge.peers import link_codec
from bilberryridge.store import (
    follower,
    lasting_records,
    mirror,
    registration,
    store_era,
    stream_log,
)
from bilberryridge.transport.ingress import connection_pool, event_loop

LOGGER = logging.getLogger("bilberryridge")

PEER_REQUEST_INTERVAL_S = 0.4
"""Interval of requests for store changes to a peer while the store is unreachable."""
PEER_SETTLED_VALID_S = 1.0
"""How long a peer's report that its copy of the store is settled remains valid."""
CONTACT_CHECK_S = 0.2
"""Interval of the check whether changes of the store would be known here."""

Post = Callable[[events.Event], None]
"""Takes events for the node."""
Message = (
    link_codec.ChangesRequest
    | link_codec.StoreChanges
    | store_watchers.StorePosition
    | configuration_proving.Message
)
"""Messages between daemons about the store."""


class Peers(Protocol):
    """The links to other daemons; see `bilberryridge.peers.links.Links`."""

    def send(self, vm: str, message: link_codec.Message) -> bool:
        """Send a message to a daemon."""

    def linked_entries(self) -> list[ingress.EntryVm]:
        """Return the daemons to which a link is open."""


class StoreFollowing:
    """This daemon's copy of the store and its entry there.

    Parameters
    ----------
    platform : Platform
    loop : EventLoop
    pool : Pool
    local_entry : EntryVm
        This daemon.
    peers : Peers
    random_state : random.Random
    post : Callable
        Takes events for the node.
    revocation_bound_s : float or None
        See `state.NodeSettings`.
    """

    def __init__(
        self,
        platform: ingress_platform.Platform,
        loop: event_loop.EventLoop,
        pool: connection_pool.Pool,
        local_entry: ingress.EntryVm,
        peers: Peers,
        random_state: random.Random,
        post: Post,
        revocation_bound_s: float | None = None,
    ):
        self._decoder = platform.decoder
        self._loop = loop
        self._local_entry = local_entry
        self._peers = peers
        self._random_state = random_state
        self._post = post
        self._store_copy = mirror.Mirror(
            self._on_changed, platform.decoder.generation, platform.decoder.redact
        )
        eras = store_era.EraMonitor()
        self._follower = follower.Follower(
            platform.reader(loop, pool, eras),
            self._store_copy,
            loop,
            random_state,
            eras,
            self._post_settled_lists,
            self._on_store_restored,
            self._hand_on,
            self._is_covered,
        )
        self._registration = registration.Registration(
            platform.writer(loop, pool, eras),
            loop,
            platform.decoder.entry_prefix + local_entry.name,
            platform.decoder.encode_entry(local_entry),
            eras,
            lambda: not self._was_covered,
            self._follower.record_contact,
        )
        self._records = lasting_records.LastingRecords(
            platform.writer(loop, pool, eras), loop, eras
        )
        self._streams = stream_log.StreamLog(
            lasting_records.LastingRecords(
                platform.writer(loop, pool, eras), loop, eras, stream_log.TTL_S
            ),
            loop,
            lambda number, streams: platform.decoder.encode_streams(
                f"{local_entry.name}/{local_entry.incarnation}-{number}", streams
            ),
        )
        self._watchers = store_watchers.StoreWatchers(local_entry)
        self._proving = configuration_proving.ConfigurationProving(
            loop,
            platform.configuration_reader(loop, pool, eras),
            self._store_copy,
            eras,
            platform.decoder.configuration_key,
            local_entry,
            peers,
            random_state,
            self._is_following,
            self._ask_for_changes,
            post,
            revocation_bound_s,
        )
        self._last_reports: events.CrashReportsRead | None = None
        self._are_lists_settled = False
        self._was_covered = False
        self._last_contact: events.StoreContact | None = None
        self._known_s = float("-inf")
        self._peer_settled_at_s = float("-inf")

    def start(self) -> None:
        """Read the store, follow it, and register this daemon."""
        self._follower.start()
        self._registration.start()
        self._loop.every(PEER_REQUEST_INTERVAL_S, self._request_changes)
        self._loop.every(CONTACT_CHECK_S, self._check_contact)
        self._loop.every(store_watchers.REPORT_INTERVAL_S, self._report_position)
        self._proving.start()

    def revoke(self) -> None:
        """Remove this daemon's entry, so that no new callers are sent to it."""
        self._registration.revoke()

    def store_report(self, report: crash_reports.Report) -> None:
        """Write a report to the store, where it outlives this daemon."""
        self._records.write(*self._decoder.encode_report(report))

    def store_streams(self, streams: tuple[stream_origins.StreamRecord, ...]) -> None:
        """Write streams that began here to the store."""
        self._streams.add(streams)

    def set_revocation_bound(self, bound_s: float | None) -> None:
        """Set the bound of revocations, as read again from the settings."""
        self._proving.set_bound(bound_s)

    def check(self) -> None:
        """Ask the store for all changes until now."""
        self._follower.check(
            lambda is_confirmed: self._post(
                events.StoreChecked(is_confirmed, self._is_settled())
            )
        )

    def on_link_up(self, entry: ingress.EntryVm) -> None:
        """Tell a newly linked daemon what a restored store has lost."""
        self._send_overrides(entry.name)

    def on_link_down(self, vm: str) -> None:
        """Forget the position of a daemon whose link closed."""
        self._watchers.remove(vm)

    def on_message(self, vm: str, message: Message) -> None:
        """Handle another daemon's message about the store."""
        if isinstance(message, link_codec.ChangesRequest):
            self._send_changes(vm, message)
        elif isinstance(message, link_codec.StoreChanges):
            self._on_peer_changes(vm, message)
        elif isinstance(message, configuration_proving.Message):
            self._proving.on_message(vm, message)
        else:
            self._on_position(vm, message)

    def _on_changed(self, keys: frozenset[str]) -> None:
        decoder, store_copy = self._decoder, self._store_copy
        prefix = decoder.stream_prefix
        stream_keys = frozenset(key for key in keys if key.startswith(prefix))
        if stream_keys != keys:
            table = decoder.table(store_copy)
            if table is not None:
                self._post(events.TableRead(table))
            self._proving.on_changed()
            self._post_lists()
        streams = decoder.streams(store_copy, stream_keys)
        if streams:
            self._post(events.StreamsRead(streams))

    def _post_lists(self) -> None:
        decoder, store_copy = self._decoder, self._store_copy
        is_settled = self._is_settled()
        self._are_lists_settled = is_settled
        evacuated = decoder.evacuated(store_copy)
        self._post(events.EvacuationsRead(evacuated, is_settled))
        servers = decoder.servers(store_copy)
        known_s = self._store_known_s()
        self._post(events.ServersRead(servers, is_settled, known_s))
        entries = decoder.entries(store_copy)
        self._post(events.EntriesRead(entries, is_settled))
        self._on_reports(events.CrashReportsRead(decoder.stored_reports(store_copy)))
        local_entry = self._local_entry
        is_present = any(
            entry.incarnation == local_entry.incarnation for entry in entries
        )
        self._registration.restore_if_missing(
            is_present or self._follower.health.is_unavailable
        )

    def _on_reports(self, event: events.CrashReportsRead) -> None:
        if event != self._last_reports:
            self._last_reports = event
            self._post(event)

    def _is_settled(self) -> bool:
        peer_report_age_s = self._loop.now_s() - self._peer_settled_at_s
        if peer_report_age_s < PEER_SETTLED_VALID_S:
            return True
        return self._follower.is_settled and self._watchers.is_settled(
            self._loop.now_s()
        )

    def _post_settled_lists(self) -> None:
        """Post the lists again if what is missing there counts as removed by now."""
        if not self._are_lists_settled and self._is_settled():
            self._post_lists()

    def _check_contact(self) -> None:
        # By time, as no message tells that another daemon's report has run out.
        self._post_settled_lists()
        peer_report_age_s = self._loop.now_s() - self._peer_settled_at_s
        is_current = (
            not self._follower.health.is_unavailable
            or peer_report_age_s < PEER_SETTLED_VALID_S
        )
        if is_current and self._is_settled():
            self._known_s = max(self._known_s, self._store_known_s())
        contact = events.StoreContact(is_current, self._known_s)
        if contact != self._last_contact:
            self._last_contact = contact
            self._post(contact)

    def _store_known_s(self) -> float:
        """Return as of when all changes of the store are known here."""
        store_copy, now_s = self._store_copy, self._loop.now_s()
        known_s = self._watchers.known_s(store_copy.era, store_copy.revision, now_s)
        if not self._was_covered and not self._follower.health.is_unavailable:
            known_s = max(known_s, self._follower.health.last_answer_s)
        return known_s

    def _on_store_restored(self) -> None:
        """Tell the linked daemons what the restored store has lost."""
        for entry in self._peers.linked_entries():
            self._send_overrides(entry.name)

    def _send_overrides(self, vm: str) -> None:
        overrides = self._store_copy.overrides()
        if overrides.updates:
            # What is missing besides is not known to be settled.
            self._peers.send(vm, link_codec.StoreChanges(overrides, is_settled=False))

    def _is_following(self) -> bool:
        """Return whether this daemon follows the store for its failure domain."""
        return self._watchers.is_first(self._peers.linked_entries())

    def _is_covered(self) -> bool:
        store_copy = self._store_copy
        is_covered = not self._is_following() and self._watchers.is_covered(
            store_copy.era, store_copy.revision, self._loop.now_s()
        )
        if is_covered != self._was_covered:
            self._was_covered = is_covered
            change = "left to the domain" if is_covered else "done here"
            LOGGER.info(
                "following the store is %s",
                change,
                extra={"era": store_copy.era, "revision": store_copy.revision},
            )
        return is_covered

    def _report_position(self) -> None:
        """Report this daemon's position to those for which it follows the store."""
        age_s = self._follower.age_s
        if age_s > store_watchers.MAX_AGE_S or not self._is_following():
            return
        position = store_watchers.StorePosition(
            self._store_copy.era,
            self._store_copy.revision,
            age_s,
            self._follower.is_settled,
        )
        self._send_to_domain(position)

    def _hand_on(self, era: int, revision: int) -> None:
        """Hand on the changes that the store has told since a revision.

        In a new era the other daemons read all keys themselves.
        """
        if era != self._store_copy.era or not self._is_following():
            return
        changes = self._store_copy.changes_since(revision, era)
        if changes.updates:
            is_settled = self._follower.is_settled
            self._send_to_domain(
                link_codec.StoreChanges(changes, is_settled, since=revision)
            )

    def _send_to_domain(self, message: link_codec.Message) -> None:
        for entry in self._watchers.domain_peers(self._peers.linked_entries()):
            self._peers.send(entry.name, message)

    def _on_position(self, vm: str, position: store_watchers.StorePosition) -> None:
        now_s = self._loop.now_s()
        self._watchers.record(vm, position, now_s)
        store_copy = self._store_copy
        if vm in self._watchers.ahead(store_copy.era, store_copy.revision, now_s):
            self._ask_for_changes(vm)
        self._post_settled_lists()

    def _send_changes(self, vm: str, request: link_codec.ChangesRequest) -> None:
        era = request.era or 0
        changes = self._store_copy.changes_since(request.revision, era)
        has_era = request.era is not None
        reply = link_codec.StoreChanges(
            changes, self._follower.is_settled, has_era, since=request.revision
        )
        self._peers.send(vm, reply)

    def _request_changes(self) -> None:
        """Request the store changes from one peer while the store is unreachable."""
        if not self._follower.health.is_unavailable:
            return
        linked_entries = self._peers.linked_entries()
        if linked_entries:
            entry = self._random_state.choice(linked_entries)
            self._ask_for_changes(entry.name)

    def _ask_for_changes(self, vm: str) -> None:
        store_copy = self._store_copy
        request = link_codec.ChangesRequest(store_copy.revision, store_copy.era)
        self._peers.send(vm, request)

    def _on_peer_changes(self, vm: str, message: link_codec.StoreChanges) -> None:
        store_copy, changes = self._store_copy, message.changes
        if not message.has_era:
            changes = attrs.evolve(changes, era=store_copy.era)
        if changes.era < store_copy.era:
            return
        is_gap = changes.era > store_copy.era or message.since > store_copy.revision
        if is_gap and not changes.is_full:
            self._ask_for_changes(vm)
            return
        if message.is_settled:
            self._peer_settled_at_s = self._loop.now_s()
        store_copy.apply(changes)
