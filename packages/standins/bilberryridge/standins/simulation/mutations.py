"""Mechanisms taken out of the decisions, each of which the auditor must notice."""

import contextlib
from collections.abc import Iterator
from typing import Any
from unittest import mock

from bilberryridge.core import ingress, outcomes
from bilberryridge.decisions.ingress import (
    crashing_requests,
    path_handlers,
    placement,
    request_handlers,
    server_availability,
    server_limit,
)


def _nothing(*args: Any, **kwargs: Any) -> None:
    """Do nothing, in place of a mechanism."""


def _refuse_as_not_run(*args: Any, **kwargs: Any) -> None:
    item = args[1]
    item.may_have_run = False
    _REFUSE(args[0], item, outcomes.Reason.NO_CAPACITY, *args[3:], **kwargs)


_REFUSE = request_handlers._refuse

MUTATIONS: dict[str, tuple[Any, str, Any, str]] = {
    "requests that must not repeat are sent again": (
        ingress.Route,
        "is_repeatable",
        property(lambda route: True),
        "at most once",
    ),
    "each refusal says that nothing ran": (
        request_handlers,
        "_refuse",
        _refuse_as_not_run,
        "not run is true",
    ),
    "requests have no deadline": (
        request_handlers,
        "on_tick",
        _nothing,
        "answered in time",
    ),
    "the word of leaving servers is not kept": (
        server_availability.Availability,
        "record_leaving",
        _nothing,
        "leaving is obeyed",
    ),
    "the time that servers ask for is not kept": (
        server_availability.Availability,
        "record_asked_for_time",
        lambda *args, **kwargs: False,
        "time asked for is given",
    ),
    "limits are not kept": (
        server_limit.ServerLimit,
        "is_open",
        lambda *args: True,
        "limit is kept",
    ),
    "requests of other daemons don't count": (
        server_limit.ServerLimit,
        "record_sent_by_others",
        _nothing,
        "limit is kept",
    ),
    "limits never end": (
        server_limit.ServerLimit,
        "record_unnamed",
        lambda *args, **kwargs: False,
        "service recovers",
    ),
    "crashes under requests are forgotten": (
        crashing_requests.CrashingRequests,
        "held_back_for_s",
        lambda *args: None,
        "crashing requests stop",
    ),
    "servers are not reached through neighbours": (
        placement,
        "_best_neighbour",
        _nothing,
        "cut-off daemons serve alike",
    ),
    "silence is not followed by a probe": (
        path_handlers,
        "on_waiting",
        _nothing,
        "cut-off daemons serve alike",
    ),
}
"""For each mutation the owner, the name and the replacement of a mechanism, and the
promise that is broken without it."""


@contextlib.contextmanager
def taken_out(name: str) -> Iterator[None]:
    """Replace a mechanism."""
    owner, attribute, replacement, _ = MUTATIONS[name]
    with mock.patch.object(owner, attribute, replacement):
        yield
