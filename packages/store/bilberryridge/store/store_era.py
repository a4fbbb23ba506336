"""The era of the store, which rises each time that it comes back from a copy."""

from collections.abc import Callable

OnNewEra = Callable[[int, int], None]
"""Takes the era before, 0 if none was known, and the new one."""


class EraMonitor:
    """The highest era that any answer of the store has told.

    Attributes
    ----------
    era : int
        0 while none is known.

    Examples
    --------
    >>> eras = EraMonitor()
    >>> eras.subscribe(print)
    >>> for era in (0, 3, 2, 5):
    ...     eras.observe(era)
    0 3
    3 5
    """

    def __init__(self) -> None:
        self.era = 0
        self._subscribers: list[OnNewEra] = []

    def subscribe(self, on_new_era: OnNewEra) -> None:
        """Call a function at each new era."""
        self._subscribers.append(on_new_era)

    def observe(self, era: int) -> None:
        """Take the era of an answer; an earlier one is ignored."""
        if era <= self.era:
            return
        before, self.era = self.era, era
        for on_new_era in self._subscribers:
            on_new_era(before, era)
