"""What backend servers have said of themselves, kept while they aren't listed.

An entry may lapse in the store and be listed again as before. What the same start of
the server has said meanwhile holds; a new start begins without.
"""

import collections

import attrs

from bilberryridge.core import ingress
from bilberryridge.decisions.ingress import (
    server_availability,
    server_limit,
    server_room,
)

MAX_REMEMBERED = 1_000
"""Starts of servers that are no longer listed whose words are remembered."""


@attrs.frozen
class Words:
    """What one start of a server has said; see `server_table.ServerState`."""

    availability: server_availability.Availability
    limit: server_limit.ServerLimit
    room: server_room.ServerRoom


class RememberedWords:
    """The words of servers that are not listed, by id and start time.

    Examples
    --------
    >>> remembered = RememberedWords()
    >>> record = ingress.BackendServer("i-1", "desk", "a:1", "d1", start_time_ms=5)
    >>> words = Words(
    ...     server_availability.Availability(is_leaving=True),
    ...     server_limit.ServerLimit(),
    ...     server_room.ServerRoom(),
    ... )
    >>> remembered.add(record, words)
    >>> remembered.take(record).availability.is_leaving
    True
    >>> remembered.take(record) is None
    True
    """

    def __init__(self) -> None:
        self._by_start: collections.OrderedDict[tuple[str, int], Words] = (
            collections.OrderedDict()
        )

    def add(self, record: ingress.BackendServer, words: Words) -> None:
        """Remember the words of a server whose start time is known."""
        if record.start_time_ms > 0:
            self._by_start[record.id, record.start_time_ms] = words
            if len(self._by_start) > MAX_REMEMBERED:
                self._by_start.popitem(last=False)

    def take(self, record: ingress.BackendServer) -> Words | None:
        """Return the words of this start of a server, and forget them."""
        return self._by_start.pop((record.id, record.start_time_ms), None)
