"""Interface through which tasks record metrics, independent of the exporter."""

from typing import Protocol


class Metrics(Protocol):
    """Records counts and durations; all methods are thread-safe."""

    def count(self, name: str, labels: tuple[str, ...] = (), n: int = 1) -> None:
        """Add `n` to a counter."""

    def observe_s(self, name: str, labels: tuple[str, ...], seconds: float) -> None:
        """Record a duration."""


class NullMetrics:
    """Metrics that discard all values."""

    def count(self, name: str, labels: tuple[str, ...] = (), n: int = 1) -> None:
        """Ignore the count."""

    def observe_s(self, name: str, labels: tuple[str, ...], seconds: float) -> None:
        """Ignore the duration."""
