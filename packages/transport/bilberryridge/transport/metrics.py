"""What the edge needs of a metrics registry."""

from typing import Protocol


class Metrics(Protocol):
    """Counters and time histograms; methods may be called from any thread."""

    def count(self, name: str, labels: tuple[str, ...] = (), n: int = 1) -> None:
        """Add `n` to a counter."""

    def observe_s(self, name: str, labels: tuple[str, ...], seconds: float) -> None:
        """Record a time in a histogram."""
